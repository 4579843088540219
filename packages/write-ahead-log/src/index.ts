/** A write-ahead log that consists of segments and snapshots in one folder. */
export { WriteAheadLogError } from './errors.js';
export { encodeRecord } from './frames.js';
export { nodeFileSystem, type LogFileSystem, type WritableFile } from './file-system.js';
export { openWriteAheadLog, type WriteAheadLog } from './log.js';
