// A disk that is full or refuses, at every operation of the log.
import test, { type ExecutionContext } from 'ava';
import { WriteAheadLogError, openWriteAheadLog, type WriteAheadLog } from './index.js';
import { ModelDisk, type DiskFault, type DiskOperation } from './model-disk.js';

const folder = 'model';

/** Operations that a disk without room, or a failing one, refuses. */
const refusable: ReadonlySet<DiskOperation> = new Set([
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

/** Refuses so many operations from one on, then all is well again. */
const faultAt = (
  disk: ModelDisk,
  first: number,
  count: number,
  fault: DiskFault,
): (() => number) => {
  let seen = 0;
  disk.hook = (operation) => {
    if (!refusable.has(operation)) return null;
    seen += 1;
    return seen > first && seen <= first + count ? fault : null;
  };
  return () => seen;
};

type History = {
  readonly issued: number[];
  readonly acknowledged: number[];
  readonly refused: Set<number>;
};

const append = async (log: WriteAheadLog, history: History, record: number): Promise<void> => {
  history.issued.push(record);
  try {
    await log.append([record]);
    history.acknowledged.push(record);
  } catch (thrown) {
    if (!(thrown instanceof WriteAheadLogError)) throw thrown;
    history.refused.add(record);
  }
};

/** As its user does: recovers after a failure, and snapshots just what was acknowledged. */
const play = async (log: WriteAheadLog, history: History, from: number): Promise<void> => {
  for (let record = from; record < from + 8; record += 1) {
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
 * What was acknowledged is there, in order; what was refused is not there before anything
 * acknowledged.
 */
const check = (
  t: ExecutionContext,
  records: readonly unknown[],
  history: History,
  what: string,
): void => {
  const { acknowledged, refused } = history;
  t.deepEqual(records.slice(0, acknowledged.length), acknowledged, what);
  for (const record of records.slice(acknowledged.length))
    t.true(refused.has(record as number), what);
};

const reopen = async (disk: ModelDisk): Promise<readonly unknown[]> =>
  (await openWriteAheadLog(folder, disk.fileSystem)).records;

test('a disk that refuses any operations, for long or short, loses nothing that was acknowledged', async (t) => {
  let runs = 0;
  for (const fault of faults) {
    for (const count of [1, 3, 1_000]) {
      let operations = Infinity;
      for (let first = 0; first < operations; first += 1) {
        const what = `${JSON.stringify(fault)} ${first}+${count}`;
        const disk = new ModelDisk();
        const history: History = { issued: [], acknowledged: [], refused: new Set() };
        const seen = faultAt(disk, first, count, fault);
        const log = await openWriteAheadLog(folder, disk.fileSystem);
        await play(log, history, 1);
        operations = seen();
        // The process ends while the power stays on, and the power fails.
        check(t, await reopen(disk.copy()), history, what);
        for (const left of disk.statesAfterPowerLoss()) check(t, await reopen(left), history, what);
        // The disk is well again.
        disk.hook = () => null;
        if (!log.available()) await log.recover();
        await append(log, history, 50);
        t.is(history.acknowledged.at(-1), 50, what);
        t.deepEqual(await reopen(disk.copy()), history.acknowledged, what);
        runs += 1;
      }
    }
  }
  t.true(runs > 500, `${runs} runs`);
});

test('a log opens with a disk that takes nothing, shows what is there, and goes on once it does', async (t) => {
  const disk = new ModelDisk();
  const history: History = { issued: [], acknowledged: [], refused: new Set() };
  await play(await openWriteAheadLog(folder, disk.fileSystem), history, 1);
  const before = disk.files();
  for (const code of ['ENOSPC', 'EDQUOT', 'EIO', 'EROFS']) {
    const full = ModelDisk.of(before);
    full.hook = (operation) => (refusable.has(operation) ? { kind: 'fail', code } : null);
    const log = await openWriteAheadLog(folder, full.fileSystem);
    t.false(log.available());
    t.is(log.failure()?.code, code === 'ENOSPC' || code === 'EDQUOT' ? 'full' : 'disk');
    t.deepEqual(log.records, history.acknowledged);
    await t.throwsAsync(log.append([1]), { instanceOf: WriteAheadLogError });
    await t.throwsAsync(log.recover(), { instanceOf: WriteAheadLogError });
    t.deepEqual(full.files(), before);
    full.hook = () => null;
    await log.recover();
    await log.append([60]);
    t.deepEqual(await reopen(full), [...history.acknowledged, 60]);
  }
});

test('a first start with a full disk opens an empty log', async (t) => {
  const disk = new ModelDisk();
  disk.hook = (operation) => (refusable.has(operation) ? { kind: 'fail', code: 'ENOSPC' } : null);
  const log = await openWriteAheadLog(folder, disk.fileSystem);
  t.deepEqual([log.records, log.available()], [[], false]);
  disk.hook = () => null;
  await log.recover();
  await log.append(['a']);
  t.deepEqual(await reopen(disk), ['a']);
});

test('a sync that fails is never tried again on the same file', async (t) => {
  const disk = new ModelDisk();
  const log = await openWriteAheadLog(folder, disk.fileSystem);
  await log.append([1]);
  const touched: string[] = [];
  let failing = true;
  disk.hook = (operation, name) => {
    if (operation === 'write' || operation === 'sync') touched.push(`${operation} ${name}`);
    return failing && operation === 'sync' ? { kind: 'fail', code: 'EIO' } : null;
  };
  await t.throwsAsync(log.append([2]));
  await t.throwsAsync(log.append([3]));
  failing = false;
  await log.recover();
  await log.append([4]);
  t.deepEqual(touched, [
    'write segment-00000001',
    'sync segment-00000001',
    'write segment-00000002',
    'sync segment-00000002',
    'write segment-00000002',
    'sync segment-00000002',
  ]);
  t.deepEqual(await reopen(disk), [1, 4]);
});

test('a snapshot that finds no room is removed, appends go on, and the next one takes its place', async (t) => {
  const disk = new ModelDisk();
  const log = await openWriteAheadLog(folder, disk.fileSystem);
  await log.append([1, 2, 3]);
  const refuse = (operation: DiskOperation, name: string): DiskFault | null =>
    operation === 'write' && name.startsWith('snapshot') ? { kind: 'fail', code: 'ENOSPC' } : null;
  disk.hook = refuse;
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

test('while a sync hangs, a later append waits with it and none is acknowledged', async (t) => {
  const disk = new ModelDisk();
  const log = await openWriteAheadLog(folder, disk.fileSystem);
  let release: (() => void) | null = null;
  disk.hook = (operation) =>
    operation === 'sync'
      ? new Promise((resolve) => {
          release = () => resolve(null);
        })
      : null;
  const acknowledged: number[] = [];
  const appends = [1, 2].map((record) =>
    log.append([record]).then(() => acknowledged.push(record)),
  );
  await new Promise((resolve) => setImmediate(resolve));
  t.deepEqual(acknowledged, []);
  disk.hook = () => null;
  (release as (() => void) | null)?.();
  await Promise.all(appends);
  t.deepEqual(acknowledged, [1, 2]);
});

test('restarts without appends leave no more files, and many with a few make a snapshot due', async (t) => {
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
