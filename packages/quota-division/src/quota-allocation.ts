/** Divides the rate limit of each service among nodes. */

/** The share of a rate limit that is divided evenly among all possible nodes, whatever their demand. */
export const evenlySpreadShare = 0.1;

/** The share of its goal that a node's quotas must reach before the node first reports ready. */
export const readyQuotaShare = 0.7;

/** A node that may have quotas, and its zone and region. */
export type QuotaNode = { readonly nodeId: string; readonly zone: string; readonly region: string };

/**
 * By node id: shares of a service's rate limit, which add up to 1; or the demand of each node in
 * requests per second.
 */
export type QuotaShares = Readonly<Record<string, number>>;

/**
 * The quota allocation of every service in one quota leader's term. It contains shares, not rates:
 * each node derives the rate of a share from the rate limit and the instances that it knows now, so
 * that a lowered rate limit needs no new allocation.
 */
export type QuotaAllocation = {
  readonly term: number;
  readonly holder: string;
  /** Grows with each renewal; while it does not grow, the quota leadership is vacant. */
  readonly beat: number;
  readonly slices: Readonly<Record<string, QuotaShares>>;
  /** Nodes whose quotas have once come close to their goals: only these nodes report ready. */
  readonly seated: readonly string[];
};

/**
 * Divides a total among the groups of one level. Each group first gets its demand; the remainder is
 * spread evenly over the nodes, so that a client that moves to another node finds capacity there.
 * Where the demand exceeds the total, a tenth is still spread evenly and the rest is divided in
 * proportion to the demand.
 */
const shareOut = (
  total: number,
  demands: readonly number[],
  nodeCounts: readonly number[],
): readonly number[] => {
  const sumOf = (values: readonly number[]): number =>
    values.reduce((sum, value) => sum + value, 0);
  const [totalDemand, totalNodes] = [sumOf(demands), sumOf(nodeCounts)];
  const evenPart = (index: number, amount: number): number =>
    totalNodes > 0 ? (amount * (nodeCounts[index] ?? 0)) / totalNodes : 0;
  if (totalDemand <= total)
    return demands.map((demand, index) => demand + evenPart(index, total - totalDemand));
  const evenlySpread = total * evenlySpreadShare;
  return demands.map(
    (demand, index) =>
      evenPart(index, evenlySpread) + ((total - evenlySpread) * demand) / totalDemand,
  );
};

const groupBy = <T>(items: readonly T[], keyOf: (item: T) => string): readonly (readonly T[])[] => {
  const groups = new Map<string, T[]>();
  for (const item of items) {
    const group = groups.get(keyOf(item));
    if (group === undefined) groups.set(keyOf(item), [item]);
    else group.push(item);
  }
  return [...groups.values()];
};

/**
 * The part of a rate limit that may be allocated. Each node's bucket may save one token in addition
 * to its quota, so over 5 s the nodes together could exceed the rate limit by one request each. This
 * excess is deducted first, as far as the tenth that the requirements tolerate does not cover it.
 *
 * @example
 * usableRateOf(100, 10) // 100
 * usableRateOf(20, 11)  // 18.8
 */
export const usableRateOf = (rateLimit: number, nodeCount: number): number =>
  Math.max(rateLimit / 2, Math.min(rateLimit, 1.05 * rateLimit - nodeCount / 5));

/**
 * The rate limit of a service: the lower of its configured rate limit and the sum of the capacities
 * that its instances report.
 *
 * @example
 * rateLimitOf(400, [200, 100]) // 300
 * rateLimitOf(undefined, [200]) // 200
 */
export const rateLimitOf = (
  configuredLimit: number | undefined,
  capacities: readonly number[],
): number =>
  Math.min(
    configuredLimit ?? Infinity,
    capacities.reduce((sum, capacity) => sum + capacity, 0),
  );

/**
 * The rate of one node's share of a rate limit, in requests per second. Without a rate limit the
 * rate of every node is unlimited.
 *
 * @example
 * rateOf({ a: 0.25, b: 0.75 }, 'a', 100) // 25
 */
export const rateOf = (shares: QuotaShares, nodeId: string, rateLimit: number): number =>
  rateLimit === Infinity
    ? Infinity
    : (shares[nodeId] ?? 0) * usableRateOf(rateLimit, Object.keys(shares).length);

/**
 * Divides a rate limit by demand, from region to zone to node, and returns each node's share.
 *
 * @example
 * allocateQuotas(100, [{ nodeId: 'a', zone: 'h', region: 'r' }, { nodeId: 'b', zone: 'h', region: 'r' }], { a: 30, b: 10 })
 */
export const allocateQuotas = (
  rateLimit: number,
  nodes: readonly QuotaNode[],
  demand: QuotaShares,
): QuotaShares => {
  const rates: Record<string, number> = {};
  const demandOf = (group: readonly QuotaNode[]): number =>
    group.reduce((sum, node) => sum + (demand[node.nodeId] ?? 0), 0);
  const divideLevel = (
    total: number,
    group: readonly QuotaNode[],
    keys: readonly ((node: QuotaNode) => string)[],
  ): void => {
    const [keyOf, ...remainingKeys] = keys;
    if (keyOf === undefined) {
      for (const node of group) rates[node.nodeId] = total;
      return;
    }
    const subgroups = groupBy(group, keyOf);
    const parts = shareOut(
      total,
      subgroups.map(demandOf),
      subgroups.map((subgroup) => subgroup.length),
    );
    subgroups.forEach((subgroup, index) => divideLevel(parts[index] ?? 0, subgroup, remainingKeys));
  };
  // A rate limit of 0 counts as a tiny positive one, so that the shares still say how a rate would be divided.
  // Without a rate limit there is nothing to divide; the shares then state how the total of twice the demand (at
  // least 1) would be divided.
  const total =
    rateLimit === Infinity
      ? Math.max(1, 2 * demandOf(nodes))
      : Math.max(1e-9, usableRateOf(rateLimit, nodes.length));
  divideLevel(total, nodes, [(node) => node.region, (node) => node.zone, (node) => node.nodeId]);
  return Object.fromEntries(Object.entries(rates).map(([nodeId, rate]) => [nodeId, rate / total]));
};

/**
 * The next shares on the way to a goal. The largest share that a node may still use from any earlier
 * allocation counts against the total until that allocation has expired, so shares fall immediately
 * and rise only into the part that no earlier allocation may still use.
 *
 * @example
 * nextShares({ a: 0.2, b: 0.8 }, [{ a: 0.9, b: 0.1 }]) // { a: 0.2, b: 0.1 }: b waits until a's old share expires
 */
export const nextShares = (
  goal: QuotaShares,
  unexpiredShares: readonly QuotaShares[],
): QuotaShares => {
  const nodeIds = new Set([
    ...Object.keys(goal),
    ...unexpiredShares.flatMap((shares) => Object.keys(shares)),
  ]);
  const maxUnexpiredShareOf = (nodeId: string): number =>
    Math.max(0, ...unexpiredShares.map((shares) => shares[nodeId] ?? 0));
  const committed = [...nodeIds].reduce((sum, nodeId) => sum + maxUnexpiredShareOf(nodeId), 0);
  const increases = Object.entries(goal).map(
    ([nodeId, share]) => [nodeId, Math.max(0, share - maxUnexpiredShareOf(nodeId))] as const,
  );
  const totalIncrease = increases.reduce((sum, [, increase]) => sum + increase, 0);
  const available = Math.max(0, 1 - committed);
  const grantedPart = totalIncrease > 0 ? Math.min(1, available / totalIncrease) : 0;
  return Object.fromEntries(
    Object.entries(goal).map(([nodeId, share]) => [
      nodeId,
      Math.min(share, maxUnexpiredShareOf(nodeId)) +
        Math.max(0, share - maxUnexpiredShareOf(nodeId)) * grantedPart,
    ]),
  );
};

/**
 * Whether a node's shares of all services have reached `readyQuotaShare` of their goals.
 *
 * @example
 * hasReachedReadyShare('a', { s: { a: 10 } }, { s: { a: 8 } }) // true
 */
export const hasReachedReadyShare = (
  nodeId: string,
  goals: Readonly<Record<string, QuotaShares>>,
  sharesByService: Readonly<Record<string, QuotaShares>>,
): boolean =>
  Object.entries(goals).every(
    ([service, goal]) =>
      (sharesByService[service]?.[nodeId] ?? 0) >= readyQuotaShare * (goal[nodeId] ?? 0),
  );

/**
 * Whether the share of any node changed enough to justify a new allocation: by more than 2 %.
 *
 * @example
 * haveSharesChanged({ a: 10 }, { a: 10.1 }) // false
 */
export const haveSharesChanged = (next: QuotaShares, previous: QuotaShares): boolean =>
  [...new Set([...Object.keys(next), ...Object.keys(previous)])].some((nodeId) => {
    const [nextShare, previousShare] = [next[nodeId] ?? 0, previous[nodeId] ?? 0];
    return Math.abs(nextShare - previousShare) > 0.02 * Math.max(nextShare, previousShare) + 1e-9;
  });
