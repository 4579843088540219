// Reopens the log from every state that a power loss or a process exit can leave at every operation
// of the log.
import test, { type ExecutionContext } from 'ava';
import { openWriteAheadLog, type WriteAheadLog } from './index.js';
import { ModelDisk, type DiskOperation } from './model-disk.js';

const folder = 'model';

/** The records passed to the log, and those that the log acknowledged, up to some moment. */
type History = { readonly issued: number[]; readonly acknowledged: number[] };
/** A copy of the disk and the history at one moment. */
type Moment = { readonly disk: ModelDisk; readonly history: History };

const copyOf = ({ issued, acknowledged }: History): History => ({
  issued: [...issued],
  acknowledged: [...acknowledged],
});

/**
 * Records a copy of the disk and the history before each disk operation and after each append and
 * compaction. The log's records are numbers.
 */
class Recorder {
  readonly moments: Moment[] = [];

  constructor(
    readonly disk: ModelDisk,
    readonly history: History,
  ) {
    disk.hook = (operation: DiskOperation) => {
      if (operation !== 'list' && operation !== 'read') this.recordMoment();
      return null;
    };
  }

  recordMoment(): void {
    this.moments.push({ disk: this.disk.copy(), history: copyOf(this.history) });
  }

  async open(): Promise<WriteAheadLog> {
    return openWriteAheadLog(folder, this.disk.fileSystem);
  }

  async append(log: WriteAheadLog, ...records: number[]): Promise<void> {
    this.history.issued.push(...records);
    await log.append(records);
    this.history.acknowledged.push(...records);
    this.recordMoment();
  }

  async compact(log: WriteAheadLog): Promise<void> {
    await log.compact(() => [...this.history.acknowledged]);
    this.recordMoment();
  }
}

/** Asserts that the records are a prefix of the issued ones and include all acknowledged ones. */
const assertRecords = (
  t: ExecutionContext,
  records: readonly unknown[],
  history: History,
): void => {
  const { issued, acknowledged } = history;
  const expected = issued.slice(0, Math.max(records.length, acknowledged.length));
  t.deepEqual(records, expected);
};

const reopen = async (disk: ModelDisk): Promise<readonly unknown[]> =>
  (await openWriteAheadLog(folder, disk.fileSystem)).records;

/** Opens the log, appends, and compacts twice, the first time with a concurrent append. */
const play = async (recorder: Recorder, firstRecord: number): Promise<void> => {
  const log = await recorder.open();
  await recorder.append(log, firstRecord);
  await Promise.all([
    recorder.append(log, firstRecord + 1, firstRecord + 2),
    recorder.append(log, firstRecord + 3),
  ]);
  await Promise.all([recorder.compact(log), recorder.append(log, firstRecord + 4)]);
  await recorder.append(log, firstRecord + 5);
  await recorder.compact(log);
};

test('after any power loss the log opens with all acknowledged records', async (t) => {
  const recorder = new Recorder(new ModelDisk(), { issued: [], acknowledged: [] });
  await play(recorder, 1);
  await play(recorder, 7);
  let states = 0;
  for (const { disk, history } of recorder.moments) {
    for (const diskAfterLoss of disk.statesAfterPowerLoss()) {
      assertRecords(t, await reopen(diskAfterLoss), history);
      states += 1;
    }
  }
  t.true(states > 300, `${states} states`);
});

test('after a second power loss at any operation the log opens with all acknowledged records', async (t) => {
  const recorder = new Recorder(new ModelDisk(), { issued: [], acknowledged: [] });
  await play(recorder, 1);
  let states = 0;
  for (const { disk, history } of recorder.moments) {
    for (const diskAfterLoss of disk.statesAfterPowerLoss()) {
      const records = (await reopen(diskAfterLoss.copy())) as number[];
      const secondRecorder = new Recorder(diskAfterLoss, {
        issued: [...records],
        acknowledged: [...history.acknowledged],
      });
      const log = await secondRecorder.open();
      secondRecorder.history.acknowledged.splice(0, Infinity, ...records);
      await secondRecorder.append(log, 100);
      await secondRecorder.compact(log);
      for (const moment of secondRecorder.moments) {
        for (const diskAfterSecondLoss of moment.disk.statesAfterPowerLoss()) {
          assertRecords(t, await reopen(diskAfterSecondLoss), moment.history);
          states += 1;
        }
      }
    }
  }
  t.true(states > 3_000, `${states} states`);
});

test('unsynced records of a killed process are durable before the reopened log returns them', async (t) => {
  const recorder = new Recorder(new ModelDisk(), { issued: [], acknowledged: [] });
  await play(recorder, 1);
  let states = 0;
  for (const { disk, history } of recorder.moments) {
    // The process ends here; the power stays on until the next process has opened the log.
    const nextRecorder = new Recorder(disk.copy(), copyOf(history));
    const log = await nextRecorder.open();
    t.true(log.available());
    const returnedRecords = log.records as number[];
    assertRecords(t, returnedRecords, history);
    for (const diskAfterLoss of nextRecorder.disk.statesAfterPowerLoss()) {
      t.deepEqual(await reopen(diskAfterLoss), returnedRecords);
      states += 1;
    }
    // The power fails while the next process opens the log: no records were returned yet.
    for (const moment of nextRecorder.moments) {
      for (const diskAfterLoss of moment.disk.statesAfterPowerLoss()) {
        assertRecords(t, await reopen(diskAfterLoss), history);
        states += 1;
      }
    }
  }
  t.true(states > 300, `${states} states`);
});

/** The files of a log with a snapshot of records 1 to 3 and a segment with records 4 to 6. */
const createDurableFiles = async (): Promise<{
  readonly files: ReadonlyMap<string, Buffer>;
  readonly records: readonly number[];
}> => {
  const disk = new ModelDisk();
  const recorder = new Recorder(disk, { issued: [], acknowledged: [] });
  const log = await recorder.open();
  for (let record = 1; record <= 3; record += 1) await recorder.append(log, record);
  await recorder.compact(log);
  for (let record = 4; record <= 6; record += 1) await recorder.append(log, record);
  await log.close();
  return { files: disk.files(), records: recorder.history.acknowledged };
};

test('opening fails on a gap of any length anywhere in the synced data', async (t) => {
  const { files } = await createDurableFiles();
  const gapLengths = [1, 7, 40];
  const newestFrameBytes = 24 + 3;
  for (const [name, bytes] of files) {
    const end = name.startsWith('segment') ? bytes.length - newestFrameBytes : bytes.length;
    for (const length of gapLengths) {
      for (let start = 0; start + length <= end; start += 1) {
        const corrupted = Buffer.from(bytes);
        for (let offset = start; offset < start + length; offset += 1) {
          corrupted.writeUInt8(corrupted.readUInt8(offset) ^ 0xa5, offset);
        }
        const disk = ModelDisk.of(new Map([...files, [name, corrupted]]));
        const error = await t.throwsAsync(reopen(disk), undefined, `${name} ${start} ${length}`);
        t.regex(error?.message ?? '', /restore the file or wipe/);
      }
    }
  }
});

test('opening fails on a gap in an older segment before the end that the next segment fences', async (t) => {
  const disk = new ModelDisk();
  const recorder = new Recorder(disk, { issued: [], acknowledged: [] });
  for (let start = 0; start < 3; start += 1) {
    const log = await recorder.open();
    for (let index = 1; index <= 3; index += 1) await recorder.append(log, start * 3 + index);
    await log.close();
  }
  const files = disk.files();
  const olderNames = [...files.keys()].sort().slice(0, -1);
  t.is(olderNames.length, 2);
  // The header of the next segment carries the last batch of each older segment.
  const newestFrameBytes = 24 + 3;
  for (const name of olderNames) {
    const bytes = files.get(name) ?? Buffer.alloc(0);
    for (let offset = 0; offset < bytes.length; offset += 1) {
      const corrupted = Buffer.from(bytes);
      corrupted.writeUInt8(corrupted.readUInt8(offset) ^ 0xa5, offset);
      const corruptedDisk = ModelDisk.of(new Map([...files, [name, corrupted]]));
      if (offset < bytes.length - newestFrameBytes)
        await t.throwsAsync(reopen(corruptedDisk), undefined, `${name} ${offset}`);
      else t.deepEqual(await reopen(corruptedDisk), recorder.history.acknowledged);
    }
  }
});

test('a truncated snapshot is ignored even if a state record looks like the end record', async (t) => {
  const disk = new ModelDisk();
  const log = await openWriteAheadLog(folder, disk.fileSystem);
  await log.append(['a']);
  await log.compact(() => [{ records: 0 }, 'b']);
  const snapshot = disk.files().get('snapshot-00000002') ?? Buffer.alloc(0);
  const secondDisk = new ModelDisk();
  const secondLog = await openWriteAheadLog(folder, secondDisk.fileSystem);
  await secondLog.append(['a']);
  const images: ModelDisk[] = [];
  secondDisk.hook = (operation) => {
    if (operation === 'sync') images.push(secondDisk.copy());
    return null;
  };
  await secondLog.compact(() => [{ records: 0 }, 'b']);
  const imageWithSnapshot = images.find((image) => image.files().has('snapshot-00000002'));
  for (let length = 0; length < snapshot.length; length += 1) {
    const files = new Map([
      ...(imageWithSnapshot?.files() ?? []),
      ['snapshot-00000002', snapshot.subarray(0, length)],
    ]);
    t.deepEqual(await reopen(ModelDisk.of(files)), ['a'], `truncated to ${length} bytes`);
  }
});

test('opening fails if a synced file is missing', async (t) => {
  const { files } = await createDurableFiles();
  t.is(files.size, 2);
  for (const name of files.keys()) {
    const otherFiles = new Map([...files].filter(([otherName]) => otherName !== name));
    await t.throwsAsync(reopen(ModelDisk.of(otherFiles)), { message: /missing/ }, name);
  }
});

test('removed files that reappear do not change the recovered records', async (t) => {
  const disk = new ModelDisk();
  const recorder = new Recorder(disk, { issued: [], acknowledged: [] });
  const filesSoFar = new Map<string, Buffer>();
  const log = await recorder.open();
  for (let round = 0; round < 3; round += 1) {
    await recorder.append(log, round * 2 + 1);
    await recorder.append(log, round * 2 + 2);
    for (const [name, bytes] of disk.files()) filesSoFar.set(name, bytes);
    await recorder.compact(log);
  }
  const currentFiles = disk.files();
  const removedFiles = [...filesSoFar].filter(([name]) => !currentFiles.has(name));
  t.is(removedFiles.length, 5);
  for (let subset = 0; subset < 2 ** removedFiles.length; subset += 1) {
    const reappearedFiles = removedFiles.filter((_, index) => (subset & (1 << index)) !== 0);
    t.deepEqual(
      await reopen(ModelDisk.of(new Map([...reappearedFiles, ...currentFiles]))),
      recorder.history.acknowledged,
    );
  }
});

test('data of another file after the end of a segment is never read as records of the segment', async (t) => {
  const { files, records } = await createDurableFiles();
  for (const [name, bytes] of files) {
    for (const [otherName, otherBytes] of files) {
      if (otherName === name || !name.startsWith('segment')) continue;
      const filesWithStaleData = new Map([...files, [name, Buffer.concat([bytes, otherBytes])]]);
      t.deepEqual(await reopen(ModelDisk.of(filesWithStaleData)), records);
    }
  }
  t.deepEqual([...files.keys()].sort(), ['segment-00000002', 'snapshot-00000002']);
});
