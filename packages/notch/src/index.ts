import { promises as fs } from 'node:fs';
import path from 'node:path';
import { crc32 } from 'node:zlib';
import { parse, stringify } from 'devalue';
import { LayerError, textOf } from '@reedyard/scriber';

/** A log that can't be read or written. `damaged` and `full` are final: the process must stop. */
export class NotchError extends LayerError {}

const headSize = 12;
/** bytes of a snapshot that are framed at once: a few milliseconds of work between two turns of the loop. */
const snapshotChunk = 64 * 1024;
const mark = Buffer.from('reedyard-notch 1\n');

/**
 * One record as bytes: length, checksum of the length, checksum of the payload, payload.
 *
 * @example
 * frame({ a: 1 }).length > 12 // true
 */
export const frame = (record: unknown): Buffer => {
  const payload = Buffer.from(stringify(record));
  const head = Buffer.alloc(headSize);
  head.writeUInt32BE(payload.length, 0);
  head.writeUInt32BE(crc32(head.subarray(0, 4)), 4);
  head.writeUInt32BE(crc32(payload), 8);
  return Buffer.concat([head, payload]);
};

/**
 * Reads the records of one file. A torn tail (what an unsynced write can leave) is told by `whole`,
 * the length up to which the file is good; damage anywhere else throws.
 *
 * @example
 * unframe(Buffer.concat([frame(1), frame(2).subarray(0, 5)]), 'log') // { records: [1], whole: frame(1).length }
 */
export const unframe = (bytes: Buffer, name: string): { readonly records: readonly unknown[]; readonly whole: number } => {
  const records: unknown[] = [];
  let at = 0;
  const damaged = (what: string): NotchError => new NotchError('damaged', `${name}: ${what} at byte ${at}; restore the file or wipe the data folder`);
  while (at < bytes.length) {
    const rest = bytes.subarray(at);
    if (rest.length < headSize || rest.every((byte) => byte === 0)) break;
    if (crc32(rest.subarray(0, 4)) !== rest.readUInt32BE(4)) throw damaged('a damaged record head');
    const end = headSize + rest.readUInt32BE(0);
    if (rest.length < end) break;
    const payload = rest.subarray(headSize, end);
    if (crc32(payload) !== rest.readUInt32BE(8)) {
      if (rest.length === end) break;
      throw damaged('a damaged record');
    }
    records.push(parse(payload.toString('utf8')));
    at += end;
  }
  return { records, whole: at };
};

const syncFolder = async (folder: string): Promise<void> => {
  const handle = await fs.open(folder, 'r');
  try { await handle.sync(); } finally { await handle.close(); }
};

const nameOf = (kind: 'log' | 'snap', number: number): string => `${kind}-${String(number).padStart(8, '0')}`;
const numbersOf = (names: readonly string[], kind: 'log' | 'snap'): readonly number[] =>
  names.flatMap((name) => { const found = new RegExp(`^${kind}-(\\d{8})$`).exec(name); return found ? [Number(found[1])] : []; }).sort((a, b) => a - b);

const readMarked = async (file: string): Promise<{ readonly records: readonly unknown[]; readonly whole: number }> => {
  const bytes = await fs.readFile(file);
  if (bytes.length < mark.length) return { records: [], whole: 0 };
  if (!bytes.subarray(0, mark.length).equals(mark)) throw new NotchError('damaged', `${file}: not a log of this format`);
  const read = unframe(bytes.subarray(mark.length), file);
  return { records: read.records, whole: mark.length + read.whole };
};

/** An open log. */
export type Notch = {
  /** What was on disk at opening, oldest first. */
  readonly records: readonly unknown[];
  /** Adds records; resolves once they and all before them are synced. One sync serves all that wait. */
  readonly append: (records: readonly unknown[]) => Promise<void>;
  /** Resolves once all that was appended so far is synced. */
  readonly settled: () => Promise<void>;
  /** Bytes in the segment at work. */
  readonly segmentBytes: () => number;
  /** Bytes of the newest snapshot. */
  readonly snapshotBytes: () => number;
  /**
   * Writes the whole state as a snapshot, then drops what it makes needless. Appends go on meanwhile, in
   * the next segment; the state is taken at one moment and written some records at a time.
   */
  readonly compact: (state: () => Iterable<unknown>) => Promise<void>;
  readonly close: () => Promise<void>;
};

/**
 * Opens the log in a folder: newest whole snapshot, then the segments after it. Segments are written
 * through `files`, which a test may fill up.
 *
 * @example
 * const notch = await openNotch('/var/lib/reedyard/core-1');
 * await notch.append([{ kind: 'voting' }]); // on disk from here on
 */
export const openNotch = async (folder: string, files: Pick<typeof fs, 'open'> = fs): Promise<Notch> => {
  const turned = (thrown: unknown): NotchError => thrown instanceof NotchError ? thrown
    : new NotchError((thrown as NodeJS.ErrnoException).code === 'ENOSPC' ? 'full' : 'disk', `${folder}: ${textOf(thrown)}`, { cause: thrown });
  try {
    await fs.mkdir(folder, { recursive: true });
    await syncFolder(path.dirname(path.resolve(folder)));
    const names = await fs.readdir(folder);
    for (const name of names.filter((each) => each.endsWith('.new'))) await fs.rm(path.join(folder, name));
    const snapNumber = numbersOf(names, 'snap').at(-1) ?? 0;
    const logNumbers = numbersOf(names, 'log').filter((number) => number >= snapNumber);
    const parts: (readonly unknown[])[] = [];
    let snapshotBytes = 0;
    if (snapNumber > 0) {
      const read = await readMarked(path.join(folder, nameOf('snap', snapNumber)));
      parts.push(read.records);
      snapshotBytes = read.whole;
    }
    if (logNumbers.length > 0 && snapNumber > 0 && logNumbers[0] !== snapNumber) throw new NotchError('damaged', `${folder}: ${nameOf('log', snapNumber)} is missing`);
    for (const [index, number] of logNumbers.entries()) {
      const file = path.join(folder, nameOf('log', number));
      if (index > 0 && number !== (logNumbers[index - 1] ?? 0) + 1) throw new NotchError('damaged', `${folder}: ${nameOf('log', number - 1)} is missing`);
      const read = await readMarked(file);
      const { size } = await fs.stat(file);
      if (read.whole < size) {
        if (index < logNumbers.length - 1) throw new NotchError('damaged', `${file}: cut short although newer segments exist`);
        const handle = await fs.open(file, 'r+');
        try { await handle.truncate(read.whole); await handle.sync(); } finally { await handle.close(); }
      }
      parts.push(read.records);
    }
    const records = parts.flat();

    let number = logNumbers.at(-1) ?? Math.max(snapNumber, 1);
    const openSegment = async (which: number): Promise<{ handle: fs.FileHandle; bytes: number }> => {
      const handle = await files.open(path.join(folder, nameOf('log', which)), 'a');
      const { size } = await handle.stat();
      if (size === 0) { await handle.write(mark); await handle.sync(); await syncFolder(folder); }
      return { handle, bytes: size === 0 ? mark.length : size };
    };
    let segment = await openSegment(number);
    let holding: { bytes: Buffer; done: () => void; failed: (error: NotchError) => void }[] = [];
    let work: Promise<void> = Promise.resolve();
    let broken: NotchError | null = null;

    const flush = async (): Promise<void> => {
      const batch = holding;
      holding = [];
      if (batch.length === 0) return;
      try {
        if (broken !== null) throw broken;
        const bytes = Buffer.concat(batch.map((each) => each.bytes));
        if (bytes.length > 0) {
          let written = 0;
          while (written < bytes.length) written += (await segment.handle.write(bytes, written)).bytesWritten;
          await segment.handle.datasync();
          segment.bytes += bytes.length;
        }
        batch.forEach((each) => each.done());
      } catch (thrown) {
        // After a failed sync nothing is known of the file: no later append may succeed.
        const error = turned(thrown);
        broken = error;
        batch.forEach((each) => each.failed(error));
      }
    };
    const append = (added: readonly unknown[]): Promise<void> => new Promise((done, failed) => {
      holding.push({ bytes: Buffer.concat(added.map(frame)), done, failed });
      if (holding.length === 1) work = work.then(flush);
    });

    let snapshot: Promise<void> = Promise.resolve();
    /** Writes a snapshot beside the log, some records at a time, so that appends get their turn. */
    const writeSnapshot = async (which: number, state: Iterable<unknown>): Promise<void> => {
      const target = path.join(folder, nameOf('snap', which));
      const handle = await files.open(`${target}.new`, 'w');
      let bytes = 0;
      try {
        let chunk: Buffer[] = [mark];
        let size = mark.length;
        const write = async (): Promise<void> => {
          for (let all = Buffer.concat(chunk); all.length > 0;) all = all.subarray((await handle.write(all)).bytesWritten);
          bytes += size;
          chunk = [];
          size = 0;
        };
        for (const record of state) {
          const framed = frame(record);
          chunk.push(framed);
          size += framed.length;
          if (size >= snapshotChunk) await write();
        }
        await write();
        await handle.sync();
      } finally { await handle.close(); }
      await fs.rename(`${target}.new`, target);
      await syncFolder(folder);
      snapshotBytes = bytes;
      for (const name of await fs.readdir(folder)) {
        const found = /^(?:log|snap)-(\d{8})$/.exec(name);
        if (found && Number(found[1]) < which) await fs.rm(path.join(folder, name));
      }
    };
    const compact = (state: () => Iterable<unknown>): Promise<void> => {
      const begun = work.then(async () => {
        if (broken !== null) throw broken;
        // Taken here, where no write is under way: everything already framed is either in an older
        // segment or will follow in the next one, and replaying it again changes nothing. Until the
        // snapshot has its name, the older snapshot and all segments since are what counts.
        const next = number + 1;
        const opened = await openSegment(next);
        const taken = state();
        await segment.handle.close();
        segment = opened;
        number = next;
        return { next, taken };
      });
      work = begun.then(() => undefined, (thrown: unknown) => { broken = turned(thrown); });
      const run = begun.then(({ next, taken }) => writeSnapshot(next, taken)).catch((thrown: unknown) => { broken = turned(thrown); throw broken; });
      snapshot = run.catch(() => undefined);
      return run;
    };

    return {
      records,
      append,
      settled: () => append([]),
      segmentBytes: () => segment.bytes,
      snapshotBytes: () => snapshotBytes,
      compact,
      close: async () => { await work; await snapshot; await work; await segment.handle.close(); },
    };
  } catch (thrown) {
    throw turned(thrown);
  }
};
