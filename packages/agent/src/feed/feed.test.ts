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
const open = (life: string): AgentState =>
  openAgent({
    self,
    incarnation: life,
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
const ask = (
  state: AgentState,
  held: HeldFeedParts | null,
): { readonly state: AgentState; readonly told: FeedReply } => {
  const step = reduceAgent(state, {
    kind: 'proxy-request-received',
    requestId: 1,
    request: { kind: 'feed', report, held },
    now: state.now + 250,
  });
  const told = step.effects.find((effect) => effect.kind === 'send-reply');
  return {
    state: step.state,
    told: told?.kind === 'send-reply' ? (told.reply as FeedReply) : ({} as FeedReply),
  };
};
const parts = (told: FeedReply): readonly string[] =>
  ['origins', 'peers', 'emptied', 'split', 'slices'].filter((part) => part in told);
const all = ['origins', 'peers', 'emptied', 'split', 'slices'];

test('a part of the feed goes to a proxy that does not hold it as it is, and to no other', (t) => {
  const first = ask(open('j1'), null);
  t.deepEqual(parts(first.told), all);
  const holding = { life: 'j1', revisions: first.told.revisions };
  const same = ask(first.state, holding);
  t.deepEqual(parts(same.told), []);
  t.is(same.told.life, 'j1');
  const split = ask({ ...same.state, routingTable: { sheets: [['front-1', 1]] } }, holding);
  t.deepEqual(parts(split.told), ['split']);
  t.deepEqual(split.told.split, { sheets: [['front-1', 1]] });
  // Its answer got lost: the proxy still holds the former one, and is told again.
  t.deepEqual(parts(ask(split.state, holding).told), ['split']);
  t.deepEqual(parts(ask(split.state, { life: 'j1', revisions: split.told.revisions }).told), []);
  // And back to what it was: that is a change too.
  t.deepEqual(
    parts(
      ask({ ...split.state, routingTable: {} }, { life: 'j1', revisions: split.told.revisions })
        .told,
    ),
    ['split'],
  );
});

test('what was held of another life of the agent, or by a proxy without memory, is told whole', (t) => {
  const first = ask(open('j1'), null);
  t.deepEqual(parts(ask(open('j2'), { life: 'j1', revisions: first.told.revisions }).told), all);
  t.deepEqual(parts(ask(first.state, null).told), all);
});
