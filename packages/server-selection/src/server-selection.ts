/**
 * Server selection as optimal routing, after S. Bakiras, "Approximate Server Selection Algorithms in
 * Content Distribution Networks". The paper's symbols stand for: i an object, j a server, k the
 * clients near server k, M the number of objects, N the number of servers, F the flow over a link,
 * C its capacity, d its delay, and D its cost.
 */

/** The iteration has converged once a round lowers the cost by less than this ratio. */
export const convergenceRatio = 1e-6;

/**
 * The maximum number of rounds of gradient projection. The paper reports that a couple suffice;
 * overload needs a few more.
 */
export const maxIterations = 24;

/**
 * The share of a server's capacity beyond which a parabola continues the link cost, so that F >= C
 * has a finite cost.
 */
export const costKneeShare = 0.95;

/**
 * The network of the paper. Its nodes form four columns: M objects, then the N servers three times.
 * Flow on the path i -> (M+j) -> (M+N+j) -> (M+2N+k) is demand for object i by the clients near k
 * that server j serves. The three links of a path are the left-hand, middle and right-hand link.
 */
export type Network = {
  /** The capacity of each server, in mean replies per second. */
  readonly capacities: readonly number[];
  /** delays[j][k]: the delay of the right-hand link from server j to the clients near k, in seconds. */
  readonly delays: readonly (readonly number[])[];
  readonly objects: readonly {
    /** The demand of the clients near each server, in mean replies per second. */
    readonly demand: readonly number[];
    /**
     * The delay of the left-hand link of a path through server j to the clients near k, in seconds:
     * null if there is no link, 0 if j has a cached copy.
     */
    readonly leftLinkSeconds: (server: number, client: number) => number | null;
  }[];
};

/** The flows that the iteration ended with, and their cost. */
export type Solution = {
  /** flows[i][k][j]: the demand for object i by the clients near k that server j serves. */
  readonly flows: readonly (readonly (readonly number[])[])[];
  readonly loads: readonly number[];
  readonly cost: number;
  readonly iterations: number;
};

/**
 * The cost of a middle link, F/(C-F), and its first two derivatives. Beyond the knee, the parabola
 * with the same value, slope and curvature continues it, so that overload has a finite, steep cost.
 *
 * @example
 * queueingCost(5, 10) // { cost: 1, slope: 0.4, curvature: 0.16 }
 */
export const queueingCost = (
  load: number,
  capacity: number,
): { readonly cost: number; readonly slope: number; readonly curvature: number } => {
  const belowKnee = Math.min(load, capacity * costKneeShare);
  const spare = capacity - belowKnee;
  const [cost, slope, curvature] = [
    belowKnee / spare,
    capacity / spare ** 2,
    (2 * capacity) / spare ** 3,
  ];
  const excess = load - belowKnee;
  return excess === 0
    ? { cost, slope, curvature }
    : {
        cost: cost + slope * excess + (curvature * excess ** 2) / 2,
        slope: slope + curvature * excess,
        curvature,
      };
};

/**
 * The total cost of the flows: the sum of D = F/(C-F) + dF over all links.
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
        cost +=
          flow * ((network.objects[i]?.leftLinkSeconds(j, k) ?? 0) + (network.delays[j]?.[k] ?? 0));
      }),
    ),
  );
  return (
    cost +
    loads.reduce((sum, load, j) => sum + queueingCost(load, network.capacities[j] ?? 0).cost, 0)
  );
};

/** A path of one object to the clients near one server; `fixedSeconds` is the delay of its outer links. */
type Path = { readonly server: number; readonly fixedSeconds: number; flow: number };
/** The demand for one object by the clients near one server, and its possible paths. */
type DemandPair = {
  readonly object: number;
  readonly client: number;
  readonly demand: number;
  readonly paths: readonly Path[];
};

const demandPairsOf = (network: Network): readonly DemandPair[] =>
  network.objects.flatMap((object, i) =>
    object.demand.flatMap((demand, k) => {
      if (demand <= 0) return [];
      const paths = network.capacities.flatMap((capacity, j): readonly Path[] => {
        const leftSeconds = capacity > 0 ? object.leftLinkSeconds(j, k) : null;
        return leftSeconds === null
          ? []
          : [{ server: j, fixedSeconds: leftSeconds + (network.delays[j]?.[k] ?? 0), flow: 0 }];
      });
      return paths.length === 0 ? [] : [{ object: i, client: k, demand, paths }];
    }),
  );

/**
 * The gradient projection step of one demand pair. Every other path moves flow to the shortest one:
 * its extra length divided by the curvature of the links that the two paths don't share, and at
 * most its flow. The curvature of left-hand and right-hand links is zero. Each path steps with the
 * loads that the previous one left behind, so the steps can't overshoot together.
 */
const projectDemandPair = (
  pair: DemandPair,
  loads: number[],
  capacities: readonly number[],
): void => {
  const lengthOf = (path: Path): number =>
    path.fixedSeconds + queueingCost(loads[path.server] ?? 0, capacities[path.server] ?? 0).slope;
  const curvatureOf = (path: Path): number =>
    queueingCost(loads[path.server] ?? 0, capacities[path.server] ?? 0).curvature;
  const shortest = pair.paths.reduce((candidate, path) =>
    lengthOf(path) < lengthOf(candidate) ? path : candidate,
  );
  for (const path of pair.paths) {
    if (path === shortest || path.flow <= 0) continue;
    const extraLength = lengthOf(path) - lengthOf(shortest);
    if (extraLength <= 0) continue;
    const moved = Math.min(path.flow, extraLength / (curvatureOf(path) + curvatureOf(shortest)));
    path.flow -= moved;
    shortest.flow += moved;
    loads[path.server] = (loads[path.server] ?? 0) - moved;
    loads[shortest.server] = (loads[shortest.server] ?? 0) + moved;
  }
};

/**
 * Solves the network by gradient projection, one demand pair after another, starting with all demand
 * on the path of the lowest fixed delay.
 *
 * @example
 * // Two servers of capacity 10, all clients at the first: the overflow goes to the second.
 * solve({ capacities: [10, 10], delays: [[0, 0.001], [0.001, 0]], objects: [{ demand: [12, 0], leftLinkSeconds: () => 0 }] }).loads
 */
export const solve = (network: Network, maxRounds: number = maxIterations): Solution => {
  const pairs = demandPairsOf(network);
  const loads = network.capacities.map(() => 0);
  for (const pair of pairs) {
    const cheapest = pair.paths.reduce((best, path) =>
      path.fixedSeconds < best.fixedSeconds ? path : best,
    );
    cheapest.flow = pair.demand;
    loads[cheapest.server] = (loads[cheapest.server] ?? 0) + pair.demand;
  }
  const totalCost = (): number =>
    loads.reduce(
      (sum, load, j) =>
        sum +
        queueingCost(load, network.capacities[j] ?? 0).cost *
          ((network.capacities[j] ?? 0) > 0 ? 1 : 0),
      0,
    ) +
    pairs.reduce(
      (sum, pair) =>
        sum + pair.paths.reduce((pairSum, path) => pairSum + path.flow * path.fixedSeconds, 0),
      0,
    );
  let cost = totalCost();
  let iterations = 0;
  while (iterations < maxRounds) {
    iterations += 1;
    for (const pair of pairs) projectDemandPair(pair, loads, network.capacities);
    const nextCost = totalCost();
    const hasConverged = cost - nextCost <= convergenceRatio * cost;
    cost = nextCost;
    if (hasConverged) break;
  }
  const flows = network.objects.map((object) =>
    object.demand.map(() => network.capacities.map(() => 0)),
  );
  for (const pair of pairs) {
    const row = flows[pair.object]?.[pair.client];
    if (row !== undefined) for (const path of pair.paths) row[path.server] = path.flow;
  }
  return { flows, loads, cost, iterations };
};
