/** Scenarios about caching: responses are stored, age and are purged. */

import { repeatBetween, type Scenario } from './environment.js';
import { randomFaults } from './random-faults.js';

/** Scenarios, by name. */
export const cacheScenarios = {
  copies: {
    summary:
      'responses that are already old on arrival, large or forwarded; objects are purged one by one, in long lists, and by more purges at a time than one call can carry',
    seconds: 45,
    rate: 200,
    play: (environment) => {
      const { fleet, policy } = environment;
      const host = policy.routes[0]?.host ?? '';
      fleet.clock.schedule(6_500, () => {
        for (const origin of fleet.origins)
          Object.assign(origin.mode, { aged: Math.floor(3 * fleet.clock.random()), large: 0.002 });
      });
      fleet.clock.schedule(9_000, () => {
        environment.traffic.crowdedZone = 'west';
      });
      repeatBetween(environment, 9_000, 38_000, 700, () => randomFaults.slow?.(environment));
      repeatBetween(environment, 10_000, 38_000, 300, () => randomFaults.purge?.(environment));
      repeatBetween(environment, 12_000, 38_000, 6_000, () =>
        fleet.purge(
          Array.from(
            { length: 4_096 },
            (_, index) =>
              `${host}${index % 2 === 0 ? environment.sample().target : `/none/${index}`}`,
          ),
          Array.from({ length: 4_096 }, (_, index) =>
            String(index % 3 === 0 ? index % 8 : 10_000 + index),
          ),
        ),
      );
      fleet.clock.schedule(20_000, () => {
        fleet.fault('a storm of 5000 purges');
        for (let count = 0; count < 5_000; count += 1)
          fleet.clock.schedule(fleet.clock.between(0, 1_500), () =>
            fleet.purge([`${host}/storm/${count}`, `${host}${environment.sample().target}`], []),
          );
      });
      repeatBetween(environment, 12_000, 36_000, 6_000, () => randomFaults.freeze?.(environment));
    },
  },
  purges: {
    summary: 'single purges and bursts of purges, with slow origins, freezes and partitions',
    seconds: 45,
    play: (environment) => {
      repeatBetween(environment, 8_000, 38_000, 500, () => randomFaults.purge?.(environment));
      repeatBetween(environment, 14_000, 34_000, 9_000, () => {
        for (let each = 0; each < 60; each += 1) randomFaults.purge?.(environment);
      });
      repeatBetween(environment, 9_000, 36_000, 3_000, () => randomFaults.slow?.(environment));
      repeatBetween(environment, 9_000, 36_000, 5_000, () => randomFaults.cut?.(environment));
      repeatBetween(environment, 9_000, 36_000, 6_000, () => randomFaults.freeze?.(environment));
    },
  },
} satisfies Readonly<Record<string, Scenario>>;
