/** The intervals of the proxy's ticks. */

/** The interval at which the proxy checks timeouts and queued requests, in milliseconds. */
export const proxyTickIntervalMs = 25;

/**
 * The tick interval while no request is in flight, in milliseconds. A tick then only drops cached
 * copies when the lease has expired: at the latest 1.5 + 0.3 + 0.1 s after the state that allowed
 * them was current, within the 2 s of the requirements.
 */
export const idleProxyTickIntervalMs = 100;
