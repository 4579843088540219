// Tests the log on a folder of the real file system.
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

const createFolder = (): string => mkdtempSync(path.join(os.tmpdir(), 'write-ahead-log-'));
const firstSegment = 'segment-00000001';
const fileId = 2;

const frameBytesOf = (record: unknown): number =>
  encodeFrame({ payload: encodeRecord(record), batch: 1, isLastInBatch: true, fileId }).length;

const createFolderWith = (bytes: Buffer): string => {
  const folder = createFolder();
  writeFileSync(path.join(folder, firstSegment), bytes);
  return folder;
};

test('a log truncated at any byte opens with exactly its complete records and accepts appends', async (t) => {
  const folder = createFolder();
  const log = await openWriteAheadLog(folder);
  const headerBytes = readFileSync(path.join(folder, firstSegment)).length;
  const records = [
    { kind: 'cell', n: 1 },
    { kind: 'fact', text: 'ü'.repeat(9) },
    { kind: 'cell', n: 3 },
  ];
  await log.append(records);
  await log.close();
  const filePath = path.join(folder, firstSegment);
  const bytes = readFileSync(filePath);
  const ends = records.reduce<number[]>(
    (list, record) => [...list, (list.at(-1) ?? headerBytes) + frameBytesOf(record)],
    [],
  );
  t.is(ends.at(-1), bytes.length);
  for (let length = 0; length <= bytes.length; length += 1) {
    const folderCopy = createFolder();
    copyFileSync(filePath, path.join(folderCopy, firstSegment));
    truncateSync(path.join(folderCopy, firstSegment), length);
    const secondLog = await openWriteAheadLog(folderCopy);
    const completeRecords = records.slice(0, ends.filter((end) => end <= length).length);
    t.deepEqual(secondLog.records, completeRecords, `truncated to ${length} bytes`);
    await secondLog.append(['later']);
    await secondLog.close();
    const thirdLog = await openWriteAheadLog(folderCopy);
    t.deepEqual(thirdLog.records, [...completeRecords, 'later']);
    await thirdLog.close();
  }
});

test('opening fails if any byte before the last batch is corrupted', async (t) => {
  const folder = createFolder();
  const log = await openWriteAheadLog(folder);
  // Each record is acknowledged before the next append: only the last record may be unsynced.
  for (const record of ['first', 'second', 'third']) await log.append([record]);
  await log.close();
  const intact = readFileSync(path.join(folder, firstSegment));
  const lastBatchStart = intact.length - frameBytesOf('third');
  for (let offset = 0; offset < lastBatchStart; offset += 1) {
    const bytes = Buffer.from(intact);
    bytes.writeUInt8(bytes.readUInt8(offset) ^ 0x20, offset);
    const error = await t.throwsAsync(openWriteAheadLog(createFolderWith(bytes)), {
      instanceOf: WriteAheadLogError,
    });
    t.is(error?.code, 'damaged', `byte ${offset}`);
  }
});

test('a gap in the last batch ends the log there even if complete records follow', async (t) => {
  const folder = createFolder();
  const log = await openWriteAheadLog(folder);
  await log.append(['synced']);
  const syncedBytes = readFileSync(path.join(folder, firstSegment)).length;
  await log.append(['first', 'second', 'third']);
  await log.close();
  const intact = readFileSync(path.join(folder, firstSegment));
  const ends = ['first', 'second', 'third'].reduce<number[]>(
    (list, record) => [...list, (list.at(-1) ?? syncedBytes) + frameBytesOf(record)],
    [],
  );
  for (let offset = syncedBytes; offset < intact.length; offset += 1) {
    const bytes = Buffer.from(intact);
    bytes.fill(0, offset, Math.min(offset + 16, bytes.length));
    const secondLog = await openWriteAheadLog(createFolderWith(bytes));
    const recordsBeforeGap = ['first', 'second', 'third'].slice(
      0,
      ends.filter((end) => end <= offset).length,
    );
    t.deepEqual(secondLog.records, ['synced', ...recordsBeforeGap], `byte ${offset}`);
    await secondLog.close();
  }
});

test('zero bytes after the last record are a torn tail, not damage', (t) => {
  const frame = encodeFrame({ payload: encodeRecord('a'), batch: 1, isLastInBatch: true, fileId });
  const scan = scanFrames(Buffer.concat([frame, Buffer.alloc(40)]), fileId);
  t.deepEqual(
    scan.frames.map((scanned) => scanned.record),
    ['a'],
  );
  t.deepEqual([scan.validBytes, scan.highestBatchAfterGap], [frame.length, null]);
});

test('compaction leaves one segment and one snapshot, and an incomplete snapshot is ignored', async (t) => {
  const folder = createFolder();
  const log = await openWriteAheadLog(folder);
  for (let n = 0; n < 50; n += 1) await log.append([{ n }]);
  await log.compact(() => [{ state: 49 }]);
  await log.append([{ n: 50 }]);
  await log.close();
  const [segment, snapshot] = ['segment-00000002', 'snapshot-00000002'];
  t.deepEqual(readdirSync(folder).sort(), [segment, snapshot]);
  const secondLog = await openWriteAheadLog(folder);
  t.deepEqual(secondLog.records, [{ state: 49 }, { n: 50 }]);
  await secondLog.close();
  // A crash during a compaction left an incomplete snapshot.
  const snapshotBytes = readFileSync(path.join(folder, snapshot));
  for (const length of [0, 1, Math.floor(snapshotBytes.length / 2), snapshotBytes.length - 1]) {
    const crashedFolder = createFolder();
    for (const name of readdirSync(folder))
      copyFileSync(path.join(folder, name), path.join(crashedFolder, name));
    writeFileSync(path.join(crashedFolder, 'snapshot-00000003'), snapshotBytes.subarray(0, length));
    const thirdLog = await openWriteAheadLog(crashedFolder);
    t.deepEqual(thirdLog.records, [{ state: 49 }, { n: 50 }]);
    t.false(readdirSync(crashedFolder).includes('snapshot-00000003'));
    await thirdLog.close();
  }
});

test('opening fails if any segment but the newest is missing', async (t) => {
  const folder = createFolder();
  for (const record of ['a', 'b', 'c']) {
    const log = await openWriteAheadLog(folder);
    await log.append([record]);
    await log.close();
  }
  const names = readdirSync(folder).sort();
  t.is(names.length, 3);
  // No file refers to the newest segment; the next segment refers to each of the others.
  for (const missing of names.slice(0, -1)) {
    const folderCopy = createFolder();
    for (const name of names.filter((presentName) => presentName !== missing)) {
      copyFileSync(path.join(folder, name), path.join(folderCopy, name));
    }
    await t.throwsAsync(openWriteAheadLog(folderCopy), {
      instanceOf: WriteAheadLogError,
      message: new RegExp(`${missing}: is missing`),
    });
  }
});

test('appends during the writing of a snapshot are synced before the snapshot and recovered', async (t) => {
  const folder = createFolder();
  const log = await openWriteAheadLog(folder);
  await log.append(['before']);
  const order: string[] = [];
  let appended = Promise.resolve();
  // Each record fills a chunk; the append starts when half of the records are written.
  function* state(): Iterable<unknown> {
    for (let index = 0; index < 60; index += 1) {
      if (index === 30) {
        appended = log.append(['meanwhile']).then(() => {
          order.push('append');
        });
      }
      yield { each: index, text: 'x'.repeat(70_000) };
    }
  }
  await log.compact(state).then(() => {
    order.push('snapshot');
  });
  await appended;
  t.deepEqual(order, ['append', 'snapshot']);
  t.true(log.snapshotBytes() > 60 * 70_000);
  await log.close();
  const secondLog = await openWriteAheadLog(folder);
  t.deepEqual([secondLog.records.length, secondLog.records.at(-1)], [61, 'meanwhile']);
  await secondLog.close();
});

test('a log with 200000 records, an hour of operator commands, opens with all of them', async (t) => {
  const folder = createFolder();
  const log = await openWriteAheadLog(folder);
  await log.append(Array.from({ length: 200_000 }, (_, index) => index));
  await log.close();
  const secondLog = await openWriteAheadLog(folder);
  t.is(secondLog.records.length, 200_000);
  await secondLog.close();
});
