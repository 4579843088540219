/** The shared cache of a proxy: what is kept, and for how long. */
export {
  Cache,
  type CacheState,
  type Copy,
  type Headers,
  maxCacheBytes,
  type Purged,
  purgeRetentionMs,
} from './cache.js';
