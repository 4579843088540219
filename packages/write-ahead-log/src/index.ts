/** A write-ahead log in segments, with snapshots beside it. */
export { WriteAheadLogError } from './errors.js';
export { encodeRecord } from './frames.js';
export { nodeFileSystem, type LogFileSystem, type WritableFile } from './file-system.js';
export { openWriteAheadLog, type WriteAheadLog } from './log.js';
