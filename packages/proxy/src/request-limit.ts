/** Load shedding by the number of requests in flight. */

/** requests at work in one proxy; more are turned away at once. */
export const maxRequestsInFlight = 4_096;
