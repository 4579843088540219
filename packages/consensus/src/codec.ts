/**
 * The form in which proposal numbers, accepted values and registers are stored and sent.
 *
 * Replicas store registers on disk and exchange them with agents and with each other in this form.
 * It must not change: data of earlier versions must stay readable, and versions run side by side.
 * All other code works with the types of `acceptor.ts`, `proposal-number.ts` and `register.ts`.
 */
import type { Vote } from './acceptor.js';
import type { ProposalNumber } from './proposal-number.js';
import type { AcceptedValue, RegisterState } from './register.js';

/** A stored or sent proposal number: its counter and its proposer. */
export type WireProposalNumber = readonly [counter: number, proposerId: string];

/** A stored or sent accepted value. */
export type WireAcceptedValue = {
  readonly ballot: WireProposalNumber;
  readonly value: unknown;
  readonly copied?: true;
};

/** The stored or sent state of one register. */
export type WireRegister = {
  readonly promised: WireProposalNumber;
  readonly accepted: WireAcceptedValue | null;
};

/** An acceptor's response to either phase, as it is sent. */
export type WireVote =
  | { readonly kind: 'yes'; readonly accepted: WireAcceptedValue | null }
  | { readonly kind: 'no'; readonly promised: WireProposalNumber };

/** Encodes a proposal number for disk and wire. */
export const encodeProposalNumber = ({
  counter,
  proposerId,
}: ProposalNumber): WireProposalNumber => [counter, proposerId];

/** Decodes a proposal number from disk or wire. */
export const decodeProposalNumber = ([
  counter,
  proposerId,
]: WireProposalNumber): ProposalNumber => ({ counter, proposerId });

/** Encodes an accepted value for disk and wire. */
export const encodeAcceptedValue = (accepted: AcceptedValue): WireAcceptedValue => ({
  ballot: encodeProposalNumber(accepted.proposalNumber),
  value: accepted.value,
  ...(accepted.copied === true ? { copied: true } : {}),
});

/** Decodes an accepted value from disk or wire. */
export const decodeAcceptedValue = (accepted: WireAcceptedValue): AcceptedValue => ({
  proposalNumber: decodeProposalNumber(accepted.ballot),
  value: accepted.value,
  ...(accepted.copied === true ? { copied: true } : {}),
});

/**
 * Encodes a register. If the promise and the accepted value share one number object, the encoded
 * forms share one too: the serializer preserves references, so the number is written once.
 */
export const encodeRegister = ({ promised, accepted }: RegisterState): WireRegister => {
  const encoded = accepted === null ? null : encodeAcceptedValue(accepted);
  const isSameNumber = accepted !== null && accepted.proposalNumber === promised;
  return {
    promised: encoded !== null && isSameNumber ? encoded.ballot : encodeProposalNumber(promised),
    accepted: encoded,
  };
};

/**
 * Decodes a register. A number that the promise and the accepted value share stays one object, so
 * that it is written once again.
 */
export const decodeRegister = ({ promised, accepted }: WireRegister): RegisterState => {
  const decoded = accepted === null ? null : decodeAcceptedValue(accepted);
  const isSameNumber = accepted !== null && accepted.ballot === promised;
  return {
    promised:
      decoded !== null && isSameNumber ? decoded.proposalNumber : decodeProposalNumber(promised),
    accepted: decoded,
  };
};

/** Encodes a vote for the wire. */
export const encodeVote = (vote: Vote): WireVote =>
  vote.kind === 'yes'
    ? {
        kind: 'yes',
        accepted: vote.accepted === null ? null : encodeAcceptedValue(vote.accepted),
      }
    : { kind: 'no', promised: encodeProposalNumber(vote.promised) };

/** Decodes a vote from the wire. */
export const decodeVote = (vote: WireVote): Vote =>
  vote.kind === 'yes'
    ? {
        kind: 'yes',
        accepted: vote.accepted === null ? null : decodeAcceptedValue(vote.accepted),
      }
    : { kind: 'no', promised: decodeProposalNumber(vote.promised) };
