/** A write-ahead log in segments, with snapshots beside it. */
export { NotchError } from './errors.js';
export { nodeFileSystem, type LogFileSystem, type WritableFile } from './file-system.js';
export { openNotch, type Notch } from './log.js';
