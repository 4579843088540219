/**
 * Limits what the connections of one server take together: their number, and the requests that
 * clients send ahead without waiting for answers. The HTTP parser emits all requests of the bytes
 * that it has read, up to 64 KiB at a time, before the connection can be paused.
 */

/** The maximum number of connections of one server. */
export const maxConnections = 2_000;

/** Requests of one connection that are open at once; from here on its next bytes wait. */
export const pausedAtOpenRequests = 32;

/** A connection whose open requests are so many is closed. */
export const maxOpenRequestsPerConnection = 512;

/** The maximum number of open requests of one server. */
export const maxOpenRequests = 4_096;

/** Requests that are read from all connections in one turn of the event loop. */
export const maxRequestsPerTurn = 2_048;

/** A connection as the limits see it. */
export type LimitedConnection = {
  /** Requests whose responses are not completely written. */
  readonly openRequestCount: number;
  /** Whether it is idle, or its client has not sent its request completely. */
  readonly waitsForClient: boolean;
  /** When its last request was opened or answered, in milliseconds of a monotonic clock. */
  readonly lastActiveAt: number;
  /** Stops reading; returns false if it was stopped already. */
  readonly pause: () => boolean;
  readonly resume: () => void;
  readonly close: () => void;
};

/** The connections of one server. */
export class ConnectionLimits {
  readonly #connections = new Set<LimitedConnection>();
  /** Connections that wait until some of their own requests are answered. */
  readonly #waiting = new Set<LimitedConnection>();
  #openRequestCount = 0;
  #requestsInTurn = 0;

  /** Adds a connection. Beyond the limit, one that waits for its client is closed in its place. */
  add(connection: LimitedConnection): void {
    if (this.#connections.size >= maxConnections) (this.#longestIdle() ?? connection).close();
    this.#connections.add(connection);
  }

  /** Removes a connection that has closed. */
  remove(connection: LimitedConnection): void {
    this.#connections.delete(connection);
    this.#waiting.delete(connection);
  }

  /** Counts a request; returns false if its connection was closed for it. */
  requestOpened(connection: LimitedConnection): boolean {
    this.#openRequestCount += 1;
    this.#countInTurn();
    if (connection.openRequestCount > maxOpenRequestsPerConnection) {
      connection.close();
      return false;
    }
    if (connection.openRequestCount >= pausedAtOpenRequests && connection.pause())
      this.#waiting.add(connection);
    if (this.#openRequestCount <= maxOpenRequests) return true;
    const largest = this.#largest();
    if (largest.openRequestCount < pausedAtOpenRequests) return true;
    largest.close();
    return largest !== connection;
  }

  /** Counts that a request was answered, or that its connection has closed. */
  requestClosed(connection: LimitedConnection): void {
    this.#openRequestCount -= 1;
    if (connection.openRequestCount >= pausedAtOpenRequests / 2) return;
    if (this.#waiting.delete(connection)) connection.resume();
  }

  /** Lets the other connections wait for the next turn once many requests were read in this one. */
  #countInTurn(): void {
    this.#requestsInTurn += 1;
    if (this.#requestsInTurn === 1) setImmediate(() => (this.#requestsInTurn = 0));
    if (this.#requestsInTurn !== maxRequestsPerTurn) return;
    const paused = [...this.#connections].filter((connection) => connection.pause());
    setImmediate(() => {
      for (const connection of paused) if (!this.#waiting.has(connection)) connection.resume();
    });
  }

  #longestIdle(): LimitedConnection | null {
    let longest: LimitedConnection | null = null;
    for (const connection of this.#connections)
      if (
        connection.waitsForClient &&
        (longest === null || connection.lastActiveAt < longest.lastActiveAt)
      )
        longest = connection;
    return longest;
  }

  #largest(): LimitedConnection {
    return [...this.#connections].reduce((largest, connection) =>
      connection.openRequestCount > largest.openRequestCount ? connection : largest,
    );
  }
}
