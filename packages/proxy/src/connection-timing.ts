/** Time limits of connections to origins and peers. */

/** ms. Opening a conn and proving who is at its other end. */
export const connectTimeoutMs = 1_000;

/** ms. An idle conn to an origin is closed after this. */
export const idleConnectionMs = 10_000;

/** ms. A conn whose other end told when it will close it is left alone this much sooner. */
export const idleCloseMarginMs = 1_000;

/**
 * ms. Opening a conn where nothing has to be proved first: regions are some 35 ms apart, and a
 * silent end must leave time for another within a caller's deadline.
 */
export const plainConnectTimeoutMs = 250;
