/**
 * Proposal numbers: what orders the proposals of single-decree Paxos.
 *
 * A number belongs to one proposal of one incarnation of a proposer and is never used twice, so any
 * two proposals are ordered, and a number that is seen again stands for the same proposal.
 */

/** The number of a proposal. */
export type ProposalNumber = {
  /** Grows with each proposal; compared first. */
  readonly counter: number;
  /** The proposer and its incarnation; breaks ties. */
  readonly proposerId: string;
};

/** Below the number of every proposal. */
export const zeroProposalNumber: ProposalNumber = { counter: 0, proposerId: '' };

/**
 * Orders two proposal numbers.
 *
 * @returns -1, 0 or 1, as the left one is lower, equal or higher
 * @example
 * compareProposalNumbers({ counter: 2, proposerId: 'a' }, { counter: 1, proposerId: 'b' }) // 1
 */
export const compareProposalNumbers = (left: ProposalNumber, right: ProposalNumber): number => {
  if (left.counter !== right.counter) return Math.sign(left.counter - right.counter);
  if (left.proposerId === right.proposerId) return 0;
  return left.proposerId < right.proposerId ? -1 : 1;
};

/** The higher of two proposal numbers. */
export const higherProposalNumber = (
  left: ProposalNumber,
  right: ProposalNumber,
): ProposalNumber => (compareProposalNumbers(right, left) > 0 ? right : left);

/**
 * A number for a proposer's next proposal, above one that it has seen.
 *
 * @example
 * nextProposalNumber({ counter: 3, proposerId: 'a' }, 'b') // { counter: 4, proposerId: 'b' }
 */
export const nextProposalNumber = (above: ProposalNumber, proposerId: string): ProposalNumber => ({
  counter: above.counter + 1,
  proposerId,
});

/**
 * A proposal number as text, for logs and reports.
 *
 * @example
 * formatProposalNumber({ counter: 4, proposerId: 'b' }) // '4/b'
 */
export const formatProposalNumber = ({ counter, proposerId }: ProposalNumber): string =>
  `${counter}/${proposerId}`;
