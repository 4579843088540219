import test from 'ava';
import type { Membership } from '@reedyard/replica';
import type { Policy } from '@reedyard/schemas';
import { SimulatedFleet } from './simulated-fleet.js';

// Founding, replacement and growth of the membership, in a simulated fleet that has only machines with
// disks.

const policy: Policy = { services: {}, routes: [] };
const machine = (index: number): string => `core-${index}`;

/** Machines core-1 … core-n, the first three of which are seeds; those in `startedIndexes` run. */
const startFleet = (
  seed: number,
  count: number,
  losses: number,
  startedIndexes: readonly number[],
): SimulatedFleet => {
  const machines = Array.from({ length: count }, (_, index) => ({
    name: machine(index + 1),
    zone: `zone-${index + 1}`,
    region: 'home',
    kind: 'core' as const,
  }));
  const fleet = new SimulatedFleet({ name: 'yard', machines, origins: [] }, seed, {
    loss: 0.002,
    plant: 'none',
    regionsMs: 0,
    voting: { losses },
  });
  startedIndexes.forEach((index) => fleet.start(machine(index)));
  return fleet;
};
const membersOf = (fleet: SimulatedFleet, index: number): Membership | undefined =>
  fleet.machines.get(machine(index))?.agent?.state.registers.members?.value as
    Membership | undefined;
/** Machines of the replicas in the membership that an agent knows. */
const memberMachinesOf = (fleet: SimulatedFleet, index: number): readonly string[] =>
  Object.values(membersOf(fleet, index)?.addresses ?? {})
    .map((address) => address.replace('/replica', ''))
    .sort();
const isVoter = (fleet: SimulatedFleet, index: number): boolean => {
  const state = fleet.machines.get(machine(index))?.replica?.state;
  return (
    state !== undefined &&
    state.hasBegunVoting &&
    Object.values(state.committedMembership?.value.disks ?? {}).includes(state.diskId)
  );
};
const runFor = (fleet: SimulatedFleet, ms: number): void =>
  fleet.clock.runUntil(fleet.clock.now() + ms);
/**
 * Sends an action to a node and returns its reply. Messages get lost, so the action is repeated up to
 * twice if no reply arrives.
 */
const queryNode = (
  fleet: SimulatedFleet,
  index: number,
  action: Parameters<SimulatedFleet['operate']>[0],
): { readonly status: number; readonly body: unknown } => {
  let lastReply = { status: 0, body: null as unknown };
  for (let attempts = 0; attempts < 3 && lastReply.status === 0; attempts += 1) {
    fleet.operate(
      action,
      (reply) => {
        lastReply = reply;
      },
      'outside',
      machine(index),
    );
    runFor(fleet, 6_000);
  }
  return lastReply;
};
const tryPut = (fleet: SimulatedFleet, index: number, changeId: string): number =>
  queryNode(fleet, index, { kind: 'put-policy', document: policy, ifMatch: null, changeId }).status;
const revisionAt = (fleet: SimulatedFleet, index: number): number | undefined => {
  const { status, body } = queryNode(fleet, index, { kind: 'get-policy' });
  return status === 200 ? (body as { revision: number }).revision : undefined;
};
const foundedFleet = (seed: number, count: number, losses = 1): SimulatedFleet => {
  const fleet = startFleet(
    seed,
    count,
    losses,
    Array.from({ length: count }, (_, index) => index + 1),
  );
  runFor(fleet, 5_000);
  fleet.firstStart = false;
  return fleet;
};
const seeds = Array.from({ length: 12 }, (_, index) => index + 1);

test('three seeds found the membership and accept changes; a fourth machine stays a spare', (t) => {
  for (const seed of seeds) {
    const fleet = foundedFleet(seed, 4);
    t.deepEqual(memberMachinesOf(fleet, 4), ['core-1', 'core-2', 'core-3'], `seed ${seed}`);
    t.is(membersOf(fleet, 4)?.epoch, 1);
    t.false(isVoter(fleet, 4));
    t.is(tryPut(fleet, 4, 'one'), 200);
  }
});

test('at the first start, nothing is founded and nodes respond 503 until the last of the three seeds has started', (t) => {
  for (const seed of seeds) {
    const fleet = startFleet(seed, 4, 1, [1, 3, 4]);
    runFor(fleet, 20_000);
    t.is(membersOf(fleet, 1), undefined);
    t.is(tryPut(fleet, 1, 'early'), 503);
    fleet.start('core-2');
    runFor(fleet, 5_000);
    t.deepEqual(memberMachinesOf(fleet, 4), ['core-1', 'core-2', 'core-3'], `seed ${seed}`);
    t.is(revisionAt(fleet, 4), 0);
  }
});

test('blank machines found no membership if they are not seeds or if it is not the first start', (t) => {
  for (const seed of seeds) {
    const others = startFleet(seed, 7, 1, [4, 5, 6, 7]);
    runFor(others, 20_000);
    for (const index of [4, 5, 6, 7]) t.false(isVoter(others, index));
    const later = startFleet(seed, 4, 1, []);
    later.firstStart = false;
    [1, 2, 3, 4].forEach((index) => later.start(machine(index)));
    runFor(later, 20_000);
    for (const index of [1, 2, 3, 4]) {
      t.false(isVoter(later, index));
      t.is(membersOf(later, index), undefined);
    }
  }
});

test('no change is lost when one of the only two replicas that accepted it is wiped right after the acknowledgement', (t) => {
  for (const seed of seeds) {
    const fleet = foundedFleet(seed, 3);
    fleet.isolate('core-3');
    let done = false;
    fleet.operate(
      { kind: 'put-policy', document: policy, ifMatch: null, changeId: 'one' },
      (reply) => {
        done = reply.status === 200;
        if (!done) return;
        fleet.kill('core-1');
        fleet.wipe('core-1');
        fleet.heal();
        fleet.seeds = ['core-3/agent', 'core-7/agent', 'core-8/agent'];
        fleet.start('core-1');
      },
      'outside',
      'core-2',
    );
    runFor(fleet, 8_000);
    t.true(done, `seed ${seed}`);
    t.true(isVoter(fleet, 1), `seed ${seed}`);
    t.deepEqual(memberMachinesOf(fleet, 1), ['core-1', 'core-2', 'core-3']);
    for (const index of [1, 2, 3]) t.is(revisionAt(fleet, index), 1);
  }
});

test('a lost machine is replaced by a blank one at another address while changes continue, and stays a spare when it returns', (t) => {
  for (const seed of seeds) {
    const fleet = foundedFleet(seed, 4);
    let acknowledged = 0;
    const put = (remaining: number): void => {
      if (remaining > 0) {
        fleet.put(
          policy,
          () => {
            acknowledged += 1;
          },
          machine(2 + (remaining % 3)),
        );
        fleet.clock.schedule(500, () => put(remaining - 1));
      }
    };
    put(60);
    runFor(fleet, 1_000);
    fleet.kill('core-1');
    runFor(fleet, 6_000);
    t.deepEqual(memberMachinesOf(fleet, 2), ['core-1', 'core-2', 'core-3'], 'replaced within 6 s');
    runFor(fleet, 6_000);
    t.deepEqual(memberMachinesOf(fleet, 2), ['core-2', 'core-3', 'core-4'], `seed ${seed}`);
    t.true(isVoter(fleet, 4));
    runFor(fleet, 2_000);
    fleet.start('core-1');
    runFor(fleet, 3_000);
    t.false(isVoter(fleet, 1));
    t.deepEqual(memberMachinesOf(fleet, 1), ['core-2', 'core-3', 'core-4']);
    // When another member is lost as well, the data that its replacement knows is enough.
    fleet.kill('core-3');
    fleet.wipe('core-3');
    runFor(fleet, 20_000);
    t.deepEqual(memberMachinesOf(fleet, 1), ['core-1', 'core-2', 'core-4'], `seed ${seed}`);
    t.true(isVoter(fleet, 1));
    // A lost reply is noticed only after 8 s.
    runFor(fleet, 12_000);
    t.is(acknowledged, 60, `seed ${seed}`);
    t.is(revisionAt(fleet, 1), 60);
  }
});

test('a machine that is isolated for less than 8 s stays a member; a minority side replaces no member', (t) => {
  for (const seed of seeds) {
    const fleet = foundedFleet(seed, 4);
    fleet.isolate('core-1');
    runFor(fleet, 6_000);
    fleet.heal();
    runFor(fleet, 6_000);
    t.is(membersOf(fleet, 2)?.epoch, 1, `seed ${seed}`);
    // Two sides: the side with a single member and the spare has no majority.
    for (const isolatedMachine of ['core-1', 'core-4'])
      for (const otherMachine of ['core-2', 'core-3']) {
        fleet.cut(isolatedMachine, otherMachine);
        fleet.cut(otherMachine, isolatedMachine);
      }
    runFor(fleet, 20_000);
    t.is(membersOf(fleet, 1)?.epoch, 1, `seed ${seed}`);
    t.is(membersOf(fleet, 2)?.epoch, 1, `seed ${seed}`);
    fleet.heal();
    runFor(fleet, 4_000);
    t.is(tryPut(fleet, 4, 'after'), 200);
  }
});

test('where two losses must be tolerated, nothing is acknowledged until the membership has grown to five, which then tolerates two losses', (t) => {
  for (const seed of seeds) {
    const fleet = startFleet(seed, 5, 2, [1, 2, 3]);
    runFor(fleet, 5_000);
    fleet.firstStart = false;
    t.is(memberMachinesOf(fleet, 1).length, 3);
    t.is(tryPut(fleet, 1, 'early'), 503);
    fleet.start('core-4');
    runFor(fleet, 6_000);
    t.is(memberMachinesOf(fleet, 1).length, 4, `seed ${seed}`);
    t.is(tryPut(fleet, 2, 'early'), 503);
    t.is(queryNode(fleet, 2, { kind: 'withdraw', instance: 'x-1' }).status, 503);
    t.is(
      queryNode(fleet, 2, {
        kind: 'purge',
        purge: { objects: ['x/y'], tags: [] },
        changeId: 'purge',
      }).status,
      503,
    );
    t.is(
      queryNode(fleet, 2, {
        kind: 'zone',
        zone: 'zone-1',
        order: 'empty',
        of: 'all',
        changeId: 'zone',
      }).status,
      503,
    );
    fleet.start('core-5');
    runFor(fleet, 6_000);
    t.deepEqual(
      memberMachinesOf(fleet, 1),
      ['core-1', 'core-2', 'core-3', 'core-4', 'core-5'],
      `seed ${seed}`,
    );
    t.is(tryPut(fleet, 3, 'one'), 200, `seed ${seed}`);
    for (const index of [1, 2]) {
      fleet.kill(machine(index));
      fleet.wipe(machine(index));
    }
    runFor(fleet, 1_000);
    t.is(revisionAt(fleet, 4), 1);
    for (const index of [1, 2]) fleet.start(machine(index));
    runFor(fleet, 8_000);
    for (const index of [1, 2, 3, 4, 5]) t.true(isVoter(fleet, index), `seed ${seed} ${index}`);
    t.is(tryPut(fleet, 1, 'two'), 200);
    t.is(revisionAt(fleet, 1), 2);
  }
});

test('no change is lost when all machines lose power around a replacement and return with their disks and other seeds', (t) => {
  for (const seed of seeds) {
    const fleet = foundedFleet(seed, 5);
    t.is(tryPut(fleet, 4, 'one'), 200);
    fleet.kill('core-1');
    // During the change of the membership, or after it.
    runFor(fleet, 8_000 + fleet.clock.between(0, 2_500));
    for (const index of [2, 3, 4, 5]) fleet.kill(machine(index));
    runFor(fleet, 2_000);
    // Two seeds run, one never existed. A seed need not be a voting member.
    fleet.seeds = ['core-4/agent', 'core-5/agent', 'core-9/agent'];
    for (const index of [2, 3, 4, 5]) fleet.start(machine(index));
    runFor(fleet, 16_000);
    t.is(memberMachinesOf(fleet, 5).length, 3, `seed ${seed}`);
    t.false(memberMachinesOf(fleet, 5).includes('core-1'), `seed ${seed}`);
    t.is(revisionAt(fleet, 5), 1, `seed ${seed}`);
    fleet.start('core-1');
    runFor(fleet, 4_000);
    t.is(revisionAt(fleet, 1), 1, `seed ${seed}`);
    t.is(tryPut(fleet, 1, 'two'), 200);
  }
});

test('a member that returns with its disk at the address of a lost member stays a member, and the lost one is replaced', (t) => {
  for (const seed of seeds) {
    const fleet = foundedFleet(seed, 4);
    t.is(tryPut(fleet, 3, 'one'), 200);
    fleet.kill('core-1');
    fleet.kill('core-2');
    const [lostMachine, returningMachine] = [
      fleet.machines.get('core-1'),
      fleet.machines.get('core-2'),
    ];
    if (lostMachine === undefined || returningMachine === undefined) {
      t.fail();
      return;
    }
    lostMachine.disk = returningMachine.disk;
    runFor(fleet, 1_000);
    fleet.start('core-1');
    runFor(fleet, 16_000);
    t.deepEqual(memberMachinesOf(fleet, 3), ['core-1', 'core-3', 'core-4'], `seed ${seed}`);
    for (const index of [1, 3, 4]) t.true(isVoter(fleet, index), `seed ${seed}`);
    t.is(revisionAt(fleet, 4), 1);
  }
});

test('the members keep their state when all machines return with their disks at other addresses', (t) => {
  for (const seed of seeds) {
    const fleet = foundedFleet(seed, 6);
    t.is(tryPut(fleet, 4, 'one'), 200);
    for (const index of [1, 2, 3, 4, 5, 6]) fleet.kill(machine(index));
    const disks = [1, 2, 3].map((index) => fleet.machines.get(machine(index))?.disk);
    const blankDisks = [4, 5, 6].map((index) => fleet.machines.get(machine(index))?.disk);
    [4, 5, 6, 1, 2, 3].forEach((index, position) => {
      const simulatedMachine = fleet.machines.get(machine(index));
      const disk = [...disks, ...blankDisks][position];
      if (simulatedMachine !== undefined && disk !== undefined) simulatedMachine.disk = disk;
    });
    fleet.seeds = ['core-4/agent', 'core-1/agent', 'core-2/agent'];
    for (const index of [1, 2, 3, 4, 5, 6]) fleet.start(machine(index));
    runFor(fleet, 8_000);
    t.is(revisionAt(fleet, 1), 1, `seed ${seed}`);
    t.deepEqual(memberMachinesOf(fleet, 1), ['core-4', 'core-5', 'core-6'], `seed ${seed}`);
  }
});

test('an agent that was frozen while every member was replaced finds the new members', (t) => {
  for (const seed of seeds) {
    const fleet = foundedFleet(seed, 7);
    t.is(tryPut(fleet, 7, 'one'), 200);
    fleet.freeze('core-7');
    for (const index of [1, 2, 3]) {
      fleet.kill(machine(index));
      runFor(fleet, 14_000);
    }
    fleet.seeds = ['core-4/agent', 'core-5/agent', 'core-6/agent'];
    t.deepEqual(memberMachinesOf(fleet, 4), ['core-4', 'core-5', 'core-6'], `seed ${seed}`);
    fleet.thaw('core-7');
    runFor(fleet, 6_000);
    t.is(revisionAt(fleet, 7), 1, `seed ${seed}`);
    t.deepEqual(memberMachinesOf(fleet, 7), ['core-4', 'core-5', 'core-6'], `seed ${seed}`);
  }
});

test('a member that returns with its disk at another address stays a member', (t) => {
  for (const seed of seeds) {
    const fleet = foundedFleet(seed, 4);
    fleet.kill('core-1');
    const [source, target] = [fleet.machines.get('core-1'), fleet.machines.get('core-4')];
    fleet.kill('core-4');
    if (source === undefined || target === undefined) {
      t.fail();
      return;
    }
    target.disk = source.disk;
    runFor(fleet, 1_000);
    fleet.start('core-4');
    runFor(fleet, 6_000);
    t.deepEqual(memberMachinesOf(fleet, 2), ['core-2', 'core-3', 'core-4'], `seed ${seed}`);
    t.true(isVoter(fleet, 4));
    t.is(tryPut(fleet, 4, 'one'), 200);
  }
});
