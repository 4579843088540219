/** The time that every process has to shut down. */

/** ms. SIGTERM to exit, at most. */
export const shutdownTimeoutMs = 4_000;
