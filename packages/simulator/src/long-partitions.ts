/** Scenarios with network partitions that last longer than every lease. */
import type { Scenario, ScenarioEnvironment, ScenarioFleet } from './scenarios/environment.js';

/**
 * In these scenarios machines are isolated from a majority of replicas for 20 s and more, and keep
 * serving meanwhile.
 */

type CutDirection = 'both' | 'out' | 'in';

const machines = (fleet: ScenarioFleet, isReplica: boolean): readonly string[] =>
  fleet.deployment.machines
    .filter((machine) => (machine.kind !== 'front') === isReplica)
    .map((machine) => machine.name);

/** Isolates some machines from all others; origins, clients and operators still reach both sides. */
const isolateSide = (
  fleet: ScenarioFleet,
  isolated: readonly string[],
  direction: CutDirection,
): void => {
  const others = fleet.machineNames().filter((name) => !isolated.includes(name));
  for (const inside of isolated) {
    for (const outside of others) {
      if (direction !== 'in') fleet.cut(inside, outside);
      if (direction !== 'out') fleet.cut(outside, inside);
    }
  }
  fleet.fault(`${isolated.join(', ')} isolated, ${direction}`);
};

const repeat = (
  environment: ScenarioEnvironment,
  from: number,
  to: number,
  everyMs: number,
  action: () => void,
): void => {
  const { clock } = environment.fleet;
  const runOnce = (): void => {
    if (clock.now() > to) return;
    action();
    clock.schedule(everyMs * clock.between(0.6, 1.4), runOnce);
  };
  clock.schedule(from, runOnce);
};

/** Returns the policy of the environment with one more route, named by a number. */
const withExtraRoute = (
  { policy }: ScenarioEnvironment,
  number: number,
): ScenarioEnvironment['policy'] => {
  const [first] = policy.routes;
  if (first === undefined) return policy;
  const extra = { ...first, name: `extra-${number}`, path: `/extra-${number}/` };
  return { ...policy, routes: [...policy.routes, extra] };
};

/** Sends commands and reads, half of them to an isolated node and half to any node. */
const runOperators = (
  environment: ScenarioEnvironment,
  side: () => readonly string[],
  until: number,
): void => {
  const { fleet } = environment;
  const { clock } = fleet;
  const target = (): string | undefined => (clock.random() < 0.5 ? clock.pick(side()) : undefined);
  const number = (): number => Math.floor(1e6 * clock.random());
  repeat(environment, 9_000, until, 1_500, () =>
    fleet.put(withExtraRoute(environment, number()), undefined, target()),
  );
  repeat(environment, 9_000, until, 400, () => fleet.read(target()));
  repeat(environment, 9_000, until, 1_100, () => {
    fleet.purge([], [String(Math.floor(8 * clock.random()))], undefined, target());
  });
};

const drainRandomOrigin = ({ fleet }: ScenarioEnvironment): void => {
  const origin = fleet.clock.pick(fleet.origins.filter((each) => each.alive && !each.draining));
  if (origin === undefined) return;
  origin.draining = true;
  fleet.describe(origin);
  fleet.clock.schedule(4_000, () => {
    Object.assign(origin, { draining: false, incarnation: origin.incarnation + 1 });
    fleet.describe(origin);
  });
};

const restart = (fleet: ScenarioFleet, name: string, downMs: number): void => {
  fleet.kill(name);
  fleet.fault(`${name} killed`);
  fleet.clock.schedule(downMs, () => fleet.start(name));
};

/** Isolates one core machine and one front, each on its own, for 22 s. */
const oneReplicaAndOneFront =
  (direction: CutDirection) =>
  (environment: ScenarioEnvironment): void => {
    const { fleet } = environment;
    const { clock } = fleet;
    let side: readonly string[] = [];
    clock.schedule(10_000, () => {
      side = [clock.pick(machines(fleet, true)) ?? '', clock.pick(machines(fleet, false)) ?? ''];
      for (const each of side) isolateSide(fleet, [each], direction);
    });
    clock.schedule(32_000, () => {
      fleet.heal();
      fleet.fault('healed');
      side = [];
    });
    repeat(environment, 11_000, 30_000, 4_000, () => drainRandomOrigin(environment));
    runOperators(environment, () => side, 40_000);
  };

/**
 * Splits the fleet into two sides, with two of five replicas and half of the fronts on one of them.
 * The seeds change and machines restart meanwhile.
 */
const twoSides = (environment: ScenarioEnvironment): void => {
  const { fleet } = environment;
  const { clock } = fleet;
  let side: readonly string[] = [];
  clock.schedule(10_000, () => {
    const fronts = machines(fleet, false).filter((_name, index) => index % 2 === 0);
    const replicas = [...machines(fleet, true)].sort(() => clock.random() - 0.5).slice(0, 2);
    side = [...replicas, ...fronts];
    isolateSide(fleet, side, 'both');
  });
  clock.schedule(14_000, () => {
    const [first, second, third] = [...fleet.machineNames()].sort(() => clock.random() - 0.5);
    fleet.seeds = [first, second, third].map((name) => `${name}/agent`);
    fleet.fault(`seeds are now ${fleet.seeds.join(', ')}`);
  });
  for (const [at, isInside] of [
    [15_000, true],
    [18_000, false],
  ] as const) {
    clock.schedule(at, () => {
      const name = clock.pick(
        machines(fleet, false).filter((each) => side.includes(each) === isInside),
      );
      if (name !== undefined) restart(fleet, name, 1_500);
    });
  }
  clock.schedule(34_000, () => {
    fleet.heal();
    fleet.fault('healed');
    side = [];
  });
  runOperators(environment, () => side, 42_000);
};

/**
 * Isolates a core machine and three fronts. The core machine and a front restart during the partition;
 * a front that froze before thaws in it, and another front freezes and thaws in it.
 */
const restartsInsidePartition = (environment: ScenarioEnvironment): void => {
  const { fleet } = environment;
  const { clock } = fleet;
  let side: readonly string[] = [];
  clock.schedule(9_000, () => {
    const replica = clock.pick(machines(fleet, true)) ?? '';
    const fronts = [...machines(fleet, false)].sort(() => clock.random() - 0.5);
    side = [replica, ...fronts.slice(0, 3)];
    const [, restarted, frozenBefore, frozenInside] = side;
    fleet.freeze(frozenBefore ?? '');
    clock.schedule(1_000, () => {
      for (const each of side) isolateSide(fleet, [each], 'both');
    });
    clock.schedule(clock.between(3_000, 8_000), () => fleet.thaw(frozenBefore ?? ''));
    clock.schedule(clock.between(5_000, 9_000), () => fleet.freeze(frozenInside ?? ''));
    clock.schedule(clock.between(14_000, 18_000), () => fleet.thaw(frozenInside ?? ''));
    clock.schedule(clock.between(6_000, 12_000), () => restart(fleet, replica, 1_000));
    clock.schedule(clock.between(6_000, 12_000), () => restart(fleet, restarted ?? '', 1_000));
  });
  clock.schedule(32_000, () => {
    fleet.heal();
    fleet.fault('healed');
    side = [];
  });
  runOperators(environment, () => side, 40_000);
};

/** Wipes most disks twice: replicas without their data reply but do not vote for a while. */
const wipedReplicas = (environment: ScenarioEnvironment): void => {
  const { fleet } = environment;
  const { clock } = fleet;
  const wipeDisks = (count: number): void => {
    const chosen = [...machines(fleet, true)].sort(() => clock.random() - 0.5).slice(0, count);
    for (const name of chosen) {
      fleet.kill(name);
      fleet.wipe(name);
      clock.schedule(clock.between(200, 400), () => fleet.start(name));
    }
    fleet.fault(`${count} disks wiped`);
  };
  clock.schedule(12_000, () => wipeDisks(3));
  clock.schedule(26_000, () => wipeDisks(4));
  repeat(environment, 9_000, 36_000, 700, () => fleet.read());
};

/** Scenarios, by name. */
export const longPartitionScenarios: Readonly<Record<string, Scenario>> = {
  'cut-20s': {
    summary:
      'one core machine and one front are isolated, each on its own, for 22 s in both directions',
    seconds: 44,
    servesOn: true,
    play: oneReplicaAndOneFront('both'),
  },
  'cut-20s-out': {
    summary: 'as cut-20s, but only the messages that they send are lost',
    seconds: 44,
    servesOn: true,
    play: oneReplicaAndOneFront('out'),
  },
  'cut-20s-in': {
    summary: 'as cut-20s, but only the messages to them are lost',
    seconds: 44,
    servesOn: true,
    play: oneReplicaAndOneFront('in'),
  },
  'cut-halves': {
    summary:
      'the fleet splits into two sides for 24 s, one with a majority; the seeds change and machines restart meanwhile',
    seconds: 46,
    servesOn: true,
    play: twoSides,
  },
  'cut-restarts': {
    summary: 'machines are isolated for 22 s, and restart, freeze and thaw during the partition',
    seconds: 44,
    servesOn: true,
    play: restartsInsidePartition,
  },
  'cut-20s-busy': {
    summary:
      'one core machine and one front are isolated for 22 s; every message is delayed by up to 80 ms, and one in twenty is lost',
    seconds: 44,
    servesOn: true,
    busyMs: 80,
    loss: 0.05,
    play: oneReplicaAndOneFront('both'),
  },
  'refusing-replicas': {
    summary: 'most disks are wiped: replicas reply but do not vote for a while',
    seconds: 40,
    servesOn: true,
    busyMs: 40,
    play: wipedReplicas,
  },
};
