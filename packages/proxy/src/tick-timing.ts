/** The proxy's ticks. */

/** ms. Proxy's own beat: limits and holdings are looked at. */
export const proxyTickIntervalMs = 25;

/**
 * ms. The same while no request is under way: then only copies may have to be dropped, at the
 * latest 1.5 + 0.3 + 0.1 s after what allowed them was known, under the requirements' 2 s.
 */
export const idleProxyTickIntervalMs = 100;
