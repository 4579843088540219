/**
 * A small world around the reducer of a caller's connection, for a search through all its orders of
 * events: pipelined requests that come whole or not, answers that are ready in any order, bytes
 * that are no request, and a caller who leaves. The HTTP parser is modelled as it is: answers leave
 * in the order of their requests, and nothing follows one that closes the connection.
 */
import {
  ClientConnections,
  type ClientConnection,
  type ClientConnectionEffect,
  type ClientConnectionEvent,
  type ClientConnectionStep,
} from '../client-connection.js';

/** A request as it really went. */
type Request = {
  readonly read: boolean;
  readonly begun: boolean;
  readonly written: 'no' | 'open' | 'closing';
  readonly flushed: boolean;
  readonly left: boolean;
};

type World = {
  readonly state: ClientConnection;
  readonly requests: readonly Request[];
  readonly unreadable: boolean;
  readonly refused: boolean;
  readonly closed: boolean;
  readonly broken: string | null;
};

/** A reducer to search, sound or with a safeguard planted out. */
export type ClientReduce = (
  state: ClientConnection,
  event: ClientConnectionEvent,
) => ClientConnectionStep;

const MOST_REQUESTS = 3;

const firstWorld: World = {
  state: ClientConnections.open,
  requests: [],
  unreadable: false,
  refused: false,
  closed: false,
  broken: null,
};

const unread: Request = {
  read: false,
  begun: false,
  written: 'no',
  flushed: false,
  left: false,
};

const breakWith = (world: World, why: string): World =>
  world.broken === null ? { ...world, broken: why } : world;

const withRequest = (world: World, number: number, part: Partial<Request>): World => ({
  ...world,
  requests: world.requests.map((each, index) =>
    index === number - 1 ? { ...each, ...part } : each,
  ),
});

const begin = (world: World, number: number): World => {
  const behind = world.requests.some(({ written }) => written === 'closing');
  const begun = withRequest(world, number, { begun: true });
  return behind ? breakWith(begun, 'begun behind an answer that closes') : begun;
};

const write = (world: World, number: number, close: boolean): World => {
  const behind = world.requests.slice(number).some(({ read, begun }) => read || begun);
  const written = withRequest(world, number, { written: close ? 'closing' : 'open' });
  return close && behind ? breakWith(written, 'closed before a request that was read') : written;
};

const refuse = (world: World): World => {
  const owed = world.requests.some(({ begun, flushed }) => begun && !flushed);
  const refused = { ...world, refused: true };
  return owed ? breakWith(refused, 'a refusal in the place of an answer') : refused;
};

const perform = (world: World, effect: ClientConnectionEffect): World => {
  switch (effect.kind) {
    case 'begin':
      return begin(world, effect.number);
    case 'write':
      return write(world, effect.number, effect.close);
    case 'refuse':
      return refuse(world);
    case 'left':
      return effect.numbers.reduce(
        (now, number) => withRequest(now, number, { left: true }),
        world,
      );
  }
};

const dispatch = (world: World, reduce: ClientReduce, event: ClientConnectionEvent): World => {
  const { state, effects } = reduce(world.state, event);
  return effects.reduce(perform, { ...world, state });
};

const close = (world: World, reduce: ClientReduce): World => {
  const closed = dispatch({ ...world, closed: true }, reduce, { kind: 'closed' });
  const forgotten = closed.requests.some(({ begun, flushed, left }) => begun && !flushed && !left);
  return forgotten ? breakWith(closed, 'a request whose caller left goes on') : closed;
};

const flush = (world: World, reduce: ClientReduce, number: number): World => {
  const flushed = withRequest(world, number, { flushed: true });
  const after = dispatch(flushed, reduce, { kind: 'answer-flushed', number });
  const ends = world.requests[number - 1]?.written === 'closing';
  return ends ? close(after, reduce) : after;
};

const answersOf = (world: World, reduce: ClientReduce): readonly World[] =>
  world.requests.flatMap((request, index) => {
    const number = index + 1;
    const found: World[] = [];
    if (request.begun && request.written === 'no') {
      for (const wantsClose of [true, false]) {
        found.push(dispatch(world, reduce, { kind: 'answer-ready', number, wantsClose }));
      }
    }
    const earlier = world.requests.slice(0, index).every(({ flushed }) => flushed);
    if (request.written !== 'no' && !request.flushed && earlier) {
      found.push(flush(world, reduce, number));
    }
    return found;
  });

const nextWorlds = (world: World, reduce: ClientReduce): readonly World[] => {
  if (world.closed || world.refused) return [];
  const found: World[] = [...answersOf(world, reduce), close(world, reduce)];
  const { requests, unreadable } = world;
  const last = requests.at(-1);
  const whole = last === undefined || last.read;
  if (!unreadable && whole && requests.length < MOST_REQUESTS) {
    found.push(
      dispatch({ ...world, requests: [...requests, unread] }, reduce, { kind: 'head-read' }),
    );
  }
  if (!unreadable && !whole) {
    const number = requests.length;
    const read = withRequest(world, number, { read: true });
    found.push(dispatch(read, reduce, { kind: 'request-read', number }));
  }
  if (!unreadable) {
    const bad = { ...world, unreadable: true };
    found.push(dispatch(bad, reduce, { kind: 'unreadable', status: 400 }));
  }
  return found;
};

/** A world that can go no further owes nothing. */
const checkEnd = (world: World): string | null => {
  const owed = world.requests.some(
    ({ begun, flushed, left }) => begun && !flushed && !left && !world.closed,
  );
  return owed ? 'an answer is owed for ever' : null;
};

/**
 * Walks every order of events to its end, or until an invariant is broken.
 *
 * @example
 * searchCaller(CallerConnections.reduce).broken // null
 */
export const searchClientConnection = (
  reduce: ClientReduce,
): { readonly worlds: number; readonly broken: string | null } => {
  const seen = new Set<string>();
  const frontier: World[] = [firstWorld];
  for (let world = frontier.pop(); world !== undefined; world = frontier.pop()) {
    const next = nextWorlds(world, reduce);
    const broken = world.broken ?? (next.length === 0 ? checkEnd(world) : null);
    if (broken !== null) return { worlds: seen.size, broken };
    for (const candidate of next) {
      const key = JSON.stringify(candidate);
      if (seen.has(key)) continue;
      seen.add(key);
      frontier.push(candidate);
    }
  }
  return { worlds: seen.size, broken: null };
};
