/** The time that a proxy takes to shut down. */

/**
 * How long a proxy that is no longer ready still serves new requests after a request to stop, in
 * milliseconds: the platform takes about a second to notice.
 */
export const unreadyServingMs = 1_500;
