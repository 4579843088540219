/**
 * Records as bytes. A frame is a head and a payload, each with a checksum. The head tells the batch
 * that the frame was written in: all frames of a batch are covered by one sync, and the next batch
 * is written only after that sync. So a frame of batch n + 1 proves that batch n was synced.
 */
import { crc32 } from 'node:zlib';
import { parse, stringify } from 'devalue';

/** Starts each frame. Payloads are UTF-8, which never holds these bytes. */
const magic = Buffer.from([0xff, 0xfe, 0x52, 0xff]);
const batchOffset = 4;
const flagsOffset = 10;
const lengthOffset = 12;
const payloadChecksumOffset = 16;
const headChecksumOffset = 20;
const headSize = 24;
const lastOfBatchFlag = 1;

/** One record that was read back. */
export type Frame = {
  readonly record: unknown;
  readonly batch: number;
  /** Whether the batch is complete with this frame. */
  readonly isLastInBatch: boolean;
  readonly start: number;
  readonly end: number;
};

/** What a file holds. */
export type ScanResult = {
  /** Whole frames from the start of the file, without a gap. */
  readonly frames: readonly Frame[];
  /** Length up to which the file is good. */
  readonly validBytes: number;
  /** The highest batch of which a head was found behind the first gap; null if there is none. */
  readonly highestBatchAfterGap: number | null;
};

type Head = {
  readonly batch: number;
  readonly lastOfBatch: boolean;
  readonly length: number;
  readonly payloadChecksum: number;
};

/** The payload of a record. */
export const encodeRecord = (record: unknown): Buffer => Buffer.from(stringify(record));

/**
 * A frame around a payload. `fileId` goes into the checksum of the head: what an earlier file left
 * on the same blocks of the disk is never taken for a frame of this one.
 *
 * @example
 * encodeFrame({ payload: encodeRecord('a'), batch: 1, lastOfBatch: true, fileId: 2 }).length // 29
 */
export const encodeFrame = (parts: {
  readonly payload: Buffer;
  readonly batch: number;
  readonly lastOfBatch: boolean;
  readonly fileId: number;
}): Buffer => {
  const head = Buffer.alloc(headSize);
  magic.copy(head);
  head.writeUIntBE(parts.batch, batchOffset, 6);
  head.writeUInt16BE(parts.lastOfBatch ? lastOfBatchFlag : 0, flagsOffset);
  head.writeUInt32BE(parts.payload.length, lengthOffset);
  head.writeUInt32BE(crc32(parts.payload), payloadChecksumOffset);
  head.writeUInt32BE(crc32(head.subarray(0, headChecksumOffset), parts.fileId), headChecksumOffset);
  return Buffer.concat([head, parts.payload]);
};

const readHead = (bytes: Buffer, at: number, fileId: number): Head | null => {
  const head = bytes.subarray(at, at + headSize);
  if (head.length < headSize || !head.subarray(0, magic.length).equals(magic)) return null;
  const checksum = crc32(head.subarray(0, headChecksumOffset), fileId);
  if (checksum !== head.readUInt32BE(headChecksumOffset)) return null;
  return {
    batch: head.readUIntBE(batchOffset, 6),
    lastOfBatch: (head.readUInt16BE(flagsOffset) & lastOfBatchFlag) !== 0,
    length: head.readUInt32BE(lengthOffset),
    payloadChecksum: head.readUInt32BE(payloadChecksumOffset),
  };
};

const readFrame = (bytes: Buffer, start: number, fileId: number): Frame | null => {
  const head = readHead(bytes, start, fileId);
  if (head === null) return null;
  const end = start + headSize + head.length;
  const payload = bytes.subarray(start + headSize, end);
  if (payload.length < head.length || crc32(payload) !== head.payloadChecksum) return null;
  const record: unknown = parse(payload.toString('utf8'));
  return { record, batch: head.batch, isLastInBatch: head.lastOfBatch, start, end };
};

const highestBatchFrom = (bytes: Buffer, from: number, fileId: number): number | null => {
  let highest: number | null = null;
  for (let at = bytes.indexOf(magic, from); at >= 0; at = bytes.indexOf(magic, at + 1)) {
    const batch = readHead(bytes, at, fileId)?.batch;
    if (batch !== undefined && (highest === null || batch > highest)) highest = batch;
  }
  return highest;
};

/**
 * Reads the frames of a file up to the first that is missing or torn, and looks for heads behind
 * it.
 *
 * @example
 * scanFrames(Buffer.alloc(40), 2) // { frames: [], goodBytes: 0, batchBehindGap: null }
 */
export const scanFrames = (bytes: Buffer, fileId: number): ScanResult => {
  const frames: Frame[] = [];
  let goodBytes = 0;
  while (goodBytes < bytes.length) {
    const frame = readFrame(bytes, goodBytes, fileId);
    if (frame === null) break;
    frames.push(frame);
    goodBytes = frame.end;
  }
  return {
    frames,
    validBytes: goodBytes,
    highestBatchAfterGap: highestBatchFrom(bytes, goodBytes, fileId),
  };
};
