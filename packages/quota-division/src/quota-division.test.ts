import test from 'ava';
import {
  rateLimitOf,
  allocateQuotas,
  rateOf,
  nextShares,
  usableRateOf,
  type QuotaNode,
  type QuotaShares,
} from './index.js';

const sum = (slices: QuotaShares): number =>
  Object.values(slices).reduce((all, each) => all + each, 0);
const seats: readonly QuotaNode[] = [
  ['a', 'w', 'r'],
  ['b', 'w', 'r'],
  ['c', 'n', 'r'],
  ['d', 's', 'q'],
].map(([edge = '', zone = '', region = '']) => ({ nodeId: edge, zone, region }));

test('a division never adds up to more than the ceiling, gives what is asked where it can, and leaves nobody out', (t) => {
  const easy = allocateQuotas(100, seats, { a: 10, b: 5, c: 20 });
  t.true(Math.abs(sum(easy) - 1) < 1e-9);
  t.true(
    rateOf(easy, 'a', 100) >= 10 && rateOf(easy, 'c', 100) >= 20 && rateOf(easy, 'd', 100) > 0,
  );
  // The same shares under a lower bound never come to more than that bound.
  t.true(seats.reduce((all, { nodeId: edge }) => all + rateOf(easy, edge, 30), 0) <= 30 + 1e-9);
  const hard = allocateQuotas(100, seats, { a: 400, d: 100 });
  t.true(Math.abs(sum(hard) - 1) < 1e-9);
  t.true((hard['a'] ?? 0) > 3 * (hard['d'] ?? 0) && (hard['b'] ?? 0) > 0);
});

test('slices fall at once and rise only into room that has lapsed: in no order of steps is the whole passed', (t) => {
  const goals = [
    allocateQuotas(100, seats, { a: 400 }),
    allocateQuotas(100, seats, { c: 400 }),
    allocateQuotas(100, seats.slice(2), { c: 1, d: 300 }),
  ];
  const orders = [
    [0, 1, 2],
    [0, 2, 1],
    [1, 0, 2],
    [1, 2, 0],
    [2, 0, 1],
    [2, 1, 0],
  ];
  for (const order of orders) {
    let [now, before]: [QuotaShares, QuotaShares] = [{}, {}];
    for (const index of order.flatMap((each) => [each, each, each])) {
      const next = nextShares(goals[index] ?? {}, [now, before]);
      // Any node may still act on any of the three, so the worst mix must fit.
      const edges = new Set([next, now, before].flatMap((slices) => Object.keys(slices)));
      const worst = [...edges].reduce(
        (all, edge) => all + Math.max(next[edge] ?? 0, now[edge] ?? 0, before[edge] ?? 0),
        0,
      );
      t.true(worst <= 1 + 1e-6, `${order.join('')}: ${worst}`);
      [before, now] = [now, next];
    }
    const last = goals[order[2] ?? 0] ?? {};
    for (const edge of Object.keys(last))
      t.true(Math.abs((now[edge] ?? 0) - (last[edge] ?? 0)) < 1e-6);
  }
});

test('small ceilings leave room for the token that each edge may have saved', (t) => {
  t.true(5 * usableRateOf(20, 11) + 11 <= 1.1 * 5 * 20 + 1e-9);
  t.is(usableRateOf(1_000, 11), 1_000);
});

test('a service is bound by its ceiling, and by what its instances carry', (t) => {
  t.deepEqual(
    [
      rateLimitOf(400, [200, 100]),
      rateLimitOf(250, [200, 100]),
      rateLimitOf(undefined, [200, 100]),
      rateLimitOf(400, []),
    ],
    [300, 250, 300, 0],
  );
});
