import test from 'ava';
import {
  costOf,
  rendezvousOwner,
  ownersByRouteOf,
  shouldAnnounce,
  queueingCost,
  solve,
  computeRoutes,
  type Network,
  type Solution,
  type LoadVector,
} from './index.js';

const chanceFrom = (seed: number): (() => number) => {
  let state = seed;
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
    return state / 2_147_483_648;
  };
};

const sum = (list: readonly number[]): number => list.reduce((all, each) => all + each, 0);
const proximity = (network: Network): Solution['flows'] =>
  network.objects.map((object) =>
    object.demand.map((demand, k) => network.capacities.map((_, j) => (j === k ? demand : 0))),
  );
const random = (network: Network): Solution['flows'] =>
  network.objects.map((object) =>
    object.demand.map((demand) => network.capacities.map(() => demand / network.capacities.length)),
  );

/**
 * Four sites as in the paper: two near each other, one farther, one across the ocean (s, there and
 * back).
 */
const delays = [
  [0, 0.03, 0.06, 0.15],
  [0.03, 0, 0.03, 0.12],
  [0.06, 0.03, 0, 0.09],
  [0.15, 0.12, 0.09, 0],
];
const oneObject = (demand: readonly number[], capacity = 100): Network => ({
  capacities: [capacity, capacity, capacity, capacity],
  delays,
  objects: [{ demand, link: () => 0 }],
});

test('where capacity suffices every request is served where it arrives', (t) => {
  const { flows } = solve(oneObject([30, 40, 35, 20]));
  flows[0]?.forEach((row, k) => t.true((row[k] ?? 0) / sum(row) > 0.999));
});

test('overflow goes mostly to the near server, little or nothing to the far one', (t) => {
  const { flows, loads } = solve(oneObject([40, 130, 40, 10]));
  const row = flows[0]?.[1] ?? [];
  t.true((row[0] ?? 0) + (row[2] ?? 0) > 5 * (row[3] ?? 0));
  t.true((loads[1] ?? 0) < 100);
});

test('a few rounds suffice, and the cost is never above proximity-only or random', (t) => {
  for (let seed = 1; seed <= 60; seed += 1) {
    const chance = chanceFrom(seed);
    const n = 2 + Math.floor(5 * chance());
    const far = Array.from({ length: n }, () =>
      Array.from({ length: n }, () => 0.001 + 0.1 * chance()),
    );
    const network: Network = {
      capacities: Array.from({ length: n }, () => 50 + 100 * chance()),
      delays: far.map((row, j) => row.map((delay, k) => (j === k ? 0 : delay))),
      objects: Array.from({ length: 1 + Math.floor(4 * chance()) }, () => ({
        demand: Array.from({ length: n }, () => 40 * chance()),
        link: () => 0,
      })),
    };
    const solved = solve(network);
    t.true(
      solved.cost <= costOf(network, proximity(network)) * (1 + 1e-9),
      `seed ${seed}, proximity`,
    );
    t.true(solved.cost <= costOf(network, random(network)) * (1 + 1e-9), `seed ${seed}, random`);
    t.true(Math.abs(solved.cost - costOf(network, solved.flows)) <= 1e-6 * solved.cost + 1e-9);
    t.true(solved.iterations <= 24);
    network.objects.forEach((object, i) =>
      object.demand.forEach((demand, k) =>
        t.true(Math.abs(sum(solved.flows[i]?.[k] ?? []) - demand) < 1e-6),
      ),
    );
  }
});

test('two rounds come within a fifth of the settled cost, four within a hundredth, and all settle in ten', (t) => {
  for (let seed = 100; seed < 140; seed += 1) {
    const chance = chanceFrom(seed);
    const network = oneObject([20, 60, 40, 30].map((demand) => demand * (0.5 + chance())));
    const settled = solve(network);
    t.true(settled.iterations <= 10, `seed ${seed}: ${settled.iterations}`);
    t.true(solve(network, 2).cost <= 1.2 * settled.cost, `seed ${seed}: two rounds`);
    t.true(solve(network, 4).cost <= 1.01 * settled.cost, `seed ${seed}: four rounds`);
  }
});

test('small cases agree with a brute-force search that shares no code with the method', (t) => {
  for (let seed = 1; seed <= 12; seed += 1) {
    const chance = chanceFrom(seed * 7);
    const [c1, c2] = [60 + 60 * chance(), 60 + 60 * chance()];
    const [r1, r2] = [10 + 100 * chance(), 10 + 40 * chance()];
    const d = 0.001 + 0.05 * chance();
    if (r1 + r2 > 0.85 * (c1 + c2)) continue;
    const queue = (load: number, capacity: number): number =>
      load < capacity * 0.95 ? load / (capacity - load) : Infinity;
    let best = Infinity;
    for (let a = 0; a <= 400; a += 1)
      for (let b = 0; b <= 400; b += 1) {
        const [away1, away2] = [(r1 * a) / 400, (r2 * b) / 400];
        best = Math.min(
          best,
          queue(r1 - away1 + away2, c1) + queue(r2 - away2 + away1, c2) + d * (away1 + away2),
        );
      }
    const { cost } = solve({
      capacities: [c1, c2],
      delays: [
        [0, d],
        [d, 0],
      ],
      objects: [{ demand: [r1, r2], link: () => 0 }],
    });
    t.true(cost <= best * 1.002, `seed ${seed}: ${cost} against ${best}`);
  }
});

test('overload has a finite cost, is shared out by capacity, and the cost is smooth at the knee', (t) => {
  const { loads } = solve({
    capacities: [100, 100],
    delays: [
      [0, 0.001],
      [0.001, 0],
    ],
    objects: [{ demand: [300, 0], link: () => 0 }],
  });
  t.true(Math.abs((loads[0] ?? 0) - (loads[1] ?? 0)) < 5);
  const [below, above] = [queueingCost(95 - 1e-6, 100), queueingCost(95 + 1e-6, 100)];
  t.true(Math.abs(below.cost - above.cost) < 1e-3 && Math.abs(below.slope - above.slope) < 1e-3);
});

const vector = (part: Partial<LoadVector>): LoadVector => ({
  demand: {},
  copies: [],
  capacity: 8e6,
  utilisation: 0,
  offered: 0,
  delays: {},
  meanReply: 16_000,
  fetchDelay: 0.02,
  ...part,
});

test('an edge without a copy hands on to the one that has it, and fetches itself where nobody has', (t) => {
  const a = vector({ demand: { 'sheets /1': 1e5, 'sheets /2': 1e5 }, delays: { b: 0.001 } });
  const b = vector({ copies: ['sheets /1'], delays: { a: 0.001 } });
  const { split } = computeRoutes('a', { a, b }, () => ({ servers: () => true }));
  t.deepEqual(split['sheets /1'], [['b', 1]]);
  t.deepEqual(split['sheets /2'], [['a', 1]]);
});

test('a far copy is not worth its delay; no link leads out of the homes', (t) => {
  const a = vector({ demand: { 'reports /1': 1e5 }, delays: { b: 0.5 } });
  const b = vector({ copies: ['reports /1'], delays: { a: 0.5 } });
  t.deepEqual(computeRoutes('a', { a, b }, () => ({ servers: () => true })).split['reports /1'], [
    ['a', 1],
  ]);
  t.deepEqual(
    computeRoutes('a', { a, b }, () => ({ servers: (edge) => edge === 'b' })).split['reports /1'],
    [['b', 1]],
  );
  t.deepEqual(computeRoutes('a', { a, b }, () => ({ servers: () => false })).split, {});
});

test('placed objects go to their holder, which the same name gives everywhere, and overflow stays where it arrives', (t) => {
  const edges = ['a', 'b', 'c'];
  const counts = new Map<string, number>();
  for (let each = 0; each < 3_000; each += 1) {
    const holder = rendezvousOwner(`x.example/${each}`, edges) ?? '';
    counts.set(holder, (counts.get(holder) ?? 0) + 1);
    // Where one leaves, only its own objects move.
    const left = rendezvousOwner(`x.example/${each}`, ['a', 'b']);
    t.true(holder === 'c' || left === holder);
    t.is(rendezvousOwner(`x.example/${each}`, ['c', 'b', 'a']), holder);
  }
  for (const edge of edges)
    t.true(Math.abs((counts.get(edge) ?? 0) - 1_000) < 150, `${edge} ${counts.get(edge)}`);
  const delays = { a: 0.001, b: 0.001, c: 0.001 };
  const near = (edge: string): readonly string[] => (edge === 'c' ? ['c'] : ['a', 'b']);
  const rows = (demand: number, capacity = 8e6) =>
    computeRoutes(
      'a',
      Object.fromEntries(
        edges.map((edge) => [edge, vector({ demand: { sheets: demand }, delays, capacity })]),
      ),
      () => ({ servers: () => true, placementOf: near }),
    ).split;
  t.deepEqual(rows(1e5), { 'sheets @a': [['a', 1]], 'sheets @b': [['b', 1]] });
  t.deepEqual(ownersByRouteOf(rows(1e5)), { sheets: ['a', 'b'] });
  // b is full of its own: some of what it holds is fetched where it is asked for.
  const crowded = computeRoutes(
    'a',
    {
      a: vector({ demand: { sheets: 1e6 }, delays }),
      b: vector({ demand: { heavy: 7.6e6 }, delays }),
    },
    (route) =>
      route === 'heavy'
        ? { servers: (edge) => edge === 'b' }
        : { servers: () => true, placementOf: () => ['a', 'b'] },
  ).split['sheets @b'];
  t.true(crowded?.some(([edge, share]) => edge === 'a' && share > 0.1));
  // Outside its homes nothing is fetched for oneself.
  t.deepEqual(
    computeRoutes(
      'c',
      { a: vector({ delays }), c: vector({ demand: { sheets: 1e5 }, delays }) },
      () => ({ servers: (edge) => edge === 'a', placementOf: () => ['a'] }),
    ).split,
    { 'sheets @a': [['a', 1]] },
  );
});

test('a vector is sent on a change of a tenth, on a marked change of delay, and else not', (t) => {
  const old = vector({ utilisation: 0.5, delays: { b: 0.01 } });
  t.true(shouldAnnounce(old, null));
  t.false(shouldAnnounce({ ...old, utilisation: 0.59 }, old));
  t.true(shouldAnnounce({ ...old, utilisation: 0.6 }, old));
  t.true(shouldAnnounce({ ...old, delays: { b: 0.02 } }, old));
  t.false(shouldAnnounce({ ...old, delays: { b: 0.012 } }, old));
});
