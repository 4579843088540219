/**
 * The membership: the disks that vote. It is the value of a register, and each change of a single
 * slot is chosen by the previous members. Its fields are stored and sent under these names.
 */
import { compareProposalNumbers, type ProposalNumber } from '@reedyard/consensus';

/** The key of the register whose value is the membership. */
export const membershipKey = 'members';

/** The disks that vote, by slot. */
export type Membership = {
  /** Grows by one with each change. */
  readonly epoch: number;
  /** Ids of the members' disks, by slot. */
  readonly disks: Readonly<Record<string, string>>;
  /** The epoch in which each slot was assigned to its disk; absent for the founders' disks. */
  readonly joinedIn?: Readonly<Record<string, number>>;
  /** The latest epoch that was founded anew after a loss of most disks; absent if there is none. */
  readonly refounded?: number;
  /** Addresses of the members' replicas, by slot; absent if the settings name every founder. */
  readonly addresses?: Readonly<Record<string, string>>;
  /** For each member that replaced a disk on another machine, by slot: the replaced disk. */
  readonly predecessors?: Readonly<Record<string, Predecessor>>;
};

/**
 * A disk that a member replaced. Once it knows of its replacement its state no longer changes, so
 * that a copy of this state is enough for the member to vote.
 */
export type Predecessor = {
  readonly disk: string;
  readonly address: string;
  /** The epoch in which its slot had been assigned to it; absent for the founders' disks. */
  readonly joinedIn?: number;
};

/** A membership that is known to be chosen, and the number of the proposal that chose it. */
export type CommittedMembership = {
  readonly proposalNumber: ProposalNumber;
  readonly value: Membership;
};

/** Settings of a replica whose cluster is founded from seeds. */
export type BootstrapSettings = {
  /** This replica's own address. */
  readonly address: string;
  /** Addresses of the replicas that found the cluster together. */
  readonly seeds: readonly string[];
  /** True only when the entire system starts for the very first time. */
  readonly isFirstStart: boolean;
};

/**
 * Whether a committed membership is newer than the known one. Epochs are chosen one after the
 * other, so the epoch is compared first. The same epoch may have been written again under a higher
 * proposal number, even after the next epoch was chosen.
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
