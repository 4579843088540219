/** Scenarios with faults of the network and of clocks: losses, partitions, delays, freezes. */

import {
  diskMachinesOf,
  repeatBetween,
  machineNamesOf,
  restart,
  type Scenario,
} from './environment.js';
import { putPolicyVariant } from './policy-changes.js';
import { randomFaults } from './random-faults.js';

/** Scenarios, by name. */
export const networkScenarios = {
  lossy: {
    summary: '3 % of the messages are lost, from the first start on',
    seconds: 45,
    loss: 0.03,
    play: (environment) => {
      repeatBetween(environment, 8_000, 38_000, 3_000, () => putPolicyVariant(environment));
      repeatBetween(environment, 9_000, 40_000, 700, () => randomFaults.read?.(environment));
      repeatBetween(environment, 9_000, 38_000, 900, () => randomFaults.purge?.(environment));
    },
  },
  cuts: {
    summary:
      'machines are isolated one after another, in one or both directions, while policies change and are read',
    seconds: 45,
    play: (environment) => {
      repeatBetween(environment, 8_000, 36_000, 4_000, () => randomFaults.cut?.(environment));
      repeatBetween(environment, 9_000, 38_000, 3_000, () => putPolicyVariant(environment));
      repeatBetween(environment, 9_000, 40_000, 700, () => randomFaults.read?.(environment));
      repeatBetween(environment, 9_000, 38_000, 900, () => randomFaults.purge?.(environment));
    },
  },
  'core-split': {
    summary: 'a partition splits the machines with disks into two sides, then heals',
    seconds: 40,
    play: (environment) => {
      const { fleet } = environment;
      fleet.clock.schedule(12_000, () => {
        fleet.fault('core partitioned');
        const firstSide = new Set(diskMachinesOf(fleet).filter((_, index) => index % 2 === 0));
        for (const from of fleet.machineNames())
          for (const to of fleet.machineNames())
            if (
              (firstSide.has(from) || from.charCodeAt(from.length - 1) % 2 === 0) !==
              (firstSide.has(to) || to.charCodeAt(to.length - 1) % 2 === 0)
            )
              fleet.cut(from, to);
      });
      fleet.clock.schedule(24_000, () => {
        fleet.heal();
        fleet.fault('healed');
      });
      repeatBetween(environment, 9_000, 34_000, 2_500, () => putPolicyVariant(environment));
      repeatBetween(environment, 9_000, 36_000, 600, () => randomFaults.read?.(environment));
    },
  },
  freezes: {
    summary: 'machines freeze and thaw while policies change and objects are purged',
    seconds: 45,
    play: (environment) => {
      repeatBetween(environment, 8_000, 38_000, 2_000, () => randomFaults.freeze?.(environment));
      repeatBetween(environment, 9_000, 38_000, 4_000, () => putPolicyVariant(environment));
      repeatBetween(environment, 9_000, 38_000, 900, () => randomFaults.purge?.(environment));
      repeatBetween(environment, 10_000, 36_000, 900, () => randomFaults.read?.(environment));
    },
  },
  'slow-peers': {
    summary:
      'routes allow two attempts; origins are slow at times, and peers freeze or are killed between receiving a request and responding',
    seconds: 40,
    rate: 200,
    policy: (policy) => ({
      ...policy,
      routes: policy.routes.map((route) => ({
        ...route,
        limits: { ...route.limits, attempts: 2 },
      })),
    }),
    play: (environment) => {
      const { fleet } = environment;
      repeatBetween(environment, 8_000, 36_000, 2_000, () => {
        for (const origin of fleet.origins)
          origin.mode.slowMs = fleet.clock.random() < 0.4 ? fleet.clock.between(200, 900) : 20;
        for (const origin of fleet.origins)
          origin.mode.garbage = fleet.clock.random() < 0.3 ? 0.2 : 0;
      });
      repeatBetween(environment, 10_000, 34_000, 5_000, () => {
        const name = fleet.clock.pick(machineNamesOf(fleet, 'front')) ?? '';
        if (fleet.clock.random() < 0.5) {
          restart(fleet, name, 1_000);
          return;
        }
        fleet.freeze(name);
        fleet.clock.schedule(fleet.clock.between(300, 900), () => fleet.thaw(name));
      });
    },
  },
  drifting: {
    summary:
      'clocks run up to 5 % too fast or too slow, while nodes freeze and are isolated, policies change, objects are purged, origins drain and demand exceeds rate limits',
    seconds: 50,
    rate: 200,
    drift: 0.05,
    policy: (policy) => ({
      ...policy,
      services: Object.fromEntries(
        Object.entries(policy.services).map(([name, service]) => [
          name,
          { ...service, ceiling: 40 },
        ]),
      ),
    }),
    play: (environment) => {
      repeatBetween(environment, 8_000, 42_000, 3_000, () => randomFaults.freeze?.(environment));
      repeatBetween(environment, 11_000, 40_000, 6_000, () => randomFaults.cut?.(environment));
      repeatBetween(environment, 9_000, 42_000, 2_000, () => putPolicyVariant(environment));
      repeatBetween(environment, 9_000, 42_000, 600, () => randomFaults.purge?.(environment));
      repeatBetween(environment, 9_000, 40_000, 6_000, () => randomFaults.drain?.(environment));
      repeatBetween(environment, 9_000, 44_000, 900, () => randomFaults.read?.(environment));
      repeatBetween(environment, 12_000, 40_000, 9_000, () => {
        const holder = environment.fleet.holder();
        if (holder !== undefined) restart(environment.fleet, holder, 2_500);
      });
    },
  },
  busy: {
    summary:
      'machines are busy: every message is delayed by up to 80 ms, while policies change and are read and nodes restart in turn',
    seconds: 45,
    busyMs: 80,
    play: (environment) => {
      const { fleet } = environment;
      repeatBetween(environment, 9_000, 38_000, 3_000, () => putPolicyVariant(environment));
      repeatBetween(environment, 9_000, 40_000, 700, () => randomFaults.read?.(environment));
      machineNamesOf(fleet, 'front').forEach((name, index) =>
        fleet.clock.schedule(10_000 + 3_000 * index, () => {
          fleet.warn(name);
          fleet.clock.schedule(2_500, () => restart(fleet, name, 1_000));
        }),
      );
    },
  },
} satisfies Readonly<Record<string, Scenario>>;
