/**
 * The write-ahead log of one process: appended records are acknowledged once they are synced. A
 * write or a sync that fails seals the segment for good, since nothing is known of what it holds
 * from there on; the log takes appends again after `recover`, which begins a new segment that
 * fences the old one.
 */
import { WriteAheadLogError, toLogError } from './errors.js';
import { nodeFileSystem, type LogFileSystem, type WritableFile } from './file-system.js';
import { encodeFrame, encodeRecord } from './frames.js';
import {
  encodeSegmentHeader,
  fileIdOf,
  fileName,
  headerBatch,
  logFilesOf,
  type SegmentEnd,
} from './layout.js';
import { recoverLog, type RecoveredLog } from './recovery.js';
import { writeFully, writeSnapshot } from './snapshot-writer.js';

/** Each restart begins a segment; past this many a snapshot is due however small they are. */
const maxSegments = 64;

/** An open log. */
export type WriteAheadLog = {
  /** What was on disk at opening, oldest first; empty once it was taken. */
  readonly records: readonly unknown[];
  /** Gives `records` away, so that what newer ones replaced need not stay in memory. */
  readonly takeRecords: () => readonly unknown[];
  /** Whether appends are taken. If not, `recover` must succeed first. */
  readonly available: () => boolean;
  /** Why appends are not taken. */
  readonly failure: () => WriteAheadLogError | null;
  /**
   * Adds records; resolves once they and all before them are synced. One sync serves all that wait.
   * All that wait are rejected, and will not come back, if a write or sync fails and the log is
   * recovered.
   */
  readonly append: (records: readonly unknown[]) => Promise<void>;
  /** Resolves once all that was appended so far is synced. */
  readonly settled: () => Promise<void>;
  /**
   * Begins a new segment after a failure, and makes durable what `records` told if it is not
   * certain.
   */
  readonly recover: () => Promise<void>;
  /** Bytes on disk that a new snapshot would make needless, without the newest snapshot. */
  readonly segmentBytes: () => number;
  /** Bytes of the newest snapshot. */
  readonly snapshotBytes: () => number;
  /** Whether there are so many segments that a snapshot is due. */
  readonly fragmented: () => boolean;
  /**
   * Writes the whole state as a snapshot, then drops what it makes needless. Appends go on
   * meanwhile, in the next segment. `state` is called once, at a moment when all acknowledged
   * records and no others were written, and must give exactly the state that these make. If the
   * snapshot can't be written the call fails, but appends go on.
   */
  readonly compact: (state: () => Iterable<unknown>) => Promise<void>;
  readonly close: () => Promise<void>;
};

type OpenSegment = {
  readonly file: WritableFile;
  readonly number: number;
  /** Length up to which it is synced. */
  syncedBytes: number;
  /** The newest batch that is synced. */
  syncedBatch: number;
};

type WaitingAppend = {
  readonly payloads: readonly Buffer[];
  readonly resolve: () => void;
  readonly reject: (error: WriteAheadLogError) => void;
};

const alreadyExists = (thrown: unknown): boolean =>
  (thrown as NodeJS.ErrnoException).code === 'EEXIST';

const closeQuietly = (file: WritableFile): Promise<void> => file.close().catch(() => undefined);

class SegmentedLog implements WriteAheadLog {
  records: readonly unknown[];
  readonly #files: LogFileSystem;
  readonly #folder: string;
  #segment: OpenSegment | null = null;
  #failure: WriteAheadLogError | null = null;
  /** Where the chain ends for the next segment, and what its header must carry on. */
  #previous: SegmentEnd | null;
  #carried: readonly unknown[];
  #highestNumber: number;
  #segments: number;
  #otherBytes: number;
  #snapshotBytes: number;
  #incompleteSnapshots: readonly string[];
  #unreferencedSegments: readonly string[];
  #waiting: WaitingAppend[] = [];
  /** Writes to segments, one after the other. */
  #writes: Promise<void> = Promise.resolve();
  #snapshot: Promise<void> = Promise.resolve();

  constructor(files: LogFileSystem, folder: string, recovered: RecoveredLog) {
    this.#files = files;
    this.#folder = folder;
    this.records = recovered.records;
    this.#previous = recovered.previous;
    this.#carried = recovered.carried;
    this.#highestNumber = recovered.highestFileNumber;
    this.#segments = recovered.segmentCount;
    this.#otherBytes = recovered.otherBytes;
    this.#snapshotBytes = recovered.snapshotBytes;
    this.#incompleteSnapshots = recovered.incompleteSnapshots;
    this.#unreferencedSegments = recovered.unreferencedSegments;
  }

  takeRecords(): readonly unknown[] {
    const taken = this.records;
    this.records = [];
    return taken;
  }

  available(): boolean {
    return this.#segment !== null;
  }

  failure(): WriteAheadLogError | null {
    return this.#failure;
  }

  segmentBytes(): number {
    return this.#otherBytes;
  }

  snapshotBytes(): number {
    return this.#snapshotBytes;
  }

  fragmented(): boolean {
    return this.#segments > maxSegments;
  }

  settled(): Promise<void> {
    return this.append([]);
  }

  append(records: readonly unknown[]): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#waiting.push({ payloads: records.map(encodeRecord), resolve, reject });
      if (this.#waiting.length === 1) void this.#enqueue(() => this.#flush());
    });
  }

  recover(): Promise<void> {
    return this.#enqueue(async () => {
      if (this.#segment !== null) return;
      try {
        await this.#files.createFolder();
        await this.#removeAll(this.#incompleteSnapshots);
        this.#incompleteSnapshots = [];
        this.#segment = await this.#beginSegment();
        await this.#removeAll(this.#unreferencedSegments);
        this.#unreferencedSegments = [];
        this.#failure = null;
      } catch (thrown) {
        this.#failure = toLogError(thrown, this.#folder);
        throw this.#failure;
      }
    });
  }

  compact(state: () => Iterable<unknown>): Promise<void> {
    const run = this.#enqueue(() => this.#rotate(state)).then(({ number, taken }) =>
      this.#replaceBySnapshot(number, taken),
    );
    this.#snapshot = run.catch(() => undefined);
    return run;
  }

  async close(): Promise<void> {
    await this.#writes;
    await this.#snapshot;
    await this.#writes;
    if (this.#segment !== null) await closeQuietly(this.#segment.file);
    this.#segment = null;
  }

  #enqueue<Result>(work: () => Promise<Result>): Promise<Result> {
    const run = this.#writes.then(work);
    this.#writes = run.then(
      () => undefined,
      () => undefined,
    );
    return run;
  }

  async #flush(): Promise<void> {
    const appends = this.#waiting;
    this.#waiting = [];
    try {
      await this.#writeBatch(appends.flatMap((each) => each.payloads));
      for (const each of appends) each.resolve();
    } catch (thrown) {
      const error = toLogError(thrown, this.#folder);
      for (const each of appends) each.reject(error);
    }
  }

  async #writeBatch(payloads: readonly Buffer[]): Promise<void> {
    const segment = this.#writableSegment();
    if (payloads.length === 0) return;
    const batch = segment.syncedBatch + 1;
    const fileId = fileIdOf('segment', segment.number);
    const frames = payloads.map((payload, index) =>
      encodeFrame({ payload, batch, lastOfBatch: index === payloads.length - 1, fileId }),
    );
    const bytes = Buffer.concat(frames);
    try {
      await writeFully(segment.file, bytes);
      await segment.file.sync();
    } catch (thrown) {
      await this.#seal(segment, thrown);
      throw thrown;
    }
    segment.syncedBytes += bytes.length;
    segment.syncedBatch = batch;
    this.#otherBytes += bytes.length;
  }

  #writableSegment(): OpenSegment {
    if (this.#segment !== null) return this.#segment;
    throw this.#failure ?? new WriteAheadLogError('disk', `${this.#folder}: the log is closed`);
  }

  /** Nothing more is ever written to this segment. */
  async #seal(segment: OpenSegment, thrown: unknown): Promise<void> {
    this.#segment = null;
    this.#failure = toLogError(thrown, this.#folder);
    this.#previous = { number: segment.number, bytes: segment.syncedBytes };
    this.#carried = [];
    await closeQuietly(segment.file);
  }

  /** Frees what counts for nothing; a later compaction removes what can't be removed now. */
  async #removeAll(names: readonly string[]): Promise<void> {
    for (const name of names) await this.#files.remove(name).catch(() => undefined);
  }

  async #beginSegment(): Promise<OpenSegment> {
    const { file, number } = await this.#createSegmentFile();
    const header = encodeSegmentHeader(number, {
      previous: this.#previous,
      carried: this.#carried,
    });
    try {
      await writeFully(file, header);
      await file.sync();
      await this.#files.syncFolder();
    } catch (thrown) {
      await closeQuietly(file);
      await this.#files.remove(fileName('segment', number)).catch(() => undefined);
      throw thrown;
    }
    this.#segments += 1;
    this.#otherBytes += header.length;
    return { file, number, syncedBytes: header.length, syncedBatch: headerBatch };
  }

  /** Makes a file under a number that was never used, also where a failed removal left one. */
  async #createSegmentFile(): Promise<{ readonly file: WritableFile; readonly number: number }> {
    for (;;) {
      this.#highestNumber += 1;
      const number = this.#highestNumber;
      try {
        return { file: await this.#files.create(fileName('segment', number)), number };
      } catch (thrown) {
        if (!alreadyExists(thrown)) throw thrown;
      }
    }
  }

  /**
   * Goes on in a new segment. If that fails the old one may already be fenced, so it is sealed all
   * the same.
   */
  async #rotate(
    state: () => Iterable<unknown>,
  ): Promise<{ readonly number: number; readonly taken: Iterable<unknown> }> {
    const old = this.#writableSegment();
    this.#previous = { number: old.number, bytes: old.syncedBytes };
    this.#carried = [];
    try {
      this.#segment = await this.#beginSegment();
    } catch (thrown) {
      await this.#seal(old, thrown);
      throw toLogError(thrown, this.#folder);
    }
    await closeQuietly(old.file);
    return { number: this.#segment.number, taken: state() };
  }

  async #replaceBySnapshot(number: number, state: Iterable<unknown>): Promise<void> {
    const replacedBytes = this.#otherBytes;
    const replacedSegments = this.#segments - 1;
    try {
      this.#snapshotBytes = await writeSnapshot(this.#files, number, state);
    } catch (thrown) {
      throw toLogError(thrown, this.#folder);
    }
    this.#otherBytes -= replacedBytes;
    this.#segments -= replacedSegments;
    await this.#removeOlderThan(number);
  }

  /** Names whose removal fails, or is lost with the power, are removed after the next snapshot. */
  async #removeOlderThan(number: number): Promise<void> {
    const names = await this.#files.list().catch(() => []);
    const older = logFilesOf(names).filter((file) => file.number < number);
    await this.#removeAll(older.map(({ name }) => name));
  }
}

/**
 * Opens the log in a folder. It opens also with a disk that takes no writes: `available` is then
 * false, and `recover` must succeed before anything that `records` tells may be shown to others.
 *
 * @example
 * const log = await openWriteAheadLog('/var/lib/reedyard/core-1');
 * await log.append([{ kind: 'voting' }]); // on disk from here on
 */
export const openWriteAheadLog = async (
  folder: string,
  files: LogFileSystem = nodeFileSystem(folder),
): Promise<WriteAheadLog> => {
  try {
    const log = new SegmentedLog(files, folder, await recoverLog(files, folder));
    await log.recover().catch(() => undefined);
    return log;
  } catch (thrown) {
    throw toLogError(thrown, folder);
  }
};
