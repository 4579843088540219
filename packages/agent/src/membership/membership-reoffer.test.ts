// Tests a blank disk that was assigned a slot, lost it before it had read the other members, and is
// assigned a slot again.
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { Cluster } from '../testing/membership-cluster.js';
import type { Goal } from '../testing/membership-goals.js';
import { harmfulInvariants } from '../testing/membership-history.js';
import type { Violation } from '../testing/membership-history.js';
import { mutations, noMutation } from '../testing/membership-mutations.js';
import type { Mutation } from '../testing/membership-mutations.js';
import type { Message } from '../testing/membership-network.js';

/** The time after which a replica sends its request again, in milliseconds. */
const retryIntervalMs = 2_000;

const requesterOf = ({ requester }: Message): string =>
  requester.kind === 'client' ? requester.name : requester.read.from;

/**
 * Delivers all messages that are neither sent to nor by the isolated nodes, until none of them is
 * in flight.
 */
const settle = (cluster: Cluster, isolated: readonly string[] = []): void => {
  const isFree = (message: Message): boolean => {
    const replica = message.kind === 'request' ? message.to : message.from;
    return !isolated.includes(replica) && !isolated.includes(requesterOf(message));
  };
  for (;;) {
    const next = cluster.messages.findIndex(isFree);
    if (next < 0) return;
    cluster.deliver(next);
  }
};

const propose = (cluster: Cluster, name: string, goal: Goal, isolated: readonly string[]): void => {
  cluster.dispatchToClient(name, { kind: 'propose', goal });
  settle(cluster, isolated);
};

const replace = (
  cluster: Cluster,
  replacedSlot: string,
  [address, disk]: readonly [string, string],
  isolated: readonly string[],
): void => {
  const known = cluster.clients.p?.members?.value;
  if (known === undefined) throw new Error('client p knows no membership');
  propose(
    cluster,
    'p',
    { kind: 'replace', known, replacedSlot, slot: address, disk, address },
    isolated,
  );
};

/**
 * Sends the membership that the client knows to a replica, which immediately sends requests to the
 * members that it must read.
 */
const announceMembersTo = (
  cluster: Cluster,
  address: string,
  isolated: readonly string[],
): void => {
  cluster.now += retryIntervalMs;
  cluster.dispatchToClient('p', { kind: 'look', address });
  const lookIndex = cluster.messages.length - 1;
  cluster.deliver(lookIndex);
  settle(cluster, [...isolated, address]);
};

/** Runs the sequence and returns the violations that the observer found. */
const playSequence = (t: ExecutionContext, mutation: Mutation): readonly Violation[] => {
  const cluster = Cluster.createFounded({
    founders: ['a', 'b', 'c'],
    spares: ['d', 'e'],
    clients: ['p', 'q'],
    mutation,
    syncMode: 'at-once',
  });
  // Epoch 2 names d in place of c. d requests the data of a, b and c; the replies are delayed.
  replace(cluster, 'c', ['d', 'disk-4'], []);
  announceMembersTo(cluster, 'd', []);
  cluster.messages = cluster.messages.filter((message) => requesterOf(message) === 'd');
  cluster.messages.forEach(() => cluster.deliver(0));
  const delayedReplies = cluster.messages;
  t.deepEqual(delayedReplies.map((message) => message.kind === 'reply' && message.from).sort(), [
    'a',
    'b',
    'c',
  ]);
  cluster.messages = [];
  // Epoch 3 names e in place of d, which does not learn of it. e reads a and b, and starts to vote.
  replace(cluster, 'd', ['e', 'disk-5'], ['d']);
  announceMembersTo(cluster, 'e', ['d']);
  settle(cluster, ['d']);
  t.true(cluster.replicas.e?.state.hasBegunVoting);
  // b and e choose a value; a receives none of the messages.
  propose(cluster, 'p', { kind: 'append', id: 'p1' }, ['a', 'd']);
  t.deepEqual(
    cluster.history.appended.map(({ id }) => id),
    ['p1'],
  );
  // Epoch 4 assigns the slot of e to d, which is still blank.
  cluster.messages = [];
  replace(cluster, 'e', ['d', 'disk-4'], ['d']);
  t.is(cluster.clients.p?.members?.value.epoch, 4);
  // The replies of epoch 2 arrive; then a client of epoch 4 reaches only a and d.
  cluster.messages = delayedReplies;
  settle(cluster);
  for (const name of ['p', 'q']) {
    cluster.dispatchToClient(name, { kind: 'look', address: 'b' });
    settle(cluster);
  }
  t.is(cluster.clients.q?.members?.value.epoch, 4);
  propose(cluster, 'q', { kind: 'append', id: 'q1' }, ['b', 'e']);
  return cluster.history.violations;
};

test('a disk that is assigned a slot for the second time reads the members again before it votes', (t) => {
  t.deepEqual(playSequence(t, noMutation), []);
});

test('a value is lost if a disk votes in every slot after it has voted in one', (t) => {
  const violated = playSequence(t, mutations.votesInAnySlot).map(({ invariant }) => invariant);
  t.true(harmfulInvariants.some((invariant) => violated.includes(invariant)));
  t.true(violated.includes('reads-before-voting'));
});
