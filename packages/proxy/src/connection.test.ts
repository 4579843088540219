import test from 'ava';
import { Connections, type Connection, type ConnectionEvent } from './connection.js';
import { search, type Reduce, type SearchBounds } from './testing/connection-model.js';

/** Everything may happen. */
const wide: SearchBounds = {
  depth: 8,
  requests: 2,
  wires: 2,
  duplicates: 1,
  garbage: 1,
  closures: true,
};
/** Answers, refusals, silence, surplus and aborts alone, but further. */
const deep: SearchBounds = { ...wide, depth: 13, garbage: 0, closures: false };
/** The same for one request over one connection, to its end. */
const single: SearchBounds = { ...deep, depth: 20, requests: 1, duplicates: 2 };

for (const [name, bounds] of Object.entries({ wide, deep, single })) {
  test(`every order of send, silence, reset, close, late and surplus answers, abort, reuse and restart keeps the rules: ${name}`, (t) => {
    const { broken, worlds } = search({ reduce: Connections.reduce, freshRepeats: true, bounds });
    t.log(`${worlds} worlds`);
    t.is(broken, null);
  });
}

const rested = (state: Connection): Connection => ({
  ...state,
  phase: 'idle',
  idleSince: 0,
  idleLimitMs: 10,
  carried: null,
});

/** Leaves a connection at rest where the sound reducer gives it up. */
const keepOn =
  (kind: ConnectionEvent['kind']): Reduce =>
  (state, event) => {
    const step = Connections.reduce(state, event);
    const givenUp =
      event.kind === kind && step.state.phase === 'closed' && state.phase !== 'closed';
    return givenUp ? { ...step, state: rested(step.state) } : step;
  };

const believing =
  (part: { readonly unsound?: null; readonly anonymous?: false }): Reduce =>
  (state, event) =>
    Connections.reduce(
      state,
      event.kind === 'answer-head' ? { ...event, evidence: { ...event.evidence, ...part } } : event,
    );

/** Each safeguard planted out, and the invariant that breaks without it. */
const plants: Readonly<Record<string, { readonly reduce: Reduce; readonly breaks: RegExp }>> = {
  'a foreign answer is believed': {
    reduce: believing({ unsound: null }),
    breaks: /another request|ran twice/,
  },
  'an unmarked answer is believed on any connection': {
    reduce: believing({ anonymous: false }),
    breaks: /another request|ran twice/,
  },
  'a connection is used on after an abort': { reduce: keepOn('abort'), breaks: /reused/ },
  'a connection is used on after surplus bytes': { reduce: keepOn('surplus'), breaks: /reused/ },
  'a connection is used on after a half-close': { reduce: keepOn('half-closed'), breaks: /reused/ },
  'a connection is used on after a reset': { reduce: keepOn('closed'), breaks: /reused/ },
  'a connection is used on after a lost answer': { reduce: keepOn('lost'), breaks: /reused/ },
  'a connection is used on before its request was written': {
    reduce: (state, event) => {
      if (event.kind !== 'answer-ready') return Connections.reduce(state, event);
      const { attempt } = event;
      return Connections.reduce(
        Connections.reduce(state, { kind: 'written', attempt }).state,
        event,
      );
    },
    breaks: /reused/,
  },
  'what was handed on counts as unsent until it is written': {
    reduce: (state, event) => {
      const step = Connections.reduce(state, event);
      const unwritten = state.carried?.sent === 'handed';
      const effects = step.effects.map((effect) =>
        effect.kind === 'fail' && unwritten ? { ...effect, sent: 'nothing' as const } : effect,
      );
      return { ...step, effects };
    },
    breaks: /nothing sent/,
  },
  'late events of an earlier attempt are taken for the present one': {
    reduce: (state, event) => {
      const attempt = state.carried?.attempt;
      const taken = 'attempt' in event && event.kind !== 'assign' && attempt !== undefined;
      return Connections.reduce(state, taken ? { ...event, attempt } : event);
    },
    breaks: /forgotten|another request/,
  },
  'a streamed answer that is cut ends without a word': {
    reduce: (state, event) => {
      const step = Connections.reduce(state, event);
      return { ...step, effects: step.effects.filter((effect) => effect.kind !== 'cut') };
    },
    breaks: /looks whole/,
  },
};

for (const [name, { reduce, breaks }] of Object.entries(plants)) {
  test(`planted: ${name}`, (t) => {
    const found = [deep, wide].map((bounds) => search({ reduce, freshRepeats: true, bounds }));
    t.regex(found.map(({ broken }) => broken).join(), breaks);
  });
}

test('planted: a second attempt goes over the connection of the first', (t) => {
  const options = { reduce: Connections.reduce, freshRepeats: false, bounds: single };
  t.regex(String(search(options).broken), /ran twice|refused as not run/);
});

test('a connection that rested too long for an attempt is not used, and the attempt not sent', (t) => {
  const attempt = 1;
  const played: readonly ConnectionEvent[] = [
    { kind: 'assign', attempt, maxIdleMs: 10, now: 0 },
    { kind: 'handing', attempt },
    { kind: 'written', attempt },
    {
      kind: 'answer-head',
      attempt,
      restMs: 100,
      evidence: { unsound: null, anonymous: false },
    },
    { kind: 'answer-ready', attempt, whole: true, now: 5 },
  ];
  const idle = played.reduce(
    (state, event) => Connections.reduce(state, event).state,
    Connections.opened(0),
  );
  const take = (now: number, mostIdleMs: number): readonly string[] =>
    Connections.reduce(idle, {
      kind: 'assign',
      attempt: 2,
      maxIdleMs: mostIdleMs,
      now,
    }).effects.map(({ kind }) => kind);
  t.deepEqual(take(104, 1_000), ['send']);
  t.deepEqual(take(105, 1_000), ['unfit', 'destroy']);
  t.deepEqual(take(15, 11), ['send']);
  t.deepEqual(take(15, 10), ['unfit', 'destroy']);
});
