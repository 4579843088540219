// Tests a successor that votes after it has read only its predecessor, in message orders that lose
// a value if what the successor copied counts for more than the votes of its predecessor.
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { Cluster } from '../testing/membership-cluster.js';
import type { Goal } from '../testing/membership-goals.js';
import type { Violation } from '../testing/membership-history.js';
import { mutations, noMutation } from '../testing/membership-mutations.js';
import type { Mutation } from '../testing/membership-mutations.js';
import type { Message } from '../testing/membership-network.js';

/** The time after which a replica sends its request again, in milliseconds. */
const retryIntervalMs = 2_000;

const createCluster = (mutation: Mutation): Cluster =>
  Cluster.createFounded({
    founders: ['a', 'b', 'c'],
    spares: ['d', 'e'],
    clients: ['p', 'q', 'r'],
    mutation,
    syncMode: 'at-once',
  });

/** Returns the replica that a message is sent to or comes from. */
const replicaOf = (message: Message): string =>
  message.kind === 'request' ? message.to : message.from;

const requesterOf = ({ requester }: Message): string =>
  requester.kind === 'client' ? requester.name : requester.read.from;

/** Delivers the messages between this requester and these replicas until none is left. */
const exchangeMessages = (
  cluster: Cluster,
  requester: string,
  replicas: readonly string[],
): void => {
  for (;;) {
    const next = cluster.messages.findIndex(
      (message) => requesterOf(message) === requester && replicas.includes(replicaOf(message)),
    );
    if (next < 0) return;
    cluster.deliver(next);
  }
};

const dropAllMessages = (cluster: Cluster): void => {
  cluster.messages = [];
};

const propose = (cluster: Cluster, name: string, goal: Goal, replicas: readonly string[]): void => {
  cluster.dispatchToClient(name, { kind: 'propose', goal });
  exchangeMessages(cluster, name, replicas);
};

type Replacement = {
  readonly replacedSlot: string;
  readonly address: string;
  readonly disk: string;
};

const replace = (
  cluster: Cluster,
  { replacedSlot, address, disk }: Replacement,
  replicas: readonly string[],
): void => {
  const known = cluster.clients.r?.members?.value;
  if (known === undefined) throw new Error('client r knows no membership');
  const goal: Goal = { kind: 'replace', known, replacedSlot, slot: address, disk, address };
  propose(cluster, 'r', goal, replicas);
  dropAllMessages(cluster);
};

/** Makes a client learn the newest membership from a replica that knows it. */
const learnMembersFrom = (cluster: Cluster, name: string, from: string): void => {
  cluster.dispatchToClient(name, { kind: 'look', address: from });
  exchangeMessages(cluster, name, [from]);
  dropAllMessages(cluster);
};

/**
 * Sends the membership from the client that changes it to a replica, which then reads these
 * replicas.
 */
const announceMembersTo = (
  cluster: Cluster,
  address: string,
  readFrom: readonly string[],
): void => {
  cluster.dispatchToClient('r', { kind: 'look', address });
  exchangeMessages(cluster, 'r', [address]);
  cluster.now += retryIntervalMs;
  cluster.dispatchToReplica(address, { kind: 'tick', now: cluster.now });
  readFrom.forEach((source) => exchangeMessages(cluster, address, [source]));
  dropAllMessages(cluster);
};

const acknowledged = ({ history }: Cluster): readonly string[] =>
  history.appended.map(({ id }) => id);

/**
 * Runs a sequence in which a successor copies a member's value; the successor has read its
 * predecessor, but not the third member.
 */
const copyValue = (t: ExecutionContext, mutation: Mutation): readonly Violation[] => {
  const cluster = createCluster(mutation);
  // The value of p is accepted by a alone.
  cluster.dispatchToClient('p', { kind: 'propose', goal: { kind: 'append', id: 'p1' } });
  const isPromised = (): boolean => cluster.clients.p?.attempts[1]?.proposal.phase === 'accept';
  for (const address of ['a', 'b']) {
    const prepare = cluster.messages.findIndex((message) => replicaOf(message) === address);
    cluster.deliver(prepare);
    cluster.deliver(cluster.messages.length - 1);
  }
  t.true(isPromised());
  exchangeMessages(cluster, 'p', ['a']);
  dropAllMessages(cluster);
  // q has the promises of b and c, which have accepted nothing; its value is accepted by b alone.
  cluster.dispatchToClient('q', { kind: 'outpaced', rounds: 9 });
  cluster.dispatchToClient('q', { kind: 'propose', goal: { kind: 'append', id: 'q1' } });
  for (const address of ['b', 'c']) {
    const prepare = cluster.messages.findIndex((message) => replicaOf(message) === address);
    cluster.deliver(prepare);
    cluster.deliver(cluster.messages.length - 1);
  }
  exchangeMessages(cluster, 'q', ['b']);
  dropAllMessages(cluster);
  t.deepEqual(acknowledged(cluster), []);
  // d replaces c: it reads a, then c, and starts to vote.
  replace(cluster, { replacedSlot: 'c', address: 'd', disk: 'disk-4' }, ['a', 'b']);
  announceMembersTo(cluster, 'd', ['a', 'c']);
  t.true(cluster.replicas.d?.state.hasBegunVoting);
  // p retries with a and d, then q with b and d.
  for (const [name, address] of [
    ['p', 'a'],
    ['q', 'b'],
  ] as const) {
    learnMembersFrom(cluster, name, 'a');
    for (let retries = 0; retries < 3; retries += 1) {
      cluster.dispatchToClient(name, { kind: 'retry', attempt: 1 });
      exchangeMessages(cluster, name, [address, 'd']);
    }
    dropAllMessages(cluster);
  }
  if (mutation === noMutation) t.deepEqual(acknowledged(cluster), ['p1', 'q1']);
  return cluster.history.violations;
};

/**
 * Runs a sequence in which a disk is assigned a slot because of outdated information, and is
 * replaced before it has read the values chosen in the meantime.
 */
const replaceIdle = (t: ExecutionContext, mutation: Mutation): readonly Violation[] => {
  const cluster = createCluster(mutation);
  // d replaces c and starts to vote, and is replaced by e without learning of it.
  replace(cluster, { replacedSlot: 'c', address: 'd', disk: 'disk-4' }, ['a', 'b']);
  announceMembersTo(cluster, 'd', ['c']);
  replace(cluster, { replacedSlot: 'd', address: 'e', disk: 'disk-5' }, ['a', 'b']);
  announceMembersTo(cluster, 'e', ['a', 'b']);
  t.true(cluster.replicas.e?.state.hasBegunVoting);
  // b and e choose a value; a receives none of the messages.
  learnMembersFrom(cluster, 'p', 'b');
  propose(cluster, 'p', { kind: 'append', id: 'p1' }, ['b', 'e']);
  dropAllMessages(cluster);
  t.deepEqual(acknowledged(cluster), ['p1']);
  // Outdated information says that d is blank: d is assigned the slot of e, and a wiped machine is
  // immediately assigned that of d.
  replace(cluster, { replacedSlot: 'e', address: 'd', disk: 'disk-4' }, ['a', 'b']);
  cluster.wipe('c');
  const disk = cluster.replicas.c?.state.diskId ?? '';
  replace(cluster, { replacedSlot: 'd', address: 'c', disk }, ['a', 'b']);
  announceMembersTo(cluster, 'c', ['d']);
  t.is(cluster.clients.r?.members?.value.epoch, 5);
  // A client that knows this membership reaches only a and c.
  learnMembersFrom(cluster, 'q', 'b');
  propose(cluster, 'q', { kind: 'append', id: 'q1' }, ['a', 'c']);
  return cluster.history.violations;
};

const invariantsOf = (violations: readonly Violation[]): readonly string[] =>
  violations.map(({ invariant }) => invariant);

test('a value that a successor copied from another member does not count as its vote', (t) => {
  t.deepEqual(copyValue(t, noMutation), []);
});

test('an acknowledged value is lost if a copied value counts as a vote', (t) => {
  const violated = invariantsOf(copyValue(t, mutations.countsCopies));
  t.true(violated.includes('acknowledged-is-readable'));
});

test('a successor does not vote after reading only a predecessor that did not vote in its last slot', (t) => {
  t.deepEqual(replaceIdle(t, noMutation), []);
});

test('a value is lost if a successor votes after reading a predecessor that did not vote in its last slot', (t) => {
  const violated = invariantsOf(replaceIdle(t, mutations.readsIdlePredecessor));
  t.true(violated.includes('acknowledged-is-readable'));
  t.true(violated.includes('reads-before-voting'));
});
