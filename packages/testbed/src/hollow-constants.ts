/** Numbers of the hollow fleet, which counts what each role sends and does. */

/**
 * bytes of one copy of what one node knows of another's vector, for each delay in it: an upper
 * bound of the heap.
 */
export const heapBytesPerDelay = 64;

/**
 * bytes that one node holds of another without vectors: an upper bound, to refuse what can't
 * fit.
 */
export const heapBytesPerNode = 4_000;

/** real ms. A call that took this long is a fault of the test, not of what it measures. */
export const hollowCallTimeoutMs = 600_000;

/** requests a second that one origin carries. */
export const hollowOriginCapacityPerSecond = 500;

/** bps that a proxy's callers ask of one object. */
export const hollowObjectDemandBps = 200_000;

/** ms. An origin describes itself again: the bench's stand-ins do so as often. */
export const hollowDescribeIntervalMs = 1_000;

/** share of the machine's memory that a hollow fleet may take. */
export const hollowMemoryShare = 0.5;

/** origins of one service: the deployments have four to nine. */
export const hollowOriginsPerService = 7;

/**
 * ms. What is waited at most for replicas to found, for the quota leadership to be taken, or for
 * a change to reach all.
 */
export const hollowMaxWaitMs = 20_000;

/** ms. Nodes begin spread over this long, so that their beats don't fall together. */
export const hollowStartSpreadMs = 500;

/**
 * ms. One step of the fleet's common clock: a fifth of an agent's beat, so that times are told
 * to that.
 */
export const hollowStepMs = 10;

/** requests a second that a proxy wants of all services: 1.1 million over 1,100 nodes. */
export const hollowProxyDemandPerSecond = 1_000;

/** ms. Nodes run this long before anything is counted: two pings, four divisions, one lease. */
export const hollowWarmUpMs = 4_000;
