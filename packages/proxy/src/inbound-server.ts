/**
 * The HTTP server that clients and peers connect to: enforces the configured limits, tracks each
 * connection with the reducer in client-connection.ts, and performs its effects.
 */
import http from 'node:http';
import type { Socket } from 'node:net';
import { ClientLimits } from './client-limits.js';
import { ConnectionLimits, type LimitedConnection } from './connection-limits.js';
import {
  ClientConnections,
  type ClientConnection,
  type ClientConnectionEvent,
  type ClientConnectionEffect,
  type RefusalStatus,
} from './client-connection.js';

/** Interval between two checks for connections that are slow to send a request, in milliseconds. */
const SLOW_REQUEST_CHECK_MS = 1_000;

/** The position of one request on its connection. */
export type RequestTurn = {
  /**
   * Registers a callback for the end of the request: its response was written, or its connection has
   * closed. Node emits no `close` for a response that waits behind another one.
   */
  readonly onOver: (callback: () => void) => void;
  /**
   * Reports that the request was read; `onClientLeft` is called if the client closes the connection
   * before the response is written. Returns false if the request must not be started.
   */
  readonly begin: (onClientLeft: () => void) => boolean;
  /** Reports that the response is about to be written; returns whether it closes the connection. */
  readonly startResponse: (wantsClose: boolean) => boolean;
};

/** Serves one request; `turn` says whether it may be started. */
export type InboundHandler = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
  turn: RequestTurn,
) => void;

/** A server whose limits follow the configuration. */
export type InboundServer = {
  readonly server: http.Server;
  readonly setLimits: (limits: ClientLimits) => void;
  /** Number of started requests whose responses are not completely written to their sockets. */
  readonly unanswered: () => number;
};

const reasonPhrases: Readonly<Record<RefusalStatus, string>> = {
  400: 'Bad Request',
  408: 'Request Timeout',
  431: 'Request Header Fields Too Large',
};

const refusalStatusOf = (error: NodeJS.ErrnoException): RefusalStatus | null => {
  if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT') return 408;
  if (error.code === 'HPE_HEADER_OVERFLOW') return 431;
  return error.code?.startsWith('HPE_') === true ? 400 : null;
};

/** One connection: the reducer's state, and the callbacks for a client that closes it. */
class TrackedConnection implements LimitedConnection {
  #state: ClientConnection = ClientConnections.open;
  #lastActiveAt = performance.now();
  /** The request that is being read; released once it is started. */
  #reading: http.IncomingMessage | null = null;
  readonly #clientLeftCallbacks = new Map<number, () => void>();
  /** What is called at the end of each open request, by its number. */
  readonly #overCallbacks = new Map<number, (() => void)[]>();

  constructor(private readonly socket: Socket) {}

  get openRequestCount(): number {
    return this.#overCallbacks.size;
  }

  get waitsForClient(): boolean {
    return this.#state.unanswered.length === 0;
  }

  get lastActiveAt(): number {
    return this.#lastActiveAt;
  }

  get unanswered(): number {
    return this.#state.unanswered.length;
  }

  /** Whether the connection has been idle since it was opened. */
  get isUnused(): boolean {
    return this.socket.bytesRead === 0;
  }

  dispatch(event: ClientConnectionEvent): readonly ClientConnectionEffect[] {
    const { state, effects } = ClientConnections.reduce(this.#state, event);
    this.#state = state;
    for (const effect of effects) {
      if (effect.kind === 'refuse') this.#refuse(effect.status);
      if (effect.kind === 'left')
        effect.numbers.forEach((number) => this.#clientLeftCallbacks.get(number)?.());
    }
    return effects;
  }

  /** Handles unparsable bytes. A request that was read completely before them is started first. */
  rejectUnreadable(status: RefusalStatus): void {
    const refuse = (): void => void this.dispatch({ kind: 'unreadable', status });
    // The parser has read its last bytes, and emits them before the next turn of the event loop.
    if (this.#reading?.complete === true) setImmediate(refuse);
    else refuse();
  }

  /** Registers a request whose head was read. */
  openTurn(request: http.IncomingMessage, response: http.ServerResponse): RequestTurn {
    // Node limits the idle time after each response, but not before the first request: the server
    // sets that limit on the socket, and the first request head removes it.
    if (this.#state.newestNumber === 0) this.socket.setTimeout(0);
    this.#reading = request;
    this.#lastActiveAt = performance.now();
    this.dispatch({ kind: 'head-read' });
    const number = this.#state.newestNumber;
    response.once('finish', () => {
      this.#clientLeftCallbacks.delete(number);
      this.dispatch({ kind: 'answer-flushed', number });
      this.#endRequest(number);
    });
    this.#overCallbacks.set(number, []);
    return {
      onOver: (callback) => this.#overCallbacks.get(number)?.push(callback),
      begin: (onClientLeft) => {
        if (this.#reading === request) this.#reading = null;
        const isStarted = this.dispatch({ kind: 'request-read', number }).length > 0;
        if (isStarted) this.#clientLeftCallbacks.set(number, onClientLeft);
        return isStarted;
      },
      startResponse: (wantsClose) =>
        this.dispatch({ kind: 'answer-ready', number, wantsClose }).some(
          (effect) => effect.kind === 'write' && effect.close,
        ),
    };
  }

  /** Ends all requests, since the connection has closed. */
  endAllRequests(): void {
    this.dispatch({ kind: 'closed' });
    for (const number of [...this.#overCallbacks.keys()]) this.#endRequest(number);
  }

  #endRequest(number: number): void {
    const callbacks = this.#overCallbacks.get(number) ?? [];
    this.#overCallbacks.delete(number);
    this.#lastActiveAt = performance.now();
    for (const callback of callbacks) callback();
  }

  pause(): boolean {
    if (this.socket.isPaused()) return false;
    this.socket.pause();
    return true;
  }

  resume(): void {
    if (!this.socket.destroyed) this.socket.resume();
  }

  close(): void {
    this.socket.destroy();
  }

  #refuse(status: RefusalStatus): void {
    if (!this.socket.writable) return;
    const text = `HTTP/1.1 ${status} ${reasonPhrases[status]}\r\n`;
    this.socket.end(`${text}Connection: close\r\nContent-Length: 0\r\n\r\n`);
  }
}

/**
 * Creates a server for clients or peers; it does not listen yet.
 *
 * @example
 * const { server } = openInboundServer(ClientLimits.of(undefined), (request, response, turn) => {});
 */
export const openInboundServer = (
  initialLimits: ClientLimits,
  handle: InboundHandler,
): InboundServer => {
  let limits = initialLimits;
  const connections = new Map<Socket, TrackedConnection>();
  const server = http.createServer({ connectionsCheckingInterval: SLOW_REQUEST_CHECK_MS });
  const setLimits = (next: ClientLimits): void => {
    limits = next;
    // The parser reads this property for each new connection; Node's types omit it.
    Object.assign(server, { maxHeaderSize: next.headBytes });
    server.headersTimeout = next.headMs;
    server.requestTimeout = ClientLimits.requestMs(next);
    // Node announces this in `Keep-Alive` as whole seconds, rounded down.
    server.keepAliveTimeout = ClientLimits.keepAliveTimeoutMs(next);
  };
  setLimits(initialLimits);
  const connectionLimits = new ConnectionLimits();
  server.on('connection', (socket: Socket) => {
    const connection = new TrackedConnection(socket);
    connections.set(socket, connection);
    connectionLimits.add(connection);
    socket.setTimeout(ClientLimits.keepAliveTimeoutMs(limits));
    socket.once('close', () => {
      connections.delete(socket);
      connectionLimits.remove(connection);
      connection.endAllRequests();
    });
  });
  server.on('request', (request, response) => {
    const { socket } = request;
    const connection = connections.get(socket);
    // The rest of the bytes that were read from a connection which was closed meanwhile.
    if (connection === undefined || socket.destroyed) return;
    const turn = connection.openTurn(request, response);
    turn.onOver(() => connectionLimits.requestClosed(connection));
    if (connectionLimits.requestOpened(connection)) handle(request, response, turn);
  });
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    const status = refusalStatusOf(error);
    const connection = connections.get(socket);
    if (status === null || connection === undefined) {
      socket.destroy();
      return;
    }
    // An unused connection is subject to the idle timeout, not to the time for a request head.
    if (status === 408 && connection.isUnused) return;
    connection.rejectUnreadable(status);
  });
  const unanswered = (): number =>
    [...connections.values()].reduce((sum, connection) => sum + connection.unanswered, 0);
  return { server, setLimits, unanswered };
};
