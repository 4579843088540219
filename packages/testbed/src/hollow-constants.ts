/** Constants of the hollow fleet. */

/**
 * Upper bound, in bytes of heap, for one delay in one node's copy of another node's load vector.
 * Used to refuse a fleet that does not fit into memory.
 */
export const heapBytesPerDelay = 64;

/**
 * Upper bound, in bytes of heap, for what one node stores about another apart from load vectors.
 * Used to refuse a fleet that does not fit into memory.
 */
export const heapBytesPerNode = 4_000;

/**
 * Timeout of a call in milliseconds of real time. A call that takes longer shows a fault of the
 * hollow fleet itself, not of the code that it measures.
 */
export const hollowCallTimeoutMs = 600_000;

/** Capacity of one origin, in requests per second. */
export const hollowOriginCapacityPerSecond = 500;

/** Average demand for one object at one proxy, in bits per second. */
export const hollowObjectDemandBps = 200_000;

/**
 * Interval at which an origin announces itself, in milliseconds. The origin stand-ins of the
 * testbed use the same interval.
 */
export const hollowDescribeIntervalMs = 1_000;

/** Largest share of the machine's memory that a hollow fleet may use. */
export const hollowMemoryShare = 0.5;

/** Default number of origins per service. The example deployments have four to nine. */
export const hollowOriginsPerService = 7;

/**
 * Longest wait, in milliseconds of the fleet's clock, for the replicas to vote, for a quota leader
 * to be elected, or for a change to reach all nodes.
 */
export const hollowMaxWaitMs = 20_000;

/** Period in milliseconds over which node starts are spread, so that ticks do not coincide. */
export const hollowStartSpreadMs = 500;

/**
 * Step of the fleet's clock, in milliseconds. It is a fifth of the agent's tick interval, and the
 * resolution of the measured times.
 */
export const hollowStepMs = 10;

/** Demand of one proxy over all services, in requests per second: 1.1 million for 1,100 nodes. */
export const hollowProxyDemandPerSecond = 1_000;

/**
 * Default time in milliseconds before counting begins: two ping rounds, four quota allocations and
 * one lease.
 */
export const hollowWarmUpMs = 4_000;
