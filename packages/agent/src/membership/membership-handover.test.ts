// A successor that votes after it has read its predecessor alone, in orders that lose a value if
// what it holds is taken for more than its predecessor's votes.
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { Cluster } from '../testing/membership-cluster.js';
import type { Goal } from '../testing/membership-goals.js';
import type { Violation } from '../testing/membership-history.js';
import { mutations, sound } from '../testing/membership-mutations.js';
import type { Mutation } from '../testing/membership-mutations.js';
import type { Message } from '../testing/membership-network.js';

/** ms after which a replica asks again. */
const wait = 2_000;

const found = (mutation: Mutation): Cluster =>
  Cluster.found({
    founders: ['a', 'b', 'c'],
    spares: ['d', 'e'],
    clients: ['p', 'q', 'r'],
    mutation,
    syncing: 'at-once',
  });

/** The replica that a message goes to or comes from. */
const replicaOf = (message: Message): string =>
  message.kind === 'request' ? message.to : message.from;

const callerOf = ({ caller }: Message): string =>
  caller.kind === 'client' ? caller.name : caller.read.from;

/** Delivers what this caller and these replicas say to each other, until nothing of it is left. */
const exchange = (cluster: Cluster, caller: string, replicas: readonly string[]): void => {
  for (;;) {
    const next = cluster.messages.findIndex(
      (message) => callerOf(message) === caller && replicas.includes(replicaOf(message)),
    );
    if (next < 0) return;
    cluster.deliver(next);
  }
};

const loseAll = (cluster: Cluster): void => {
  cluster.messages = [];
};

const propose = (cluster: Cluster, name: string, goal: Goal, replicas: readonly string[]): void => {
  cluster.tellClient(name, { kind: 'propose', goal });
  exchange(cluster, name, replicas);
};

type Replacement = { readonly gone: string; readonly address: string; readonly disk: string };

const replace = (
  cluster: Cluster,
  { gone, address, disk }: Replacement,
  replicas: readonly string[],
): void => {
  const known = cluster.clients.r?.members?.value;
  if (known === undefined) throw new Error('the client knows no members');
  const goal: Goal = { kind: 'replace', known, gone, place: address, disk, address };
  propose(cluster, 'r', goal, replicas);
  loseAll(cluster);
};

/** A client learns of the newest members from a replica that was told of them. */
const tellClient = (cluster: Cluster, name: string, from: string): void => {
  cluster.tellClient(name, { kind: 'look', address: from });
  exchange(cluster, name, [from]);
  loseAll(cluster);
};

/** The client that changes the members tells a replica of them, which reads these. */
const tellReplica = (cluster: Cluster, address: string, read: readonly string[]): void => {
  cluster.tellClient('r', { kind: 'look', address });
  exchange(cluster, 'r', [address]);
  cluster.now += wait;
  cluster.tellReplica(address, { kind: 'tick', now: cluster.now });
  read.forEach((each) => exchange(cluster, address, [each]));
  loseAll(cluster);
};

const acknowledged = ({ history }: Cluster): readonly string[] =>
  history.appended.map(({ id }) => id);

/**
 * A member's value is copied by a successor that has read its predecessor, but not the third
 * member.
 */
const copyValue = (t: ExecutionContext, mutation: Mutation): readonly Violation[] => {
  const cluster = found(mutation);
  // p's value is accepted by a alone.
  cluster.tellClient('p', { kind: 'propose', goal: { kind: 'append', id: 'p1' } });
  const isPromised = (): boolean => cluster.clients.p?.attempts[1]?.proposal.phase === 'accept';
  for (const address of ['a', 'b']) {
    const prepare = cluster.messages.findIndex((each) => replicaOf(each) === address);
    cluster.deliver(prepare);
    cluster.deliver(cluster.messages.length - 1);
  }
  t.true(isPromised());
  exchange(cluster, 'p', ['a']);
  loseAll(cluster);
  // q has the promises of b and c, which hold nothing; its value is accepted by b alone.
  cluster.tellClient('q', { kind: 'outpaced', rounds: 9 });
  cluster.tellClient('q', { kind: 'propose', goal: { kind: 'append', id: 'q1' } });
  for (const address of ['b', 'c']) {
    const prepare = cluster.messages.findIndex((each) => replicaOf(each) === address);
    cluster.deliver(prepare);
    cluster.deliver(cluster.messages.length - 1);
  }
  exchange(cluster, 'q', ['b']);
  loseAll(cluster);
  t.deepEqual(acknowledged(cluster), []);
  // d takes over from c: it reads a, then c, and votes.
  replace(cluster, { gone: 'c', address: 'd', disk: 'disk-4' }, ['a', 'b']);
  tellReplica(cluster, 'd', ['a', 'c']);
  t.true(cluster.replicas.d?.state.hasBegunVoting);
  // p tries again with a and d, then q with b and d.
  for (const [name, address] of [
    ['p', 'a'],
    ['q', 'b'],
  ] as const) {
    tellClient(cluster, name, 'a');
    for (let tries = 0; tries < 3; tries += 1) {
      cluster.tellClient(name, { kind: 'retry', attempt: 1 });
      exchange(cluster, name, [address, 'd']);
    }
    loseAll(cluster);
  }
  if (mutation === sound) t.deepEqual(acknowledged(cluster), ['p1', 'q1']);
  return cluster.history.violations;
};

/** A disk gets a slot by old news, and is replaced before it has read what was chosen meanwhile. */
const replaceIdle = (t: ExecutionContext, mutation: Mutation): readonly Violation[] => {
  const cluster = found(mutation);
  // d takes over from c and votes, and is replaced by e without hearing of it.
  replace(cluster, { gone: 'c', address: 'd', disk: 'disk-4' }, ['a', 'b']);
  tellReplica(cluster, 'd', ['c']);
  replace(cluster, { gone: 'd', address: 'e', disk: 'disk-5' }, ['a', 'b']);
  tellReplica(cluster, 'e', ['a', 'b']);
  t.true(cluster.replicas.e?.state.hasBegunVoting);
  // b and e choose a value; nothing of it comes to a.
  tellClient(cluster, 'p', 'b');
  propose(cluster, 'p', { kind: 'append', id: 'p1' }, ['b', 'e']);
  loseAll(cluster);
  t.deepEqual(acknowledged(cluster), ['p1']);
  // By old news d is blank: it gets the slot of e, and a wiped machine that of d at once.
  replace(cluster, { gone: 'e', address: 'd', disk: 'disk-4' }, ['a', 'b']);
  cluster.wipe('c');
  const disk = cluster.replicas.c?.state.diskId ?? '';
  replace(cluster, { gone: 'd', address: 'c', disk }, ['a', 'b']);
  tellReplica(cluster, 'c', ['d']);
  t.is(cluster.clients.r?.members?.value.epoch, 5);
  // A client of these members reaches a and c alone.
  tellClient(cluster, 'q', 'b');
  propose(cluster, 'q', { kind: 'append', id: 'q1' }, ['a', 'c']);
  return cluster.history.violations;
};

const invariantsOf = (violations: readonly Violation[]): readonly string[] =>
  violations.map(({ invariant }) => invariant);

test('a value that a successor copied from another member does not count as its vote', (t) => {
  t.deepEqual(copyValue(t, sound), []);
});

test('where a copied value counts as a vote, an acknowledged value is lost', (t) => {
  const broken = invariantsOf(copyValue(t, mutations.countsCopies));
  t.true(broken.includes('acknowledged-is-readable'));
});

test('a predecessor that did not vote in its last place is not enough to read', (t) => {
  t.deepEqual(replaceIdle(t, sound), []);
});

test('where a predecessor that did not vote in its last place is read, a value is lost', (t) => {
  const broken = invariantsOf(replaceIdle(t, mutations.readsIdlePredecessor));
  t.true(broken.includes('acknowledged-is-readable'));
  t.true(broken.includes('reads-before-voting'));
});
