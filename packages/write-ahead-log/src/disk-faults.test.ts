// Injects faults of a full or failing disk into every operation of the log.
import test, { type ExecutionContext } from 'ava';
import { WriteAheadLogError, openWriteAheadLog, type WriteAheadLog } from './index.js';
import { ModelDisk, type DiskFault, type DiskOperation } from './model-disk.js';

const folder = 'model';

/** Operations that fail on a full or failing disk. */
const failableOperations: ReadonlySet<DiskOperation> = new Set([
  'createFolder',
  'create',
  'write',
  'sync',
  'close',
  'remove',
  'syncFolder',
]);

const faults: readonly DiskFault[] = [
  { kind: 'fail', code: 'ENOSPC' },
  { kind: 'failAfter', code: 'EIO' },
  { kind: 'short', bytes: 5 },
  { kind: 'short', bytes: 0 },
];

/**
 * Injects the fault into `count` consecutive operations after the first `first` ones. Returns a
 * function that returns the number of operations so far.
 */
const injectFaults = (
  disk: ModelDisk,
  first: number,
  count: number,
  fault: DiskFault,
): (() => number) => {
  let operationCount = 0;
  disk.hook = (operation) => {
    if (!failableOperations.has(operation)) return null;
    operationCount += 1;
    return operationCount > first && operationCount <= first + count ? fault : null;
  };
  return () => operationCount;
};

/** The records passed to `append`, and those that the log acknowledged or rejected. */
type History = {
  readonly issued: number[];
  readonly acknowledged: number[];
  readonly rejected: Set<number>;
};

const append = async (log: WriteAheadLog, history: History, record: number): Promise<void> => {
  history.issued.push(record);
  try {
    await log.append([record]);
    history.acknowledged.push(record);
  } catch (thrown) {
    if (!(thrown instanceof WriteAheadLogError)) throw thrown;
    history.rejected.add(record);
  }
};

/** Uses the log like a replica: recovers after a failure, and compacts the acknowledged records. */
const play = async (log: WriteAheadLog, history: History, firstRecord: number): Promise<void> => {
  for (let record = firstRecord; record < firstRecord + 8; record += 1) {
    if (!log.available()) await log.recover().catch(() => undefined);
    await append(log, history, record);
    if (record % 3 !== 0) continue;
    await Promise.all([
      log.compact(() => [...history.acknowledged]).catch(() => undefined),
      append(log, history, record + 100),
    ]);
  }
};

/**
 * Asserts that the records start with all acknowledged records, in order, and that only rejected
 * records follow.
 */
const assertRecords = (
  t: ExecutionContext,
  records: readonly unknown[],
  history: History,
  faultDescription: string,
): void => {
  const { acknowledged, rejected } = history;
  t.deepEqual(records.slice(0, acknowledged.length), acknowledged, faultDescription);
  for (const record of records.slice(acknowledged.length))
    t.true(rejected.has(record as number), faultDescription);
};

const reopen = async (disk: ModelDisk): Promise<readonly unknown[]> =>
  (await openWriteAheadLog(folder, disk.fileSystem)).records;

test('no acknowledged record is lost when one, a few or all disk operations fail from any point on', async (t) => {
  let runs = 0;
  for (const fault of faults) {
    for (const count of [1, 3, 1_000]) {
      let operations = Infinity;
      for (let first = 0; first < operations; first += 1) {
        const faultDescription = `${JSON.stringify(fault)} ${first}+${count}`;
        const disk = new ModelDisk();
        const history: History = { issued: [], acknowledged: [], rejected: new Set() };
        const countOperations = injectFaults(disk, first, count, fault);
        const log = await openWriteAheadLog(folder, disk.fileSystem);
        await play(log, history, 1);
        operations = countOperations();
        // The process ends while the power stays on, or the power fails.
        assertRecords(t, await reopen(disk.copy()), history, faultDescription);
        for (const diskAfterLoss of disk.statesAfterPowerLoss())
          assertRecords(t, await reopen(diskAfterLoss), history, faultDescription);
        // The disk works again.
        disk.hook = () => null;
        if (!log.available()) await log.recover();
        await append(log, history, 50);
        t.is(history.acknowledged.at(-1), 50, faultDescription);
        t.deepEqual(await reopen(disk.copy()), history.acknowledged, faultDescription);
        runs += 1;
      }
    }
  }
  t.true(runs > 500, `${runs} runs`);
});

test('a log on a disk that accepts no writes opens with its records and accepts appends after recovery', async (t) => {
  const disk = new ModelDisk();
  const history: History = { issued: [], acknowledged: [], rejected: new Set() };
  await play(await openWriteAheadLog(folder, disk.fileSystem), history, 1);
  const filesBefore = disk.files();
  for (const code of ['ENOSPC', 'EDQUOT', 'EIO', 'EROFS']) {
    const failingDisk = ModelDisk.of(filesBefore);
    failingDisk.hook = (operation) =>
      failableOperations.has(operation) ? { kind: 'fail', code } : null;
    const log = await openWriteAheadLog(folder, failingDisk.fileSystem);
    t.false(log.available());
    t.is(log.failure()?.code, code === 'ENOSPC' || code === 'EDQUOT' ? 'full' : 'disk');
    t.deepEqual(log.records, history.acknowledged);
    await t.throwsAsync(log.append([1]), { instanceOf: WriteAheadLogError });
    await t.throwsAsync(log.recover(), { instanceOf: WriteAheadLogError });
    t.deepEqual(failingDisk.files(), filesBefore);
    failingDisk.hook = () => null;
    await log.recover();
    await log.append([60]);
    t.deepEqual(await reopen(failingDisk), [...history.acknowledged, 60]);
  }
});

test('the first start on a full disk opens an empty log that recovers once the disk has space', async (t) => {
  const disk = new ModelDisk();
  disk.hook = (operation) =>
    failableOperations.has(operation) ? { kind: 'fail', code: 'ENOSPC' } : null;
  const log = await openWriteAheadLog(folder, disk.fileSystem);
  t.deepEqual([log.records, log.available()], [[], false]);
  disk.hook = () => null;
  await log.recover();
  await log.append(['a']);
  t.deepEqual(await reopen(disk), ['a']);
});

test('a failed sync is never repeated on the same file', async (t) => {
  const disk = new ModelDisk();
  const log = await openWriteAheadLog(folder, disk.fileSystem);
  await log.append([1]);
  const writesAndSyncs: string[] = [];
  let isSyncFailing = true;
  disk.hook = (operation, name) => {
    if (operation === 'write' || operation === 'sync') writesAndSyncs.push(`${operation} ${name}`);
    return isSyncFailing && operation === 'sync' ? { kind: 'fail', code: 'EIO' } : null;
  };
  await t.throwsAsync(log.append([2]));
  await t.throwsAsync(log.append([3]));
  isSyncFailing = false;
  await log.recover();
  await log.append([4]);
  t.deepEqual(writesAndSyncs, [
    'write segment-00000001',
    'sync segment-00000001',
    'write segment-00000002',
    'sync segment-00000002',
    'write segment-00000002',
    'sync segment-00000002',
  ]);
  t.deepEqual(await reopen(disk), [1, 4]);
});

test('a snapshot that does not fit on the disk is removed, and appends and later snapshots succeed', async (t) => {
  const disk = new ModelDisk();
  const log = await openWriteAheadLog(folder, disk.fileSystem);
  await log.append([1, 2, 3]);
  const failSnapshotWrites = (operation: DiskOperation, name: string): DiskFault | null =>
    operation === 'write' && name.startsWith('snapshot') ? { kind: 'fail', code: 'ENOSPC' } : null;
  disk.hook = failSnapshotWrites;
  const error = await t.throwsAsync(
    log.compact(() => [1, 2, 3]),
    { instanceOf: WriteAheadLogError },
  );
  t.is(error?.code, 'full');
  t.true(log.available());
  await log.append([4]);
  t.deepEqual(
    [...disk.files().keys()].filter((name) => name.startsWith('snapshot')),
    [],
  );
  t.deepEqual(await reopen(disk.copy()), [1, 2, 3, 4]);
  disk.hook = () => null;
  await log.compact(() => [1, 2, 3, 4]);
  t.is(disk.files().size, 2);
  t.deepEqual(await reopen(disk), [1, 2, 3, 4]);
});

test('while a sync hangs, neither the first nor a later append is acknowledged', async (t) => {
  const disk = new ModelDisk();
  const log = await openWriteAheadLog(folder, disk.fileSystem);
  let releaseSync: (() => void) | null = null;
  disk.hook = (operation) =>
    operation === 'sync'
      ? new Promise((resolve) => {
          releaseSync = () => resolve(null);
        })
      : null;
  const acknowledged: number[] = [];
  const appends = [1, 2].map((record) =>
    log.append([record]).then(() => acknowledged.push(record)),
  );
  await new Promise((resolve) => setImmediate(resolve));
  t.deepEqual(acknowledged, []);
  disk.hook = () => null;
  (releaseSync as (() => void) | null)?.();
  await Promise.all(appends);
  t.deepEqual(acknowledged, [1, 2]);
});

test('restarts without appends add no files, and many restarts with appends make a snapshot due', async (t) => {
  const disk = new ModelDisk();
  await (await openWriteAheadLog(folder, disk.fileSystem)).append(['kept']);
  for (let start = 0; start < 10; start += 1) {
    await openWriteAheadLog(folder, disk.fileSystem);
    t.is(disk.files().size, 2);
  }
  let log = await openWriteAheadLog(folder, disk.fileSystem);
  for (let start = 0; start < 70 && !log.fragmented(); start += 1) {
    await log.append([start]);
    log = await openWriteAheadLog(folder, disk.fileSystem);
  }
  t.true(log.fragmented());
  await log.compact(() => log.records);
  t.false(log.fragmented());
  t.is(disk.files().size, 2);
  t.deepEqual(await reopen(disk), log.records);
});
