/** The stored and sent form of a committed membership. The membership itself is stored as it is. */
import {
  decodeProposalNumber,
  encodeProposalNumber,
  type WireProposalNumber,
} from '@reedyard/consensus';
import type { CommittedMembership, Members } from '../messages.js';

/** A committed membership, with the proposal number that it was committed under. */
export type WireCommittedMembership = {
  readonly ballot: WireProposalNumber;
  readonly value: Members;
};

export const encodeMembership = (membership: CommittedMembership): WireCommittedMembership => ({
  ballot: encodeProposalNumber(membership.ballot),
  value: membership.value,
});

export const decodeMembership = (membership: WireCommittedMembership): CommittedMembership => ({
  ballot: decodeProposalNumber(membership.ballot),
  value: membership.value,
});
