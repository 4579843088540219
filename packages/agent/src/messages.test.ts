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

/** Messages that commit 0da2ab4 sent, by group and kind in that version. */
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

const newAgent = (): AgentState =>
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

type StepResult = { readonly state: AgentState; readonly effects: readonly AgentEffect[] };

const handle = (event: AgentEvent): StepResult => reduceAgent(newAgent(), event);

const replyOf = ({ effects }: StepResult): unknown =>
  effects.find((effect) => effect.kind === 'send-reply')?.reply;

const handleRequest = (request: AgentRequest): StepResult =>
  handle({ kind: 'agent-request-received', requestId: 1, request, now: 1 });

const handleQuery = (request: ProxyQuery): StepResult =>
  handle({ kind: 'proxy-request-received', requestId: 1, request, now: 1 });

const keysOf = (value: object): readonly string[] => Object.keys(value).sort();

test('the reply to an exchange has the same fields as in an earlier version', (t) => {
  const [reply] = examplesOf<Extract<AgentReply, { kind: 'exchanged' }>>(
    'agent-reply',
    'exchanged',
  );
  const requests = examplesOf<AgentRequest>('agent-request', 'exchange');
  t.true(requests.length > 0 && reply !== undefined);
  for (const request of requests) {
    const currentReply = replyOf(handleRequest(request)) as typeof reply;
    t.deepEqual(keysOf(currentReply ?? {}), keysOf(reply ?? {}));
    t.deepEqual(keysOf(currentReply?.exchanged ?? {}), keysOf(reply?.exchanged ?? {}));
  }
});

test('records that an agent of an earlier version pushes are merged', (t) => {
  const requests = examplesOf<Extract<AgentRequest, { kind: 'push' }>>('agent-request', 'push');
  t.true(requests.length > 0);
  for (const request of requests) {
    const result = handleRequest(request);
    t.deepEqual(replyOf(result), { kind: 'ok' });
    for (const [key, { value }] of Object.entries(request.tellings))
      if (value !== undefined && value !== null)
        t.deepEqual(recordValue(result.state.gossip, key), value);
  }
});

test('a ping of an earlier version gets a reply', (t) => {
  const [ping] = examplesOf<AgentRequest>('agent-request', 'ping');
  t.true(ping !== undefined);
  if (ping !== undefined) t.deepEqual(replyOf(handleRequest(ping)), { kind: 'ok' });
});

/** Fields that were added since, each of which a proxy of an earlier version ignores. */
const addedFeedFields = ['provenLeaseMs'];

test('a feed contains the fields that a proxy of an earlier version reads, and beside them only named additions', (t) => {
  const replies = examplesOf<FeedReply>('proxy-reply', 'none');
  const knownFields = new Set(replies.flatMap(keysOf));
  const queries = examplesOf<ProxyQuery>('proxy-request', 'feed');
  t.true(queries.length > 0 && replies.length > 0);
  for (const query of queries) {
    const currentReply = replyOf(handleQuery(query)) as FeedReply;
    for (const key of addedFeedFields) {
      t.true(key in currentReply, key);
      t.false(knownFields.has(key), key);
    }
    for (const key of keysOf(currentReply))
      t.true(knownFields.has(key) || addedFeedFields.includes(key), key);
    for (const key of ['leaseMs', 'life', 'policyRevision', 'purges', 'purgeSeq', 'revisions'])
      t.true(key in currentReply, key);
  }
});

test('a claim from a proxy of an earlier version is proposed or gets a reply in the form of that version', (t) => {
  const [unreached] = examplesOf<{ readonly kind: string }>('proxy-reply', 'unreached');
  for (const kind of ['claim', 'settle']) {
    const [query] = examplesOf<ProxyQuery>('proxy-request', kind);
    t.true(query !== undefined);
    if (query === undefined) continue;
    const result = handleQuery(query);
    const isProposed = Object.keys(result.state.pendingChanges).length === 1;
    if (!isProposed) t.deepEqual(replyOf(result), unreached);
  }
});
