/** The time that a proxy takes to shut down. */

/**
 * ms. After the warning to stop, a proxy that is no longer ready still serves who comes: the
 * platform takes about a second to notice.
 */
export const unreadyServingMs = 1_500;
