/**
 * The proxy as a reducer: it maps events of clients, peers, origins, the agent and the clock to a new
 * state and effects.
 */
import { type ClaimReply, evacuationGraceMs, retryAfterSeconds } from '@reedyard/agent';
import { Cache } from '@reedyard/cache';
import { Routes } from '@reedyard/schemas';
import type { Step } from '@reedyard/task-loop';
import { handleAttemptResponse, endAttempt, handleAttemptFailure } from './attempt-results.js';
import { drawService, depositRetryToken, isIdempotentRequest } from './endpoint-selection.js';
import { closeRequest, failRequest, sendProblem } from './request-completion.js';
import { applyFeed } from './feed-handler.js';
import { requestFeed } from './reporting.js';
import { maxRequestsInFlight } from './request-limit.js';
import { headerText, deadlineOf, refusalHeaders, refusalOf } from './request-rules.js';
import { startRequest } from './serving.js';
import { unreadyServingMs } from './shutdown-timing.js';
import {
  type ClientRequest,
  updateRequest,
  count,
  type ProxyEffect,
  type ProxyEvent,
  type ProxyRequest,
  type ProxyState,
  update,
  type Transition,
} from './state.js';
import { tick } from './tick-handler.js';

const mayServe = (
  transition: Transition,
  id: number,
  { via, requiresLease = false }: ClientRequest,
): boolean => {
  const { state } = transition;
  if (state.stoppingAt !== null && state.now - state.stoppingAt > unreadyServingMs) {
    sendProblem(transition, id, 503, 'Leaving', 'This node is stopping.', { connection: 'close' });
    return false;
  }
  if (state.now >= state.leaseUntil || state.policy === null || state.feed === null) {
    sendProblem(transition, id, 503, 'Not ready', 'This node is isolated from the control state.');
    return false;
  }
  if (requiresLease && state.now >= state.provenUntil) {
    sendProblem(
      transition,
      id,
      503,
      'No lease',
      'This node serves by what it last knew, and its peer has a lease.',
      refusalHeaders('lease'),
    );
    return false;
  }
  if (
    via === null &&
    state.evacuatedAt !== null &&
    state.now - state.evacuatedAt > evacuationGraceMs
  ) {
    sendProblem(transition, id, 503, 'Zone emptied', 'This zone is evacuated.', {
      connection: 'close',
    });
    return false;
  }
  return true;
};

const handleArrival = (
  transition: Transition,
  id: number,
  clientRequest: ClientRequest,
  randomNumbers: readonly number[],
  token: string,
): void => {
  const { state } = transition;
  count(transition, clientRequest.via === null ? 'requests' : 'requests.peer');
  if (!mayServe(transition, id, clientRequest)) return;
  const route = Routes.find(state.routes, clientRequest.host, clientRequest.target);
  const refusal = refusalOf(route, clientRequest, state.policy?.document.callers);
  if (route === undefined || refusal !== null) {
    if (refusal !== null)
      sendProblem(transition, id, refusal.status, refusal.title, refusal.detail, refusal.more);
    return;
  }
  if (Object.keys(state.requests).length >= maxRequestsInFlight) {
    sendProblem(transition, id, 503, 'Too busy', 'Too many requests are in flight on this node.');
    return;
  }
  const isIdempotent = isIdempotentRequest(route, clientRequest.method);
  const idempotencyKey =
    isIdempotent || route.repeat === 'never' || clientRequest.via !== null
      ? null
      : headerText(clientRequest.headers, 'idempotency-key');
  const request: ProxyRequest = {
    id,
    clientRequest,
    route,
    revision: state.policy?.revision ?? 0,
    service: clientRequest.service ?? drawService(route, randomNumbers.at(-1) ?? 0),
    isIdempotent,
    key: Cache.key(clientRequest.host, clientRequest.target),
    arrivedAt: state.now,
    deadlineAt: deadlineOf(route, clientRequest, state.now),
    randomNumbers,
    token,
    claimKey: idempotencyKey === null ? null : Cache.key(clientRequest.host, `/${idempotencyKey}`),
    attempts: [],
    phase: idempotencyKey === null ? 'attempt' : 'claiming',
    queuedAt: 0,
    isFetchLeader: false,
    hasClientLeft: false,
  };
  update(transition, { requests: { ...state.requests, [id]: request } });
  // A forwarded request has already added to the retry budget of the node that its client reached.
  if (clientRequest.via === null) depositRetryToken(transition, request.service);
  if (request.claimKey !== null)
    transition.effects.push({
      kind: 'query-agent',
      requestId: id,
      query: {
        kind: 'claim',
        key: request.claimKey,
        token,
        life: state.self.life,
        digest: clientRequest.digest ?? '',
      },
    });
  else startRequest(transition, request);
};

const handleClaimReply = (transition: Transition, id: number, reply: ClaimReply): void => {
  const request = transition.state.requests[id];
  if (request === undefined || request.phase !== 'claiming') return;
  if (reply.kind === 'granted') {
    const claimed = updateRequest(transition, id, { phase: 'attempt' });
    if (claimed === undefined) return;
    if (claimed.hasClientLeft) failRequest(transition, claimed, 503, 'not-run', 'its client left');
    else startRequest(transition, claimed);
    return;
  }
  if (reply.kind === 'unreached') {
    failRequest(transition, request, 503, 'not-run', 'its key could not be claimed');
    return;
  }
  if (reply.kind === 'other') {
    count(transition, 'claims.other', 'status.422');
    transition.effects.push({
      kind: 'send-answer',
      requestId: id,
      answer: {
        status: 422,
        headers: { 'reedyard-outcome': 'not-run' },
        body: {
          kind: 'problem',
          title: 'Key of another request',
          detail:
            'Another request with a different method, target or body was sent with this key. This one was not run.',
          outcome: 'not-run',
        },
      },
    });
    closeRequest(transition, request);
    return;
  }
  const outcome = reply.state === 'pending' ? 'in-progress' : reply.state;
  count(transition, 'claims.taken', 'status.409');
  transition.effects.push({
    kind: 'send-answer',
    requestId: id,
    answer: {
      status: 409,
      headers: {
        'reedyard-outcome': outcome,
        ...(outcome === 'in-progress' ? { 'retry-after': String(retryAfterSeconds) } : {}),
      },
      body: {
        kind: 'problem',
        title: 'Key already used',
        detail: `A request with this key was sent before; its outcome is: ${outcome}. It is not run again.`,
        outcome,
      },
    },
  });
  closeRequest(transition, request);
};

/** The client closed its connection: aborts its attempts if they may be aborted. */
const handleClientLeft = (transition: Transition, id: number): void => {
  const request = updateRequest(transition, id, { hasClientLeft: true });
  // Lets an attempt finish if other requests wait for it or if it may have executed an unsafe request.
  if (
    request === undefined ||
    !request.isIdempotent ||
    request.isFetchLeader ||
    request.phase !== 'attempt'
  )
    return;
  const inFlight = request.attempts.filter((attempt) => attempt.result === null);
  if (inFlight.length === 0) return;
  let updated = request;
  for (const attempt of inFlight) {
    transition.effects.push({ kind: 'abort-attempt', requestId: id, attempt: attempt.number });
    updated =
      endAttempt(transition, updated, attempt.number, {
        kind: 'failed',
        sent: 'maybe',
        why: 'caller',
      }) ?? updated;
  }
  closeRequest(transition, updated);
};

/** The initial state, the readiness and the reducer of a proxy. */
export const ProxyCore = {
  /**
   * The initial state. The proxy serves nothing before its first lease.
   *
   * @example
   * ProxyCore.open({ id: 'front-1', zone: 'a', region: 'eu', capacityBps: 8e7, life: 'l1' }, 0).leaseUntil // 0
   */
  open: (self: ProxyState['self'], now: number): ProxyState => ({
    self,
    now,
    leaseUntil: 0,
    provenUntil: 0,
    life: '',
    cacheFlushCount: 0,
    feedRequestedAt: now,
    purgeSeq: 0,
    policy: null,
    routes: new Map(),
    feed: null,
    ownersByRoute: {},
    evacuatedAt: null,
    cache: Cache.empty,
    hasRemotePeers: false,
    requests: {},
    fetches: {},
    uncacheableKeys: {},
    buckets: {},
    retryTokens: {},
    ejectedUntil: {},
    inFlightCounts: {},
    originHealth: {},
    meanReplyBytes: {},
    stoppingAt: null,
    counters: {},
    trafficPeriod: { since: now, bits: {}, servedBits: 0, replies: 0, attemptMs: 0, fetched: 0 },
    demand: {},
    demandCounts: { since: now, counts: {} },
  }),

  /** Whether the platform may route clients to this proxy. @example ProxyCore.ready(state, 5) // false */
  ready: (state: ProxyState, now: number): boolean =>
    now < state.leaseUntil &&
    state.policy !== null &&
    state.stoppingAt === null &&
    state.evacuatedAt === null &&
    state.feed?.seated === true,

  /** Applies an event. @example ProxyCore.reduce(state, { kind: 'tick', now: 25 }).effects */
  reduce: (state: ProxyState, event: ProxyEvent): Step<ProxyState, ProxyEffect> => {
    const transition: Transition = {
      state: { ...state, now: Math.max(state.now, event.now) },
      effects: [],
    };
    switch (event.kind) {
      case 'request-arrived':
        handleArrival(
          transition,
          event.requestId,
          event.clientRequest,
          event.randomNumbers,
          event.token,
        );
        break;
      case 'attempt-answered':
        handleAttemptResponse(transition, event.requestId, event.attempt, event.answer);
        break;
      case 'attempt-failed':
        handleAttemptFailure(transition, event.requestId, event.attempt, event.sent, event.why);
        break;
      case 'claim-answered':
        handleClaimReply(transition, event.requestId, event.reply);
        break;
      case 'client-left':
        handleClientLeft(transition, event.requestId);
        break;
      case 'feed-received':
        applyFeed(transition, event.feed, event.askedAt);
        break;
      case 'feed-due':
        requestFeed(transition);
        break;
      case 'tick':
        tick(transition);
        break;
      case 'stop-requested':
        update(transition, { stoppingAt: state.stoppingAt ?? transition.state.now });
        break;
    }
    return { state: transition.state, effects: transition.effects };
  },
} as const;
