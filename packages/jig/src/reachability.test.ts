import test from 'ava';
import type { AnvilReply } from '@reedyard/anvil';
import { Limits } from '@reedyard/gauge';
import { isUnreachable, mayActFor } from './reachability.js';
import { AgentUnderTest, ballotOf, pulledReply, type ReplicaCall } from './replicas.fixture.js';

const voters = { ballot: ballotOf(1), value: { epoch: 1, disks: { a: 'disk-a', b: 'disk-b', c: 'disk-c' } } };
const answered = ({ replica, call }: ReplicaCall): AnvilReply | null =>
  (call.kind === 'pull' ? pulledReply(replica) : null);
const silent = (): null => null;

/** An agent that had a lease, and whose replicas then answered as given until a moment. */
const afterwards = (answer: (call: ReplicaCall) => AnvilReply | null, until = 10_000): AgentUnderTest => {
  const agent = new AgentUnderTest(true);
  agent.run(3_000, answered);
  agent.run(until, answer);
  return agent;
};

/** What a replica may say to a pull without being counted. */
const refusals: Readonly<Record<string, (replica: string) => AnvilReply>> = {
  'it is no member': (replica) => ({ kind: 'away', disk: `disk-${replica}`, fresh: false, informed: true }),
  'its disk is blank': (replica) => ({ kind: 'away', disk: `new-${replica}`, fresh: true, informed: true }),
  'it was told of other members': (replica) => ({ kind: 'stale', disk: `disk-${replica}`, voters }),
  'it waits for what was known': (replica) => ({ kind: 'settling', disk: `disk-${replica}`, epoch: 1 }),
  'it answers from another disk': (replica) => ({ ...pulledReply(replica), disk: `new-${replica}` }),
  'it shows what is not known here': (replica) => pulledReply(replica, { halls: ballotOf(9) }),
};

for (const [what, reply] of Object.entries(refusals)) {
  test(`a node whose replicas answer is in touch, though none counts: ${what}`, (t) => {
    const agent = afterwards(({ replica, call }) => (call.kind === 'pull' ? reply(replica) : null));
    t.true(agent.state.lease < agent.state.now);
    t.is(mayActFor(agent.state), 0);
    t.false(isUnreachable(agent.state));
    // A minority that answers is no majority.
    const other = afterwards(({ replica, call }) => (call.kind === 'pull' && replica === 'a' ? reply(replica) : null));
    t.is(mayActFor(other.state), Limits.cutOffLease);
    t.true(isUnreachable(other.state));
  });
}

test('a cut is known when the lease runs out, and is over with the first answers of a majority', (t) => {
  const agent = afterwards(silent, 3_000);
  const over = agent.state.lease;
  agent.run(over, silent);
  t.is(mayActFor(agent.state), Limits.cutOffLease);
  agent.run(30_000, silent);
  t.is(mayActFor(agent.state), Limits.cutOffLease);
  // What the answers show is not known here yet: in touch, and without a lease.
  const news = ({ replica, call }: ReplicaCall): AnvilReply | null =>
    (call.kind === 'pull' ? pulledReply(replica, { policy: ballotOf(7) }) : null);
  agent.run(30_600, news);
  t.is(mayActFor(agent.state), 0);
  t.true(agent.state.lease < agent.state.now);
});

test('a replica that answers again is asked ten times a second for a while, and only then', (t) => {
  const agent = afterwards(silent, 30_000);
  const pulls = (until: number, answers: boolean): number => {
    let count = 0;
    agent.run(until, ({ replica, call }) => {
      if (call.kind !== 'pull' || replica !== 'a') return null;
      count += 1;
      return answers ? { kind: 'settling', disk: 'disk-a', epoch: 1 } : null;
    });
    return count;
  };
  t.is(pulls(35_000, false), 10, 'silent for long');
  t.true(pulls(40_000, true) >= 40, 'it is back');
  t.true(pulls(51_000, true) <= 30, 'it goes on refusing');
});
