/** The state of pending changes of registers and of pending appends to the journal. */

import type { Proposal } from '@reedyard/consensus';
import type { QuotaAllocation } from '@reedyard/quota-division';
import type { JournalEntry } from '@reedyard/replica';
import type { RegisterChange } from './changes.js';

/**
 * How long a change may take, in milliseconds, over all proposals that include it, before its
 * outcome is reported as unknown.
 */
export const proposalTimeoutMs = 4_000;

/**
 * The time in milliseconds after which the calls of a proposal, and journal entries, are sent again
 * to replicas that have not replied; replicas may receive all of them twice. It exceeds two round
 * trips between regions that are 35 ms apart plus the syncs of a disk.
 */
export const resendMs = 150;

/** What a change is for, which determines how its outcome is handled, and who is notified. */
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
      /** The member that is removed from the membership; absent where no member is. */ readonly replacedMember?: string;
    };

/** A change of a register whose proposal is not yet decided and that has not timed out. */
export type PendingChange = {
  readonly key: string;
  readonly change: RegisterChange;
  readonly purpose: Purpose;
  readonly requestedAt: number;
  /** The register's value when this change was first applied; null until then. */
  readonly firstRead: { readonly value: unknown } | null;
  /** Whether the client has disconnected: the change is included in no further proposal. */
  readonly isAbandoned: boolean;
};

/** A pending change that is included in a proposal, with its id. */
export type IncludedChange = { readonly id: number; readonly pendingChange: PendingChange };

/** How often a proposal was preempted, and how often too few replicas replied in time. */
export type Retries = { readonly preempted: number; readonly timedOut: number };

/**
 * The only proposal of this node for a register that is in flight. It includes all changes that were
 * pending when it was started.
 */
export type ActiveProposal = {
  readonly proposal: Proposal;
  /** The changes that the proposal includes, as they were when the proposal was started. */
  readonly included: readonly IncludedChange[];
  /** When the current phase began. */
  readonly phaseStartedAt: number;
  /** When the calls of the current phase were last sent. */
  readonly lastSentAt: number;
  /** How often the calls of the current phase were sent again. */
  readonly resendCount: number;
  /** How often the proposal was restarted, by reason. */
  readonly retries: Retries;
  /** When the proposal is restarted after it was preempted; null where it was not. */
  readonly retryAt: number | null;
};

/**
 * Journal entries that are not yet on the disks of a majority of replicas, and the API request that
 * is answered once they are.
 */
export type PendingAppend = {
  readonly entries: readonly JournalEntry[];
  readonly acknowledgedBy: readonly string[];
  readonly apiRequestId: number;
  readonly requestedAt: number;
  readonly lastSentAt: number;
  readonly responseBody: unknown;
};
