/** A partial view of the other nodes, shuffled as in Cyclon; exchanges choose their peers from it. */

/** How many neighbours one shuffle sends, the sender included. */
export const shuffleSize = 4;

/** The maximum number of neighbours in a partial view. */
export const viewSize = 8;

/** A node in the partial view. */
export type Neighbour = {
  readonly id: string;
  readonly address: string;
  /** The number of exchanges since the neighbour was last heard from. */
  readonly age: number;
};

/**
 * Merges received neighbours into the view. When the view overflows, the neighbours that were sent
 * in the same shuffle are evicted first, then the oldest ones.
 *
 * @example
 * shuffleView([], 'me', [{ id: 'a', address: '127.0.0.1:1', age: 0 }], []) // [{ id: 'a', address: '127.0.0.1:1', age: 0 }]
 */
export const shuffleView = (
  view: readonly Neighbour[],
  self: string,
  received: readonly Neighbour[],
  sent: readonly Neighbour[],
): readonly Neighbour[] => {
  const sentIds = new Set(sent.map((neighbour) => neighbour.id));
  const others = received.filter((neighbour) => neighbour.id !== self);
  const receivedIds = new Set(others.map((neighbour) => neighbour.id));
  const youngest = new Map<string, Neighbour>();
  for (const neighbour of [...others, ...view]) {
    const known = youngest.get(neighbour.id);
    if (known === undefined || neighbour.age < known.age) youngest.set(neighbour.id, neighbour);
  }
  // Received neighbours have priority, then neighbours that were not sent, then the sent ones.
  const rank = (neighbour: Neighbour): number =>
    receivedIds.has(neighbour.id) ? 0 : sentIds.has(neighbour.id) ? 2 : 1;
  return [...youngest.values()]
    .sort((a, b) => rank(a) - rank(b) || a.age - b.age)
    .slice(0, viewSize);
};

/**
 * The neighbours to send in a shuffle: this node itself with age 0, and neighbours from a random
 * start.
 *
 * @example
 * sampleView(view, { id: 'me', address: '127.0.0.1:1' }, 0.3)
 */
export const sampleView = (
  view: readonly Neighbour[],
  self: { readonly id: string; readonly address: string },
  random: number,
): readonly Neighbour[] => {
  const start = Math.floor(random * view.length);
  const rotated = [...view.slice(start), ...view.slice(0, start)];
  return [{ ...self, age: 0 }, ...rotated.slice(0, shuffleSize - 1)];
};
