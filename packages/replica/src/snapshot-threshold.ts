/** When a snapshot is due. */

/** bytes of log after which a snapshot is written and older segments are dropped. */
export const snapshotAfterBytes = 8 * 1024 * 1024;
