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

/** One exchange from a to b, as two agents make it. */
const exchange = (
  a: GossipState,
  b: GossipState,
  now: number,
): readonly [GossipState, GossipState] => {
  const compared = compareDigest(b, digestOf(a));
  const nextA = mergeUpdates(a, compared.newer, now).state;
  return [nextA, mergeUpdates(b, pickUpdates(nextA, compared.wants), now).state];
};

test('two that exchange hold the same, the higher revision wins, in either order', (t) => {
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

test('what is forgotten does not come back by a late copy, but its owner does', (t) => {
  const told = publishRecord(
    publishRecord(emptyGossip, 'origin/s/i', 'v', 0),
    'origin/s/i',
    'v',
    0,
  );
  const swept = expireRecords(told, originRetentionMs + 1);
  t.deepEqual(swept.expiredKeys, ['origin/s/i']);
  t.is(recordValue(exchange(swept.state, told, 20_000)[0], 'origin/s/i'), undefined);
  // The owner came back without memory: it speaks below the revision that others have put away,
  // hears of that, and speaks above it.
  let owner = publishRecord(emptyGossip, 'origin/s/i', 'back', 20_000);
  [owner] = exchange(owner, swept.state, 20_000);
  owner = publishRecord(owner, 'origin/s/i', 'back', 20_100);
  t.is(recordValue(exchange(owner, swept.state, 20_100)[1], 'origin/s/i'), 'back');
});

test('a heartbeat carries no value to one who has it, and the value to one who has not', (t) => {
  const told = publishRecord(emptyGossip, 'node/a', { long: 'value' }, 0);
  const beaten = renewRecord(renewRecord(told, 'node/a', 500), 'node/a', 1_000);
  t.deepEqual(compareDigest(beaten, digestOf(told)).newer, { 'node/a': { revision: 3 } });
  t.deepEqual(compareDigest(beaten, {}).newer, {
    'node/a': { revision: 3, value: { long: 'value' } },
  });
  t.deepEqual(pickUpdates(beaten, compareDigest(told, digestOf(beaten)).wants), {
    'node/a': { revision: 3 },
  });
  t.deepEqual(pickUpdates(beaten, compareDigest(emptyGossip, digestOf(beaten)).wants), {
    'node/a': { revision: 3, value: { long: 'value' } },
  });
  const [heard] = exchange(told, beaten, 2_000);
  t.deepEqual(liveRecords(heard, 'node/'), [['node/a', { long: 'value' }, 2_000]]);
  // It is no sign of life of a record that was put away meanwhile, nor of one that was never had.
  const swept = expireRecords(told, nodeRetentionMs + 1).state;
  t.deepEqual(mergeUpdates(swept, { 'node/a': { revision: 3 } }, 40_000), {
    state: swept,
    news: [],
    values: [],
  });
  t.deepEqual(mergeUpdates(emptyGossip, { 'node/a': { revision: 3 } }, 0).updatedKeys, []);
  t.is(recordValue(exchange(swept, beaten, 40_000)[0], 'node/a') !== undefined, true);
});

test('a changed value reaches those who hold any earlier revision, also over one who had only heartbeats since', (t) => {
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

test('a shuffle keeps the view bounded, never holds oneself, and prefers what was received', (t) => {
  const many = (names: string): readonly Neighbour[] =>
    [...names].map((id, age) => ({ id, address: `${id}:1`, age }));
  const view = shuffleView(many('abcdefgh'), 'me', many('xyzme'.slice(0, 3)), many('ab'));
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
