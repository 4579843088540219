/** How long an origin that failed is ejected. */

/**
 * ms. An instance that failed an attempt gets no ordinary traffic for this long; twice as long
 * each time that it fails again before a sound answer, up to the longest.
 */
export const minEjectionMs = 1_000;
