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

const sumOf = (shares: QuotaShares): number =>
  Object.values(shares).reduce((sum, share) => sum + share, 0);
const nodes: readonly QuotaNode[] = [
  ['a', 'w', 'r'],
  ['b', 'w', 'r'],
  ['c', 'n', 'r'],
  ['d', 's', 'q'],
].map(([nodeId = '', zone = '', region = '']) => ({ nodeId, zone, region }));

test('an allocation stays within the rate limit, meets the demand where possible and gives every node a share', (t) => {
  const uncontended = allocateQuotas(100, nodes, { a: 10, b: 5, c: 20 });
  t.true(Math.abs(sumOf(uncontended) - 1) < 1e-9);
  t.true(
    rateOf(uncontended, 'a', 100) >= 10 &&
      rateOf(uncontended, 'c', 100) >= 20 &&
      rateOf(uncontended, 'd', 100) > 0,
  );
  // The same shares under a lower rate limit stay within that limit.
  t.true(nodes.reduce((sum, { nodeId }) => sum + rateOf(uncontended, nodeId, 30), 0) <= 30 + 1e-9);
  const contended = allocateQuotas(100, nodes, { a: 400, d: 100 });
  t.true(Math.abs(sumOf(contended) - 1) < 1e-9);
  t.true((contended['a'] ?? 0) > 3 * (contended['d'] ?? 0) && (contended['b'] ?? 0) > 0);
});

test('shares fall immediately and rise only into expired shares, so no order of steps exceeds the total', (t) => {
  const goals = [
    allocateQuotas(100, nodes, { a: 400 }),
    allocateQuotas(100, nodes, { c: 400 }),
    allocateQuotas(100, nodes.slice(2), { c: 1, d: 300 }),
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
    let [current, previous]: [QuotaShares, QuotaShares] = [{}, {}];
    for (const index of order.flatMap((goalIndex) => [goalIndex, goalIndex, goalIndex])) {
      const next = nextShares(goals[index] ?? {}, [current, previous]);
      // Any node may still use any of the three allocations, so the worst combination must fit.
      const nodeIds = new Set([next, current, previous].flatMap((shares) => Object.keys(shares)));
      const worstTotal = [...nodeIds].reduce(
        (sum, nodeId) =>
          sum + Math.max(next[nodeId] ?? 0, current[nodeId] ?? 0, previous[nodeId] ?? 0),
        0,
      );
      t.true(worstTotal <= 1 + 1e-6, `${order.join('')}: ${worstTotal}`);
      [previous, current] = [current, next];
    }
    const lastGoal = goals[order[2] ?? 0] ?? {};
    for (const nodeId of Object.keys(lastGoal))
      t.true(Math.abs((current[nodeId] ?? 0) - (lastGoal[nodeId] ?? 0)) < 1e-6);
  }
});

test('the usable part of a small rate limit leaves a reserve for the token that each node may have saved', (t) => {
  t.true(5 * usableRateOf(20, 11) + 11 <= 1.1 * 5 * 20 + 1e-9);
  t.is(usableRateOf(1_000, 11), 1_000);
});

test('the rate limit of a service is the lower of its configured limit and the capacity of its instances', (t) => {
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
