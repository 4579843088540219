/** Divides the memory of a proxy among what grows with its clients. */

/** The memory of a proxy whose settings don't say, in bytes: that of a small front machine. */
const defaultMemoryBytes = 350_000_000;

/** The shares of what grows with clients; the rest is for code, connections, buffers and garbage. */
const cacheShare = 0.25;
const requestShare = 0.25;

/** Above this size in bytes, more cached responses only cost memory. */
const maxCacheBytes = 256 * 1024 * 1024;

/** The parts of a proxy's memory, in bytes. */
export type MemoryDivision = {
  readonly cacheBytes: number;
  /** For requests that are read or in flight, and answers that wait for their clients. */
  readonly requestBytes: number;
};

/**
 * Divides the memory of a proxy.
 *
 * @example
 * divideMemory(400_000_000).cacheBytes // 100000000
 */
export const divideMemory = (memoryBytes: number = defaultMemoryBytes): MemoryDivision => ({
  cacheBytes: Math.min(maxCacheBytes, Math.floor(memoryBytes * cacheShare)),
  requestBytes: Math.floor(memoryBytes * requestShare),
});
