/** Which bodies are buffered whole. */

/**
 * bytes. A body up to this is read whole before its first byte is passed on, so that a short one
 * becomes a clean 502; a larger one is streamed and never kept.
 */
export const maxBufferedBodyBytes = 2 * 1024 * 1024;
