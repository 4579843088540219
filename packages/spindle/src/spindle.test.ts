import test from 'ava';
import { Limits, Sizes } from '@reedyard/gauge';
import { Spindle, type Neighbour, type SpindleState } from './index.js';

/** One exchange from a to b, as two jigs make it. */
const exchange = (
  a: SpindleState,
  b: SpindleState,
  now: number,
): readonly [SpindleState, SpindleState] => {
  const compared = Spindle.compare(b, Spindle.digest(a));
  const nextA = Spindle.learn(a, compared.newer, now).state;
  return [nextA, Spindle.learn(b, Spindle.pick(nextA, compared.wants), now).state];
};

test('two that exchange hold the same, the higher serial wins, in either order', (t) => {
  let a = Spindle.tell(Spindle.tell(Spindle.empty, 'node/a', 1, 0), 'node/x', 'old', 0);
  let b = Spindle.tell(
    Spindle.tell(Spindle.tell(Spindle.empty, 'node/b', 2, 0), 'node/x', 'older', 0),
    'node/x',
    'new',
    0,
  );
  const [a1, b1] = exchange(a, b, 1);
  const [b2, a2] = exchange(b, a, 1);
  for (const state of [a1, b1, a2, b2])
    t.deepEqual(
      [Spindle.get(state, 'node/a'), Spindle.get(state, 'node/b'), Spindle.get(state, 'node/x')],
      [1, 2, 'new'],
    );
  [a, b] = [a1, b1];
  t.deepEqual(Spindle.digest(a), Spindle.digest(b));
});

test('what is forgotten does not come back by a late copy, but its owner does', (t) => {
  const told = Spindle.tell(
    Spindle.tell(Spindle.empty, 'origin/s/i', 'v', 0),
    'origin/s/i',
    'v',
    0,
  );
  const swept = Spindle.sweep(told, Limits.originForgotten + 1);
  t.deepEqual(swept.gone, ['origin/s/i']);
  t.is(Spindle.get(exchange(swept.state, told, 20_000)[0], 'origin/s/i'), undefined);
  // The owner came back without memory: it speaks below the serial that others have put away, hears
  // of that, and speaks above it.
  let owner = Spindle.tell(Spindle.empty, 'origin/s/i', 'back', 20_000);
  [owner] = exchange(owner, swept.state, 20_000);
  owner = Spindle.tell(owner, 'origin/s/i', 'back', 20_100);
  t.is(Spindle.get(exchange(owner, swept.state, 20_100)[1], 'origin/s/i'), 'back');
});

test('a heartbeat carries no value to one who has it, and the value to one who has not', (t) => {
  const told = Spindle.tell(Spindle.empty, 'node/a', { long: 'value' }, 0);
  const beaten = Spindle.beat(Spindle.beat(told, 'node/a', 500), 'node/a', 1_000);
  t.deepEqual(Spindle.compare(beaten, Spindle.digest(told)).newer, { 'node/a': { serial: 3 } });
  t.deepEqual(Spindle.compare(beaten, {}).newer, {
    'node/a': { serial: 3, value: { long: 'value' } },
  });
  t.deepEqual(Spindle.pick(beaten, Spindle.compare(told, Spindle.digest(beaten)).wants), {
    'node/a': { serial: 3 },
  });
  t.deepEqual(Spindle.pick(beaten, Spindle.compare(Spindle.empty, Spindle.digest(beaten)).wants), {
    'node/a': { serial: 3, value: { long: 'value' } },
  });
  const [heard] = exchange(told, beaten, 2_000);
  t.deepEqual(Spindle.all(heard, 'node/'), [['node/a', { long: 'value' }, 2_000]]);
  // It is no sign of life of a record that was put away meanwhile, nor of one that was never had.
  const swept = Spindle.sweep(told, Limits.nodeForgotten + 1).state;
  t.deepEqual(Spindle.learn(swept, { 'node/a': { serial: 3 } }, 40_000), {
    state: swept,
    news: [],
    values: [],
  });
  t.deepEqual(Spindle.learn(Spindle.empty, { 'node/a': { serial: 3 } }, 0).news, []);
  t.is(Spindle.get(exchange(swept, beaten, 40_000)[0], 'node/a') !== undefined, true);
});

test('a changed value reaches those who hold any earlier serial, also over one who had only heartbeats since', (t) => {
  const first = Spindle.tell(Spindle.empty, 'node/a', 'old', 0);
  const early = first;
  const changed = Spindle.beat(
    Spindle.tell(Spindle.beat(first, 'node/a', 1), 'node/a', 'new', 2),
    'node/a',
    3,
  );
  const [between] = exchange(first, changed, 4);
  const later = exchange(between, Spindle.beat(changed, 'node/a', 5), 6)[0];
  t.is(Spindle.get(exchange(early, later, 7)[0], 'node/a'), 'new');
});

test('a shuffle keeps the view bounded, never holds oneself, and prefers what was received', (t) => {
  const many = (names: string): readonly Neighbour[] =>
    [...names].map((id, age) => ({ id, address: `${id}:1`, age }));
  const view = Spindle.shuffle(many('abcdefgh'), 'me', many('xyzme'.slice(0, 3)), many('ab'));
  t.is(view.length, Sizes.view);
  for (const id of 'xyz') t.true(view.some((each) => each.id === id));
  t.false(Spindle.shuffle(view, 'x', [], []).length > Sizes.view);
  t.false(
    Spindle.shuffle([], 'me', [{ id: 'me', address: 'm:1', age: 0 }], []).some(
      (each) => each.id === 'me',
    ),
  );
  t.is(Spindle.sample(view, { id: 'me', address: 'm:1' }, 0.99)[0]?.id, 'me');
});
