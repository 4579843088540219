/**
 * Decides about one connection to an origin: which attempt it carries, how much of that attempt may
 * have left this process, whose an answer is, and whether the connection may carry another attempt.
 * The shell (conns.ts) reports what it sees on the socket and performs the effects.
 *
 * Guarantees:
 * - An answer is delivered to the attempt that the connection carries, or to nobody.
 * - "Nothing was sent" is said only before the first byte of the attempt was handed to the socket.
 * - It rests for another attempt only after the last one was written whole and answered whole by an
 *   answer that was its own, with no byte beyond it, and while neither end has begun to close.
 */
import type { SendProgress } from '@reedyard/attempts';

/** What ties an answer to the attempt under way. */
export type MatchEvidence = {
  /** Why it can't be this attempt's answer; null where nothing speaks against it. */
  readonly unsound: string | null;
  /** It names no request: nothing but its place on the connection ties it to the attempt. */
  readonly anonymous: boolean;
};

/** The attempt that a connection carries. */
type Carried = {
  readonly attempt: number;
  /** `handed`: bytes may have been sent; `written`: all of it was handed to the system. */
  readonly sent: 'nothing' | 'handed' | 'written';
  readonly answer: 'none' | 'head' | 'delivered';
  /** ms that the other end lets the connection rest; null where it closes it. */
  readonly restMs: number | null;
  readonly unsound: string | null;
};

/** What is known of one connection to an origin. */
export type Connection = {
  readonly phase: 'idle' | 'busy' | 'closed';
  /** Attempts that were ever handed to it. */
  readonly attemptCount: number;
  readonly idleSince: number;
  readonly idleLimitMs: number;
  readonly carried: Carried | null;
};

/** What happens to the attempt that a connection carries; ignored once it carries another one. */
export type AttemptEvent = { readonly attempt: number } & (
  | /** The first byte of the attempt is about to be handed to the socket. */
    { readonly kind: 'handing' }
  | { readonly kind: 'written' }
  | {
      readonly kind: 'answer-head';
      readonly restMs: number | null;
      readonly evidence: MatchEvidence;
    }
  /** Enough of the answer is there to pass it on: all of it (`whole`), or its begin. */
  | { readonly kind: 'answer-ready'; readonly whole: boolean; readonly now: number }
  /** The last byte of an answer that was passed on as it came. */
  | { readonly kind: 'answer-ended'; readonly now: number }
  /** What came can't be passed on as an answer. */
  | { readonly kind: 'answer-unusable'; readonly why: string }
  /** No more of an answer can come. */
  | { readonly kind: 'lost'; readonly why: string }
  | { readonly kind: 'abort' }
);

/** An attempt wants the connection, and takes one that rested for up to `mostIdleMs`. */
export type AssignEvent = {
  readonly kind: 'assign';
  readonly attempt: number;
  readonly maxIdleMs: number;
  readonly now: number;
};

/** What happens to the connection whichever attempt it carries. */
export type SocketEvent =
  /** Bytes that belong to no attempt. */
  { readonly kind: 'surplus' } | { readonly kind: 'half-closed' } | { readonly kind: 'closed' };

/** What happens to one connection. */
export type ConnectionEvent = AssignEvent | AttemptEvent | SocketEvent;

/** What the shell has to do. */
export type ConnectionEffect =
  | { readonly kind: 'send'; readonly attempt: number }
  /** The connection is not fit for the attempt, of which nothing was sent. */
  | { readonly kind: 'unfit'; readonly attempt: number }
  | { readonly kind: 'deliver'; readonly attempt: number; readonly unsound: string | null }
  | {
      readonly kind: 'fail';
      readonly attempt: number;
      readonly sent: SendProgress;
      readonly why: string;
    }
  /** An answer that was passed on as it came ended early: its reader must not take it for whole. */
  | { readonly kind: 'cut'; readonly attempt: number }
  | { readonly kind: 'rest' }
  | { readonly kind: 'destroy' };

/** A step of the connection. */
export type ConnectionStep = {
  readonly state: Connection;
  readonly effects: readonly ConnectionEffect[];
};

const unchanged = (state: Connection): ConnectionStep => ({ state, effects: [] });

const destroyed = (
  state: Connection,
  before: readonly ConnectionEffect[] = [],
): ConnectionStep => ({
  state: { ...state, phase: 'closed', carried: null },
  effects: [...before, { kind: 'destroy' }],
});

/** What an attempt learns of a connection that ends under it. */
const lossOf = (carried: Carried, why: string): readonly ConnectionEffect[] => {
  const { attempt, answer, sent } = carried;
  if (answer === 'delivered') return [{ kind: 'cut', attempt }];
  return [{ kind: 'fail', attempt, sent: sent === 'nothing' ? 'nothing' : 'maybe', why }];
};

const lost = (state: Connection, why: string): ConnectionStep =>
  destroyed(state, state.carried === null ? [] : lossOf(state.carried, why));

const assign = (state: Connection, event: AssignEvent): ConnectionStep => {
  const { attempt } = event;
  if (state.phase === 'busy') return { state, effects: [{ kind: 'unfit', attempt }] };
  const rested = event.now - state.idleSince;
  const stale = state.attemptCount > 0 && rested >= Math.min(event.maxIdleMs, state.idleLimitMs);
  if (state.phase === 'closed' || stale) return destroyed(state, [{ kind: 'unfit', attempt }]);
  const carried: Carried = {
    attempt,
    sent: 'nothing',
    answer: 'none',
    restMs: null,
    unsound: null,
  };
  return { state: { ...state, phase: 'busy', carried }, effects: [{ kind: 'send', attempt }] };
};

/** After an answer that ended: the connection rests, or goes. */
const finish = (state: Connection, carried: Carried, now: number): ConnectionStep => {
  const fit = carried.sent === 'written' && carried.restMs !== null && carried.unsound === null;
  if (!fit) return destroyed(state);
  const rested: Connection = {
    ...state,
    phase: 'idle',
    idleSince: now,
    idleLimitMs: carried.restMs ?? 0,
    carried: null,
  };
  return { state: rested, effects: [{ kind: 'rest' }] };
};

const answerHead = (
  state: Connection,
  carried: Carried,
  event: Extract<AttemptEvent, { kind: 'answer-head' }>,
): ConnectionStep => {
  // It can only be the answer to something else where nothing was sent, or where it is the second.
  if (carried.sent === 'nothing') return lost(state, 'unasked');
  if (carried.answer !== 'none') return lost(state, 'surplus');
  const { unsound, anonymous } = event.evidence;
  const doubt = anonymous && state.attemptCount > 1 ? 'unmarked' : null;
  const next: Carried = {
    ...carried,
    answer: 'head',
    restMs: event.restMs,
    unsound: unsound ?? doubt,
  };
  return unchanged({ ...state, carried: next });
};

const answerReady = (
  state: Connection,
  carried: Carried,
  event: Extract<AttemptEvent, { kind: 'answer-ready' }>,
): ConnectionStep => {
  if (carried.answer !== 'head') return unchanged(state);
  const { attempt, unsound } = carried;
  const delivered: ConnectionEffect = { kind: 'deliver', attempt, unsound };
  if (!event.whole) {
    return {
      state: { ...state, carried: { ...carried, answer: 'delivered' } },
      effects: [delivered],
    };
  }
  const { state: next, effects } = finish(state, carried, event.now);
  return { state: next, effects: [delivered, ...effects] };
};

const handing = (state: Connection, carried: Carried): ConnectionStep => {
  if (carried.sent !== 'nothing') return unchanged(state);
  return unchanged({
    ...state,
    attemptCount: state.attemptCount + 1,
    carried: { ...carried, sent: 'handed' },
  });
};

const written = (state: Connection, carried: Carried): ConnectionStep => {
  if (carried.sent !== 'handed') return unchanged(state);
  return unchanged({ ...state, carried: { ...carried, sent: 'written' } });
};

const answerEnded = (state: Connection, carried: Carried, now: number): ConnectionStep =>
  carried.answer === 'delivered' ? finish(state, carried, now) : unchanged(state);

const onAttempt = (state: Connection, carried: Carried, event: AttemptEvent): ConnectionStep => {
  switch (event.kind) {
    case 'handing':
      return handing(state, carried);
    case 'written':
      return written(state, carried);
    case 'answer-head':
      return answerHead(state, carried, event);
    case 'answer-ready':
      return answerReady(state, carried, event);
    case 'answer-ended':
      return answerEnded(state, carried, event.now);
    case 'answer-unusable':
    case 'lost':
      return lost(state, event.why);
    case 'abort':
      return destroyed(state);
  }
};

/** The reducer of a connection to an origin. */
export const Connections = {
  /** A connection that was opened (and proved, where origins prove who they are) at `now`. */
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
    if (!('attempt' in event)) return lost(state, event.kind === 'surplus' ? 'surplus' : 'cut');
    const { carried } = state;
    if (carried === null || carried.attempt !== event.attempt) return unchanged(state);
    return onAttempt(state, carried, event);
  },
} as const;
