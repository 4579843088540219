/**
 * Decides about one client connection: which of its requests are started, which response may close
 * it, and how unparsable bytes are handled. The shell (inbound-server.ts) reports the events and
 * performs the effects; the HTTP parser keeps the responses in the order of their requests.
 *
 * Guarantees:
 * - A response closes the connection only if no later request was read, so that no request that was
 *   started loses its response.
 * - A request read after a response that closes the connection is never started: the client treats
 *   it as unread and sends it again.
 * - Unparsable bytes are never rejected while the response to an earlier request is pending: the
 *   client would mistake the rejection for that response.
 */

/** Status for unparsable bytes, or for a request that was not received completely in time. */
export type RefusalStatus = 400 | 408 | 431;

/** The state of one client connection. */
export type ClientConnection = {
  /** Number of the newest request whose head was read; 0 before the first. */
  readonly newestNumber: number;
  /** Requests that were started and whose responses are not completely written to the socket. */
  readonly unanswered: readonly number[];
  /** Whether a response that closes the connection was written. */
  readonly closing: boolean;
  /** The status with which further bytes are rejected; null while requests can be read. */
  readonly refusal: RefusalStatus | null;
  readonly closed: boolean;
};

/** The events of one client connection. */
export type ClientConnectionEvent =
  | { readonly kind: 'head-read' }
  /** The request with this number was read completely, or gets its response earlier. */
  | { readonly kind: 'request-read'; readonly number: number }
  | { readonly kind: 'answer-ready'; readonly number: number; readonly wantsClose: boolean }
  | { readonly kind: 'answer-flushed'; readonly number: number }
  /** Unparsable bytes, or a request that took too long to arrive. */
  | { readonly kind: 'unreadable'; readonly status: RefusalStatus }
  | { readonly kind: 'closed' };

/** What the shell performs. */
export type ClientConnectionEffect =
  | { readonly kind: 'begin'; readonly number: number }
  | { readonly kind: 'write'; readonly number: number; readonly close: boolean }
  | { readonly kind: 'refuse'; readonly status: RefusalStatus }
  /** The client of these requests closed the connection and no longer waits for them. */
  | { readonly kind: 'left'; readonly numbers: readonly number[] };

/** The result of one event: the next state, and the effects in order. */
export type ClientConnectionStep = {
  readonly state: ClientConnection;
  readonly effects: readonly ClientConnectionEffect[];
};

const unchanged = (state: ClientConnection): ClientConnectionStep => ({ state, effects: [] });

const requestRead = (state: ClientConnection, number: number): ClientConnectionStep => {
  const isIgnored = state.closing || state.refusal !== null || state.unanswered.includes(number);
  if (isIgnored) return unchanged(state);
  return {
    state: { ...state, unanswered: [...state.unanswered, number] },
    effects: [{ kind: 'begin', number }],
  };
};

const responseReady = (
  state: ClientConnection,
  number: number,
  wantsClose: boolean,
): ClientConnectionStep => {
  if (!state.unanswered.includes(number)) return unchanged(state);
  const close = wantsClose && number === state.newestNumber;
  return {
    state: { ...state, closing: state.closing || close },
    effects: [{ kind: 'write', number, close }],
  };
};

const responseFlushed = (state: ClientConnection, number: number): ClientConnectionStep => {
  const unanswered = state.unanswered.filter((candidate) => candidate !== number);
  const next = { ...state, unanswered };
  if (state.refusal === null || state.closing || unanswered.length > 0) return unchanged(next);
  return {
    state: { ...next, closing: true },
    effects: [{ kind: 'refuse', status: state.refusal }],
  };
};

const unreadable = (state: ClientConnection, status: RefusalStatus): ClientConnectionStep => {
  if (state.refusal !== null || state.closing) return unchanged(state);
  const next = { ...state, refusal: status };
  if (state.unanswered.length > 0) return unchanged(next);
  return { state: { ...next, closing: true }, effects: [{ kind: 'refuse', status }] };
};

const closed = (state: ClientConnection): ClientConnectionStep => ({
  state: { ...state, closed: true, unanswered: [] },
  effects: state.unanswered.length > 0 ? [{ kind: 'left', numbers: state.unanswered }] : [],
});

/** The reducer of a client connection. */
export const ClientConnections = {
  /** A connection that was just accepted. */
  open: {
    newestNumber: 0,
    unanswered: [],
    closing: false,
    refusal: null,
    closed: false,
  } satisfies ClientConnection as ClientConnection,

  /** @example ClientConnections.reduce(ClientConnections.open, { kind: 'head-read' }).state.newestNumber // 1 */
  reduce: (state: ClientConnection, event: ClientConnectionEvent): ClientConnectionStep => {
    if (state.closed) return unchanged(state);
    switch (event.kind) {
      case 'head-read':
        return unchanged({ ...state, newestNumber: state.newestNumber + 1 });
      case 'request-read':
        return requestRead(state, event.number);
      case 'answer-ready':
        return responseReady(state, event.number, event.wantsClose);
      case 'answer-flushed':
        return responseFlushed(state, event.number);
      case 'unreadable':
        return unreadable(state, event.status);
      case 'closed':
        return closed(state);
    }
  },
} as const;
