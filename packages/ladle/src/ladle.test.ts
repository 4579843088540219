import test from 'ava';
import { divide, toward, usable, type Seat, type Slices } from './index.js';

const sum = (slices: Slices): number => Object.values(slices).reduce((all, each) => all + each, 0);
const seats: readonly Seat[] = [['a', 'w', 'r'], ['b', 'w', 'r'], ['c', 'n', 'r'], ['d', 's', 'q']].map(([edge = '', hall = '', region = '']) => ({ edge, hall, region }));

test('a division never adds up to more than the ceiling, gives what is asked where it can, and leaves nobody out', (t) => {
  const easy = divide(100, seats, { a: 10, b: 5, c: 20 });
  t.true(sum(easy) <= 100 + 1e-9);
  t.true((easy['a'] ?? 0) >= 10 && (easy['c'] ?? 0) >= 20 && (easy['d'] ?? 0) > 0);
  const hard = divide(100, seats, { a: 400, d: 100 });
  t.true(sum(hard) <= 100 + 1e-9);
  t.true((hard['a'] ?? 0) > 3 * (hard['d'] ?? 0) && (hard['b'] ?? 0) > 0);
});

test('slices fall at once and rise only into room that has lapsed: in no order of steps is the ceiling passed', (t) => {
  const ceiling = 100;
  const goals = [divide(ceiling, seats, { a: 400 }), divide(ceiling, seats, { c: 400 }), divide(ceiling, seats.slice(2), { c: 1, d: 300 })];
  const orders = [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]];
  for (const order of orders) {
    let [now, before]: [Slices, Slices] = [{}, {}];
    for (const index of order.flatMap((each) => [each, each, each])) {
      const next = toward(goals[index] ?? {}, ceiling, [now, before]);
      // Any node may still act on any of the three, so the worst mix must fit.
      const edges = new Set([next, now, before].flatMap((slices) => Object.keys(slices)));
      const worst = [...edges].reduce((all, edge) => all + Math.max(next[edge] ?? 0, now[edge] ?? 0, before[edge] ?? 0), 0);
      t.true(worst <= ceiling + 1e-6, `${order.join('')}: ${worst}`);
      [before, now] = [now, next];
    }
    const last = goals[order[2] ?? 0] ?? {};
    for (const edge of Object.keys(last)) t.true(Math.abs((now[edge] ?? 0) - (last[edge] ?? 0)) < 1e-6);
  }
});

test('small ceilings leave room for the token that each edge may have saved', (t) => {
  t.true(5 * usable(20, 11) + 11 <= 1.1 * 5 * 20 + 1e-9);
  t.is(usable(1_000, 11), 1_000);
});
