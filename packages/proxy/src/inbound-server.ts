/**
 * The HTTP server that callers and peers connect to: keeps the bounds in force, tracks each
 * connection by the reducer in caller-connection.ts, and performs what that decides.
 */
import http from 'node:http';
import type { Socket } from 'node:net';
import { ClientLimits } from './client-limits.js';
import {
  ClientConnections,
  type ClientConnection,
  type ClientConnectionEvent,
  type ClientConnectionEffect,
  type RefusalStatus,
} from './client-connection.js';

/** ms. How often connections that are slow to send a request are looked for. */
const SLOW_REQUEST_CHECK_MS = 1_000;

/** One request's place on its connection. */
export type RequestTurn = {
  /** Tells that the request was read; false where it may not be begun. */
  readonly begin: (left: () => void) => boolean;
  /** Whether its answer, which is about to be written, closes the connection. */
  readonly startResponse: (wanted: boolean) => boolean;
};

/** Serves one request; `turn` says whether it may be begun. */
export type InboundHandler = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
  turn: RequestTurn,
) => void;

/** A server whose bounds follow the config. */
export type InboundServer = {
  readonly server: http.Server;
  readonly setLimits: (bounds: ClientLimits) => void;
  /** Answers begun and not yet handed over whole to the callers' connections. */
  readonly unanswered: () => number;
};

const reasons: Readonly<Record<RefusalStatus, string>> = {
  400: 'Bad Request',
  408: 'Request Timeout',
  431: 'Request Header Fields Too Large',
};

const refusalOf = (error: NodeJS.ErrnoException): RefusalStatus | null => {
  if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT') return 408;
  if (error.code === 'HPE_HEADER_OVERFLOW') return 431;
  return error.code?.startsWith('HPE_') === true ? 400 : null;
};

/** One connection: the reducer's state, and those to tell when the caller leaves. */
class TrackedConnection {
  #state: ClientConnection = ClientConnections.open;
  /** The request that is being read; let go once it is begun. */
  #reading: http.IncomingMessage | null = null;
  readonly #leavers = new Map<number, () => void>();

  constructor(private readonly socket: Socket) {}

  get unanswered(): number {
    return this.#state.unanswered.length;
  }

  /** Whether nothing was ever sent over it: it only rests. */
  get untouched(): boolean {
    return this.socket.bytesRead === 0;
  }

  dispatch(event: ClientConnectionEvent): readonly ClientConnectionEffect[] {
    const { state, effects } = ClientConnections.reduce(this.#state, event);
    this.#state = state;
    for (const effect of effects) {
      if (effect.kind === 'refuse') this.#refuse(effect.status);
      if (effect.kind === 'left') effect.numbers.forEach((number) => this.#leavers.get(number)?.());
    }
    return effects;
  }

  /** Bytes came that are no request. One read whole before them is begun first. */
  unreadable(status: RefusalStatus): void {
    const refuse = (): void => void this.dispatch({ kind: 'unreadable', status });
    // Its last bytes were parsed, and are handed up before the event loop turns.
    if (this.#reading?.complete === true) setImmediate(refuse);
    else refuse();
  }

  /** A request whose head was read. */
  turn(request: http.IncomingMessage, response: http.ServerResponse): RequestTurn {
    // Node bounds the rest after each answer by itself, but not the one before the first request.
    if (this.#state.newestNumber === 0) this.socket.setTimeout(0);
    this.#reading = request;
    this.dispatch({ kind: 'head-read' });
    const number = this.#state.newestNumber;
    response.once('finish', () => {
      this.#leavers.delete(number);
      this.dispatch({ kind: 'answer-flushed', number });
    });
    return {
      begin: (left) => {
        if (this.#reading === request) this.#reading = null;
        const begun = this.dispatch({ kind: 'request-read', number }).length > 0;
        if (begun) this.#leavers.set(number, left);
        return begun;
      },
      startResponse: (wanted) =>
        this.dispatch({ kind: 'answer-ready', number, wantsClose: wanted }).some(
          (effect) => effect.kind === 'write' && effect.close,
        ),
    };
  }

  #refuse(status: RefusalStatus): void {
    if (!this.socket.writable) return;
    const text = `HTTP/1.1 ${status} ${reasons[status]}\r\n`;
    this.socket.end(`${text}Connection: close\r\nContent-Length: 0\r\n\r\n`);
  }
}

/**
 * Makes a server for callers; the caller of this function lets it listen.
 *
 * @example
 * const { server } = openCallerServer(CallerBounds.of(undefined), (request, response, turn) => {});
 */
export const openInboundServer = (first: ClientLimits, handle: InboundHandler): InboundServer => {
  let bounds = first;
  const connections = new Map<Socket, TrackedConnection>();
  const server = http.createServer({ connectionsCheckingInterval: SLOW_REQUEST_CHECK_MS });
  const setBounds = (next: ClientLimits): void => {
    bounds = next;
    // The parser takes this for each new connection; Node's types don't list it as a property.
    Object.assign(server, { maxHeaderSize: next.headBytes });
    server.headersTimeout = next.headMs;
    server.requestTimeout = ClientLimits.requestMs(next);
    // Node tells the whole seconds of this in `Keep-Alive`.
    server.keepAliveTimeout = ClientLimits.keepAliveTimeoutMs(next);
  };
  setBounds(first);
  server.on('connection', (socket: Socket) => {
    const connection = new TrackedConnection(socket);
    connections.set(socket, connection);
    socket.setTimeout(ClientLimits.keepAliveTimeoutMs(bounds));
    socket.once('close', () => {
      connections.delete(socket);
      connection.dispatch({ kind: 'closed' });
    });
  });
  server.on('request', (request, response) => {
    const { socket } = request;
    const connection = connections.get(socket) ?? new TrackedConnection(socket);
    handle(request, response, connection.turn(request, response));
  });
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    const status = refusalOf(error);
    const connection = connections.get(socket);
    if (status === null || connection === undefined) {
      socket.destroy();
      return;
    }
    // A new connection that rests is bounded by the time for resting ones.
    if (status === 408 && connection.untouched) return;
    connection.unreadable(status);
  });
  const unanswered = (): number =>
    [...connections.values()].reduce((sum, each) => sum + each.unanswered, 0);
  return { server, setLimits: setBounds, unanswered };
};
