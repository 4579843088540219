/** Requests to replicas, and their replies. `protocol/codec.ts` maps them to their wire format. */
import type { AcceptedValue, ProposalNumber, RegisterState, Vote } from '@reedyard/consensus';
import type { CommittedMembership } from './membership.js';

/** An entry of the journal, which is written once under its key and never changes. */
export type JournalEntry = { readonly key: string; readonly value: unknown };

/** A position in one replica's journal, in one incarnation of its disk. */
export type JournalCursor = { readonly diskId: string; readonly sequence: number };

/** A request, with the membership by which its sender counts votes. */
export type ReplicaRequest = {
  readonly membership: CommittedMembership | null;
  readonly operation: ReplicaOperation;
  /** Set if the sender knows of a live blank replica that could take over a member's slot. */
  readonly hasLiveSpare?: true;
};

/** The operation of a request. Only a voting member carries it out, except for `read-page`. */
export type ReplicaOperation =
  /** First phase of a proposal. */
  | { readonly kind: 'prepare'; readonly key: string; readonly proposalNumber: ProposalNumber }
  /** Second phase of a proposal, for the disk that promised in the first phase. */
  | {
      readonly kind: 'accept';
      readonly key: string;
      readonly proposalNumber: ProposalNumber;
      readonly value: unknown;
      readonly diskId: string;
    }
  | { readonly kind: 'append-entries'; readonly entries: readonly JournalEntry[] }
  /** Reads the journal after the cursor, and the accepted proposal numbers of some registers. */
  | {
      readonly kind: 'poll';
      readonly cursor: JournalCursor | null;
      readonly keys: readonly string[];
    }
  | { readonly kind: 'read-register'; readonly key: string }
  /** Reads one page of a replica's registers and journal; `after` is null for the first page. */
  | { readonly kind: 'read-page'; readonly after: string | null }
  /** Restores the values that an agent knows to be chosen, after most disks were lost. */
  | {
      readonly kind: 'restore';
      readonly registers: readonly (readonly [string, AcceptedValue])[];
      readonly entries: readonly JournalEntry[];
    };

/** A replica's reply, with the id of its disk. */
export type ReplicaReply =
  /** The replica may not vote. A blank disk, which has never voted, may be assigned a slot. */
  | {
      readonly kind: 'not-a-member';
      readonly diskId: string;
      readonly isBlank: boolean;
      readonly knowsMembership: boolean;
    }
  /** The sender's membership is no longer in force; the reply carries the newer one. */
  | {
      readonly kind: 'newer-membership';
      readonly diskId: string;
      readonly membership: CommittedMembership | null;
    }
  | { readonly kind: 'vote'; readonly diskId: string; readonly vote: Vote }
  /** The disk accepts no writes, or not in time; until it does the replica counts as lost. */
  | { readonly kind: 'unavailable'; readonly diskId: string }
  /** The replica already stores the maximum number of claims. */
  | { readonly kind: 'too-many-claims'; readonly diskId: string }
  | { readonly kind: 'entries-appended'; readonly diskId: string }
  /**
   * The replica's state was founded anew after a loss. It takes part in nothing until agents have
   * restored the values that they know.
   */
  | { readonly kind: 'recovering'; readonly diskId: string; readonly epoch: number }
  | { readonly kind: 'restored'; readonly diskId: string }
  | {
      readonly kind: 'polled';
      readonly diskId: string;
      /** The sequence for the client's next cursor. */
      readonly sequence: number;
      /** The cursor was of another disk, or too old: the entries start from the oldest. */
      readonly isReset: boolean;
      /** Whether there are further entries, so that the client should poll again immediately. */
      readonly hasMore: boolean;
      readonly entries: readonly JournalEntry[];
      /** The proposal numbers under which the registers' values were accepted, by key. */
      readonly acceptedNumbers: Readonly<Record<string, ProposalNumber>>;
      /** Keys whose value was copied from another replica, and is not a vote of this one. */
      readonly copiedKeys?: readonly string[];
      /** The disk accepts no writes: the reply is correct, but the replica does not vote. */
      readonly isReadOnly?: true;
      /** The process was requested to stop, and prefers to hand its slot over first. */
      readonly isStopping?: true;
    }
  | {
      readonly kind: 'register-read';
      readonly diskId: string;
      readonly accepted: AcceptedValue | null;
    }
  | {
      readonly kind: 'page-read';
      readonly diskId: string;
      /** The membership that the replica knows to be committed. */
      readonly membership: CommittedMembership | null;
      readonly registers: readonly (readonly [string, RegisterState])[];
      /** The complete journal on the last page; empty on all others. */
      readonly entries: readonly JournalEntry[];
      /** The position of the next page; null on the last page. */
      readonly nextPage: string | null;
    };
