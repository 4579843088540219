/**
 * Serves a request: from the cache, by joining a fetch in flight, or by an attempt at an origin or a
 * peer. Never opens an attempt without a lease or beyond the attempts that the request has left.
 */
import { outcomeOf } from '@reedyard/attempts';
import { Cache } from '@reedyard/cache';
import {
  delegatedAttemptsFor,
  isExemptFromRetryBudget,
  remainingAttempts,
} from './attempt-budget.js';
import {
  allowedPeers,
  isHomeRegion,
  drawServer,
  originIdOf,
  rankOrigins,
  maxConcurrencyOf,
  returnToken,
  spendRetryToken,
  takeToken,
  tokenWaitMs,
} from './endpoint-selection.js';
import {
  respondFromCache,
  failRequest,
  isLeaseExpired,
  leaseEndOf,
  isolatedNodeDetail,
  applyCurrentPolicy,
} from './request-completion.js';
import {
  copyExpiresAtMs,
  mayJoinFetch,
  mayCache,
  isAlwaysCached,
  maxQueueWaitMsOf,
} from './request-rules.js';
import {
  count,
  type ProxyRequest,
  type AttemptTarget,
  type Transition,
  update,
  updateRequest,
} from './state.js';

/** The default timeout of one attempt at an origin, in milliseconds. */
export const defaultAttemptTimeoutMs = 4_000;

/**
 * The maximum time that a request queues for a quota token, in milliseconds. A request that would
 * queue longer immediately gets a 503.
 */
export const maxQueueWaitMs = 400;

/**
 * The retry time sent to clients when another node may serve the request, or this node soon, in
 * milliseconds.
 */
const retrySoonMs = 100;

/** Opens an attempt at an origin or a peer. */
export const openAttempt = (
  transition: Transition,
  request: ProxyRequest,
  to: AttemptTarget,
): void => {
  if (isLeaseExpired(transition, request)) {
    failRequest(transition, request, 503, outcomeOf(request.attempts), isolatedNodeDetail);
    return;
  }
  const remaining = remainingAttempts(request);
  if (remaining <= 0) {
    failRequest(transition, request, 503, outcomeOf(request.attempts), 'it has no attempts left');
    return;
  }
  const granted = to.kind === 'origin' ? 1 : delegatedAttemptsFor(remaining);
  const number = request.attempts.length;
  const id = to.kind === 'origin' ? originIdOf(to.row) : to.row.id;
  const timeoutAt = Math.min(
    request.deadlineAt,
    transition.state.now +
      (request.route.limits.attemptMs ?? defaultAttemptTimeoutMs) +
      (to.kind === 'peer' ? maxQueueWaitMs : 0),
  );
  const updated = updateRequest(transition, request.id, {
    phase: 'attempt',
    attempts: [
      ...request.attempts,
      {
        number,
        to: { kind: to.kind, id },
        openedAt: transition.state.now,
        timeoutAt,
        result: null,
        delegatedAttempts: granted,
      },
    ],
  });
  if (updated === undefined) return;
  if (number > 0) {
    if (!isExemptFromRetryBudget(request)) spendRetryToken(transition, request.service);
    count(transition, 'repeats');
  }
  count(transition, 'attempts', to.kind === 'origin' ? 'attempts.origin' : 'attempts.peer');
  update(transition, {
    inFlightCounts: {
      ...transition.state.inFlightCounts,
      [id]: (transition.state.inFlightCounts[id] ?? 0) + 1,
    },
  });
  transition.effects.push({
    kind: 'send-attempt',
    requestId: request.id,
    attempt: number,
    to,
    clientRequest: request.clientRequest,
    attemptId: `${request.token}-${number}`,
    timeoutMs: timeoutAt - transition.state.now,
    isCacheable: mayJoinFetch(request) && to.kind === 'origin',
    isIdempotent: request.isIdempotent,
    delegatedAttempts: granted,
    service: request.service,
    requiresLease: transition.state.now < transition.state.provenUntil,
    sendBy: leaseEndOf(transition.state, request),
  });
};

/**
 * Opens an attempt at an origin if the quota has a token and an instance has spare capacity. Otherwise
 * queues the request for a short time, or fails it if it would wait too long.
 */
export const attemptToOrigin = (transition: Transition, request: ProxyRequest): void => {
  const { service } = request;
  const ranked = rankOrigins(
    transition.state,
    request,
    transition.state.meanReplyBytes[request.route.name] ?? 0,
  );
  if (ranked.length === 0) {
    failRequest(
      transition,
      request,
      503,
      outcomeOf(request.attempts),
      `no instance of ${service} is available`,
      retrySoonMs,
    );
    return;
  }
  const rate = transition.state.feed?.slices[service] ?? 0;
  const bucket = `service/${service}`;
  const withCapacity = ranked.filter(
    (origin) =>
      (transition.state.inFlightCounts[originIdOf(origin)] ?? 0) <
      maxConcurrencyOf(transition.state, origin),
  );
  if (withCapacity.length > 0 && takeToken(transition, bucket, rate)) {
    const selected = withCapacity.find((origin) =>
      takeToken(transition, `instance/${originIdOf(origin)}`, origin.rate),
    );
    if (selected !== undefined) {
      openAttempt(transition, request, { kind: 'origin', row: selected });
      return;
    }
    returnToken(transition, bucket);
  }
  const queuedAhead = Object.values(transition.state.requests).filter(
    (other) => other.phase === 'holding' && other.service === service && other.id !== request.id,
  ).length;
  const waitMs = Math.max(
    tokenWaitMs(transition.state, bucket, rate, queuedAhead),
    Math.min(
      ...ranked.map((origin) =>
        tokenWaitMs(transition.state, `instance/${originIdOf(origin)}`, origin.rate, 0),
      ),
    ),
  );
  const queuedAt = request.phase === 'holding' ? request.queuedAt : transition.state.now;
  if (
    transition.state.now + (request.phase === 'holding' ? 0 : waitMs) - queuedAt >
      maxQueueWaitMsOf(request) ||
    transition.state.now >= request.deadlineAt
  ) {
    failRequest(
      transition,
      request,
      503,
      outcomeOf(request.attempts),
      `the quota allocation of ${service} is used up`,
      Number.isFinite(waitMs) ? Math.max(retrySoonMs, waitMs) : undefined,
    );
    return;
  }
  if (request.phase !== 'holding') {
    count(transition, 'held');
    updateRequest(transition, request.id, { phase: 'holding', queuedAt });
  }
};

/** Serves a request on this node: from the cache, by joining a fetch in flight, or from an origin. */
const serveLocally = (transition: Transition, request: ProxyRequest): void => {
  if (mayCache(request.route, request.clientRequest.method)) {
    const copy = Cache.find(
      transition.state.cache,
      request.key,
      request.clientRequest.headers,
      transition.state.now,
    );
    if (
      copy !== undefined &&
      transition.state.now < copyExpiresAtMs(request.route, transition.state, copy)
    ) {
      update(transition, { cache: Cache.touch(transition.state.cache, request.key) });
      respondFromCache(transition, request, copy);
      return;
    }
  }
  if (
    mayJoinFetch(request) &&
    request.attempts.length === 0 &&
    (transition.state.uncacheableKeys[request.key] ?? 0) <= transition.state.now
  ) {
    const fetch = transition.state.fetches[request.key];
    if (fetch !== undefined && !fetch.isClosed) {
      updateRequest(transition, request.id, { phase: 'joined' });
      update(transition, {
        fetches: {
          ...transition.state.fetches,
          [request.key]: { ...fetch, waiters: [...fetch.waiters, request.id] },
        },
      });
      count(transition, 'joined');
      return;
    }
    if (fetch === undefined) {
      const leader = updateRequest(transition, request.id, { isFetchLeader: true });
      update(transition, {
        fetches: {
          ...transition.state.fetches,
          [request.key]: { leader: request.id, waiters: [], isClosed: false },
        },
      });
      if (leader !== undefined) fetchFromOrigin(transition, leader);
      return;
    }
  }
  fetchFromOrigin(transition, request);
};

const countDemand = (transition: Transition, service: string): void => {
  const { demandCounts } = transition.state;
  update(transition, {
    demandCounts: {
      ...demandCounts,
      counts: { ...demandCounts.counts, [service]: (demandCounts.counts[service] ?? 0) + 1 },
    },
  });
};

const fetchFromOrigin = (transition: Transition, request: ProxyRequest): void => {
  countDemand(transition, request.service);
  attemptToOrigin(transition, request);
};

/**
 * Starts serving a request: on this node if its cache has a copy, or else on the server drawn from
 * the routing table.
 */
export const startRequest = (transition: Transition, pending: ProxyRequest): void => {
  const request = applyCurrentPolicy(transition, pending);
  if (request === null) return;
  // A copy in this node's own cache costs nothing to reach.
  const hasCopy =
    isAlwaysCached(request.route) &&
    Cache.find(
      transition.state.cache,
      request.key,
      request.clientRequest.headers,
      transition.state.now,
    ) !== undefined;
  const server =
    hasCopy && isHomeRegion(request.route.homes, transition.state.self.region)
      ? 'self'
      : drawServer(transition.state, request);
  if (server === null) {
    failRequest(transition, request, 503, 'not-run', 'no node that may serve it is available');
    return;
  }
  if (server === 'self') {
    serveLocally(transition, request);
    return;
  }
  openAttempt(transition, request, { kind: 'peer', row: server });
};

/**
 * Continues a request after a failed attempt, after the fetch that it joined, or when the policy
 * changed while it was queued: on this node if it is in a home region of the route, or else at a
 * peer.
 */
export const continueRequest = (transition: Transition, pending: ProxyRequest): void => {
  const request = applyCurrentPolicy(transition, pending);
  if (request === null) return;
  if (isHomeRegion(request.route.homes, transition.state.self.region)) {
    serveLocally(transition, request);
    return;
  }
  const peer =
    request.clientRequest.via === null ? allowedPeers(transition.state, request)[0] : undefined;
  if (peer === undefined)
    failRequest(
      transition,
      request,
      503,
      outcomeOf(request.attempts),
      'no other node that may serve it is available',
    );
  else openAttempt(transition, request, { kind: 'peer', row: peer });
};
