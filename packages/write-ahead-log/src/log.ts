/**
 * The write-ahead log of one process. Appended records are acknowledged once they are synced. A
 * failed write or sync seals the segment permanently, because the contents of the file from that
 * point on are unknown. The log accepts appends again after `recover`, which starts a new segment
 * that fences the old segment.
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

/**
 * Number of segments above which a snapshot is due even if the segments are small. Each restart
 * starts a segment.
 */
const maxSegments = 64;

/** An open log, to which one process appends. */
export type WriteAheadLog = {
  /** The records on disk when the log was opened, oldest first; empty after `takeRecords`. */
  readonly records: readonly unknown[];
  /** Returns `records` and releases them, so that outdated records don't stay in memory. */
  readonly takeRecords: () => readonly unknown[];
  /** Whether the log accepts appends. If not, `recover` must succeed first. */
  readonly available: () => boolean;
  /** The error that made the log stop accepting appends; null if there is none. */
  readonly failure: () => WriteAheadLogError | null;
  /**
   * Appends records; resolves once they and all records before them are synced. One sync covers all
   * waiting appends. If a write or sync fails, all waiting appends are rejected, and their records
   * do not reappear after the log is recovered.
   */
  readonly append: (records: readonly unknown[]) => Promise<void>;
  /** Resolves once all records appended so far are synced. */
  readonly settled: () => Promise<void>;
  /**
   * Starts a new segment after a failure, and makes those of `records` durable whose sync is
   * uncertain.
   */
  readonly recover: () => Promise<void>;
  /** Bytes on disk that a new snapshot would replace, without the newest snapshot. */
  readonly segmentBytes: () => number;
  /** Size of the newest snapshot in bytes. */
  readonly snapshotBytes: () => number;
  /** Whether there are so many segments that a snapshot is due. */
  readonly fragmented: () => boolean;
  /**
   * Writes the complete state as a snapshot, then removes the files that the snapshot replaces.
   * Appends continue meanwhile, in the next segment. `state` is called once, at a moment when
   * exactly the acknowledged records are written, and must return exactly the state that these
   * records produce. If the snapshot can't be written the call fails, but appends continue.
   */
  readonly compact: (state: () => Iterable<unknown>) => Promise<void>;
  readonly close: () => Promise<void>;
};

type OpenSegment = {
  readonly file: WritableFile;
  readonly number: number;
  /** Length of the synced part of the file, in bytes. */
  syncedBytes: number;
  /** The newest synced batch. */
  syncedBatch: number;
};

type WaitingAppend = {
  readonly payloads: readonly Buffer[];
  readonly resolve: () => void;
  readonly reject: (error: WriteAheadLogError) => void;
};

const isAlreadyExistsError = (thrown: unknown): boolean =>
  (thrown as NodeJS.ErrnoException).code === 'EEXIST';

const closeQuietly = (file: WritableFile): Promise<void> => file.close().catch(() => undefined);

class SegmentedLog implements WriteAheadLog {
  records: readonly unknown[];
  readonly #files: LogFileSystem;
  readonly #folder: string;
  #segment: OpenSegment | null = null;
  #failure: WriteAheadLogError | null = null;
  /** The end of the chain, which the header of the next segment refers to. */
  #previous: SegmentEnd | null;
  /** The records that the header of the next segment must contain. */
  #carried: readonly unknown[];
  #highestFileNumber: number;
  #segmentCount: number;
  #replaceableBytes: number;
  #snapshotBytes: number;
  #incompleteSnapshots: readonly string[];
  #unreferencedSegments: readonly string[];
  #waitingAppends: WaitingAppend[] = [];
  /** The end of the queue of segment writes, which run one after the other. */
  #writeQueue: Promise<void> = Promise.resolve();
  /** The newest compaction; never rejects. */
  #compaction: Promise<void> = Promise.resolve();

  constructor(files: LogFileSystem, folder: string, recovered: RecoveredLog) {
    this.#files = files;
    this.#folder = folder;
    this.records = recovered.records;
    this.#previous = recovered.previous;
    this.#carried = recovered.carried;
    this.#highestFileNumber = recovered.highestFileNumber;
    this.#segmentCount = recovered.segmentCount;
    this.#replaceableBytes = recovered.replaceableBytes;
    this.#snapshotBytes = recovered.snapshotBytes;
    this.#incompleteSnapshots = recovered.incompleteSnapshots;
    this.#unreferencedSegments = recovered.unreferencedSegments;
  }

  takeRecords(): readonly unknown[] {
    const records = this.records;
    this.records = [];
    return records;
  }

  available(): boolean {
    return this.#segment !== null;
  }

  failure(): WriteAheadLogError | null {
    return this.#failure;
  }

  segmentBytes(): number {
    return this.#replaceableBytes;
  }

  snapshotBytes(): number {
    return this.#snapshotBytes;
  }

  fragmented(): boolean {
    return this.#segmentCount > maxSegments;
  }

  settled(): Promise<void> {
    return this.append([]);
  }

  append(records: readonly unknown[]): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#waitingAppends.push({ payloads: records.map(encodeRecord), resolve, reject });
      if (this.#waitingAppends.length === 1) void this.#enqueue(() => this.#flush());
    });
  }

  recover(): Promise<void> {
    return this.#enqueue(async () => {
      if (this.#segment !== null) return;
      try {
        await this.#files.createFolder();
        await this.#removeFiles(this.#incompleteSnapshots);
        this.#incompleteSnapshots = [];
        this.#segment = await this.#beginSegment();
        await this.#removeFiles(this.#unreferencedSegments);
        this.#unreferencedSegments = [];
        this.#failure = null;
      } catch (thrown) {
        this.#failure = toLogError(thrown, this.#folder);
        throw this.#failure;
      }
    });
  }

  compact(state: () => Iterable<unknown>): Promise<void> {
    const compaction = this.#enqueue(() => this.#rotate(state)).then(({ number, stateRecords }) =>
      this.#replaceBySnapshot(number, stateRecords),
    );
    this.#compaction = compaction.catch(() => undefined);
    return compaction;
  }

  async close(): Promise<void> {
    await this.#writeQueue;
    await this.#compaction;
    await this.#writeQueue;
    if (this.#segment !== null) await closeQuietly(this.#segment.file);
    this.#segment = null;
  }

  #enqueue<Result>(operation: () => Promise<Result>): Promise<Result> {
    const result = this.#writeQueue.then(operation);
    this.#writeQueue = result.then(
      () => undefined,
      () => undefined,
    );
    return result;
  }

  async #flush(): Promise<void> {
    const appends = this.#waitingAppends;
    this.#waitingAppends = [];
    try {
      await this.#writeBatch(appends.flatMap((append) => append.payloads));
      for (const append of appends) append.resolve();
    } catch (thrown) {
      const error = toLogError(thrown, this.#folder);
      for (const append of appends) append.reject(error);
    }
  }

  async #writeBatch(payloads: readonly Buffer[]): Promise<void> {
    const segment = this.#writableSegment();
    if (payloads.length === 0) return;
    const batch = segment.syncedBatch + 1;
    const fileId = fileIdOf('segment', segment.number);
    const frames = payloads.map((payload, index) =>
      encodeFrame({ payload, batch, isLastInBatch: index === payloads.length - 1, fileId }),
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
    this.#replaceableBytes += bytes.length;
  }

  #writableSegment(): OpenSegment {
    if (this.#segment !== null) return this.#segment;
    throw this.#failure ?? new WriteAheadLogError('disk', `${this.#folder}: the log is closed`);
  }

  /** Closes a segment after a failure; nothing is written to the segment again. */
  async #seal(segment: OpenSegment, thrown: unknown): Promise<void> {
    this.#segment = null;
    this.#failure = toLogError(thrown, this.#folder);
    this.#previous = { number: segment.number, bytes: segment.syncedBytes };
    this.#carried = [];
    await closeQuietly(segment.file);
  }

  /** Removes files that are no longer needed; a later compaction retries removals that fail. */
  async #removeFiles(names: readonly string[]): Promise<void> {
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
    this.#segmentCount += 1;
    this.#replaceableBytes += header.length;
    return { file, number, syncedBytes: header.length, syncedBatch: headerBatch };
  }

  /** Creates a file with an unused number, skipping files that a failed removal left behind. */
  async #createSegmentFile(): Promise<{ readonly file: WritableFile; readonly number: number }> {
    for (;;) {
      this.#highestFileNumber += 1;
      const number = this.#highestFileNumber;
      try {
        return { file: await this.#files.create(fileName('segment', number)), number };
      } catch (thrown) {
        if (!isAlreadyExistsError(thrown)) throw thrown;
      }
    }
  }

  /**
   * Continues in a new segment. If that fails, the header of the new segment may already be on disk
   * and fence the old segment, so the old segment is sealed in any case.
   */
  async #rotate(
    state: () => Iterable<unknown>,
  ): Promise<{ readonly number: number; readonly stateRecords: Iterable<unknown> }> {
    const oldSegment = this.#writableSegment();
    this.#previous = { number: oldSegment.number, bytes: oldSegment.syncedBytes };
    this.#carried = [];
    try {
      this.#segment = await this.#beginSegment();
    } catch (thrown) {
      await this.#seal(oldSegment, thrown);
      throw toLogError(thrown, this.#folder);
    }
    await closeQuietly(oldSegment.file);
    return { number: this.#segment.number, stateRecords: state() };
  }

  async #replaceBySnapshot(number: number, stateRecords: Iterable<unknown>): Promise<void> {
    const replacedBytes = this.#replaceableBytes;
    const replacedSegments = this.#segmentCount - 1;
    try {
      this.#snapshotBytes = await writeSnapshot(this.#files, number, stateRecords);
    } catch (thrown) {
      throw toLogError(thrown, this.#folder);
    }
    this.#replaceableBytes -= replacedBytes;
    this.#segmentCount -= replacedSegments;
    await this.#removeOlderThan(number);
  }

  /**
   * Removes the files that a snapshot replaces. Removals that fail, or that a power loss undoes, are
   * repeated after the next snapshot.
   */
  async #removeOlderThan(number: number): Promise<void> {
    const names = await this.#files.list().catch(() => []);
    const olderFiles = logFilesOf(names).filter((file) => file.number < number);
    await this.#removeFiles(olderFiles.map(({ name }) => name));
  }
}

/**
 * Opens the log in a folder. Opening succeeds even if the disk accepts no writes: `available` then
 * returns false, and `recover` must succeed before the contents of `records` may leave the process.
 *
 * @example
 * const log = await openWriteAheadLog('/var/lib/reedyard/core-1');
 * await log.append([{ kind: 'voting' }]); // synced to disk
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
