/** How long an origin or peer is ejected after a failure. */

/**
 * How long an endpoint gets no ordinary traffic after a failed attempt, in milliseconds. The time
 * doubles with each further failure before a valid response, up to a maximum.
 */
export const minEjectionMs = 1_000;
