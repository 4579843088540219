/** Limits of remote procedure calls between the processes of the project. */

/** Timeout of one call, in milliseconds; a call without a reply by then counts as lost. */
export const callTimeoutMs = 1_000;

/** Maximum size of the body of a request or a reply, in bytes. */
export const maxCallBytes = 32 * 1024 * 1024;
