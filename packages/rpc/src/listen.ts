/**
 * Opens the listening ports of a program. A port may still be in use when a program starts: its
 * predecessor serves the requests that it has in flight before it ends.
 */
import type net from 'node:net';

/** The IP address and the port that a server listens on. */
export type ListenAddress = { readonly host: string; readonly port: number };

/** How to wait for a port that is in use. */
export type PortWait = {
  /** After this time in milliseconds, a port that is still in use is an error. */
  readonly timeoutMs: number;
  /** Called once if the port is in use. */
  readonly onWaiting: (address: ListenAddress) => void;
  /** Called if the open server fails to accept a connection; it goes on with the next one. */
  readonly onAcceptFailed: (error: Error) => void;
};

/** Longer than any program takes to shut down, in milliseconds. */
export const portWaitTimeoutMs = 15_000;

/** Interval between two attempts to open a port that is in use, in milliseconds. */
const portRetryIntervalMs = 100;

const delay = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

const listenOnce = (server: net.Server, { host, port }: ListenAddress): Promise<void> =>
  new Promise((resolve, reject) => {
    const onListening = (): void => {
      server.off('error', onError);
      resolve();
    };
    const onError = (error: Error): void => {
      server.off('listening', onListening);
      reject(error);
    };
    server.once('error', onError);
    server.once('listening', onListening);
    server.listen(port, host);
  });

const isInUse = (thrown: unknown): boolean =>
  (thrown as NodeJS.ErrnoException).code === 'EADDRINUSE';

/**
 * Listens on an address; resolves once the server accepts connections. Waits while the port is in
 * use, until the timeout.
 *
 * @example
 * await listen(server, { host: '127.0.0.1', port: 7001 }, portWait(logger));
 */
export const listen = async (
  server: net.Server,
  address: ListenAddress,
  wait: PortWait,
): Promise<void> => {
  const deadline = performance.now() + wait.timeoutMs;
  let isFirstAttempt = true;
  for (;;) {
    try {
      await listenOnce(server, address);
      server.on('error', wait.onAcceptFailed);
      return;
    } catch (thrown) {
      if (!isInUse(thrown) || performance.now() >= deadline) throw thrown;
    }
    if (isFirstAttempt) wait.onWaiting(address);
    isFirstAttempt = false;
    await delay(portRetryIntervalMs);
  }
};

/** A port that is in use is an error at once. */
export const noPortWait: PortWait = {
  timeoutMs: 0,
  onWaiting: () => undefined,
  onAcceptFailed: () => undefined,
};

/** Waits for the predecessor of a program, and logs what happens. */
export const portWait = (logger: {
  readonly warn: (event: string, fields: Readonly<Record<string, string | number>>) => void;
}): PortWait => ({
  timeoutMs: portWaitTimeoutMs,
  onWaiting: (address) => logger.warn('start.waiting', address),
  onAcceptFailed: (error) => logger.warn('accept.failed', { why: error.message }),
});
