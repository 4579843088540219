import test from 'ava';
import type { AgentState, HeldFeedParts, FeedReply, ProxyReport } from '../index.js';
import { openAgent } from '../open-agent.js';
import { reduceAgent } from '../reducer.js';

const self = {
  id: 'front-1',
  zone: 'west',
  region: 'home',
  address: '127.0.0.1:7001',
  proxy: { callers: '127.0.0.1:8080', peers: '127.0.0.1:8081', capacityBps: 8e6 },
  replica: null,
};
const openWith = (incarnation: string): AgentState =>
  openAgent({
    self,
    incarnation,
    seeds: [],
    founders: { 'core-1': '127.0.0.2:7101' },
    randomSeed: 1,
    now: 0,
  });
const report: ProxyReport = {
  policyRevision: 0,
  life: '',
  proxyLife: 'l1',
  purgeSeq: 0,
  stopping: false,
  wants: {},
  measure: null,
  counters: {},
};
const requestFeed = (
  state: AgentState,
  held: HeldFeedParts | null,
): { readonly state: AgentState; readonly reply: FeedReply } => {
  const step = reduceAgent(state, {
    kind: 'proxy-request-received',
    requestId: 1,
    request: { kind: 'feed', report, held },
    now: state.now + 250,
  });
  const sent = step.effects.find((effect) => effect.kind === 'send-reply');
  return {
    state: step.state,
    reply: sent?.kind === 'send-reply' ? (sent.reply as FeedReply) : ({} as FeedReply),
  };
};
const partsOf = (reply: FeedReply): readonly string[] =>
  ['origins', 'peers', 'emptied', 'split', 'slices'].filter((part) => part in reply);
const allParts = ['origins', 'peers', 'emptied', 'split', 'slices'];

test('a part of the feed is sent only to a proxy that does not have its current revision', (t) => {
  const first = requestFeed(openWith('j1'), null);
  t.deepEqual(partsOf(first.reply), allParts);
  const held = { life: 'j1', revisions: first.reply.revisions };
  const same = requestFeed(first.state, held);
  t.deepEqual(partsOf(same.reply), []);
  t.is(same.reply.life, 'j1');
  const split = requestFeed({ ...same.state, routingTable: { sheets: [['front-1', 1]] } }, held);
  t.deepEqual(partsOf(split.reply), ['split']);
  t.deepEqual(split.reply.split, { sheets: [['front-1', 1]] });
  // The reply was lost: the proxy still has the previous revision, so the part is sent again.
  t.deepEqual(partsOf(requestFeed(split.state, held).reply), ['split']);
  t.deepEqual(
    partsOf(requestFeed(split.state, { life: 'j1', revisions: split.reply.revisions }).reply),
    [],
  );
  // Returning to an earlier value is a change too.
  t.deepEqual(
    partsOf(
      requestFeed(
        { ...split.state, routingTable: {} },
        { life: 'j1', revisions: split.reply.revisions },
      ).reply,
    ),
    ['split'],
  );
});

test('a proxy with parts of another incarnation of the agent, or with no parts, receives the complete feed', (t) => {
  const first = requestFeed(openWith('j1'), null);
  t.deepEqual(
    partsOf(requestFeed(openWith('j2'), { life: 'j1', revisions: first.reply.revisions }).reply),
    allParts,
  );
  t.deepEqual(partsOf(requestFeed(first.state, null).reply), allParts);
});
