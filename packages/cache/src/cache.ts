/** The shared cache of a proxy: what is kept, and for how long. */

import CachePolicy from 'http-cache-semantics';
import { Map as Table, OrderedMap, Set as Group } from 'immutable';

/**
 * ms. Purges are remembered this long: as long as the journal keeps them, so that an answer that
 * was fetched before a purge is not kept after it.
 */
export const purgeRetentionMs = 60_000;

/** bytes. All copies of one proxy. */
export const maxCacheBytes = 256 * 1024 * 1024;

export type Headers = Readonly<Record<string, string | readonly string[] | undefined>>;

/** A kept answer. The body is only carried; who carries it knows what it is. */
export type Copy = {
  readonly key: string;
  /** The service that it came from. */
  readonly service: string;
  readonly status: number;
  readonly headers: Headers;
  readonly body: unknown;
  readonly sizeBytes: number;
  readonly tags: readonly string[];
  /** Request fields that the answer varies by, with the values it was made for. */
  readonly vary: Readonly<Record<string, string>>;
  /** ms, monotonic: taken at, and fresh until. */
  readonly storedAt: number;
  readonly freshUntil: number;
  /** s. Age that it had when it was taken. */
  readonly initialAgeSeconds: number;
};

/** A purge that was applied, and when. */
export type Purged = {
  readonly objects: readonly string[];
  readonly tags: readonly string[];
  readonly at: number;
};

export type CacheState = {
  /** Least lately used first. */
  readonly copies: OrderedMap<string, Copy>;
  readonly byTag: Table<string, Group<string>>;
  readonly bytes: number;
  readonly purges: readonly Purged[];
  /** When each object and each tag was purged lately, oldest first. */
  readonly purgedAt: Table<string, readonly number[]>;
};

/** Time stands still inside the library: ages are counted here, on a clock that does not jump. */
class StillPolicy extends CachePolicy {
  now(): number {
    return 0;
  }
}

const textOf = (headers: Headers, name: string): string => {
  const value = headers[name];
  return value === undefined ? '' : typeof value === 'string' ? value : value.join(',');
};

const plain = (headers: Headers): Record<string, string> =>
  Object.fromEntries(Object.keys(headers).map((name) => [name, textOf(headers, name)]));

const drop = (state: CacheState, key: string): CacheState => {
  const copy = state.copies.get(key);
  if (copy === undefined) return state;
  const byTag = copy.tags.reduce((table, tag) => {
    const group = (table.get(tag) ?? Group<string>()).delete(key);
    return group.isEmpty() ? table.delete(tag) : table.set(tag, group);
  }, state.byTag);
  return { ...state, copies: state.copies.delete(key), byTag, bytes: state.bytes - copy.sizeBytes };
};

export const Cache = {
  empty: {
    copies: OrderedMap<string, Copy>(),
    byTag: Table<string, Group<string>>(),
    bytes: 0,
    purges: [],
    purgedAt: Table<string, readonly number[]>(),
  } as CacheState,

  /** The key of an object. @example Cache.key('A.example:80', '/x') // 'a.example/x' */
  key: (host: string, target: string): string =>
    `${host.toLowerCase().replace(/:\d+$/, '')}${target}`,

  /** The host and target of a key. @example Cache.place('a.example/x') // ['a.example', '/x'] */
  place: (key: string): readonly [host: string, target: string] => {
    const cut = key.indexOf('/');
    return [key.slice(0, cut), key.slice(cut)];
  },

  /** The key that a purge means. @example Cache.purgeKey('http://a.example/x') // 'a.example/x' */
  keyOfPurgedUrl: (object: string): string => {
    const bare = object.replace(/^https?:\/\//, '');
    const cut = bare.indexOf('/');
    return cut < 0 ? Cache.key(bare, '/') : Cache.key(bare.slice(0, cut), bare.slice(cut));
  },

  /** @example Cache.tags({ 'surrogate-key': 'a b' }, 'surrogate-key') // ['a', 'b'] */
  tags: (headers: Headers, name: string): readonly string[] =>
    textOf(headers, name)
      .split(/[\s,]+/)
      .filter((tag) => tag !== ''),

  /**
   * How long an answer may be kept, by RFC 9111; 0 where it may not. The attempt's own time is age.
   *
   * @example
   * Cache.life({ method: 'GET', url: '/', headers: {} }, { status: 200, headers: { 'cache-control': 'max-age=60' } }, 100) // 59_900
   */
  life: (
    request: { readonly method: string; readonly url: string; readonly headers: Headers },
    answer: { readonly status: number; readonly headers: Headers },
    attemptMs: number,
  ): number => {
    const policy = new StillPolicy(
      { method: request.method, url: request.url, headers: plain(request.headers) },
      { status: answer.status, headers: plain(answer.headers) },
      { shared: true, cacheHeuristic: 0 },
    );
    return policy.storable() ? Math.max(0, policy.timeToLive() - attemptMs) : 0;
  },

  /** The fields that an answer varies by, as this request had them. @example Cache.vary({ vary: 'accept' }, { accept: 'a' }) // { accept: 'a' } */
  vary: (answer: Headers, request: Headers): Readonly<Record<string, string>> =>
    Object.fromEntries(
      textOf(answer, 'vary')
        .split(',')
        .map((name) => name.trim().toLowerCase())
        .filter((name) => name !== '')
        .map((name) => [name, textOf(request, name)]),
    ),

  /** A fresh copy that fits the request. @example Cache.find(state, 'a.example/x', {}, 5) */
  find: (state: CacheState, key: string, request: Headers, now: number): Copy | undefined => {
    const copy = state.copies.get(key);
    if (copy === undefined || now >= copy.freshUntil) return undefined;
    return Object.entries(copy.vary).every(([name, value]) => textOf(request, name) === value)
      ? copy
      : undefined;
  },

  /** Marks a copy as just used. @example Cache.touch(state, 'a.example/x') */
  touch: (state: CacheState, key: string): CacheState => {
    const copy = state.copies.get(key);
    return copy === undefined
      ? state
      : { ...state, copies: state.copies.delete(key).set(key, copy) };
  },

  /** Keeps a copy, and lets the least lately used go when memory is full. @example Cache.keep(state, copy) */
  keep: (state: CacheState, copy: Copy, most: number = maxCacheBytes): CacheState => {
    let next = drop(state, copy.key);
    next = {
      ...next,
      copies: next.copies.set(copy.key, copy),
      byTag: copy.tags.reduce(
        (table, tag) => table.set(tag, (table.get(tag) ?? Group<string>()).add(copy.key)),
        next.byTag,
      ),
      bytes: next.bytes + copy.sizeBytes,
    };
    while (next.bytes > most) {
      const oldest = next.copies.keySeq().first();
      if (oldest === undefined) break;
      next = drop(next, oldest);
    }
    return next;
  },

  /** Whether a purge that came after `since` means this object. @example Cache.purgedSince(state, 'a.example/x', [], 5) */
  firstPurgeSince: (
    state: CacheState,
    key: string,
    tags: readonly string[],
    since: number,
  ): number | null => {
    const first = Math.min(
      ...[`object ${key}`, ...tags.map((tag) => `tag ${tag}`)].map(
        (name) => state.purgedAt.get(name)?.find((at) => at >= since) ?? Infinity,
      ),
    );
    return first === Infinity ? null : first;
  },

  /** Takes objects and tagged groups out, and remembers it for fetches under way. @example Cache.purge(state, { objects: [], tags: ['t'] }, 5) */
  purge: (
    state: CacheState,
    purge: { readonly objects: readonly string[]; readonly tags: readonly string[] },
    now: number,
  ): CacheState => {
    const objects = purge.objects.map(Cache.keyOfPurgedUrl);
    const keys = [...objects, ...purge.tags.flatMap((tag) => [...(state.byTag.get(tag) ?? [])])];
    const namesOf = (each: Purged): readonly string[] => [
      ...each.objects.map((key) => `object ${key}`),
      ...each.tags.map((tag) => `tag ${tag}`),
    ];
    const added: Purged = { objects, tags: purge.tags, at: now };
    const old = state.purges.filter((each) => now - each.at >= purgeRetentionMs);
    return {
      ...keys.reduce(drop, state),
      purges: [...(old.length === 0 ? state.purges : state.purges.slice(old.length)), added],
      purgedAt: state.purgedAt.withMutations((table) => {
        for (const each of old)
          for (const name of namesOf(each)) {
            const left = (table.get(name) ?? []).filter((at) => at > each.at);
            if (left.length === 0) table.delete(name);
            else table.set(name, left);
          }
        for (const name of namesOf(added)) table.set(name, [...(table.get(name) ?? []), now]);
      }),
    };
  },

  /** Takes everything out. @example Cache.flush(state).bytes // 0 */
  flush: (state: CacheState): CacheState => ({
    ...Cache.empty,
    purges: state.purges,
    purgedAt: state.purgedAt,
  }),

  /** Drops what is no longer fit. @example Cache.dropWhere(state, (copy) => now >= copy.freshUntil) */
  evictWhere: (state: CacheState, unfit: (copy: Copy) => boolean): CacheState =>
    state.copies.filter(unfit).keySeq().toArray().reduce(drop, state),
} as const;
