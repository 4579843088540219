/**
 * Safeguards of the agent, tested through its reducer: each test fails without the safeguard that its
 * title names.
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

const withRegister = (
  state: AgentState,
  key: WatchedRegister,
  counter: number,
  value: unknown,
): AgentState => {
  const transition: Transition = { state, effects: [] };
  learnRegister(transition, key, { counter, proposerId: 'x' }, value);
  return transition.state;
};

type ReplicaCall = { readonly id: number; readonly operation: ReplicaOperation };

const replicaCalls = (effects: readonly AgentEffect[]): readonly ReplicaCall[] =>
  effects.flatMap((effect) =>
    effect.kind === 'send-request' && effect.path === '/replica'
      ? [{ id: effect.requestId, operation: effect.request.operation }]
      : [],
  );

const receiveReply = (
  state: AgentState,
  id: number,
  reply: ReplicaReply,
  now: number,
): ReturnType<typeof reduceAgent> =>
  reduceAgent(state, { kind: 'reply-received', requestId: id, reply, now });

test('the lease starts when the polls are sent, however late their replies arrive', (t) => {
  const tick = reduceAgent(openAgentWithMembership(), { kind: 'tick', now: 100 });
  const { state } = answerPolls(tick, 900, (name) => pulled(`${name}/a`));
  t.is(state.leaseUntil, 100 + leaseDurationMs);
});

test('poll replies from disks outside the membership, or from a minority, do not renew the lease', (t) => {
  t.is(
    tickAndAnswerPolls(openAgentWithMembership(), 100, (name) => pulled(`${name}/other`))
      .leaseUntil,
    0,
  );
  const minority = names.slice(0, 2);
  const minorityReplied = tickAndAnswerPolls(openAgentWithMembership(), 100, (name) =>
    minority.includes(name) ? pulled(`${name}/a`) : null,
  );
  t.is(minorityReplied.leaseUntil, 0);
});

test('a poll that reveals an unknown value or journal entries renews no lease until they are known', (t) => {
  const acceptedNumbers = { plan: { counter: 9, proposerId: 'z' } as const };
  const replyOf = (name: string): ReplicaReply =>
    ({ ...pulled(`${name}/a`), acceptedNumbers }) as ReplicaReply;
  const tick = reduceAgent(openAgentWithMembership(), { kind: 'tick', now: 100 });
  const answered = answerPolls(tick, 110, replyOf);
  t.is(answered.state.leaseUntil, 0);
  const registerRead = replicaCalls(answered.effects).find(
    ({ operation }) => operation.kind === 'read-register',
  );
  const value = { term: 1, holder: 'core-2', beat: 1, slices: {}, seated: [] };
  const accepted = { proposalNumber: acceptedNumbers.plan, value };
  const reply = { kind: 'register-read', diskId: 'core-1/a', accepted } as const;
  t.is(
    receiveReply(answered.state, registerRead?.id ?? -1, reply, 120).state.leaseUntil,
    100 + leaseDurationMs,
  );
  const incompleteReply = (name: string): ReplicaReply =>
    ({ ...pulled(`${name}/a`), hasMore: true }) as ReplicaReply;
  t.is(tickAndAnswerPolls(openAgentWithMembership(), 100, incompleteReply).leaseUntil, 0);
});

test('a node flushes its cache after half the journal retention time without a poll, not earlier', (t) => {
  const first = tickWithAllReplies(openAgentWithMembership(), 100);
  const early = tickWithAllReplies(first, 100 + journalRetentionMs / 2 - 1_000);
  t.is(early.cacheFlushCount, first.cacheFlushCount);
  const late = tickWithAllReplies(first, 100 + journalRetentionMs / 2 + 1_000);
  t.is(late.cacheFlushCount, first.cacheFlushCount + 1);
});

test('a purge is acknowledged only when a majority of the disks in the membership has stored it', (t) => {
  const purge = { objects: ['host.example/x'], tags: [] };
  const action = { kind: 'purge', purge, changeId: 'c' } as const;
  const purgeStep = reduceAgent(tickWithAllReplies(openAgentWithMembership(), 100), {
    kind: 'action-received',
    requestId: 7,
    action,
    now: 200,
  });
  const appends = replicaCalls(purgeStep.effects).filter(
    ({ operation }) => operation.kind === 'append-entries',
  );
  t.is(appends.length, names.length);
  const disks = ['core-1/other', 'core-2/a', 'core-3/a', 'core-4/a'];
  let { state } = purgeStep;
  const acknowledged = disks.map((disk, index) => {
    const step = receiveReply(
      state,
      appends[index]?.id ?? -1,
      { kind: 'entries-appended', diskId: disk },
      210,
    );
    ({ state } = step);
    return step.effects.some((effect) => effect.kind === 'send-answer' && effect.status === 200);
  });
  t.deepEqual(acknowledged, [false, false, false, true]);
});

test('a quota leader that finds a newer term writes no allocation and gives up the leadership', (t) => {
  const config = Schemas.policy({ services: { s: { ceiling: 10 } }, routes: [] });
  const allocation = (term: number, holder: string): object => ({
    term,
    holder,
    beat: 1,
    slices: {},
    seated: [],
  });
  const known = withRegister(openAgentWithMembership(), 'policy', 1, {
    revision: 1,
    document: config,
    changes: [],
  });
  const leader = withRegister(known, 'plan', 2, allocation(1, 'core-1'));
  const leased: AgentState = {
    ...leader,
    leaseUntil: 1e6,
    quotaLeadership: { term: 1, precedingAllocations: [] },
  };
  const tick = reduceAgent(leased, { kind: 'tick', now: 2_000 });
  const prepares = replicaCalls(tick.effects).filter(
    ({ operation }) => operation.kind === 'prepare' && operation.key === 'plan',
  );
  t.is(prepares.length, names.length);
  const accepted = {
    proposalNumber: { counter: 3, proposerId: 'y' } as const,
    value: allocation(2, 'core-2'),
  };
  let { state } = tick;
  const effects = prepares.flatMap(({ id }, index) => {
    const reply = {
      kind: 'vote',
      diskId: `${names[index] ?? ''}/a`,
      vote: { kind: 'yes', accepted },
    } as const;
    const step = receiveReply(state, id, reply, 2_010);
    ({ state } = step);
    return step.effects;
  });
  const acceptedValues = replicaCalls(effects).flatMap(({ operation }) =>
    operation.kind === 'accept' ? [operation.value] : [],
  );
  t.false(JSON.stringify(acceptedValues).includes('"holder":"core-1"'));
  t.is(state.quotaLeadership, null);
});

test('a node does not take the quota leadership from a leader that renewed since its last known renewal', (t) => {
  const config = Schemas.policy({ services: { s: { ceiling: 10 } }, routes: [] });
  const allocation = (beat: number): object => ({
    term: 1,
    holder: 'core-2',
    beat,
    slices: {},
    seated: [],
  });
  const known = withRegister(openAgentWithMembership(), 'policy', 1, {
    revision: 1,
    document: config,
    changes: [],
  });
  let state: AgentState = { ...withRegister(known, 'plan', 2, allocation(1)), leaseUntil: 1e9 };
  let prepares: readonly ReplicaCall[] = [];
  for (let now = 2 * quotaLeaderTimeoutMs; prepares.length === 0 && now < 1e5; now += 500) {
    const step = reduceAgent(state, { kind: 'tick', now });
    ({ state } = step);
    prepares = replicaCalls(step.effects).filter(
      ({ operation }) => operation.kind === 'prepare' && operation.key === 'plan',
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
    const step = receiveReply(state, id, reply, now);
    ({ state } = step);
    return step.effects;
  });
  const acceptedValues = replicaCalls(effects).flatMap(({ operation }) =>
    operation.kind === 'accept' ? [operation.value] : [],
  );
  t.false(JSON.stringify(acceptedValues).includes('"holder":"core-1"'));
});

test('a membership change is refused unless the epoch is the one that its proposer knew', (t) => {
  const known = { epoch: 3, disks: diskIdsWithSuffix('a'), addresses };
  const later = { ...known, epoch: 4 };
  const assignment = assignSlotChange(known, 'core-1', 'core-1/b', '127.0.0.1:11');
  const replacement = replaceMemberChange(known, 'core-1', 'core-6', 'core-6/a', '127.0.0.1:16');
  for (const change of [assignment, replacement]) {
    const result = change(known);
    t.is(result.kind === 'write' ? (result.value as Membership).epoch : result.kind, 4);
    t.is(change(later).kind, 'refuse');
  }
});

const frontRecord = (id: string, demand: number): NodeRecord => ({
  id,
  zone: 'west',
  region: 'r',
  address: `${id}:1`,
  proxy: { callers: `${id}:2`, peers: `${id}:3`, capacityBps: 1e6 },
  replica: null,
  ready: true,
  staying: true,
  proxyLife: 'x',
  wants: { s: demand },
});

/** The shares that the leader writes next while an earlier allocation expires at `expiresAt`. */
const nextShares = (t: ExecutionContext, expiresAt: number): Readonly<Record<string, number>> => {
  const now = 2_000;
  const config = Schemas.policy({ services: { s: { ceiling: 100 } }, routes: [] });
  const currentAllocation = {
    term: 1,
    holder: 'core-1',
    beat: 1,
    slices: { s: { 'front-1': 0.1 } },
    seated: [],
  };
  const known = withRegister(openAgentWithMembership(), 'policy', 1, {
    revision: 1,
    document: config,
    changes: [],
  });
  const gossip = [frontRecord('front-1', 0), frontRecord('front-2', 100)].reduce(
    (merged, record) => publishRecord(merged, `node/${record.id}`, record, now),
    known.gossip,
  );
  const precedingAllocations = [{ slices: { s: { 'front-1': 0.9 } }, until: expiresAt }];
  const leader = {
    ...withRegister(known, 'plan', 2, currentAllocation),
    gossip,
    leaseUntil: 1e6,
    quotaLeadership: { term: 1, precedingAllocations },
  };
  const tick = reduceAgent(leader, { kind: 'tick', now });
  let { state } = tick;
  const accepted = {
    proposalNumber: { counter: 2, proposerId: 'x' } as const,
    value: currentAllocation,
  };
  const accepts = replicaCalls(tick.effects)
    .filter(({ operation }) => operation.kind === 'prepare' && operation.key === 'plan')
    .flatMap(({ id }, index) => {
      const reply = {
        kind: 'vote',
        diskId: `${names[index] ?? ''}/a`,
        vote: { kind: 'yes', accepted },
      } as const;
      const step = receiveReply(state, id, reply, now);
      ({ state } = step);
      return replicaCalls(step.effects).flatMap(({ operation }) =>
        operation.kind === 'accept' ? [operation.value as QuotaAllocation] : [],
      );
    });
  t.true(accepts.length > 0);
  return accepts[0]?.slices.s ?? {};
};

test('a quota rises only into the share that no unexpired earlier allocation uses', (t) => {
  const afterExpiry = nextShares(t, 1_999);
  t.true((afterExpiry['front-2'] ?? 0) > 0.5, JSON.stringify(afterExpiry));
  const beforeExpiry = nextShares(t, 2_500);
  t.true((beforeExpiry['front-2'] ?? 0) <= 0.1 + 1e-9, JSON.stringify(beforeExpiry));
});
