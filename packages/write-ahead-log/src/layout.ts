/**
 * Names and first records of the files of a log. `segment-N` holds what was appended since it was
 * begun; `snapshot-N` holds the whole state as it was when segment N was begun.
 */
import { encodeFrame, encodeRecord } from './frames.js';

/** The two kinds of files of a log. */
export type FileKind = 'segment' | 'snapshot';

/** A file of the log. */
export type LogFile = { readonly kind: FileKind; readonly number: number; readonly name: string };

/** How much of a segment counts. What stands behind that was never acknowledged. */
export type SegmentEnd = { readonly number: number; readonly bytes: number };

/**
 * The first record of a segment, synced before anything else is written to it. It fences the
 * segment before: a frame behind `previous.bytes` counts for nothing, and one missing before it is
 * damage.
 */
export type SegmentHeader = {
  readonly format: number;
  readonly previous: SegmentEnd | null;
  /** Records of the segment before whose sync is not certain, written again in full. */
  readonly carried: readonly unknown[];
};

/** The last record of a snapshot: without it the snapshot was never complete. */
export type SnapshotEnd = { readonly records: number };

/** The version of the format, in each segment's header. */
export const logFormat = 2;
/** The batch of a segment's header; appended batches are counted from the next. */
export const headerBatch = 0;
/** The one batch of a snapshot. */
const snapshotBatch = 0;

const numberDigits = 8;
const namePattern = /^(segment|snapshot)-(\d{8})$/;

/** The name of a file of the log. */
export const fileName = (kind: FileKind, number: number): string =>
  `${kind}-${String(number).padStart(numberDigits, '0')}`;

/**
 * Checksums of a file's frames begin with this, so that frames of different files are never mixed
 * up.
 */
export const fileIdOf = (kind: FileKind, number: number): number =>
  number * 2 + (kind === 'snapshot' ? 1 : 0);

/** The files of the log among the names in a folder, oldest first. */
export const logFilesOf = (names: readonly string[]): readonly LogFile[] =>
  names
    .flatMap((name): readonly LogFile[] => {
      const found = namePattern.exec(name);
      return found === null ? [] : [{ kind: found[1] as FileKind, number: Number(found[2]), name }];
    })
    .sort((left, right) => left.number - right.number);

/** The frame of a segment's header. */
export const encodeSegmentHeader = (
  number: number,
  header: Omit<SegmentHeader, 'format'>,
): Buffer =>
  encodeFrame({
    payload: encodeRecord({ format: logFormat, ...header }),
    batch: headerBatch,
    lastOfBatch: true,
    fileId: fileIdOf('segment', number),
  });

/** The frame of a record of a snapshot; `last` with the one that ends it. */
export const encodeSnapshotFrame = (number: number, record: unknown, last: boolean): Buffer =>
  encodeFrame({
    payload: encodeRecord(record),
    batch: snapshotBatch,
    lastOfBatch: last,
    fileId: fileIdOf('snapshot', number),
  });
