import type { Map as Table, Set as Group } from 'immutable';
import type { RegisterState } from '@reedyard/consensus';
import type {
  ReplicaEffect,
  BootstrapSettings,
  JournalEntry,
  Membership,
  CommittedMembership,
} from './messages.js';

/** The state of a replica, and what every part of its reducer works with. */

export type RetainedEntry = JournalEntry & {
  readonly sequence: number;
  readonly appendedAt: number;
};

export type PeerRead = {
  readonly nextPage: string | null;
  readonly state: 'reading' | 'blank' | 'done';
  readonly requestId: number | null;
  readonly sentAt: number;
  /** The disk that answered, and the epoch that it was told of before it answered. */
  readonly diskId: string;
  readonly epoch: number;
  readonly requestedEpoch: number;
  /** Earlier calls for the present page, under the same epoch, that may still be answered. */
  readonly earlierRequestIds: readonly number[];
};

export type ReplicaState = {
  readonly name: string;
  /**
   * The others of the founding set: name and address. Not used where members found themselves from
   * seeds.
   */
  readonly otherFounders: Readonly<Record<string, string>>;
  /**
   * What the settings tell where members found themselves from seeds; null where they name every
   * founder.
   */
  readonly bootstrap: BootstrapSettings | null;
  /** The newest members that it knows to be chosen: it votes by these alone. */
  readonly committedMembership: CommittedMembership | null;
  readonly diskId: string;
  /** Whether this disk has ever voted; it does so now if the members name it. */
  readonly isVoting: boolean;
  /** The epoch that it last began to vote in: what it read reaches up to there. */
  readonly votingEpoch: number;
  readonly registers: Table<string, RegisterState>;
  /**
   * Minute of the replica's running time in which each claim was last written, and the claims of
   * each minute.
   */
  readonly claimMinuteByKey: Table<string, number>;
  readonly claimKeysByMinute: Table<number, Group<string>>;
  /** Keys of the registers as they were when a reader began, by the name of its reading. */
  readonly openPageReads: Readonly<Record<string, readonly string[]>>;
  readonly entries: readonly RetainedEntry[];
  readonly sequenceByEntryKey: Table<string, number>;
  readonly lastSequence: number;
  /** Facts up to this place were dropped for age. */
  readonly truncatedUpTo: number;
  readonly peerReads: Readonly<Record<string, PeerRead>>;
  readonly nextRequestId: number;
  readonly lastExpiryAt: number;
  /** Until when it waits for what agents tell again. */
  readonly recoveringUntil: number;
  /** The last founding after a loss that it has settled for. */
  readonly lastRefoundedEpoch: number;
  /** Set while its place is given away and it keeps its data for the successor. */
  readonly retirement: Retirement | null;
  /** When the process was told to stop. */
  readonly stopRequestedAt: number | null;
  /** When a caller last knew of a blank replica that could take a place. */
  readonly spareSeenAt: number;
};

/** What a replaced replica knows of the members that go on without it. */
export type Retirement = {
  readonly startedAt: number;
  /** Calls under way, and the member that each went to. */
  readonly pendingPolls: Readonly<Record<number, string>>;
  /** When each disk last answered as a voting member. */
  readonly lastVotingAt: Readonly<Record<string, number>>;
};

export type Transition = { state: ReplicaState; readonly effects: ReplicaEffect[] };
export const update = (transition: Transition, change: Partial<ReplicaState>): void => {
  transition.state = { ...transition.state, ...change };
};

export const membersOf = (state: ReplicaState): CommittedMembership | null =>
  state.committedMembership;

/**
 * The place that members give to this disk. Where they found themselves from seeds the disk alone
 * tells, since machines move.
 */
export const slotOf = (state: ReplicaState, members: Membership): string | undefined =>
  state.bootstrap === null
    ? members.disks[state.name] === state.diskId
      ? state.name
      : undefined
    : Object.keys(members.disks).find((slot) => members.disks[slot] === state.diskId);

export const isInMembership = (state: ReplicaState): boolean =>
  state.committedMembership !== null &&
  slotOf(state, state.committedMembership.value) !== undefined;
/** Whether its place was given away while it still holds what it voted for. */
export const isRetired = (state: ReplicaState): boolean =>
  state.bootstrap !== null &&
  state.isVoting &&
  state.committedMembership !== null &&
  !isInMembership(state);
/**
 * Whether it may vote: it is named, and began to vote in this very place. Where its place was given
 * away and given back unheard of, others may have chosen meanwhile what it never read: then it
 * reads again first.
 */
export const isVotingMember = (state: ReplicaState): boolean => {
  const members = state.committedMembership?.value;
  const slot = members === undefined ? undefined : slotOf(state, members);
  if (!state.isVoting || slot === undefined) return false;
  return (members?.joinedIn?.[slot] ?? 0) <= state.votingEpoch;
};
