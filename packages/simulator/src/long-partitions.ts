/** Scenarios of partitions that outlast every lease. */
import type { Scenario, ScenarioEnvironment, ScenarioFleet } from './scenarios/environment.js';

/**
 * Scenarios in which machines are cut off from a majority for 20 s and more, and served on by it.
 */

type CutDirection = 'both' | 'out' | 'in';

const machines = (fleet: ScenarioFleet, isReplica: boolean): readonly string[] =>
  fleet.deployment.machines
    .filter((machine) => (machine.kind !== 'front') === isReplica)
    .map((machine) => machine.name);

/** Cuts some machines from all others; origins, callers and operators still reach both sides. */
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
  fleet.fault(`${isolated.join(', ')} cut off, ${direction}`);
};

const repeat = (
  environment: ScenarioEnvironment,
  from: number,
  to: number,
  everyMs: number,
  act: () => void,
): void => {
  const { clock } = environment.fleet;
  const next = (): void => {
    if (clock.now() > to) return;
    act();
    clock.schedule(everyMs * clock.between(0.6, 1.4), next);
  };
  clock.schedule(from, next);
};

/** A policy that differs from the first by one more route, by a number. */
const withExtraRoute = (
  { policy }: ScenarioEnvironment,
  number: number,
): ScenarioEnvironment['policy'] => {
  const [first] = policy.routes;
  if (first === undefined) return policy;
  const extra = { ...first, name: `extra-${number}`, path: `/extra-${number}/` };
  return { ...policy, routes: [...policy.routes, extra] };
};

/** Orders and reads that go to any node, and as often to one that is cut off. */
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

const drainOne = ({ fleet }: ScenarioEnvironment): void => {
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

/** One core machine and one front, cut off by themselves for 22 s. */
const oneReplicaAndOneFront =
  (way: CutDirection) =>
  (environment: ScenarioEnvironment): void => {
    const { fleet } = environment;
    const { clock } = fleet;
    let side: readonly string[] = [];
    clock.schedule(10_000, () => {
      side = [clock.pick(machines(fleet, true)) ?? '', clock.pick(machines(fleet, false)) ?? ''];
      for (const each of side) isolateSide(fleet, [each], way);
    });
    clock.schedule(32_000, () => {
      fleet.heal();
      fleet.fault('healed');
      side = [];
    });
    repeat(environment, 11_000, 30_000, 4_000, () => drainOne(environment));
    runOperators(environment, () => side, 40_000);
  };

/**
 * Both halves: two of five replicas and half of the fronts on one side; seeds are exchanged,
 * machines restart.
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

/** A cut-off core machine restarts inside the cut, a front as well, and a freeze ends in it. */
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

/** Replicas that answer and do not count: disks are wiped in turn, and every message waits. */
const wipedReplicas = (environment: ScenarioEnvironment): void => {
  const { fleet } = environment;
  const { clock } = fleet;
  const wipe = (count: number): void => {
    const chosen = [...machines(fleet, true)].sort(() => clock.random() - 0.5).slice(0, count);
    for (const name of chosen) {
      fleet.kill(name);
      fleet.wipe(name);
      clock.schedule(clock.between(200, 400), () => fleet.start(name));
    }
    fleet.fault(`${count} disks wiped`);
  };
  clock.schedule(12_000, () => wipe(3));
  clock.schedule(26_000, () => wipe(4));
  repeat(environment, 9_000, 36_000, 700, () => fleet.read());
};

export const longPartitionScenarios: Readonly<Record<string, Scenario>> = {
  'cut-20s': {
    summary: 'one core machine and one front cut off by themselves for 22 s, both ways',
    seconds: 44,
    servesOn: true,
    play: oneReplicaAndOneFront('both'),
  },
  'cut-20s-out': {
    summary: 'the same, but only what they send is lost',
    seconds: 44,
    servesOn: true,
    play: oneReplicaAndOneFront('out'),
  },
  'cut-20s-in': {
    summary: 'the same, but only what they are sent is lost',
    seconds: 44,
    servesOn: true,
    play: oneReplicaAndOneFront('in'),
  },
  'cut-halves': {
    summary:
      'two sides for 24 s, one with a majority; seeds are exchanged and machines restart meanwhile',
    seconds: 46,
    servesOn: true,
    play: twoSides,
  },
  'cut-restarts': {
    summary: 'machines cut off for 22 s restart, freeze and thaw inside the cut',
    seconds: 44,
    servesOn: true,
    play: restartsInsidePartition,
  },
  'cut-20s-busy': {
    summary:
      'one core machine and one front cut off for 22 s; every message waits up to 80 ms more, and one in twenty is lost',
    seconds: 44,
    servesOn: true,
    busyMs: 80,
    loss: 0.05,
    play: oneReplicaAndOneFront('both'),
  },
  'refusing-replicas': {
    summary: 'most disks are wiped: replicas answer, and do not count for a while',
    seconds: 40,
    servesOn: true,
    busyMs: 40,
    play: wipedReplicas,
  },
};
