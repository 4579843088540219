/**
 * Completes requests: with responses of the proxy itself or from the cache, including the requests
 * that waited for the same fetch.
 */
import { type ClaimState, retryAfterSeconds } from '@reedyard/agent';
import { type Outcome, outcomeOf } from '@reedyard/attempts';
import type { CachedResponse } from '@reedyard/cache';
import { Routes } from '@reedyard/schemas';
import { objectKey } from '@reedyard/server-selection';
import { consumedAttemptsHeaders } from './attempt-budget.js';
import { drawService, isIdempotentRequest } from './endpoint-selection.js';
import {
  deadlineOf,
  headerText,
  mayCache,
  isAlwaysCached,
  type Refusal,
  refusalOf,
} from './request-rules.js';
import { continueRequest } from './serving.js';
import {
  type ClientResponse,
  count,
  log,
  type ProxyRequest,
  type ProxyState,
  type Transition,
  update,
  updateRequest,
} from './state.js';

/** Responds with a problem document of the proxy itself. */
export const sendProblem = (
  transition: Transition,
  id: number,
  status: number,
  title: string,
  detail: string,
  extraHeaders: Readonly<Record<string, string>> = {},
  outcome: Outcome = 'not-run',
  retryMs = 1_000 * retryAfterSeconds,
): void => {
  const isRetryable = status === 502 || status === 503 || status === 504;
  count(transition, `status.${status}`);
  transition.effects.push({
    kind: 'send-answer',
    requestId: id,
    answer: {
      status,
      headers: {
        'reedyard-outcome': outcome,
        ...consumedAttemptsHeaders(transition.state.requests[id]),
        ...(isRetryable ? { 'retry-after': String(Math.ceil(retryMs / 1_000)) } : {}),
        ...extraHeaders,
      },
      ...(isRetryable ? { retryMs } : {}),
      body: { kind: 'problem', title, detail, outcome },
    },
  });
};

/** Reports the outcome of a request to the agent if its idempotency key was claimed. */
export const settleClaim = (
  transition: Transition,
  request: ProxyRequest,
  state: ClaimState,
): void => {
  if (request.claimKey === null) return;
  transition.effects.push({
    kind: 'query-agent',
    requestId: request.id,
    query: { kind: 'settle', key: request.claimKey, token: request.token, state },
  });
};

/** Removes a request from the state. */
export const removeRequest = (transition: Transition, request: ProxyRequest): void => {
  const { [request.id]: _removed, ...rest } = transition.state.requests;
  update(transition, { requests: rest });
};

/**
 * Closes a request after its final response. Other attempts that are still in flight are allowed to
 * finish, since aborting them gains nothing.
 */
export const closeRequest = (transition: Transition, request: ProxyRequest): void => {
  const current = transition.state.requests[request.id];
  if (current !== undefined && current.attempts.some((attempt) => attempt.result === null))
    updateRequest(transition, request.id, { phase: 'over' });
  else removeRequest(transition, request);
  transition.effects.push({ kind: 'close-request', requestId: request.id });
};

/** Adds a response to the traffic measurement; only responses to the node's own clients are demand. */
export const recordReply = (
  transition: Transition,
  request: ProxyRequest,
  sizeBytes: number,
  isServedLocally: boolean,
): void => {
  const bits = 8 * (sizeBytes + 300);
  const { trafficPeriod } = transition.state;
  const isOwnClient = request.clientRequest.via === null;
  const key = objectKey(
    request.route.name,
    isAlwaysCached(request.route) ? null : request.clientRequest.target,
  );
  update(transition, {
    trafficPeriod: {
      ...trafficPeriod,
      servedBits: trafficPeriod.servedBits + (isServedLocally ? bits : 0),
      replies: trafficPeriod.replies + 1,
      bits: isOwnClient
        ? { ...trafficPeriod.bits, [key]: (trafficPeriod.bits[key] ?? 0) + bits }
        : trafficPeriod.bits,
    },
  });
};

/**
 * Until when a request may be served: while this node has a lease or an allowance, or a lease alone if
 * the peer that forwarded it has one.
 */
export const leaseEndOf = (
  { leaseUntil, provenUntil }: ProxyState,
  { clientRequest }: ProxyRequest,
): number => (clientRequest.requiresLease === true ? provenUntil : leaseUntil);

/**
 * Whether the lease that a request needs has expired. It is checked at each use, so that a process
 * that was frozen notices before it handles pending requests.
 */
export const isLeaseExpired = ({ state }: Transition, request: ProxyRequest): boolean =>
  state.now >= leaseEndOf(state, request);

/** The reason in the response to a client whose node has no lease. */
export const isolatedNodeDetail = 'this node is isolated from the control state';

/** Responds with a cached response. */
export const respondFromCache = (
  transition: Transition,
  request: ProxyRequest,
  copy: CachedResponse,
): void => {
  if (isLeaseExpired(transition, request)) {
    failRequest(transition, request, 503, 'not-run', isolatedNodeDetail);
    return;
  }
  const ageSeconds = Math.floor(
    copy.initialAgeSeconds + (transition.state.now - copy.storedAt) / 1_000,
  );
  const response: ClientResponse = {
    status: copy.status,
    headers: {
      ...copy.headers,
      age: String(ageSeconds),
      ...consumedAttemptsHeaders(request),
      ...(request.clientRequest.via === null ? {} : { 'reedyard-service': copy.service }),
      'reedyard-served': request.clientRequest.via === null ? 'copy' : 'peer-copy',
    },
    body: { kind: 'copy', copy },
  };
  count(transition, 'served.copy');
  recordReply(transition, request, copy.sizeBytes, true);
  transition.effects.push({ kind: 'send-answer', requestId: request.id, answer: response });
  closeRequest(transition, request);
};

/** Fails a request with an error response of the proxy itself, along with those that joined its fetch. */
export const failRequest = (
  transition: Transition,
  request: ProxyRequest,
  requestedStatus: 502 | 503 | 504,
  outcome: Outcome,
  reason: string,
  retryMs?: number,
): void => {
  // A 503 always means that the request was not run.
  const status = requestedStatus === 503 && outcome === 'unknown' ? 502 : requestedStatus;
  settleClaim(transition, request, outcome);
  count(transition, 'given-up');
  if (!request.hasClientLeft) {
    sendProblem(
      transition,
      request.id,
      status,
      status === 503 ? 'Not served' : 'No sound answer',
      outcome === 'not-run'
        ? `It was not run: ${reason}.`
        : `It is not known whether it ran: ${reason}.`,
      {},
      outcome,
      retryMs,
    );
  }
  log(transition, 'request.given-up', {
    id: request.id,
    route: request.route.name,
    status,
    outcome,
    why: reason,
    attempts: request.attempts.length,
  });
  closeRequest(transition, request);
  // The requests that wait for its fetch fail too, unless it failed because its client left.
  finishFetch(
    transition,
    request,
    null,
    request.hasClientLeft ? null : { status, outcome, reason },
  );
};

/**
 * Ends a leader's fetch: its waiters fail with it, are served from the stored response, or continue
 * on their own.
 */
export const finishFetch = (
  transition: Transition,
  leader: ProxyRequest,
  stored: CachedResponse | null,
  failure: {
    readonly status: 502 | 503 | 504;
    readonly outcome: Outcome;
    readonly reason: string;
  } | null,
): void => {
  if (!leader.isFetchLeader) return;
  const fetch = transition.state.fetches[leader.key];
  if (fetch === undefined || fetch.leader !== leader.id) return;
  const { [leader.key]: _removed, ...rest } = transition.state.fetches;
  update(transition, { fetches: rest });
  for (const id of fetch.waiters) {
    const waiter = transition.state.requests[id];
    if (waiter === undefined) continue;
    if (failure !== null) {
      failRequest(transition, waiter, failure.status, failure.outcome, failure.reason);
      continue;
    }
    const current = applyCurrentPolicy(transition, waiter);
    if (current === null) continue;
    const isUsable =
      stored !== null &&
      Routes.allows(current.route, stored.service) &&
      mayCache(current.route, 'GET') &&
      Object.entries(stored.vary).every(
        ([name, value]) => (headerText(waiter.clientRequest.headers, name) ?? '') === value,
      );
    if (isUsable && stored !== null) respondFromCache(transition, current, stored);
    else continueRequest(transition, current);
  }
};

/** Rejects a request of which provably nothing ran, with a problem document of the proxy itself. */
const endUnexecuted = (transition: Transition, request: ProxyRequest, refusal: Refusal): void => {
  settleClaim(transition, request, 'not-run');
  if (!request.hasClientLeft)
    sendProblem(
      transition,
      request.id,
      refusal.status,
      refusal.title,
      refusal.detail,
      refusal.more,
    );
  closeRequest(transition, request);
  finishFetch(transition, request, null, null);
};

/**
 * Updates a request to the policy in force, which applies at every step. Ends the request and returns
 * null if that policy does not allow it: as if it arrived now if nothing ran, and with an unknown
 * outcome if an attempt may have run.
 */
export const applyCurrentPolicy = (
  transition: Transition,
  request: ProxyRequest,
): ProxyRequest | null => {
  const revision = transition.state.policy?.revision ?? 0;
  if (request.revision === revision) return request;
  const route = Routes.find(
    transition.state.routes,
    request.clientRequest.host,
    request.clientRequest.target,
  );
  const refusal = refusalOf(
    route,
    request.clientRequest,
    transition.state.policy?.document.callers,
  );
  if (route !== undefined && refusal === null) {
    return (
      updateRequest(transition, request.id, {
        route,
        revision,
        service: drawService(route, request.randomNumbers.at(-1) ?? 0, request.service),
        isIdempotent: isIdempotentRequest(route, request.clientRequest.method),
        deadlineAt: deadlineOf(route, request.clientRequest, request.arrivedAt),
      }) ?? null
    );
  }
  if (refusal !== null && outcomeOf(request.attempts) === 'not-run')
    endUnexecuted(transition, request, refusal);
  else failRequest(transition, request, 502, 'unknown', 'a newer policy allows no other attempt');
  return null;
};
