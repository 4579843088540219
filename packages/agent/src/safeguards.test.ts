/**
 * Safeguards of the agent, each at the border of its reducer: red without the one that it names.
 */
import test, { type ExecutionContext } from 'ava';
import { publishRecord } from '@reedyard/gossip';
import type { QuotaAllocation } from '@reedyard/quota-division';
import {
  journalRetentionMs,
  leaseDurationMs,
  type Membership,
  type ReplicaOperation,
  type ReplicaReply,
} from '@reedyard/replica';
import { Schemas } from '@reedyard/schemas';
import type { WatchedRegister } from './control/control-state.js';
import { learnRegister } from './control/polling.js';
import type { AgentEffect, NodeRecord } from './messages.js';
import { assignSlotChange, replaceMemberChange } from './proposals/changes.js';
import { quotaLeaderTimeoutMs } from './quota/quota-leadership.js';
import { reduceAgent } from './reducer.js';
import type { AgentState } from './state.js';
import {
  addresses,
  tickWithAllReplies,
  answerPolls,
  tickAndAnswerPolls,
  diskIdsWithSuffix,
  openAgentWithMembership,
  names,
  pulled,
} from './testing/five-founder-agent.js';
import type { Transition } from './transition.js';

const learnt = (
  state: AgentState,
  key: WatchedRegister,
  round: number,
  value: unknown,
): AgentState => {
  const transition: Transition = { state, effects: [] };
  learnRegister(transition, key, { counter: round, proposerId: 'x' }, value);
  return transition.state;
};

type AddressedCall = { readonly id: number; readonly call: ReplicaOperation };

const replicaCalls = (effects: readonly AgentEffect[]): readonly AddressedCall[] =>
  effects.flatMap((effect) =>
    effect.kind === 'send-request' && effect.path === '/replica'
      ? [{ id: effect.requestId, call: effect.request.operation }]
      : [],
  );

const returned = (
  state: AgentState,
  id: number,
  body: ReplicaReply,
  now: number,
): ReturnType<typeof reduceAgent> =>
  reduceAgent(state, { kind: 'reply-received', requestId: id, reply: body, now });

test('the lease runs from the sending of the pulls, however late their answers come', (t) => {
  const beat = reduceAgent(openAgentWithMembership(), { kind: 'tick', now: 100 });
  const { state } = answerPolls(beat, 900, (name) => pulled(`${name}/a`));
  t.is(state.leaseUntil, 100 + leaseDurationMs);
});

test('pulls answered by other disks than the members have, or by a minority, bring no lease', (t) => {
  t.is(
    tickAndAnswerPolls(openAgentWithMembership(), 100, (name) => pulled(`${name}/other`))
      .leaseUntil,
    0,
  );
  const minority = names.slice(0, 2);
  const some = tickAndAnswerPolls(openAgentWithMembership(), 100, (name) =>
    minority.includes(name) ? pulled(`${name}/a`) : null,
  );
  t.is(some.leaseUntil, 0);
});

test('a pull that shows a value or journal entries not known here brings no lease until they are', (t) => {
  const shown = { plan: { counter: 9, proposerId: 'z' } as const };
  const replyOf = (name: string): ReplicaReply =>
    ({ ...pulled(`${name}/a`), acceptedNumbers: shown }) as ReplicaReply;
  const beat = reduceAgent(openAgentWithMembership(), { kind: 'tick', now: 100 });
  const answered = answerPolls(beat, 110, replyOf);
  t.is(answered.state.leaseUntil, 0);
  const fetch = replicaCalls(answered.effects).find(({ call }) => call.kind === 'read-register');
  const value = { term: 1, holder: 'core-2', beat: 1, slices: {}, seated: [] };
  const accepted = { proposalNumber: shown.plan, value };
  const reply = { kind: 'register-read', diskId: 'core-1/a', accepted } as const;
  t.is(
    returned(answered.state, fetch?.id ?? -1, reply, 120).state.leaseUntil,
    100 + leaseDurationMs,
  );
  const partial = (name: string): ReplicaReply =>
    ({ ...pulled(`${name}/a`), hasMore: true }) as ReplicaReply;
  t.is(tickAndAnswerPolls(openAgentWithMembership(), 100, partial).leaseUntil, 0);
});

test('a node that was away for half of what the journal keeps drops its copies; after less it keeps them', (t) => {
  const held = tickWithAllReplies(openAgentWithMembership(), 100);
  const soon = tickWithAllReplies(held, 100 + journalRetentionMs / 2 - 1_000);
  t.is(soon.cacheFlushCount, held.cacheFlushCount);
  const late = tickWithAllReplies(held, 100 + journalRetentionMs / 2 + 1_000);
  t.is(late.cacheFlushCount, held.cacheFlushCount + 1);
});

test('a purge is acknowledged once a majority of the very disks of the members has it, not before', (t) => {
  const purge = { objects: ['host.example/x'], tags: [] };
  const action = { kind: 'purge', purge, changeId: 'c' } as const;
  const opened = reduceAgent(tickWithAllReplies(openAgentWithMembership(), 100), {
    kind: 'action-received',
    requestId: 7,
    action,
    now: 200,
  });
  const posts = replicaCalls(opened.effects).filter(({ call }) => call.kind === 'append-entries');
  t.is(posts.length, names.length);
  const disks = ['core-1/other', 'core-2/a', 'core-3/a', 'core-4/a'];
  let { state } = opened;
  const answered = disks.map((disk, index) => {
    const step = returned(
      state,
      posts[index]?.id ?? -1,
      { kind: 'entries-appended', diskId: disk },
      210,
    );
    ({ state } = step);
    return step.effects.some((effect) => effect.kind === 'send-answer' && effect.status === 200);
  });
  t.deepEqual(answered, [false, false, false, true]);
});

test('a quota leader that was succeeded writes no allocation over the newer term, and gives the leadership up', (t) => {
  const config = Schemas.policy({ services: { s: { ceiling: 10 } }, routes: [] });
  const allocation = (term: number, holder: string): object => ({
    term,
    holder,
    beat: 1,
    slices: {},
    seated: [],
  });
  const known = learnt(openAgentWithMembership(), 'policy', 1, {
    revision: 1,
    document: config,
    changes: [],
  });
  const leader = learnt(known, 'plan', 2, allocation(1, 'core-1'));
  const leased: AgentState = {
    ...leader,
    leaseUntil: 1e6,
    quotaLeadership: { term: 1, precedingAllocations: [] },
  };
  const beat = reduceAgent(leased, { kind: 'tick', now: 2_000 });
  const prepares = replicaCalls(beat.effects).filter(
    ({ call }) => call.kind === 'prepare' && call.key === 'plan',
  );
  t.is(prepares.length, names.length);
  const accepted = {
    proposalNumber: { counter: 3, proposerId: 'y' } as const,
    value: allocation(2, 'core-2'),
  };
  let { state } = beat;
  const effects = prepares.flatMap(({ id }, index) => {
    const reply = {
      kind: 'vote',
      diskId: `${names[index] ?? ''}/a`,
      vote: { kind: 'yes', accepted },
    } as const;
    const step = returned(state, id, reply, 2_010);
    ({ state } = step);
    return step.effects;
  });
  const written = replicaCalls(effects).flatMap(({ call }) =>
    call.kind === 'accept' ? [call.value] : [],
  );
  t.false(JSON.stringify(written).includes('"holder":"core-1"'));
  t.is(state.quotaLeadership, null);
});

test('the quota leadership is not taken from a leader that renewed since it was last seen', (t) => {
  const config = Schemas.policy({ services: { s: { ceiling: 10 } }, routes: [] });
  const allocation = (beat: number): object => ({
    term: 1,
    holder: 'core-2',
    beat,
    slices: {},
    seated: [],
  });
  const known = learnt(openAgentWithMembership(), 'policy', 1, {
    revision: 1,
    document: config,
    changes: [],
  });
  let state: AgentState = { ...learnt(known, 'plan', 2, allocation(1)), leaseUntil: 1e9 };
  let prepares: readonly AddressedCall[] = [];
  for (let now = 2 * quotaLeaderTimeoutMs; prepares.length === 0 && now < 1e5; now += 500) {
    const step = reduceAgent(state, { kind: 'tick', now });
    ({ state } = step);
    prepares = replicaCalls(step.effects).filter(
      ({ call }) => call.kind === 'prepare' && call.key === 'plan',
    );
  }
  t.is(prepares.length, names.length);
  const accepted = {
    proposalNumber: { counter: 3, proposerId: 'y' } as const,
    value: allocation(2),
  };
  const { now } = state;
  const effects = prepares.flatMap(({ id }, index) => {
    const reply = {
      kind: 'vote',
      diskId: `${names[index] ?? ''}/a`,
      vote: { kind: 'yes', accepted },
    } as const;
    const step = returned(state, id, reply, now);
    ({ state } = step);
    return step.effects;
  });
  const written = replicaCalls(effects).flatMap(({ call }) =>
    call.kind === 'accept' ? [call.value] : [],
  );
  t.false(JSON.stringify(written).includes('"holder":"core-1"'));
});

test('a change of members is made from the very epoch that its proposer knew, or not at all', (t) => {
  const known = { epoch: 3, disks: diskIdsWithSuffix('a'), addresses };
  const later = { ...known, epoch: 4 };
  const joins = assignSlotChange(known, 'core-1', 'core-1/b', '127.0.0.1:11');
  const replaces = replaceMemberChange(known, 'core-1', 'core-6', 'core-6/a', '127.0.0.1:16');
  for (const change of [joins, replaces]) {
    const made = change(known);
    t.is(made.kind === 'write' ? (made.value as Membership).epoch : made.kind, 4);
    t.is(change(later).kind, 'refuse');
  }
});

const frontRecord = (id: string, wanted: number): NodeRecord => ({
  id,
  zone: 'west',
  region: 'r',
  address: `${id}:1`,
  proxy: { callers: `${id}:2`, peers: `${id}:3`, capacityBps: 1e6 },
  replica: null,
  ready: true,
  staying: true,
  proxyLife: 'x',
  wants: { s: wanted },
});

/** What the leader writes next, where an earlier allocation may still be acted on. */
const nextShares = (t: ExecutionContext, heldUntil: number): Readonly<Record<string, number>> => {
  const now = 2_000;
  const config = Schemas.policy({ services: { s: { ceiling: 100 } }, routes: [] });
  const plan = {
    term: 1,
    holder: 'core-1',
    beat: 1,
    slices: { s: { 'front-1': 0.1 } },
    seated: [],
  };
  const known = learnt(openAgentWithMembership(), 'policy', 1, {
    revision: 1,
    document: config,
    changes: [],
  });
  const told = [frontRecord('front-1', 0), frontRecord('front-2', 100)].reduce(
    (gossip, record) => publishRecord(gossip, `node/${record.id}`, record, now),
    known.gossip,
  );
  const held = [{ slices: { s: { 'front-1': 0.9 } }, until: heldUntil }];
  const leader = {
    ...learnt(known, 'plan', 2, plan),
    gossip: told,
    leaseUntil: 1e6,
    quotaLeadership: { term: 1, precedingAllocations: held },
  };
  const beat = reduceAgent(leader, { kind: 'tick', now });
  let { state } = beat;
  const accepted = { proposalNumber: { counter: 2, proposerId: 'x' } as const, value: plan };
  const accepts = replicaCalls(beat.effects)
    .filter(({ call }) => call.kind === 'prepare' && call.key === 'plan')
    .flatMap(({ id }, index) => {
      const reply = {
        kind: 'vote',
        diskId: `${names[index] ?? ''}/a`,
        vote: { kind: 'yes', accepted },
      } as const;
      const step = returned(state, id, reply, now);
      ({ state } = step);
      return replicaCalls(step.effects).flatMap(({ call }) =>
        call.kind === 'accept' ? [call.value as QuotaAllocation] : [],
      );
    });
  t.true(accepts.length > 0);
  return accepts[0]?.slices.s ?? {};
};

test('a quota rises only into what no earlier allocation that may still be acted on gave away', (t) => {
  const lapsed = nextShares(t, 1_999);
  t.true((lapsed['front-2'] ?? 0) > 0.5, JSON.stringify(lapsed));
  const inForce = nextShares(t, 2_500);
  t.true((inForce['front-2'] ?? 0) <= 0.1 + 1e-9, JSON.stringify(inForce));
});
