/** Records how an attempt ended, and decides the next step of its request from its attempts alone. */
import {
  type Attempt,
  type AttemptResult,
  decideNextStep,
  outcomeOf,
  type SendProgress,
} from '@reedyard/attempts';
import { Cache, type CachedResponse } from '@reedyard/cache';
import { Routes } from '@reedyard/schemas';
import {
  consumedAttemptsHeaders,
  consumedAttemptsOf,
  mayRetry,
  remainingAttempts,
} from './attempt-budget.js';
import {
  ejectEndpoint,
  fullOriginPauseMs,
  hasRetryBudget,
  pauseEndpoint,
  peerWithoutLeasePauseMs,
  recordResponse,
} from './endpoint-selection.js';
import {
  closeRequest,
  failRequest,
  removeRequest,
  finishFetch,
  isLeaseExpired,
  recordReply,
  settleClaim,
} from './request-completion.js';
import {
  copyExpiresAtMs,
  headerText,
  mayCache,
  isAlwaysCached,
  isOriginGatewayError,
  isUnexecutedRefusal,
  refusalReasonOf,
  serviceOfAttempt,
  rejectionReasonOf,
} from './request-rules.js';
import { responseTimeGain } from './response-times.js';
import { continueRequest } from './serving.js';
import {
  type AttemptResponse,
  count,
  log,
  type ProxyRequest,
  type Transition,
  update,
  updateRequest,
} from './state.js';

/** Records the result of an attempt; undefined if the attempt had ended before. */
export const endAttempt = (
  transition: Transition,
  request: ProxyRequest,
  number: number,
  result: AttemptResult,
): ProxyRequest | undefined => {
  const attempt = request.attempts[number];
  if (attempt === undefined || attempt.result !== null) return undefined;
  const inFlight = (transition.state.inFlightCounts[attempt.to.id] ?? 1) - 1;
  const { [attempt.to.id]: _removed, ...others } = transition.state.inFlightCounts;
  update(transition, {
    inFlightCounts: inFlight > 0 ? { ...others, [attempt.to.id]: inFlight } : others,
  });
  return updateRequest(transition, request.id, {
    attempts: request.attempts.map((other) =>
      other.number === number ? { ...other, result } : other,
    ),
  });
};

const decideNext = (transition: Transition, request: ProxyRequest): void => {
  if (request.phase === 'over') {
    if (request.attempts.every((attempt) => attempt.result !== null))
      removeRequest(transition, request);
    return;
  }
  const { attempts, isIdempotent, deadlineAt } = request;
  const decision = decideNextStep({
    safe: isIdempotent,
    attempts,
    now: transition.state.now,
    requestDeadlineAt: deadlineAt,
    hasRetryBudget: mayRetry(transition, request),
  });
  if (request.hasClientLeft && decision.kind === 'open') {
    failRequest(transition, request, 503, outcomeOf(request.attempts), 'its client left');
    return;
  }
  if (decision.kind === 'open') continueRequest(transition, request);
  else if (decision.kind === 'fail')
    failRequest(transition, request, decision.status, decision.outcome, decision.why);
};

/** Handles a failed attempt: retries or fails the request. */
export const handleAttemptFailure = (
  transition: Transition,
  id: number,
  number: number,
  sent: SendProgress,
  reason: string,
): void => {
  const request = transition.state.requests[id];
  if (request === undefined) return;
  const ended = endAttempt(transition, request, number, { kind: 'failed', sent, why: reason });
  if (ended === undefined) return;
  const endpointId = ended.attempts[number]?.to.id ?? '';
  if (reason !== 'purged' && reason !== 'lease') ejectEndpoint(transition, endpointId);
  count(transition, `attempt-failed.${reason}`);
  log(transition, 'attempt.failed', { id, attempt: number, to: endpointId, sent, why: reason });
  decideNext(transition, ended);
};

/**
 * Passes over a peer that did not run a request: for a short time if it has no lease, until it may
 * have one again, and not at all if it only disagrees about the route of this request.
 */
const passOverPeer = (transition: Transition, id: string, response: AttemptResponse): void => {
  const reason = refusalReasonOf(response);
  if (reason === 'policy') return;
  if (reason === 'lease') pauseEndpoint(transition, id, peerWithoutLeasePauseMs);
  else ejectEndpoint(transition, id);
};

/** Handles a response to an attempt: validates it, then responds to the client, retries, or fails. */
export const handleAttemptResponse = (
  transition: Transition,
  id: number,
  number: number,
  response: AttemptResponse,
): void => {
  const request = transition.state.requests[id];
  const attempt = request?.attempts[number];
  if (request === undefined || attempt === undefined || attempt.result !== null) return;
  const { state } = transition;
  const rejectionReason = rejectionReasonOf(request, number, response, state.routes);
  if (rejectionReason !== null) {
    transition.effects.push({ kind: 'abort-attempt', requestId: id, attempt: number });
    handleAttemptFailure(transition, id, number, 'maybe', rejectionReason);
    return;
  }
  const { isIdempotent } = request;
  const tags = Cache.tagsOf(response.headers, request.route.tagsHeader);
  const isCacheable = mayCache(request.route, request.clientRequest.method);
  const purgedAt = isCacheable
    ? Cache.firstPurgeSince(state.cache, request.key, tags, attempt.openedAt)
    : null;
  // The response may contain an object that was purged during the attempt, and the time within which
  // a purge must take effect is nearly over. Without a lease, this node may not even know of such a
  // purge. A response to a cacheable request that is safe to repeat is then not relayed. All other
  // responses rest on nothing that can change after the attempt was opened.
  const staleReason =
    isCacheable && isIdempotent && isLeaseExpired(transition, request)
      ? 'lease'
      : purgedAt !== null && state.now - purgedAt > 250
        ? 'purged'
        : null;
  if (staleReason !== null && request.phase !== 'over') {
    transition.effects.push({ kind: 'abort-attempt', requestId: id, attempt: number });
    handleAttemptFailure(transition, id, number, 'maybe', staleReason);
    return;
  }
  if (response.originEvidence?.isMisdirected === true) {
    transition.effects.push({ kind: 'abort-attempt', requestId: id, attempt: number });
    handleAttemptFailure(transition, id, number, 'nothing', 'identity');
    return;
  }
  const isProvablyNotRun =
    response.originEvidence?.notRun ?? isUnexecutedRefusal(attempt, response);
  const isRejected =
    isProvablyNotRun ||
    response.status === 408 ||
    response.status === 421 ||
    response.status === 429 ||
    response.status === 502 ||
    response.status === 503 ||
    response.status === 504;
  const mayRetryError =
    isIdempotent &&
    attempt.to.kind === 'origin' &&
    response.status >= 500 &&
    hasRetryBudget(state, request.service) &&
    remainingAttempts(request) > 0 &&
    state.now < request.deadlineAt;
  // For an unsafe request, a rejection is relayed only if evidence shows it to be the origin's own.
  const isFinal =
    (!isRejected ||
      (isIdempotent && response.status === 429 && response.originEvidence === undefined) ||
      isOriginGatewayError(response)) &&
    !mayRetryError;
  const ended = endAttempt(transition, request, number, {
    kind: 'answered',
    status: response.status,
    final: isFinal,
    provablyNotExecuted: isProvablyNotRun,
    consumedAttempts: attempt.to.kind === 'peer' ? consumedAttemptsOf(response) : null,
  });
  if (ended === undefined) return;
  if (!isProvablyNotRun)
    recordResponse(
      transition,
      attempt.to.id,
      state.now - attempt.openedAt,
      response.originEvidence,
    );
  if (attempt.to.kind === 'origin' && isProvablyNotRun)
    pauseEndpoint(transition, attempt.to.id, fullOriginPauseMs);
  // A complete response leaves its connection ready for the next request; others must be aborted.
  const abortIfIncomplete = (): void => {
    if (!response.isComplete)
      transition.effects.push({ kind: 'abort-attempt', requestId: id, attempt: number });
  };
  if (request.phase === 'over') {
    abortIfIncomplete();
    decideNext(transition, ended);
    return;
  }
  if (!isFinal) {
    abortIfIncomplete();
    if (attempt.to.kind === 'peer' && isProvablyNotRun)
      passOverPeer(transition, attempt.to.id, response);
    decideNext(transition, ended);
    return;
  }
  const isFromOrigin = attempt.to.kind === 'origin';
  const attemptMs = state.now - attempt.openedAt;
  if (isFromOrigin) {
    const name = request.route.name;
    const previousMean = state.meanReplyBytes[name];
    update(transition, {
      meanReplyBytes: {
        ...transition.state.meanReplyBytes,
        [name]:
          previousMean === undefined
            ? response.size
            : previousMean + responseTimeGain * (response.size - previousMean),
      },
    });
  }
  if (isFromOrigin) {
    count(transition, 'fetched');
    const { trafficPeriod } = transition.state;
    update(transition, {
      trafficPeriod: {
        ...trafficPeriod,
        attemptMs: trafficPeriod.attemptMs + attemptMs,
        fetched: trafficPeriod.fetched + 1,
      },
    });
  } else count(transition, 'forwarded');
  const copy = isFromOrigin
    ? cachedResponseOf(transition, request, attempt, response, tags, purgedAt)
    : null;
  if (copy !== null) {
    const { cache, self } = transition.state;
    update(transition, { cache: Cache.keep(cache, copy, self.maxCacheBytes) });
  } else if (request.isFetchLeader)
    update(transition, {
      uncacheableKeys: {
        ...Object.fromEntries(
          Object.entries(transition.state.uncacheableKeys).filter(([, until]) => until > state.now),
        ),
        [request.key]: state.now + 5_000,
      },
    });
  settleClaim(transition, ended, response.status < 500 ? 'ran' : 'unknown');
  recordReply(transition, request, response.size, isFromOrigin);
  count(transition, `status.${response.status}`);
  if (!request.hasClientLeft) {
    transition.effects.push({
      kind: 'send-answer',
      requestId: id,
      answer: {
        status: response.status,
        headers: {
          ...response.headers,
          ...consumedAttemptsHeaders(ended),
          ...(request.clientRequest.via === null
            ? {}
            : { 'reedyard-service': isFromOrigin ? serviceOfAttempt(attempt) : request.service }),
          'reedyard-served': isFromOrigin
            ? request.clientRequest.via === null
              ? 'origin'
              : 'peer-origin'
            : 'peer',
          ...(isIdempotent
            ? {}
            : { 'reedyard-outcome': response.status < 500 ? 'ran' : 'unknown' }),
        },
        ...(response.isComplete ? {} : { endBy: request.deadlineAt }),
        body: { kind: 'attempt', answer: response },
      },
    });
  } else abortIfIncomplete();
  closeRequest(transition, ended);
  finishFetch(transition, ended, copy, null);
};

/**
 * The cached response to store for a response; null if it must not be cached. Both the cache rules
 * and the service are checked against the route that is in force now.
 */
const cachedResponseOf = (
  transition: Transition,
  request: ProxyRequest,
  attempt: Attempt,
  response: AttemptResponse,
  tags: readonly string[],
  purgedAt: number | null,
): CachedResponse | null => {
  const { state } = transition;
  if (
    request.clientRequest.method !== 'GET' ||
    !response.isComplete ||
    response.status === 206 ||
    purgedAt !== null
  )
    return null;
  const route = Routes.find(state.routes, request.clientRequest.host, request.clientRequest.target);
  const attemptMs = state.now - attempt.openedAt;
  const freshnessMs =
    route !== undefined && isAlwaysCached(route)
      ? response.status === 200
        ? (route.cache.mostSeconds ?? 0) * 1_000
        : 0
      : Cache.freshnessLifetimeMs(
          {
            method: 'GET',
            url: request.clientRequest.target,
            headers: request.clientRequest.headers,
          },
          response,
          attemptMs,
        );
  const { ['reedyard-attempt']: _attemptId, ...headers } = response.headers;
  const copy: CachedResponse = {
    key: request.key,
    service: serviceOfAttempt(attempt),
    status: response.status,
    headers,
    body: response.body,
    sizeBytes: response.size,
    tags,
    vary: Cache.varyValuesOf(response.headers, request.clientRequest.headers),
    storedAt: state.now,
    freshUntil: state.now + freshnessMs,
    initialAgeSeconds:
      route !== undefined && isAlwaysCached(route)
        ? 0
        : Number(headerText(response.headers, 'age') ?? 0) + attemptMs / 1_000,
  };
  return freshnessMs > 0 && state.now < copyExpiresAtMs(route, state, copy) ? copy : null;
};
