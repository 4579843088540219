/**
 * The file operations that the log needs. Tests replace the real file system by a model disk that
 * injects faults and power losses at every operation.
 */
import { promises as fs } from 'node:fs';
import path from 'node:path';

/** A new file that is written sequentially. */
export type WritableFile = {
  /**
   * Appends to the file; resolves with the number of bytes written, which may be fewer than given.
   */
  readonly write: (bytes: Buffer) => Promise<number>;
  /** Resolves once all bytes written so far, and the file itself, survive a power loss. */
  readonly sync: () => Promise<void>;
  readonly close: () => Promise<void>;
};

/** File operations in one folder; each name is the name of a file in that folder. */
export type LogFileSystem = {
  /** Creates the folder if it does not exist and makes its name durable. */
  readonly createFolder: () => Promise<void>;
  /** Lists the names of all files; empty if the folder does not exist. */
  readonly list: () => Promise<readonly string[]>;
  readonly read: (name: string) => Promise<Buffer>;
  /** Creates a file; fails with `EEXIST` if a file of this name exists. */
  readonly create: (name: string) => Promise<WritableFile>;
  readonly remove: (name: string) => Promise<void>;
  /** Resolves once all creations and removals of files so far survive a power loss. */
  readonly syncFolder: () => Promise<void>;
};

const syncFolderAt = async (folder: string): Promise<void> => {
  const handle = await fs.open(folder, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
};

const listFolder = async (folder: string): Promise<readonly string[]> => {
  try {
    return await fs.readdir(folder);
  } catch (thrown) {
    if ((thrown as NodeJS.ErrnoException).code === 'ENOENT') return [];
    throw thrown;
  }
};

const createFile = async (filePath: string): Promise<WritableFile> => {
  const handle = await fs.open(filePath, 'wx');
  return {
    write: async (bytes) => (await handle.write(bytes)).bytesWritten,
    sync: () => handle.datasync(),
    close: () => handle.close(),
  };
};

/**
 * The file operations of Node.js on one folder of the real file system.
 *
 * @example
 * const files = nodeFileSystem('/var/lib/reedyard/core-1');
 * await files.list(); // ['segment-00000001']
 */
export const nodeFileSystem = (folder: string): LogFileSystem => ({
  createFolder: async () => {
    await fs.mkdir(folder, { recursive: true });
    await syncFolderAt(path.dirname(path.resolve(folder)));
  },
  list: () => listFolder(folder),
  read: (name) => fs.readFile(path.join(folder, name)),
  create: (name) => createFile(path.join(folder, name)),
  remove: (name) => fs.rm(path.join(folder, name), { force: true }),
  syncFolder: () => syncFolderAt(folder),
});
