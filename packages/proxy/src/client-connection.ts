/**
 * Decides about one connection of a caller: which of the requests read from it are begun, which
 * answer may close it, and what is done once bytes arrive that are no request. The shell
 * (caller-server.ts) reports what it sees and performs the effects; the HTTP parser keeps the
 * answers in the order of their requests.
 *
 * Guarantees:
 * - An answer closes the connection only if no request was read behind it, so that none which was
 *   begun loses its answer.
 * - A request read behind an answer that closes the connection is never begun: its sender counts
 *   it as unread and sends it again.
 * - A refusal of bytes that are no request is never written while an answer to an earlier request
 *   is owed: the caller would take it for that answer.
 */

/** Status for bytes that are no request, or for a request that was not sent whole in time. */
export type RefusalStatus = 400 | 408 | 431;

/** What is known of one caller's connection. */
export type ClientConnection = {
  /** Number of the newest request whose head was read; 0 before the first. */
  readonly newestNumber: number;
  /** Requests begun whose answers were not yet handed over whole. */
  readonly unanswered: readonly number[];
  /** Whether an answer that closes the connection was written. */
  readonly closing: boolean;
  /** Why nothing more is read; null while the connection is sound. */
  readonly refusal: RefusalStatus | null;
  readonly closed: boolean;
};

/** What happens to one caller's connection. */
export type ClientConnectionEvent =
  | { readonly kind: 'head-read' }
  /** The request with this number was read whole, or is answered before it was. */
  | { readonly kind: 'request-read'; readonly number: number }
  | { readonly kind: 'answer-ready'; readonly number: number; readonly wantsClose: boolean }
  | { readonly kind: 'answer-flushed'; readonly number: number }
  /** Bytes that are no request, or a request that took too long to come. */
  | { readonly kind: 'unreadable'; readonly status: RefusalStatus }
  | { readonly kind: 'closed' };

/** What the shell has to do. */
export type ClientConnectionEffect =
  | { readonly kind: 'begin'; readonly number: number }
  | { readonly kind: 'write'; readonly number: number; readonly close: boolean }
  | { readonly kind: 'refuse'; readonly status: RefusalStatus }
  /** These requests have nobody left who waits for them. */
  | { readonly kind: 'left'; readonly numbers: readonly number[] };

/** A step of the connection. */
export type ClientConnectionStep = {
  readonly state: ClientConnection;
  readonly effects: readonly ClientConnectionEffect[];
};

const unchanged = (state: ClientConnection): ClientConnectionStep => ({ state, effects: [] });

const requestRead = (state: ClientConnection, number: number): ClientConnectionStep => {
  const stale = state.closing || state.refusal !== null || state.unanswered.includes(number);
  if (stale) return unchanged(state);
  return {
    state: { ...state, unanswered: [...state.unanswered, number] },
    effects: [{ kind: 'begin', number }],
  };
};

const answerReady = (
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

const answerFlushed = (state: ClientConnection, number: number): ClientConnectionStep => {
  const unanswered = state.unanswered.filter((each) => each !== number);
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

/** The reducer of a caller's connection. */
export const ClientConnections = {
  open: {
    newestNumber: 0,
    unanswered: [],
    closing: false,
    refusal: null,
    closed: false,
  } satisfies ClientConnection as ClientConnection,

  /** @example CallerConnections.reduce(CallerConnections.open, { kind: 'head-read' }).state.newest // 1 */
  reduce: (state: ClientConnection, event: ClientConnectionEvent): ClientConnectionStep => {
    if (state.closed) return unchanged(state);
    switch (event.kind) {
      case 'head-read':
        return unchanged({ ...state, newestNumber: state.newestNumber + 1 });
      case 'request-read':
        return requestRead(state, event.number);
      case 'answer-ready':
        return answerReady(state, event.number, event.wantsClose);
      case 'answer-flushed':
        return answerFlushed(state, event.number);
      case 'unreadable':
        return unreadable(state, event.status);
      case 'closed':
        return closed(state);
    }
  },
} as const;
