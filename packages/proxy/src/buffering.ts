/** Which response bodies are buffered completely before they are forwarded. */

/**
 * Maximum size of a buffered body, in bytes. A body up to this size is read completely before its
 * first byte is forwarded, so that a truncated one becomes a clean 502; a larger body is streamed
 * and never cached.
 */
export const maxBufferedBodyBytes = 2 * 1024 * 1024;
