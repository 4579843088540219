/**
 * Proposal numbers, which order the proposals of single-decree Paxos.
 *
 * A number belongs to one proposal of one incarnation of a proposer and is never used twice. So any
 * two proposals are ordered, and equal numbers always mean the same proposal.
 */

/** Identifies a proposal and orders it among all others. */
export type ProposalNumber = {
  /** Grows with each proposal and is compared first. */
  readonly counter: number;
  /** The proposer and its incarnation, which break ties between equal counters. */
  readonly proposerId: string;
};

/** A number below that of every proposal. */
export const zeroProposalNumber: ProposalNumber = { counter: 0, proposerId: '' };

/**
 * Orders two proposal numbers.
 *
 * @returns -1, 0 or 1 if the left number is lower than, equal to or higher than the right number
 * @example
 * compareProposalNumbers({ counter: 2, proposerId: 'a' }, { counter: 1, proposerId: 'b' }) // 1
 */
export const compareProposalNumbers = (left: ProposalNumber, right: ProposalNumber): number => {
  if (left.counter !== right.counter) return Math.sign(left.counter - right.counter);
  if (left.proposerId === right.proposerId) return 0;
  return left.proposerId < right.proposerId ? -1 : 1;
};

/** Returns the higher of two proposal numbers. */
export const higherProposalNumber = (
  left: ProposalNumber,
  right: ProposalNumber,
): ProposalNumber => (compareProposalNumbers(right, left) > 0 ? right : left);

/**
 * Returns the number of a proposer's next proposal, above the highest number that it has seen.
 *
 * @example
 * nextProposalNumber({ counter: 3, proposerId: 'a' }, 'b') // { counter: 4, proposerId: 'b' }
 */
export const nextProposalNumber = (
  highestSeen: ProposalNumber,
  proposerId: string,
): ProposalNumber => ({
  counter: highestSeen.counter + 1,
  proposerId,
});

/**
 * Formats a proposal number for logs and reports.
 *
 * @example
 * formatProposalNumber({ counter: 4, proposerId: 'b' }) // '4/b'
 */
export const formatProposalNumber = ({ counter, proposerId }: ProposalNumber): string =>
  `${counter}/${proposerId}`;
