/** Test support: the state, calls, events and effects of a client in the membership model. */
import type {
  ReplicaRequest,
  ReplicaReply,
  JournalCursor,
  CommittedMembership,
} from '@reedyard/replica';
import type { ProposalNumber, Proposal } from '@reedyard/consensus';
import type { Goal, WatchedKey } from './membership-goals.js';

/** Why a client made a call; the reply carries it back to the client. */
export type CallPurpose =
  | {
      readonly kind: 'vote';
      readonly attempt: number;
      readonly phase: 'prepare' | 'accept';
      readonly proposalNumber: ProposalNumber;
    }
  | { readonly kind: 'pull' }
  | { readonly kind: 'look' }
  | { readonly kind: 'fetch'; readonly key: WatchedKey }
  | { readonly kind: 'post'; readonly entryKey: string };

/** A call to the replica at an address, addressed to the member in a slot. */
export type ClientCall = {
  /** The incarnation of the client's process that made the call. */
  readonly incarnation: number;
  readonly slot: string;
  readonly to: string;
  readonly purpose: CallPurpose;
  readonly body: ReplicaRequest;
  readonly sentAt: number;
};

/** A proposal in flight. */
export type Attempt = {
  readonly goal: Goal;
  readonly proposal: Proposal;
  /** The number of the physical disk behind each promise, which a real agent can't see. */
  readonly promisedBy: Readonly<Record<string, number>>;
  readonly isPreempted: boolean;
};
/** The result of the newest counted poll of a slot. */
export type PollView = {
  readonly sentAt: number;
  readonly acceptedNumbers: Readonly<Record<string, ProposalNumber>>;
  /** Registers whose value the replica copied from another replica. */
  readonly copied: readonly string[];
};
/** A chosen value and the number of its proposal. */
export type ChosenValue = { readonly proposalNumber: ProposalNumber; readonly value: unknown };

/** The complete state of a client. */
export type Client = {
  readonly name: string;
  readonly incarnation: number;
  readonly members: CommittedMembership | null;
  readonly highestNumber: ProposalNumber;
  readonly attempts: Readonly<Record<number, Attempt>>;
  readonly nextAttempt: number;
  readonly pendingEntry: { readonly entryKey: string; readonly acks: readonly string[] } | null;
  readonly views: Readonly<Record<string, PollView>>;
  readonly cursors: Readonly<Record<string, JournalCursor>>;
  readonly data: ChosenValue | null;
  readonly entryKeys: readonly string[];
  /** Registers whose newest proposal only a minority of the members has accepted. */
  readonly minorityKeys: readonly WatchedKey[];
  /**
   * The step at which the lease starts; the client may not know entries acknowledged after this
   * step.
   */
  readonly leaseStartStep: number;
};

/** The calls that a client sends, and the facts that it concludes, which the invariants check. */
export type ClientEffect =
  | { readonly kind: 'call'; readonly call: ClientCall }
  | {
      readonly kind: 'chosen';
      readonly key: string;
      readonly proposalNumber: ProposalNumber;
      readonly value: unknown;
    }
  | { readonly kind: 'appended'; readonly id: string }
  | { readonly kind: 'posted'; readonly entryKey: string }
  | {
      readonly kind: 'lives-mixed';
      readonly slot: string;
      readonly proposalNumber: ProposalNumber;
    }
  | {
      readonly kind: 'lease';
      readonly from: number;
      readonly epoch: number;
      readonly data: string;
      readonly entryKeys: readonly string[];
    };

/** The events that drive a client. */
export type ClientEvent =
  | { readonly kind: 'propose'; readonly goal: Goal }
  | { readonly kind: 'retry'; readonly attempt: number }
  | { readonly kind: 'pull' }
  | { readonly kind: 'look'; readonly address: string }
  | { readonly kind: 'post'; readonly entryKey: string }
  | { readonly kind: 'restart' }
  /** The client has learned of a proposal number this many rounds above its highest. */
  | { readonly kind: 'outpaced'; readonly rounds: number }
  | {
      readonly kind: 'replied';
      readonly call: ClientCall;
      readonly body: ReplicaReply;
      readonly diskNumber: number;
    };

/** Faults injected into a client. */
export type ClientFaults = {
  /** Promises still count after the client has learned a newer membership. */
  readonly keepsPromises?: boolean;
  /** A lease starts with the newest of the counted polls instead of the oldest. */
  readonly leasesFromNewest?: boolean;
  /** Polls count even if they show a value that the client does not know. */
  readonly countsUnknown?: boolean;
};
