/** The state of a replica, and the questions that every part of its reducer asks of it. */
import type { Set as Group, Map as Table } from 'immutable';
import type { RegisterState } from '@reedyard/consensus';
import type { ReplicaEffect } from './events.js';
import type { BootstrapSettings, CommittedMembership, Membership } from './membership.js';
import type { JournalEntry } from './messages.js';

/** A journal entry as it is kept. */
export type RetainedEntry = JournalEntry & {
  readonly sequence: number;
  /** ms of the replica's clock; of an entry that was read from disk, when the process started. */
  readonly appendedAt: number;
};

/** How far another replica was read. */
export type PeerRead = {
  /** Where its next page begins; null for its first one. */
  readonly nextPage: string | null;
  /** `blank`: it has nothing to read. `done`: it was read to its end. */
  readonly state: 'reading' | 'blank' | 'done';
  /** The request that is under way. */
  readonly requestId: number | null;
  readonly sentAt: number;
  /** The disk that answered. */
  readonly diskId: string;
  /** The epoch that the peer knew of when it was read to its end. */
  readonly epoch: number;
  /** The epoch that the present requests tell the peer. */
  readonly requestedEpoch: number;
  /** Earlier requests for the same page, under the same epoch, that may still be answered. */
  readonly earlierRequestIds: readonly number[];
};

/** What a replaced replica knows of the members that go on without it. */
export type Retirement = {
  readonly startedAt: number;
  /** Polls under way: the slot that each went to, by request. */
  readonly pendingPolls: Readonly<Record<number, string>>;
  /** When each disk last answered as a voting member. */
  readonly lastVotingAt: Readonly<Record<string, number>>;
};

/** The state of a replica. All times are ms of its own monotonic clock. */
export type ReplicaState = {
  readonly name: string;
  /** The other founders: name and address. Empty where members find themselves from seeds. */
  readonly otherFounders: Readonly<Record<string, string>>;
  /** Set where members find themselves from seeds; null where the settings name every founder. */
  readonly bootstrap: BootstrapSettings | null;
  /** The newest membership that is known to be committed: the replica votes by this alone. */
  readonly committedMembership: CommittedMembership | null;
  /** Changes when the disk is wiped or erased, so that votes of two incarnations never mix. */
  readonly diskId: string;
  /** Whether this disk has ever voted; it does so now if the membership names it. */
  readonly hasBegunVoting: boolean;
  /** The epoch that it last began to vote in: what it read reaches up to there. */
  readonly votingEpoch: number;
  readonly registers: Table<string, RegisterState>;
  /** The minute in which each claim was last written, and the claims of each minute. */
  readonly claimMinuteByKey: Table<string, number>;
  readonly claimKeysByMinute: Table<number, Group<string>>;
  /** Keys of the registers as they were when a reader began, by the name of its reading. */
  readonly openPageReads: Readonly<Record<string, readonly string[]>>;
  /** The journal, oldest first. */
  readonly entries: readonly RetainedEntry[];
  readonly sequenceByEntryKey: Table<string, number>;
  readonly lastSequence: number;
  /** Entries up to this sequence were let go. */
  readonly truncatedUpTo: number;
  /** How far others were read, by the name of the reading. */
  readonly peerReads: Readonly<Record<string, PeerRead>>;
  readonly nextRequestId: number;
  readonly lastExpiryAt: number;
  /** Until when it waits for agents to restore what they know. */
  readonly recoveringUntil: number;
  /** The newest founding after a loss that it has waited for a restore after. */
  readonly lastRefoundedEpoch: number;
  /** Set while its slot is given away and it keeps its data for the successor. */
  readonly retirement: Retirement | null;
  /** When the process was asked to stop. */
  readonly stopRequestedAt: number | null;
  /** When a request last said that a blank replica could take a slot. */
  readonly spareSeenAt: number;
};

/** What one step of the reducer works with; the states themselves never change. */
export type Transition = { state: ReplicaState; readonly effects: ReplicaEffect[] };

/** Replaces some fields of the state. */
export const update = (transition: Transition, change: Partial<ReplicaState>): void => {
  transition.state = { ...transition.state, ...change };
};

/**
 * The slot that a membership gives to this disk. Where members find themselves from seeds the disk
 * alone tells, since machines move; else the replica's name is its slot.
 */
export const slotOf = (state: ReplicaState, membership: Membership): string | undefined => {
  const { name, diskId, bootstrap } = state;
  const { disks } = membership;
  if (bootstrap === null) return disks[name] === diskId ? name : undefined;
  return Object.keys(disks).find((slot) => disks[slot] === diskId);
};

/** Whether the committed membership names this disk. */
export const isInMembership = (state: ReplicaState): boolean =>
  state.committedMembership !== null &&
  slotOf(state, state.committedMembership.value) !== undefined;

/** Whether its slot was given away while it still holds what it voted for. */
export const isRetired = (state: ReplicaState): boolean =>
  state.bootstrap !== null &&
  state.hasBegunVoting &&
  state.committedMembership !== null &&
  !isInMembership(state);

/**
 * Whether it may vote: the membership names it, and it began to vote in this very slot. Where its
 * slot was given away and back without its hearing of it, values may have been chosen meanwhile
 * that it never read: then it reads again first.
 */
export const isVotingMember = (state: ReplicaState): boolean => {
  const membership = state.committedMembership?.value;
  const slot = membership === undefined ? undefined : slotOf(state, membership);
  if (!state.hasBegunVoting || slot === undefined) return false;
  return (membership?.joinedIn?.[slot] ?? 0) <= state.votingEpoch;
};
