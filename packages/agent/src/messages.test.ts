import test from 'ava';
import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { parse } from 'devalue';
import { recordValue } from '@reedyard/gossip';
import type {
  AgentEffect,
  AgentEvent,
  AgentReply,
  AgentRequest,
  AgentState,
  FeedReply,
  ProxyQuery,
} from './index.js';
import { openAgent } from './open-agent.js';
import { reduceAgent } from './reducer.js';

type Examples = Readonly<Record<string, readonly string[]>>;

/** Messages as commit 0da2ab4 sent them, by their kind there. */
const examples = JSON.parse(
  readFileSync(
    fileURLToPath(new URL('../test/fixtures/messages-0da2ab4.json', import.meta.url)),
    'utf8',
  ),
) as Readonly<Record<string, Examples>>;

const examplesOf = <Message>(group: string, kind: string): readonly Message[] => {
  const texts = examples[group]?.[kind] ?? [];
  return texts.map((text) => parse(text) as Message);
};

const opened = (): AgentState =>
  openAgent({
    self: {
      id: 'front-1',
      zone: 'west',
      region: 'home',
      address: 'front-1/agent',
      proxy: { callers: 'front-1:8080', peers: 'front-1:8081', capacityBps: 8e6 },
      replica: null,
    },
    incarnation: 'i1',
    seeds: [],
    founders: { 'core-1': 'core-1/replica' },
    randomSeed: 1,
    now: 0,
  });

type Outcome = { readonly state: AgentState; readonly effects: readonly AgentEffect[] };

const handle = (event: AgentEvent): Outcome => reduceAgent(opened(), event);

const replyOf = ({ effects }: Outcome): unknown =>
  effects.find((effect) => effect.kind === 'send-reply')?.reply;

const handleRequest = (request: AgentRequest): Outcome =>
  handle({ kind: 'agent-request-received', requestId: 1, request, now: 1 });

const handleQuery = (request: ProxyQuery): Outcome =>
  handle({ kind: 'proxy-request-received', requestId: 1, request, now: 1 });

const keysOf = (value: object): readonly string[] => Object.keys(value).sort();

test('an exchange of an earlier version is answered in its form', (t) => {
  const [reply] = examplesOf<Extract<AgentReply, { kind: 'exchanged' }>>(
    'agent-reply',
    'exchanged',
  );
  const requests = examplesOf<AgentRequest>('agent-request', 'exchange');
  t.true(requests.length > 0 && reply !== undefined);
  for (const request of requests) {
    const own = replyOf(handleRequest(request)) as typeof reply;
    t.deepEqual(keysOf(own ?? {}), keysOf(reply ?? {}));
    t.deepEqual(keysOf(own?.exchanged ?? {}), keysOf(reply?.exchanged ?? {}));
  }
});

test('records that an earlier version pushes are learned', (t) => {
  const requests = examplesOf<Extract<AgentRequest, { kind: 'push' }>>('agent-request', 'push');
  t.true(requests.length > 0);
  for (const request of requests) {
    const outcome = handleRequest(request);
    t.deepEqual(replyOf(outcome), { kind: 'ok' });
    for (const [key, { value }] of Object.entries(request.tellings))
      if (value !== undefined && value !== null)
        t.deepEqual(recordValue(outcome.state.gossip, key), value);
  }
});

test('a ping of an earlier version is answered', (t) => {
  const [ping] = examplesOf<AgentRequest>('agent-request', 'ping');
  t.true(ping !== undefined);
  if (ping !== undefined) t.deepEqual(replyOf(handleRequest(ping)), { kind: 'ok' });
});

test('a feed has the fields that a proxy of an earlier version reads', (t) => {
  const replies = examplesOf<FeedReply>('proxy-reply', 'none');
  const known = new Set(replies.flatMap(keysOf));
  const queries = examplesOf<ProxyQuery>('proxy-request', 'feed');
  t.true(queries.length > 0 && replies.length > 0);
  for (const query of queries) {
    const own = replyOf(handleQuery(query)) as FeedReply;
    for (const key of keysOf(own)) t.true(known.has(key), key);
    for (const key of ['leaseMs', 'life', 'policyRevision', 'purges', 'purgeSeq', 'revisions'])
      t.true(key in own, key);
  }
});

test('a claim of a proxy of an earlier version is taken up, or answered in its form', (t) => {
  const [unreached] = examplesOf<{ readonly kind: string }>('proxy-reply', 'unreached');
  for (const kind of ['claim', 'settle']) {
    const [query] = examplesOf<ProxyQuery>('proxy-request', kind);
    t.true(query !== undefined);
    if (query === undefined) continue;
    const outcome = handleQuery(query);
    const isProposed = Object.keys(outcome.state.pendingChanges).length === 1;
    if (!isProposed) t.deepEqual(replyOf(outcome), unreached);
  }
});
