/** What an acceptor keeps of one register. */
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
   * Set where the value was copied from another acceptor: it counts as read, but not as a vote of
   * this acceptor.
   */
  readonly copied?: true;
};

/** An acceptor's state of one register. */
export type RegisterState = {
  /** It takes part in no proposal below this number. */
  readonly promised: ProposalNumber;
  readonly accepted: AcceptedValue | null;
};

/** A register that no proposal has reached. */
export const emptyRegister: RegisterState = { promised: zeroProposalNumber, accepted: null };

/** The newer of two accepted values; of one proposal, a vote rather than a copy. */
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
 * Merges what two acceptors keep of one register: the higher promise and the newer value.
 *
 * @example
 * mergeRegisters(emptyRegister, { promised: { counter: 2, proposerId: 'a' }, accepted: null }).promised.counter // 2
 */
export const mergeRegisters = (left: RegisterState, right: RegisterState): RegisterState => ({
  promised: higherProposalNumber(left.promised, right.promised),
  accepted: newerAcceptedValue(left.accepted, right.accepted),
});

/**
 * A register as another acceptor takes it over. Its value must be read, but is no vote of that
 * acceptor: an acceptor that promised a number may hold a copy of a value of a lower one, which it
 * could not have voted for any more.
 *
 * @example
 * copyRegister(register).accepted?.copied // true
 */
export const copyRegister = (register: RegisterState): RegisterState =>
  register.accepted === null
    ? register
    : { ...register, accepted: { ...register.accepted, copied: true } };
