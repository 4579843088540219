/** The acceptor of single-decree Paxos: how a register responds to both phases of a proposal. */
import { compareProposalNumbers, type ProposalNumber } from './proposal-number.js';
import type { AcceptedValue, RegisterState } from './register.js';

/** An acceptor's response to either phase. */
export type Vote =
  /**
   * The acceptor takes part. `accepted` is the value that it had accepted before the first phase,
   * if any, or the value that it accepted in the second phase.
   */
  | { readonly kind: 'yes'; readonly accepted: AcceptedValue | null }
  /** The acceptor has promised a higher proposal number. */
  | { readonly kind: 'no'; readonly promised: ProposalNumber };

/** The register after a phase, and its vote. A `no` vote leaves the register unchanged. */
export type VoteOutcome = { readonly register: RegisterState; readonly vote: Vote };

const rejectBelowPromise = (register: RegisterState): VoteOutcome => ({
  register,
  vote: { kind: 'no', promised: register.promised },
});

/**
 * First phase: promises to take part in no proposal below this number. A repeated prepare gets the
 * same promise, since a proposal number belongs to a single proposal.
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
 * Second phase: accepts the value unless a higher number was promised.
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
