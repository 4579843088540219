// The log on a real folder.
import test from 'ava';
import os from 'node:os';
import path from 'node:path';
import {
  copyFileSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  truncateSync,
  writeFileSync,
} from 'node:fs';
import { WriteAheadLogError, openWriteAheadLog } from './index.js';
import { encodeFrame, encodeRecord, scanFrames } from './frames.js';

const folder = (): string => mkdtempSync(path.join(os.tmpdir(), 'write-ahead-log-'));
const firstSegment = 'segment-00000001';
const fileId = 2;

const frameLength = (record: unknown): number =>
  encodeFrame({ payload: encodeRecord(record), batch: 1, lastOfBatch: true, fileId }).length;

const folderWith = (bytes: Buffer): string => {
  const copy = folder();
  writeFileSync(path.join(copy, firstSegment), bytes);
  return copy;
};

test('cut at every byte, a log gives back exactly the records that were whole, and goes on from there', async (t) => {
  const home = folder();
  const log = await openWriteAheadLog(home);
  const header = readFileSync(path.join(home, firstSegment)).length;
  const records = [
    { kind: 'cell', n: 1 },
    { kind: 'fact', text: 'ü'.repeat(9) },
    { kind: 'cell', n: 3 },
  ];
  await log.append(records);
  await log.close();
  const file = path.join(home, firstSegment);
  const whole = readFileSync(file);
  const ends = records.reduce<number[]>(
    (list, record) => [...list, (list.at(-1) ?? header) + frameLength(record)],
    [],
  );
  t.is(ends.at(-1), whole.length);
  for (let cut = 0; cut <= whole.length; cut += 1) {
    const copy = folder();
    copyFileSync(file, path.join(copy, firstSegment));
    truncateSync(path.join(copy, firstSegment), cut);
    const again = await openWriteAheadLog(copy);
    const kept = records.slice(0, ends.filter((end) => end <= cut).length);
    t.deepEqual(again.records, kept, `cut at ${cut}`);
    await again.append(['later']);
    await again.close();
    const third = await openWriteAheadLog(copy);
    t.deepEqual(third.records, [...kept, 'later']);
    await third.close();
  }
});

test('a damaged middle is refused at every byte of it', async (t) => {
  const home = folder();
  const log = await openWriteAheadLog(home);
  // Each is acknowledged before the next: only the last may be what an unsynced write left.
  for (const record of ['first', 'second', 'third']) await log.append([record]);
  await log.close();
  const whole = readFileSync(path.join(home, firstSegment));
  const until = whole.length - frameLength('third');
  for (let at = 0; at < until; at += 1) {
    const bytes = Buffer.from(whole);
    bytes.writeUInt8(bytes.readUInt8(at) ^ 0x20, at);
    const error = await t.throwsAsync(openWriteAheadLog(folderWith(bytes)), {
      instanceOf: WriteAheadLogError,
    });
    t.is(error?.code, 'damaged', `byte ${at}`);
  }
});

test('a gap at every byte of one unsynced write ends the log there, also with whole records behind it', async (t) => {
  const home = folder();
  const log = await openWriteAheadLog(home);
  await log.append(['synced']);
  const before = readFileSync(path.join(home, firstSegment)).length;
  await log.append(['first', 'second', 'third']);
  await log.close();
  const whole = readFileSync(path.join(home, firstSegment));
  const ends = ['first', 'second', 'third'].reduce<number[]>(
    (list, record) => [...list, (list.at(-1) ?? before) + frameLength(record)],
    [],
  );
  for (let at = before; at < whole.length; at += 1) {
    const bytes = Buffer.from(whole);
    bytes.fill(0, at, Math.min(at + 16, bytes.length));
    const again = await openWriteAheadLog(folderWith(bytes));
    const kept = ['first', 'second', 'third'].slice(0, ends.filter((end) => end <= at).length);
    t.deepEqual(again.records, ['synced', ...kept], `byte ${at}`);
    await again.close();
  }
});

test('zeroes after the last record are a torn tail, not damage', (t) => {
  const frame = encodeFrame({ payload: encodeRecord('a'), batch: 1, lastOfBatch: true, fileId });
  const scan = scanFrames(Buffer.concat([frame, Buffer.alloc(40)]), fileId);
  t.deepEqual(
    scan.frames.map((each) => each.record),
    ['a'],
  );
  t.deepEqual([scan.validBytes, scan.highestBatchAfterGap], [frame.length, null]);
});

test('compaction keeps the state and bounds the files; a snapshot without its end counts for nothing', async (t) => {
  const home = folder();
  const log = await openWriteAheadLog(home);
  for (let n = 0; n < 50; n += 1) await log.append([{ n }]);
  await log.compact(() => [{ state: 49 }]);
  await log.append([{ n: 50 }]);
  await log.close();
  const [segment, snapshot] = ['segment-00000002', 'snapshot-00000002'];
  t.deepEqual(readdirSync(home).sort(), [segment, snapshot]);
  const again = await openWriteAheadLog(home);
  t.deepEqual(again.records, [{ state: 49 }, { n: 50 }]);
  await again.close();
  // The next segment was begun, and its snapshot is there in part.
  const whole = readFileSync(path.join(home, snapshot));
  for (const cut of [0, 1, Math.floor(whole.length / 2), whole.length - 1]) {
    const crashed = folder();
    for (const name of readdirSync(home))
      copyFileSync(path.join(home, name), path.join(crashed, name));
    writeFileSync(path.join(crashed, 'snapshot-00000003'), whole.subarray(0, cut));
    const third = await openWriteAheadLog(crashed);
    t.deepEqual(third.records, [{ state: 49 }, { n: 50 }]);
    t.false(readdirSync(crashed).includes('snapshot-00000003'));
    await third.close();
  }
});

test('a missing segment is refused', async (t) => {
  const home = folder();
  for (const record of ['a', 'b', 'c']) {
    const log = await openWriteAheadLog(home);
    await log.append([record]);
    await log.close();
  }
  const names = readdirSync(home).sort();
  t.is(names.length, 3);
  // The newest is told by nothing else; each other one is named by the next.
  for (const missing of names.slice(0, -1)) {
    const copy = folder();
    for (const name of names.filter((each) => each !== missing)) {
      copyFileSync(path.join(home, name), path.join(copy, name));
    }
    await t.throwsAsync(openWriteAheadLog(copy), {
      instanceOf: WriteAheadLogError,
      message: new RegExp(`${missing}: is missing`),
    });
  }
});

test('while a snapshot is written, appends are synced and kept', async (t) => {
  const home = folder();
  const log = await openWriteAheadLog(home);
  await log.append(['before']);
  const order: string[] = [];
  let appended = Promise.resolve();
  // Each record fills a chunk; the append is made when half of them are written.
  function* state(): Iterable<unknown> {
    for (let each = 0; each < 60; each += 1) {
      if (each === 30) {
        appended = log.append(['meanwhile']).then(() => {
          order.push('append');
        });
      }
      yield { each, text: 'x'.repeat(70_000) };
    }
  }
  await log.compact(state).then(() => {
    order.push('snapshot');
  });
  await appended;
  t.deepEqual(order, ['append', 'snapshot']);
  t.true(log.snapshotBytes() > 60 * 70_000);
  await log.close();
  const again = await openWriteAheadLog(home);
  t.deepEqual([again.records.length, again.records.at(-1)], [61, 'meanwhile']);
  await again.close();
});

test('as many records as an hour of orders leaves are read at a start', async (t) => {
  const home = folder();
  const log = await openWriteAheadLog(home);
  await log.append(Array.from({ length: 200_000 }, (_, index) => index));
  await log.close();
  const again = await openWriteAheadLog(home);
  t.is(again.records.length, 200_000);
  await again.close();
});
