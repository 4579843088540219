/**
 * Ends requests: answers of the proxy itself and from copies, and what becomes of those that waited
 * for the same fetch.
 */
import { type ClaimState, retryAfterSeconds } from '@reedyard/agent';
import { type Outcome, outcomeOf } from '@reedyard/attempts';
import type { CachedResponse } from '@reedyard/cache';
import { Routes } from '@reedyard/schemas';
import { objectKey } from '@reedyard/server-selection';
import { consumedAttemptsHeaders } from './attempt-budget.js';
import { drawService, isIdempotentRequest } from './endpoint-selection.js';
import { deadlineOf, headerText, mayCache, isAlwaysCached, refusalOf } from './request-rules.js';
import { continueRequest } from './serving.js';
import {
  type ClientResponse,
  count,
  log,
  type ProxyRequest,
  type Transition,
  update,
  updateRequest,
} from './state.js';

/** Answers that ask nothing of any origin: what the proxy itself has to say. */
export const sendProblem = (
  transition: Transition,
  id: number,
  status: number,
  title: string,
  detail: string,
  more: Readonly<Record<string, string>> = {},
  outcome: Outcome = 'not-run',
  retryMs = 1_000 * retryAfterSeconds,
): void => {
  const waits = status === 502 || status === 503 || status === 504;
  count(transition, `status.${status}`);
  transition.effects.push({
    kind: 'send-answer',
    requestId: id,
    answer: {
      status,
      headers: {
        'reedyard-outcome': outcome,
        ...consumedAttemptsHeaders(transition.state.requests[id]),
        ...(waits ? { 'retry-after': String(Math.ceil(retryMs / 1_000)) } : {}),
        ...more,
      },
      ...(waits ? { retryMs } : {}),
      body: { kind: 'problem', title, detail, outcome },
    },
  });
};

/** Records with the agent what became of a claimed request. */
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

/** Lets a request go, with what it holds. */
export const removeRequest = (transition: Transition, request: ProxyRequest): void => {
  const { [request.id]: _gone, ...rest } = transition.state.requests;
  update(transition, { requests: rest });
};

/**
 * Its caller has heard the last of it. An attempt beside the one that served is let end: breaking
 * it off helps nobody.
 */
export const closeRequest = (transition: Transition, request: ProxyRequest): void => {
  const known = transition.state.requests[request.id];
  if (known !== undefined && known.attempts.some((attempt) => attempt.result === null))
    updateRequest(transition, request.id, { phase: 'over' });
  else removeRequest(transition, request);
  transition.effects.push({ kind: 'close-request', requestId: request.id });
};

/** Counts an answer in the vectors' measurements: demand only for this edge's own callers. */
export const recordReply = (
  transition: Transition,
  request: ProxyRequest,
  size: number,
  here: boolean,
): void => {
  const bits = 8 * (size + 300);
  const { trafficPeriod: period } = transition.state;
  const own = request.clientRequest.via === null;
  const busy = objectKey(
    request.route.name,
    isAlwaysCached(request.route) ? null : request.clientRequest.target,
  );
  update(transition, {
    trafficPeriod: {
      ...period,
      servedBits: period.servedBits + (here ? bits : 0),
      replies: period.replies + 1,
      bits: own ? { ...period.bits, [busy]: (period.bits[busy] ?? 0) + bits } : period.bits,
    },
  });
};

/**
 * The lease is looked at where it is used: a thawed process finds it over, whatever waited for it.
 */
export const isLeaseExpired = (transition: Transition): boolean =>
  transition.state.now >= transition.state.leaseUntil;

/** Told to a client whose node has no lease. */
export const isolatedNodeDetail = 'this node is cut off from the control state';

/** Answers with a kept object. */
export const respondFromCache = (
  transition: Transition,
  request: ProxyRequest,
  copy: CachedResponse,
): void => {
  if (isLeaseExpired(transition)) {
    failRequest(transition, request, 503, 'not-run', isolatedNodeDetail);
    return;
  }
  const age = Math.floor(copy.initialAgeSeconds + (transition.state.now - copy.storedAt) / 1_000);
  const answer: ClientResponse = {
    status: copy.status,
    headers: {
      ...copy.headers,
      age: String(age),
      ...consumedAttemptsHeaders(request),
      ...(request.clientRequest.via === null ? {} : { 'reedyard-service': copy.service }),
      'reedyard-served': request.clientRequest.via === null ? 'copy' : 'peer-copy',
    },
    body: { kind: 'copy', copy },
  };
  count(transition, 'served.copy');
  recordReply(transition, request, copy.sizeBytes, true);
  transition.effects.push({ kind: 'send-answer', requestId: request.id, answer });
  closeRequest(transition, request);
};

/** Answers with an error of the proxy's own, and ends the request. */
export const failRequest = (
  transition: Transition,
  request: ProxyRequest,
  reached: 502 | 503 | 504,
  outcome: Outcome,
  why: string,
  retryMs?: number,
): void => {
  // A 503 says "not run" and nothing else.
  const status = reached === 503 && outcome === 'unknown' ? 502 : reached;
  settleClaim(transition, request, outcome);
  count(transition, 'given-up');
  if (!request.hasClientLeft) {
    sendProblem(
      transition,
      request.id,
      status,
      status === 503 ? 'Not served' : 'No sound answer',
      outcome === 'not-run' ? `It was not run: ${why}.` : `It is not known whether it ran: ${why}.`,
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
    why,
    attempts: request.attempts.length,
  });
  closeRequest(transition, request);
  // Its waiters share its fate, but for a caller who left.
  finishFetch(transition, request, null, request.hasClientLeft ? null : { status, outcome, why });
};

/** A leader's fetch is over: its waiters are answered from it, or go on by themselves. */
export const finishFetch = (
  transition: Transition,
  leader: ProxyRequest,
  kept: CachedResponse | null,
  failure: {
    readonly status: 502 | 503 | 504;
    readonly outcome: Outcome;
    readonly why: string;
  } | null,
): void => {
  if (!leader.isFetchLeader) return;
  const fetch = transition.state.fetches[leader.key];
  if (fetch === undefined || fetch.leader !== leader.id) return;
  const { [leader.key]: _gone, ...rest } = transition.state.fetches;
  update(transition, { fetches: rest });
  for (const id of fetch.waiters) {
    const waiter = transition.state.requests[id];
    if (waiter === undefined) continue;
    if (failure !== null) {
      failRequest(transition, waiter, failure.status, failure.outcome, failure.why);
      continue;
    }
    const current = applyCurrentPolicy(transition, waiter);
    if (current === null) continue;
    const fits =
      kept !== null &&
      Routes.allows(current.route, kept.service) &&
      mayCache(current.route, 'GET') &&
      Object.entries(kept.vary).every(
        ([name, value]) => (headerText(waiter.clientRequest.headers, name) ?? '') === value,
      );
    if (fits && kept !== null) respondFromCache(transition, current, kept);
    else continueRequest(transition, current);
  }
};

/** Ends a request that provably ran nothing with an answer of the proxy's own. */
const endUnexecuted = (
  transition: Transition,
  request: ProxyRequest,
  refusal: NonNullable<ReturnType<typeof refusalOf>>,
): void => {
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
 * The policy in force rules at each move: the request under the route that it has now. Null
 * once it was ended because that policy lets it go no further: as if it came now where nothing ran,
 * and with an unknown outcome where an attempt may have run.
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
