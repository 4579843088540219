/** The size of the log at which a snapshot is due. */

/** Bytes of log after which a snapshot is written and older segments are deleted. */
export const snapshotAfterBytes = 8 * 1024 * 1024;
