/** Limits of requests over HTTP, which the API and the proxy share. */

/** ms. A caller must have sent its whole head by then. */
export const requestHeadTimeoutMs = 10_000;

/** bytes. A caller's head. */
export const maxRequestHeadBytes = 16 * 1024;

/** bytes. Any other operator or origin document. */
export const maxDocumentBytes = 1024 * 1024;

/** bytes. A policy document. Several thousand routes take about one megabyte. */
export const maxPolicyBytes = 8 * 1024 * 1024;
