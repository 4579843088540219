/**
 * The proxy as a reducer: events of callers, peers, origins, the agent and the clock, and the
 * effects that follow.
 */
import { type ClaimReply, evacuationGraceMs, retryAfterSeconds } from '@reedyard/agent';
import { Cache } from '@reedyard/cache';
import { Routes } from '@reedyard/schemas';
import type { Step } from '@reedyard/task-loop';
import { handleAttemptAnswer, endAttempt, handleAttemptFailure } from './attempt-results.js';
import { drawService, depositRetryToken, isIdempotentRequest } from './endpoint-selection.js';
import { closeRequest, failRequest, sendProblem } from './request-completion.js';
import { applyFeed } from './feed-handler.js';
import { requestFeed } from './reporting.js';
import { maxRequestsInFlight } from './request-limit.js';
import { headerText, deadlineOf, refusalOf } from './request-rules.js';
import { start } from './serving.js';
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

const mayServe = (transition: Transition, id: number, via: string | null): boolean => {
  const { state } = transition;
  if (state.stoppingAt !== null && state.now - state.stoppingAt > unreadyServingMs) {
    sendProblem(transition, id, 503, 'Leaving', 'This node is leaving.', { connection: 'close' });
    return false;
  }
  if (state.now >= state.leaseUntil || state.policy === null || state.feed === null) {
    sendProblem(transition, id, 503, 'Not ready', 'This node is cut off from the control state.');
    return false;
  }
  if (
    via === null &&
    state.evacuatedAt !== null &&
    state.now - state.evacuatedAt > evacuationGraceMs
  ) {
    sendProblem(transition, id, 503, 'Zone emptied', 'This zone is emptied.', {
      connection: 'close',
    });
    return false;
  }
  return true;
};

const handleArrival = (
  transition: Transition,
  id: number,
  asked: ClientRequest,
  draws: readonly number[],
  token: string,
): void => {
  const { state } = transition;
  count(transition, asked.via === null ? 'requests' : 'requests.peer');
  if (!mayServe(transition, id, asked.via)) return;
  const route = Routes.find(state.routes, asked.host, asked.target);
  const refusal = refusalOf(route, asked, state.policy?.document.callers);
  if (route === undefined || refusal !== null) {
    if (refusal !== null)
      sendProblem(transition, id, refusal.status, refusal.title, refusal.detail, refusal.more);
    return;
  }
  if (Object.keys(state.requests).length >= maxRequestsInFlight) {
    sendProblem(transition, id, 503, 'Too busy', 'Too many requests are under way here.');
    return;
  }
  const safe = isIdempotentRequest(route, asked.method);
  const callerKey =
    safe || route.repeat === 'never' || asked.via !== null
      ? null
      : headerText(asked.headers, 'idempotency-key');
  const request: ProxyRequest = {
    id,
    clientRequest: asked,
    route,
    revision: state.policy?.revision ?? 0,
    service: drawService(route, draws.at(-1) ?? 0),
    isIdempotent: safe,
    key: Cache.key(asked.host, asked.target),
    arrivedAt: state.now,
    deadlineAt: deadlineOf(route, asked, state.now),
    randomNumbers: draws,
    token,
    claimKey: callerKey === null ? null : Cache.key(asked.host, `/${callerKey}`),
    attempts: [],
    phase: callerKey === null ? 'attempt' : 'claiming',
    queuedAt: 0,
    isFetchLeader: false,
    hasClientLeft: false,
  };
  update(transition, { requests: { ...state.requests, [id]: request } });
  // A forwarded request earned its repeat where its caller came to.
  if (asked.via === null) depositRetryToken(transition, request.service);
  if (request.claimKey !== null)
    transition.effects.push({
      kind: 'query-agent',
      requestId: id,
      query: {
        kind: 'claim',
        key: request.claimKey,
        token,
        life: state.self.life,
        digest: asked.digest ?? '',
      },
    });
  else start(transition, request);
};

const handleClaimReply = (transition: Transition, id: number, reply: ClaimReply): void => {
  const request = transition.state.requests[id];
  if (request === undefined || request.phase !== 'claiming') return;
  if (reply.kind === 'granted') {
    const held = updateRequest(transition, id, { phase: 'attempt' });
    if (held === undefined) return;
    if (held.hasClientLeft) failRequest(transition, held, 503, 'not-run', 'its caller left');
    else start(transition, held);
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
            'Another request was sent with this key: another method, target or body. This one was not run.',
          outcome: 'not-run',
        },
      },
    });
    closeRequest(transition, request);
    return;
  }
  const known = reply.state === 'pending' ? 'in-progress' : reply.state;
  count(transition, 'claims.taken', 'status.409');
  transition.effects.push({
    kind: 'send-answer',
    requestId: id,
    answer: {
      status: 409,
      headers: {
        'reedyard-outcome': known,
        ...(known === 'in-progress' ? { 'retry-after': String(retryAfterSeconds) } : {}),
      },
      body: {
        kind: 'problem',
        title: 'Key already used',
        detail: `A request with this key was sent before; its outcome is: ${known}. It is not run again.`,
        outcome: known,
      },
    },
  });
  closeRequest(transition, request);
};

/** The client closed its connection: what may be broken off is. */
const handleClientLeft = (transition: Transition, id: number): void => {
  const request = updateRequest(transition, id, { hasClientLeft: true });
  // An attempt that others wait for, or that may have run, is let finish; only safe ones alone are
  // dropped.
  if (
    request === undefined ||
    !request.isIdempotent ||
    request.isFetchLeader ||
    request.phase !== 'attempt'
  )
    return;
  const live = request.attempts.filter((attempt) => attempt.result === null);
  if (live.length === 0) return;
  let ended = request;
  for (const attempt of live) {
    transition.effects.push({ kind: 'abort-attempt', requestId: id, attempt: attempt.number });
    ended =
      endAttempt(transition, ended, attempt.number, {
        kind: 'failed',
        sent: 'maybe',
        why: 'caller',
      }) ?? ended;
  }
  closeRequest(transition, ended);
};

/** The proxy's reducer. */
export const ProxyCore = {
  /** @example ProxyCore.open({ id: 'front-1', zone: 'a', region: 'eu', capacityBps: 8e7, life: 'l1' }, 0).lease // 0: nothing is served yet */
  open: (self: ProxyState['self'], now: number): ProxyState => ({
    self,
    now,
    leaseUntil: 0,
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

  /** Whether the platform may send callers here. @example ProxyCore.ready(state, 5) // false */
  ready: (state: ProxyState, now: number): boolean =>
    now < state.leaseUntil &&
    state.policy !== null &&
    state.stoppingAt === null &&
    state.evacuatedAt === null &&
    state.feed?.seated === true,

  /** @example ProxyCore.reduce(state, { kind: 'beat', now: 25 }).effects */
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
        handleAttemptAnswer(transition, event.requestId, event.attempt, event.answer);
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
