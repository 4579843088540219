/** The acceptor of single-decree Paxos: how a register answers the two phases of a proposal. */
import { compareProposalNumbers, type ProposalNumber } from './proposal-number.js';
import type { AcceptedValue, RegisterState } from './register.js';

/** An acceptor's response to either phase. */
export type Vote =
  /** It takes part. In the first phase it tells the value that it has accepted, if any. */
  | { readonly kind: 'yes'; readonly accepted: AcceptedValue | null }
  /** It has promised a higher number. */
  | { readonly kind: 'no'; readonly promised: ProposalNumber };

/** A register after a phase, and the response. A register that voted `no` is unchanged. */
export type VoteOutcome = { readonly register: RegisterState; readonly vote: Vote };

const rejectBelowPromise = (register: RegisterState): VoteOutcome => ({
  register,
  vote: { kind: 'no', promised: register.promised },
});

/**
 * First phase: promise to take part in no proposal below this number. A prepare that is sent again
 * gets the same promise, since a number belongs to one proposal.
 *
 * @example
 * prepare(emptyRegister, { counter: 1, proposerId: 'agent' }).vote // { kind: 'yes', accepted: null }
 */
export const prepare = (register: RegisterState, proposalNumber: ProposalNumber): VoteOutcome => {
  if (compareProposalNumbers(proposalNumber, register.promised) < 0)
    return rejectBelowPromise(register);
  return {
    register: { ...register, promised: proposalNumber },
    vote: { kind: 'yes', accepted: register.accepted },
  };
};

/**
 * Second phase: accept the value unless a higher number was promised.
 *
 * @example
 * accept(emptyRegister, { counter: 1, proposerId: 'agent' }, 'v').register.accepted?.value // 'v'
 */
export const accept = (
  register: RegisterState,
  proposalNumber: ProposalNumber,
  value: unknown,
): VoteOutcome => {
  if (compareProposalNumbers(proposalNumber, register.promised) < 0)
    return rejectBelowPromise(register);
  const accepted = { proposalNumber, value };
  return { register: { promised: proposalNumber, accepted }, vote: { kind: 'yes', accepted } };
};
