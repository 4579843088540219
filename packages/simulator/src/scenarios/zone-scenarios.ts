/** Zones and regions are evacuated and restored. */

import { every, type Scenario } from './environment.js';
import { faults } from './random-faults.js';

/** Scenarios, by name. */
export const zoneScenarios = {
  zones: {
    what: 'zones are emptied and taken back while nodes freeze and are cut',
    seconds: 50,
    play: (environment) => {
      every(environment, 8_000, 36_000, 12_000, () => faults.zone?.(environment));
      every(environment, 9_000, 40_000, 5_000, () => faults.freeze?.(environment));
      every(environment, 11_000, 40_000, 7_000, () => faults.cut?.(environment));
    },
  },
  'region-emptied': {
    what: 'all zones of a region are emptied one after another and taken back, with homed reports; nodes freeze and are cut',
    seconds: 50,
    example: 'association',
    play: (environment) => {
      const { fleet } = environment;
      every(environment, 9_000, 30_000, 18_000, () => {
        const region =
          fleet.clock.pick([
            ...new Set(fleet.deployment.machines.map((machine) => machine.region)),
          ]) ?? '';
        const own = [
          ...new Set(
            fleet.deployment.machines
              .filter((machine) => machine.region === region)
              .map((machine) => machine.zone),
          ),
        ];
        fleet.fault(`${region} emptied`);
        own.forEach((zone, index) => {
          fleet.clock.in(300 * index, () => fleet.zone(zone, 'empty'));
          fleet.clock.in(10_000 + 300 * index, () => fleet.zone(zone, 'take-back'));
        });
      });
      every(environment, 9_000, 40_000, 5_000, () => faults.freeze?.(environment));
      every(environment, 11_000, 40_000, 7_000, () => faults.cut?.(environment));
    },
  },
} satisfies Readonly<Record<string, Scenario>>;
