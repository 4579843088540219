/** A proposalNumber: a round and who opened it. Any two are ordered. */
export type ProposalNumber = readonly [round: number, proposer: string];

/** A value as an acceptor holds it. */
export type AcceptedValue = {
  readonly proposalNumber: ProposalNumber;
  readonly value: unknown;
  /** It was copied from another acceptor, and counts as read, but not as a vote of this one. */
  readonly copied?: true;
};

/** What an acceptor keeps of one register. */
export type RegisterState = {
  readonly promised: ProposalNumber;
  readonly accepted: AcceptedValue | null;
};

export const Ballots = {
  none: [0, ''] as ProposalNumber,
  /** @example Ballots.compare([2, 'a'], [1, 'b']) // 1 */
  compare: (left: ProposalNumber, right: ProposalNumber): number =>
    left[0] !== right[0]
      ? Math.sign(left[0] - right[0])
      : left[1] < right[1]
        ? -1
        : left[1] > right[1]
          ? 1
          : 0,
  /** @example Ballots.after([3, 'a'], 'b') // [4, 'b'] */
  after: (proposalNumber: ProposalNumber, proposer: string): ProposalNumber => [
    proposalNumber[0] + 1,
    proposer,
  ],
} as const;

export const emptyRegister: RegisterState = { promised: Ballots.none, accepted: null };

/** An acceptor's answer to either phase. */
export type Vote =
  | { readonly kind: 'yes'; readonly accepted: RegisterState['accepted'] }
  | { readonly kind: 'no'; readonly promised: ProposalNumber };

/** The newer of two accepted values; of one ballot, a vote rather than a copy. */
const newerAccepted = (
  left: AcceptedValue | null,
  right: AcceptedValue | null,
): AcceptedValue | null => {
  if (left === null || right === null) return left ?? right;
  const order = Ballots.compare(left.proposalNumber, right.proposalNumber);
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
  prepare: (
    register: RegisterState,
    proposalNumber: ProposalNumber,
  ): { readonly register: RegisterState; readonly vote: Vote } =>
    Ballots.compare(proposalNumber, register.promised) >= 0
      ? {
          register: { ...register, promised: proposalNumber },
          vote: { kind: 'yes', accepted: register.accepted },
        }
      : { register, vote: { kind: 'no', promised: register.promised } },

  /**
   * Second phase: take the value unless a higher ballot was promised.
   *
   * @example
   * Acceptor.accept(emptyCell, [1, 'agent'], 'v').cell.accepted // { proposalNumber: [1, 'agent'], value: 'v' }
   */
  accept: (
    register: RegisterState,
    proposalNumber: ProposalNumber,
    value: unknown,
  ): { readonly register: RegisterState; readonly vote: Vote } => {
    if (Ballots.compare(proposalNumber, register.promised) < 0)
      return { register, vote: { kind: 'no', promised: register.promised } };
    const accepted = { proposalNumber, value };
    return { register: { promised: proposalNumber, accepted }, vote: { kind: 'yes', accepted } };
  },

  /**
   * Joins what two acceptors keep of one register: the higher promise, the newer value.
   *
   * @example
   * Acceptor.merge(emptyCell, { promised: [2, 'a'], accepted: null }).promised // [2, 'a']
   */
  merge: (left: RegisterState, right: RegisterState): RegisterState => ({
    promised: Ballots.compare(left.promised, right.promised) >= 0 ? left.promised : right.promised,
    accepted: newerAccepted(left.accepted, right.accepted),
  }),

  /**
   * A cell as another acceptor takes it over: its value must be read, but is no vote of that one.
   * An acceptor that promised a ballot may hold a copy of a value of a lower one, which it could
   * not have voted for any more.
   *
   * @example
   * Acceptor.copyOf({ promised: [2, 'a'], accepted: { proposalNumber: [1, 'a'], value: 'v' } }).accepted?.copied // true
   */
  copyOf: (register: RegisterState): RegisterState =>
    register.accepted === null
      ? register
      : { ...register, accepted: { ...register.accepted, copied: true } },
} as const;
