/** Writes a whole state as one new file, some records at a time, so that appends get their turn. */
import type { LogFileSystem, WritableFile } from './file-system.js';
import { encodeSnapshotFrame, fileName, type SnapshotEnd } from './layout.js';

/**
 * Bytes that are framed at once: a few milliseconds of work between two turns of the event loop.
 */
const chunkBytes = 64 * 1024;

/** Writes all of the bytes, however few the file takes at a time. */
export const writeFully = async (file: WritableFile, bytes: Buffer): Promise<void> => {
  let written = 0;
  while (written < bytes.length) {
    const taken = await file.write(bytes.subarray(written));
    if (taken === 0) throw Object.assign(new Error('the disk took no bytes'), { code: 'ENOSPC' });
    written += taken;
  }
};

/** Frames of a snapshot in chunks, the last of which ends it. */
function* snapshotChunks(number: number, state: Iterable<unknown>): Iterable<Buffer> {
  let frames: Buffer[] = [];
  let size = 0;
  let records = 0;
  for (const record of state) {
    const frame = encodeSnapshotFrame(number, record, false);
    frames.push(frame);
    size += frame.length;
    records += 1;
    if (size < chunkBytes) continue;
    yield Buffer.concat(frames);
    frames = [];
    size = 0;
  }
  const end: SnapshotEnd = { records };
  yield Buffer.concat([...frames, encodeSnapshotFrame(number, end, true)]);
}

/**
 * Writes and syncs `snapshot-NUMBER`; tells its size. What a failure leaves is removed if it can
 * be.
 */
export const writeSnapshot = async (
  files: LogFileSystem,
  number: number,
  state: Iterable<unknown>,
): Promise<number> => {
  const name = fileName('snapshot', number);
  const file = await files.create(name);
  let size = 0;
  try {
    try {
      for (const chunk of snapshotChunks(number, state)) {
        await writeFully(file, chunk);
        size += chunk.length;
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
  return size;
};
