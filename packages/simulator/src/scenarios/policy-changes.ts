/** Policies that scenarios send: variants and mutations of the policy of the example. */

import { type Policy, Routes } from '@reedyard/schemas';
import type { ScenarioEnvironment, ScenarioFleet } from './environment.js';

/** Returns the policy with one more route, whose name and path contain a number. */
export const policyVariant = (policy: Policy, number: number): Policy => ({
  services: policy.services,
  routes: [
    ...policy.routes,
    {
      ...policy.routes[0],
      name: `extra-${number}`,
      path: `/extra-${number}/`,
    },
  ],
});

/** A route of a policy. */
export type PolicyRoute = Policy['routes'][number];

/** Replaces one random route among those that are eligible. */
export const changeRandomRoute = (
  policy: Policy,
  clock: ScenarioFleet['clock'],
  isEligible: (route: PolicyRoute) => boolean,
  change: (route: PolicyRoute) => readonly PolicyRoute[],
): Policy => {
  const chosenRoute = clock.pick(policy.routes.filter(isEligible));
  return {
    ...policy,
    routes: policy.routes.flatMap((route) => (route === chosenRoute ? change(route) : [route])),
  };
};

/** Replaces the settings of one random service. */
export const changeRandomService = (
  policy: Policy,
  clock: ScenarioFleet['clock'],
  change: (service: Policy['services'][string], name: string) => Policy['services'][string],
): Policy => {
  const chosenName = clock.pick(Object.keys(policy.services)) ?? '';
  return {
    ...policy,
    services: Object.fromEntries(
      Object.entries(policy.services).map(([name, service]) => [
        name,
        name === chosenName ? change(service, name) : service,
      ]),
    ),
  };
};

/**
 * The mutations of a policy, by name. Each new policy is mutated from the policy of the example, so that
 * earlier mutations are undone.
 */
const mutations: Readonly<Record<string, (policy: Policy, fleet: ScenarioFleet) => Policy>> = {
  'route removed': (policy, { clock }) =>
    changeRandomRoute(
      policy,
      clock,
      () => true,
      () => [],
    ),
  'service removed': (policy, { clock }) => {
    const chosenName = clock.pick(Object.keys(policy.services)) ?? '';
    const { [chosenName]: _gone, ...services } = policy.services;
    return { services, routes: policy.routes.filter((route) => !Routes.allows(route, chosenName)) };
  },
  'route moved': (policy, { clock }) =>
    changeRandomRoute(
      policy,
      clock,
      () => true,
      (route) => [
        {
          ...route,
          service:
            clock.pick(
              Object.keys(policy.services).filter((name) => name !== Routes.mainService(route)),
            ) ?? Routes.mainService(route),
        },
      ],
    ),
  'instances narrowed': (policy, { clock, origins }) =>
    changeRandomService(policy, clock, (service, name) => {
      const instances = origins
        .filter((origin) => origin.service === name)
        .map((origin) => origin.instance);
      const remaining = instances.filter(() => clock.random() < 0.4);
      return { ...service, instances: remaining.length > 0 ? remaining : instances.slice(0, 1) };
    }),
  'ceiling changed': (policy, { clock }) =>
    changeRandomService(policy, clock, (service) => ({
      ...service,
      ceiling: clock.between(20, 150),
    })),
  'cold rate changed': (policy, { clock }) =>
    changeRandomService(policy, clock, (service) => ({
      ...service,
      coldRate: clock.between(4, 40),
    })),
  'homes narrowed': (policy, { clock, deployment }) => {
    const regions = [...new Set(deployment.machines.map((machine) => machine.region))];
    return changeRandomRoute(
      policy,
      clock,
      (route) => !route.methods.includes('POST'),
      (route) => [
        {
          ...route,
          homes: [
            clock.pick(regions.filter((region) => route.homes?.includes(region) !== true)) ??
              regions[0] ??
              '',
          ],
        },
      ],
    );
  },
  'copies shortened': (policy, { clock }) =>
    changeRandomRoute(
      policy,
      clock,
      (route) => route.cache.keep === 'origin',
      (route) => [{ ...route, cache: { keep: 'origin', mostSeconds: 1 } }],
    ),
  'copies ended': (policy, { clock }) =>
    changeRandomRoute(
      policy,
      clock,
      (route) => route.cache.keep === 'origin',
      (route) => [{ ...route, cache: { keep: 'never' } }],
    ),
  'methods taken away': (policy, { clock }) =>
    changeRandomRoute(
      policy,
      clock,
      () => true,
      (route) => [{ ...route, methods: ['OPTIONS'] }],
    ),
  'limits shortened': (policy, { clock }) =>
    changeRandomRoute(
      policy,
      clock,
      () => true,
      (route) => [{ ...route, limits: { ...route.limits, requestMs: 600, attemptMs: 300 } }],
    ),
};

/** Returns the policy of the example with one to three random mutations. */
export const mutatedPolicy = ({ fleet, policy }: ScenarioEnvironment): Policy => {
  let next = policy;
  const count = 1 + Math.floor(3 * fleet.clock.random());
  const mutationNames: string[] = [];
  for (let index = 0; index < count; index += 1) {
    const name = fleet.clock.pick(Object.keys(mutations)) ?? '';
    next = mutations[name]?.(next, fleet) ?? next;
    mutationNames.push(name);
  }
  fleet.fault(`policy sent: ${mutationNames.join(', ')}`);
  return next;
};

/** Sends a random variant of the policy. */
export const putPolicyVariant = (environment: ScenarioEnvironment): void => {
  environment.fleet.put(
    policyVariant(environment.policy, Math.floor(1e6 * environment.fleet.clock.random())),
  );
};
