/** The paper's server selection. */

/** ratio. Converged once a round lowers the cost by less than this share. */
export const convergenceRatio = 1e-6;

/** rounds of gradient projection at most; the paper saw a couple, overload needs a few more. */
export const maxIterations = 24;

/** share of capacity past which the link cost goes on as a parabola, so F >= C has a cost. */
export const costKneeShare = 0.95;

/**
 * Server selection as optimal routing, after S. Bakiras, "Approximate Server Selection Algorithms
 * in Content Distribution Networks". Four columns: M objects, then the N servers three times. Flow
 * on i -> (M+j) -> (M+N+j) -> (M+2N+k) is demand for object i of the clients near k, served by j.
 */
export type Network = {
  /** Capacity of each server, in mean replies a second. */
  readonly capacities: readonly number[];
  /** s. delays[j][k]: from server j to the clients near k; the right-hand links. */
  readonly delays: readonly (readonly number[])[];
  readonly objects: readonly {
    /** Demand of the clients near each server, in mean replies a second. */
    readonly demand: readonly number[];
    /**
     * s. The left-hand link's delay for a path through j towards k; null where there is no link.
     * 0 where j holds a replica.
     */
    readonly link: (server: number, client: number) => number | null;
  }[];
};

export type Solution = {
  /** flows[i][k][j]: demand for object i of the clients near k that j serves. */
  readonly flows: readonly (readonly (readonly number[])[])[];
  readonly loads: readonly number[];
  readonly cost: number;
  readonly iterations: number;
};

/**
 * Cost of a middle link, F/(C-F), and its first two derivatives. Past the knee it goes on as the
 * parabola with the same value, slope and bend, so that overload has a finite and steep cost.
 *
 * @example
 * queueing(5, 10) // { cost: 1, slope: 0.4, bend: 0.16 }
 */
export const queueing = (
  load: number,
  capacity: number,
): { readonly cost: number; readonly slope: number; readonly bend: number } => {
  const at = Math.min(load, capacity * costKneeShare);
  const room = capacity - at;
  const [cost, slope, bend] = [at / room, capacity / room ** 2, (2 * capacity) / room ** 3];
  const over = load - at;
  return over === 0
    ? { cost, slope, bend }
    : { cost: cost + slope * over + (bend * over ** 2) / 2, slope: slope + bend * over, bend };
};

/**
 * What a split costs: the sum of D = F/(C-F) + dF over all links.
 *
 * @example
 * costOf(network, flows)
 */
export const costOf = (network: Network, flows: Solution['flows']): number => {
  const loads = network.capacities.map(() => 0);
  let cost = 0;
  flows.forEach((rows, i) =>
    rows.forEach((row, k) =>
      row.forEach((flow, j) => {
        if (flow <= 0) return;
        loads[j] = (loads[j] ?? 0) + flow;
        cost += flow * ((network.objects[i]?.link(j, k) ?? 0) + (network.delays[j]?.[k] ?? 0));
      }),
    ),
  );
  return (
    cost + loads.reduce((sum, load, j) => sum + queueing(load, network.capacities[j] ?? 0).cost, 0)
  );
};

type Path = { readonly server: number; readonly fixed: number; flow: number };
type Pair = {
  readonly object: number;
  readonly client: number;
  readonly demand: number;
  readonly paths: readonly Path[];
};

const pairsOf = (network: Network): readonly Pair[] =>
  network.objects.flatMap((object, i) =>
    object.demand.flatMap((demand, k) => {
      if (demand <= 0) return [];
      const paths = network.capacities.flatMap((capacity, j): readonly Path[] => {
        const left = capacity > 0 ? object.link(j, k) : null;
        return left === null
          ? []
          : [{ server: j, fixed: left + (network.delays[j]?.[k] ?? 0), flow: 0 }];
      });
      return paths.length === 0 ? [] : [{ object: i, client: k, demand, paths }];
    }),
  );

/**
 * One pair's step: every other path gives to the shortest its extra length over the bend of the
 * links that the two do not share (left-hand and right-hand links do not bend), cut off at zero.
 * Paths step one after another on the loads as they then stand, so the steps together can't
 * overshoot.
 */
const project = (pair: Pair, loads: number[], capacities: readonly number[]): void => {
  const lengthOf = (path: Path): number =>
    path.fixed + queueing(loads[path.server] ?? 0, capacities[path.server] ?? 0).slope;
  const bendOf = (path: Path): number =>
    queueing(loads[path.server] ?? 0, capacities[path.server] ?? 0).bend;
  const best = pair.paths.reduce((shortest, path) =>
    lengthOf(path) < lengthOf(shortest) ? path : shortest,
  );
  for (const path of pair.paths) {
    if (path === best || path.flow <= 0) continue;
    const extra = lengthOf(path) - lengthOf(best);
    if (extra <= 0) continue;
    const move = Math.min(path.flow, extra / (bendOf(path) + bendOf(best)));
    path.flow -= move;
    best.flow += move;
    loads[path.server] = (loads[path.server] ?? 0) - move;
    loads[best.server] = (loads[best.server] ?? 0) + move;
  }
};

/**
 * Solves the network by gradient projection, pair after pair, from all demand on its cheapest path.
 *
 * @example
 * // Two servers of 10, all clients at the first: overflow goes to the second.
 * solve({ capacities: [10, 10], delays: [[0, 0.001], [0.001, 0]], objects: [{ demand: [12, 0], link: () => 0 }] }).loads
 */
export const solve = (network: Network, most: number = maxIterations): Solution => {
  const pairs = pairsOf(network);
  const loads = network.capacities.map(() => 0);
  for (const pair of pairs) {
    const first = pair.paths.reduce((best, path) => (path.fixed < best.fixed ? path : best));
    first.flow = pair.demand;
    loads[first.server] = (loads[first.server] ?? 0) + pair.demand;
  }
  const cost = (): number =>
    loads.reduce(
      (sum, load, j) =>
        sum +
        queueing(load, network.capacities[j] ?? 0).cost *
          ((network.capacities[j] ?? 0) > 0 ? 1 : 0),
      0,
    ) +
    pairs.reduce(
      (sum, pair) => sum + pair.paths.reduce((inner, path) => inner + path.flow * path.fixed, 0),
      0,
    );
  let before = cost();
  let iterations = 0;
  while (iterations < most) {
    iterations += 1;
    for (const pair of pairs) project(pair, loads, network.capacities);
    const after = cost();
    const settled = before - after <= convergenceRatio * before;
    before = after;
    if (settled) break;
  }
  const flows = network.objects.map((object) =>
    object.demand.map(() => network.capacities.map(() => 0)),
  );
  for (const pair of pairs) {
    const row = flows[pair.object]?.[pair.client];
    if (row !== undefined) for (const path of pair.paths) row[path.server] = path.flow;
  }
  return { flows, loads, cost: before, iterations };
};
