/** Applies the agent's feed: the policy, quota allocations and peers in force, purges, and the lease. */
import type { Feed } from '@reedyard/agent';
import { Cache, purgeRetentionMs } from '@reedyard/cache';
import { Routes } from '@reedyard/schemas';
import { ownersByRouteOf } from '@reedyard/server-selection';
import { copyExpiresAtMs } from './request-rules.js';
import { log, update, type Transition } from './state.js';

/**
 * Applies a new feed: lease, policy, endpoints, routing table and purges. Ignores it entirely if its
 * policy is older than the current one.
 */
export const applyFeed = (transition: Transition, feed: Feed, askedAt: number): void => {
  const { state } = transition;
  const policy = feed.policy ?? state.policy;
  if (policy !== null && policy.revision < (state.policy?.revision ?? 0)) {
    log(transition, 'policy.older', { revision: policy.revision });
    return;
  }
  const shouldFlush =
    state.life !== '' &&
    (feed.life !== state.life ||
      feed.flushes !== state.cacheFlushCount ||
      askedAt - state.feedRequestedAt > purgeRetentionMs / 2);
  if (shouldFlush)
    log(transition, 'copies.flushed', {
      why: feed.life !== state.life ? 'agent restarted' : 'purges may have been missed',
    });
  let cache = shouldFlush ? Cache.flush(state.cache) : state.cache;
  for (const { purge } of feed.purges) cache = Cache.purge(cache, purge, state.now);
  const routes =
    policy === state.policy || policy === null
      ? state.routes
      : Routes.table(policy.document.routes);
  if (policy !== state.policy) {
    log(transition, 'policy.in-force', { revision: policy?.revision ?? 0 });
    const table = routes;
    cache = Cache.evictWhere(
      cache,
      (copy) =>
        state.now >= copyExpiresAtMs(Routes.find(table, ...Cache.splitKey(copy.key)), state, copy),
    );
  }
  const provenLeaseMs = feed.provenLeaseMs ?? feed.leaseMs;
  const isEvacuated = feed.emptied.includes(state.self.zone);
  update(transition, {
    ownersByRoute:
      feed.split === state.feed?.split ? state.ownersByRoute : ownersByRouteOf(feed.split),
    feed: { ...feed, policy: null, purges: [] },
    life: feed.life,
    cacheFlushCount: feed.flushes,
    feedRequestedAt: askedAt,
    purgeSeq: feed.purgeSeq,
    cache,
    leaseUntil:
      feed.leaseMs > 0 ? Math.max(state.leaseUntil, askedAt + feed.leaseMs) : state.leaseUntil,
    provenUntil:
      provenLeaseMs > 0 ? Math.max(state.provenUntil, askedAt + provenLeaseMs) : state.provenUntil,
    policy,
    routes,
    hasRemotePeers:
      state.hasRemotePeers || feed.peers.some((peer) => peer.region !== state.self.region),
    evacuatedAt: isEvacuated ? (state.evacuatedAt ?? state.now) : null,
    // No request may join a fetch that began before a purge or under an older policy.
    fetches:
      feed.purges.length > 0 || shouldFlush || policy !== state.policy
        ? Object.fromEntries(
            Object.entries(state.fetches).map(([key, fetch]) => [
              key,
              { ...fetch, isClosed: true },
            ]),
          )
        : state.fetches,
  });
};
