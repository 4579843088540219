/** The shared cache of a proxy: what is kept, and for how long. */
export {
  Cache,
  type CacheState,
  type Copy as CachedResponse,
  type Headers,
  maxCacheBytes,
  type Purged as AppliedPurge,
  purgeRetentionMs,
} from './cache.js';
