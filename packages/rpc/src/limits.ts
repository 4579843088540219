/** Limits of calls between the project's own processes. */

/** ms. One call between processes before it counts as lost. */
export const callTimeoutMs = 1_000;

/** bytes. One call between processes. */
export const maxCallBytes = 32 * 1024 * 1024;
