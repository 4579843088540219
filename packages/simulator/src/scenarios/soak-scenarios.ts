/**
 * The soak: machines are asked to stop, origins garble answers and send long ones slowly, and nodes
 * are cut off from the control state while policies and purges come, all in overlapping series.
 */
import type { Policy } from '@reedyard/schemas';
import {
  diskMachinesOf,
  machineNamesOf,
  repeatBetween,
  type Scenario,
  type ScenarioEnvironment,
  type ScenarioFleet,
} from './environment.js';

/** The service whose origins garble their answers; those of all others are slow, but sound. */
export const garblingService = 'store';

/** The route without a cache that the soak adds: its requests take as long as their origins work. */
const stateRoute = 'states';

/** When the faults begin and end, in milliseconds. */
const firstFaultMs = 9_000;
const lastFaultMs = 38_000;

/** How long a machine that was stopped stays down, in milliseconds. */
const minDownMs = 300;
const maxDownMs = 2_000;

const withStateRoute = (policy: Policy): Policy => {
  const [route] = policy.routes;
  const service = Object.keys(policy.services).find((name) => name !== garblingService);
  if (route === undefined || service === undefined) return policy;
  const { homes: _homes, ...rest } = route;
  const added = { ...rest, name: stateRoute, path: `/${stateRoute}/`, service };
  return { ...policy, routes: [...policy.routes, { ...added, cache: { keep: 'never' } }] };
};

/** A policy with one more copy of each route with homes, or of the first route without any. */
const withAddedRoutes = (policy: Policy, number: number): Policy => {
  const homed = policy.routes.filter((route) => route.homes !== undefined);
  const copied = homed.length > 0 ? homed : policy.routes.slice(0, 1);
  const added = copied.map((route) => ({
    ...route,
    name: `${route.name}-${number}`,
    path: `/added-${number}/${route.name}/`,
  }));
  return { ...policy, routes: [...policy.routes, ...added] };
};

const stopOne = (fleet: ScenarioFleet, names: readonly string[]): void => {
  const name = fleet.clock.pick(names.filter((each) => fleet.isRunning(each)));
  if (name === undefined) return;
  fleet.stop(name, fleet.clock.between(minDownMs, maxDownMs));
  fleet.fault(`${name} asked to stop`);
};

const garbleForAWhile = (fleet: ScenarioFleet): void => {
  const { clock } = fleet;
  const origin = clock.pick(fleet.origins.filter((each) => each.service === garblingService));
  if (origin === undefined) return;
  const share = clock.between(0.02, 0.3);
  Object.assign(origin.mode, { garbledStatus: share, garbage: share / 2, short: share / 2 });
  clock.schedule(clock.between(1_000, 5_000), () => {
    Object.assign(origin.mode, { garbledStatus: 0, garbage: 0, short: 0 });
  });
};

const slowDownForAWhile = (fleet: ScenarioFleet): void => {
  const { clock } = fleet;
  const origin = clock.pick(fleet.origins.filter((each) => each.service !== garblingService));
  if (origin === undefined) return;
  Object.assign(origin.mode, { slowMs: clock.between(300, 1_800), large: 0.05 });
  clock.schedule(clock.between(2_000, 6_000), () => {
    Object.assign(origin.mode, { slowMs: 50, large: 0.005 });
  });
};

/** Cuts a front machine off from all disks, and sends policies and purges meanwhile. */
const cutOffDuringChanges = (environment: ScenarioEnvironment, number: number): void => {
  const { fleet, policy, sample } = environment;
  const name = fleet.clock.pick(machineNamesOf(fleet, 'front'));
  if (name === undefined) return;
  for (const disk of diskMachinesOf(fleet)) {
    fleet.cut(name, disk);
    fleet.cut(disk, name);
  }
  fleet.fault(`${name} cut off from the control state`);
  fleet.clock.schedule(300, () => fleet.put(withAddedRoutes(policy, number)));
  fleet.clock.schedule(600, () =>
    fleet.purge([`http://${policy.routes[0]?.host ?? ''}${sample().target}`], []),
  );
  fleet.clock.schedule(1_200, () =>
    fleet.purge([], [String(Math.floor(8 * fleet.clock.random()))]),
  );
  fleet.clock.schedule(fleet.clock.between(3_000, 6_000), () => fleet.heal());
};

/** Scenarios, by name. */
export const soakScenarios = {
  soak: {
    summary:
      'machines are asked to stop, origins garble answers or send long ones slowly, and nodes are cut off from the control state while policies and purges come; the series overlap',
    seconds: 42,
    example: 'association',
    servesOn: true,
    pinnedClients: 2,
    policy: withStateRoute,
    play: (environment) => {
      const { fleet } = environment;
      for (const origin of fleet.origins)
        if (origin.service !== garblingService)
          Object.assign(origin.mode, { slowMs: 50, large: 0.005 });
      const repeat = (intervalMs: number, action: () => void): void =>
        repeatBetween(environment, firstFaultMs, lastFaultMs, intervalMs, action);
      repeat(2_500, () => stopOne(fleet, machineNamesOf(fleet, 'front')));
      repeat(9_000, () => stopOne(fleet, machineNamesOf(fleet, 'core')));
      repeat(1_500, () => garbleForAWhile(fleet));
      repeat(1_000, () => slowDownForAWhile(fleet));
      let cutCount = 0;
      repeat(7_000, () => {
        cutCount += 1;
        cutOffDuringChanges(environment, cutCount);
      });
      repeat(2_000, () => fleet.purge([], [String(Math.floor(8 * fleet.clock.random()))]));
    },
  },
} satisfies Readonly<Record<string, Scenario>>;
