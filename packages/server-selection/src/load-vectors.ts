/**
 * Load vectors of the edges, which are the nodes that run a proxy: when an edge announces its vector
 * again, and the routing table that all vectors together yield.
 */
import { solve } from './index.js';

/**
 * A vector is also announced again when a ping delay changed by more than this ratio, and by more
 * than delayNoiseSeconds.
 */
export const delayChangeRatio = 0.5;

/** Smaller changes of a ping delay are noise of the machine, in seconds. */
export const delayNoiseSeconds = 0.002;

/** The paper's delta: a vector is announced again when the utilisation changed by this share of capacity. */
export const utilisationDelta = 0.1;

/**
 * The delay of the left-hand link of an edge that has no cached copy and must fetch the object, in
 * seconds, until it has measured its fetches.
 */
export const fetchPenaltySeconds = 0.02;

/** The size of a mean reply if no edge has measured one, in bits: the paper's 12 KB. */
export const defaultMeanReplyBits = 96_000;

/** The vector that an edge announces to the others: its load, its cached copies, its delays. */
export type LoadVector = {
  /** The demand of the edge's own clients for each object, in bits per second. */
  readonly demand: Readonly<Record<string, number>>;
  /** The objects in demand of which the edge has a cached copy. */
  readonly copies: readonly string[];
  /** How much the edge can serve, in bits per second. */
  readonly capacity: number;
  /** The share of the capacity in use. */
  readonly utilisation: number;
  /** The demand of the edge's own clients, as a share of the capacity. */
  readonly offered: number;
  /** The pinged delay to each other edge, in seconds. */
  readonly delays: Readonly<Record<string, number>>;
  /** The size of a mean reply, in bits. */
  readonly meanReply: number;
  /** How long a fetch from an origin takes, in seconds. */
  readonly fetchDelay: number;
};

/** Which edges serve a route, and where its objects are placed, as the routing table needs it. */
export type RoutePlacementRule = {
  readonly servers: (edge: string) => boolean;
  /**
   * The edges at which the route's objects are placed for the clients of an edge. Each object is
   * cached at one of them, chosen by its name. If undefined, the route's objects aren't placed:
   * copies stay wherever requests caused them.
   */
  readonly placementOf?: (clientEdge: string) => readonly string[];
};

/**
 * A 32-bit hash of a text, evenly distributed and the same on every node.
 *
 * @example
 * hashOf('a') === hashOf('a') // true
 */
export const hashOf = (text: string): number => {
  let hash = 2_166_136_261;
  for (let index = 0; index < text.length; index += 1)
    hash = Math.imul(hash ^ text.charCodeAt(index), 16_777_619);
  hash = Math.imul(hash ^ (hash >>> 15), 2_246_822_519);
  return (hash ^ (hash >>> 13)) >>> 0;
};

/**
 * The owner of an object among some edges, by rendezvous hashing: when an edge leaves, only its own
 * objects move.
 *
 * @example
 * rendezvousOwner('a.example/1', ['front-1', 'front-2']) // the same edge on every node
 */
export const rendezvousOwner = (object: string, edges: readonly string[]): string | undefined => {
  const seed = hashOf(object);
  let owner: string | undefined;
  let highestScore = -1;
  for (const edge of edges) {
    const score = hashOf(`${edge} ${seed}`);
    if (score > highestScore) {
      highestScore = score;
      owner = edge;
    }
  }
  return owner;
};

/**
 * The key of the objects of a route that are placed at one edge.
 *
 * @example
 * placementKey('sheets', 'front-1') // 'sheets @front-1'
 */
export const placementKey = (route: string, owner: string): string => `${route} @${owner}`;
/**
 * The owners that a routing table has rows for, by route.
 *
 * @example
 * ownersByRouteOf({ 'sheets @front-1': [['front-1', 1]] }) // { sheets: ['front-1'] }
 */
export const ownersByRouteOf = (
  split: RoutingTable,
): Readonly<Record<string, readonly string[]>> => {
  const owners: Record<string, string[]> = {};
  for (const key of Object.keys(split)) {
    const separator = key.indexOf(' @');
    if (separator > 0) (owners[key.slice(0, separator)] ??= []).push(key.slice(separator + 2));
  }
  return owners;
};

/** The share of an object's demand that each edge serves. */
export type RoutingRow = readonly (readonly [edge: string, share: number])[];
/** The rows of one edge's clients, by the key of an object, a placement or a route. */
export type RoutingTable = Readonly<Record<string, RoutingRow>>;

/** The key of an object that is listed by itself, or of the remaining objects of its route. */
export const objectKey = (route: string, path: string | null): string =>
  path === null ? route : `${route} ${path}`;
/** The name of the route in a key. @example routeNameOf('sheets /sheets/7') // 'sheets' */
export const routeNameOf = (key: string): string => key.split(' ', 1)[0] ?? key;

/** Whether a value changed by delta or more, with a tolerance for rounding errors. */
const hasChanged = (next: number, old: number): boolean =>
  Math.abs(next - old) >= utilisationDelta - 1e-9;

/**
 * Whether a vector must be announced: if the utilisation u changed by the paper's
 * |u_new - u_old| >= delta, if the demand of the edge's own clients changed as much (the utilisation
 * of an edge at its capacity no longer changes), or if a delay changed a lot.
 *
 * @example
 * shouldAnnounce({ ...old, utilisation: old.utilisation + 0.1 }, old) // true
 */
export const shouldAnnounce = (next: LoadVector, sent: LoadVector | null): boolean =>
  sent === null ||
  hasChanged(next.utilisation, sent.utilisation) ||
  hasChanged(next.offered, sent.offered) ||
  Object.entries(next.delays).some(([edge, delay]) => {
    const old = sent.delays[edge];
    if (old === undefined) return true;
    return (
      Math.abs(delay - old) > delayNoiseSeconds && Math.abs(delay - old) > delayChangeRatio * old
    );
  });

/**
 * Computes the routing table of one edge from the vectors of all edges, as far as it knows them.
 *
 * @example
 * computeRoutes('a', { a: vectorOfA, b: vectorOfB }, () => ({ servers: () => true }))
 */
export const computeRoutes = (
  self: string,
  vectors: Readonly<Record<string, LoadVector>>,
  ruleOf: (route: string) => RoutePlacementRule | null,
): { readonly split: RoutingTable; readonly iterations: number; readonly cost: number } => {
  const edges = Object.keys(vectors).sort();
  const vectorList = edges.flatMap((edge) => {
    const vector = vectors[edge];
    return vector === undefined ? [] : [vector];
  });
  const withReplies = vectorList.filter((vector) => vector.meanReply > 0);
  const meanReply =
    withReplies.length === 0
      ? defaultMeanReplyBits
      : withReplies.reduce((sum, vector) => sum + vector.meanReply, 0) / withReplies.length;
  const keys = [...new Set(vectorList.flatMap((vector) => Object.keys(vector.demand)))]
    .sort()
    .flatMap((key) => {
      const rule = ruleOf(routeNameOf(key));
      return rule === null ? [] : [{ key, rule }];
    });
  const copies = vectorList.map((vector) => new Set(vector.copies));
  const placements = keys.flatMap(({ key, rule }) => {
    const { placementOf } = rule;
    if (placementOf === undefined || key !== routeNameOf(key)) return [];
    const ownersByClientEdge = edges.map((edge) => placementOf(edge));
    return [...new Set(ownersByClientEdge.flat())].sort().map((owner) => ({
      key: placementKey(key, owner),
      object: {
        demand: vectorList.map((vector, k) =>
          ownersByClientEdge[k]?.includes(owner) === true
            ? (vector.demand[key] ?? 0) / meanReply / ownersByClientEdge[k].length
            : 0,
        ),
        // The owner has a copy or fetches one for all; the clients' own edge may fetch one for itself.
        leftLinkSeconds: (j: number, k: number): number | null =>
          edges[j] === owner
            ? 0
            : j === k && rule.servers(edges[j] ?? '')
              ? (vectorList[j]?.fetchDelay ?? fetchPenaltySeconds)
              : null,
      },
    }));
  });
  const otherKeys = keys.filter(
    ({ key, rule }) => rule.placementOf === undefined || key !== routeNameOf(key),
  );
  const delays = vectorList.map((vector, j) =>
    edges.map((edge, k) =>
      j === k
        ? 0
        : (vector.delays[edge] ?? vectorList[k]?.delays[edges[j] ?? ''] ?? fetchPenaltySeconds),
    ),
  );
  const solution = solve({
    capacities: vectorList.map((vector) => vector.capacity / meanReply),
    delays,
    objects: [
      ...placements.map(({ object }) => object),
      ...otherKeys.map(({ key, rule }) => {
        const isAllowed = edges.map((edge) => rule.servers(edge));
        const hasCopy = copies.map((set, j) => isAllowed[j] === true && set.has(key));
        const anyHasCopy = hasCopy.some(Boolean);
        return {
          demand: vectorList.map((vector) => (vector.demand[key] ?? 0) / meanReply),
          leftLinkSeconds: (j: number, k: number): number | null => {
            if (isAllowed[j] !== true) return null;
            if (hasCopy[j] === true) return 0;
            // Without a copy at j, the clients' own edge may fetch one. Another edge may only if no edge
            // has a copy, or if the clients' own edge must not serve the object.
            return j === k || !anyHasCopy || isAllowed[k] !== true
              ? (vectorList[j]?.fetchDelay ?? fetchPenaltySeconds)
              : null;
          },
        };
      }),
    ],
  });
  const selfIndex = edges.indexOf(self);
  const split: Record<string, RoutingRow> = {};
  [...placements, ...otherKeys].forEach(({ key }, i) => {
    const row = solution.flows[i]?.[selfIndex] ?? [];
    const total = row.reduce((sum, flow) => sum + flow, 0);
    if (total > 0)
      split[key] = row.flatMap((flow, j) =>
        flow / total > 1e-4 ? [[edges[j] ?? '', flow / total] as const] : [],
      );
  });
  return { split, iterations: solution.iterations, cost: solution.cost };
};
