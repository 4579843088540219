/** Scenarios in which disks and power are lost. */

import {
  diskMachinesOf,
  repeatBetween,
  machineNamesOf,
  restart,
  type Scenario,
  zoneNamesOf,
} from './environment.js';
import { replaceOrigin } from './origin-faults.js';
import { putPolicyVariant, policyVariant } from './policy-changes.js';
import { randomFaults } from './random-faults.js';

/** Scenarios, by name. */
export const diskScenarios = {
  wipes: {
    summary: 'disks are wiped right after policies were sent',
    seconds: 45,
    play: (environment) => {
      repeatBetween(environment, 9_000, 38_000, 2_200, () => {
        putPolicyVariant(environment);
        environment.fleet.clock.schedule(environment.fleet.clock.between(5, 400), () =>
          randomFaults.wipe?.(environment),
        );
      });
      repeatBetween(environment, 9_000, 40_000, 400, () => randomFaults.read?.(environment));
    },
  },
  'wiped-and-down': {
    summary:
      'a policy reaches only a bare majority; two of its disks are wiped immediately while the third machine is down',
    seconds: 45,
    play: (environment) => {
      const { fleet } = environment;
      repeatBetween(environment, 10_000, 32_000, 9_000, () => {
        const order = [...diskMachinesOf(fleet)].sort(() => fleet.clock.random() - 0.5);
        const [first, second, third, ...others] = order;
        if (first === undefined || second === undefined || third === undefined) return;
        others.forEach((name) => fleet.isolate(name));
        fleet.fault(`${others.join(' and ')} isolated`);
        fleet.put(
          policyVariant(environment.policy, Math.floor(1e6 * fleet.clock.random())),
          () => {
            restart(fleet, first, 300, true);
            restart(fleet, second, 300, true);
            restart(fleet, third, 4_000);
            fleet.heal();
          },
          fleet.clock.pick(machineNamesOf(fleet, 'front')),
        );
      });
      repeatBetween(environment, 9_000, 40_000, 300, () => randomFaults.read?.(environment));
    },
  },
  'core-replaced': {
    summary:
      'a core machine is isolated and replaced under its name while it still runs; a second partition then separates the two',
    seconds: 45,
    play: (environment) => {
      const { fleet } = environment;
      const splitFrom = (side: readonly string[]): void => {
        for (const from of fleet.machineNames())
          for (const to of fleet.machineNames())
            if (side.includes(from) !== side.includes(to)) fleet.cut(from, to);
      };
      let number = 0;
      const put = (node: string): void => {
        number += 1;
        fleet.put(policyVariant(environment.policy, number), () => undefined, node);
      };
      fleet.clock.schedule(12_000, () => {
        splitFrom(['core-2', 'front-1']);
        fleet.fault('core-2 and front-1 isolated');
      });
      fleet.clock.schedule(13_000, () => {
        fleet.startDuplicate('core-2');
        fleet.fault('core-2 replaced while it runs');
      });
      fleet.clock.schedule(21_000, () => {
        fleet.heal();
        splitFrom(['core-2', 'front-1', 'core-1', 'core-3']);
        fleet.fault('partitioned again: the old core-2 on one side, the new one on the other');
      });
      // Immediately after the cut, before front-1 learns the address of the successor by gossip.
      repeatBetween(environment, 21_010, 22_000, 250, () => {
        put('front-1');
        put('front-2');
      });
      repeatBetween(environment, 22_500, 29_000, 1_500, () => {
        put('front-1');
        put('front-2');
      });
      fleet.clock.schedule(30_000, () => {
        fleet.heal();
        fleet.kill('core-2');
        fleet.fault('healed, the old core-2 killed');
      });
      repeatBetween(environment, 9_000, 40_000, 300, () => randomFaults.read?.(environment));
    },
  },
  'kill-after-ack': {
    summary: 'all machines with disks lose power just after a policy was acknowledged',
    seconds: 45,
    play: (environment) => {
      const { fleet } = environment;
      repeatBetween(environment, 9_000, 34_000, 5_000, () => {
        fleet.put(policyVariant(environment.policy, Math.floor(1e6 * fleet.clock.random())), () => {
          for (const name of diskMachinesOf(fleet))
            restart(fleet, name, fleet.clock.between(300, 900));
        });
      });
      repeatBetween(environment, 9_000, 40_000, 400, () => randomFaults.read?.(environment));
    },
  },
  'disks-wiped': {
    summary:
      'a majority of disks, then all, are wiped at the same time just after acknowledgements, while the other machines keep running',
    seconds: 60,
    play: (environment) => {
      const { fleet } = environment;
      const wipe = (count: number): void => {
        fleet.fault(`${count} disks wiped`);
        [...diskMachinesOf(fleet)]
          .sort(() => fleet.clock.random() - 0.5)
          .slice(0, count)
          .forEach((name) => restart(fleet, name, fleet.clock.between(300, 1_500), true));
      };
      // The changes are sent 5 s before the wipe, so that they reach all nodes. A change that no
      // surviving node knows cannot be recovered once a majority of disks is lost.
      [
        [14_000, 3],
        [28_000, 5],
        [42_000, 4],
      ].forEach(([at = 0, count = 0]) => {
        fleet.clock.schedule(at, () => {
          putPolicyVariant(environment);
          randomFaults.drain?.(environment);
          fleet.zone(fleet.clock.pick(zoneNamesOf(fleet)) ?? '', 'empty');
        });
        fleet.clock.schedule(at + 2_500, () => {
          for (const zone of zoneNamesOf(fleet)) fleet.zone(zone, 'take-back');
          randomFaults.purge?.(environment);
        });
        fleet.clock.schedule(at + 5_000, () => wipe(count));
      });
      repeatBetween(environment, 9_000, 56_000, 700, () => randomFaults.read?.(environment));
    },
  },
  'all-wiped': {
    summary:
      'every machine stops and every disk is wiped; the operator sends a policy again, and no older state comes back',
    seconds: 55,
    play: (environment) => {
      const { fleet, policy } = environment;
      repeatBetween(environment, 8_000, 13_000, 1_500, () => putPolicyVariant(environment));
      fleet.clock.schedule(15_000, () => {
        for (const name of machineNamesOf(fleet)) {
          fleet.kill(name);
          fleet.wipe(name);
        }
        fleet.fault('all state lost');
      });
      fleet.clock.schedule(18_000, () => {
        for (const name of machineNamesOf(fleet)) fleet.start(name);
      });
      fleet.clock.schedule(22_000, () => {
        fleet.put({ services: policy.services, routes: policy.routes.slice(0, -1) }, () =>
          fleet.fault('served again from here'),
        );
      });
      repeatBetween(environment, 23_000, 50_000, 700, () => randomFaults.read?.(environment));
    },
  },
  founding: {
    summary: 'disks are lost while the fleet is being founded',
    seconds: 30,
    play: (environment) => {
      const { fleet } = environment;
      for (let each = 0; each < 2; each += 1)
        fleet.clock.schedule(fleet.clock.between(200, 2_500), () =>
          randomFaults.wipe?.(environment),
        );
      repeatBetween(environment, 8_000, 24_000, 2_000, () => putPolicyVariant(environment));
      repeatBetween(environment, 8_000, 26_000, 600, () => randomFaults.read?.(environment));
    },
  },
  'loss-after-ack': {
    summary:
      'every machine loses power and returns, just after a policy, a purge, a zone order or a drain notice was acknowledged',
    seconds: 75,
    play: (environment) => {
      const { fleet } = environment;
      const losePower = (): void => {
        fleet.fault('all machines lost');
        for (const name of machineNamesOf(fleet)) fleet.kill(name);
        fleet.clock.schedule(1_500, () => {
          for (const name of machineNamesOf(fleet)) fleet.start(name);
        });
      };
      const acts: readonly (() => void)[] = [
        () => fleet.put(policyVariant(environment.policy, 1), losePower),
        () => fleet.purge([], ['1', '2', '3'], losePower),
        () => fleet.zone('west', 'empty', losePower),
        () => {
          const origin = fleet.clock.pick(fleet.origins.filter((each) => !each.draining));
          if (origin !== undefined) {
            Object.assign(origin, { draining: true, silent: true });
            fleet.describe(origin, losePower);
          }
        },
      ];
      acts.forEach((act, index) => fleet.clock.schedule(12_000 + 14_000 * index, act));
      fleet.clock.schedule(50_000, () => fleet.zone('west', 'take-back'));
      repeatBetween(environment, 9_000, 70_000, 700, () => randomFaults.read?.(environment));
    },
  },
  'full-loss': {
    summary:
      'all machines lose power at the same time; some disks are wiped; then all machines return',
    seconds: 55,
    play: (environment) => {
      const { fleet } = environment;
      fleet.clock.schedule(15_000, () => {
        for (const name of machineNamesOf(fleet)) fleet.kill(name);
        fleet.fault('all machines lost');
        const wiped = diskMachinesOf(fleet)
          .filter(() => fleet.clock.random() < 0.3)
          .slice(0, 2);
        wiped.forEach((name) => fleet.wipe(name));
      });
      fleet.clock.schedule(20_000, () => {
        for (const name of machineNamesOf(fleet)) fleet.start(name);
        fleet.fault('all machines back');
      });
      repeatBetween(environment, 9_000, 45_000, 2_000, () => randomFaults.read?.(environment));
    },
  },
  'zone-power': {
    summary: 'a zone loses power, with its machines and origins, and returns',
    seconds: 45,
    play: (environment) => {
      const { fleet } = environment;
      fleet.clock.schedule(12_000, () => {
        const zone = fleet.clock.pick(zoneNamesOf(fleet)) ?? '';
        const lost = fleet.deployment.machines
          .filter((machine) => machine.zone === zone)
          .map((machine) => machine.name);
        fleet.fault(`${zone} lost power`);
        lost.forEach((name) => fleet.kill(name));
        for (const origin of fleet.origins.filter((each) => each.spec.zone === zone))
          replaceOrigin(fleet, origin, 12_000);
        fleet.clock.schedule(12_000, () => lost.forEach((name) => fleet.start(name)));
      });
      repeatBetween(environment, 9_000, 40_000, 3_000, () => putPolicyVariant(environment));
      repeatBetween(environment, 9_000, 40_000, 800, () => randomFaults.read?.(environment));
    },
  },
} satisfies Readonly<Record<string, Scenario>>;
