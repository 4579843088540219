import test from 'ava';
import { compareDigest, digestOf, mergeUpdates, pickUpdates } from './exchange.js';
import type { GossipState, Neighbour } from './index.js';
import { sampleView, shuffleView, viewSize } from './partial-view.js';
import {
  emptyGossip,
  expireRecords,
  liveRecords,
  nodeRetentionMs,
  originRetentionMs,
  publishRecord,
  recordValue,
  renewRecord,
} from './records.js';

/** One exchange that `a` starts with `b`, in the order of the agents' messages. */
const exchange = (
  a: GossipState,
  b: GossipState,
  now: number,
): readonly [GossipState, GossipState] => {
  const compared = compareDigest(b, digestOf(a));
  const nextA = mergeUpdates(a, compared.newer, now).state;
  return [nextA, mergeUpdates(b, pickUpdates(nextA, compared.wants), now).state];
};

test('after an exchange both nodes have the same records with the highest revisions, whichever node starts', (t) => {
  let a = publishRecord(publishRecord(emptyGossip, 'node/a', 1, 0), 'node/x', 'old', 0);
  let b = publishRecord(
    publishRecord(publishRecord(emptyGossip, 'node/b', 2, 0), 'node/x', 'older', 0),
    'node/x',
    'new',
    0,
  );
  const [a1, b1] = exchange(a, b, 1);
  const [b2, a2] = exchange(b, a, 1);
  for (const state of [a1, b1, a2, b2])
    t.deepEqual(
      [recordValue(state, 'node/a'), recordValue(state, 'node/b'), recordValue(state, 'node/x')],
      [1, 2, 'new'],
    );
  [a, b] = [a1, b1];
  t.deepEqual(digestOf(a), digestOf(b));
});

test('a late copy does not restore an expired record, but a new publication by its owner does', (t) => {
  const published = publishRecord(
    publishRecord(emptyGossip, 'origin/s/i', 'v', 0),
    'origin/s/i',
    'v',
    0,
  );
  const expired = expireRecords(published, originRetentionMs + 1);
  t.deepEqual(expired.expiredKeys, ['origin/s/i']);
  t.is(recordValue(exchange(expired.state, published, 20_000)[0], 'origin/s/i'), undefined);
  // The owner restarted without its state: it publishes below the revision that the other node
  // keeps for the expired record, learns that revision, and publishes above it.
  let owner = publishRecord(emptyGossip, 'origin/s/i', 'back', 20_000);
  [owner] = exchange(owner, expired.state, 20_000);
  owner = publishRecord(owner, 'origin/s/i', 'back', 20_100);
  t.is(recordValue(exchange(owner, expired.state, 20_100)[1], 'origin/s/i'), 'back');
});

test('a heartbeat carries the value only to a node that does not have it', (t) => {
  const published = publishRecord(emptyGossip, 'node/a', { long: 'value' }, 0);
  const renewed = renewRecord(renewRecord(published, 'node/a', 500), 'node/a', 1_000);
  t.deepEqual(compareDigest(renewed, digestOf(published)).newer, { 'node/a': { revision: 3 } });
  t.deepEqual(compareDigest(renewed, {}).newer, {
    'node/a': { revision: 3, value: { long: 'value' } },
  });
  t.deepEqual(pickUpdates(renewed, compareDigest(published, digestOf(renewed)).wants), {
    'node/a': { revision: 3 },
  });
  t.deepEqual(pickUpdates(renewed, compareDigest(emptyGossip, digestOf(renewed)).wants), {
    'node/a': { revision: 3, value: { long: 'value' } },
  });
  const [receiver] = exchange(published, renewed, 2_000);
  t.deepEqual(liveRecords(receiver, 'node/'), [['node/a', { long: 'value' }, 2_000]]);
  // A heartbeat renews neither a record that expired meanwhile nor one that the node never had.
  const expired = expireRecords(published, nodeRetentionMs + 1).state;
  t.deepEqual(mergeUpdates(expired, { 'node/a': { revision: 3 } }, 40_000), {
    state: expired,
    updatedKeys: [],
    keysWithValue: [],
  });
  t.deepEqual(mergeUpdates(emptyGossip, { 'node/a': { revision: 3 } }, 0).updatedKeys, []);
  t.is(recordValue(exchange(expired, renewed, 40_000)[0], 'node/a') !== undefined, true);
});

test('a changed value reaches a node with any earlier revision, also through a node that later received only heartbeats', (t) => {
  const first = publishRecord(emptyGossip, 'node/a', 'old', 0);
  const early = first;
  const changed = renewRecord(
    publishRecord(renewRecord(first, 'node/a', 1), 'node/a', 'new', 2),
    'node/a',
    3,
  );
  const [between] = exchange(first, changed, 4);
  const later = exchange(between, renewRecord(changed, 'node/a', 5), 6)[0];
  t.is(recordValue(exchange(early, later, 7)[0], 'node/a'), 'new');
});

test('a shuffle keeps the view bounded, excludes the node itself and prefers received neighbours', (t) => {
  const neighboursNamed = (names: string): readonly Neighbour[] =>
    [...names].map((id, age) => ({ id, address: `${id}:1`, age }));
  const view = shuffleView(
    neighboursNamed('abcdefgh'),
    'me',
    neighboursNamed('xyzme'.slice(0, 3)),
    neighboursNamed('ab'),
  );
  t.is(view.length, viewSize);
  for (const id of 'xyz') t.true(view.some((each) => each.id === id));
  t.false(shuffleView(view, 'x', [], []).length > viewSize);
  t.false(
    shuffleView([], 'me', [{ id: 'me', address: 'm:1', age: 0 }], []).some(
      (each) => each.id === 'me',
    ),
  );
  t.is(sampleView(view, { id: 'me', address: 'm:1' }, 0.99)[0]?.id, 'me');
});
