/** An acceptor's state of one register, and how the states of two acceptors are merged. */
import {
  compareProposalNumbers,
  higherProposalNumber,
  zeroProposalNumber,
  type ProposalNumber,
} from './proposal-number.js';

/** A value that an acceptor has accepted. */
export type AcceptedValue = {
  readonly proposalNumber: ProposalNumber;
  readonly value: unknown;
  /**
   * Set if the value was copied from another acceptor. A read takes it into account, but it is not
   * a vote of this acceptor.
   */
  readonly copied?: true;
};

/** An acceptor's state of one register. */
export type RegisterState = {
  /** The acceptor takes part in no proposal below this number. */
  readonly promised: ProposalNumber;
  readonly accepted: AcceptedValue | null;
};

/** A register before its first proposal. */
export const emptyRegister: RegisterState = { promised: zeroProposalNumber, accepted: null };

/** Returns the newer of two accepted values. Of the same proposal, a vote precedes a copy. */
const newerAcceptedValue = (
  left: AcceptedValue | null,
  right: AcceptedValue | null,
): AcceptedValue | null => {
  if (left === null || right === null) return left ?? right;
  const order = compareProposalNumbers(left.proposalNumber, right.proposalNumber);
  if (order !== 0) return order > 0 ? left : right;
  return left.copied === true ? right : left;
};

/**
 * Merges two acceptors' states of one register into the higher promise and the newer value.
 *
 * @example
 * mergeRegisters(emptyRegister, { promised: { counter: 2, proposerId: 'a' }, accepted: null }).promised.counter // 2
 */
export const mergeRegisters = (left: RegisterState, right: RegisterState): RegisterState => ({
  promised: higherProposalNumber(left.promised, right.promised),
  accepted: newerAcceptedValue(left.accepted, right.accepted),
});

/**
 * Returns a register for another acceptor to adopt. The value must be taken into account by reads,
 * but it is marked as a copy, since it is no vote of that acceptor: an acceptor that promised a
 * number may store a copy of a value with a lower number, for which it could no longer have voted.
 *
 * @example
 * copyRegister(register).accepted?.copied // true
 */
export const copyRegister = (register: RegisterState): RegisterState =>
  register.accepted === null
    ? register
    : { ...register, accepted: { ...register.accepted, copied: true } };
