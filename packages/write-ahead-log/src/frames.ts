/**
 * Encodes records as frames. A frame is a header and a payload, each with a checksum. The header
 * contains the batch that the frame belongs to: one sync covers all frames of a batch, and the next
 * batch is written only after that sync. A frame of batch n + 1 is therefore evidence that batch n
 * was synced.
 */
import { crc32 } from 'node:zlib';
import { parse, stringify } from 'devalue';

/** The first bytes of each frame. Payloads are UTF-8, which never contains these bytes. */
const magic = Buffer.from([0xff, 0xfe, 0x52, 0xff]);
const batchOffset = 4;
const flagsOffset = 10;
const lengthOffset = 12;
const payloadChecksumOffset = 16;
const headerChecksumOffset = 20;
const frameHeaderBytes = 24;
const lastInBatchFlag = 1;

/** A record that was read from a file, with its batch and its byte range in the file. */
export type Frame = {
  readonly record: unknown;
  readonly batch: number;
  /** Whether this frame completes its batch. */
  readonly isLastInBatch: boolean;
  readonly start: number;
  readonly end: number;
};

/** The readable frames of a file, up to the first gap. */
export type ScanResult = {
  /** The complete frames from the start of the file to the first gap. */
  readonly frames: readonly Frame[];
  /** Length of the file up to the first gap, in bytes. */
  readonly validBytes: number;
  /** The highest batch in any valid frame header after the first gap; null if there is none. */
  readonly highestBatchAfterGap: number | null;
};

type FrameHeader = {
  readonly batch: number;
  readonly isLastInBatch: boolean;
  readonly length: number;
  readonly payloadChecksum: number;
};

/** Encodes a record as the payload of a frame. */
export const encodeRecord = (record: unknown): Buffer => Buffer.from(stringify(record));

/**
 * Encodes a payload as a frame. `fileId` seeds the checksum of the header, so that data of an
 * earlier file on reused disk blocks is never read as a frame of this file.
 *
 * @example
 * encodeFrame({ payload: encodeRecord('a'), batch: 1, isLastInBatch: true, fileId: 2 }).length // 29
 */
export const encodeFrame = (parts: {
  readonly payload: Buffer;
  readonly batch: number;
  readonly isLastInBatch: boolean;
  readonly fileId: number;
}): Buffer => {
  const header = Buffer.alloc(frameHeaderBytes);
  magic.copy(header);
  header.writeUIntBE(parts.batch, batchOffset, 6);
  header.writeUInt16BE(parts.isLastInBatch ? lastInBatchFlag : 0, flagsOffset);
  header.writeUInt32BE(parts.payload.length, lengthOffset);
  header.writeUInt32BE(crc32(parts.payload), payloadChecksumOffset);
  header.writeUInt32BE(
    crc32(header.subarray(0, headerChecksumOffset), parts.fileId),
    headerChecksumOffset,
  );
  return Buffer.concat([header, parts.payload]);
};

const readFrameHeader = (bytes: Buffer, offset: number, fileId: number): FrameHeader | null => {
  const header = bytes.subarray(offset, offset + frameHeaderBytes);
  if (header.length < frameHeaderBytes || !header.subarray(0, magic.length).equals(magic))
    return null;
  const checksum = crc32(header.subarray(0, headerChecksumOffset), fileId);
  if (checksum !== header.readUInt32BE(headerChecksumOffset)) return null;
  return {
    batch: header.readUIntBE(batchOffset, 6),
    isLastInBatch: (header.readUInt16BE(flagsOffset) & lastInBatchFlag) !== 0,
    length: header.readUInt32BE(lengthOffset),
    payloadChecksum: header.readUInt32BE(payloadChecksumOffset),
  };
};

const readFrame = (bytes: Buffer, start: number, fileId: number): Frame | null => {
  const header = readFrameHeader(bytes, start, fileId);
  if (header === null) return null;
  const end = start + frameHeaderBytes + header.length;
  const payload = bytes.subarray(start + frameHeaderBytes, end);
  if (payload.length < header.length || crc32(payload) !== header.payloadChecksum) return null;
  const record: unknown = parse(payload.toString('utf8'));
  return { record, batch: header.batch, isLastInBatch: header.isLastInBatch, start, end };
};

const highestBatchFrom = (bytes: Buffer, startOffset: number, fileId: number): number | null => {
  let highestBatch: number | null = null;
  for (
    let offset = bytes.indexOf(magic, startOffset);
    offset >= 0;
    offset = bytes.indexOf(magic, offset + 1)
  ) {
    const batch = readFrameHeader(bytes, offset, fileId)?.batch;
    if (batch !== undefined && (highestBatch === null || batch > highestBatch))
      highestBatch = batch;
  }
  return highestBatch;
};

/**
 * Reads the frames of a file up to the first missing or torn frame, and searches the rest of the
 * file for frame headers.
 *
 * @example
 * scanFrames(Buffer.alloc(40), 2) // { frames: [], validBytes: 0, highestBatchAfterGap: null }
 */
export const scanFrames = (bytes: Buffer, fileId: number): ScanResult => {
  const frames: Frame[] = [];
  let validBytes = 0;
  while (validBytes < bytes.length) {
    const frame = readFrame(bytes, validBytes, fileId);
    if (frame === null) break;
    frames.push(frame);
    validBytes = frame.end;
  }
  return {
    frames,
    validBytes,
    highestBatchAfterGap: highestBatchFrom(bytes, validBytes, fileId),
  };
};
