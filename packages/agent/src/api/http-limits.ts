/** Limits on HTTP requests that the API and the proxy share. */

/** The time in which a client must send its complete request head, in milliseconds. */
export const requestHeadTimeoutMs = 10_000;

/** The maximum size of a request head, in bytes. */
export const maxRequestHeadBytes = 16 * 1024;

/** The maximum size of an operator's or origin's document other than a policy, in bytes. */
export const maxDocumentBytes = 1024 * 1024;

/**
 * The maximum size of a policy document, in bytes. Several thousand routes take about one megabyte.
 */
export const maxPolicyBytes = 8 * 1024 * 1024;
