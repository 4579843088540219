/** Scenarios in which machines restart, are replaced and join. */

import {
  diskMachinesOf,
  repeatBetween,
  machineNamesOf,
  restart,
  type Scenario,
} from './environment.js';
import { putPolicyVariant, policyVariant } from './policy-changes.js';
import { randomFaults } from './random-faults.js';

/** Scenarios, by name. */
export const machineScenarios = {
  rolling: {
    summary: 'in turn, every machine is asked to stop, killed 3 s later and started again',
    seconds: 70,
    play: (environment) => {
      const { fleet } = environment;
      machineNamesOf(fleet).forEach((name, index) =>
        fleet.clock.schedule(9_000 + 3_500 * index, () => {
          fleet.warn(name);
          fleet.clock.schedule(3_000, () => restart(fleet, name, 1_200));
        }),
      );
      repeatBetween(environment, 9_000, 52_000, 5_000, () => putPolicyVariant(environment));
      repeatBetween(environment, 9_000, 52_000, 900, () => randomFaults.read?.(environment));
    },
  },
  'seeds-changed': {
    summary: 'two old seeds go down; other nodes restart with new seeds and find the fleet',
    seconds: 50,
    play: (environment) => {
      const { fleet } = environment;
      fleet.clock.schedule(10_000, () => {
        fleet.seeds = ['front-1/agent', 'front-2/agent', 'core-3/agent'];
        fleet.kill('store-1');
        fleet.kill('store-2');
        fleet.fault('two old seeds killed, new ones in the settings');
      });
      ['front-5', 'core-2', 'front-6', 'front-7'].forEach((name, index) =>
        fleet.clock.schedule(14_000 + 4_000 * index, () => {
          fleet.warn(name);
          fleet.clock.schedule(2_000, () => restart(fleet, name, 800));
        }),
      );
      fleet.clock.schedule(36_000, () => {
        fleet.start('store-1');
        fleet.start('store-2');
      });
      repeatBetween(environment, 9_000, 44_000, 900, () => randomFaults.read?.(environment));
      repeatBetween(environment, 9_000, 42_000, 5_000, () => putPolicyVariant(environment));
    },
  },
  'members-replaced': {
    summary:
      'three seeds found the membership; machines of members go down, are replaced by others and return; disks are wiped, and all machines lose power once',
    seconds: 75,
    voting: { losses: 1 },
    play: (environment) => {
      const { fleet } = environment;
      const takeDown = (atMs: number, name: string, downMs: number, wiped: boolean): void => {
        fleet.clock.schedule(atMs, () => {
          putPolicyVariant(environment);
          fleet.clock.schedule(fleet.clock.between(0, 300), () =>
            restart(fleet, name, downMs, wiped),
          );
        });
      };
      takeDown(10_000, 'core-1', 14_000, false);
      fleet.clock.schedule(20_500, () => {
        fleet.seeds = ['core-2/agent', 'core-3/agent', 'front-1/agent'];
      });
      takeDown(27_000, 'store-1', 1_000, true);
      takeDown(33_000, 'store-2', 13_000, true);
      fleet.clock.schedule(49_500, () => {
        for (const name of machineNamesOf(fleet)) fleet.kill(name);
        fleet.fault('all machines lost');
      });
      fleet.clock.schedule(51_000, () => {
        for (const name of machineNamesOf(fleet)) fleet.start(name);
        fleet.fault('all machines back');
      });
      repeatBetween(environment, 9_000, 66_000, 2_500, () => putPolicyVariant(environment));
      repeatBetween(environment, 9_000, 66_000, 700, () => randomFaults.read?.(environment));
      repeatBetween(environment, 9_000, 66_000, 900, () => randomFaults.purge?.(environment));
    },
  },
  'members-grow': {
    summary:
      'three seeds found the membership, which grows by two slots; then two disks are wiped at the same time, repeatedly',
    seconds: 45,
    voting: { losses: 2 },
    play: (environment) => {
      const { fleet } = environment;
      repeatBetween(environment, 10_000, 32_000, 6_000, () => {
        fleet.put(policyVariant(environment.policy, Math.floor(1e6 * fleet.clock.random())), () => {
          [...diskMachinesOf(fleet)]
            .sort(() => fleet.clock.random() - 0.5)
            .slice(0, 2)
            .forEach((name) => restart(fleet, name, fleet.clock.between(300, 1_500), true));
        });
      });
      repeatBetween(environment, 9_000, 40_000, 400, () => randomFaults.read?.(environment));
    },
  },
} satisfies Readonly<Record<string, Scenario>>;
