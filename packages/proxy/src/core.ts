/**
 * The proxy as a reducer: events of callers, peers, origins, the agent and the clock, and the
 * effects that follow.
 */
import { type ClaimReply, evacuationGraceMs, retryAfterSeconds } from '@reedyard/agent';
import { Cache } from '@reedyard/cache';
import { Routes } from '@reedyard/schemas';
import type { Step } from '@reedyard/task-loop';
import { answered, endAttempt, failed } from './attempt-ends.js';
import { drawService, earnRepeat, isSafe } from './choice.js';
import { close, giveUp, turnAway } from './ending.js';
import { fed } from './feeding.js';
import { question } from './reporting.js';
import { maxRequestsInFlight } from './request-limit.js';
import { headerText, limitOf, refusalOf } from './request-rules.js';
import { start } from './serving.js';
import { unreadyServingMs } from './shutdown-timing.js';
import {
  type Asked,
  change,
  count,
  type ProxyEffect,
  type ProxyEvent,
  type ProxyRequest,
  type ProxyState,
  set,
  type Work,
} from './state.js';
import { beat } from './upkeep.js';

const mayServe = (work: Work, id: number, via: string | null): boolean => {
  const { state } = work;
  if (state.stoppingAt !== null && state.now - state.stoppingAt > unreadyServingMs) {
    turnAway(work, id, 503, 'Leaving', 'This node is leaving.', { connection: 'close' });
    return false;
  }
  if (state.now >= state.lease || state.policy === null || state.feed === null) {
    turnAway(work, id, 503, 'Not ready', 'This node is cut off from the control state.');
    return false;
  }
  if (via === null && state.emptiedAt !== null && state.now - state.emptiedAt > evacuationGraceMs) {
    turnAway(work, id, 503, 'Zone emptied', 'This zone is emptied.', { connection: 'close' });
    return false;
  }
  return true;
};

const arrived = (
  work: Work,
  id: number,
  asked: Asked,
  draws: readonly number[],
  token: string,
): void => {
  const { state } = work;
  count(work, asked.via === null ? 'requests' : 'requests.peer');
  if (!mayServe(work, id, asked.via)) return;
  const route = Routes.find(state.routes, asked.host, asked.target);
  const refusal = refusalOf(route, asked, state.policy?.document.callers);
  if (route === undefined || refusal !== null) {
    if (refusal !== null)
      turnAway(work, id, refusal.status, refusal.title, refusal.detail, refusal.more);
    return;
  }
  if (Object.keys(state.requests).length >= maxRequestsInFlight) {
    turnAway(work, id, 503, 'Too busy', 'Too many requests are under way here.');
    return;
  }
  const safe = isSafe(route, asked.method);
  const callerKey =
    safe || route.repeat === 'never' || asked.via !== null
      ? null
      : headerText(asked.headers, 'idempotency-key');
  const request: ProxyRequest = {
    id,
    asked,
    route,
    revision: state.policy?.revision ?? 0,
    service: drawService(route, draws.at(-1) ?? 0),
    safe,
    key: Cache.key(asked.host, asked.target),
    arrivedAt: state.now,
    limitAt: limitOf(route, asked, state.now),
    draws,
    token,
    claimKey: callerKey === null ? null : Cache.key(asked.host, `/${callerKey}`),
    attempts: [],
    phase: callerKey === null ? 'attempt' : 'claiming',
    heldAt: 0,
    leads: false,
    callerGone: false,
  };
  set(work, { requests: { ...state.requests, [id]: request } });
  // A forwarded request earned its repeat where its caller came to.
  if (asked.via === null) earnRepeat(work, request.service);
  if (request.claimKey !== null)
    work.effects.push({
      kind: 'ask',
      id,
      call: {
        kind: 'claim',
        key: request.claimKey,
        token,
        life: state.self.life,
        digest: asked.digest ?? '',
      },
    });
  else start(work, request);
};

const claimed = (work: Work, id: number, reply: ClaimReply): void => {
  const request = work.state.requests[id];
  if (request === undefined || request.phase !== 'claiming') return;
  if (reply.kind === 'granted') {
    const held = change(work, id, { phase: 'attempt' });
    if (held === undefined) return;
    if (held.callerGone) giveUp(work, held, 503, 'not-run', 'its caller left');
    else start(work, held);
    return;
  }
  if (reply.kind === 'unreached') {
    giveUp(work, request, 503, 'not-run', 'its key could not be claimed');
    return;
  }
  if (reply.kind === 'other') {
    count(work, 'claims.other', 'status.422');
    work.effects.push({
      kind: 'answer',
      id,
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
    close(work, request);
    return;
  }
  const known = reply.state === 'pending' ? 'in-progress' : reply.state;
  count(work, 'claims.taken', 'status.409');
  work.effects.push({
    kind: 'answer',
    id,
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
  close(work, request);
};

export const left = (work: Work, id: number): void => {
  const request = change(work, id, { callerGone: true });
  // An attempt that others wait for, or that may have run, is let finish; only safe ones alone are
  // dropped.
  if (request === undefined || !request.safe || request.leads || request.phase !== 'attempt')
    return;
  const live = request.attempts.filter((attempt) => attempt.end === null);
  if (live.length === 0) return;
  let ended = request;
  for (const attempt of live) {
    work.effects.push({ kind: 'abort', id, attempt: attempt.number });
    ended =
      endAttempt(work, ended, attempt.number, { kind: 'failed', sent: 'maybe', why: 'caller' }) ??
      ended;
  }
  close(work, ended);
};

export const ProxyCore = {
  /** @example ProxyCore.open({ id: 'front-1', zone: 'a', region: 'eu', capacityBps: 8e7, life: 'l1' }, 0).lease // 0: nothing is served yet */
  open: (self: ProxyState['self'], now: number): ProxyState => ({
    self,
    now,
    lease: 0,
    life: '',
    flushes: 0,
    fedAt: now,
    purgeSeq: 0,
    policy: null,
    routes: new Map(),
    feed: null,
    holders: {},
    emptiedAt: null,
    cache: Cache.empty,
    abroad: false,
    requests: {},
    fetches: {},
    unkept: {},
    buckets: {},
    repeats: {},
    suspects: {},
    outstanding: {},
    standings: {},
    replyBytes: {},
    stoppingAt: null,
    counters: {},
    period: { since: now, bits: {}, servedBits: 0, replies: 0, attemptMs: 0, fetched: 0 },
    wants: {},
    wanted: { since: now, counts: {} },
  }),

  /** Whether the platform may send callers here. @example ProxyCore.ready(state, 5) // false */
  ready: (state: ProxyState, now: number): boolean =>
    now < state.lease &&
    state.policy !== null &&
    state.stoppingAt === null &&
    state.emptiedAt === null &&
    state.feed?.seated === true,

  /** @example ProxyCore.reduce(state, { kind: 'beat', now: 25 }).effects */
  reduce: (state: ProxyState, event: ProxyEvent): Step<ProxyState, ProxyEffect> => {
    const work: Work = { state: { ...state, now: Math.max(state.now, event.now) }, effects: [] };
    switch (event.kind) {
      case 'arrived':
        arrived(work, event.id, event.asked, event.draws, event.token);
        break;
      case 'answered':
        answered(work, event.id, event.attempt, event.answer);
        break;
      case 'failed':
        failed(work, event.id, event.attempt, event.sent, event.why);
        break;
      case 'claimed':
        claimed(work, event.id, event.reply);
        break;
      case 'left':
        left(work, event.id);
        break;
      case 'fed':
        fed(work, event.feed, event.askedAt);
        break;
      case 'ask':
        question(work);
        break;
      case 'beat':
        beat(work);
        break;
      case 'stop':
        set(work, { stoppingAt: state.stoppingAt ?? work.state.now });
        break;
    }
    return { state: work.state, effects: work.effects };
  },
} as const;
