/** Load shedding by the number of requests in flight. */

/** The maximum number of requests in flight in one proxy; further ones are rejected immediately. */
export const maxRequestsInFlight = 4_096;
