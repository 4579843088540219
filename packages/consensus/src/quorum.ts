/** The size of a quorum. */

/**
 * Returns the number of members that make a majority of `count` members.
 *
 * @example
 * majorityOf(5) // 3
 */
export const majorityOf = (count: number): number => Math.floor(count / 2) + 1;
