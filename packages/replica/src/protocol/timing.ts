/** Durations that agents and replicas must agree on. */

/** Time for one phase of a proposal before it is retried under a higher number, in milliseconds. */
export const proposalPhaseTimeoutMs = 600;

/**
 * How long entries are kept in the journal and in snapshots, in milliseconds. This is far longer
 * than a lease, so that cursors rarely become too old.
 */
export const journalRetentionMs = 60_000;

/**
 * Duration of a node's lease in milliseconds, from the moment when the oldest poll that counts for
 * it was sent. The requirements allow 2 s from the acknowledgement of a change until it is in
 * force; 1.5 s leaves 0.5 s for the feed and a slow process.
 */
export const leaseDurationMs = 1_500;
