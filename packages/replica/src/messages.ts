import { Ballots, type Ballot, type Cell, type Vote } from '@reedyard/consensus';

/** What a replica is asked, answers, writes to disk and does: the types of its messages. */

/** One fact of the board: written once under its key, never changed. */
export type Fact = { readonly key: string; readonly value: unknown };

/** A place on one replica's board, in one life of its disk. */
export type Cursor = { readonly disk: string; readonly seq: number };

/** Who votes: for each place, the disk that holds it. One place changes at a time. */
export type Members = {
  readonly epoch: number;
  readonly disks: Readonly<Record<string, string>>;
  /**
   * The epoch in which each place was given to its disk; left out for the disks of the founding.
   */
  readonly joinedIn?: Readonly<Record<string, number>>;
  /** The last epoch that was founded after a loss; left out where none was. */
  readonly refounded?: number;
  /** Where each place's replica is reached; left out where the settings name every founder. */
  readonly addresses?: Readonly<Record<string, string>>;
  /**
   * For a member that took over from another machine: the disk whose place it got, and where that
   * was reached.
   */
  readonly predecessors?: Readonly<Record<string, Predecessor>>;
};
/**
 * The disk that gave a member its place. Once told of that, its state is frozen, and a copy of it
 * is enough to vote.
 */
export type Predecessor = {
  readonly disk: string;
  readonly address: string;
  /** The epoch in which its place had been given to it; left out for the disks of the founding. */
  readonly joinedIn?: number;
};
/** Members that are known to be chosen. */
export type CommittedMembership = { readonly ballot: Ballot; readonly value: Members };
export const membersKey = 'members';

/**
 * Whether members known to be chosen are newer than others: epochs are chosen one after the other,
 * so the epoch counts first. The same epoch may have been written again under a higher ballot, even
 * after the next was chosen.
 *
 * @example
 * newerMembers({ ballot: [3, 'x'], value: { epoch: 2, disks: {} } }, { ballot: [9, 'y'], value: { epoch: 1, disks: {} } }) // true
 */
export const newerMembers = (
  told: CommittedMembership,
  known: CommittedMembership | null,
): boolean =>
  known === null ||
  told.value.epoch > known.value.epoch ||
  (told.value.epoch === known.value.epoch && Ballots.compare(told.ballot, known.ballot) > 0);

/** Where members found themselves from seeds: what one replica is told by its settings. */
export type ReplicaVoting = {
  readonly address: string;
  /** Replicas that found the state among themselves. */ readonly seeds: readonly string[];
  /** True only when the whole system starts for the very first time. */
  readonly firstStart: boolean;
};

/** A call, with the members that the caller counts by. */
export type ReplicaAsk = {
  readonly members: CommittedMembership | null;
  readonly call: ReplicaCall;
  /** The caller knows of a live blank replica that could take a member's place. */
  readonly spare?: true;
};

/** What may be asked of a replica. */
export type ReplicaCall =
  | { readonly kind: 'prepare'; readonly key: string; readonly ballot: Ballot }
  | {
      readonly kind: 'accept';
      readonly key: string;
      readonly ballot: Ballot;
      readonly value: unknown;
      readonly disk: string;
    }
  | { readonly kind: 'post'; readonly facts: readonly Fact[] }
  | { readonly kind: 'pull'; readonly cursor: Cursor | null; readonly keys: readonly string[] }
  | { readonly kind: 'fetch'; readonly key: string }
  | { readonly kind: 'dump'; readonly after: string | null }
  /** What an agent knows to have been chosen, told again after most disks were lost. */
  | {
      readonly kind: 'restore';
      readonly cells: readonly (readonly [string, NonNullable<Cell['accepted']>])[];
      readonly facts: readonly Fact[];
    };

/** What a replica answers. */
export type ReplicaReply =
  /** It may not vote; a fresh disk, which never did, may be given a place. */
  | {
      readonly kind: 'away';
      readonly disk: string;
      readonly fresh: boolean;
      /** Whether it has heard of members. */ readonly informed: boolean;
    }
  /** The caller counts by members that are no longer in force. */
  | { readonly kind: 'stale'; readonly disk: string; readonly members: CommittedMembership | null }
  | { readonly kind: 'vote'; readonly disk: string; readonly vote: Vote }
  /** Its disk takes no writes, or none in time: it counts as lost until it does. */
  | { readonly kind: 'unavailable'; readonly disk: string }
  /** It keeps as many claims as it may. */
  | { readonly kind: 'full'; readonly disk: string }
  | { readonly kind: 'posted'; readonly disk: string }
  /**
   * It founded the state anew and wants to be told again what is known; until then it takes part in
   * nothing.
   */
  | { readonly kind: 'recovering'; readonly disk: string; readonly epoch: number }
  | { readonly kind: 'restored'; readonly disk: string }
  | {
      readonly kind: 'pulled';
      readonly disk: string;
      readonly seq: number;
      readonly reset: boolean;
      readonly more: boolean;
      readonly facts: readonly Fact[];
      readonly ballots: Readonly<Record<string, Ballot>>;
      /**
       * Registers whose value it copied from another replica: they tell what to learn, but count as
       * no vote.
       */
      readonly copied?: readonly string[];
      /**
       * Its disk takes no writes: what it shows is sound, but it votes for nothing and counts as
       * lost.
       */
      readonly readOnly?: true;
      /** It was told to stop, and would rather give its place away first. */
      readonly leaving?: true;
    }
  | { readonly kind: 'fetched'; readonly disk: string; readonly accepted: Cell['accepted'] }
  | {
      readonly kind: 'dumped';
      readonly disk: string;
      /** The members that it knows to be chosen. */ readonly members: CommittedMembership | null;
      readonly cells: readonly (readonly [string, Cell])[];
      readonly facts: readonly Fact[];
      readonly next: string | null;
    };

/** What goes to disk. Replaying a record twice changes nothing. */
export type ReplicaRecord =
  | { readonly kind: 'disk'; readonly disk: string }
  /** It votes from now on, in the place that the membership of this epoch gives it. */
  | { readonly kind: 'voting'; readonly epoch?: number }
  /**
   * Its place was given to another: all that was on this disk is gone, and it goes on under a new
   * name.
   */
  | { readonly kind: 'blanked'; readonly disk: string }
  /** Members that it was told are chosen. */
  | { readonly kind: 'told'; readonly members: CommittedMembership }
  /** The last place given on the board; kept apart, since the facts themselves age away. */
  | { readonly kind: 'place'; readonly seq: number }
  | { readonly kind: 'cell'; readonly key: string; readonly cell: Cell }
  | { readonly kind: 'fact'; readonly seq: number; readonly fact: Fact };

export type ReplicaEvent =
  | { readonly kind: 'asked'; readonly id: number; readonly body: ReplicaAsk; readonly now: number }
  | {
      readonly kind: 'returned';
      readonly id: number;
      readonly body: ReplicaReply;
      readonly now: number;
    }
  | { readonly kind: 'lost'; readonly id: number; readonly now: number }
  | { readonly kind: 'beat'; readonly now: number }
  /** The process was told to stop. */
  | { readonly kind: 'stop'; readonly now: number };

export type ReplicaEffect =
  /** To disk, in order. */
  | { readonly kind: 'append'; readonly records: readonly ReplicaRecord[] }
  /** Answer a call, only after all that was appended before is synced. */
  | { readonly kind: 'tell'; readonly id: number; readonly body: ReplicaReply }
  | { readonly kind: 'call'; readonly id: number; readonly to: string; readonly body: ReplicaAsk }
  /** It was told to stop, and nothing waits for it any more. */
  | { readonly kind: 'end' }
  | {
      readonly kind: 'log';
      readonly event: string;
      readonly fields: Readonly<Record<string, string | number | boolean>>;
    };
