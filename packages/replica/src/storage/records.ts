/** The records that a replica writes to its disk. Replaying a record twice changes nothing. */
import type { RegisterState } from '@reedyard/consensus';
import type { CommittedMembership } from '../membership.js';
import type { JournalEntry } from '../messages.js';

/** A record of the replica's log. */
export type ReplicaRecord =
  /** The disk received its id. */
  | { readonly kind: 'disk-named'; readonly diskId: string }
  /** The disk votes from now on, in the slot that the membership of this epoch assigns to it. */
  | { readonly kind: 'voting-begun'; readonly epoch?: number }
  /** The disk was replaced: everything on it is erased, and it has a new id. */
  | { readonly kind: 'disk-erased'; readonly diskId: string }
  | { readonly kind: 'membership-committed'; readonly membership: CommittedMembership }
  /** The last sequence of the journal, recorded separately since the entries expire. */
  | { readonly kind: 'sequence-reached'; readonly sequence: number }
  | { readonly kind: 'register-written'; readonly key: string; readonly register: RegisterState }
  | { readonly kind: 'entry-appended'; readonly sequence: number; readonly entry: JournalEntry };
