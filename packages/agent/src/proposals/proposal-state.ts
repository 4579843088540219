/** Changes of registers and of the journal that are under way. */

import type { Proposal } from '@reedyard/consensus';
import type { QuotaAllocation } from '@reedyard/quota-division';
import type { JournalEntry } from '@reedyard/replica';
import type { RegisterChange } from './changes.js';

/** ms. A whole proposal (all tries) before its caller is told it is unknown. */
export const proposalTimeoutMs = 4_000;

/**
 * ms. Calls of a proposal, and journal entries, are sent again to replicas that have not answered:
 * all may be taken twice. Over two trips between regions 35 ms apart and the syncs of a disk.
 */
export const resendMs = 150;

/** Who waits for a proposal, and what becomes of its end. */
export type Purpose =
  | { readonly kind: 'put-policy'; readonly id: number; readonly changeId: string }
  | { readonly kind: 'get-policy'; readonly id: number }
  | { readonly kind: 'zone'; readonly id: number; readonly changeId: string }
  | { readonly kind: 'publish-allocation'; readonly goal: QuotaAllocation }
  | { readonly kind: 'claim'; readonly id: number }
  | { readonly kind: 'settle-claim'; readonly id: number }
  | { readonly kind: 'repair' }
  | {
      readonly kind: 'change-membership';
      readonly member: string;
      readonly diskId: string;
      /** Whose slot it is, where another machine gives it up. */ readonly replacedMember?: string;
    };

/**
 * One change that is to be made to a register, until its proposal is decided or its time is over.
 */
export type PendingChange = {
  readonly key: string;
  readonly change: RegisterChange;
  readonly purpose: Purpose;
  readonly requestedAt: number;
  /** What the register held when this change was first applied, once that is known. */
  readonly firstRead: { readonly value: unknown } | null;
  /** Its caller is gone: no further proposal is opened for it. */
  readonly isAbandoned: boolean;
};

/** A change that is part of a proposal. */
export type IncludedChange = { readonly id: number; readonly pendingChange: PendingChange };

/** How often a proposal was outvoted, and how often too few answered in time. */
export type Retries = { readonly preempted: number; readonly timedOut: number };

/**
 * The one proposal that this node has under way for a register, for all changes that waited when it
 * was opened.
 */
export type ActiveProposal = {
  readonly proposal: Proposal;
  /** The changes that it makes, as they were when it was opened. */
  readonly included: readonly IncludedChange[];
  /** When its present phase began, and when its calls were last sent. */
  readonly phaseStartedAt: number;
  readonly lastSentAt: number;
  /** How often they were sent again in this phase. */
  readonly resendCount: number;
  /** How often it was opened anew, by reason. */
  readonly retries: Retries;
  /** When it is opened anew after it was outvoted. */
  readonly retryAt: number | null;
};

/** Journal entries on their way to a majority of disks, for a caller that waits. */
export type PendingAppend = {
  readonly entries: readonly JournalEntry[];
  readonly acknowledgedBy: readonly string[];
  readonly apiRequestId: number;
  readonly requestedAt: number;
  readonly lastSentAt: number;
  readonly responseBody: unknown;
};
