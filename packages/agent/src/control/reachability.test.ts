import test from 'ava';
import type { ReplicaReply } from '@reedyard/replica';
import type { ApiAction } from '../messages.js';
import { drainKey } from '../origins/origins.js';
import { zoneOrderTimeoutMs } from '../proposals/proposals.js';
import { reduceAgent } from '../reducer.js';
import {
  type ReplicaCall,
  AgentUnderTest,
  proposalNumberOf,
  polledReply,
} from '../testing/scripted-replicas.js';
import { agentTickIntervalMs } from '../tick-delay.js';
import {
  servingAllowanceMs,
  isolatedAllowanceMs,
  isolatedChangeTimeoutMs,
  isUnreachable,
  retryElsewhereSeconds,
} from './reachability.js';

const members = {
  proposalNumber: proposalNumberOf(1),
  value: { epoch: 1, disks: { a: 'disk-a', b: 'disk-b', c: 'disk-c' } },
};
const document = { services: {}, routes: [] };
const description = {
  service: 's',
  instance: 'i',
  incarnation: 0,
  address: '127.0.0.1:20',
  region: 'r',
  zone: 'west',
  slots: 8,
  state: 'warm',
  draining: false,
  sequence: 1,
} as const;
const draining = { ...description, draining: true };

const answerPoll = ({ replica, call }: ReplicaCall): ReplicaReply | null =>
  call.kind === 'poll' ? polledReply(replica) : null;
const sendNoReply = (): null => null;

/**
 * An agent whose polls were answered until 3 s, so that it had a lease, and whose replicas then reply
 * as given until the given time.
 */
const agentAfterLease = (
  answer: (call: ReplicaCall) => ReplicaReply | null,
  until = 10_000,
): AgentUnderTest => {
  const agent = new AgentUnderTest(true);
  agent.run(3_000, answerPoll);
  agent.run(until, answer);
  return agent;
};

/** Replies to a poll that don't count towards the lease. */
const refusals: Readonly<Record<string, (replica: string) => ReplicaReply>> = {
  'not a member': (replica) => ({
    kind: 'not-a-member',
    diskId: `disk-${replica}`,
    isBlank: false,
    knowsMembership: true,
  }),
  'blank disk': (replica) => ({
    kind: 'not-a-member',
    diskId: `new-${replica}`,
    isBlank: true,
    knowsMembership: true,
  }),
  'newer membership': (replica) => ({
    kind: 'newer-membership',
    diskId: `disk-${replica}`,
    membership: members,
  }),
  'still recovering': (replica) => ({
    kind: 'recovering',
    diskId: `disk-${replica}`,
    epoch: 1,
  }),
  'another disk': (replica) => ({
    ...polledReply(replica),
    diskId: `new-${replica}`,
  }),
  'a value that is not known here': (replica) =>
    polledReply(replica, { zones: proposalNumberOf(9) }),
};

for (const [name, reply] of Object.entries(refusals)) {
  test(`a node whose replicas reply is not isolated, although no reply counts: ${name}`, (t) => {
    const agent = agentAfterLease(({ replica, call }) =>
      call.kind === 'poll' ? reply(replica) : null,
    );
    t.true(agent.state.leaseUntil < agent.state.now);
    t.is(servingAllowanceMs(agent.state), 0);
    t.false(isUnreachable(agent.state));
    // Replies from a minority are not enough.
    const other = agentAfterLease(({ replica, call }) =>
      call.kind === 'poll' && replica === 'a' ? reply(replica) : null,
    );
    t.is(servingAllowanceMs(other.state), isolatedAllowanceMs);
    t.true(isUnreachable(other.state));
  });
}

test('an isolation is detected when the lease expires, and ends with the first replies of a majority', (t) => {
  const agent = agentAfterLease(sendNoReply, 3_000);
  const leaseEnd = agent.state.leaseUntil;
  // The feed just before the lease expires lasts until the next feed: no client is refused in between.
  agent.run(leaseEnd - 4 * agentTickIntervalMs, sendNoReply);
  t.is(servingAllowanceMs(agent.state), leaseEnd - agent.state.now);
  agent.run(leaseEnd - agentTickIntervalMs, sendNoReply);
  t.is(servingAllowanceMs(agent.state), isolatedAllowanceMs);
  t.false(isUnreachable(agent.state));
  agent.run(leaseEnd, sendNoReply);
  t.is(servingAllowanceMs(agent.state), isolatedAllowanceMs);
  t.true(isUnreachable(agent.state));
  agent.run(30_000, sendNoReply);
  t.is(servingAllowanceMs(agent.state), isolatedAllowanceMs);
  // The replies show a policy that is not known here yet: the node is not isolated, but has no lease.
  const answerWithUnknownPolicy = ({ replica, call }: ReplicaCall): ReplicaReply | null =>
    call.kind === 'poll' ? polledReply(replica, { policy: proposalNumberOf(7) }) : null;
  agent.run(30_600, answerWithUnknownPolicy);
  t.is(servingAllowanceMs(agent.state), 0);
  t.true(agent.state.leaseUntil < agent.state.now);
});

test('a replica that replies again is polled ten times a second for a while, and only then', (t) => {
  const agent = agentAfterLease(sendNoReply, 30_000);
  const countPolls = (until: number, isAnswering: boolean): number => {
    let count = 0;
    agent.run(until, ({ replica, call }) => {
      if (call.kind !== 'poll' || replica !== 'a') return null;
      count += 1;
      return isAnswering ? { kind: 'recovering', diskId: 'disk-a', epoch: 1 } : null;
    });
    return count;
  };
  t.is(countPolls(35_000, false), 10, 'unresponsive for long');
  t.true(countPolls(40_000, true) >= 40, 'replies again');
  t.true(countPolls(51_000, true) <= 30, 'still refuses');
});

const majorityActions: readonly ApiAction[] = [
  { kind: 'put-policy', document, ifMatch: null, changeId: 'one' },
  { kind: 'get-policy' },
  { kind: 'zone', zone: 'west', order: 'empty', of: 'all', changeId: 'two' },
  { kind: 'purge', purge: { objects: ['x/y'], tags: [] }, changeId: 'three' },
  { kind: 'withdraw', instance: 'i' },
  { kind: 'describe', description: draining },
  { kind: 'shares' },
];

test('an isolated node immediately refuses actions that need a majority, and sends nothing', (t) => {
  for (const action of majorityActions) {
    const agent = agentAfterLease(sendNoReply);
    t.deepEqual(agent.sendAction(action, agent.state.now), [], action.kind);
    t.deepEqual(agent.answerStatuses(), [503], action.kind);
    const [answer] = agent.effects.filter((effect) => effect.kind === 'send-answer');
    t.is(answer?.retryAfter, retryElsewhereSeconds);
  }
});

test('an isolated node accepts a heartbeat, and confirms a drain that a majority is known to have stored', (t) => {
  const agent = agentAfterLease(sendNoReply);
  agent.sendAction({ kind: 'describe', description }, agent.state.now);
  t.deepEqual(agent.answerStatuses(), [200]);
  agent.state = { ...agent.state, committedEntryKeys: { [drainKey(draining)]: true } };
  agent.sendAction({ kind: 'describe', description: draining }, agent.state.now);
  t.deepEqual(agent.answerStatuses(), [200]);
});

test('a node without a lease sends changes while a majority replies, right after its start and after a freeze', (t) => {
  const [action] = majorityActions;
  if (action === undefined) {
    t.fail();
    return;
  }
  const refusedAgent = agentAfterLease(({ replica, call }) =>
    call.kind === 'poll' ? { kind: 'recovering', diskId: `disk-${replica}`, epoch: 1 } : null,
  );
  t.is(refusedAgent.sendAction(action, refusedAgent.state.now).length, 3);
  const startedAgent = new AgentUnderTest();
  startedAgent.beat(100);
  t.is(startedAgent.sendAction(action, 150).length, 3);
  const frozenAgent = agentAfterLease(answerPoll, 5_000);
  t.is(frozenAgent.sendAction(action, 15_000).length, 3);
});

test('a pending action fails well within a second once the replicas stop replying, and not while they reply', (t) => {
  for (const action of majorityActions.slice(0, 6)) {
    const agent = agentAfterLease(answerPoll, 5_000);
    const sentAt = agent.state.now;
    t.is(agent.sendAction(action, sentAt).length, 3, action.kind);
    const runUntilAnswered = (
      until: number,
      answer: (call: ReplicaCall) => ReplicaReply | null,
    ): number | undefined => {
      for (
        let now = agent.state.now + agentTickIntervalMs;
        now <= until;
        now += agentTickIntervalMs
      ) {
        const calls = agent.beat(now);
        if (agent.answerStatuses().length > 0) return now;
        for (const call of calls) agent.answer(call, answer(call), now);
      }
      return undefined;
    };
    // A majority replies to other calls, so a slow proposal may still succeed.
    const maxWaitMs = action.kind === 'zone' ? zoneOrderTimeoutMs / 2 : 2_000;
    t.is(runUntilAnswered(sentAt + maxWaitMs, answerPoll), undefined, action.kind);
    const noReplySince = agent.state.now;
    const answeredAt = runUntilAnswered(sentAt + 5_000, sendNoReply) ?? NaN;
    t.true(
      answeredAt - noReplySince <= isolatedChangeTimeoutMs + agentTickIntervalMs,
      `${action.kind} ${answeredAt - noReplySince}`,
    );
    t.deepEqual(agent.answerStatuses(), [503]);
  }
});

test('while an API request is pending replicas are polled more often, so that missing replies are detected soon', (t) => {
  const [action] = majorityActions;
  if (action === undefined) {
    t.fail();
    return;
  }
  const agent = agentAfterLease(answerPoll, 5_000);
  agent.sendAction(action, agent.state.now);
  const polledReplicas: string[] = [];
  agent.run(6_000, (call) => {
    if (call.call.kind === 'poll') polledReplicas.push(call.replica);
    return answerPoll(call);
  });
  // In the steady state there are two polls per second.
  t.is(polledReplicas.filter((name) => name === 'a').length, 5, polledReplicas.join());
});

test('an isolated node answers a claim without waiting for replicas', (t) => {
  const claim = { kind: 'claim', key: 'k', token: 'token', life: 'life', digest: 'd' } as const;
  const claimReplies = (agent: AgentUnderTest): unknown => {
    const step = reduceAgent(agent.state, {
      kind: 'proxy-request-received',
      requestId: 9,
      now: agent.state.now,
      request: claim,
    });
    return step.effects.flatMap((effect) => (effect.kind === 'send-reply' ? [effect.reply] : []));
  };
  t.deepEqual(claimReplies(agentAfterLease(sendNoReply)), [{ kind: 'unreached' }]);
  t.deepEqual(claimReplies(agentAfterLease(answerPoll)), []);
});
