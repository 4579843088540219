/** The state of a replica, and the predicates shared by all parts of its reducer. */
import type { Set as ImmutableSet, Map as ImmutableMap } from 'immutable';
import type { RegisterState } from '@reedyard/consensus';
import type { ReplicaEffect } from './events.js';
import type { BootstrapSettings, CommittedMembership, Membership } from './membership.js';
import type { JournalEntry } from './messages.js';

/** A journal entry as it is kept in the state. */
export type RetainedEntry = JournalEntry & {
  readonly sequence: number;
  /** Time on the replica's clock in milliseconds; the process start for an entry read from disk. */
  readonly appendedAt: number;
};

/** The progress of reading another replica. */
export type PeerRead = {
  /** The position of the next page; null for the first page. */
  readonly nextPage: string | null;
  /** `blank`: the peer has no data to read. `done`: it was read to its end. */
  readonly state: 'reading' | 'blank' | 'done';
  /** The latest request in flight; null if there is none. */
  readonly requestId: number | null;
  readonly sentAt: number;
  /** The disk that replied. */
  readonly diskId: string;
  /** The epoch that the peer knew while it was read to its end. */
  readonly epoch: number;
  /** The epoch that the current requests carry to the peer. */
  readonly requestedEpoch: number;
  /** Earlier requests for the same page and epoch that may still get a reply. */
  readonly earlierRequestIds: readonly number[];
};

/** What a retired replica knows about the members that replaced it. */
export type Retirement = {
  readonly startedAt: number;
  /** The slot polled by each request in flight, by request id. */
  readonly pendingPolls: Readonly<Record<number, string>>;
  /** The last time when each disk replied as a voting member, by disk id. */
  readonly lastVotingAt: Readonly<Record<string, number>>;
};

/** The state of a replica. All times are milliseconds of its own monotonic clock. */
export type ReplicaState = {
  readonly name: string;
  /** Addresses of the other founders, by name; empty if the cluster is founded from seeds. */
  readonly otherFounders: Readonly<Record<string, string>>;
  /** Set if the cluster is founded from seeds; null if the settings name every founder. */
  readonly bootstrap: BootstrapSettings | null;
  /** The newest membership that is known to be committed; it alone decides whether to vote. */
  readonly committedMembership: CommittedMembership | null;
  /** Changes when the disk is wiped or erased, so that votes of two incarnations never mix. */
  readonly diskId: string;
  /** Whether this disk has begun to vote; it may vote now only if the membership names it. */
  readonly hasBegunVoting: boolean;
  /** The epoch in which it last began to vote; it has read everything chosen before that epoch. */
  readonly votingEpoch: number;
  readonly registers: ImmutableMap<string, RegisterState>;
  /** The minute in which each claim was last written, by key. */
  readonly claimMinuteByKey: ImmutableMap<string, number>;
  /** The claims last written in each minute. */
  readonly claimKeysByMinute: ImmutableMap<number, ImmutableSet<string>>;
  /**
   * The keys of the registers at the start of each read by another replica, by name of the read.
   */
  readonly openPageReads: Readonly<Record<string, readonly string[]>>;
  /** The journal, oldest first. */
  readonly entries: readonly RetainedEntry[];
  readonly sequenceByEntryKey: ImmutableMap<string, number>;
  readonly lastSequence: number;
  /** The sequence up to which expired entries were removed. */
  readonly truncatedUpTo: number;
  /** The progress of reading other replicas, by name of the read. */
  readonly peerReads: Readonly<Record<string, PeerRead>>;
  readonly nextRequestId: number;
  readonly lastExpiryAt: number;
  /** The end of the wait for agents to restore the values that they know. */
  readonly recoveringUntil: number;
  /** The epoch of the latest founding after a loss for which a restore was awaited. */
  readonly lastRefoundedEpoch: number;
  /** Set while the disk is replaced but keeps its data for the successor. */
  readonly retirement: Retirement | null;
  /** The time when the process was requested to stop; null before that. */
  readonly stopRequestedAt: number | null;
  /** The last time when a request reported a blank replica that could take over a slot. */
  readonly spareSeenAt: number;
};

/** The current state and the effects so far within a step of the reducer. States are immutable. */
export type Transition = { state: ReplicaState; readonly effects: ReplicaEffect[] };

/** Replaces the given fields of the state. */
export const update = (transition: Transition, change: Partial<ReplicaState>): void => {
  transition.state = { ...transition.state, ...change };
};

/**
 * Returns the slot that a membership assigns to this disk. In a cluster founded from seeds the slot
 * is found by the disk id alone, since a slot moves between machines; otherwise the replica's name
 * is its slot.
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

/** Whether the replica's slot was assigned to another disk while it still has its data. */
export const isRetired = (state: ReplicaState): boolean =>
  state.bootstrap !== null &&
  state.hasBegunVoting &&
  state.committedMembership !== null &&
  !isInMembership(state);

/**
 * Whether the replica may vote: the membership names its disk, and it has begun to vote since its
 * slot was assigned. If the slot was assigned to another disk and back without the replica
 * noticing, values may have been chosen meanwhile that it never read, so it must read the others
 * again first.
 */
export const isVotingMember = (state: ReplicaState): boolean => {
  const membership = state.committedMembership?.value;
  const slot = membership === undefined ? undefined : slotOf(state, membership);
  if (!state.hasBegunVoting || slot === undefined) return false;
  return (membership?.joinedIn?.[slot] ?? 0) <= state.votingEpoch;
};
