/** What an agent knows of the replicas: how each answered its polls, and the claims seen chosen. */

import type { Map as Table } from 'immutable';
import type { ProposalNumber } from '@reedyard/consensus';
import type { CommittedMembership, JournalCursor, JournalEntry } from '@reedyard/replica';

/** The registers that every agent watches. */
export const watchedRegisters = ['members', 'policy', 'zones', 'plan'] as const;

/** The key of a register that every agent watches. */
export type WatchedRegister = (typeof watchedRegisters)[number];

/** What a replica's last answer to a poll came to. */
export type PollOutcome =
  | 'counted'
  /** Its disk takes no writes: it answers, and votes for nothing. */
  | 'read-only'
  /** It is a member, and may not vote before it has read or heard what the others know. */
  | 'recovering'
  /** Its disk is blank and is not a member. */
  | 'blank'
  /** Its disk is not the member's. */
  | 'not-a-member'
  /** It knows of a newer membership than this node. */
  | 'newer-membership'
  | 'refused';

/** How and when a replica last answered a poll, and with which disk. */
export type LastPollReply = {
  readonly at: number;
  readonly diskId: string;
  readonly outcome: PollOutcome;
};

/**
 * What one counted poll showed: when it was sent, whether journal entries are left out, and the
 * proposals accepted by then.
 */
export type PollSnapshot = {
  readonly sentAt: number;
  readonly hasMoreEntries: boolean;
  readonly acceptedNumbers: Readonly<Record<string, ProposalNumber>>;
  /** Registers whose value the replica copied from another: it has not voted for it. */
  readonly copiedKeys?: readonly string[];
};

/**
 * The newest counted poll, and those before it that may still carry the lease, the newest first.
 */
export type CountedPolls = PollSnapshot & { readonly earlier: readonly PollSnapshot[] };

/** How one replica was last seen. */
export type ReplicaView = {
  readonly address: string;
  readonly cursor: JournalCursor | null;
  readonly pollId: number | null;
  readonly lastPolledAt: number;
  /** When it last answered anything, or was first known. */
  readonly lastMemberReplyAt: number;
  /** How it last answered a poll; null before the first answer. */
  readonly lastPollReply: LastPollReply | null;
  /**
   * When any answer last came from its address, whether or not it counted, or when it was first
   * known.
   */
  readonly lastReplyAt: number;
  /** The counted polls; null where none counts any more. */
  readonly countedPolls: CountedPolls | null;
  /** The members that it named when it found ours out of date. */
  readonly newerMembership: CommittedMembership | null;
  /** Polls that were sent since it last answered one. */
  readonly unansweredPolls: number;
  /** Whether it last said that it was asked to stop. */
  readonly isStopping: boolean;
  /** How much of what this node knows was told again to this replica, in its present recovering. */
  readonly restoreProgress: {
    readonly epoch: number;
    readonly chosen: ChosenValues;
    readonly count: number;
    readonly sentAt: number;
  } | null;
};

/** What this node knows to have been chosen, as it was when a replica first asked. */
export type ChosenValues = {
  readonly registers: readonly (readonly [
    string,
    { readonly proposalNumber: ProposalNumber; readonly value: unknown },
  ])[];
  readonly entries: readonly JournalEntry[];
};

/** Claims that this node saw chosen, by key, with the proposals they were chosen in. */
export type Claims = Table<
  string,
  { readonly proposalNumber: ProposalNumber; readonly value: unknown }
>;

/** A replica that has not been asked yet. */
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
