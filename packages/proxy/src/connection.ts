/**
 * Decides about one connection to an origin: which attempt it carries, how much of that attempt may
 * have left this process, which attempt a response belongs to, and whether the connection may be
 * reused. The shell (origin-connections.ts and exchange.ts) reports socket events and performs the
 * effects.
 *
 * Guarantees:
 * - A response is delivered to the attempt that the connection carries, or is discarded.
 * - "Nothing was sent" is reported only before the first byte of the attempt is handed to the socket.
 * - The connection becomes idle for another attempt only after the last request was written
 *   completely and its own response was received completely, with no surplus byte, and while neither
 *   end has started to close.
 */
import type { SendProgress } from '@reedyard/attempts';

/** What ties a response to the attempt in flight. */
export type MatchEvidence = {
  /** Why the response can't belong to the attempt; null if nothing contradicts it. */
  readonly mismatch: string | null;
  /** Whether no request id is echoed: only its connection ties the response to the attempt. */
  readonly anonymous: boolean;
};

/** The attempt that a connection carries. */
type CarriedAttempt = {
  readonly attempt: number;
  /** `handed`: bytes may have been sent; `written`: all bytes were passed to the operating system. */
  readonly sent: 'nothing' | 'handed' | 'written';
  readonly answer: 'none' | 'head' | 'delivered';
  /** How long the other end keeps the connection idle, in milliseconds; null if it closes it. */
  readonly keepAliveMs: number | null;
  readonly mismatch: string | null;
};

/** The state of one connection to an origin. */
export type Connection = {
  readonly phase: 'idle' | 'busy' | 'closed';
  /** Number of attempts of which bytes were handed to the socket. */
  readonly attemptCount: number;
  readonly idleSince: number;
  readonly idleLimitMs: number;
  readonly carried: CarriedAttempt | null;
};

/** Events of one attempt, ignored once the connection carries another attempt. */
export type AttemptEvent = { readonly attempt: number } & (
  | /** The first byte of the attempt is about to be handed to the socket. */
    { readonly kind: 'handing' }
  | { readonly kind: 'written' }
  | {
      readonly kind: 'answer-head';
      readonly keepAliveMs: number | null;
      readonly evidence: MatchEvidence;
    }
  /** Enough of the response was read to forward it: all of it (`isComplete`), or its start. */
  | { readonly kind: 'answer-ready'; readonly isComplete: boolean; readonly now: number }
  /** The last byte of a streamed response was read. */
  | { readonly kind: 'answer-ended'; readonly now: number }
  /** The received response can't be forwarded. */
  | { readonly kind: 'answer-unusable'; readonly why: string }
  /** No further part of a response can arrive. */
  | { readonly kind: 'lost'; readonly why: string }
  | { readonly kind: 'abort' }
);

/** An attempt requests the connection, if it was idle for less than `maxIdleMs`. */
export type AssignEvent = {
  readonly kind: 'assign';
  readonly attempt: number;
  readonly maxIdleMs: number;
  readonly now: number;
};

/** Events of the connection, independent of the attempt that it carries. */
export type SocketEvent =
  /** Bytes that belong to no attempt. */
  { readonly kind: 'surplus' } | { readonly kind: 'half-closed' } | { readonly kind: 'closed' };

/** The events of one connection. */
export type ConnectionEvent = AssignEvent | AttemptEvent | SocketEvent;

/** What the shell performs. */
export type ConnectionEffect =
  | { readonly kind: 'send'; readonly attempt: number }
  /** The connection can't carry the attempt, of which nothing was sent. */
  | { readonly kind: 'unfit'; readonly attempt: number }
  | { readonly kind: 'deliver'; readonly attempt: number; readonly mismatch: string | null }
  | {
      readonly kind: 'fail';
      readonly attempt: number;
      readonly sent: SendProgress;
      readonly why: string;
    }
  /** A streamed response ended early: its reader must not mistake it for a complete one. */
  | { readonly kind: 'cut'; readonly attempt: number }
  | { readonly kind: 'rest' }
  | { readonly kind: 'destroy' };

/** The result of one event: the next state, and the effects in order. */
export type ConnectionStep = {
  readonly state: Connection;
  readonly effects: readonly ConnectionEffect[];
};

const unchanged = (state: Connection): ConnectionStep => ({ state, effects: [] });

const destroyConnection = (
  state: Connection,
  before: readonly ConnectionEffect[] = [],
): ConnectionStep => ({
  state: { ...state, phase: 'closed', carried: null },
  effects: [...before, { kind: 'destroy' }],
});

/** What is reported to an attempt whose connection ends. */
const lossEffectsOf = (carried: CarriedAttempt, why: string): readonly ConnectionEffect[] => {
  const { attempt, answer, sent } = carried;
  if (answer === 'delivered') return [{ kind: 'cut', attempt }];
  return [{ kind: 'fail', attempt, sent: sent === 'nothing' ? 'nothing' : 'maybe', why }];
};

const loseConnection = (state: Connection, why: string): ConnectionStep =>
  destroyConnection(state, state.carried === null ? [] : lossEffectsOf(state.carried, why));

const assign = (state: Connection, event: AssignEvent): ConnectionStep => {
  const { attempt } = event;
  if (state.phase === 'busy') return { state, effects: [{ kind: 'unfit', attempt }] };
  const idleMs = event.now - state.idleSince;
  const isExpired =
    state.attemptCount > 0 && idleMs >= Math.min(event.maxIdleMs, state.idleLimitMs);
  if (state.phase === 'closed' || isExpired)
    return destroyConnection(state, [{ kind: 'unfit', attempt }]);
  const carried: CarriedAttempt = {
    attempt,
    sent: 'nothing',
    answer: 'none',
    keepAliveMs: null,
    mismatch: null,
  };
  return { state: { ...state, phase: 'busy', carried }, effects: [{ kind: 'send', attempt }] };
};

/** Makes the connection idle after the end of a response, or destroys it if it can't be reused. */
const finish = (state: Connection, carried: CarriedAttempt, now: number): ConnectionStep => {
  const isReusable =
    carried.sent === 'written' && carried.keepAliveMs !== null && carried.mismatch === null;
  if (!isReusable) return destroyConnection(state);
  const idle: Connection = {
    ...state,
    phase: 'idle',
    idleSince: now,
    idleLimitMs: carried.keepAliveMs ?? 0,
    carried: null,
  };
  return { state: idle, effects: [{ kind: 'rest' }] };
};

const responseHeadRead = (
  state: Connection,
  carried: CarriedAttempt,
  event: Extract<AttemptEvent, { kind: 'answer-head' }>,
): ConnectionStep => {
  // Before anything was sent, or after a first response, it can't belong to this attempt.
  if (carried.sent === 'nothing') return loseConnection(state, 'unasked');
  if (carried.answer !== 'none') return loseConnection(state, 'surplus');
  const { mismatch, anonymous } = event.evidence;
  const missingId = anonymous && state.attemptCount > 1 ? 'unmarked' : null;
  const next: CarriedAttempt = {
    ...carried,
    answer: 'head',
    keepAliveMs: event.keepAliveMs,
    mismatch: mismatch ?? missingId,
  };
  return unchanged({ ...state, carried: next });
};

const responseReady = (
  state: Connection,
  carried: CarriedAttempt,
  event: Extract<AttemptEvent, { kind: 'answer-ready' }>,
): ConnectionStep => {
  if (carried.answer !== 'head') return unchanged(state);
  const { attempt, mismatch } = carried;
  const delivery: ConnectionEffect = { kind: 'deliver', attempt, mismatch };
  if (!event.isComplete) {
    return {
      state: { ...state, carried: { ...carried, answer: 'delivered' } },
      effects: [delivery],
    };
  }
  const { state: next, effects } = finish(state, carried, event.now);
  return { state: next, effects: [delivery, ...effects] };
};

const handing = (state: Connection, carried: CarriedAttempt): ConnectionStep => {
  if (carried.sent !== 'nothing') return unchanged(state);
  return unchanged({
    ...state,
    attemptCount: state.attemptCount + 1,
    carried: { ...carried, sent: 'handed' },
  });
};

const written = (state: Connection, carried: CarriedAttempt): ConnectionStep => {
  if (carried.sent !== 'handed') return unchanged(state);
  return unchanged({ ...state, carried: { ...carried, sent: 'written' } });
};

const responseEnded = (state: Connection, carried: CarriedAttempt, now: number): ConnectionStep =>
  carried.answer === 'delivered' ? finish(state, carried, now) : unchanged(state);

const handleAttemptEvent = (
  state: Connection,
  carried: CarriedAttempt,
  event: AttemptEvent,
): ConnectionStep => {
  switch (event.kind) {
    case 'handing':
      return handing(state, carried);
    case 'written':
      return written(state, carried);
    case 'answer-head':
      return responseHeadRead(state, carried, event);
    case 'answer-ready':
      return responseReady(state, carried, event);
    case 'answer-ended':
      return responseEnded(state, carried, event.now);
    case 'answer-unusable':
    case 'lost':
      return loseConnection(state, event.why);
    case 'abort':
      return destroyConnection(state);
  }
};

/** The reducer of a connection to an origin. */
export const Connections = {
  /** A connection that was opened at `now`, and verified where the wire format requires it. */
  opened: (now: number): Connection => ({
    phase: 'idle',
    attemptCount: 0,
    idleSince: now,
    idleLimitMs: 0,
    carried: null,
  }),

  /** @example Connections.reduce(Connections.opened(0), { kind: 'closed' }).state.phase // 'closed' */
  reduce: (state: Connection, event: ConnectionEvent): ConnectionStep => {
    if (event.kind === 'assign') return assign(state, event);
    if (state.phase === 'closed') return unchanged(state);
    if (!('attempt' in event))
      return loseConnection(state, event.kind === 'surplus' ? 'surplus' : 'cut');
    const { carried } = state;
    if (carried === null || carried.attempt !== event.attempt) return unchanged(state);
    return handleAttemptEvent(state, carried, event);
  },
} as const;
