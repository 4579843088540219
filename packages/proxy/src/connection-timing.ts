/** Time limits of connections to origins and peers. */

/** Timeout for opening a connection and verifying the origin at its other end, in milliseconds. */
export const connectTimeoutMs = 1_000;

/** How long an idle connection to an origin stays open, in milliseconds. */
export const idleConnectionMs = 10_000;

/**
 * How long before the announced keep-alive timeout of the other end an idle connection is no longer
 * used, in milliseconds.
 */
export const idleCloseMarginMs = 1_000;

/**
 * Timeout for opening a connection whose other end needs no verification, in milliseconds. Regions
 * are about 35 ms apart, and an unresponsive endpoint must leave time for another attempt within
 * the client's deadline.
 */
export const plainConnectTimeoutMs = 250;
