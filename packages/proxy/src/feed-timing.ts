/** How often the proxy asks its agent. */

/** ms. The proxy asks its agent for news. Adds at most this to the age of a snapshot. */
export const feedIntervalMs = 250;
