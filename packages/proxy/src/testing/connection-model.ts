/**
 * A small world around the connection reducer, for a search through all its orders of events: two
 * requests that may not run twice, up to two attempts each, a pool of connections, and an origin
 * that may answer, refuse, stay silent, answer twice, cut an answer short, send bytes that are no
 * answer, close, reset, or be replaced by another one at its address.
 */
import { type Attempt, type AttemptResult, decideNextStep } from '@reedyard/attempts';
import {
  type Connection,
  type ConnectionEffect,
  type ConnectionEvent,
  Connections,
  type ConnectionStep,
} from '../connection.js';

/** What an origin put on the wire and the proxy has not read yet. */
export type Inbound =
  | {
      readonly kind: 'answer';
      readonly attempt: number;
      readonly notRun: boolean;
      readonly marked: boolean;
    }
  | { readonly kind: 'cut-answer'; readonly attempt: number; readonly streamed: boolean }
  | { readonly kind: 'garbage' }
  | { readonly kind: 'fin' }
  | { readonly kind: 'reset' };

/** One connection as it really is. */
export type Wire = {
  readonly state: Connection;
  readonly inbound: readonly Inbound[];
  /** Attempts that reached the origin and were not dealt with yet. */
  readonly atOrigin: readonly number[];
  /** The last answer that was put on it, which an origin may send again. */
  readonly last: Extract<Inbound, { kind: 'answer' }> | null;
  /** Attempts that it carried, in their order. */
  readonly carried: readonly number[];
  readonly originClosed: boolean;
  /** Whose origin took it: one that was replaced since knows nothing of the old one's requests. */
  readonly toSuccessor: boolean;
  /** Why it must carry nothing more, as far as the proxy can have seen; null while it may. */
  readonly tainted: string | null;
};

/** An attempt as it really went. */
export type ModelAttempt = {
  readonly request: number;
  readonly wire: number;
  /** Whether a byte of it was handed to a socket, and all of it. */
  readonly handed: boolean;
  readonly written: boolean;
  readonly answered: boolean;
  /** Whether an origin began to work on it. */
  readonly ran: boolean;
  readonly end: AttemptResult | null;
};

/** The whole world. */
export type World = {
  readonly wires: readonly Wire[];
  readonly attempts: readonly ModelAttempt[];
  /** How often each request ran. */
  readonly runs: readonly number[];
  readonly duplicates: number;
  readonly garbage: number;
  readonly replaced: boolean;
  /** The first broken invariant. */
  readonly broken: string | null;
};

/** A reducer to search, sound or with a safeguard planted out. */
export type Reduce = (state: Connection, event: ConnectionEvent) => ConnectionStep;

/** What is searched. */
export type SearchOptions = {
  readonly reduce: Reduce;
  /** Whether a second attempt of what may not run twice goes over a new connection only. */
  readonly freshRepeats: boolean;
  readonly bounds: SearchBounds;
};

/** How much may happen in a search. */
export type SearchBounds = {
  readonly depth: number;
  readonly requests: number;
  readonly wires: number;
  readonly duplicates: number;
  readonly garbage: number;
  /** Whether origins cut answers short, close, reset, and are replaced. */
  readonly closures: boolean;
};

const MOST_ATTEMPTS_EACH = 2;

const firstWorld = ({ requests }: SearchBounds): World => ({
  wires: [],
  attempts: [],
  runs: Array.from({ length: requests }, () => 0),
  duplicates: 0,
  garbage: 0,
  replaced: false,
  broken: null,
});

const withAt = <T>(list: readonly T[], index: number, part: Partial<T>): readonly T[] =>
  list.map((each, at) => (at === index ? { ...each, ...part } : each));

const breakWith = (world: World, why: string): World =>
  world.broken === null ? { ...world, broken: why } : world;

const endAttempt = (world: World, attempt: number, end: AttemptResult): World =>
  world.attempts[attempt]?.end === null
    ? { ...world, attempts: withAt(world.attempts, attempt, { end }) }
    : breakWith(world, `attempt ${attempt} ended twice`);

/** The answer that is being read, if any: effects are judged by it. */
type Reading = Inbound | null;

const delivered = (
  world: World,
  effect: Extract<ConnectionEffect, { kind: 'deliver' }>,
  reading: Reading,
): World => {
  const { attempt, unsound } = effect;
  if (unsound !== null)
    return endAttempt(world, attempt, { kind: 'failed', sent: 'maybe', why: unsound });
  if (reading === null || (reading.kind !== 'answer' && reading.kind !== 'cut-answer')) {
    return breakWith(world, 'delivered without an answer');
  }
  const of = world.attempts[reading.attempt]?.request;
  const to = world.attempts[attempt]?.request;
  const checked = of === to ? world : breakWith(world, 'an answer went to another request');
  const notRun = reading.kind === 'answer' && reading.notRun;
  const status = notRun ? 503 : 200;
  const refused = notRun && world.attempts[attempt]?.ran === true;
  const honest = refused ? breakWith(checked, 'refused as not run, but it ran') : checked;
  return endAttempt(honest, attempt, {
    kind: 'answered',
    status,
    final: !notRun,
    provablyNotExecuted: notRun,
  });
};

const failed = (world: World, effect: Extract<ConnectionEffect, { kind: 'fail' }>): World => {
  const { attempt, sent, why } = effect;
  const lied = sent === 'nothing' && world.attempts[attempt]?.handed === true;
  const checked = lied ? breakWith(world, 'nothing sent was claimed of what was handed on') : world;
  return endAttempt(checked, attempt, { kind: 'failed', sent, why });
};

const perform = (world: World, wire: number, effect: ConnectionEffect, reading: Reading): World => {
  switch (effect.kind) {
    case 'deliver':
      return delivered(world, effect, reading);
    case 'fail':
      return failed(world, effect);
    case 'rest': {
      const last = world.attempts[world.wires[wire]?.carried.at(-1) ?? -1];
      const clean = last?.written === true && last.answered;
      return clean ? world : taint(world, wire, 'its last request was not written or answered');
    }
    default:
      return world;
  }
};

const taint = (world: World, wire: number, why: string): World =>
  world.wires[wire]?.tainted === null
    ? { ...world, wires: withAt(world.wires, wire, { tainted: why }) }
    : world;

const dispatch = (
  world: World,
  { reduce }: SearchOptions,
  wire: number,
  event: ConnectionEvent,
  reading: Reading = null,
): { readonly world: World; readonly effects: readonly ConnectionEffect[] } => {
  const before = world.wires[wire];
  if (before === undefined) return { world, effects: [] };
  const { state, effects } = reduce(before.state, event);
  const stepped = { ...world, wires: withAt(world.wires, wire, { state }) };
  const after = effects.reduce((now, effect) => perform(now, wire, effect, reading), stepped);
  return { world: checkForgotten(after, wire), effects };
};

/** An attempt that its connection carries no more must have ended. */
const checkForgotten = (world: World, wire: number): World => {
  const { state, carried = [] } = world.wires[wire] ?? {};
  const forgotten = carried.some((attempt) => world.attempts[attempt]?.end === null);
  return state?.carried === null && forgotten
    ? breakWith(world, 'an attempt was forgotten')
    : world;
};

const attemptsOf = (world: World, request: number): readonly Attempt[] =>
  world.attempts
    .filter((attempt) => attempt.request === request)
    .map((attempt, number) => ({
      number,
      to: { kind: 'origin', id: `store/i${number}/0` },
      openedAt: 0,
      timeoutAt: 9,
      result: attempt.end,
    }));

const mayOpen = (world: World, request: number): boolean => {
  const attempts = attemptsOf(world, request);
  if (attempts.length >= MOST_ATTEMPTS_EACH) return false;
  const ledger = { safe: false, attempts, now: 0, requestDeadlineAt: 9, hasRetryBudget: true };
  return decideNextStep(ledger).kind === 'open';
};

const freshWire = (world: World): Wire => ({
  state: Connections.opened(0),
  inbound: [],
  atOrigin: [],
  last: null,
  carried: [],
  originClosed: false,
  toSuccessor: world.replaced,
  tainted: null,
});

const assign = (
  world: World,
  options: SearchOptions,
  request: number,
  wire: number,
): World | null => {
  const attempt = world.attempts.length;
  const event: ConnectionEvent = { kind: 'assign', attempt, maxIdleMs: 10, now: 0 };
  const { world: next, effects } = dispatch(world, options, wire, event);
  if (!effects.some((effect) => effect.kind === 'send')) return null;
  const used = next.wires[wire];
  if (used === undefined) return null;
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
    wires: withAt(next.wires, wire, { carried: [...used.carried, attempt] }),
  };
  return used.tainted === null ? carrying : breakWith(carrying, `reused although: ${used.tainted}`);
};

const openings = (world: World, options: SearchOptions): readonly World[] => {
  const found: World[] = [];
  for (let request = 0; request < world.runs.length; request += 1) {
    // Requests are alike: the first to come is the first.
    if (request > 0 && attemptsOf(world, request - 1).length === 0) continue;
    if (!mayOpen(world, request)) continue;
    const repeat = attemptsOf(world, request).length > 0;
    world.wires.forEach((wire, index) => {
      if (repeat && options.freshRepeats) return;
      if (wire.state.phase !== 'idle') return;
      const next = assign(world, options, request, index);
      if (next !== null) found.push(next);
    });
    if (world.wires.length >= options.bounds.wires) continue;
    const wider = { ...world, wires: [...world.wires, freshWire(world)] };
    const next = assign(wider, options, request, world.wires.length);
    if (next !== null) found.push(next);
  }
  return found;
};

const hand = (world: World, options: SearchOptions, attempt: number, wire: number): World => {
  const { world: next } = dispatch(world, options, wire, { kind: 'handing', attempt });
  const to = next.wires[wire];
  const reached = to === undefined || to.originClosed ? [] : [...to.atOrigin, attempt];
  return {
    ...next,
    attempts: withAt(next.attempts, attempt, { handed: true }),
    wires: withAt(next.wires, wire, { atOrigin: reached }),
  };
};

const write = (world: World, options: SearchOptions, attempt: number, wire: number): World => {
  const { world: next } = dispatch(world, options, wire, { kind: 'written', attempt });
  return { ...next, attempts: withAt(next.attempts, attempt, { written: true }) };
};

const abort = (world: World, options: SearchOptions, attempt: number, wire: number): World => {
  const ended = endAttempt(world, attempt, { kind: 'failed', sent: 'maybe', why: 'limit' });
  const { world: next } = dispatch(ended, options, wire, { kind: 'abort', attempt });
  return taint(next, wire, 'its request was aborted');
};

/** What the proxy does on its own with attempts under way, and events that come late. */
const clientMoves = (world: World, options: SearchOptions): readonly World[] =>
  world.attempts.flatMap((attempt, index) => {
    const { wire } = attempt;
    const late = (event: ConnectionEvent): World => dispatch(world, options, wire, event).world;
    if (attempt.end !== null) {
      return [
        late({ kind: 'lost', attempt: index, why: 'cut' }),
        late({ kind: 'written', attempt: index }),
        late({ kind: 'abort', attempt: index }),
      ];
    }
    const moves = [abort(world, options, index, wire)];
    if (!attempt.handed) moves.push(hand(world, options, index, wire));
    else if (!attempt.written) moves.push(write(world, options, index, wire));
    return moves;
  });

const put = (world: World, wire: number, item: Inbound, part: Partial<Wire> = {}): World => {
  const inbound = [...(world.wires[wire]?.inbound ?? []), item];
  return { ...world, wires: withAt(world.wires, wire, { ...part, inbound }) };
};

const ran = (world: World, attempt: number): World => {
  const request = world.attempts[attempt]?.request ?? -1;
  const runs = world.runs.map((count, index) => (index === request ? count + 1 : count));
  const next = { ...world, runs, attempts: withAt(world.attempts, attempt, { ran: true }) };
  if (runs[request] === 2) return breakWith(next, 'ran twice');
  return provesNotRun(world.attempts[attempt]?.end ?? null)
    ? breakWith(next, 'refused as not run, but it ran')
    : next;
};

const provesNotRun = (end: AttemptResult | null): boolean =>
  end?.kind === 'failed' ? end.sent === 'nothing' : end?.provablyNotExecuted === true;

/** What an origin does with a request that reached it. */
const dealings = (
  world: World,
  { closures }: SearchBounds,
  index: number,
  attempt: number,
): readonly World[] => {
  const atOrigin = world.wires[index]?.atOrigin.filter((each) => each !== attempt) ?? [];
  const refusals = [true, false].map((marked) => {
    const item = { kind: 'answer', attempt, notRun: true, marked } as const;
    return put(world, index, item, { atOrigin, last: item });
  });
  if (world.wires[index]?.toSuccessor === true && world.attempts[attempt]?.wire === index) {
    // It was meant for the one before: the successor refuses it.
    return refusals;
  }
  const run = ran(world, attempt);
  const item = { kind: 'answer', attempt, notRun: false, marked: true } as const;
  const kinds = closures ? [true, false] : [];
  const cuts = kinds.map((streamed) =>
    put(run, index, { kind: 'cut-answer', attempt, streamed }, { atOrigin, originClosed: true }),
  );
  const silent = { ...run, wires: withAt(run.wires, index, { atOrigin }) };
  return [...refusals, put(run, index, item, { atOrigin, last: item }), ...cuts, silent];
};

const originMoves = (world: World, bounds: SearchBounds): readonly World[] => {
  const moves = world.wires.flatMap((wire, index) => {
    if (wire.originClosed) return [];
    const found = wire.atOrigin.flatMap((attempt) => [...dealings(world, bounds, index, attempt)]);
    if (wire.last !== null && world.duplicates < bounds.duplicates) {
      found.push({ ...put(world, index, wire.last), duplicates: world.duplicates + 1 });
    }
    if (world.garbage < bounds.garbage) {
      found.push({ ...put(world, index, { kind: 'garbage' }), garbage: world.garbage + 1 });
    }
    if (!bounds.closures) return found;
    found.push(put(world, index, { kind: 'fin' }, { originClosed: true, atOrigin: [] }));
    found.push(put(world, index, { kind: 'reset' }, { originClosed: true, atOrigin: [] }));
    return found;
  });
  if (!bounds.closures || world.replaced || world.wires.length === 0) return moves;
  const closed = world.wires.map((wire, index) => ({ wire, index }));
  const replaced = closed.reduce<World>(
    (now, { wire, index }) =>
      wire.originClosed
        ? now
        : put(now, index, { kind: 'reset' }, { originClosed: true, atOrigin: [] }),
    { ...world, replaced: true },
  );
  return [...moves, replaced];
};

/** The head of an answer, as the proxy's dialect judges it by the request's id. */
const headOf = (
  world: World,
  attempt: number,
  of: number,
  marked: boolean,
): Extract<ConnectionEvent, { kind: 'answer-head' }> => {
  const same = world.attempts[of]?.request === world.attempts[attempt]?.request;
  const unsound = marked && !same ? 'foreign' : null;
  return { kind: 'answer-head', attempt, restMs: 10, evidence: { unsound, anonymous: !marked } };
};

const readAnswer = (
  world: World,
  options: SearchOptions,
  wire: number,
  item: Extract<Inbound, { kind: 'answer' | 'cut-answer' }>,
  attempt: number,
): World => {
  const marked = item.kind === 'cut-answer' || item.marked;
  const head = headOf(world, attempt, item.attempt, marked);
  let now = dispatch(world, options, wire, head, item).world;
  const whole = item.kind === 'answer';
  if (whole || item.streamed) {
    const answered =
      whole && world.attempts[item.attempt]?.request === world.attempts[attempt]?.request;
    now = { ...now, attempts: withAt(now.attempts, attempt, { answered }) };
    now = dispatch(
      now,
      options,
      wire,
      { kind: 'answer-ready', attempt, whole, now: 0 },
      item,
    ).world;
  }
  if (whole) return now;
  const { effects, world: after } = dispatch(
    now,
    options,
    wire,
    { kind: 'lost', attempt, why: 'cut' },
    item,
  );
  const told = effects.some((effect) => effect.kind === (item.streamed ? 'cut' : 'fail'));
  const known = now.attempts[attempt]?.end?.kind === 'failed';
  const checked = told || known ? after : breakWith(after, 'a cut answer looks whole');
  return taint(checked, wire, 'an answer was cut short');
};

const read = (world: World, options: SearchOptions, index: number): World => {
  const wire = world.wires[index];
  const [item, ...inbound] = wire?.inbound ?? [];
  if (wire === undefined || item === undefined) return world;
  const rest = { ...world, wires: withAt(world.wires, index, { inbound }) };
  const { carried } = wire.state;
  const awaited = wire.state.phase === 'busy' && carried !== null && carried.sent !== 'nothing';
  switch (item.kind) {
    case 'fin':
      return taint(
        dispatch(rest, options, index, { kind: 'half-closed' }).world,
        index,
        'half-closed',
      );
    case 'reset':
      return taint(dispatch(rest, options, index, { kind: 'closed' }).world, index, 'reset');
    case 'garbage': {
      const event: ConnectionEvent = awaited
        ? { kind: 'lost', attempt: carried.attempt, why: 'cut' }
        : { kind: 'surplus' };
      return taint(dispatch(rest, options, index, event).world, index, 'bytes that are no answer');
    }
    default:
      return awaited
        ? readAnswer(rest, options, index, item, carried.attempt)
        : taint(dispatch(rest, options, index, { kind: 'surplus' }).world, index, 'surplus');
  }
};

/** All worlds that may come next. */
const nextWorlds = (world: World, options: SearchOptions): readonly World[] => [
  ...openings(world, options),
  ...clientMoves(world, options),
  ...originMoves(world, options.bounds),
  ...world.wires.flatMap(({ inbound }, index) =>
    inbound.length === 0 ? [] : [read(world, options, index)],
  ),
];

/** What a search found. */
export type SearchResult = { readonly worlds: number; readonly broken: string | null };

/**
 * Walks every order of events up to a depth, or until an invariant is broken.
 *
 * @example
 * search({ reduce: Connections.reduce, freshRepeats: true, bounds }).broken // null
 */
export const search = (options: SearchOptions): SearchResult => {
  const first = firstWorld(options.bounds);
  const seen = new Set<string>([JSON.stringify(first)]);
  let frontier: readonly World[] = [first];
  for (let step = 0; step < options.bounds.depth && frontier.length > 0; step += 1) {
    const next: World[] = [];
    for (const world of frontier) {
      for (const candidate of nextWorlds(world, options)) {
        if (candidate.broken !== null) return { worlds: seen.size, broken: candidate.broken };
        const key = JSON.stringify(candidate);
        if (seen.has(key)) continue;
        seen.add(key);
        next.push(candidate);
      }
    }
    frontier = next;
  }
  return { worlds: seen.size, broken: null };
};
