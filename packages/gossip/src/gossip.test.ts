import test from 'ava';
import { Limits, Sizes } from '@reedyard/constants';
import { Gossip, type Neighbour, type GossipState } from './index.js';

/** One exchange from a to b, as two agents make it. */
const exchange = (
  a: GossipState,
  b: GossipState,
  now: number,
): readonly [GossipState, GossipState] => {
  const compared = Gossip.compare(b, Gossip.digest(a));
  const nextA = Gossip.learn(a, compared.newer, now).state;
  return [nextA, Gossip.learn(b, Gossip.pick(nextA, compared.wants), now).state];
};

test('two that exchange hold the same, the higher revision wins, in either order', (t) => {
  let a = Gossip.tell(Gossip.tell(Gossip.empty, 'node/a', 1, 0), 'node/x', 'old', 0);
  let b = Gossip.tell(
    Gossip.tell(Gossip.tell(Gossip.empty, 'node/b', 2, 0), 'node/x', 'older', 0),
    'node/x',
    'new',
    0,
  );
  const [a1, b1] = exchange(a, b, 1);
  const [b2, a2] = exchange(b, a, 1);
  for (const state of [a1, b1, a2, b2])
    t.deepEqual(
      [Gossip.get(state, 'node/a'), Gossip.get(state, 'node/b'), Gossip.get(state, 'node/x')],
      [1, 2, 'new'],
    );
  [a, b] = [a1, b1];
  t.deepEqual(Gossip.digest(a), Gossip.digest(b));
});

test('what is forgotten does not come back by a late copy, but its owner does', (t) => {
  const told = Gossip.tell(Gossip.tell(Gossip.empty, 'origin/s/i', 'v', 0), 'origin/s/i', 'v', 0);
  const swept = Gossip.sweep(told, Limits.originForgotten + 1);
  t.deepEqual(swept.gone, ['origin/s/i']);
  t.is(Gossip.get(exchange(swept.state, told, 20_000)[0], 'origin/s/i'), undefined);
  // The owner came back without memory: it speaks below the revision that others have put away,
  // hears of that, and speaks above it.
  let owner = Gossip.tell(Gossip.empty, 'origin/s/i', 'back', 20_000);
  [owner] = exchange(owner, swept.state, 20_000);
  owner = Gossip.tell(owner, 'origin/s/i', 'back', 20_100);
  t.is(Gossip.get(exchange(owner, swept.state, 20_100)[1], 'origin/s/i'), 'back');
});

test('a heartbeat carries no value to one who has it, and the value to one who has not', (t) => {
  const told = Gossip.tell(Gossip.empty, 'node/a', { long: 'value' }, 0);
  const beaten = Gossip.beat(Gossip.beat(told, 'node/a', 500), 'node/a', 1_000);
  t.deepEqual(Gossip.compare(beaten, Gossip.digest(told)).newer, { 'node/a': { revision: 3 } });
  t.deepEqual(Gossip.compare(beaten, {}).newer, {
    'node/a': { revision: 3, value: { long: 'value' } },
  });
  t.deepEqual(Gossip.pick(beaten, Gossip.compare(told, Gossip.digest(beaten)).wants), {
    'node/a': { revision: 3 },
  });
  t.deepEqual(Gossip.pick(beaten, Gossip.compare(Gossip.empty, Gossip.digest(beaten)).wants), {
    'node/a': { revision: 3, value: { long: 'value' } },
  });
  const [heard] = exchange(told, beaten, 2_000);
  t.deepEqual(Gossip.all(heard, 'node/'), [['node/a', { long: 'value' }, 2_000]]);
  // It is no sign of life of a record that was put away meanwhile, nor of one that was never had.
  const swept = Gossip.sweep(told, Limits.nodeForgotten + 1).state;
  t.deepEqual(Gossip.learn(swept, { 'node/a': { revision: 3 } }, 40_000), {
    state: swept,
    news: [],
    values: [],
  });
  t.deepEqual(Gossip.learn(Gossip.empty, { 'node/a': { revision: 3 } }, 0).news, []);
  t.is(Gossip.get(exchange(swept, beaten, 40_000)[0], 'node/a') !== undefined, true);
});

test('a changed value reaches those who hold any earlier revision, also over one who had only heartbeats since', (t) => {
  const first = Gossip.tell(Gossip.empty, 'node/a', 'old', 0);
  const early = first;
  const changed = Gossip.beat(
    Gossip.tell(Gossip.beat(first, 'node/a', 1), 'node/a', 'new', 2),
    'node/a',
    3,
  );
  const [between] = exchange(first, changed, 4);
  const later = exchange(between, Gossip.beat(changed, 'node/a', 5), 6)[0];
  t.is(Gossip.get(exchange(early, later, 7)[0], 'node/a'), 'new');
});

test('a shuffle keeps the view bounded, never holds oneself, and prefers what was received', (t) => {
  const many = (names: string): readonly Neighbour[] =>
    [...names].map((id, age) => ({ id, address: `${id}:1`, age }));
  const view = Gossip.shuffle(many('abcdefgh'), 'me', many('xyzme'.slice(0, 3)), many('ab'));
  t.is(view.length, Sizes.view);
  for (const id of 'xyz') t.true(view.some((each) => each.id === id));
  t.false(Gossip.shuffle(view, 'x', [], []).length > Sizes.view);
  t.false(
    Gossip.shuffle([], 'me', [{ id: 'me', address: 'm:1', age: 0 }], []).some(
      (each) => each.id === 'me',
    ),
  );
  t.is(Gossip.sample(view, { id: 'me', address: 'm:1' }, 0.99)[0]?.id, 'me');
});
