import test from 'ava';
import { leaseDurationMs } from '@reedyard/replica';
import {
  type ReplicaCall,
  AgentUnderTest,
  proposalNumberOf,
  polledReply,
} from '../testing/scripted-replicas.js';
import { isLeaseLow } from './lease.js';

const pollsIn = (calls: readonly ReplicaCall[]): readonly ReplicaCall[] =>
  calls.filter(({ call }) => call.kind === 'poll');
const registerReadIn = (calls: readonly ReplicaCall[]): ReplicaCall | undefined =>
  calls.find(({ call }) => call.kind === 'read-register');

/**
 * Answers polls with replies that show the same proposal of the plan register, and returns the calls
 * that follow.
 */
const answerPolls = (
  agent: AgentUnderTest,
  calls: readonly ReplicaCall[],
  round: number,
  now: number,
): readonly ReplicaCall[] =>
  calls.flatMap((call) =>
    agent.answer(
      call,
      polledReply(call.replica, { policy: proposalNumberOf(1), plan: proposalNumberOf(round) }),
      now,
    ),
  );

const planOf = (round: number): object => ({
  term: 1,
  holder: 'p',
  beat: round,
  slices: {},
  seated: [],
});

test('a poll supports the lease once all that it showed is known, even if a newer poll shows a newer value', (t) => {
  const agent = new AgentUnderTest();
  const first = pollsIn(agent.beat(100));
  const registerRead = registerReadIn(answerPolls(agent, first, 1, 150));
  t.is(agent.state.leaseUntil, 0, 'the plan is not known yet');
  // Before the plan is fetched the next poll shows a newer plan: the register is written constantly.
  answerPolls(agent, pollsIn(agent.beat(700)), 2, 750);
  if (registerRead === undefined) {
    t.fail('the plan register is not read');
    return;
  }
  agent.answer(
    registerRead,
    {
      kind: 'register-read',
      diskId: 'disk-a',
      accepted: { proposalNumber: proposalNumberOf(1), value: planOf(1) },
    },
    760,
  );
  t.is(agent.state.leaseUntil, 100 + leaseDurationMs);
});

test('a fetched value that is newer than the polls show is learned once they show it, and is fetched once', (t) => {
  const agent = new AgentUnderTest();
  const registerRead = registerReadIn(answerPolls(agent, pollsIn(agent.beat(100)), 1, 150));
  if (registerRead === undefined) {
    t.fail('the plan register is not read');
    return;
  }
  // The replica has accepted the next plan by now, and it is not known whether that plan is chosen.
  agent.answer(
    registerRead,
    {
      kind: 'register-read',
      diskId: 'disk-a',
      accepted: { proposalNumber: proposalNumberOf(2), value: planOf(2) },
    },
    160,
  );
  t.is(agent.state.registers.plan, undefined);
  const [firstPoll, secondPoll, thirdPoll] = pollsIn(agent.beat(700));
  if (firstPoll === undefined || secondPoll === undefined || thirdPoll === undefined) {
    t.fail('not all three replicas are polled');
    return;
  }
  answerPolls(agent, [firstPoll], 2, 750);
  t.is(agent.state.registers.plan, undefined, 'only one of three replicas shows the plan');
  t.is(registerReadIn(answerPolls(agent, [secondPoll], 2, 750)), undefined);
  t.deepEqual(agent.state.registers.plan?.proposalNumber, proposalNumberOf(2));
  t.is(agent.state.leaseUntil, 700 + leaseDurationMs);
});

test('each register may have evidence from a different majority, and none from less than a majority', (t) => {
  const agent = new AgentUnderTest();
  const acceptedNumbers: Readonly<Record<string, object>> = {
    a: { policy: proposalNumberOf(9) },
    b: { zones: proposalNumberOf(9) },
    c: { plan: proposalNumberOf(9) },
  };
  for (const call of pollsIn(agent.beat(100)))
    agent.answer(call, polledReply(call.replica, acceptedNumbers[call.replica] as never), 150);
  t.is(agent.state.leaseUntil, 100 + leaseDurationMs);
  const other = new AgentUnderTest();
  for (const call of pollsIn(other.beat(100)))
    other.answer(
      call,
      polledReply(call.replica, call.replica === 'c' ? {} : { policy: proposalNumberOf(9) }),
      150,
    );
  t.is(other.state.leaseUntil, 0, 'two of three replicas show a policy that is not known here');
});

test('while the lease is low the replicas that do not support it are polled early; in the steady state none is', (t) => {
  const agent = new AgentUnderTest();
  /** Runs the agent until the given time, and counts the polls of each replica. */
  const countPolls = (
    until: number,
    isAnswered: (replica: string, now: number) => boolean,
  ): Readonly<Record<string, number>> => {
    const counts: Record<string, number> = { a: 0, b: 0, c: 0 };
    agent.run(until, ({ replica, call }) => {
      if (call.kind !== 'poll') return null;
      counts[replica] = (counts[replica] ?? 0) + 1;
      return isAnswered(replica, agent.state.now) ? polledReply(replica) : null;
    });
    return counts;
  };
  countPolls(1_000, () => true);
  t.deepEqual(
    countPolls(11_000, () => true),
    { a: 20, b: 20, c: 20 },
    'in the steady state, twice a second',
  );
  t.deepEqual(
    countPolls(21_000, (replica) => replica !== 'c'),
    { a: 20, b: 20, c: 20 },
    'one replica does not reply',
  );
  // The loss of two consecutive polls does not cost the lease.
  const from = agent.state.now;
  countPolls(from + 5_000, (_replica, now) => now < from + 700 || now > from + 1_700);
  t.false(isLeaseLow(agent.state));
  t.true(agent.state.leaseUntil > agent.state.now);
  // A replica that supports the lease is not polled early; the others are polled five times a second.
  // The next regular poll is due in 0.2 to 0.3 s, so that it coincides with none of the checked ticks.
  const untilRegularPollMs = (): number => agent.state.nextDueAt.pull - agent.state.now;
  while (untilRegularPollMs() <= 200 || untilRegularPollMs() > 300)
    countPolls(agent.state.now + 100, () => true);
  const noReplySince = agent.state.now;
  countPolls(noReplySince + 600, () => false);
  const polledReplicas = [700, 800, 900, 1_000].map((afterMs) => {
    const calls = agent.beat(noReplySince + afterMs);
    for (const call of calls) {
      if (call.replica === 'a') agent.answer(call, polledReply('a'), noReplySince + afterMs);
    }
    return calls.map(({ replica }) => replica).join(' ');
  });
  t.true(isLeaseLow(agent.state));
  // All three replicas get one regular poll in this time, and replica a gets one more, which supports
  // the lease.
  t.true(polledReplicas.includes('b c'), polledReplicas.join(', '));
  t.true(
    polledReplicas.filter((names) => names.includes('a')).length <= 2,
    polledReplicas.join(', '),
  );
});
