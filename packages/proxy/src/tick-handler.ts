/**
 * Handles the ticks of the proxy: attempts past their timeout, hedges beside unresponsive attempts,
 * queued requests, and cached copies that outlive the lease.
 */
import { shouldHedge } from '@reedyard/attempts';
import { Cache } from '@reedyard/cache';
import { mayRetry } from './attempt-budget.js';
import { handleAttemptFailure } from './attempt-results.js';
import {
  allowedPeers,
  expectedResponseMs,
  isHomeRegion,
  ejectEndpoint,
  meanResponseMsOf,
  originIdOf,
  rankOrigins,
  maxConcurrencyOf,
  returnToken,
  takeToken,
} from './endpoint-selection.js';
import { failRequest, isLeaseExpired, applyCurrentPolicy } from './request-completion.js';
import { attemptToOrigin, openAttempt, continueRequest } from './serving.js';
import {
  count,
  log,
  type ProxyRequest,
  type ProxyState,
  type Transition,
  update,
} from './state.js';

/**
 * The minimum hedge delay, in milliseconds. An attempt counts as unresponsive after a multiple of its
 * origin's expected response time, but not earlier.
 */
const minHedgeDelayMs = 60;

/**
 * The minimum time before an origin counts as stalled, in milliseconds. An origin is ejected once an
 * attempt has been in flight for this time and for a multiple of the origin's mean response time,
 * and no response has arrived since the attempt was opened.
 */
const minStallMs = 300;

/**
 * How long a proxy in a fleet of several regions keeps its cached copies without a lease, in
 * milliseconds. Then it drops them, since a policy that it does not know of may have changed their
 * home regions. Lease duration and this time together stay below the required 2 s. A shorter loss of
 * the lease, which a few lost messages can cause, drops no copies.
 */
export const cacheWithoutLeaseMs = 300;

/** The hedge delay is at most this share of the time between a request's arrival and its deadline. */
const maxHedgeDelayShare = 0.4;

/** An attempt counts as unresponsive after this multiple of its origin's expected response time. */
const hedgeDelayFactor = 3;

/** An origin counts as stalled after this multiple of its mean response time. */
const stallFactor = 4;

/**
 * After how long an attempt counts as unresponsive, in milliseconds: a multiple of the expected
 * response time, but early enough for a second attempt.
 */
const hedgeDelayMsOf = (state: ProxyState, request: ProxyRequest): number => {
  const origins = (state.feed?.origins ?? []).filter(
    (origin) => origin.service === request.service,
  );
  const meanMs = meanResponseMsOf(state, origins);
  const targetId = request.attempts.find((attempt) => attempt.result === null)?.to.id;
  const origin = origins.find((candidate) => originIdOf(candidate) === targetId);
  const measuredMs = origin === undefined ? meanMs : expectedResponseMs(state, origin, meanMs);
  const expectedMs =
    measuredMs > 0 ? measuredMs : (request.route.targetMs ?? 0) * maxHedgeDelayShare;
  return Math.min(
    Math.max(minHedgeDelayMs, hedgeDelayFactor * expectedMs),
    maxHedgeDelayShare * (request.deadlineAt - request.arrivedAt),
  );
};

/**
 * Checks the attempts of one request that are in flight: fails those past their timeout, ejects
 * stalled origins, and opens a hedge beside an unresponsive attempt.
 */
const checkAttempts = (transition: Transition, request: ProxyRequest): void => {
  const { now } = transition.state;
  for (const attempt of request.attempts) {
    if (attempt.result !== null) continue;
    if (now >= attempt.timeoutAt) {
      transition.effects.push({
        kind: 'abort-attempt',
        requestId: request.id,
        attempt: attempt.number,
      });
      handleAttemptFailure(transition, request.id, attempt.number, 'maybe', 'limit');
      continue;
    }
    if (now - attempt.openedAt < minStallMs) continue;
    const health = transition.state.originHealth[attempt.to.id];
    const hasResponded = health !== undefined && health.lastResponseAt >= attempt.openedAt;
    if (
      !hasResponded &&
      now - attempt.openedAt > stallFactor * (health?.meanResponseMs ?? 0) &&
      (transition.state.ejectedUntil[attempt.to.id] ?? 0) <= now
    ) {
      count(transition, 'stalled');
      ejectEndpoint(transition, attempt.to.id);
    }
  }
  const current = transition.state.requests[request.id];
  if (
    current === undefined ||
    current.phase !== 'attempt' ||
    current.hasClientLeft ||
    isLeaseExpired(transition, current)
  )
    return;
  const hasRetryBudget = mayRetry(transition, current);
  if (
    !hasRetryBudget ||
    !current.isIdempotent ||
    current.attempts.filter((attempt) => attempt.result === null).length !== 1
  )
    return;
  if (
    !shouldHedge({
      safe: current.isIdempotent,
      attempts: current.attempts,
      now,
      requestDeadlineAt: current.deadlineAt,
      hasRetryBudget,
      hedgeDelayMs: hedgeDelayMsOf(transition.state, current),
    })
  )
    return;
  const updated = applyCurrentPolicy(transition, current);
  if (updated === null) return;
  if (!isHomeRegion(updated.route.homes, transition.state.self.region)) {
    const [peer] =
      updated.clientRequest.via === null ? allowedPeers(transition.state, updated) : [];
    if (peer !== undefined) {
      count(transition, 'hedged');
      openAttempt(transition, updated, { kind: 'peer', row: peer });
    }
    return;
  }
  const ranked = rankOrigins(
    transition.state,
    updated,
    transition.state.meanReplyBytes[updated.route.name] ?? 0,
  ).filter(
    (candidate) =>
      !updated.attempts.some((attempt) => attempt.to.id === originIdOf(candidate)) &&
      (transition.state.inFlightCounts[originIdOf(candidate)] ?? 0) <
        maxConcurrencyOf(transition.state, candidate),
  );
  const [origin] = ranked;
  if (
    origin === undefined ||
    !takeToken(
      transition,
      `service/${updated.service}`,
      transition.state.feed?.slices[updated.service] ?? 0,
    )
  )
    return;
  if (!takeToken(transition, `instance/${originIdOf(origin)}`, origin.rate)) {
    returnToken(transition, `service/${updated.service}`);
    return;
  }
  count(transition, 'hedged');
  openAttempt(transition, updated, { kind: 'origin', row: origin });
};

/** Handles a tick: timeouts, hedges, queued requests, and dropping cached copies without a lease. */
export const tick = (transition: Transition): void => {
  const { hasRemotePeers, now, leaseUntil, cache } = transition.state;
  if (hasRemotePeers && now - leaseUntil > cacheWithoutLeaseMs && cache.copies.size > 0) {
    update(transition, { cache: Cache.flush(cache) });
    log(transition, 'copies.flushed', { why: 'home regions may have changed' });
  }
  for (const request of Object.values(transition.state.requests)) {
    if (transition.state.requests[request.id] === undefined) continue;
    if (request.phase === 'holding') {
      // Under a newer policy, another node or another service may have to serve the request.
      if (request.revision !== (transition.state.policy?.revision ?? 0))
        continueRequest(transition, request);
      else attemptToOrigin(transition, request);
      continue;
    }
    if (request.phase === 'attempt' || request.phase === 'over') {
      checkAttempts(transition, request);
    } else if (request.phase === 'joined' && transition.state.now >= request.deadlineAt)
      failRequest(transition, request, 504, 'unknown', 'limit');
    else if (request.phase === 'claiming' && transition.state.now >= request.deadlineAt)
      failRequest(transition, request, 503, 'not-run', 'its key could not be claimed in time');
  }
};
