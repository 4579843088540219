/** The shared HTTP cache of a proxy: which responses it stores, and for how long. */

import CachePolicy from 'http-cache-semantics';
import { Map as ImmutableMap, OrderedMap, Set as ImmutableSet } from 'immutable';

/**
 * How long applied purges are remembered, in milliseconds. The journal retains purges for the same
 * time, so a response that was fetched before a purge is not stored after it.
 */
export const purgeRetentionMs = 60_000;

/** The memory for the cached responses of one proxy if its settings don't say, in bytes. */
export const defaultMaxCacheBytes = 64 * 1024 * 1024;

/** The memory that a cached response takes beside its body: its header fields and index entries, in bytes. */
export const copyOverheadBytes = 3 * 1024;

/** Header fields by lower-case name. */
export type Headers = Readonly<Record<string, string | readonly string[] | undefined>>;

/** A cached response. The cache never reads the body; its type is known to the cache's user alone. */
export type CachedResponse = {
  readonly key: string;
  /** The service whose origin sent the response. */
  readonly service: string;
  readonly status: number;
  readonly headers: Headers;
  readonly body: unknown;
  readonly sizeBytes: number;
  readonly tags: readonly string[];
  /** The request header fields that the response varies by, with the values of its own request. */
  readonly vary: Readonly<Record<string, string>>;
  /** When the response was stored, in milliseconds of the monotonic clock. */
  readonly storedAt: number;
  /** Until when the response is fresh, in milliseconds of the monotonic clock. */
  readonly freshUntil: number;
  /** The age of the response when it was stored, in seconds. */
  readonly initialAgeSeconds: number;
};

/** A purge and the time at which it was applied. */
export type AppliedPurge = {
  readonly objects: readonly string[];
  readonly tags: readonly string[];
  readonly at: number;
};

/** The state of a cache. */
export type CacheState = {
  /** Cached responses by key, least recently used first. */
  readonly copies: OrderedMap<string, CachedResponse>;
  readonly byTag: ImmutableMap<string, ImmutableSet<string>>;
  /** The size of all bodies, in bytes. */
  readonly bytes: number;
  readonly purges: readonly AppliedPurge[];
  /** When each object and each tag was purged within the retention time, oldest first. */
  readonly purgedAt: ImmutableMap<string, readonly number[]>;
};

/**
 * Freezes the library's clock, because this module computes ages itself, from a clock that does not
 * jump.
 */
class FrozenClockPolicy extends CachePolicy {
  now(): number {
    return 0;
  }
}

const textOf = (headers: Headers, name: string): string => {
  const value = headers[name];
  return value === undefined ? '' : typeof value === 'string' ? value : value.join(',');
};

const flatten = (headers: Headers): Record<string, string> =>
  Object.fromEntries(Object.keys(headers).map((name) => [name, textOf(headers, name)]));

const evict = (state: CacheState, key: string): CacheState => {
  const copy = state.copies.get(key);
  if (copy === undefined) return state;
  const byTag = copy.tags.reduce((map, tag) => {
    const keys = (map.get(tag) ?? ImmutableSet<string>()).delete(key);
    return keys.isEmpty() ? map.delete(tag) : map.set(tag, keys);
  }, state.byTag);
  return { ...state, copies: state.copies.delete(key), byTag, bytes: state.bytes - copy.sizeBytes };
};

/** The operations of the cache; all of them are pure. */
export const Cache = {
  empty: {
    copies: OrderedMap<string, CachedResponse>(),
    byTag: ImmutableMap<string, ImmutableSet<string>>(),
    bytes: 0,
    purges: [],
    purgedAt: ImmutableMap<string, readonly number[]>(),
  } as CacheState,

  /** The cache key of an object. @example Cache.key('A.example:80', '/x') // 'a.example/x' */
  key: (host: string, target: string): string =>
    `${host.toLowerCase().replace(/:\d+$/, '')}${target}`,

  /** Splits a key into host and target. @example Cache.splitKey('a.example/x') // ['a.example', '/x'] */
  splitKey: (key: string): readonly [host: string, target: string] => {
    const slash = key.indexOf('/');
    return [key.slice(0, slash), key.slice(slash)];
  },

  /** The key of an object named in a purge. @example Cache.keyOfPurgedUrl('http://a.example/x') // 'a.example/x' */
  keyOfPurgedUrl: (object: string): string => {
    const withoutScheme = object.replace(/^https?:\/\//, '');
    const slash = withoutScheme.indexOf('/');
    return slash < 0
      ? Cache.key(withoutScheme, '/')
      : Cache.key(withoutScheme.slice(0, slash), withoutScheme.slice(slash));
  },

  /**
   * The cache tags in a response header, each once. Origins separate tags by spaces or by commas, and
   * a comma may belong to a tag: a word that contains commas counts as a whole and in its parts, so
   * that no purge misses it.
   *
   * @example
   * Cache.tagsOf({ 'surrogate-key': 'a b,c' }, 'surrogate-key') // ['a', 'b,c', 'b', 'c']
   */
  tagsOf: (headers: Headers, name: string): readonly string[] => {
    const words = textOf(headers, name)
      .split(/\s+/)
      .filter((word) => /[^,]/.test(word));
    return [...new Set(words.flatMap((word) => [word, ...word.split(',')]))].filter(
      (tag) => tag !== '',
    );
  },

  /**
   * How long a response may be cached under RFC 9111, in milliseconds; 0 if it may not be cached.
   * The duration of the attempt counts as age.
   *
   * @example
   * Cache.freshnessLifetimeMs({ method: 'GET', url: '/', headers: {} }, { status: 200, headers: { 'cache-control': 'max-age=60' } }, 100) // 59_900
   */
  freshnessLifetimeMs: (
    request: { readonly method: string; readonly url: string; readonly headers: Headers },
    response: { readonly status: number; readonly headers: Headers },
    attemptMs: number,
  ): number => {
    const policy = new FrozenClockPolicy(
      { method: request.method, url: request.url, headers: flatten(request.headers) },
      { status: response.status, headers: flatten(response.headers) },
      { shared: true, cacheHeuristic: 0 },
    );
    return policy.storable() ? Math.max(0, policy.timeToLive() - attemptMs) : 0;
  },

  /**
   * The request's values of the header fields that a response varies by.
   *
   * @example
   * Cache.varyValuesOf({ vary: 'accept' }, { accept: 'a' }) // { accept: 'a' }
   */
  varyValuesOf: (response: Headers, request: Headers): Readonly<Record<string, string>> =>
    Object.fromEntries(
      textOf(response, 'vary')
        .split(',')
        .map((name) => name.trim().toLowerCase())
        .filter((name) => name !== '')
        .map((name) => [name, textOf(request, name)]),
    ),

  /** Finds a fresh cached response that matches the request. @example Cache.find(state, 'a.example/x', {}, 5) */
  find: (
    state: CacheState,
    key: string,
    request: Headers,
    now: number,
  ): CachedResponse | undefined => {
    const copy = state.copies.get(key);
    if (copy === undefined || now >= copy.freshUntil) return undefined;
    return Object.entries(copy.vary).every(([name, value]) => textOf(request, name) === value)
      ? copy
      : undefined;
  },

  /** Marks a cached response as most recently used. @example Cache.touch(state, 'a.example/x') */
  touch: (state: CacheState, key: string): CacheState => {
    const copy = state.copies.get(key);
    return copy === undefined
      ? state
      : { ...state, copies: state.copies.delete(key).set(key, copy) };
  },

  /** The memory that the cache takes, in bytes. @example Cache.memoryBytes(Cache.empty) // 0 */
  memoryBytes: ({ bytes, copies }: CacheState): number => bytes + copies.size * copyOverheadBytes,

  /**
   * Stores a response, and evicts the least recently used ones while the cache takes more memory
   * than its maximum.
   *
   * @example
   * Cache.keep(state, copy)
   */
  keep: (
    state: CacheState,
    copy: CachedResponse,
    maxBytes: number = defaultMaxCacheBytes,
  ): CacheState => {
    let next = evict(state, copy.key);
    next = {
      ...next,
      copies: next.copies.set(copy.key, copy),
      byTag: copy.tags.reduce(
        (map, tag) => map.set(tag, (map.get(tag) ?? ImmutableSet<string>()).add(copy.key)),
        next.byTag,
      ),
      bytes: next.bytes + copy.sizeBytes,
    };
    while (Cache.memoryBytes(next) > maxBytes) {
      const oldest = next.copies.keySeq().first();
      if (oldest === undefined) break;
      next = evict(next, oldest);
    }
    return next;
  },

  /**
   * When the first purge of an object, or of one of its tags, at or after `since` was applied; null
   * if there was none.
   *
   * @example
   * Cache.firstPurgeSince(state, 'a.example/x', [], 5)
   */
  firstPurgeSince: (
    state: CacheState,
    key: string,
    tags: readonly string[],
    since: number,
  ): number | null => {
    const firstAt = Math.min(
      ...[`object ${key}`, ...tags.map((tag) => `tag ${tag}`)].map(
        (name) => state.purgedAt.get(name)?.find((time) => time >= since) ?? Infinity,
      ),
    );
    return firstAt === Infinity ? null : firstAt;
  },

  /**
   * Removes the purged objects and every object with a purged tag. Remembers the purge, so that
   * fetches in flight don't store a response from before it.
   *
   * @example
   * Cache.purge(state, { objects: [], tags: ['t'] }, 5)
   */
  purge: (
    state: CacheState,
    purge: { readonly objects: readonly string[]; readonly tags: readonly string[] },
    now: number,
  ): CacheState => {
    const objects = purge.objects.map(Cache.keyOfPurgedUrl);
    const keys = [...objects, ...purge.tags.flatMap((tag) => [...(state.byTag.get(tag) ?? [])])];
    const namesOf = (applied: AppliedPurge): readonly string[] => [
      ...applied.objects.map((key) => `object ${key}`),
      ...applied.tags.map((tag) => `tag ${tag}`),
    ];
    const added: AppliedPurge = { objects, tags: purge.tags, at: now };
    const expired = state.purges.filter((past) => now - past.at >= purgeRetentionMs);
    return {
      ...keys.reduce(evict, state),
      purges: [
        ...(expired.length === 0 ? state.purges : state.purges.slice(expired.length)),
        added,
      ],
      purgedAt: state.purgedAt.withMutations((map) => {
        for (const past of expired)
          for (const name of namesOf(past)) {
            const remaining = (map.get(name) ?? []).filter((time) => time > past.at);
            if (remaining.length === 0) map.delete(name);
            else map.set(name, remaining);
          }
        for (const name of namesOf(added)) map.set(name, [...(map.get(name) ?? []), now]);
      }),
    };
  },

  /** Removes all cached responses. @example Cache.flush(state).bytes // 0 */
  flush: (state: CacheState): CacheState => ({
    ...Cache.empty,
    purges: state.purges,
    purgedAt: state.purgedAt,
  }),

  /** Evicts the cached responses that match a condition. @example Cache.evictWhere(state, (copy) => now >= copy.freshUntil) */
  evictWhere: (state: CacheState, shouldEvict: (copy: CachedResponse) => boolean): CacheState =>
    state.copies.filter(shouldEvict).keySeq().toArray().reduce(evict, state),
} as const;
