/**
 * File names of the log, and the records that the format itself adds to each file. `segment-N`
 * contains the records appended since segment N was started; `snapshot-N` contains the complete
 * state as of the start of segment N.
 */
import { encodeFrame, encodeRecord } from './frames.js';

/** The kinds of files that a log consists of. */
export type FileKind = 'segment' | 'snapshot';

/** A log file, with the kind and number that its name contains. */
export type LogFile = { readonly kind: FileKind; readonly number: number; readonly name: string };

/**
 * The end of the valid part of a segment. Frames after this end were never acknowledged, or the
 * header of the next segment carries their records.
 */
export type SegmentEnd = { readonly number: number; readonly bytes: number };

/**
 * The first record of a segment, synced before anything else is written to the segment. The header
 * fences the previous segment: frames after `previous.bytes` are ignored, and a frame missing before
 * that offset is damage.
 */
export type SegmentHeader = {
  readonly format: number;
  readonly previous: SegmentEnd | null;
  /** Records of the previous segment whose sync is uncertain, written again in full. */
  readonly carried: readonly unknown[];
};

/** The last record of a snapshot. A snapshot without this record was never completed. */
export type SnapshotEnd = { readonly records: number };

/** The version of the file format, stored in the header of each segment. */
export const logFormat = 2;
/** The batch number of a segment's header; the first appended batch has the next number. */
export const headerBatch = 0;
/** The batch number of all frames of a snapshot. */
const snapshotBatch = 0;

const numberDigits = 8;
const namePattern = /^(segment|snapshot)-(\d{8})$/;

/** The name of a log file: the kind and the zero-padded number. */
export const fileName = (kind: FileKind, number: number): string =>
  `${kind}-${String(number).padStart(numberDigits, '0')}`;

/**
 * The id of a file, unique within the log. The id seeds the checksums of the file's frame headers,
 * so that a frame of one file is never accepted in another.
 */
export const fileIdOf = (kind: FileKind, number: number): number =>
  number * 2 + (kind === 'snapshot' ? 1 : 0);

/** Selects the log files among the names in a folder, lowest number first. */
export const logFilesOf = (names: readonly string[]): readonly LogFile[] =>
  names
    .flatMap((name): readonly LogFile[] => {
      const match = namePattern.exec(name);
      return match === null ? [] : [{ kind: match[1] as FileKind, number: Number(match[2]), name }];
    })
    .sort((left, right) => left.number - right.number);

/** Encodes the header of a segment as a frame. */
export const encodeSegmentHeader = (
  number: number,
  header: Omit<SegmentHeader, 'format'>,
): Buffer =>
  encodeFrame({
    payload: encodeRecord({ format: logFormat, ...header }),
    batch: headerBatch,
    isLastInBatch: true,
    fileId: fileIdOf('segment', number),
  });

/** Encodes a record of a snapshot as a frame; `isLast` marks the frame that ends the snapshot. */
export const encodeSnapshotFrame = (number: number, record: unknown, isLast: boolean): Buffer =>
  encodeFrame({
    payload: encodeRecord(record),
    batch: snapshotBatch,
    isLastInBatch: isLast,
    fileId: fileIdOf('snapshot', number),
  });
