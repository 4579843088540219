/**
 * The few file operations that the log is built on. Tests put a model disk in place of the real
 * one, with faults and losses of power at every operation.
 */
import { promises as fs } from 'node:fs';
import path from 'node:path';

/** A new file that is written from its start to its end. */
export type WritableFile = {
  /**
   * Writes at the end of the file; tells how many bytes were taken, which may be fewer than given.
   */
  readonly write: (bytes: Buffer) => Promise<number>;
  /** Resolves once all bytes written so far, and the file itself, outlast a loss of power. */
  readonly sync: () => Promise<void>;
  readonly close: () => Promise<void>;
};

/** File operations in one folder; names are names of files in it. */
export type LogFileSystem = {
  /** Makes the folder if it is missing; its name is durable afterwards. */
  readonly createFolder: () => Promise<void>;
  /** The names of all files; none if the folder does not exist. */
  readonly list: () => Promise<readonly string[]>;
  readonly read: (name: string) => Promise<Buffer>;
  /** Makes a new file; fails with `EEXIST` if one of this name is there. */
  readonly create: (name: string) => Promise<WritableFile>;
  readonly remove: (name: string) => Promise<void>;
  /** Resolves once all names made or removed so far outlast a loss of power. */
  readonly syncFolder: () => Promise<void>;
};

const syncPath = async (folder: string): Promise<void> => {
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

const createFile = async (file: string): Promise<WritableFile> => {
  const handle = await fs.open(file, 'wx');
  return {
    write: async (bytes) => (await handle.write(bytes)).bytesWritten,
    sync: () => handle.datasync(),
    close: () => handle.close(),
  };
};

/**
 * The real file system under one folder.
 *
 * @example
 * const files = nodeFileSystem('/var/lib/reedyard/core-1');
 * await files.list(); // ['segment-00000001']
 */
export const nodeFileSystem = (folder: string): LogFileSystem => ({
  createFolder: async () => {
    await fs.mkdir(folder, { recursive: true });
    await syncPath(path.dirname(path.resolve(folder)));
  },
  list: () => listFolder(folder),
  read: (name) => fs.readFile(path.join(folder, name)),
  create: (name) => createFile(path.join(folder, name)),
  remove: (name) => fs.rm(path.join(folder, name), { force: true }),
  syncFolder: () => syncPath(folder),
});
