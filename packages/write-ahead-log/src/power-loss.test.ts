// Every state that a loss of power, or the end of the process, can leave at every operation of the
// log.
import test, { type ExecutionContext } from 'ava';
import { openWriteAheadLog, type WriteAheadLog } from './index.js';
import { ModelDisk, type DiskOperation } from './model-disk.js';

const folder = 'model';

/** What was handed to the log and what it acknowledged, up to some moment. */
type History = { readonly issued: number[]; readonly acknowledged: number[] };
type Moment = { readonly disk: ModelDisk; readonly history: History };

const copyOf = ({ issued, acknowledged }: History): History => ({
  issued: [...issued],
  acknowledged: [...acknowledged],
});

/**
 * A log whose records are numbers, with a copy of disk and history before and after each operation.
 */
class Recorder {
  readonly moments: Moment[] = [];

  constructor(
    readonly disk: ModelDisk,
    readonly history: History,
  ) {
    disk.hook = (operation: DiskOperation) => {
      if (operation !== 'list' && operation !== 'read') this.mark();
      return null;
    };
  }

  mark(): void {
    this.moments.push({ disk: this.disk.copy(), history: copyOf(this.history) });
  }

  async open(): Promise<WriteAheadLog> {
    return openWriteAheadLog(folder, this.disk.fileSystem);
  }

  async append(log: WriteAheadLog, ...records: number[]): Promise<void> {
    this.history.issued.push(...records);
    await log.append(records);
    this.history.acknowledged.push(...records);
    this.mark();
  }

  async compact(log: WriteAheadLog): Promise<void> {
    await log.compact(() => [...this.history.acknowledged]);
    this.mark();
  }
}

/** All that was acknowledged is there, in order, then perhaps more of what was handed in. */
const checkRecords = (t: ExecutionContext, records: readonly unknown[], history: History): void => {
  const { issued, acknowledged } = history;
  const wanted = issued.slice(0, Math.max(records.length, acknowledged.length));
  t.deepEqual(records, wanted);
};

const reopen = async (disk: ModelDisk): Promise<readonly unknown[]> =>
  (await openWriteAheadLog(folder, disk.fileSystem)).records;

/** Opens, appends, compacts with appends meanwhile, ends, and opens again. */
const play = async (recorder: Recorder, first: number): Promise<void> => {
  const log = await recorder.open();
  await recorder.append(log, first);
  await Promise.all([recorder.append(log, first + 1, first + 2), recorder.append(log, first + 3)]);
  await Promise.all([recorder.compact(log), recorder.append(log, first + 4)]);
  await recorder.append(log, first + 5);
  await recorder.compact(log);
};

test('after any loss of power all that was acknowledged is there, and the log opens', async (t) => {
  const recorder = new Recorder(new ModelDisk(), { issued: [], acknowledged: [] });
  await play(recorder, 1);
  await play(recorder, 7);
  let states = 0;
  for (const { disk, history } of recorder.moments) {
    for (const left of disk.statesAfterPowerLoss()) {
      checkRecords(t, await reopen(left), history);
      states += 1;
    }
  }
  t.true(states > 300, `${states} states`);
});

test('a second loss of power, at any operation after any first one, loses nothing either', async (t) => {
  const recorder = new Recorder(new ModelDisk(), { issued: [], acknowledged: [] });
  await play(recorder, 1);
  let states = 0;
  for (const { disk, history } of recorder.moments) {
    for (const left of disk.statesAfterPowerLoss()) {
      const records = (await reopen(left.copy())) as number[];
      const second = new Recorder(left, {
        issued: [...records],
        acknowledged: [...history.acknowledged],
      });
      const log = await second.open();
      second.history.acknowledged.splice(0, Infinity, ...records);
      await second.append(log, 100);
      await second.compact(log);
      for (const moment of second.moments) {
        for (const again of moment.disk.statesAfterPowerLoss()) {
          checkRecords(t, await reopen(again), moment.history);
          states += 1;
        }
      }
    }
  }
  t.true(states > 3_000, `${states} states`);
});

test('what a killed process left unsynced is made durable before it is shown', async (t) => {
  const recorder = new Recorder(new ModelDisk(), { issued: [], acknowledged: [] });
  await play(recorder, 1);
  let states = 0;
  for (const { disk, history } of recorder.moments) {
    // The process ends here; the power stays on until the next one has opened the log.
    const opened = new Recorder(disk.copy(), copyOf(history));
    const log = await opened.open();
    t.true(log.available());
    const shown = log.records as number[];
    checkRecords(t, shown, history);
    for (const left of opened.disk.statesAfterPowerLoss()) {
      t.deepEqual(await reopen(left), shown);
      states += 1;
    }
    // The power fails while the next one opens it: nothing was shown yet.
    for (const moment of opened.moments) {
      for (const left of moment.disk.statesAfterPowerLoss()) {
        checkRecords(t, await reopen(left), history);
        states += 1;
      }
    }
  }
  t.true(states > 300, `${states} states`);
});

const durableFiles = async (): Promise<{
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

test('a gap in what was synced is refused, wherever it is and however long', async (t) => {
  const { files } = await durableFiles();
  const gapLengths = [1, 7, 40];
  const newestFrame = 24 + 3;
  for (const [name, bytes] of files) {
    const end = name.startsWith('segment') ? bytes.length - newestFrame : bytes.length;
    for (const length of gapLengths) {
      for (let at = 0; at + length <= end; at += 1) {
        const broken = Buffer.from(bytes);
        for (let each = at; each < at + length; each += 1) {
          broken.writeUInt8(broken.readUInt8(each) ^ 0xa5, each);
        }
        const disk = ModelDisk.of(new Map([...files, [name, broken]]));
        const error = await t.throwsAsync(reopen(disk), undefined, `${name} ${at} ${length}`);
        t.regex(error?.message ?? '', /restore the file or wipe/);
      }
    }
  }
});

test('a gap in any segment before the newest is refused, up to where the next one fences it', async (t) => {
  const disk = new ModelDisk();
  const recorder = new Recorder(disk, { issued: [], acknowledged: [] });
  for (let start = 0; start < 3; start += 1) {
    const log = await recorder.open();
    for (let each = 1; each <= 3; each += 1) await recorder.append(log, start * 3 + each);
    await log.close();
  }
  const files = disk.files();
  const older = [...files.keys()].sort().slice(0, -1);
  t.is(older.length, 2);
  // The last batch of each is carried in the next segment's header.
  const newestFrame = 24 + 3;
  for (const name of older) {
    const bytes = files.get(name) ?? Buffer.alloc(0);
    for (let at = 0; at < bytes.length; at += 1) {
      const broken = Buffer.from(bytes);
      broken.writeUInt8(broken.readUInt8(at) ^ 0xa5, at);
      const left = ModelDisk.of(new Map([...files, [name, broken]]));
      if (at < bytes.length - newestFrame)
        await t.throwsAsync(reopen(left), undefined, `${name} ${at}`);
      else t.deepEqual(await reopen(left), recorder.history.acknowledged);
    }
  }
});

test('a record that looks like the end of a snapshot does not end one', async (t) => {
  const disk = new ModelDisk();
  const log = await openWriteAheadLog(folder, disk.fileSystem);
  await log.append(['a']);
  await log.compact(() => [{ records: 0 }, 'b']);
  const written = disk.files().get('snapshot-00000002') ?? Buffer.alloc(0);
  const before = new ModelDisk();
  const again = await openWriteAheadLog(folder, before.fileSystem);
  await again.append(['a']);
  const images: ModelDisk[] = [];
  before.hook = (operation) => {
    if (operation === 'sync') images.push(before.copy());
    return null;
  };
  await again.compact(() => [{ records: 0 }, 'b']);
  const image = images.find((each) => each.files().has('snapshot-00000002'));
  for (let cut = 0; cut < written.length; cut += 1) {
    const files = new Map([
      ...(image?.files() ?? []),
      ['snapshot-00000002', written.subarray(0, cut)],
    ]);
    t.deepEqual(await reopen(ModelDisk.of(files)), ['a'], `cut at ${cut}`);
  }
});

test('a file whose sync is certain and that is missing is refused', async (t) => {
  const { files } = await durableFiles();
  t.is(files.size, 2);
  for (const name of files.keys()) {
    const others = new Map([...files].filter(([each]) => each !== name));
    await t.throwsAsync(reopen(ModelDisk.of(others)), { message: /missing/ }, name);
  }
});

test('files that were removed and come back by themselves change nothing', async (t) => {
  const disk = new ModelDisk();
  const recorder = new Recorder(disk, { issued: [], acknowledged: [] });
  const seen = new Map<string, Buffer>();
  const log = await recorder.open();
  for (let round = 0; round < 3; round += 1) {
    await recorder.append(log, round * 2 + 1);
    await recorder.append(log, round * 2 + 2);
    for (const [name, bytes] of disk.files()) seen.set(name, bytes);
    await recorder.compact(log);
  }
  const now = disk.files();
  const removed = [...seen].filter(([name]) => !now.has(name));
  t.is(removed.length, 5);
  for (let subset = 0; subset < 2 ** removed.length; subset += 1) {
    const back = removed.filter((_, index) => (subset & (1 << index)) !== 0);
    t.deepEqual(
      await reopen(ModelDisk.of(new Map([...back, ...now]))),
      recorder.history.acknowledged,
    );
  }
});

test('blocks that another file left behind are never read as records of this one', async (t) => {
  const { files, records } = await durableFiles();
  for (const [name, bytes] of files) {
    for (const [otherName, other] of files) {
      if (otherName === name || !name.startsWith('segment')) continue;
      const mixed = new Map([...files, [name, Buffer.concat([bytes, other])]]);
      t.deepEqual(await reopen(ModelDisk.of(mixed)), records);
    }
  }
  t.deepEqual([...files.keys()].sort(), ['segment-00000002', 'snapshot-00000002']);
});
