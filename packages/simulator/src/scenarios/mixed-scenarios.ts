/** Scenarios that combine many kinds of faults. */

import { repeatBetween, type Scenario, zoneNamesOf } from './environment.js';
import { injectOriginFaults } from './origin-faults.js';
import { putPolicyVariant } from './policy-changes.js';
import { randomFaults } from './random-faults.js';

/** Scenarios, by name. */
export const mixedScenarios = {
  closing: {
    summary:
      'just before the end of the load a zone loses power, a machine freezes and an origin drains',
    seconds: 40,
    play: (environment) => {
      const { fleet, endMs } = environment;
      repeatBetween(environment, 9_000, endMs, 2_000, () => randomFaults.purge?.(environment));
      fleet.clock.schedule(endMs - 4_000, () => {
        const zone = fleet.clock.pick(zoneNamesOf(fleet)) ?? '';
        putPolicyVariant(environment);
        for (const machine of fleet.deployment.machines.filter((each) => each.zone === zone))
          fleet.kill(machine.name);
        fleet.fault(`${zone} lost power for good`);
        randomFaults.freeze?.(environment);
        randomFaults.drain?.(environment);
        randomFaults.purge?.(environment);
      });
      repeatBetween(environment, 9_000, endMs + 8_000, 900, () => randomFaults.read?.(environment));
    },
  },
  everything: {
    summary: 'every kind of fault at random',
    seconds: 60,
    play: (environment) => {
      environment.fleet.clock.schedule(8_000, () => injectOriginFaults(environment.fleet));
      repeatBetween(environment, 8_000, 48_000, 1_500, () => {
        const fault = environment.fleet.clock.pick(Object.values(randomFaults));
        fault?.(environment);
      });
      repeatBetween(environment, 9_000, 52_000, 4_000, () => putPolicyVariant(environment));
      repeatBetween(environment, 9_000, 52_000, 700, () => randomFaults.read?.(environment));
      repeatBetween(environment, 9_000, 52_000, 900, () => randomFaults.purge?.(environment));
    },
  },
} satisfies Readonly<Record<string, Scenario>>;
