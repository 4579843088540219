/** A partial view of the other nodes (shuffled as in Cyclon), which exchanges choose peers from. */

/** peers swapped in one shuffle. */
export const shuffleSize = 4;

/** peers in a partial view. */
export const viewSize = 8;

/** A node in the view. */
export type Neighbour = {
  readonly id: string;
  readonly address: string;
  /** Exchanges since it was last heard of. */
  readonly age: number;
};

/**
 * A shuffle: neighbours received fill the view, and first push out those that were sent away.
 *
 * @example
 * shuffleView([], 'me', [{ id: 'a', address: '127.0.0.1:1', age: 0 }], []) // the one received
 */
export const shuffleView = (
  view: readonly Neighbour[],
  self: string,
  received: readonly Neighbour[],
  sent: readonly Neighbour[],
): readonly Neighbour[] => {
  const sentIds = new Set(sent.map((each) => each.id));
  const fresh = received.filter((each) => each.id !== self);
  const freshIds = new Set(fresh.map((each) => each.id));
  const youngest = new Map<string, Neighbour>();
  for (const each of [...fresh, ...view]) {
    const known = youngest.get(each.id);
    if (known === undefined || each.age < known.age) youngest.set(each.id, each);
  }
  // Kept first: what was received, then what was not offered away, then the rest.
  const rank = (each: Neighbour): number =>
    freshIds.has(each.id) ? 0 : sentIds.has(each.id) ? 2 : 1;
  return [...youngest.values()]
    .sort((a, b) => rank(a) - rank(b) || a.age - b.age)
    .slice(0, viewSize);
};

/** A part of the view to offer, with oneself as the newest. @example sampleView(view, { id: 'me', address: '127.0.0.1:1' }, 0.3) */
export const sampleView = (
  view: readonly Neighbour[],
  self: { readonly id: string; readonly address: string },
  chance: number,
): readonly Neighbour[] => {
  const start = Math.floor(chance * view.length);
  const turned = [...view.slice(start), ...view.slice(0, start)];
  return [{ ...self, age: 0 }, ...turned.slice(0, shuffleSize - 1)];
};
