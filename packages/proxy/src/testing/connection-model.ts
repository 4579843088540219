/**
 * A model of connections to an origin around their reducer, for a search through all orders of
 * events: two requests that must not be executed twice, up to two attempts each, a pool of
 * connections, and an origin that may respond, refuse, stay unresponsive, respond twice, truncate a
 * response, send unparsable bytes, close, reset, or be replaced by another origin at its address.
 */
import { type Attempt, type AttemptResult, decideNextStep } from '@reedyard/attempts';
import {
  type Connection,
  type ConnectionEffect,
  type ConnectionEvent,
  Connections,
  type ConnectionStep,
} from '../connection.js';

/** Bytes that an origin sent and the proxy has not read yet. */
export type Inbound =
  | {
      readonly kind: 'answer';
      readonly attempt: number;
      readonly notRun: boolean;
      /** Whether the response echoes the id of its request. */
      readonly echoesId: boolean;
    }
  | { readonly kind: 'cut-answer'; readonly attempt: number; readonly streamed: boolean }
  | { readonly kind: 'garbage' }
  | { readonly kind: 'fin' }
  | { readonly kind: 'reset' };

/** One connection: the proxy's state of it, and what actually happened on it. */
export type Wire = {
  readonly state: Connection;
  readonly inbound: readonly Inbound[];
  /** Attempts that reached the origin and were not processed yet. */
  readonly atOrigin: readonly number[];
  /** The last response on the connection, which an origin may send again. */
  readonly last: Extract<Inbound, { kind: 'answer' }> | null;
  /** Attempts that the connection carried, in their order. */
  readonly carried: readonly number[];
  readonly originClosed: boolean;
  /**
   * Whether the successor of a replaced origin accepted the connection; it knows nothing of the
   * requests to its predecessor.
   */
  readonly toSuccessor: boolean;
  /** Why the proxy, by what it has seen, must not reuse the connection; null while it may. */
  readonly tainted: string | null;
};

/** What actually happened to an attempt. */
export type ModelAttempt = {
  readonly request: number;
  readonly wire: number;
  /** Whether its first byte was handed to a socket. */
  readonly handed: boolean;
  /** Whether all of it was written. */
  readonly written: boolean;
  readonly answered: boolean;
  /** Whether an origin started to execute it. */
  readonly ran: boolean;
  readonly end: AttemptResult | null;
};

/** The complete state of the model. */
export type Model = {
  readonly wires: readonly Wire[];
  readonly attempts: readonly ModelAttempt[];
  /** How often each request was executed. */
  readonly runs: readonly number[];
  readonly duplicates: number;
  readonly garbage: number;
  readonly replaced: boolean;
  /** The first violated invariant. */
  readonly violation: string | null;
};

/** A reducer to search, correct or with one safeguard removed. */
export type Reduce = (state: Connection, event: ConnectionEvent) => ConnectionStep;

/** What a search covers. */
export type SearchOptions = {
  readonly reduce: Reduce;
  /** Whether a retry of a request that must not be executed twice needs a new connection. */
  readonly retriesOnNewConnection: boolean;
  readonly bounds: SearchBounds;
};

/** The limits of a search. */
export type SearchBounds = {
  readonly depth: number;
  readonly requests: number;
  readonly wires: number;
  readonly duplicates: number;
  readonly garbage: number;
  /** Whether origins truncate responses, close, reset, and are replaced. */
  readonly closures: boolean;
};

const MAX_ATTEMPTS_PER_REQUEST = 2;

const initialModel = ({ requests }: SearchBounds): Model => ({
  wires: [],
  attempts: [],
  runs: Array.from({ length: requests }, () => 0),
  duplicates: 0,
  garbage: 0,
  replaced: false,
  violation: null,
});

const withAt = <T>(list: readonly T[], index: number, part: Partial<T>): readonly T[] =>
  list.map((element, position) => (position === index ? { ...element, ...part } : element));

const recordViolation = (model: Model, violation: string): Model =>
  model.violation === null ? { ...model, violation } : model;

const endAttempt = (model: Model, attempt: number, end: AttemptResult): Model =>
  model.attempts[attempt]?.end === null
    ? { ...model, attempts: withAt(model.attempts, attempt, { end }) }
    : recordViolation(model, `attempt ${attempt} ended twice`);

/** The bytes that are being read, if any: effects are checked against them. */
type Reading = Inbound | null;

const delivered = (
  model: Model,
  effect: Extract<ConnectionEffect, { kind: 'deliver' }>,
  reading: Reading,
): Model => {
  const { attempt, mismatch } = effect;
  if (mismatch !== null)
    return endAttempt(model, attempt, { kind: 'failed', sent: 'maybe', why: mismatch });
  if (reading === null || (reading.kind !== 'answer' && reading.kind !== 'cut-answer')) {
    return recordViolation(model, 'delivered without a response');
  }
  const respondedRequest = model.attempts[reading.attempt]?.request;
  const receivingRequest = model.attempts[attempt]?.request;
  const checked =
    respondedRequest === receivingRequest
      ? model
      : recordViolation(model, 'a response went to another request');
  const notRun = reading.kind === 'answer' && reading.notRun;
  const status = notRun ? 503 : 200;
  const isFalseRefusal = notRun && model.attempts[attempt]?.ran === true;
  const result = isFalseRefusal
    ? recordViolation(checked, 'refused as not executed, but it was executed')
    : checked;
  return endAttempt(result, attempt, {
    kind: 'answered',
    status,
    final: !notRun,
    provablyNotExecuted: notRun,
  });
};

const failed = (model: Model, effect: Extract<ConnectionEffect, { kind: 'fail' }>): Model => {
  const { attempt, sent, why } = effect;
  const isFalseClaim = sent === 'nothing' && model.attempts[attempt]?.handed === true;
  const checked = isFalseClaim
    ? recordViolation(model, 'reported as not sent, but bytes were handed to the socket')
    : model;
  return endAttempt(checked, attempt, { kind: 'failed', sent, why });
};

const perform = (model: Model, wire: number, effect: ConnectionEffect, reading: Reading): Model => {
  switch (effect.kind) {
    case 'deliver':
      return delivered(model, effect, reading);
    case 'fail':
      return failed(model, effect);
    case 'rest': {
      const last = model.attempts[model.wires[wire]?.carried.at(-1) ?? -1];
      const isReusable = last?.written === true && last.answered;
      return isReusable
        ? model
        : markTainted(model, wire, 'its last request was not written or got no response');
    }
    default:
      return model;
  }
};

const markTainted = (model: Model, wire: number, why: string): Model =>
  model.wires[wire]?.tainted === null
    ? { ...model, wires: withAt(model.wires, wire, { tainted: why }) }
    : model;

const dispatch = (
  model: Model,
  { reduce }: SearchOptions,
  wire: number,
  event: ConnectionEvent,
  reading: Reading = null,
): { readonly model: Model; readonly effects: readonly ConnectionEffect[] } => {
  const before = model.wires[wire];
  if (before === undefined) return { model, effects: [] };
  const { state, effects } = reduce(before.state, event);
  const stepped = { ...model, wires: withAt(model.wires, wire, { state }) };
  const after = effects.reduce(
    (current, effect) => perform(current, wire, effect, reading),
    stepped,
  );
  return { model: checkForgotten(after, wire), effects };
};

/** Checks that an attempt which its connection no longer carries has ended. */
const checkForgotten = (model: Model, wire: number): Model => {
  const { state, carried = [] } = model.wires[wire] ?? {};
  const isForgotten = carried.some((attempt) => model.attempts[attempt]?.end === null);
  return state?.carried === null && isForgotten
    ? recordViolation(model, 'an attempt was forgotten without a result')
    : model;
};

const attemptsOf = (model: Model, request: number): readonly Attempt[] =>
  model.attempts
    .filter((attempt) => attempt.request === request)
    .map((attempt, number) => ({
      number,
      to: { kind: 'origin', id: `store/i${number}/0` },
      openedAt: 0,
      timeoutAt: 9,
      result: attempt.end,
    }));

const mayOpen = (model: Model, request: number): boolean => {
  const attempts = attemptsOf(model, request);
  if (attempts.length >= MAX_ATTEMPTS_PER_REQUEST) return false;
  const situation = { safe: false, attempts, now: 0, requestDeadlineAt: 9, hasRetryBudget: true };
  return decideNextStep(situation).kind === 'open';
};

const newWire = (model: Model): Wire => ({
  state: Connections.opened(0),
  inbound: [],
  atOrigin: [],
  last: null,
  carried: [],
  originClosed: false,
  toSuccessor: model.replaced,
  tainted: null,
});

const assign = (
  model: Model,
  options: SearchOptions,
  request: number,
  wire: number,
): Model | null => {
  const attempt = model.attempts.length;
  const event: ConnectionEvent = { kind: 'assign', attempt, maxIdleMs: 10, now: 0 };
  const { model: next, effects } = dispatch(model, options, wire, event);
  if (!effects.some((effect) => effect.kind === 'send')) return null;
  const assignedWire = next.wires[wire];
  if (assignedWire === undefined) return null;
  const opened: ModelAttempt = {
    request,
    wire,
    handed: false,
    written: false,
    answered: false,
    ran: false,
    end: null,
  };
  const carrying = {
    ...next,
    attempts: [...next.attempts, opened],
    wires: withAt(next.wires, wire, { carried: [...assignedWire.carried, attempt] }),
  };
  return assignedWire.tainted === null
    ? carrying
    : recordViolation(carrying, `connection reused although: ${assignedWire.tainted}`);
};

const openings = (model: Model, options: SearchOptions): readonly Model[] => {
  const successors: Model[] = [];
  for (let request = 0; request < model.runs.length; request += 1) {
    // Requests are interchangeable, so they are opened in the order of their numbers.
    if (request > 0 && attemptsOf(model, request - 1).length === 0) continue;
    if (!mayOpen(model, request)) continue;
    const isRetry = attemptsOf(model, request).length > 0;
    model.wires.forEach((wire, index) => {
      if (isRetry && options.retriesOnNewConnection) return;
      if (wire.state.phase !== 'idle') return;
      const next = assign(model, options, request, index);
      if (next !== null) successors.push(next);
    });
    if (model.wires.length >= options.bounds.wires) continue;
    const withNewWire = { ...model, wires: [...model.wires, newWire(model)] };
    const next = assign(withNewWire, options, request, model.wires.length);
    if (next !== null) successors.push(next);
  }
  return successors;
};

const hand = (model: Model, options: SearchOptions, attempt: number, wire: number): Model => {
  const { model: next } = dispatch(model, options, wire, { kind: 'handing', attempt });
  const target = next.wires[wire];
  const atOrigin = target === undefined || target.originClosed ? [] : [...target.atOrigin, attempt];
  return {
    ...next,
    attempts: withAt(next.attempts, attempt, { handed: true }),
    wires: withAt(next.wires, wire, { atOrigin }),
  };
};

const write = (model: Model, options: SearchOptions, attempt: number, wire: number): Model => {
  const { model: next } = dispatch(model, options, wire, { kind: 'written', attempt });
  return { ...next, attempts: withAt(next.attempts, attempt, { written: true }) };
};

const abort = (model: Model, options: SearchOptions, attempt: number, wire: number): Model => {
  const ended = endAttempt(model, attempt, { kind: 'failed', sent: 'maybe', why: 'limit' });
  const { model: next } = dispatch(ended, options, wire, { kind: 'abort', attempt });
  return markTainted(next, wire, 'its request was aborted');
};

/** What the proxy does with attempts in flight, and late events of attempts that have ended. */
const clientMoves = (model: Model, options: SearchOptions): readonly Model[] =>
  model.attempts.flatMap((attempt, index) => {
    const { wire } = attempt;
    const dispatchLate = (event: ConnectionEvent): Model =>
      dispatch(model, options, wire, event).model;
    if (attempt.end !== null) {
      return [
        dispatchLate({ kind: 'lost', attempt: index, why: 'cut' }),
        dispatchLate({ kind: 'written', attempt: index }),
        dispatchLate({ kind: 'abort', attempt: index }),
      ];
    }
    const moves = [abort(model, options, index, wire)];
    if (!attempt.handed) moves.push(hand(model, options, index, wire));
    else if (!attempt.written) moves.push(write(model, options, index, wire));
    return moves;
  });

const enqueue = (model: Model, wire: number, item: Inbound, part: Partial<Wire> = {}): Model => {
  const inbound = [...(model.wires[wire]?.inbound ?? []), item];
  return { ...model, wires: withAt(model.wires, wire, { ...part, inbound }) };
};

const execute = (model: Model, attempt: number): Model => {
  const request = model.attempts[attempt]?.request ?? -1;
  const runs = model.runs.map((count, index) => (index === request ? count + 1 : count));
  const next = { ...model, runs, attempts: withAt(model.attempts, attempt, { ran: true }) };
  if (runs[request] === 2) return recordViolation(next, 'executed twice');
  return provesNotRun(model.attempts[attempt]?.end ?? null)
    ? recordViolation(next, 'refused as not executed, but it was executed')
    : next;
};

const provesNotRun = (end: AttemptResult | null): boolean =>
  end?.kind === 'failed' ? end.sent === 'nothing' : end?.provablyNotExecuted === true;

/** The ways in which an origin can process a request that reached it. */
const originReactions = (
  model: Model,
  { closures }: SearchBounds,
  index: number,
  attempt: number,
): readonly Model[] => {
  const atOrigin = model.wires[index]?.atOrigin.filter((waiting) => waiting !== attempt) ?? [];
  const refusals = [true, false].map((echoesId) => {
    const item = { kind: 'answer', attempt, notRun: true, echoesId } as const;
    return enqueue(model, index, item, { atOrigin, last: item });
  });
  if (model.wires[index]?.toSuccessor === true && model.attempts[attempt]?.wire === index) {
    // The request names the predecessor as its origin, so the successor refuses it.
    return refusals;
  }
  const executed = execute(model, attempt);
  const item = { kind: 'answer', attempt, notRun: false, echoesId: true } as const;
  const streamingModes = closures ? [true, false] : [];
  const cuts = streamingModes.map((streamed) =>
    enqueue(
      executed,
      index,
      { kind: 'cut-answer', attempt, streamed },
      { atOrigin, originClosed: true },
    ),
  );
  const unresponsive = { ...executed, wires: withAt(executed.wires, index, { atOrigin }) };
  return [
    ...refusals,
    enqueue(executed, index, item, { atOrigin, last: item }),
    ...cuts,
    unresponsive,
  ];
};

const originMoves = (model: Model, bounds: SearchBounds): readonly Model[] => {
  const moves = model.wires.flatMap((wire, index) => {
    if (wire.originClosed) return [];
    const next = wire.atOrigin.flatMap((attempt) => [
      ...originReactions(model, bounds, index, attempt),
    ]);
    if (wire.last !== null && model.duplicates < bounds.duplicates) {
      next.push({ ...enqueue(model, index, wire.last), duplicates: model.duplicates + 1 });
    }
    if (model.garbage < bounds.garbage) {
      next.push({ ...enqueue(model, index, { kind: 'garbage' }), garbage: model.garbage + 1 });
    }
    if (!bounds.closures) return next;
    next.push(enqueue(model, index, { kind: 'fin' }, { originClosed: true, atOrigin: [] }));
    next.push(enqueue(model, index, { kind: 'reset' }, { originClosed: true, atOrigin: [] }));
    return next;
  });
  if (!bounds.closures || model.replaced || model.wires.length === 0) return moves;
  const indexedWires = model.wires.map((wire, index) => ({ wire, index }));
  const replaced = indexedWires.reduce<Model>(
    (current, { wire, index }) =>
      wire.originClosed
        ? current
        : enqueue(current, index, { kind: 'reset' }, { originClosed: true, atOrigin: [] }),
    { ...model, replaced: true },
  );
  return [...moves, replaced];
};

/** The head of a response with the evidence that the proxy derives from the request's id. */
const headOf = (
  model: Model,
  attempt: number,
  respondedAttempt: number,
  echoesId: boolean,
): Extract<ConnectionEvent, { kind: 'answer-head' }> => {
  const isSameRequest =
    model.attempts[respondedAttempt]?.request === model.attempts[attempt]?.request;
  const mismatch = echoesId && !isSameRequest ? 'foreign' : null;
  return {
    kind: 'answer-head',
    attempt,
    keepAliveMs: 10,
    evidence: { mismatch, anonymous: !echoesId },
  };
};

const readAnswer = (
  model: Model,
  options: SearchOptions,
  wire: number,
  item: Extract<Inbound, { kind: 'answer' | 'cut-answer' }>,
  attempt: number,
): Model => {
  const echoesId = item.kind === 'cut-answer' || item.echoesId;
  const head = headOf(model, attempt, item.attempt, echoesId);
  let current = dispatch(model, options, wire, head, item).model;
  const isComplete = item.kind === 'answer';
  if (isComplete || item.streamed) {
    const answered =
      isComplete && model.attempts[item.attempt]?.request === model.attempts[attempt]?.request;
    current = { ...current, attempts: withAt(current.attempts, attempt, { answered }) };
    current = dispatch(
      current,
      options,
      wire,
      { kind: 'answer-ready', attempt, isComplete, now: 0 },
      item,
    ).model;
  }
  if (isComplete) return current;
  const { effects, model: after } = dispatch(
    current,
    options,
    wire,
    { kind: 'lost', attempt, why: 'cut' },
    item,
  );
  const isReported = effects.some((effect) => effect.kind === (item.streamed ? 'cut' : 'fail'));
  const hasFailed = current.attempts[attempt]?.end?.kind === 'failed';
  const checked =
    isReported || hasFailed ? after : recordViolation(after, 'a truncated response looks complete');
  return markTainted(checked, wire, 'a response was truncated');
};

const read = (model: Model, options: SearchOptions, index: number): Model => {
  const wire = model.wires[index];
  const [item, ...inbound] = wire?.inbound ?? [];
  if (wire === undefined || item === undefined) return model;
  const rest = { ...model, wires: withAt(model.wires, index, { inbound }) };
  const { carried } = wire.state;
  const awaitsResponse =
    wire.state.phase === 'busy' && carried !== null && carried.sent !== 'nothing';
  switch (item.kind) {
    case 'fin':
      return markTainted(
        dispatch(rest, options, index, { kind: 'half-closed' }).model,
        index,
        'half-closed',
      );
    case 'reset':
      return markTainted(dispatch(rest, options, index, { kind: 'closed' }).model, index, 'reset');
    case 'garbage': {
      const event: ConnectionEvent = awaitsResponse
        ? { kind: 'lost', attempt: carried.attempt, why: 'cut' }
        : { kind: 'surplus' };
      return markTainted(dispatch(rest, options, index, event).model, index, 'unparsable bytes');
    }
    default:
      return awaitsResponse
        ? readAnswer(rest, options, index, item, carried.attempt)
        : markTainted(dispatch(rest, options, index, { kind: 'surplus' }).model, index, 'surplus');
  }
};

/** All states that can follow. */
const nextModels = (model: Model, options: SearchOptions): readonly Model[] => [
  ...openings(model, options),
  ...clientMoves(model, options),
  ...originMoves(model, options.bounds),
  ...model.wires.flatMap(({ inbound }, index) =>
    inbound.length === 0 ? [] : [read(model, options, index)],
  ),
];

/** The result of a search: the number of distinct states, and the violated invariant if any. */
export type SearchResult = { readonly stateCount: number; readonly violation: string | null };

/**
 * Searches all orders of events up to a depth, or until an invariant is violated.
 *
 * @example
 * search({ reduce: Connections.reduce, retriesOnNewConnection: true, bounds }).violation // null
 */
export const search = (options: SearchOptions): SearchResult => {
  const first = initialModel(options.bounds);
  const seen = new Set<string>([JSON.stringify(first)]);
  let frontier: readonly Model[] = [first];
  for (let step = 0; step < options.bounds.depth && frontier.length > 0; step += 1) {
    const next: Model[] = [];
    for (const model of frontier) {
      for (const candidate of nextModels(model, options)) {
        if (candidate.violation !== null)
          return { stateCount: seen.size, violation: candidate.violation };
        const key = JSON.stringify(candidate);
        if (seen.has(key)) continue;
        seen.add(key);
        next.push(candidate);
      }
    }
    frontier = next;
  }
  return { stateCount: seen.size, violation: null };
};
