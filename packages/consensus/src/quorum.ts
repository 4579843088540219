/** How many members make a quorum. */

/**
 * Members that make a majority.
 *
 * @example
 * majorityOf(5) // 3
 */
export const majorityOf = (count: number): number => Math.floor(count / 2) + 1;
