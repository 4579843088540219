/** Scenarios about rate limits, capacities and slow start. */

import { repeatBetween, restart, type Scenario, zoneNamesOf } from './environment.js';
import { drain, replaceOrigin } from './origin-faults.js';
import { randomFaults } from './random-faults.js';

/** Scenarios, by name. */
export const quotaScenarios = {
  ceilings: {
    summary:
      'demand far above a low rate limit moves between zones, while the quota leader and other nodes are killed, frozen and isolated',
    seconds: 60,
    rate: 300,
    policy: (policy) => ({
      ...policy,
      services: Object.fromEntries(
        Object.entries(policy.services).map(([name, service]) => [
          name,
          { ...service, ceiling: name === 'application' ? 60 : 25 },
        ]),
      ),
    }),
    play: (environment) => {
      const { fleet } = environment;
      repeatBetween(environment, 12_000, 52_000, 8_000, () => {
        environment.traffic.crowdedZone = fleet.clock.pick([...zoneNamesOf(fleet), null]) ?? null;
      });
      repeatBetween(environment, 14_000, 52_000, 7_000, () => {
        const holder = fleet.holder();
        if (holder === undefined) return;
        const draw = fleet.clock.random();
        if (draw < 0.4) restart(fleet, holder, 3_000);
        else if (draw < 0.7) {
          fleet.freeze(holder);
          fleet.clock.schedule(6_000, () => fleet.thaw(holder));
        } else {
          fleet.isolate(holder);
          fleet.clock.schedule(6_000, () => fleet.heal());
        }
      });
      repeatBetween(environment, 12_000, 52_000, 6_000, () => randomFaults.kill?.(environment));
    },
  },
  saturated: {
    summary:
      'demand is far above a low rate limit, and nothing fails; halfway all clients turn to one zone',
    seconds: 50,
    rate: 300,
    policy: (policy) => ({
      ...policy,
      services: Object.fromEntries(
        Object.entries(policy.services).map(([name, service]) => [
          name,
          { ...service, ceiling: name === 'application' ? 60 : 25 },
        ]),
      ),
    }),
    play: (environment) => {
      environment.fleet.clock.schedule(30_000, () => {
        environment.traffic.crowdedZone = 'north';
      });
    },
  },
  cold: {
    summary: 'origins crash and return in slow start under load',
    seconds: 50,
    rate: 250,
    policy: (policy) => ({
      ...policy,
      services: Object.fromEntries(
        Object.entries(policy.services).map(([name, service]) => [
          name,
          { ...service, coldRate: 2 },
        ]),
      ),
    }),
    play: (environment) => {
      repeatBetween(environment, 9_000, 42_000, 2_000, () => randomFaults.crash?.(environment));
      repeatBetween(environment, 9_000, 42_000, 8_000, () => randomFaults.kill?.(environment));
    },
  },
  lowered: {
    summary:
      'rate limits and slow-start rates change under constant demand while the quota leader is killed',
    seconds: 50,
    rate: 400,
    play: (environment) => {
      const { fleet, policy } = environment;
      const put = (): void =>
        fleet.put({
          ...policy,
          services: Object.fromEntries(
            Object.entries(policy.services).map(([name, service]) => [
              name,
              {
                ...service,
                ceiling: fleet.clock.between(10, 200),
                coldRate: fleet.clock.between(3, 40),
              },
            ]),
          ),
        });
      repeatBetween(environment, 9_000, 42_000, 4_500, () => {
        const holder = fleet.holder();
        put();
        if (holder !== undefined && fleet.clock.random() < 0.5) restart(fleet, holder, 2_500);
      });
      repeatBetween(environment, 12_000, 42_000, 5_000, () => randomFaults.crash?.(environment));
    },
  },
  capacities: {
    summary:
      'no rate limits, constant demand: instances stop one by one until one has the entire load; it announces less capacity, and the others return in slow start',
    seconds: 60,
    rate: 400,
    policy: (policy) => ({
      ...policy,
      services: Object.fromEntries(
        Object.entries(policy.services).map(([name, { coldRate }]) => [name, { coldRate }]),
      ),
    }),
    play: (environment) => {
      const { fleet } = environment;
      for (const service of new Set(fleet.origins.map((origin) => origin.service))) {
        const instances = fleet.origins.filter((origin) => origin.service === service);
        const firstAt = fleet.clock.between(9_000, 11_000);
        instances.slice(1).forEach((origin, index) =>
          fleet.clock.schedule(firstAt + 1_500 * index, () => {
            if (fleet.clock.random() < 0.5) drain(fleet, origin, false);
            else origin.alive = false;
            fleet.fault(`${service}: ${origin.instance} stops`);
          }),
        );
        // The remaining instance announces a lower capacity, twice.
        for (const at of [24_000, 30_000])
          fleet.clock.schedule(at, () => {
            const [lastInstance] = instances;
            if (lastInstance !== undefined) {
              lastInstance.capacity *= 0.3;
              fleet.describe(lastInstance);
              fleet.fault(`${lastInstance.instance} announces capacity ${lastInstance.capacity}`);
            }
          });
        instances
          .slice(1)
          .forEach((origin, index) =>
            fleet.clock.schedule(36_000 + 2_000 * index, () => replaceOrigin(fleet, origin, 100)),
          );
      }
      repeatBetween(environment, 12_000, 50_000, 6_000, () => randomFaults.kill?.(environment));
    },
  },
} satisfies Readonly<Record<string, Scenario>>;
