/**
 * Logs how a process ends, and the memory that it takes while it runs, so that a log tells apart a
 * requested stop, an uncaught error, an empty event loop and a kill.
 */
import { errorMessage, type Logger } from './logging.js';

/** The exit code of a process whose event loop became empty. */
export const emptyEventLoopExitCode = 5;

/** Interval between two log lines with the memory of the process, in milliseconds. */
const memoryLogIntervalMs = 10_000;

/** The parts of Node's `process` that the log depends on. */
export type ObservedProcess = Pick<NodeJS.Process, 'on' | 'memoryUsage' | 'uptime'> & {
  exitCode?: NodeJS.Process['exitCode'];
};

/** The stack of an error on one line; a thrown value that is no error has none. */
const stackOf = (thrown: unknown): string | null =>
  thrown instanceof Error ? (thrown.stack ?? null) : null;

const memoryFields = (observed: ObservedProcess): Readonly<Record<string, number>> => {
  const { rss, heapUsed, external } = observed.memoryUsage();
  return { rssBytes: rss, heapBytes: heapUsed, externalBytes: external };
};

/**
 * Logs the end of this process: `process.failed` with an uncaught error or an unhandled rejection,
 * `process.idle` if its event loop is empty, and `process.ended` with the exit code in every case
 * but a kill. Logs `process.memory` regularly: after a kill, the last of these lines tells whether
 * the memory was used up.
 *
 * @example
 * logProcessEnd(openLogger({ program: 'agent', node: 'front-1' }));
 */
export const logProcessEnd = (logger: Logger, observed: ObservedProcess = process): void => {
  observed.on('uncaughtExceptionMonitor', (error: unknown, origin) => {
    logger.error('process.failed', { origin, why: errorMessage(error), stack: stackOf(error) });
  });
  // A program stops by calling process.exit; its servers and timers keep the event loop busy.
  observed.on('beforeExit', () => {
    logger.error('process.idle');
    observed.exitCode = emptyEventLoopExitCode;
  });
  observed.on('exit', (code: number) => {
    const uptimeMs = Math.round(observed.uptime() * 1_000);
    logger.info('process.ended', { code, uptimeMs, ...memoryFields(observed) });
  });
  const logMemory = (): void => logger.info('process.memory', memoryFields(observed));
  setInterval(logMemory, memoryLogIntervalMs).unref();
};
