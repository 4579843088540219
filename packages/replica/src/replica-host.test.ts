// The replica on a disk that is full, refuses, or hangs.
import test, { type ExecutionContext } from 'ava';
import { callTimeoutMs } from '@reedyard/rpc';
import {
  type DiskFault,
  type DiskOperation,
  ModelDisk,
} from '@reedyard/write-ahead-log/model-disk';
import type { CommittedMembership, ReplicaOperation, ReplicaReply } from './index.js';
import { openReplica } from './open-replica.js';
import { proposalPhaseTimeoutMs } from './protocol/timing.js';
import { ReplicaHost } from './replica-host.js';
import { openReplicaLog, type ReplicaLog } from './storage/replica-log.js';

const folder = 'model';
const diskName = 'disk-a';
const members: CommittedMembership = {
  proposalNumber: { counter: 1, proposerId: 'founding' },
  value: { epoch: 1, disks: { a: diskName, b: 'disk-b', c: 'disk-c' } },
};

const refusable: ReadonlySet<DiskOperation> = new Set([
  'createFolder',
  'create',
  'write',
  'sync',
  'syncFolder',
]);
const full: DiskFault = { kind: 'fail', code: 'ENOSPC' };
const fullDisk = (operation: DiskOperation): DiskFault | null =>
  refusable.has(operation) ? full : null;

/** Lets everything that is ready run. */
const settle = async (): Promise<void> => {
  for (let turn = 0; turn < 3; turn += 1) await new Promise((resolve) => setImmediate(resolve));
};

/** The round that a value of these tests was written in. */
const roundOf = (value: unknown): number =>
  typeof value === 'string' ? Number(value.split(' ')[1]) : NaN;

/** One replica with its disk and a clock that is set by hand. */
class Bed {
  now = 0;
  readonly events: string[] = [];
  readonly host: ReplicaHost;

  private constructor(
    readonly disk: ModelDisk,
    log: ReplicaLog,
  ) {
    const records = log.takeRecords();
    const opened = openReplica({
      name: 'a',
      otherFounders: {},
      records,
      newDiskId: diskName,
      now: 0,
    });
    this.host = new ReplicaHost(opened, log, {
      now: () => this.now,
      call: () => Promise.reject(new Error('nobody is there')),
      exitProcess: () => undefined,
      log: (_level, event) => this.events.push(event),
    });
  }

  static async open(disk: ModelDisk): Promise<Bed> {
    const bed = new Bed(disk, await openReplicaLog(folder, disk.fileSystem));
    await settle();
    return bed;
  }

  ask(call: ReplicaOperation): Promise<ReplicaReply> {
    return this.host.handleRequest({ membership: members, operation: call });
  }

  async tick(ms: number): Promise<void> {
    this.now += ms;
    this.host.tick();
    await settle();
  }

  prepare(round: number, key = 'config'): Promise<ReplicaReply> {
    return this.ask({
      kind: 'prepare',
      key,
      proposalNumber: { counter: round, proposerId: 'proposer' },
    });
  }

  accept(round: number, value: unknown, key = 'config'): Promise<ReplicaReply> {
    return this.ask({
      kind: 'accept',
      key,
      proposalNumber: { counter: round, proposerId: 'proposer' },
      value,
      diskId: diskName,
    });
  }

  pull(): Promise<ReplicaReply> {
    return this.ask({ kind: 'poll', cursor: null, keys: ['config'] });
  }
}

/** A member that votes, on a disk of its own. */
const votingDisk = async (): Promise<ModelDisk> => {
  const disk = new ModelDisk();
  const log = await openReplicaLog(folder, disk.fileSystem);
  await log.append([
    { kind: 'disk-named', diskId: diskName },
    {
      kind: 'register-written',
      key: 'members',
      register: { promised: members.proposalNumber, accepted: members },
    },
    { kind: 'membership-committed', membership: members },
    { kind: 'voting-begun' },
  ]);
  await log.close();
  return disk;
};

/** What another process would read, and take part with, now. */
const acceptedOnDisk = async (disk: ModelDisk): Promise<unknown> => {
  const records = (await openReplicaLog(folder, disk.copy().fileSystem)).takeRecords();
  const { state } = openReplica({
    name: 'a',
    otherFounders: {},
    records,
    newDiskId: 'another',
    now: 0,
  });
  return state.registers.get('config')?.accepted?.value;
};

const ballotShown = (reply: ReplicaReply): unknown =>
  reply.kind === 'polled' ? reply.acceptedNumbers['config'] : reply.kind;

test('with a full disk the replica refuses to vote at once, shows what is on disk, and votes again once there is room', async (t) => {
  const bed = await Bed.open(await votingDisk());
  t.is((await bed.accept(1, 'first')).kind, 'vote');
  bed.disk.hook = fullDisk;
  t.deepEqual(await bed.accept(2, 'second'), { kind: 'unavailable', diskId: diskName });
  t.deepEqual(await bed.prepare(3), { kind: 'unavailable', diskId: diskName });
  t.is(
    (await bed.ask({ kind: 'append-entries', entries: [{ key: 'f', value: 1 }] })).kind,
    'unavailable',
  );
  t.deepEqual(ballotShown(await bed.pull()), { counter: 1, proposerId: 'proposer' });
  t.deepEqual(await bed.ask({ kind: 'read-register', key: 'config' }), {
    kind: 'register-read',
    diskId: diskName,
    accepted: { proposalNumber: { counter: 1, proposerId: 'proposer' }, value: 'first' },
  });
  for (let each = 0; each < 100; each += 1) {
    await bed.tick(200);
    t.is((await bed.prepare(4)).kind, 'unavailable');
  }
  t.deepEqual(bed.events, ['disk.unavailable']);
  bed.disk.hook = () => null;
  for (let each = 0; each < 25 && !bed.host.isAvailable; each += 1) await bed.tick(200);
  t.deepEqual(bed.events, ['disk.unavailable', 'disk.available']);
  t.is((await bed.accept(2, 'second')).kind, 'vote');
  t.is(await acceptedOnDisk(bed.disk), 'second');
});

test('a replica whose disk takes no writes says so with each pull, and no longer once it does', async (t) => {
  const bed = await Bed.open(await votingDisk());
  const isReadOnly = async (): Promise<boolean> => {
    const reply = await bed.pull();
    return reply.kind === 'polled' && reply.isReadOnly === true;
  };
  await bed.accept(1, 'first');
  t.false(await isReadOnly());
  bed.disk.hook = fullDisk;
  await bed.accept(2, 'second');
  t.true(await isReadOnly());
  bed.disk.hook = () => null;
  for (let each = 0; each < 25 && !bed.host.isAvailable; each += 1) await bed.tick(200);
  t.false(await isReadOnly());
});

test('what was decided on the way to a disk that refused is forgotten: it is shown nowhere', async (t) => {
  const bed = await Bed.open(await votingDisk());
  await bed.accept(1, 'first');
  bed.disk.hook = fullDisk;
  const answers = await Promise.all([bed.accept(5, 'lost'), bed.prepare(9, 'zone'), bed.pull()]);
  t.deepEqual(
    answers.map((answer) => answer.kind),
    ['unavailable', 'unavailable', 'polled'],
  );
  t.deepEqual(ballotShown(await bed.pull()), { counter: 1, proposerId: 'proposer' });
  bed.disk.hook = () => null;
  await bed.tick(callTimeoutMs);
  t.true(bed.host.isAvailable);
  t.deepEqual(ballotShown(await bed.pull()), { counter: 1, proposerId: 'proposer' });
  // The promise of proposal 9 was never given, so a lower one may be.
  const vote = await bed.prepare(2, 'zone');
  t.deepEqual(vote.kind === 'vote' ? vote.vote.kind : vote.kind, 'yes');
  t.is(await acceptedOnDisk(bed.disk), 'first');
});

test('a replica that starts with a full disk comes up, answers nothing, and takes part once there is room', async (t) => {
  const disk = await votingDisk();
  const before = await Bed.open(disk);
  await before.accept(1, 'first');
  disk.hook = fullDisk;
  const bed = await Bed.open(disk);
  for (const call of [bed.pull(), bed.prepare(2), bed.ask({ kind: 'read-page', after: null })]) {
    t.is((await call).kind, 'unavailable');
  }
  await bed.tick(5_000);
  t.is((await bed.pull()).kind, 'unavailable');
  disk.hook = () => null;
  await bed.tick(5_000);
  t.deepEqual(ballotShown(await bed.pull()), { counter: 1, proposerId: 'proposer' });
  t.is((await bed.accept(2, 'second')).kind, 'vote');
  t.deepEqual(bed.events, ['disk.unavailable', 'disk.available']);
});

test('a first start with a full disk: its name is on disk before it tells it as a member could', async (t) => {
  const disk = new ModelDisk();
  disk.hook = fullDisk;
  const bed = await Bed.open(disk);
  t.is((await bed.pull()).kind, 'unavailable');
  disk.hook = () => null;
  await bed.tick(5_000);
  // The only member has nobody to read: it votes with the call that names it.
  t.is((await bed.pull()).kind, 'polled');
  const records = (await openReplicaLog(folder, disk.copy().fileSystem)).takeRecords();
  t.deepEqual(records[0], { kind: 'disk-named', diskId: diskName });
  t.true(records.some((record) => record.kind === 'voting-begun'));
});

/**
 * Calls of a few rounds, with all answers, while each operation of the disk in turn begins to fail.
 */
const playWithFault = async (
  t: ExecutionContext,
  first: number,
  count: number,
): Promise<boolean> => {
  const disk = await votingDisk();
  const bed = await Bed.open(disk);
  let seen = 0;
  disk.hook = (operation) => {
    if (!refusable.has(operation)) return null;
    seen += 1;
    return seen > first && seen <= first + count ? full : null;
  };
  let acknowledged: unknown;
  for (let round = 1; round <= 12; round += 1) {
    const [vote, pull] = await Promise.all([bed.accept(round, `value ${round}`), bed.pull()]);
    if (vote.kind === 'vote') acknowledged = `value ${round}`;
    // What any answer shows is what a process would find that starts on this disk after a loss of
    // power.
    const shown = ballotShown(pull);
    for (const left of disk.statesAfterPowerLoss()) {
      const value = await acceptedOnDisk(left);
      const known = value === undefined ? 0 : roundOf(value);
      t.true(known >= (Array.isArray(shown) ? Number(shown[0]) : 0), `${first} ${round}`);
      if (acknowledged !== undefined) t.true(known >= roundOf(acknowledged));
    }
    await bed.tick(300);
  }
  disk.hook = () => null;
  for (let each = 0; each < 25 && !bed.host.isAvailable; each += 1) await bed.tick(300);
  t.is((await bed.accept(20, 'value 20')).kind, 'vote');
  return seen > first;
};

test('at every operation that a full disk may begin to refuse, no answer tells of what is not on disk', async (t) => {
  for (const count of [1, 4, 1_000]) {
    let first = 0;
    while (await playWithFault(t, first, count)) first += 1;
    t.true(first > 10, `${first} operations`);
  }
});

test('a disk with no room for a snapshot: it votes on until nothing fits, and snapshots once there is room', async (t) => {
  const disk = await votingDisk();
  const bed = await Bed.open(disk);
  const megabyte = 1024 * 1024;
  disk.capacity = 9 * megabyte;
  const writeRound = async (round: number): Promise<boolean> => {
    const reply = await bed.accept(round, `value ${round} `.padEnd(megabyte, '.'));
    await bed.tick(3_000);
    return reply.kind === 'vote';
  };
  let round = 1;
  while (await writeRound(round)) round += 1;
  t.true(round > 8, `${round} rounds`);
  t.true(bed.events.includes('snapshot.failed'));
  t.true(bed.events.includes('disk.unavailable'));
  t.is(bed.events.filter((event) => event === 'snapshot.failed').length, 1);
  t.deepEqual(ballotShown(await bed.pull()), { counter: round - 1, proposerId: 'proposer' });
  t.false([...disk.files().keys()].some((name) => name.startsWith('snapshot')));
  disk.capacity = 30 * megabyte;
  for (let each = 0; each < 5; each += 1) await bed.tick(5_000);
  t.true(await writeRound(round));
  for (let each = 0; each < 5; each += 1) await bed.tick(5_000);
  t.true(bed.events.includes('disk.compacted'));
  t.true(disk.totalBytes() < 4 * megabyte, `${disk.totalBytes()} bytes`);
  t.regex(String(await acceptedOnDisk(disk)), new RegExp(`^value ${round} `));
});

test('while a sync hangs, pulls are answered from the disk, votes are refused, and nothing piles up', async (t) => {
  const disk = await votingDisk();
  const bed = await Bed.open(disk);
  await bed.accept(1, 'first');
  const released: (() => void)[] = [];
  disk.hook = (operation) =>
    operation === 'sync'
      ? new Promise((resolve) => {
          released.push(() => resolve(null));
        })
      : null;
  const hanging = bed.accept(2, 'second');
  // Before it counts as stalled, and after.
  t.deepEqual(ballotShown(await bed.pull()), { counter: 1, proposerId: 'proposer' });
  await bed.tick(proposalPhaseTimeoutMs + 1);
  t.deepEqual(bed.events, ['disk.stalled']);
  for (let each = 0; each < 10_000; each += 1) {
    t.is((await bed.prepare(10 + each)).kind, 'unavailable');
  }
  t.deepEqual(ballotShown(await bed.pull()), { counter: 1, proposerId: 'proposer' });
  // Its caller has gone by now.
  await bed.tick(callTimeoutMs);
  t.is((await hanging).kind, 'unavailable');
  disk.hook = () => null;
  for (const release of released) release();
  await settle();
  t.deepEqual(bed.events, ['disk.stalled', 'disk.resumed']);
  t.deepEqual(ballotShown(await bed.pull()), { counter: 2, proposerId: 'proposer' });
  t.is((await bed.accept(3, 'third')).kind, 'vote');
});

test('an answer that needs a sync is never given before it, however calls and syncs interleave', async (t) => {
  for (let order = 0; order < 64; order += 1) {
    const disk = await votingDisk();
    const bed = await Bed.open(disk);
    let release: (() => void) | null = null;
    disk.hook = (operation) =>
      operation === 'sync'
        ? new Promise((resolve) => {
            release = () => resolve(null);
          })
        : null;
    const answers: Promise<void>[] = [];
    for (let step = 0; step < 6; step += 1) {
      const accepts = (order & (1 << step)) !== 0;
      const answered = accepts ? bed.accept(step + 1, `value ${step + 1}`) : bed.pull();
      answers.push(
        answered.then(async (reply) => {
          const shown = reply.kind === 'vote' ? [step + 1] : ballotShown(reply);
          for (const left of disk.statesAfterPowerLoss()) {
            const value = await acceptedOnDisk(left);
            const known = value === undefined ? 0 : roundOf(value);
            t.true(known >= (Array.isArray(shown) ? Number(shown[0]) : 0), `${order} ${step}`);
          }
        }),
      );
      await settle();
      if (step % 2 === 1) (release as (() => void) | null)?.();
      await settle();
    }
    disk.hook = () => null;
    (release as (() => void) | null)?.();
    await Promise.all(answers);
  }
});
