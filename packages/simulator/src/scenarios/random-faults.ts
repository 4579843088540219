/** Faults that scenarios inject at random machines, zones and origins. */

import {
  diskMachinesOf,
  repeatBetween,
  machineNamesOf,
  restart,
  type ScenarioEnvironment,
  zoneNamesOf,
} from './environment.js';
import { drain, replaceOrigin } from './origin-faults.js';
import { mutatedPolicy } from './policy-changes.js';

/**
 * Sends mutated policies, and the original policy a quarter of the time, while origins are slow and
 * machines fail.
 */
export const playPolicyChanges = (environment: ScenarioEnvironment): void => {
  const { fleet } = environment;
  repeatBetween(environment, 9_000, 46_000, 2_200, () => {
    if (fleet.clock.random() < 0.25) fleet.put(environment.policy);
    else fleet.put(mutatedPolicy(environment));
  });
  repeatBetween(environment, 9_000, 46_000, 900, () => randomFaults.slow?.(environment));
  repeatBetween(environment, 9_000, 46_000, 900, () => randomFaults.read?.(environment));
  repeatBetween(environment, 10_000, 44_000, 4_000, () => randomFaults.kill?.(environment));
  repeatBetween(environment, 11_000, 44_000, 4_000, () => randomFaults.freeze?.(environment));
  repeatBetween(environment, 12_000, 44_000, 9_000, () => randomFaults.cut?.(environment));
};

/** The faults, by name. */
export const randomFaults: Readonly<Record<string, (environment: ScenarioEnvironment) => void>> = {
  kill: ({ fleet }) => {
    const name = fleet.clock.pick(machineNamesOf(fleet));
    if (name !== undefined) restart(fleet, name, fleet.clock.between(500, 5_000));
  },
  herd: ({ fleet }) => {
    for (const name of machineNamesOf(fleet, 'front'))
      if (fleet.clock.random() < 0.3) restart(fleet, name, fleet.clock.between(500, 4_000));
  },
  freeze: ({ fleet }) => {
    const name = fleet.clock.pick(machineNamesOf(fleet));
    if (name !== undefined) {
      fleet.freeze(name);
      fleet.fault(`${name} frozen`);
      fleet.clock.schedule(fleet.clock.between(500, 9_000), () => fleet.thaw(name));
    }
  },
  cut: ({ fleet }) => {
    const name = fleet.clock.pick(machineNamesOf(fleet));
    if (name === undefined) return;
    fleet.isolate(name, fleet.clock.pick(['both', 'in', 'out'] as const));
    fleet.fault(`${name} isolated`);
    fleet.clock.schedule(fleet.clock.between(1_000, 8_000), () => fleet.heal());
  },
  wipe: ({ fleet }) => {
    const name = fleet.clock.pick(diskMachinesOf(fleet));
    if (name !== undefined) restart(fleet, name, fleet.clock.between(300, 3_000), true);
  },
  drain: ({ fleet }) => {
    const origin = fleet.clock.pick(fleet.origins.filter((each) => each.alive && !each.draining));
    if (origin !== undefined) drain(fleet, origin, true);
  },
  crash: ({ fleet }) => {
    const origin = fleet.clock.pick(fleet.origins.filter((each) => each.alive));
    if (origin !== undefined) replaceOrigin(fleet, origin, fleet.clock.between(300, 4_000));
  },
  slow: ({ fleet }) => {
    const origin = fleet.clock.pick(fleet.origins);
    if (origin !== undefined) {
      origin.mode.slowMs = 1_500;
      fleet.clock.schedule(4_000, () => {
        origin.mode.slowMs = 5;
      });
    }
  },
  purge: ({ fleet, policy, sample }) => {
    if (fleet.clock.random() < 0.5) fleet.purge([], [String(Math.floor(8 * fleet.clock.random()))]);
    else fleet.purge([`http://${policy.routes[0]?.host ?? ''}${sample().target}`], []);
  },
  zone: ({ fleet }) => {
    const zone = fleet.clock.pick(zoneNamesOf(fleet));
    if (zone !== undefined) {
      fleet.zone(zone, 'empty');
      fleet.clock.schedule(9_000, () => fleet.zone(zone, 'take-back'));
    }
  },
  read: ({ fleet }) => fleet.read(),
};
