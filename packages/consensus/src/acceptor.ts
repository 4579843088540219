/** A ballot: a round and who opened it. Any two are ordered. */
export type Ballot = readonly [round: number, proposer: string];

/** A value as an acceptor holds it. */
export type Accepted = {
  readonly ballot: Ballot;
  readonly value: unknown;
  /** It was copied from another acceptor, and counts as read, but not as a vote of this one. */
  readonly copied?: true;
};

/** What an acceptor keeps of one register. */
export type Cell = {
  readonly promised: Ballot;
  readonly accepted: Accepted | null;
};

export const Ballots = {
  none: [0, ''] as Ballot,
  /** @example Ballots.compare([2, 'a'], [1, 'b']) // 1 */
  compare: (left: Ballot, right: Ballot): number =>
    left[0] !== right[0]
      ? Math.sign(left[0] - right[0])
      : left[1] < right[1]
        ? -1
        : left[1] > right[1]
          ? 1
          : 0,
  /** @example Ballots.after([3, 'a'], 'b') // [4, 'b'] */
  after: (ballot: Ballot, proposer: string): Ballot => [ballot[0] + 1, proposer],
} as const;

export const emptyCell: Cell = { promised: Ballots.none, accepted: null };

/** An acceptor's answer to either phase. */
export type Vote =
  | { readonly kind: 'yes'; readonly accepted: Cell['accepted'] }
  | { readonly kind: 'no'; readonly promised: Ballot };

/** The newer of two accepted values; of one ballot, a vote rather than a copy. */
const newerAccepted = (left: Accepted | null, right: Accepted | null): Accepted | null => {
  if (left === null || right === null) return left ?? right;
  const order = Ballots.compare(left.ballot, right.ballot);
  if (order !== 0) return order > 0 ? left : right;
  return left.copied === true ? right : left;
};

export const Acceptor = {
  /**
   * First phase: promise to take part in no ballot below this one. A prepare that is sent again
   * gets the same promise: each ballot belongs to one proposal of one life of a proposer, and is
   * never opened twice.
   *
   * @example
   * Acceptor.prepare(emptyCell, [1, 'agent']).vote // { kind: 'yes', accepted: null }
   */
  prepare: (cell: Cell, ballot: Ballot): { readonly cell: Cell; readonly vote: Vote } =>
    Ballots.compare(ballot, cell.promised) >= 0
      ? { cell: { ...cell, promised: ballot }, vote: { kind: 'yes', accepted: cell.accepted } }
      : { cell, vote: { kind: 'no', promised: cell.promised } },

  /**
   * Second phase: take the value unless a higher ballot was promised.
   *
   * @example
   * Acceptor.accept(emptyCell, [1, 'agent'], 'v').cell.accepted // { ballot: [1, 'agent'], value: 'v' }
   */
  accept: (
    cell: Cell,
    ballot: Ballot,
    value: unknown,
  ): { readonly cell: Cell; readonly vote: Vote } => {
    if (Ballots.compare(ballot, cell.promised) < 0)
      return { cell, vote: { kind: 'no', promised: cell.promised } };
    const accepted = { ballot, value };
    return { cell: { promised: ballot, accepted }, vote: { kind: 'yes', accepted } };
  },

  /**
   * Joins what two acceptors keep of one register: the higher promise, the newer value.
   *
   * @example
   * Acceptor.merge(emptyCell, { promised: [2, 'a'], accepted: null }).promised // [2, 'a']
   */
  merge: (left: Cell, right: Cell): Cell => ({
    promised: Ballots.compare(left.promised, right.promised) >= 0 ? left.promised : right.promised,
    accepted: newerAccepted(left.accepted, right.accepted),
  }),

  /**
   * A cell as another acceptor takes it over: its value must be read, but is no vote of that one.
   * An acceptor that promised a ballot may hold a copy of a value of a lower one, which it could
   * not have voted for any more.
   *
   * @example
   * Acceptor.copyOf({ promised: [2, 'a'], accepted: { ballot: [1, 'a'], value: 'v' } }).accepted?.copied // true
   */
  copyOf: (cell: Cell): Cell =>
    cell.accepted === null ? cell : { ...cell, accepted: { ...cell.accepted, copied: true } },
} as const;
