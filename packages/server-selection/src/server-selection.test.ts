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

const randomFrom = (seed: number): (() => number) => {
  let state = seed;
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
    return state / 2_147_483_648;
  };
};

const sum = (list: readonly number[]): number => list.reduce((total, number) => total + number, 0);
const proximityFlows = (network: Network): Solution['flows'] =>
  network.objects.map((object) =>
    object.demand.map((demand, k) => network.capacities.map((_, j) => (j === k ? demand : 0))),
  );
const randomFlows = (network: Network): Solution['flows'] =>
  network.objects.map((object) =>
    object.demand.map((demand) => network.capacities.map(() => demand / network.capacities.length)),
  );

/**
 * Round-trip delays in seconds between four sites as in the paper: two near each other, one farther
 * away, one across the ocean.
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
  objects: [{ demand, leftLinkSeconds: () => 0 }],
});

test('every request is served where it arrives if the capacity suffices', (t) => {
  const { flows } = solve(oneObject([30, 40, 35, 20]));
  flows[0]?.forEach((row, k) => t.true((row[k] ?? 0) / sum(row) > 0.999));
});

test('overflow goes mostly to the near servers, and little or none to the far one', (t) => {
  const { flows, loads } = solve(oneObject([40, 130, 40, 10]));
  const row = flows[0]?.[1] ?? [];
  t.true((row[0] ?? 0) + (row[2] ?? 0) > 5 * (row[3] ?? 0));
  t.true((loads[1] ?? 0) < 100);
});

test('the cost after at most 24 rounds is never above that of proximity-only or random selection', (t) => {
  for (let seed = 1; seed <= 60; seed += 1) {
    const random = randomFrom(seed);
    const n = 2 + Math.floor(5 * random());
    const far = Array.from({ length: n }, () =>
      Array.from({ length: n }, () => 0.001 + 0.1 * random()),
    );
    const network: Network = {
      capacities: Array.from({ length: n }, () => 50 + 100 * random()),
      delays: far.map((row, j) => row.map((delay, k) => (j === k ? 0 : delay))),
      objects: Array.from({ length: 1 + Math.floor(4 * random()) }, () => ({
        demand: Array.from({ length: n }, () => 40 * random()),
        leftLinkSeconds: () => 0,
      })),
    };
    const solution = solve(network);
    t.true(
      solution.cost <= costOf(network, proximityFlows(network)) * (1 + 1e-9),
      `seed ${seed}, proximity`,
    );
    t.true(
      solution.cost <= costOf(network, randomFlows(network)) * (1 + 1e-9),
      `seed ${seed}, random`,
    );
    t.true(
      Math.abs(solution.cost - costOf(network, solution.flows)) <= 1e-6 * solution.cost + 1e-9,
    );
    t.true(solution.iterations <= 24);
    network.objects.forEach((object, i) =>
      object.demand.forEach((demand, k) =>
        t.true(Math.abs(sum(solution.flows[i]?.[k] ?? []) - demand) < 1e-6),
      ),
    );
  }
});

test('the cost is within 20 % of the converged one after two rounds, within 1 % after four, and converges within ten', (t) => {
  for (let seed = 100; seed < 140; seed += 1) {
    const random = randomFrom(seed);
    const network = oneObject([20, 60, 40, 30].map((demand) => demand * (0.5 + random())));
    const converged = solve(network);
    t.true(converged.iterations <= 10, `seed ${seed}: ${converged.iterations}`);
    t.true(solve(network, 2).cost <= 1.2 * converged.cost, `seed ${seed}: two rounds`);
    t.true(solve(network, 4).cost <= 1.01 * converged.cost, `seed ${seed}: four rounds`);
  }
});

test('two-server solutions are no worse than a brute-force search that shares no code with the solver', (t) => {
  for (let seed = 1; seed <= 12; seed += 1) {
    const random = randomFrom(seed * 7);
    const [c1, c2] = [60 + 60 * random(), 60 + 60 * random()];
    const [r1, r2] = [10 + 100 * random(), 10 + 40 * random()];
    const d = 0.001 + 0.05 * random();
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
      objects: [{ demand: [r1, r2], leftLinkSeconds: () => 0 }],
    });
    t.true(cost <= best * 1.002, `seed ${seed}: cost ${cost}, brute force ${best}`);
  }
});

test('overload has a finite cost and is spread by capacity, and the cost is smooth at the knee', (t) => {
  const { loads } = solve({
    capacities: [100, 100],
    delays: [
      [0, 0.001],
      [0.001, 0],
    ],
    objects: [{ demand: [300, 0], leftLinkSeconds: () => 0 }],
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

test('an edge without a cached copy forwards to the edge that has one, and fetches the object itself if none has', (t) => {
  const a = vector({ demand: { 'sheets /1': 1e5, 'sheets /2': 1e5 }, delays: { b: 0.001 } });
  const b = vector({ copies: ['sheets /1'], delays: { a: 0.001 } });
  const { split } = computeRoutes('a', { a, b }, () => ({ servers: () => true }));
  t.deepEqual(split['sheets /1'], [['b', 1]]);
  t.deepEqual(split['sheets /2'], [['a', 1]]);
});

test('an edge fetches an object itself if the only cached copy is far away, and no edge outside the home regions serves it', (t) => {
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

test('placed objects go to their owner, which every node computes alike, and overflow is served where it arrives', (t) => {
  const edges = ['a', 'b', 'c'];
  const counts = new Map<string, number>();
  for (let number = 0; number < 3_000; number += 1) {
    const owner = rendezvousOwner(`x.example/${number}`, edges) ?? '';
    counts.set(owner, (counts.get(owner) ?? 0) + 1);
    // When an edge leaves, only its own objects move.
    const ownerWithoutC = rendezvousOwner(`x.example/${number}`, ['a', 'b']);
    t.true(owner === 'c' || ownerWithoutC === owner);
    t.is(rendezvousOwner(`x.example/${number}`, ['c', 'b', 'a']), owner);
  }
  for (const edge of edges)
    t.true(Math.abs((counts.get(edge) ?? 0) - 1_000) < 150, `${edge} ${counts.get(edge)}`);
  const delays = { a: 0.001, b: 0.001, c: 0.001 };
  const edgesInZone = (edge: string): readonly string[] => (edge === 'c' ? ['c'] : ['a', 'b']);
  const routingTableAt = (demand: number, capacity = 8e6) =>
    computeRoutes(
      'a',
      Object.fromEntries(
        edges.map((edge) => [edge, vector({ demand: { sheets: demand }, delays, capacity })]),
      ),
      () => ({ servers: () => true, placementOf: edgesInZone }),
    ).split;
  t.deepEqual(routingTableAt(1e5), { 'sheets @a': [['a', 1]], 'sheets @b': [['b', 1]] });
  t.deepEqual(ownersByRouteOf(routingTableAt(1e5)), { sheets: ['a', 'b'] });
  // The other demand on b uses up its capacity, so a fetches some of the objects placed at b itself.
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
  // An edge outside the home regions fetches nothing itself.
  t.deepEqual(
    computeRoutes(
      'c',
      { a: vector({ delays }), c: vector({ demand: { sheets: 1e5 }, delays }) },
      () => ({ servers: (edge) => edge === 'a', placementOf: () => ['a'] }),
    ).split,
    { 'sheets @a': [['a', 1]] },
  );
});

test('a vector is announced at first, and again on a utilisation change of 0.1 or a large change of delay', (t) => {
  const old = vector({ utilisation: 0.5, delays: { b: 0.01 } });
  t.true(shouldAnnounce(old, null));
  t.false(shouldAnnounce({ ...old, utilisation: 0.59 }, old));
  t.true(shouldAnnounce({ ...old, utilisation: 0.6 }, old));
  t.true(shouldAnnounce({ ...old, delays: { b: 0.02 } }, old));
  t.false(shouldAnnounce({ ...old, delays: { b: 0.012 } }, old));
});
