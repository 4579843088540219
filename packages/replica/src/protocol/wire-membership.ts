/** The form in which a committed membership is stored and sent; its value is encoded unchanged. */
import {
  decodeProposalNumber,
  encodeProposalNumber,
  type WireProposalNumber,
} from '@reedyard/consensus';
import type { CommittedMembership, Membership } from '../membership.js';

/** A committed membership, with the proposal number under which it was chosen. */
export type WireCommittedMembership = {
  readonly ballot: WireProposalNumber;
  readonly value: Membership;
};

/** Encodes a committed membership for disk and wire. */
export const encodeMembership = (membership: CommittedMembership): WireCommittedMembership => ({
  ballot: encodeProposalNumber(membership.proposalNumber),
  value: membership.value,
});

/** Decodes a committed membership from disk or wire. */
export const decodeMembership = (membership: WireCommittedMembership): CommittedMembership => ({
  proposalNumber: decodeProposalNumber(membership.ballot),
  value: membership.value,
});
