/** Load vectors of the nodes: when one is announced again, and the routes that they lead to. */
import { solve } from './index.js';

/** ratio. A ping that moved by more than this share (and by delayFloor) also sends again. */
export const delayChangeRatio = 0.5;

/** s. Changes of delay under this are noise of the machine. */
export const delayNoiseSeconds = 0.002;

/** share of capacity. The paper's delta: a vector is sent again on this change of utilisation. */
export const utilisationDelta = 0.1;

/** s. Left-link delay of an edge that holds no copy and must fetch one, until measured. */
export const fetchPenaltySeconds = 0.02;

/** bits. A mean reply where none was measured (the paper's 12 KB). */
export const defaultMeanReplyBits = 96_000;

/** What an edge tells the others: its load, its replicas, its delays. */
export type LoadVector = {
  /** bps that this edge's own clients ask of each object. */
  readonly demand: Readonly<Record<string, number>>;
  /** Busy objects of which it holds a copy. */
  readonly copies: readonly string[];
  /** bps it can serve. */
  readonly capacity: number;
  /** Share of the capacity in use. */
  readonly utilisation: number;
  /** Share of the capacity that its own clients ask for. */
  readonly offered: number;
  /** s. Pinged delay to each other edge. */
  readonly delays: Readonly<Record<string, number>>;
  /** bits. Mean reply. */
  readonly meanReply: number;
  /** s. What fetching a copy from an origin takes. */
  readonly fetchDelay: number;
};

/** What of a route the routing table must know. */
export type RoutePlacementRule = {
  readonly servers: (edge: string) => boolean;
  /**
   * Where the route's objects are placed for the clients of an edge: each at one of these, drawn by
   * its name. Left out: nowhere, copies lie where they happened to be made.
   */
  readonly placementOf?: (client: string) => readonly string[];
};

/** An even spread of numbers over names, the same on every node. @example mixed('a') === mixed('a') // true */
export const hashOf = (text: string): number => {
  let hash = 2_166_136_261;
  for (let index = 0; index < text.length; index += 1)
    hash = Math.imul(hash ^ text.charCodeAt(index), 16_777_619);
  hash = Math.imul(hash ^ (hash >>> 15), 2_246_822_519);
  return (hash ^ (hash >>> 13)) >>> 0;
};

/**
 * Which of some edges holds an object, by rendezvous hashing: where one leaves, only its objects
 * move.
 *
 * @example
 * holderOf('a.example/1', ['front-1', 'front-2']) // the same one everywhere
 */
export const rendezvousOwner = (object: string, edges: readonly string[]): string | undefined => {
  const seed = hashOf(object);
  let best: string | undefined;
  let highest = -1;
  for (const edge of edges) {
    const score = hashOf(`${edge} ${seed}`);
    if (score > highest) {
      highest = score;
      best = edge;
    }
  }
  return best;
};

/** The key of those of a route's objects that are placed at one edge. @example groupKey('sheets', 'front-1') // 'sheets @front-1' */
export const placementKey = (route: string, holder: string): string => `${route} @${holder}`;
/** The holders that a split has rows for, by route. @example holdersOf({ 'sheets @front-1': [['front-1', 1]] }) // { sheets: ['front-1'] } */
export const ownersByRouteOf = (
  split: RoutingTable,
): Readonly<Record<string, readonly string[]>> => {
  const found: Record<string, string[]> = {};
  for (const key of Object.keys(split)) {
    const cut = key.indexOf(' @');
    if (cut > 0) (found[key.slice(0, cut)] ??= []).push(key.slice(cut + 2));
  }
  return found;
};

/** Share of an object's demand by the edge that serves it. */
export type RoutingRow = readonly (readonly [edge: string, share: number])[];
export type RoutingTable = Readonly<Record<string, RoutingRow>>;

/** The key of an object told one by one, or of the rest of its route. */
export const objectKey = (route: string, path: string | null): string =>
  path === null ? route : `${route} ${path}`;
/** @example routeOf('sheets /sheets/7') // 'sheets' */
export const routeNameOf = (key: string): string => key.split(' ', 1)[0] ?? key;

/** A change of delta or more; the last digits of a float don't count. */
const changed = (next: number, old: number): boolean =>
  Math.abs(next - old) >= utilisationDelta - 1e-9;

/**
 * Whether a vector must be sent: the paper's |u_new - u_old| >= delta, the same for the demand of
 * the edge's own clients (an edge at its limit shows no change of use), or a marked change of
 * delay.
 *
 * @example
 * mustSend({ ...old, utilisation: old.utilisation + 0.1 }, old) // true
 */
export const shouldAnnounce = (next: LoadVector, sent: LoadVector | null): boolean =>
  sent === null ||
  changed(next.utilisation, sent.utilisation) ||
  changed(next.offered, sent.offered) ||
  Object.entries(next.delays).some(([edge, delay]) => {
    const old = sent.delays[edge];
    if (old === undefined) return true;
    return (
      Math.abs(delay - old) > delayNoiseSeconds && Math.abs(delay - old) > delayChangeRatio * old
    );
  });

/**
 * The rows of one edge, computed from everybody's vectors as that edge has them.
 *
 * @example
 * splitFor('a', { a: vectorOfA, b: vectorOfB }, () => ({ servers: () => true }))
 */
export const computeRoutes = (
  self: string,
  vectors: Readonly<Record<string, LoadVector>>,
  ruleOf: (route: string) => RoutePlacementRule | null,
): { readonly split: RoutingTable; readonly iterations: number; readonly cost: number } => {
  const edges = Object.keys(vectors).sort();
  const list = edges.flatMap((edge) => {
    const vector = vectors[edge];
    return vector === undefined ? [] : [vector];
  });
  const replies = list.filter((vector) => vector.meanReply > 0);
  const meanReply =
    replies.length === 0
      ? defaultMeanReplyBits
      : replies.reduce((sum, vector) => sum + vector.meanReply, 0) / replies.length;
  const keys = [...new Set(list.flatMap((vector) => Object.keys(vector.demand)))]
    .sort()
    .flatMap((key) => {
      const rule = ruleOf(routeNameOf(key));
      return rule === null ? [] : [{ key, rule }];
    });
  const copies = list.map((vector) => new Set(vector.copies));
  const grouped = keys.flatMap(({ key, rule }) => {
    const { placementOf: placed } = rule;
    if (placed === undefined || key !== routeNameOf(key)) return [];
    const places = edges.map((edge) => placed(edge));
    return [...new Set(places.flat())].sort().map((holder) => ({
      key: placementKey(key, holder),
      object: {
        demand: list.map((vector, k) =>
          places[k]?.includes(holder) === true
            ? (vector.demand[key] ?? 0) / meanReply / places[k].length
            : 0,
        ),
        // Its holder has a copy or makes one for all; the clients' own edge may make one for itself.
        link: (j: number, k: number): number | null =>
          edges[j] === holder
            ? 0
            : j === k && rule.servers(edges[j] ?? '')
              ? (list[j]?.fetchDelay ?? fetchPenaltySeconds)
              : null,
      },
    }));
  });
  const single = keys.filter(
    ({ key, rule }) => rule.placementOf === undefined || key !== routeNameOf(key),
  );
  const delays = list.map((vector, j) =>
    edges.map((edge, k) =>
      j === k ? 0 : (vector.delays[edge] ?? list[k]?.delays[edges[j] ?? ''] ?? fetchPenaltySeconds),
    ),
  );
  const solution = solve({
    capacities: list.map((vector) => vector.capacity / meanReply),
    delays,
    objects: [
      ...grouped.map(({ object }) => object),
      ...single.map(({ key, rule }) => {
        const allowed = edges.map((edge) => rule.servers(edge));
        const held = copies.map((set, j) => allowed[j] === true && set.has(key));
        const anyHeld = held.some(Boolean);
        return {
          demand: list.map((vector) => (vector.demand[key] ?? 0) / meanReply),
          link: (j: number, k: number): number | null => {
            if (allowed[j] !== true) return null;
            if (held[j] === true) return 0;
            // No replica: the client's own edge may make one; others only where nobody has one.
            return j === k || !anyHeld || allowed[k] !== true
              ? (list[j]?.fetchDelay ?? fetchPenaltySeconds)
              : null;
          },
        };
      }),
    ],
  });
  const me = edges.indexOf(self);
  const split: Record<string, RoutingRow> = {};
  [...grouped, ...single].forEach(({ key }, i) => {
    const row = solution.flows[i]?.[me] ?? [];
    const total = row.reduce((sum, flow) => sum + flow, 0);
    if (total > 0)
      split[key] = row.flatMap((flow, j) =>
        flow / total > 1e-4 ? [[edges[j] ?? '', flow / total] as const] : [],
      );
  });
  return { split, iterations: solution.iterations, cost: solution.cost };
};
