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

const answered = ({ replica, call }: ReplicaCall): ReplicaReply | null =>
  call.kind === 'poll' ? polledReply(replica) : null;
const silent = (): null => null;

/** An agent that had a lease, and whose replicas then answered as given until a moment. */
const afterwards = (
  answer: (call: ReplicaCall) => ReplicaReply | null,
  until = 10_000,
): AgentUnderTest => {
  const agent = new AgentUnderTest(true);
  agent.run(3_000, answered);
  agent.run(until, answer);
  return agent;
};

/** What a replica may say to a poll without being counted. */
const refusals: Readonly<Record<string, (replica: string) => ReplicaReply>> = {
  'it is no member': (replica) => ({
    kind: 'not-a-member',
    diskId: `disk-${replica}`,
    isBlank: false,
    knowsMembership: true,
  }),
  'its disk is blank': (replica) => ({
    kind: 'not-a-member',
    diskId: `new-${replica}`,
    isBlank: true,
    knowsMembership: true,
  }),
  'it was told of other members': (replica) => ({
    kind: 'newer-membership',
    diskId: `disk-${replica}`,
    membership: members,
  }),
  'it waits for what was known': (replica) => ({
    kind: 'recovering',
    diskId: `disk-${replica}`,
    epoch: 1,
  }),
  'it answers from another disk': (replica) => ({
    ...polledReply(replica),
    diskId: `new-${replica}`,
  }),
  'it shows what is not known here': (replica) =>
    polledReply(replica, { zones: proposalNumberOf(9) }),
};

for (const [what, reply] of Object.entries(refusals)) {
  test(`a node whose replicas answer is in touch, though none counts: ${what}`, (t) => {
    const agent = afterwards(({ replica, call }) => (call.kind === 'poll' ? reply(replica) : null));
    t.true(agent.state.leaseUntil < agent.state.now);
    t.is(servingAllowanceMs(agent.state), 0);
    t.false(isUnreachable(agent.state));
    // A minority that answers is no majority.
    const other = afterwards(({ replica, call }) =>
      call.kind === 'poll' && replica === 'a' ? reply(replica) : null,
    );
    t.is(servingAllowanceMs(other.state), isolatedAllowanceMs);
    t.true(isUnreachable(other.state));
  });
}

test('a cut is known when the lease runs out, and is over with the first answers of a majority', (t) => {
  const agent = afterwards(silent, 3_000);
  const over = agent.state.leaseUntil;
  // The feed just before has it last until the next one: no caller is refused in between.
  agent.run(over - 4 * agentTickIntervalMs, silent);
  t.is(servingAllowanceMs(agent.state), over - agent.state.now);
  agent.run(over - agentTickIntervalMs, silent);
  t.is(servingAllowanceMs(agent.state), isolatedAllowanceMs);
  t.false(isUnreachable(agent.state));
  agent.run(over, silent);
  t.is(servingAllowanceMs(agent.state), isolatedAllowanceMs);
  t.true(isUnreachable(agent.state));
  agent.run(30_000, silent);
  t.is(servingAllowanceMs(agent.state), isolatedAllowanceMs);
  // What the answers show is not known here yet: in touch, and without a lease.
  const news = ({ replica, call }: ReplicaCall): ReplicaReply | null =>
    call.kind === 'poll' ? polledReply(replica, { policy: proposalNumberOf(7) }) : null;
  agent.run(30_600, news);
  t.is(servingAllowanceMs(agent.state), 0);
  t.true(agent.state.leaseUntil < agent.state.now);
});

test('a replica that answers again is asked ten times a second for a while, and only then', (t) => {
  const agent = afterwards(silent, 30_000);
  const pulls = (until: number, answers: boolean): number => {
    let count = 0;
    agent.run(until, ({ replica, call }) => {
      if (call.kind !== 'poll' || replica !== 'a') return null;
      count += 1;
      return answers ? { kind: 'recovering', diskId: 'disk-a', epoch: 1 } : null;
    });
    return count;
  };
  t.is(pulls(35_000, false), 10, 'silent for long');
  t.true(pulls(40_000, true) >= 40, 'it is back');
  t.true(pulls(51_000, true) <= 30, 'it goes on refusing');
});

const needMajority: readonly ApiAction[] = [
  { kind: 'put-policy', document, ifMatch: null, changeId: 'one' },
  { kind: 'get-policy' },
  { kind: 'zone', zone: 'west', order: 'empty', of: 'all', changeId: 'two' },
  { kind: 'purge', purge: { objects: ['x/y'], tags: [] }, changeId: 'three' },
  { kind: 'withdraw', instance: 'i' },
  { kind: 'describe', description: draining },
  { kind: 'shares' },
];

test('what needs a majority is refused at once by a node that is cut off, and nothing is sent', (t) => {
  for (const action of needMajority) {
    const agent = afterwards(silent);
    t.deepEqual(agent.sendAction(action, agent.state.now), [], action.kind);
    t.deepEqual(agent.answerStatuses(), [503], action.kind);
    const [answer] = agent.effects.filter((effect) => effect.kind === 'send-answer');
    t.is(answer?.retryAfter, retryElsewhereSeconds);
  }
});

test('a node that is cut off takes a heartbeat, and confirms a drain that a majority is known to hold', (t) => {
  const agent = afterwards(silent);
  agent.sendAction({ kind: 'describe', description }, agent.state.now);
  t.deepEqual(agent.answerStatuses(), [200]);
  agent.state = { ...agent.state, committedEntryKeys: { [drainKey(draining)]: true } };
  agent.sendAction({ kind: 'describe', description: draining }, agent.state.now);
  t.deepEqual(agent.answerStatuses(), [200]);
});

test('without a lease orders go on while a majority answers, right after the start and after a freeze', (t) => {
  const [order] = needMajority;
  if (order === undefined) {
    t.fail();
    return;
  }
  const refused = afterwards(({ replica, call }) =>
    call.kind === 'poll' ? { kind: 'recovering', diskId: `disk-${replica}`, epoch: 1 } : null,
  );
  t.is(refused.sendAction(order, refused.state.now).length, 3);
  const started = new AgentUnderTest();
  started.beat(100);
  t.is(started.sendAction(order, 150).length, 3);
  const frozen = afterwards(answered, 5_000);
  t.is(frozen.sendAction(order, 15_000).length, 3);
});

test('what is under way when the replicas fall silent is answered well under a second; not while they answer', (t) => {
  for (const action of needMajority.slice(0, 6)) {
    const agent = afterwards(answered, 5_000);
    const sentAt = agent.state.now;
    t.is(agent.sendAction(action, sentAt).length, 3, action.kind);
    const answeredAt = (
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
    // A majority answers other calls: a slow proposal may yet succeed.
    const mostMs = action.kind === 'zone' ? zoneOrderTimeoutMs / 2 : 2_000;
    t.is(answeredAt(sentAt + mostMs, answered), undefined, action.kind);
    const silentFrom = agent.state.now;
    const at = answeredAt(sentAt + 5_000, silent) ?? NaN;
    t.true(
      at - silentFrom <= isolatedChangeTimeoutMs + agentTickIntervalMs,
      `${action.kind} ${at - silentFrom}`,
    );
    t.deepEqual(agent.answerStatuses(), [503]);
  }
});

test('while an order is open replicas are probed, so that their silence is known soon', (t) => {
  const [order] = needMajority;
  if (order === undefined) {
    t.fail();
    return;
  }
  const agent = afterwards(answered, 5_000);
  agent.sendAction(order, agent.state.now);
  const pulls: string[] = [];
  agent.run(6_000, (call) => {
    if (call.call.kind === 'poll') pulls.push(call.replica);
    return answered(call);
  });
  // At rest there are two in a second.
  t.is(pulls.filter((each) => each === 'a').length, 5, pulls.join());
});

test('a claim is not waited for by a node that is cut off', (t) => {
  const claim = { kind: 'claim', key: 'k', token: 'token', life: 'life', digest: 'd' } as const;
  const told = (agent: AgentUnderTest): unknown => {
    const step = reduceAgent(agent.state, {
      kind: 'proxy-request-received',
      requestId: 9,
      now: agent.state.now,
      request: claim,
    });
    return step.effects.flatMap((effect) => (effect.kind === 'send-reply' ? [effect.reply] : []));
  };
  t.deepEqual(told(afterwards(silent)), [{ kind: 'unreached' }]);
  t.deepEqual(told(afterwards(answered)), []);
});
