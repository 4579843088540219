import type { Map as Table, Set as Group } from 'immutable';
import type { Cell } from '@reedyard/consensus';
import type {
  ReplicaEffect,
  ReplicaVoting,
  Fact,
  Members,
  CommittedMembership,
} from './messages.js';

/** The state of a replica, and what every part of its reducer works with. */

export type Kept = Fact & { readonly seq: number; readonly at: number };

export type Reading = {
  readonly after: string | null;
  readonly state: 'reading' | 'blank' | 'done';
  readonly call: number | null;
  readonly sentAt: number;
  /** The disk that answered, and the epoch that it was told of before it answered. */
  readonly disk: string;
  readonly epoch: number;
  readonly askedEpoch: number;
  /** Earlier calls for the present page, under the same epoch, that may still be answered. */
  readonly earlierCalls: readonly number[];
};

export type ReplicaState = {
  readonly name: string;
  /**
   * The others of the founding set: name and address. Not used where members found themselves from
   * seeds.
   */
  readonly others: Readonly<Record<string, string>>;
  /**
   * What the settings tell where members found themselves from seeds; null where they name every
   * founder.
   */
  readonly seeded: ReplicaVoting | null;
  /** The newest members that it knows to be chosen: it votes by these alone. */
  readonly told: CommittedMembership | null;
  readonly disk: string;
  /** Whether this disk has ever voted; it does so now if the members name it. */
  readonly voting: boolean;
  /** The epoch that it last began to vote in: what it read reaches up to there. */
  readonly votingEpoch: number;
  readonly cells: Table<string, Cell>;
  /**
   * Minute of the replica's running time in which each claim was last written, and the claims of
   * each minute.
   */
  readonly claimsSeen: Table<string, number>;
  readonly claimMinutes: Table<number, Group<string>>;
  /** Keys of the registers as they were when a reader began, by the name of its reading. */
  readonly dumps: Readonly<Record<string, readonly string[]>>;
  readonly facts: readonly Kept[];
  readonly factKeys: Table<string, number>;
  readonly seq: number;
  /** Facts up to this place were dropped for age. */
  readonly floor: number;
  readonly readings: Readonly<Record<string, Reading>>;
  readonly nextCall: number;
  readonly sweptAt: number;
  /** Until when it waits for what agents tell again. */
  readonly recoveringUntil: number;
  /** The last founding after a loss that it has settled for. */
  readonly settledFor: number;
  /** Set while its place is given away and it keeps its data for the successor. */
  readonly retirement: Retirement | null;
  /** When the process was told to stop. */
  readonly stopAskedAt: number | null;
  /** When a caller last knew of a blank replica that could take a place. */
  readonly spareHeardAt: number;
};

/** What a replaced replica knows of the members that go on without it. */
export type Retirement = {
  readonly since: number;
  /** Calls under way, and the member that each went to. */
  readonly calls: Readonly<Record<number, string>>;
  /** When each disk last answered as a voting member. */
  readonly votingAt: Readonly<Record<string, number>>;
};

export type Work = { state: ReplicaState; readonly effects: ReplicaEffect[] };
export const set = (work: Work, change: Partial<ReplicaState>): void => {
  work.state = { ...work.state, ...change };
};

export const membersOf = (state: ReplicaState): CommittedMembership | null => state.told;

/**
 * The place that members give to this disk. Where they found themselves from seeds the disk alone
 * tells, since machines move.
 */
export const placeOf = (state: ReplicaState, members: Members): string | undefined =>
  state.seeded === null
    ? members.disks[state.name] === state.disk
      ? state.name
      : undefined
    : Object.keys(members.disks).find((place) => members.disks[place] === state.disk);

export const isNamed = (state: ReplicaState): boolean =>
  state.told !== null && placeOf(state, state.told.value) !== undefined;
/** Whether its place was given away while it still holds what it voted for. */
export const isRetired = (state: ReplicaState): boolean =>
  state.seeded !== null && state.voting && state.told !== null && !isNamed(state);
/**
 * Whether it may vote: it is named, and began to vote in this very place. Where its place was given
 * away and given back unheard of, others may have chosen meanwhile what it never read: then it
 * reads again first.
 */
export const isMember = (state: ReplicaState): boolean => {
  const members = state.told?.value;
  const place = members === undefined ? undefined : placeOf(state, members);
  if (!state.voting || place === undefined) return false;
  return (members?.joinedIn?.[place] ?? 0) <= state.votingEpoch;
};
