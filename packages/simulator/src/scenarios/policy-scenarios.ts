/** Scenarios in which operators change policies under load. */

import { repeatBetween, type Scenario } from './environment.js';
import { putPolicyVariant } from './policy-changes.js';
import { playPolicyChanges, randomFaults } from './random-faults.js';

/** Scenarios, by name. */
export const policyScenarios = {
  operators: {
    summary: 'two operators send policies concurrently, to any nodes, and read them',
    seconds: 40,
    play: (environment) => {
      repeatBetween(environment, 8_000, 34_000, 1_200, () => {
        putPolicyVariant(environment);
        environment.fleet.clock.schedule(environment.fleet.clock.between(0, 30), () =>
          putPolicyVariant(environment),
        );
      });
      repeatBetween(environment, 8_000, 36_000, 300, () => randomFaults.read?.(environment));
      repeatBetween(environment, 9_000, 32_000, 4_000, () => randomFaults.kill?.(environment));
    },
  },
  policies: {
    summary:
      'policies remove routes, services, instances, methods and caching, while origins are slow and nodes are killed, frozen and isolated',
    seconds: 52,
    rate: 200,
    play: playPolicyChanges,
  },
  'policies-homes': {
    summary: 'as policies, but over two regions, with home regions added, narrowed and moved',
    seconds: 52,
    rate: 200,
    example: 'association',
    play: playPolicyChanges,
  },
  homes: {
    summary:
      'two regions, with objects that have home regions; machines are killed, frozen and isolated',
    seconds: 45,
    example: 'association',
    play: (environment) => {
      repeatBetween(environment, 9_000, 38_000, 4_000, () => randomFaults.kill?.(environment));
      repeatBetween(environment, 9_000, 38_000, 5_000, () => randomFaults.freeze?.(environment));
      repeatBetween(environment, 11_000, 38_000, 7_000, () => randomFaults.cut?.(environment));
    },
  },
} satisfies Readonly<Record<string, Scenario>>;
