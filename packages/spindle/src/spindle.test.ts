import test from 'ava';
import { Limits, Sizes } from '@reedyard/gauge';
import { Spindle, type Neighbour, type SpindleState } from './index.js';

/** One exchange from a to b, as two jigs make it. */
const exchange = (a: SpindleState, b: SpindleState, now: number): readonly [SpindleState, SpindleState] => {
  const compared = Spindle.compare(b, Spindle.digest(a));
  const nextA = Spindle.learn(a, compared.newer, now).state;
  return [nextA, Spindle.learn(b, Spindle.pick(nextA, compared.wants), now).state];
};

test('two that exchange hold the same, the higher serial wins, in either order', (t) => {
  let a = Spindle.tell(Spindle.tell(Spindle.empty, 'node/a', 1, 0), 'node/x', 'old', 0);
  let b = Spindle.tell(Spindle.tell(Spindle.tell(Spindle.empty, 'node/b', 2, 0), 'node/x', 'older', 0), 'node/x', 'new', 0);
  const [a1, b1] = exchange(a, b, 1);
  const [b2, a2] = exchange(b, a, 1);
  for (const state of [a1, b1, a2, b2]) t.deepEqual([Spindle.get(state, 'node/a'), Spindle.get(state, 'node/b'), Spindle.get(state, 'node/x')], [1, 2, 'new']);
  [a, b] = [a1, b1];
  t.deepEqual(Spindle.digest(a), Spindle.digest(b));
});

test('what is forgotten does not come back by a late copy, but its owner does', (t) => {
  const told = Spindle.tell(Spindle.tell(Spindle.empty, 'origin/s/i', 'v', 0), 'origin/s/i', 'v', 0);
  const swept = Spindle.sweep(told, Limits.originForgotten + 1);
  t.deepEqual(swept.gone, ['origin/s/i']);
  t.is(Spindle.get(exchange(swept.state, told, 20_000)[0], 'origin/s/i'), undefined);
  // The owner came back without memory: it speaks below the serial that others have put away, hears of that, and speaks above it.
  let owner = Spindle.tell(Spindle.empty, 'origin/s/i', 'back', 20_000);
  [owner] = exchange(owner, swept.state, 20_000);
  owner = Spindle.tell(owner, 'origin/s/i', 'back', 20_100);
  t.is(Spindle.get(exchange(owner, swept.state, 20_100)[1], 'origin/s/i'), 'back');
});

test('a shuffle keeps the view bounded, never holds oneself, and prefers what was received', (t) => {
  const many = (names: string): readonly Neighbour[] => [...names].map((id, age) => ({ id, address: `${id}:1`, age }));
  const view = Spindle.shuffle(many('abcdefgh'), 'me', many('xyzme'.slice(0, 3)), many('ab'));
  t.is(view.length, Sizes.view);
  for (const id of 'xyz') t.true(view.some((each) => each.id === id));
  t.false(Spindle.shuffle(view, 'x', [], []).length > Sizes.view);
  t.false(Spindle.shuffle([], 'me', [{ id: 'me', address: 'm:1', age: 0 }], []).some((each) => each.id === 'me'));
  t.is(Spindle.sample(view, { id: 'me', address: 'm:1' }, 0.99)[0]?.id, 'me');
});
