/** Writes the complete state to a new file in chunks, so that appends can run between chunks. */
import type { LogFileSystem, WritableFile } from './file-system.js';
import { encodeSnapshotFrame, fileName, type SnapshotEnd } from './layout.js';

/**
 * Size from which a chunk is written out, in bytes. Encoding a chunk blocks the event loop for a few
 * milliseconds.
 */
const chunkBytes = 64 * 1024;

/** Writes all bytes, repeating the write when the file accepts only a part of them. */
export const writeFully = async (file: WritableFile, bytes: Buffer): Promise<void> => {
  let totalWritten = 0;
  while (totalWritten < bytes.length) {
    const written = await file.write(bytes.subarray(totalWritten));
    if (written === 0)
      throw Object.assign(new Error('the disk accepted no bytes'), { code: 'ENOSPC' });
    totalWritten += written;
  }
};

/** Encodes a snapshot in chunks; the last chunk contains the record that ends the snapshot. */
function* snapshotChunks(number: number, state: Iterable<unknown>): Iterable<Buffer> {
  let frames: Buffer[] = [];
  let sizeBytes = 0;
  let recordCount = 0;
  for (const record of state) {
    const frame = encodeSnapshotFrame(number, record, false);
    frames.push(frame);
    sizeBytes += frame.length;
    recordCount += 1;
    if (sizeBytes < chunkBytes) continue;
    yield Buffer.concat(frames);
    frames = [];
    sizeBytes = 0;
  }
  const end: SnapshotEnd = { records: recordCount };
  yield Buffer.concat([...frames, encodeSnapshotFrame(number, end, true)]);
}

/**
 * Writes and syncs `snapshot-NUMBER`; resolves with its size in bytes. After a failure, the partial
 * file is removed if the disk allows that.
 */
export const writeSnapshot = async (
  files: LogFileSystem,
  number: number,
  state: Iterable<unknown>,
): Promise<number> => {
  const name = fileName('snapshot', number);
  const file = await files.create(name);
  let sizeBytes = 0;
  try {
    try {
      for (const chunk of snapshotChunks(number, state)) {
        await writeFully(file, chunk);
        sizeBytes += chunk.length;
      }
      await file.sync();
    } finally {
      await file.close();
    }
    await files.syncFolder();
  } catch (thrown) {
    await files.remove(name).catch(() => undefined);
    throw thrown;
  }
  return sizeBytes;
};
