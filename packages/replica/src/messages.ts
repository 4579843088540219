import {
  compareProposalNumbers,
  type ProposalNumber,
  type RegisterState,
  type Vote,
} from '@reedyard/consensus';

/** What a replica is asked, answers, writes to disk and does: the types of its messages. */

/** One fact of the board: written once under its key, never changed. */
export type JournalEntry = { readonly key: string; readonly value: unknown };

/** A place on one replica's board, in one life of its disk. */
export type JournalCursor = { readonly diskId: string; readonly sequence: number };

/** Who votes: for each place, the disk that holds it. One place changes at a time. */
export type Membership = {
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
export type CommittedMembership = {
  readonly proposalNumber: ProposalNumber;
  readonly value: Membership;
};
export const membershipKey = 'members';

/**
 * Whether members known to be chosen are newer than others: epochs are chosen one after the other,
 * so the epoch counts first. The same epoch may have been written again under a higher ballot, even
 * after the next was chosen.
 *
 * @example
 * newerMembers({ proposalNumber: [3, 'x'], value: { epoch: 2, disks: {} } }, { proposalNumber: [9, 'y'], value: { epoch: 1, disks: {} } }) // true
 */
export const isNewerMembership = (
  told: CommittedMembership,
  known: CommittedMembership | null,
): boolean =>
  known === null ||
  told.value.epoch > known.value.epoch ||
  (told.value.epoch === known.value.epoch &&
    compareProposalNumbers(told.proposalNumber, known.proposalNumber) > 0);

/** Where members found themselves from seeds: what one replica is told by its settings. */
export type BootstrapSettings = {
  readonly address: string;
  /** Replicas that found the state among themselves. */ readonly seeds: readonly string[];
  /** True only when the whole system starts for the very first time. */
  readonly isFirstStart: boolean;
};

/** A call, with the members that the caller counts by. */
export type ReplicaRequest = {
  readonly membership: CommittedMembership | null;
  readonly operation: ReplicaOperation;
  /** The caller knows of a live blank replica that could take a member's place. */
  readonly hasLiveSpare?: true;
};

/** What may be asked of a replica. */
export type ReplicaOperation =
  | { readonly kind: 'prepare'; readonly key: string; readonly proposalNumber: ProposalNumber }
  | {
      readonly kind: 'accept';
      readonly key: string;
      readonly proposalNumber: ProposalNumber;
      readonly value: unknown;
      readonly diskId: string;
    }
  | { readonly kind: 'append-entries'; readonly entries: readonly JournalEntry[] }
  | {
      readonly kind: 'poll';
      readonly cursor: JournalCursor | null;
      readonly keys: readonly string[];
    }
  | { readonly kind: 'read-register'; readonly key: string }
  | { readonly kind: 'read-page'; readonly after: string | null }
  /** What an agent knows to have been chosen, told again after most disks were lost. */
  | {
      readonly kind: 'restore';
      readonly registers: readonly (readonly [string, NonNullable<RegisterState['accepted']>])[];
      readonly entries: readonly JournalEntry[];
    };

/** What a replica answers. */
export type ReplicaReply =
  /** It may not vote; a fresh disk, which never did, may be given a place. */
  | {
      readonly kind: 'not-a-member';
      readonly diskId: string;
      readonly isBlank: boolean;
      /** Whether it has heard of members. */ readonly knowsMembership: boolean;
    }
  /** The caller counts by members that are no longer in force. */
  | {
      readonly kind: 'newer-membership';
      readonly diskId: string;
      readonly membership: CommittedMembership | null;
    }
  | { readonly kind: 'vote'; readonly diskId: string; readonly vote: Vote }
  /** Its disk takes no writes, or none in time: it counts as lost until it does. */
  | { readonly kind: 'unavailable'; readonly diskId: string }
  /** It keeps as many claims as it may. */
  | { readonly kind: 'too-many-claims'; readonly diskId: string }
  | { readonly kind: 'entries-appended'; readonly diskId: string }
  /**
   * It founded the state anew and wants to be told again what is known; until then it takes part in
   * nothing.
   */
  | { readonly kind: 'recovering'; readonly diskId: string; readonly epoch: number }
  | { readonly kind: 'restored'; readonly diskId: string }
  | {
      readonly kind: 'polled';
      readonly diskId: string;
      readonly sequence: number;
      readonly isReset: boolean;
      readonly hasMore: boolean;
      readonly entries: readonly JournalEntry[];
      readonly acceptedNumbers: Readonly<Record<string, ProposalNumber>>;
      /**
       * Registers whose value it copied from another replica: they tell what to learn, but count as
       * no vote.
       */
      readonly copiedKeys?: readonly string[];
      /**
       * Its disk takes no writes: what it shows is sound, but it votes for nothing and counts as
       * lost.
       */
      readonly isReadOnly?: true;
      /** It was told to stop, and would rather give its place away first. */
      readonly isStopping?: true;
    }
  | {
      readonly kind: 'register-read';
      readonly diskId: string;
      readonly accepted: RegisterState['accepted'];
    }
  | {
      readonly kind: 'page-read';
      readonly diskId: string;
      /** The members that it knows to be chosen. */ readonly membership: CommittedMembership | null;
      readonly registers: readonly (readonly [string, RegisterState])[];
      readonly entries: readonly JournalEntry[];
      readonly nextPage: string | null;
    };

/** What goes to disk. Replaying a record twice changes nothing. */
export type ReplicaRecord =
  | { readonly kind: 'disk-named'; readonly diskId: string }
  /** It votes from now on, in the place that the membership of this epoch gives it. */
  | { readonly kind: 'voting-begun'; readonly epoch?: number }
  /**
   * Its place was given to another: all that was on this disk is gone, and it goes on under a new
   * name.
   */
  | { readonly kind: 'disk-erased'; readonly diskId: string }
  /** Members that it was told are chosen. */
  | { readonly kind: 'membership-committed'; readonly membership: CommittedMembership }
  /** The last place given on the board; kept apart, since the facts themselves age away. */
  | { readonly kind: 'sequence-reached'; readonly sequence: number }
  | { readonly kind: 'register-written'; readonly key: string; readonly register: RegisterState }
  | { readonly kind: 'entry-appended'; readonly sequence: number; readonly entry: JournalEntry };

export type ReplicaEvent =
  | {
      readonly kind: 'request-received';
      readonly requestId: number;
      readonly request: ReplicaRequest;
      readonly now: number;
    }
  | {
      readonly kind: 'reply-received';
      readonly requestId: number;
      readonly reply: ReplicaReply;
      readonly now: number;
    }
  | { readonly kind: 'request-failed'; readonly requestId: number; readonly now: number }
  | { readonly kind: 'tick'; readonly now: number }
  /** The process was told to stop. */
  | { readonly kind: 'stop-requested'; readonly now: number };

export type ReplicaEffect =
  /** To disk, in order. */
  | { readonly kind: 'append-records'; readonly records: readonly ReplicaRecord[] }
  /** Answer a call, only after all that was appended before is synced. */
  | { readonly kind: 'send-reply'; readonly requestId: number; readonly reply: ReplicaReply }
  | {
      readonly kind: 'send-request';
      readonly requestId: number;
      readonly to: string;
      readonly request: ReplicaRequest;
    }
  /** It was told to stop, and nothing waits for it any more. */
  | { readonly kind: 'exit' }
  | {
      readonly kind: 'log';
      readonly event: string;
      readonly fields: Readonly<Record<string, string | number | boolean>>;
    };
