/** The interval of the proxy's feed requests. */

/**
 * How often the proxy requests a feed from its agent, in milliseconds. It adds at most this much to
 * the age of a snapshot.
 */
export const feedIntervalMs = 250;
