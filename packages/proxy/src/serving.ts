/**
 * Moves a request on: who serves it, a copy, a fetch that it joins, or an attempt of its own. Never
 * opens an attempt without a lease or beyond its budget.
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

/** ms. Default limit of one attempt to an origin. */
export const defaultAttemptTimeoutMs = 4_000;

/** ms. Longest wait in the holding for a quota's next token; past it the answer is 503 at once. */
export const maxQueueWaitMs = 400;

/** ms. Told to callers where another node, or the next instant, may well serve them. */
const retrySoonMs = 100;

/** Opens an attempt at an origin or a peer. */
export const openAttempt = (
  transition: Transition,
  request: ProxyRequest,
  to: AttemptTarget,
): void => {
  if (isLeaseExpired(transition)) {
    failRequest(transition, request, 503, outcomeOf(request.attempts), isolatedNodeDetail);
    return;
  }
  const left = remainingAttempts(request);
  if (left <= 0) {
    failRequest(transition, request, 503, outcomeOf(request.attempts), 'its attempts are used up');
    return;
  }
  const granted = to.kind === 'origin' ? 1 : delegatedAttemptsFor(left);
  const number = request.attempts.length;
  const id = to.kind === 'origin' ? originIdOf(to.row) : to.row.id;
  const attemptLimit = Math.min(
    request.deadlineAt,
    transition.state.now +
      (request.route.limits.attemptMs ?? defaultAttemptTimeoutMs) +
      (to.kind === 'peer' ? maxQueueWaitMs : 0),
  );
  const next = updateRequest(transition, request.id, {
    phase: 'attempt',
    attempts: [
      ...request.attempts,
      {
        number,
        to: { kind: to.kind, id },
        openedAt: transition.state.now,
        timeoutAt: attemptLimit,
        result: null,
        delegatedAttempts: granted,
      },
    ],
  });
  if (next === undefined) return;
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
    timeoutMs: attemptLimit - transition.state.now,
    isCacheable: mayJoinFetch(request) && to.kind === 'origin',
    isIdempotent: request.isIdempotent,
    delegatedAttempts: granted,
    sendBy: transition.state.leaseUntil,
  });
};

/**
 * An attempt at an origin, if the quota has a token now and an instance room; else a short holding,
 * or the final answer at once.
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
      `no instance of ${service} can be reached`,
      retrySoonMs,
    );
    return;
  }
  const rate = transition.state.feed?.slices[service] ?? 0;
  const bucket = `service/${service}`;
  const withRoom = ranked.filter(
    (row) =>
      (transition.state.inFlightCounts[originIdOf(row)] ?? 0) <
      maxConcurrencyOf(transition.state, row),
  );
  if (withRoom.length > 0 && takeToken(transition, bucket, rate)) {
    const chosenRow = withRoom.find((row) =>
      takeToken(transition, `instance/${originIdOf(row)}`, row.rate),
    );
    if (chosenRow !== undefined) {
      openAttempt(transition, request, { kind: 'origin', row: chosenRow });
      return;
    }
    returnToken(transition, bucket);
  }
  const ahead = Object.values(transition.state.requests).filter(
    (each) => each.phase === 'holding' && each.service === service && each.id !== request.id,
  ).length;
  const wait = Math.max(
    tokenWaitMs(transition.state, bucket, rate, ahead),
    Math.min(
      ...ranked.map((row) =>
        tokenWaitMs(transition.state, `instance/${originIdOf(row)}`, row.rate, 0),
      ),
    ),
  );
  const heldAt = request.phase === 'holding' ? request.queuedAt : transition.state.now;
  if (
    transition.state.now + (request.phase === 'holding' ? 0 : wait) - heldAt >
      maxQueueWaitMsOf(request) ||
    transition.state.now >= request.deadlineAt
  ) {
    failRequest(
      transition,
      request,
      503,
      outcomeOf(request.attempts),
      `the share of ${service} is used up`,
      Number.isFinite(wait) ? Math.max(retrySoonMs, wait) : undefined,
    );
    return;
  }
  if (request.phase !== 'holding') {
    count(transition, 'held');
    updateRequest(transition, request.id, { phase: 'holding', queuedAt: heldAt });
  }
};

/** This edge serves: from a copy, by joining a fetch under way, or by an attempt of its own. */
const serveHere = (transition: Transition, request: ProxyRequest): void => {
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
      if (leader !== undefined) fetchHere(transition, leader);
      return;
    }
  }
  fetchHere(transition, request);
};

const want = (transition: Transition, service: string): void => {
  const { demandCounts: wanted } = transition.state;
  update(transition, {
    demandCounts: {
      ...wanted,
      counts: { ...wanted.counts, [service]: (wanted.counts[service] ?? 0) + 1 },
    },
  });
};

const fetchHere = (transition: Transition, request: ProxyRequest): void => {
  want(transition, request.service);
  attemptToOrigin(transition, request);
};

/** First attempt: the policy's draw says who serves. */
export const start = (transition: Transition, given: ProxyRequest): void => {
  const request = applyCurrentPolicy(transition, given);
  if (request === null) return;
  // A copy that lies here costs nothing to reach.
  const here =
    isAlwaysCached(request.route) &&
    Cache.find(
      transition.state.cache,
      request.key,
      request.clientRequest.headers,
      transition.state.now,
    ) !== undefined;
  const server =
    here && isHomeRegion(request.route.homes, transition.state.self.region)
      ? 'self'
      : drawServer(transition.state, request);
  if (server === null) {
    failRequest(transition, request, 503, 'not-run', 'no node that may serve it can be reached');
    return;
  }
  if (server === 'self') {
    serveHere(transition, request);
    return;
  }
  openAttempt(transition, request, { kind: 'peer', row: server });
};

/** A later move: itself where it may, else another peer. */
export const continueRequest = (transition: Transition, given: ProxyRequest): void => {
  const request = applyCurrentPolicy(transition, given);
  if (request === null) return;
  if (isHomeRegion(request.route.homes, transition.state.self.region)) {
    serveHere(transition, request);
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
      'no other node that may serve it can be reached',
    );
  else openAttempt(transition, request, { kind: 'peer', row: peer });
};
