// A blank disk that got a slot, lost it before it had read the others, and gets one again.
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { Cluster } from '../testing/membership-cluster.js';
import type { Goal } from '../testing/membership-goals.js';
import { harm } from '../testing/membership-history.js';
import type { Violation } from '../testing/membership-history.js';
import { mutations, sound } from '../testing/membership-mutations.js';
import type { Mutation } from '../testing/membership-mutations.js';
import type { Message } from '../testing/membership-network.js';

/** ms after which a replica asks again. */
const wait = 2_000;

const callerOf = ({ caller }: Message): string =>
  caller.kind === 'client' ? caller.name : caller.read.from;

/** Delivers all that goes neither to nor from these, until nothing else is under way. */
const settle = (cluster: Cluster, apart: readonly string[] = []): void => {
  const isFree = (message: Message): boolean => {
    const replica = message.kind === 'request' ? message.to : message.from;
    return !apart.includes(replica) && !apart.includes(callerOf(message));
  };
  for (;;) {
    const next = cluster.messages.findIndex(isFree);
    if (next < 0) return;
    cluster.deliver(next);
  }
};

const propose = (cluster: Cluster, name: string, goal: Goal, apart: readonly string[]): void => {
  cluster.tellClient(name, { kind: 'propose', goal });
  settle(cluster, apart);
};

const replace = (
  cluster: Cluster,
  gone: string,
  [address, disk]: readonly [string, string],
  apart: readonly string[],
): void => {
  const known = cluster.clients.p?.members?.value;
  if (known === undefined) throw new Error('the client knows no members');
  propose(cluster, 'p', { kind: 'replace', known, gone, place: address, disk, address }, apart);
};

/** Tells a replica of the members that the client knows: it asks whom it must read at once. */
const tell = (cluster: Cluster, address: string, apart: readonly string[]): void => {
  cluster.now += wait;
  cluster.tellClient('p', { kind: 'look', address });
  const look = cluster.messages.length - 1;
  cluster.deliver(look);
  settle(cluster, [...apart, address]);
};

/** Plays the sequence, and shows what the observer has against it. */
const play = (t: ExecutionContext, mutation: Mutation): readonly Violation[] => {
  const cluster = Cluster.found({
    founders: ['a', 'b', 'c'],
    spares: ['d', 'e'],
    clients: ['p', 'q'],
    mutation,
    syncing: 'at-once',
  });
  // Epoch 2 names d in place of c. d asks a, b and c for what they hold; the answers are slow.
  replace(cluster, 'c', ['d', 'disk-4'], []);
  tell(cluster, 'd', []);
  cluster.messages = cluster.messages.filter((message) => callerOf(message) === 'd');
  cluster.messages.forEach(() => cluster.deliver(0));
  const slow = cluster.messages;
  t.deepEqual(slow.map((message) => message.kind === 'reply' && message.from).sort(), [
    'a',
    'b',
    'c',
  ]);
  cluster.messages = [];
  // Epoch 3 names e in place of d, which hears nothing of it. e reads a and b, and votes.
  replace(cluster, 'd', ['e', 'disk-5'], ['d']);
  tell(cluster, 'e', ['d']);
  settle(cluster, ['d']);
  t.true(cluster.replicas.e?.state.hasBegunVoting);
  // b and e choose a value; nothing of it comes to a.
  propose(cluster, 'p', { kind: 'append', id: 'p1' }, ['a', 'd']);
  t.deepEqual(
    cluster.history.appended.map(({ id }) => id),
    ['p1'],
  );
  // Epoch 4 gives the slot of e to d, which is blank still.
  cluster.messages = [];
  replace(cluster, 'e', ['d', 'disk-4'], ['d']);
  t.is(cluster.clients.p?.members?.value.epoch, 4);
  // The answers of epoch 2 come; then a client of epoch 4 reaches a and d alone.
  cluster.messages = slow;
  settle(cluster);
  for (const name of ['p', 'q']) {
    cluster.tellClient(name, { kind: 'look', address: 'b' });
    settle(cluster);
  }
  t.is(cluster.clients.q?.members?.value.epoch, 4);
  propose(cluster, 'q', { kind: 'append', id: 'q1' }, ['b', 'e']);
  return cluster.history.violations;
};

test('a disk that is given a place for the second time reads again before it votes', (t) => {
  t.deepEqual(play(t, sound), []);
});

test('a disk that votes in every place once it has voted in one: the sequence loses a value', (t) => {
  const broken = play(t, mutations.votesInAnyPlace).map(({ invariant }) => invariant);
  t.true(harm.some((invariant) => broken.includes(invariant)));
  t.true(broken.includes('reads-before-voting'));
});
