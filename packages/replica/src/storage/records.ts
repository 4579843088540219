/** What a replica writes to its disk. Replaying a record twice changes nothing. */
import type { RegisterState } from '@reedyard/consensus';
import type { CommittedMembership } from '../membership.js';
import type { JournalEntry } from '../messages.js';

/** One record of the replica's log. */
export type ReplicaRecord =
  /** The disk got its id. */
  | { readonly kind: 'disk-named'; readonly diskId: string }
  /** It votes from now on, in the slot that the membership of this epoch gives it. */
  | { readonly kind: 'voting-begun'; readonly epoch?: number }
  /** Its slot was given to another: all that was on this disk is erased; it has a new id. */
  | { readonly kind: 'disk-erased'; readonly diskId: string }
  | { readonly kind: 'membership-committed'; readonly membership: CommittedMembership }
  /** The last sequence of the journal; kept apart, since the entries themselves expire. */
  | { readonly kind: 'sequence-reached'; readonly sequence: number }
  | { readonly kind: 'register-written'; readonly key: string; readonly register: RegisterState }
  | { readonly kind: 'entry-appended'; readonly sequence: number; readonly entry: JournalEntry };
