/** The smoothing of the moving mean of an origin's response time. */

/** The weight of a new response time in the moving mean. */
export const responseTimeGain = 0.2;
