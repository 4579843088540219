// A replica host on a disk that is full, fails or hangs.
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

const writeOperations: ReadonlySet<DiskOperation> = new Set([
  'createFolder',
  'create',
  'write',
  'sync',
  'syncFolder',
]);
const diskFullError: DiskFault = { kind: 'fail', code: 'ENOSPC' };
const fullDisk = (operation: DiskOperation): DiskFault | null =>
  writeOperations.has(operation) ? diskFullError : null;

/** Waits until all pending callbacks have run. */
const settle = async (): Promise<void> => {
  for (let turn = 0; turn < 3; turn += 1) await new Promise((resolve) => setImmediate(resolve));
};

/** Returns the round in which a value of these tests was written. */
const roundOf = (value: unknown): number =>
  typeof value === 'string' ? Number(value.split(' ')[1]) : NaN;

/** A replica with its disk, and a clock that the test sets. */
class HostUnderTest {
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
      call: () => Promise.reject(new Error('no peer is reachable')),
      exitProcess: () => undefined,
      log: (_level, event) => this.events.push(event),
    });
  }

  static async open(disk: ModelDisk): Promise<HostUnderTest> {
    const replica = new HostUnderTest(disk, await openReplicaLog(folder, disk.fileSystem));
    await settle();
    return replica;
  }

  sendRequest(operation: ReplicaOperation): Promise<ReplicaReply> {
    return this.host.handleRequest({ membership: members, operation });
  }

  async tick(ms: number): Promise<void> {
    this.now += ms;
    this.host.tick();
    await settle();
  }

  prepare(round: number, key = 'config'): Promise<ReplicaReply> {
    return this.sendRequest({
      kind: 'prepare',
      key,
      proposalNumber: { counter: round, proposerId: 'proposer' },
    });
  }

  accept(round: number, value: unknown, key = 'config'): Promise<ReplicaReply> {
    return this.sendRequest({
      kind: 'accept',
      key,
      proposalNumber: { counter: round, proposerId: 'proposer' },
      value,
      diskId: diskName,
    });
  }

  poll(): Promise<ReplicaReply> {
    return this.sendRequest({ kind: 'poll', cursor: null, keys: ['config'] });
  }
}

/** The disk of a member that votes. */
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

/** Returns the accepted value that a new process would read from the disk. */
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

const acceptedNumberIn = (reply: ReplicaReply): unknown =>
  reply.kind === 'polled' ? reply.acceptedNumbers['config'] : reply.kind;

test('with a full disk a replica refuses votes immediately, serves reads from disk, and votes again once there is free space', async (t) => {
  const replica = await HostUnderTest.open(await votingDisk());
  t.is((await replica.accept(1, 'first')).kind, 'vote');
  replica.disk.hook = fullDisk;
  t.deepEqual(await replica.accept(2, 'second'), { kind: 'unavailable', diskId: diskName });
  t.deepEqual(await replica.prepare(3), { kind: 'unavailable', diskId: diskName });
  t.is(
    (await replica.sendRequest({ kind: 'append-entries', entries: [{ key: 'f', value: 1 }] })).kind,
    'unavailable',
  );
  t.deepEqual(acceptedNumberIn(await replica.poll()), { counter: 1, proposerId: 'proposer' });
  t.deepEqual(await replica.sendRequest({ kind: 'read-register', key: 'config' }), {
    kind: 'register-read',
    diskId: diskName,
    accepted: { proposalNumber: { counter: 1, proposerId: 'proposer' }, value: 'first' },
  });
  for (let attempt = 0; attempt < 100; attempt += 1) {
    await replica.tick(200);
    t.is((await replica.prepare(4)).kind, 'unavailable');
  }
  t.deepEqual(replica.events, ['disk.unavailable']);
  replica.disk.hook = () => null;
  for (let attempt = 0; attempt < 25 && !replica.host.isAvailable; attempt += 1)
    await replica.tick(200);
  t.deepEqual(replica.events, ['disk.unavailable', 'disk.available']);
  t.is((await replica.accept(2, 'second')).kind, 'vote');
  t.is(await acceptedOnDisk(replica.disk), 'second');
});

test('a replica reports in each poll reply that its disk accepts no writes, until it does again', async (t) => {
  const replica = await HostUnderTest.open(await votingDisk());
  const isReadOnly = async (): Promise<boolean> => {
    const reply = await replica.poll();
    return reply.kind === 'polled' && reply.isReadOnly === true;
  };
  await replica.accept(1, 'first');
  t.false(await isReadOnly());
  replica.disk.hook = fullDisk;
  await replica.accept(2, 'second');
  t.true(await isReadOnly());
  replica.disk.hook = () => null;
  for (let attempt = 0; attempt < 25 && !replica.host.isAvailable; attempt += 1)
    await replica.tick(200);
  t.false(await isReadOnly());
});

test('changes that a failed disk did not store are rolled back and never visible', async (t) => {
  const replica = await HostUnderTest.open(await votingDisk());
  await replica.accept(1, 'first');
  replica.disk.hook = fullDisk;
  const replies = await Promise.all([
    replica.accept(5, 'lost'),
    replica.prepare(9, 'zone'),
    replica.poll(),
  ]);
  t.deepEqual(
    replies.map((reply) => reply.kind),
    ['unavailable', 'unavailable', 'polled'],
  );
  t.deepEqual(acceptedNumberIn(await replica.poll()), { counter: 1, proposerId: 'proposer' });
  replica.disk.hook = () => null;
  await replica.tick(callTimeoutMs);
  t.true(replica.host.isAvailable);
  t.deepEqual(acceptedNumberIn(await replica.poll()), { counter: 1, proposerId: 'proposer' });
  // The promise of number 9 was never sent, so a lower number may be promised.
  const vote = await replica.prepare(2, 'zone');
  t.deepEqual(vote.kind === 'vote' ? vote.vote.kind : vote.kind, 'yes');
  t.is(await acceptedOnDisk(replica.disk), 'first');
});

test('a replica that starts with a full disk refuses all requests, and takes part once there is free space', async (t) => {
  const disk = await votingDisk();
  const before = await HostUnderTest.open(disk);
  await before.accept(1, 'first');
  disk.hook = fullDisk;
  const replica = await HostUnderTest.open(disk);
  for (const reply of [
    replica.poll(),
    replica.prepare(2),
    replica.sendRequest({ kind: 'read-page', after: null }),
  ]) {
    t.is((await reply).kind, 'unavailable');
  }
  await replica.tick(5_000);
  t.is((await replica.poll()).kind, 'unavailable');
  disk.hook = () => null;
  await replica.tick(5_000);
  t.deepEqual(acceptedNumberIn(await replica.poll()), { counter: 1, proposerId: 'proposer' });
  t.is((await replica.accept(2, 'second')).kind, 'vote');
  t.deepEqual(replica.events, ['disk.unavailable', 'disk.available']);
});

test('after a first start with a full disk, the disk id is stored before the replica replies as a member', async (t) => {
  const disk = new ModelDisk();
  disk.hook = fullDisk;
  const replica = await HostUnderTest.open(disk);
  t.is((await replica.poll()).kind, 'unavailable');
  disk.hook = () => null;
  await replica.tick(5_000);
  // There is no peer to read, so the replica begins to vote with the poll that names its disk.
  t.is((await replica.poll()).kind, 'polled');
  const records = (await openReplicaLog(folder, disk.copy().fileSystem)).takeRecords();
  t.deepEqual(records[0], { kind: 'disk-named', diskId: diskName });
  t.true(records.some((record) => record.kind === 'voting-begun'));
});

/**
 * Sends requests of a few rounds and checks all replies, while `count` write operations of the disk
 * fail after `first` successful operations. Returns whether any operation failed.
 */
const runWithFault = async (
  t: ExecutionContext,
  first: number,
  count: number,
): Promise<boolean> => {
  const disk = await votingDisk();
  const replica = await HostUnderTest.open(disk);
  let operationCount = 0;
  disk.hook = (operation) => {
    if (!writeOperations.has(operation)) return null;
    operationCount += 1;
    return operationCount > first && operationCount <= first + count ? diskFullError : null;
  };
  let acknowledgedValue: unknown;
  for (let round = 1; round <= 12; round += 1) {
    const [vote, pollReply] = await Promise.all([
      replica.accept(round, `value ${round}`),
      replica.poll(),
    ]);
    if (vote.kind === 'vote') acknowledgedValue = `value ${round}`;
    // A process that starts on this disk after a power loss must find everything that replies
    // showed.
    const acceptedNumber = acceptedNumberIn(pollReply);
    for (const diskAfterPowerLoss of disk.statesAfterPowerLoss()) {
      const value = await acceptedOnDisk(diskAfterPowerLoss);
      const storedRound = value === undefined ? 0 : roundOf(value);
      t.true(
        storedRound >= (Array.isArray(acceptedNumber) ? Number(acceptedNumber[0]) : 0),
        `${first} ${round}`,
      );
      if (acknowledgedValue !== undefined) t.true(storedRound >= roundOf(acknowledgedValue));
    }
    await replica.tick(300);
  }
  disk.hook = () => null;
  for (let attempt = 0; attempt < 25 && !replica.host.isAvailable; attempt += 1)
    await replica.tick(300);
  t.is((await replica.accept(20, 'value 20')).kind, 'vote');
  return operationCount > first;
};

test('at whichever operation a disk becomes full, no reply reveals anything that is not on disk', async (t) => {
  for (const count of [1, 4, 1_000]) {
    let first = 0;
    while (await runWithFault(t, first, count)) first += 1;
    t.true(first > 10, `${first} operations`);
  }
});

test('without space for a snapshot a replica votes until the disk is full, and writes a snapshot once there is space', async (t) => {
  const disk = await votingDisk();
  const replica = await HostUnderTest.open(disk);
  const megabyte = 1024 * 1024;
  disk.capacity = 9 * megabyte;
  const writeRound = async (round: number): Promise<boolean> => {
    const reply = await replica.accept(round, `value ${round} `.padEnd(megabyte, '.'));
    await replica.tick(3_000);
    return reply.kind === 'vote';
  };
  let round = 1;
  while (await writeRound(round)) round += 1;
  t.true(round > 8, `${round} rounds`);
  t.true(replica.events.includes('snapshot.failed'));
  t.true(replica.events.includes('disk.unavailable'));
  t.is(replica.events.filter((event) => event === 'snapshot.failed').length, 1);
  t.deepEqual(acceptedNumberIn(await replica.poll()), {
    counter: round - 1,
    proposerId: 'proposer',
  });
  t.false([...disk.files().keys()].some((name) => name.startsWith('snapshot')));
  disk.capacity = 30 * megabyte;
  for (let attempt = 0; attempt < 5; attempt += 1) await replica.tick(5_000);
  t.true(await writeRound(round));
  for (let attempt = 0; attempt < 5; attempt += 1) await replica.tick(5_000);
  t.true(replica.events.includes('disk.compacted'));
  t.true(disk.totalBytes() < 4 * megabyte, `${disk.totalBytes()} bytes`);
  t.regex(String(await acceptedOnDisk(disk)), new RegExp(`^value ${round} `));
});

test('while a sync hangs, polls are served from disk, votes are refused, and no requests accumulate', async (t) => {
  const disk = await votingDisk();
  const replica = await HostUnderTest.open(disk);
  await replica.accept(1, 'first');
  const released: (() => void)[] = [];
  disk.hook = (operation) =>
    operation === 'sync'
      ? new Promise((resolve) => {
          released.push(() => resolve(null));
        })
      : null;
  const hangingReply = replica.accept(2, 'second');
  // Polls are served both before and after the disk counts as stalled.
  t.deepEqual(acceptedNumberIn(await replica.poll()), { counter: 1, proposerId: 'proposer' });
  await replica.tick(proposalPhaseTimeoutMs + 1);
  t.deepEqual(replica.events, ['disk.stalled']);
  for (let attempt = 0; attempt < 10_000; attempt += 1) {
    t.is((await replica.prepare(10 + attempt)).kind, 'unavailable');
  }
  t.deepEqual(acceptedNumberIn(await replica.poll()), { counter: 1, proposerId: 'proposer' });
  // The client no longer waits by now.
  await replica.tick(callTimeoutMs);
  t.is((await hangingReply).kind, 'unavailable');
  disk.hook = () => null;
  for (const release of released) release();
  await settle();
  t.deepEqual(replica.events, ['disk.stalled', 'disk.resumed']);
  t.deepEqual(acceptedNumberIn(await replica.poll()), { counter: 2, proposerId: 'proposer' });
  t.is((await replica.accept(3, 'third')).kind, 'vote');
});

test('a reply that needs a sync is never sent before it, however requests and syncs interleave', async (t) => {
  for (let order = 0; order < 64; order += 1) {
    const disk = await votingDisk();
    const replica = await HostUnderTest.open(disk);
    let release: (() => void) | null = null;
    disk.hook = (operation) =>
      operation === 'sync'
        ? new Promise((resolve) => {
            release = () => resolve(null);
          })
        : null;
    const checks: Promise<void>[] = [];
    for (let step = 0; step < 6; step += 1) {
      const isAccept = (order & (1 << step)) !== 0;
      const pendingReply = isAccept
        ? replica.accept(step + 1, `value ${step + 1}`)
        : replica.poll();
      checks.push(
        pendingReply.then(async (reply) => {
          const acceptedNumber = reply.kind === 'vote' ? [step + 1] : acceptedNumberIn(reply);
          for (const diskAfterPowerLoss of disk.statesAfterPowerLoss()) {
            const value = await acceptedOnDisk(diskAfterPowerLoss);
            const storedRound = value === undefined ? 0 : roundOf(value);
            t.true(
              storedRound >= (Array.isArray(acceptedNumber) ? Number(acceptedNumber[0]) : 0),
              `${order} ${step}`,
            );
          }
        }),
      );
      await settle();
      if (step % 2 === 1) (release as (() => void) | null)?.();
      await settle();
    }
    disk.hook = () => null;
    (release as (() => void) | null)?.();
    await Promise.all(checks);
  }
});
