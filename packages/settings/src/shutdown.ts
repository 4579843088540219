/** The time limit for a graceful shutdown. */

/** Maximum time from SIGTERM to the exit of a process, in milliseconds. */
export const shutdownTimeoutMs = 4_000;
