/**
 * Reads a log back. Nothing is written here, so that a process starts also with a disk that takes
 * no writes.
 *
 * The newest segment with a whole header counts, and from it the chain of the segments before, up
 * to a whole snapshot or the first segment of all. Only the last batch of the newest segment may be
 * missing in part: everything else is known to have been synced, and a gap in it is damage.
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

/** What a folder holds of a log, and how its next segment must begin. */
export type RecoveredLog = {
  /** The newest snapshot's records and all that was appended since, oldest first. */
  readonly records: readonly unknown[];
  /** Where the chain ends for the next segment. */
  readonly previous: SegmentEnd | null;
  /** Records at the end whose sync is not certain: the next segment's header must hold them. */
  readonly carried: readonly unknown[];
  /** The highest number that any file has. */
  readonly highestFileNumber: number;
  readonly snapshotBytes: number;
  /** Bytes of the other files that were read. */
  readonly otherBytes: number;
  /** Segments in the chain. */
  readonly segmentCount: number;
  /** Snapshots that were never completed: they may go at once. */
  readonly incompleteSnapshots: readonly string[];
  /** Segments outside the chain: they may go once the next segment is synced. */
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

/** The files of one folder, read one by one. */
type Source = {
  readonly folder: string;
  readonly scan: (kind: FileKind, number: number) => Promise<ScanResult>;
};

const damaged = (source: Source, name: string, what: string): WriteAheadLogError =>
  new WriteAheadLogError(
    'damaged',
    `${source.folder}: ${name}: ${what}; restore the file or wipe the data folder`,
  );

/** The batch that the first gap of a segment lies in. */
const batchOfGap = (scan: ScanResult): number => {
  const last = scan.frames.at(-1);
  if (last === undefined) return headerBatch;
  return last.isLastInBatch ? last.batch + 1 : last.batch;
};

const refuseGapInSyncedPart = (source: Source, name: string, scan: ScanResult): void => {
  if (scan.highestBatchAfterGap === null || scan.highestBatchAfterGap <= batchOfGap(scan)) return;
  throw damaged(source, name, `a gap at byte ${scan.validBytes} with newer records behind it`);
};

/**
 * A segment; null if its header was never completed, so that nothing can have been written behind
 * it.
 */
const readSegment = async (source: Source, number: number): Promise<Segment | null> => {
  const name = fileName('segment', number);
  const scan = await source.scan('segment', number);
  const first = scan.frames[0];
  if (first === undefined) {
    refuseGapInSyncedPart(source, name, scan);
    return null;
  }
  const header = first.record as SegmentHeader;
  if (header.format !== logFormat) throw damaged(source, name, `format ${header.format}`);
  return { number, header, headerEnd: first.end, frames: scan.frames.slice(1), scan };
};

/** A snapshot; null if it was never completed. */
const readSnapshot = async (source: Source, number: number): Promise<Snapshot | null> => {
  const { frames, validBytes: goodBytes } = await source.scan('snapshot', number);
  const last = frames.at(-1);
  if (last === undefined || !last.isLastInBatch) return null;
  const records = frames.slice(0, -1).map((frame) => frame.record);
  if ((last.record as SnapshotEnd).records !== records.length) return null;
  return { records, bytes: goodBytes };
};

/** The newest segment whose header is whole. */
const newestSegment = async (
  source: Source,
  files: readonly LogFile[],
): Promise<Segment | null> => {
  const numbers = files.filter((file) => file.kind === 'segment').map((file) => file.number);
  for (const number of numbers.reverse()) {
    const segment = await readSegment(source, number);
    if (segment === null) continue;
    refuseGapInSyncedPart(source, fileName('segment', number), segment.scan);
    return segment;
  }
  if (files.some((file) => file.kind === 'snapshot')) {
    throw damaged(source, 'segments', 'missing beside a snapshot');
  }
  return null;
};

const olderSegment = async (
  source: Source,
  files: readonly LogFile[],
  number: number,
): Promise<Segment> => {
  const name = fileName('segment', number);
  if (!files.some((file) => file.name === name)) throw damaged(source, name, 'is missing');
  const segment = await readSegment(source, number);
  if (segment === null) throw damaged(source, name, 'its header is missing');
  return segment;
};

/** The frames of a segment up to the end that the next segment's header tells. */
const framesUpTo = (source: Source, segment: Segment, end: SegmentEnd): readonly Frame[] => {
  const frames = segment.frames.filter((frame) => frame.end <= end.bytes);
  const reached = frames.at(-1)?.end ?? segment.headerEnd;
  if (reached === end.bytes) return frames;
  throw damaged(source, fileName('segment', segment.number), `a gap at byte ${reached}`);
};

const recordsOf = (segment: Segment, frames: readonly Frame[]): readonly unknown[] => [
  ...segment.header.carried,
  ...frames.map((frame) => frame.record),
];

type Chain = {
  readonly records: readonly unknown[];
  readonly snapshotBytes: number;
  /** Newest first. */
  readonly segmentNumbers: readonly number[];
  /** The segment that the snapshot was begun with; 0 if there is none. */
  readonly snapshotNumber: number;
};

const readChain = async (
  source: Source,
  files: readonly LogFile[],
  newest: Segment,
): Promise<Chain> => {
  const parts: (readonly unknown[])[] = [];
  const segmentNumbers: number[] = [];
  let segment = newest;
  let frames = newest.frames;
  for (;;) {
    parts.unshift(recordsOf(segment, frames));
    const { number } = segment;
    segmentNumbers.push(number);
    const hasFile = files.some((file) => file.name === fileName('snapshot', number));
    const snapshot = hasFile ? await readSnapshot(source, number) : null;
    const { previous } = segment.header;
    if (snapshot !== null || previous === null) {
      return {
        records: [...(snapshot?.records ?? []), ...parts.flat()],
        snapshotBytes: snapshot?.bytes ?? 0,
        segmentNumbers,
        snapshotNumber: snapshot === null ? 0 : number,
      };
    }
    segment = await olderSegment(source, files, previous.number);
    frames = framesUpTo(source, segment, previous);
  }
};

/**
 * How the next segment must begin. The newest batch may be in the cache of the system alone, and a
 * sync that failed is not told by a later one that succeeds: so it is fenced off and written again.
 */
const continuation = (
  newest: Segment,
  hasSnapshot: boolean,
): Pick<RecoveredLog, 'previous' | 'carried'> => {
  const { number, header, headerEnd, frames } = newest;
  const newestBatch = frames.at(-1)?.batch;
  if (newestBatch === undefined) {
    // A snapshot is begun only once the header of its segment is synced.
    if (hasSnapshot) return { previous: { number, bytes: headerEnd }, carried: [] };
    return { previous: header.previous, carried: header.carried };
  }
  const unsure = frames.filter((frame) => frame.batch === newestBatch);
  const carried = unsure.map((frame) => frame.record);
  return { previous: { number, bytes: unsure[0]?.start ?? headerEnd }, carried };
};

const incompleteSnapshots = async (
  source: Source,
  files: readonly LogFile[],
  baseNumber: number,
): Promise<readonly string[]> => {
  const names: string[] = [];
  const newer = files.filter((file) => file.kind === 'snapshot' && file.number > baseNumber);
  for (const { number, name } of newer) {
    if ((await readSnapshot(source, number)) === null) names.push(name);
  }
  return names;
};

/** Segments that the next one neither continues nor refers to through others. */
const unreferencedSegments = (
  files: readonly LogFile[],
  chain: Chain,
  previous: SegmentEnd | null,
): readonly string[] => {
  const kept = chain.segmentNumbers.filter((number) => number <= (previous?.number ?? 0));
  return files
    .filter(({ kind, number }) => kind === 'segment' && number > chain.snapshotNumber)
    .filter(({ number }) => !kept.includes(number))
    .map(({ name }) => name);
};

/**
 * Reads the log in a folder; throws a `damaged` error if something that was synced is missing.
 *
 * @example
 * (await recoverLog(nodeFileSystem(folder), folder)).records // [] for a folder that is not there
 */
export const recoverLog = async (files: LogFileSystem, folder: string): Promise<RecoveredLog> => {
  const present = logFilesOf(await files.list());
  const sizes = new Map<string, number>();
  const scan = async (kind: FileKind, number: number): Promise<ScanResult> => {
    const name = fileName(kind, number);
    const bytes = await files.read(name);
    sizes.set(name, bytes.length);
    return scanFrames(bytes, fileIdOf(kind, number));
  };
  const source: Source = { folder, scan };
  const highestNumber = present.at(-1)?.number ?? 0;
  const newest = await newestSegment(source, present);
  if (newest === null) {
    const nothing = { records: [], previous: null, carried: [], snapshotBytes: 0, otherBytes: 0 };
    const unreferenced = present.map(({ name }) => name);
    return {
      ...nothing,
      highestFileNumber: highestNumber,
      segmentCount: 0,
      incompleteSnapshots: [],
      unreferencedSegments: unreferenced,
    };
  }
  const chain = await readChain(source, present, newest);
  const incomplete = await incompleteSnapshots(source, present, chain.snapshotNumber);
  const allBytes = [...sizes.values()].reduce((sum, size) => sum + size, 0);
  const next = continuation(newest, chain.snapshotNumber === newest.number);
  return {
    records: chain.records,
    ...next,
    highestFileNumber: highestNumber,
    snapshotBytes: chain.snapshotBytes,
    otherBytes: allBytes - chain.snapshotBytes,
    segmentCount: chain.segmentNumbers.length,
    incompleteSnapshots: incomplete,
    unreferencedSegments: unreferencedSegments(present, chain, next.previous),
  };
};
