/** Operators change policies while traffic runs. */

import { repeatBetween, type Scenario } from './environment.js';
import { putPolicyVariant } from './policy-changes.js';
import { playPolicyChanges, randomFaults } from './random-faults.js';

/** Scenarios, by name. */
export const policyScenarios = {
  operators: {
    summary: 'two operators send policies at once, on different nodes, and read',
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
      'policies that take routes, services, instances, methods and copies away, while origins are slow and nodes are killed, frozen and cut',
    seconds: 52,
    rate: 200,
    play: playPolicyChanges,
  },
  'policies-homes': {
    summary: 'the same over two regions, with homes added, narrowed and moved',
    seconds: 52,
    rate: 200,
    example: 'association',
    play: playPolicyChanges,
  },
  homes: {
    summary: 'two regions; homed reports, cuts between the regions, kills and freezes',
    seconds: 45,
    example: 'association',
    play: (environment) => {
      repeatBetween(environment, 9_000, 38_000, 4_000, () => randomFaults.kill?.(environment));
      repeatBetween(environment, 9_000, 38_000, 5_000, () => randomFaults.freeze?.(environment));
      repeatBetween(environment, 11_000, 38_000, 7_000, () => randomFaults.cut?.(environment));
    },
  },
} satisfies Readonly<Record<string, Scenario>>;
