/** Scenarios in which zones and regions are evacuated and restored. */

import { repeatBetween, type Scenario } from './environment.js';
import { randomFaults } from './random-faults.js';

/** Scenarios, by name. */
export const zoneScenarios = {
  zones: {
    summary: 'zones are evacuated and restored while nodes freeze and are isolated',
    seconds: 50,
    play: (environment) => {
      repeatBetween(environment, 8_000, 36_000, 12_000, () => randomFaults.zone?.(environment));
      repeatBetween(environment, 9_000, 40_000, 5_000, () => randomFaults.freeze?.(environment));
      repeatBetween(environment, 11_000, 40_000, 7_000, () => randomFaults.cut?.(environment));
    },
  },
  'region-emptied': {
    summary:
      'all zones of a region are evacuated one after another and restored, with objects that have home regions; nodes freeze and are isolated',
    seconds: 50,
    example: 'association',
    play: (environment) => {
      const { fleet } = environment;
      repeatBetween(environment, 9_000, 30_000, 18_000, () => {
        const region =
          fleet.clock.pick([
            ...new Set(fleet.deployment.machines.map((machine) => machine.region)),
          ]) ?? '';
        const regionZones = [
          ...new Set(
            fleet.deployment.machines
              .filter((machine) => machine.region === region)
              .map((machine) => machine.zone),
          ),
        ];
        fleet.fault(`${region} evacuated`);
        regionZones.forEach((zone, index) => {
          fleet.clock.schedule(300 * index, () => fleet.zone(zone, 'empty'));
          fleet.clock.schedule(10_000 + 300 * index, () => fleet.zone(zone, 'take-back'));
        });
      });
      repeatBetween(environment, 9_000, 40_000, 5_000, () => randomFaults.freeze?.(environment));
      repeatBetween(environment, 11_000, 40_000, 7_000, () => randomFaults.cut?.(environment));
    },
  },
} satisfies Readonly<Record<string, Scenario>>;
