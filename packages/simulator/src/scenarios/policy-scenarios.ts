/** Operators change policies while traffic runs. */

import { every, type Scenario } from './environment.js';
import { putVariant } from './policy-changes.js';
import { changing, faults } from './random-faults.js';

/** Scenarios, by name. */
export const policyScenarios = {
  operators: {
    what: 'two operators send policies at once, on different nodes, and read',
    seconds: 40,
    play: (environment) => {
      every(environment, 8_000, 34_000, 1_200, () => {
        putVariant(environment);
        environment.fleet.clock.in(environment.fleet.clock.between(0, 30), () =>
          putVariant(environment),
        );
      });
      every(environment, 8_000, 36_000, 300, () => faults.read?.(environment));
      every(environment, 9_000, 32_000, 4_000, () => faults.kill?.(environment));
    },
  },
  policies: {
    what: 'policies that take routes, services, instances, methods and copies away, while origins are slow and nodes are killed, frozen and cut',
    seconds: 52,
    rate: 200,
    play: changing,
  },
  'policies-homes': {
    what: 'the same over two regions, with homes added, narrowed and moved',
    seconds: 52,
    rate: 200,
    example: 'association',
    play: changing,
  },
  homes: {
    what: 'two regions; homed reports, cuts between the regions, kills and freezes',
    seconds: 45,
    example: 'association',
    play: (environment) => {
      every(environment, 9_000, 38_000, 4_000, () => faults.kill?.(environment));
      every(environment, 9_000, 38_000, 5_000, () => faults.freeze?.(environment));
      every(environment, 11_000, 38_000, 7_000, () => faults.cut?.(environment));
    },
  },
} satisfies Readonly<Record<string, Scenario>>;
