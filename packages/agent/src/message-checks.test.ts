import test from 'ava';
import fc from 'fast-check';
import { confineAgentErrors } from './confined-reducer.js';
import { AgentMessageError, readAgentReply, readAgentRequest } from './message-checks.js';
import type { AgentRequest } from './messages.js';
import { reduceAgent } from './reducer.js';
import type { AgentState } from './state.js';
import { openAgentWithMembership } from './testing/five-founder-agent.js';

const node = {
  id: 'front-1',
  zone: 'west',
  region: 'r',
  address: '127.0.0.1:2',
  proxy: { callers: '127.0.0.1:3', peers: '127.0.0.1:4', capacityBps: 1e8 },
  replica: null,
  ready: true,
  staying: true,
  proxyLife: 'life',
  wants: { store: 5 },
};
const origin = {
  service: 'store',
  instance: 'i1',
  incarnation: 1,
  address: '127.0.0.1:5',
  region: 'r',
  zone: 'west',
  capacity: 100,
  state: 'warm',
  draining: false,
};
const vector = {
  demand: { '/a': 1 },
  copies: ['/a'],
  capacity: 1e8,
  utilisation: 0.5,
  offered: 0.5,
  delays: { 'core-1': 0.001 },
  meanReply: 96_000,
  fetchDelay: 0.02,
};
const neighbour = { id: 'front-1', address: '127.0.0.1:2', age: 1 };

/** A value whose fields are each the given one or any other, or missing. */
const damaged = (value: object): fc.Arbitrary<unknown> =>
  fc.record(
    Object.fromEntries(
      Object.entries(value).map(([name, field]) => [
        name,
        fc.oneof({ arbitrary: fc.constant<unknown>(field), weight: 12 }, fc.anything()),
      ]),
    ),
    { requiredKeys: Object.keys(value).slice(0, 4) },
  );

const revision = fc.oneof(fc.integer({ min: 1, max: 100 }), fc.anything());
const updateOf = (value: object): fc.Arbitrary<unknown> =>
  fc.oneof(
    fc.record({ revision, value: fc.oneof(damaged(value), fc.anything()) }),
    fc.record({ revision }),
    fc.anything(),
  );
const updates = fc.record(
  {
    'node/front-1': updateOf(node),
    'node/core-1': updateOf(node),
    'origin/store/i1': updateOf(origin),
    'vector/front-1': updateOf(vector),
    'other/x': updateOf({}),
  },
  { requiredKeys: [] },
);
const sample = fc.oneof(fc.array(damaged(neighbour)), fc.anything());
const exchange = fc.oneof(
  fc.record({
    from: damaged(neighbour),
    digest: fc.oneof(fc.dictionary(fc.string(), revision), fc.anything()),
    sample,
  }),
  fc.anything(),
);
const request = fc.oneof(
  fc.record({ kind: fc.constant('push'), tellings: updates }),
  fc.record({ kind: fc.constant('exchange'), exchange }),
  fc.anything(),
);

/** Handles a request and some seconds of ticks. */
const handle = (state: AgentState, message: AgentRequest): void => {
  let current = reduceAgent(state, {
    kind: 'agent-request-received',
    requestId: 1,
    request: message,
    now: 1,
  }).state;
  for (const now of [50, 600, 1_200, 6_000, 70_000])
    current = reduceAgent(current, { kind: 'tick', now }).state;
};

test('a message of any form is refused, or leaves a state that the agent can go on with', (t) => {
  const state = openAgentWithMembership();
  fc.assert(
    fc.property(request, (message) => {
      let read: AgentRequest;
      try {
        read = readAgentRequest(message);
      } catch (thrown) {
        return thrown instanceof AgentMessageError;
      }
      handle(state, read);
      return true;
    }),
    { seed: 34, numRuns: 3_000 },
  );
  t.pass();
});

test('sound records beside a damaged one are read, and unknown fields and kinds are kept', (t) => {
  const tellings = {
    'node/front-1': { revision: 2, value: { ...node, added: 'later' } },
    'node/front-2': { revision: 2, value: { id: 'front-2' } },
    'origin/store/i1': { revision: 2, value: origin },
    'origin/store/i2': { revision: 2, value: null },
    'vector/front-1': { revision: 2, value: vector },
    'vector/front-2': { revision: 2, value: { ...vector, delays: null } },
    'added/later': { revision: 2, value: 1 },
    'node/front-3': { revision: 2 },
  };
  const read = readAgentRequest({ kind: 'push', tellings });
  const { 'node/front-2': _node, 'vector/front-2': _vector, ...sound } = tellings;
  t.deepEqual(read, { kind: 'push', tellings: sound });
  const reply = { newer: tellings, wants: { a: 1 }, sample: [neighbour] };
  t.deepEqual(readAgentReply({ kind: 'exchanged', exchanged: reply }), {
    kind: 'exchanged',
    exchanged: { ...reply, newer: sound },
  });
  t.throws(() => readAgentReply({ kind: 'exchanged' }), { instanceOf: AgentMessageError });
});

test('an error in the handling of a message ends that message alone, one of a tick is thrown', (t) => {
  const state = openAgentWithMembership();
  const reduce = confineAgentErrors((before, event) => {
    if (event.kind === 'request-failed') return { state: before, effects: [] };
    throw new Error('unforeseen');
  });
  const received = { requestId: 7, now: 1 } as const;
  const failed = reduce(state, {
    ...received,
    kind: 'agent-request-received',
    request: { kind: 'ping' },
  });
  t.is(failed.state, state);
  t.deepEqual(failed.effects.at(-1), { kind: 'fail-request', requestId: 7, why: 'unforeseen' });
  const lost = reduce(state, { ...received, kind: 'reply-received', reply: { kind: 'ok' } });
  t.deepEqual(
    lost.effects.map(({ kind }) => kind),
    ['log'],
  );
  t.throws(() => reduce(state, { kind: 'tick', now: 2 }), { message: 'unforeseen' });
});
