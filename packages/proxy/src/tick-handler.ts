/**
 * What the clock brings about: attempts past their deadline, hedges beside silent ones, requests
 * that wait for their turn.
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
 * ms. An attempt is silent after a few times what its origin usually takes, but not before this.
 */
const minSilenceMs = 60;

/**
 * ms. An origin with an attempt under way this long, and a few times its usual time, and nothing
 * heard since is set aside.
 */
const minStallMs = 300;

/**
 * ms. In a fleet of several regions, a proxy without a lease this long drops its copies: a
 * policy it can't know of may have moved their homes. With the lease this stays under the
 * brief's 2 s; a shorter loss, which a few lost messages bring, costs no copies.
 */
export const cacheWithoutLeaseMs = 300;

/**
 * share of a request's time that is waited before a second attempt beside a silent one, at most.
 */
const hedgeAfterShare = 0.4;

/**
 * times an origin's usual time after which an attempt counts as silent, or the origin as
 * stalled.
 */
const silenceFactor = 3;

/**  */
const stallFactor = 4;

/**
 * ms after which an attempt counts as silent: a few times what its other end usually takes, and
 * early enough for a second one.
 */
const hedgeDelayMs = (state: ProxyState, request: ProxyRequest): number => {
  const rows = (state.feed?.origins ?? []).filter((row) => row.service === request.service);
  const mean = meanResponseMsOf(state, rows);
  const to = request.attempts.find((attempt) => attempt.result === null)?.to.id;
  const row = rows.find((each) => originIdOf(each) === to);
  const met = row === undefined ? mean : expectedResponseMs(state, row, mean);
  const usual = met > 0 ? met : (request.route.targetMs ?? 0) * hedgeAfterShare;
  return Math.min(
    Math.max(minSilenceMs, silenceFactor * usual),
    hedgeAfterShare * (request.deadlineAt - request.arrivedAt),
  );
};

/**
 * Looks after one request's attempts that are under way: those over their limit, stalled origins,
 * and a second attempt beside a silent one.
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
    const standing = transition.state.originHealth[attempt.to.id];
    const heard = standing !== undefined && standing.lastResponseAt >= attempt.openedAt;
    if (
      !heard &&
      now - attempt.openedAt > stallFactor * (standing?.meanResponseMs ?? 0) &&
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
    isLeaseExpired(transition)
  )
    return;
  const may = mayRetry(transition, current);
  if (
    !may ||
    !current.isIdempotent ||
    current.attempts.filter((attempt) => attempt.result === null).length !== 1
  )
    return;
  if (
    !shouldHedge({
      safe: current.isIdempotent,
      attempts: current.attempts,
      now,
      limitAt: current.deadlineAt,
      hasRetryBudget: may,
      hedgeDelayMs: hedgeDelayMs(transition.state, current),
    })
  )
    return;
  const given = applyCurrentPolicy(transition, current);
  if (given === null) return;
  if (!isHomeRegion(given.route.homes, transition.state.self.region)) {
    const [peer] = given.clientRequest.via === null ? allowedPeers(transition.state, given) : [];
    if (peer !== undefined) {
      count(transition, 'hedged');
      openAttempt(transition, given, { kind: 'peer', row: peer });
    }
    return;
  }
  const ranked = rankOrigins(
    transition.state,
    given,
    transition.state.meanReplyBytes[given.route.name] ?? 0,
  ).filter(
    (row) =>
      !given.attempts.some((attempt) => attempt.to.id === originIdOf(row)) &&
      (transition.state.inFlightCounts[originIdOf(row)] ?? 0) <
        maxConcurrencyOf(transition.state, row),
  );
  const [row] = ranked;
  if (
    row === undefined ||
    !takeToken(
      transition,
      `service/${given.service}`,
      transition.state.feed?.slices[given.service] ?? 0,
    )
  )
    return;
  if (!takeToken(transition, `instance/${originIdOf(row)}`, row.rate)) {
    returnToken(transition, `service/${given.service}`);
    return;
  }
  count(transition, 'hedged');
  openAttempt(transition, given, { kind: 'origin', row });
};

/** Comes many times a second: time-outs, hedges, queues, copies to be dropped. */
export const tick = (transition: Transition): void => {
  const { hasRemotePeers: abroad, now, leaseUntil: lease, cache } = transition.state;
  if (abroad && now - lease > cacheWithoutLeaseMs && cache.copies.size > 0) {
    update(transition, { cache: Cache.flush(cache) });
    log(transition, 'copies.flushed', { why: 'homes may have moved' });
  }
  for (const request of Object.values(transition.state.requests)) {
    if (transition.state.requests[request.id] === undefined) continue;
    if (request.phase === 'holding') {
      // Under a newer policy it may be another's to serve, or another service's.
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
