/**
 * Reads a log from disk. Reading writes nothing, so that a process can start while the disk accepts
 * no writes.
 *
 * Recovery starts at the newest segment with a complete header and follows the chain of previous
 * segments back to a complete snapshot or to the first segment. Only the last batch of the newest
 * segment may be partly missing: all other data is known to have been synced, and a gap in that data
 * is damage.
 */
import { WriteAheadLogError } from './errors.js';
import { scanFrames, type Frame, type ScanResult } from './frames.js';
import type { LogFileSystem } from './file-system.js';
import {
  fileIdOf,
  fileName,
  headerBatch,
  logFilesOf,
  logFormat,
  type FileKind,
  type LogFile,
  type SegmentEnd,
  type SegmentHeader,
  type SnapshotEnd,
} from './layout.js';

/** The contents of a log on disk, and how the next segment must begin. */
export type RecoveredLog = {
  /** The records of the newest complete snapshot and all records appended since, oldest first. */
  readonly records: readonly unknown[];
  /** The end of the chain that the next segment continues; null if there is nothing to continue. */
  readonly previous: SegmentEnd | null;
  /** The last records if their sync is uncertain: the next segment's header must contain them. */
  readonly carried: readonly unknown[];
  /** The highest number of any log file; 0 if there are no files. */
  readonly highestFileNumber: number;
  readonly snapshotBytes: number;
  /** Total size of the other files that were read, all of which a new snapshot replaces. */
  readonly replaceableBytes: number;
  /** Number of segments in the chain. */
  readonly segmentCount: number;
  /** Snapshots that were never completed; they can be removed immediately. */
  readonly incompleteSnapshots: readonly string[];
  /** Segments outside the chain; they can be removed once the next segment is synced. */
  readonly unreferencedSegments: readonly string[];
};

type Segment = {
  readonly number: number;
  readonly header: SegmentHeader;
  readonly headerEnd: number;
  readonly frames: readonly Frame[];
  readonly scan: ScanResult;
};

type Snapshot = { readonly records: readonly unknown[]; readonly bytes: number };

/** The folder that is recovered, and how to read a file in that folder. */
type Source = {
  readonly folder: string;
  readonly scan: (kind: FileKind, number: number) => Promise<ScanResult>;
};

const damagedError = (source: Source, name: string, problem: string): WriteAheadLogError =>
  new WriteAheadLogError(
    'damaged',
    `${source.folder}: ${name}: ${problem}; restore the file or wipe the data folder`,
  );

/** The batch that the first gap of a segment belongs to. */
const batchOfGap = (scan: ScanResult): number => {
  const lastFrame = scan.frames.at(-1);
  if (lastFrame === undefined) return headerBatch;
  return lastFrame.isLastInBatch ? lastFrame.batch + 1 : lastFrame.batch;
};

/**
 * Throws if a later batch follows the first gap, which is evidence that the batch with the gap was
 * synced.
 */
const assertNoGapInSyncedBatches = (source: Source, name: string, scan: ScanResult): void => {
  if (scan.highestBatchAfterGap === null || scan.highestBatchAfterGap <= batchOfGap(scan)) return;
  throw damagedError(source, name, `gap at byte ${scan.validBytes} with newer records after it`);
};

/**
 * Reads a segment; null if its header was never completed, in which case nothing was written after
 * the header.
 */
const readSegment = async (source: Source, number: number): Promise<Segment | null> => {
  const name = fileName('segment', number);
  const scan = await source.scan('segment', number);
  const headerFrame = scan.frames[0];
  if (headerFrame === undefined) {
    assertNoGapInSyncedBatches(source, name, scan);
    return null;
  }
  const header = headerFrame.record as SegmentHeader;
  if (header.format !== logFormat)
    throw damagedError(source, name, `unsupported format ${header.format}`);
  return { number, header, headerEnd: headerFrame.end, frames: scan.frames.slice(1), scan };
};

/** Reads a snapshot; null if the snapshot was never completed. */
const readSnapshot = async (source: Source, number: number): Promise<Snapshot | null> => {
  const { frames, validBytes } = await source.scan('snapshot', number);
  const endFrame = frames.at(-1);
  if (endFrame === undefined || !endFrame.isLastInBatch) return null;
  const records = frames.slice(0, -1).map((frame) => frame.record);
  if ((endFrame.record as SnapshotEnd).records !== records.length) return null;
  return { records, bytes: validBytes };
};

/**
 * Finds the newest segment with a complete header; null if there is none. Throws if there is none
 * although a snapshot exists.
 */
const findNewestSegment = async (
  source: Source,
  files: readonly LogFile[],
): Promise<Segment | null> => {
  const numbers = files.filter((file) => file.kind === 'segment').map((file) => file.number);
  for (const number of numbers.reverse()) {
    const segment = await readSegment(source, number);
    if (segment === null) continue;
    assertNoGapInSyncedBatches(source, fileName('segment', number), segment.scan);
    return segment;
  }
  if (files.some((file) => file.kind === 'snapshot')) {
    throw damagedError(source, 'segments', 'missing although a snapshot exists');
  }
  return null;
};

/** Reads a segment that the header of a newer segment refers to. */
const readPreviousSegment = async (
  source: Source,
  files: readonly LogFile[],
  number: number,
): Promise<Segment> => {
  const name = fileName('segment', number);
  if (!files.some((file) => file.name === name)) throw damagedError(source, name, 'is missing');
  const segment = await readSegment(source, number);
  if (segment === null) throw damagedError(source, name, 'its header is missing');
  return segment;
};

/** The frames of a segment up to the end that the next segment's header contains. */
const framesUpTo = (source: Source, segment: Segment, end: SegmentEnd): readonly Frame[] => {
  const frames = segment.frames.filter((frame) => frame.end <= end.bytes);
  const contiguousBytes = frames.at(-1)?.end ?? segment.headerEnd;
  if (contiguousBytes === end.bytes) return frames;
  throw damagedError(source, fileName('segment', segment.number), `gap at byte ${contiguousBytes}`);
};

const recordsOf = (segment: Segment, frames: readonly Frame[]): readonly unknown[] => [
  ...segment.header.carried,
  ...frames.map((frame) => frame.record),
];

type Chain = {
  readonly records: readonly unknown[];
  readonly snapshotBytes: number;
  /** Numbers of the segments in the chain, newest first. */
  readonly segmentNumbers: readonly number[];
  /** Number of the snapshot that the chain builds on; 0 if there is none. */
  readonly snapshotNumber: number;
};

const readChain = async (
  source: Source,
  files: readonly LogFile[],
  newest: Segment,
): Promise<Chain> => {
  const recordsBySegment: (readonly unknown[])[] = [];
  const segmentNumbers: number[] = [];
  let segment = newest;
  let frames = newest.frames;
  for (;;) {
    recordsBySegment.unshift(recordsOf(segment, frames));
    const { number } = segment;
    segmentNumbers.push(number);
    const hasSnapshotFile = files.some((file) => file.name === fileName('snapshot', number));
    const snapshot = hasSnapshotFile ? await readSnapshot(source, number) : null;
    const { previous } = segment.header;
    if (snapshot !== null || previous === null) {
      return {
        records: [...(snapshot?.records ?? []), ...recordsBySegment.flat()],
        snapshotBytes: snapshot?.bytes ?? 0,
        segmentNumbers,
        snapshotNumber: snapshot === null ? 0 : number,
      };
    }
    segment = await readPreviousSegment(source, files, previous.number);
    frames = framesUpTo(source, segment, previous);
  }
};

/**
 * How the next segment must begin. The newest batch may exist only in the page cache of the operating
 * system, and a successful sync does not report that an earlier sync failed. The newest batch is
 * therefore fenced off and written again in the header of the next segment.
 */
const nextSegmentStartOf = (
  newest: Segment,
  hasSnapshot: boolean,
): Pick<RecoveredLog, 'previous' | 'carried'> => {
  const { number, header, headerEnd, frames } = newest;
  const newestBatch = frames.at(-1)?.batch;
  if (newestBatch === undefined) {
    // A snapshot is started only after the header of its segment is synced.
    if (hasSnapshot) return { previous: { number, bytes: headerEnd }, carried: [] };
    return { previous: header.previous, carried: header.carried };
  }
  const uncertainFrames = frames.filter((frame) => frame.batch === newestBatch);
  const carried = uncertainFrames.map((frame) => frame.record);
  return { previous: { number, bytes: uncertainFrames[0]?.start ?? headerEnd }, carried };
};

/** Finds the incomplete snapshots that are newer than the snapshot of the chain. */
const findIncompleteSnapshots = async (
  source: Source,
  files: readonly LogFile[],
  snapshotNumber: number,
): Promise<readonly string[]> => {
  const names: string[] = [];
  const newerSnapshots = files.filter(
    (file) => file.kind === 'snapshot' && file.number > snapshotNumber,
  );
  for (const { number, name } of newerSnapshots) {
    if ((await readSnapshot(source, number)) === null) names.push(name);
  }
  return names;
};

/** Finds the segments that the next segment refers to neither directly nor through others. */
const findUnreferencedSegments = (
  files: readonly LogFile[],
  chain: Chain,
  previous: SegmentEnd | null,
): readonly string[] => {
  const referencedNumbers = chain.segmentNumbers.filter(
    (number) => number <= (previous?.number ?? 0),
  );
  return files
    .filter(({ kind, number }) => kind === 'segment' && number > chain.snapshotNumber)
    .filter(({ number }) => !referencedNumbers.includes(number))
    .map(({ name }) => name);
};

/**
 * Reads the log in a folder; throws a `damaged` error if synced data is missing.
 *
 * @example
 * (await recoverLog(nodeFileSystem(folder), folder)).records // [] if the folder does not exist
 */
export const recoverLog = async (files: LogFileSystem, folder: string): Promise<RecoveredLog> => {
  const logFiles = logFilesOf(await files.list());
  const bytesByName = new Map<string, number>();
  const scan = async (kind: FileKind, number: number): Promise<ScanResult> => {
    const name = fileName(kind, number);
    const bytes = await files.read(name);
    bytesByName.set(name, bytes.length);
    return scanFrames(bytes, fileIdOf(kind, number));
  };
  const source: Source = { folder, scan };
  const highestFileNumber = logFiles.at(-1)?.number ?? 0;
  const newest = await findNewestSegment(source, logFiles);
  if (newest === null) {
    const emptyLog = {
      records: [],
      previous: null,
      carried: [],
      snapshotBytes: 0,
      replaceableBytes: 0,
    };
    const unreferenced = logFiles.map(({ name }) => name);
    return {
      ...emptyLog,
      highestFileNumber,
      segmentCount: 0,
      incompleteSnapshots: [],
      unreferencedSegments: unreferenced,
    };
  }
  const chain = await readChain(source, logFiles, newest);
  const incomplete = await findIncompleteSnapshots(source, logFiles, chain.snapshotNumber);
  const totalBytes = [...bytesByName.values()].reduce((sum, bytes) => sum + bytes, 0);
  const nextSegmentStart = nextSegmentStartOf(newest, chain.snapshotNumber === newest.number);
  return {
    records: chain.records,
    ...nextSegmentStart,
    highestFileNumber,
    snapshotBytes: chain.snapshotBytes,
    replaceableBytes: totalBytes - chain.snapshotBytes,
    segmentCount: chain.segmentNumbers.length,
    incompleteSnapshots: incomplete,
    unreferencedSegments: findUnreferencedSegments(logFiles, chain, nextSegmentStart.previous),
  };
};
