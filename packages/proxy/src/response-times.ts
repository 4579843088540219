/** The moving mean of an origin's response time. */

/** share by which a new answer's time moves an origin's usual one. */
export const responseTimeGain = 0.2;
