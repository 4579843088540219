/** The shared HTTP cache of a proxy. */
export {
  type AppliedPurge,
  Cache,
  type CachedResponse,
  type CacheState,
  type Headers,
  copyOverheadBytes,
  defaultMaxCacheBytes,
  purgeRetentionMs,
} from './cache.js';
