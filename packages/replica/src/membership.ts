/**
 * The membership: whose disks vote. It is the value of a register, changed one slot at a time by
 * the members just before. Its fields are stored and sent as they are named here.
 */
import { compareProposalNumbers, type ProposalNumber } from '@reedyard/consensus';

/** The key of the register that holds the membership. */
export const membershipKey = 'members';

/** Who votes: for each slot, the disk that holds it. */
export type Membership = {
  /** Grows by one with each change. */
  readonly epoch: number;
  /** Ids of the members' disks, by slot. */
  readonly disks: Readonly<Record<string, string>>;
  /**
   * The epoch in which each slot was given to its disk; left out for the disks of the founding.
   */
  readonly joinedIn?: Readonly<Record<string, number>>;
  /** The newest epoch that was founded after a loss of most disks; left out where none was. */
  readonly refounded?: number;
  /** Addresses of the members' replicas, by slot; left out where the settings name every founder. */
  readonly addresses?: Readonly<Record<string, string>>;
  /** For a member that took over from another machine: whom it took its slot over from. */
  readonly predecessors?: Readonly<Record<string, Predecessor>>;
};

/**
 * The disk that gave up its slot to a member. Once it knows of that its state is frozen, and a copy
 * of it is enough to vote.
 */
export type Predecessor = {
  readonly disk: string;
  readonly address: string;
  /** The epoch in which its slot had been given to it; left out for the disks of the founding. */
  readonly joinedIn?: number;
};

/** A membership that is known to be chosen, with the number of the proposal that chose it. */
export type CommittedMembership = {
  readonly proposalNumber: ProposalNumber;
  readonly value: Membership;
};

/** What the settings tell a replica where members find themselves from seeds. */
export type BootstrapSettings = {
  /** This replica's own address. */
  readonly address: string;
  /** Addresses of the replicas that found the state among themselves. */
  readonly seeds: readonly string[];
  /** True only when the whole system starts for the very first time. */
  readonly isFirstStart: boolean;
};

/**
 * Whether a committed membership is newer than another one. Epochs are chosen one after the other,
 * so the epoch counts first. The same epoch may have been written again under a higher number, even
 * after the next was chosen.
 *
 * @example
 * isNewerMembership({ proposalNumber: { counter: 3, proposerId: 'x' }, value: { epoch: 2, disks: {} } }, null) // true
 */
export const isNewerMembership = (
  committed: CommittedMembership,
  known: CommittedMembership | null,
): boolean => {
  if (known === null) return true;
  if (committed.value.epoch !== known.value.epoch) return committed.value.epoch > known.value.epoch;
  return compareProposalNumbers(committed.proposalNumber, known.proposalNumber) > 0;
};
