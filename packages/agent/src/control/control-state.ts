/** What an agent knows about the replicas: their replies to its polls, and the claims it saw chosen. */

import type { Map as Table } from 'immutable';
import type { ProposalNumber } from '@reedyard/consensus';
import type { CommittedMembership, JournalCursor, JournalEntry } from '@reedyard/replica';

/** Keys of the registers that every agent watches. */
export const watchedRegisters = ['members', 'policy', 'zones', 'plan'] as const;

/** The key of a register that every agent watches. */
export type WatchedRegister = (typeof watchedRegisters)[number];

/** The outcome of a replica's last reply to a poll. */
export type PollOutcome =
  /** The reply counts towards the lease. */
  | 'counted'
  /** The replica's disk accepts no writes: the replica replies to polls, but doesn't vote. */
  | 'read-only'
  /** The replica is a member, but may not vote until it has recovered the state of the others. */
  | 'recovering'
  /** The replica's disk is blank and is not a member. */
  | 'blank'
  /** The replica's disk is not the member's disk. */
  | 'not-a-member'
  /** The replica knows of a newer membership than this node. */
  | 'newer-membership'
  | 'refused';

/** The outcome, time and disk id of a replica's last reply to a poll. */
export type LastPollReply = {
  readonly at: number;
  readonly diskId: string;
  readonly outcome: PollOutcome;
};

/**
 * The content of one counted poll: when the poll was sent, whether the replica has more journal
 * entries, and the proposals that the replica had accepted.
 */
export type PollSnapshot = {
  readonly sentAt: number;
  readonly hasMoreEntries: boolean;
  readonly acceptedNumbers: Readonly<Record<string, ProposalNumber>>;
  /** Registers whose value the replica copied from another replica, without having voted for it. */
  readonly copiedKeys?: readonly string[];
};

/**
 * The newest counted poll, and the earlier polls that may still support the lease, newest first.
 */
export type CountedPolls = PollSnapshot & { readonly earlier: readonly PollSnapshot[] };

/** What this node knows about one replica. */
export type ReplicaView = {
  readonly address: string;
  readonly cursor: JournalCursor | null;
  readonly pollId: number | null;
  readonly lastPolledAt: number;
  /** When a member's or a blank disk last replied to a poll, or when the replica was first known. */
  readonly lastMemberReplyAt: number;
  /** The last reply to a poll; null before the first reply. */
  readonly lastPollReply: LastPollReply | null;
  /**
   * When any reply was last received from the replica's address, whether or not the reply counted,
   * or when the replica was first known.
   */
  readonly lastReplyAt: number;
  /** The counted polls; null before the first counted poll and after a reply that doesn't count. */
  readonly countedPolls: CountedPolls | null;
  /** The newer membership that the replica returned to a poll with an outdated membership. */
  readonly newerMembership: CommittedMembership | null;
  /** The number of polls sent since the replica last replied to a poll. */
  readonly unansweredPolls: number;
  /** Whether the replica's last counted reply reported that it is stopping. */
  readonly isStopping: boolean;
  /** How much of the chosen state this node has sent to the replica in its current recovery. */
  readonly restoreProgress: {
    readonly epoch: number;
    readonly chosen: ChosenValues;
    readonly count: number;
    readonly sentAt: number;
  } | null;
};

/** The values that this node knew to be chosen when a replica's recovery was first seen. */
export type ChosenValues = {
  readonly registers: readonly (readonly [
    string,
    { readonly proposalNumber: ProposalNumber; readonly value: unknown },
  ])[];
  readonly entries: readonly JournalEntry[];
};

/** Claims that this node saw chosen, by key, with the proposals that chose them. */
export type Claims = Table<
  string,
  { readonly proposalNumber: ProposalNumber; readonly value: unknown }
>;

/** The view of a replica that has not been polled yet. */
export const newReplicaView = (address: string, now: number): ReplicaView => ({
  address,
  cursor: null,
  pollId: null,
  lastPolledAt: -Infinity,
  lastMemberReplyAt: now,
  lastPollReply: null,
  lastReplyAt: now,
  countedPolls: null,
  newerMembership: null,
  unansweredPolls: 0,
  isStopping: false,
  restoreProgress: null,
});
