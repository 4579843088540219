import test from 'ava';
import { leaseDurationMs } from '@reedyard/replica';
import {
  type ReplicaCall,
  AgentUnderTest,
  proposalNumberOf,
  polledReply,
} from '../testing/scripted-replicas.js';
import { isLeaseLow } from './lease.js';

const pullsIn = (calls: readonly ReplicaCall[]): readonly ReplicaCall[] =>
  calls.filter(({ call }) => call.kind === 'poll');
const fetchIn = (calls: readonly ReplicaCall[]): ReplicaCall | undefined =>
  calls.find(({ call }) => call.kind === 'read-register');

/** Answers polls, all showing one proposal of a register, and gives the calls that follow. */
const answerAll = (
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

test('a pull counts from the moment that all it showed is known, also if a newer pull shows news again', (t) => {
  const agent = new AgentUnderTest();
  const first = pullsIn(agent.beat(100));
  const fetch = fetchIn(answerAll(agent, first, 1, 150));
  t.is(agent.state.leaseUntil, 0, 'the plan is not known yet');
  // Before it is fetched, the next poll shows a newer plan: the register is written all the time.
  answerAll(agent, pullsIn(agent.beat(700)), 2, 750);
  if (fetch === undefined) {
    t.fail('the plan should be fetched');
    return;
  }
  agent.answer(
    fetch,
    {
      kind: 'register-read',
      diskId: 'disk-a',
      accepted: { proposalNumber: proposalNumberOf(1), value: planOf(1) },
    },
    760,
  );
  t.is(agent.state.leaseUntil, 100 + leaseDurationMs);
});

test('a fetched value that is newer than what pulls show is learned once they show it, and not fetched twice', (t) => {
  const agent = new AgentUnderTest();
  const fetch = fetchIn(answerAll(agent, pullsIn(agent.beat(100)), 1, 150));
  if (fetch === undefined) {
    t.fail('the plan should be fetched');
    return;
  }
  // By now the replica has accepted the next plan. Whether that one is chosen is not known.
  agent.answer(
    fetch,
    {
      kind: 'register-read',
      diskId: 'disk-a',
      accepted: { proposalNumber: proposalNumberOf(2), value: planOf(2) },
    },
    160,
  );
  t.is(agent.state.registers.plan, undefined);
  const [one, two, three] = pullsIn(agent.beat(700));
  if (one === undefined || two === undefined || three === undefined) {
    t.fail('three replicas should be asked');
    return;
  }
  answerAll(agent, [one], 2, 750);
  t.is(agent.state.registers.plan, undefined, 'one of three shows it');
  t.is(fetchIn(answerAll(agent, [two], 2, 750)), undefined);
  t.deepEqual(agent.state.registers.plan?.proposalNumber, proposalNumberOf(2));
  t.is(agent.state.leaseUntil, 700 + leaseDurationMs);
});

test('each register may be proven by another majority, and none by less than one', (t) => {
  const agent = new AgentUnderTest();
  const shown: Readonly<Record<string, object>> = {
    a: { policy: proposalNumberOf(9) },
    b: { zones: proposalNumberOf(9) },
    c: { plan: proposalNumberOf(9) },
  };
  for (const call of pullsIn(agent.beat(100)))
    agent.answer(call, polledReply(call.replica, shown[call.replica] as never), 150);
  t.is(agent.state.leaseUntil, 100 + leaseDurationMs);
  const other = new AgentUnderTest();
  for (const call of pullsIn(other.beat(100)))
    other.answer(
      call,
      polledReply(call.replica, call.replica === 'c' ? {} : { policy: proposalNumberOf(9) }),
      150,
    );
  t.is(other.state.leaseUntil, 0, 'two of three show a policy that is not known here');
});

test('a lease that runs low asks those again that do not carry it; at rest nobody is asked more often', (t) => {
  const agent = new AgentUnderTest();
  /** Beats until a moment, and counts the polls of each replica. */
  const active = (
    until: number,
    answers: (replica: string, now: number) => boolean,
  ): Readonly<Record<string, number>> => {
    const counts: Record<string, number> = { a: 0, b: 0, c: 0 };
    agent.run(until, ({ replica, call }) => {
      if (call.kind !== 'poll') return null;
      counts[replica] = (counts[replica] ?? 0) + 1;
      return answers(replica, agent.state.now) ? polledReply(replica) : null;
    });
    return counts;
  };
  active(1_000, () => true);
  t.deepEqual(
    active(11_000, () => true),
    { a: 20, b: 20, c: 20 },
    'at rest, twice a second',
  );
  t.deepEqual(
    active(21_000, (replica) => replica !== 'c'),
    { a: 20, b: 20, c: 20 },
    'one replica is away',
  );
  // Two polls in turn are lost: it is borne.
  const from = agent.state.now;
  active(from + 5_000, (_replica, now) => now < from + 700 || now > from + 1_700);
  t.false(isLeaseLow(agent.state));
  t.true(agent.state.leaseUntil > agent.state.now);
  // A replica that carries the lease is left alone; the others are asked five times a second.
  // The regular turn comes 0.2 to 0.3 s from now, so that it meets none of the turns looked at.
  const untilTurn = (): number => agent.state.nextDueAt.pull - agent.state.now;
  while (untilTurn() <= 200 || untilTurn() > 300) active(agent.state.now + 100, () => true);
  const low = agent.state.now;
  active(low + 600, () => false);
  const asked = [700, 800, 900, 1_000].map((ms) => {
    const calls = agent.beat(low + ms);
    for (const call of calls) {
      if (call.replica === 'a') agent.answer(call, polledReply('a'), low + ms);
    }
    return calls.map(({ replica }) => replica).join(' ');
  });
  t.true(isLeaseLow(agent.state));
  // All three are asked by their regular turn, once in this time, and a once to carry the lease.
  t.true(asked.includes('b c'), asked.join(', '));
  t.true(asked.filter((each) => each.includes('a')).length <= 2, asked.join(', '));
});
