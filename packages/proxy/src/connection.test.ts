import test from 'ava';
import { Connections, type Connection, type ConnectionEvent } from './connection.js';
import { search, type Reduce, type SearchBounds } from './testing/connection-model.js';

/** All events are enabled. */
const wide: SearchBounds = {
  depth: 8,
  requests: 2,
  wires: 2,
  duplicates: 1,
  garbage: 1,
  closures: true,
};
/** Deeper, with only responses, refusals, unresponsive origins, surplus responses and aborts. */
const deep: SearchBounds = { ...wide, depth: 13, garbage: 0, closures: false };
/** Deeper still, for one request over one connection. */
const single: SearchBounds = { ...deep, depth: 20, requests: 1, duplicates: 2 };

for (const [name, bounds] of Object.entries({ wide, deep, single })) {
  test(`the guarantees hold in every order of events on the connections to an origin: ${name} search`, (t) => {
    const { violation, stateCount } = search({
      reduce: Connections.reduce,
      retriesOnNewConnection: true,
      bounds,
    });
    t.log(`${stateCount} states`);
    t.is(violation, null);
  });
}

const idleAgain = (state: Connection): Connection => ({
  ...state,
  phase: 'idle',
  idleSince: 0,
  idleLimitMs: 10,
  carried: null,
});

/** Keeps a connection for reuse where the correct reducer destroys it. */
const keepAfter =
  (kind: ConnectionEvent['kind']): Reduce =>
  (state, event) => {
    const step = Connections.reduce(state, event);
    const isDestroyed =
      event.kind === kind && step.state.phase === 'closed' && state.phase !== 'closed';
    return isDestroyed ? { ...step, state: idleAgain(step.state) } : step;
  };

const overridingEvidence =
  (part: { readonly mismatch?: null; readonly anonymous?: false }): Reduce =>
  (state, event) =>
    Connections.reduce(
      state,
      event.kind === 'answer-head' ? { ...event, evidence: { ...event.evidence, ...part } } : event,
    );

/** Reducers without one of the safeguards, and the invariant that each of them violates. */
const mutations: Readonly<Record<string, { readonly reduce: Reduce; readonly violates: RegExp }>> =
  {
    'a response to another request is accepted': {
      reduce: overridingEvidence({ mismatch: null }),
      violates: /another request|executed twice/,
    },
    'a response without a request id is accepted on any connection': {
      reduce: overridingEvidence({ anonymous: false }),
      violates: /another request|executed twice/,
    },
    'a connection is reused after an abort': { reduce: keepAfter('abort'), violates: /reused/ },
    'a connection is reused after surplus bytes': {
      reduce: keepAfter('surplus'),
      violates: /reused/,
    },
    'a connection is reused after a half-close': {
      reduce: keepAfter('half-closed'),
      violates: /reused/,
    },
    'a connection is reused after a reset': { reduce: keepAfter('closed'), violates: /reused/ },
    'a connection is reused after a lost response': {
      reduce: keepAfter('lost'),
      violates: /reused/,
    },
    'a connection is reused before its request was written': {
      reduce: (state, event) => {
        if (event.kind !== 'answer-ready') return Connections.reduce(state, event);
        const { attempt } = event;
        return Connections.reduce(
          Connections.reduce(state, { kind: 'written', attempt }).state,
          event,
        );
      },
      violates: /reused/,
    },
    'a request that was handed to the socket counts as unsent until it is written': {
      reduce: (state, event) => {
        const step = Connections.reduce(state, event);
        const isUnwritten = state.carried?.sent === 'handed';
        const effects = step.effects.map((effect) =>
          effect.kind === 'fail' && isUnwritten ? { ...effect, sent: 'nothing' as const } : effect,
        );
        return { ...step, effects };
      },
      violates: /reported as not sent/,
    },
    'late events of an earlier attempt apply to the current attempt': {
      reduce: (state, event) => {
        const attempt = state.carried?.attempt;
        const isRedirected = 'attempt' in event && event.kind !== 'assign' && attempt !== undefined;
        return Connections.reduce(state, isRedirected ? { ...event, attempt } : event);
      },
      violates: /forgotten|another request/,
    },
    'a truncated streamed response ends without an error': {
      reduce: (state, event) => {
        const step = Connections.reduce(state, event);
        return { ...step, effects: step.effects.filter((effect) => effect.kind !== 'cut') };
      },
      violates: /looks complete/,
    },
  };

for (const [name, { reduce, violates }] of Object.entries(mutations)) {
  test(`the search detects the fault: ${name}`, (t) => {
    const results = [deep, wide].map((bounds) =>
      search({ reduce, retriesOnNewConnection: true, bounds }),
    );
    t.regex(results.map(({ violation }) => violation).join(), violates);
  });
}

test('the search detects the fault: a retry reuses the connection of the first attempt', (t) => {
  const options = { reduce: Connections.reduce, retriesOnNewConnection: false, bounds: single };
  t.regex(String(search(options).violation), /executed twice|refused as not executed/);
});

test('a connection that was idle too long for an attempt is destroyed and the attempt is not sent', (t) => {
  const attempt = 1;
  const events: readonly ConnectionEvent[] = [
    { kind: 'assign', attempt, maxIdleMs: 10, now: 0 },
    { kind: 'handing', attempt },
    { kind: 'written', attempt },
    {
      kind: 'answer-head',
      attempt,
      keepAliveMs: 100,
      evidence: { mismatch: null, anonymous: false },
    },
    { kind: 'answer-ready', attempt, isComplete: true, now: 5 },
  ];
  const idle = events.reduce(
    (state, event) => Connections.reduce(state, event).state,
    Connections.opened(0),
  );
  const assignAt = (now: number, maxIdleMs: number): readonly string[] =>
    Connections.reduce(idle, {
      kind: 'assign',
      attempt: 2,
      maxIdleMs,
      now,
    }).effects.map(({ kind }) => kind);
  t.deepEqual(assignAt(104, 1_000), ['send']);
  t.deepEqual(assignAt(105, 1_000), ['unfit', 'destroy']);
  t.deepEqual(assignAt(15, 11), ['send']);
  t.deepEqual(assignAt(15, 10), ['unfit', 'destroy']);
});
