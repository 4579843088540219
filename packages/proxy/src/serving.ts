/**
 * Moves a request on: who serves it, a copy, a fetch that it joins, or an attempt of its own. Never
 * opens an attempt without a lease or beyond its budget.
 */
import { Attempts } from '@reedyard/attempts';
import { Cache } from '@reedyard/cache';
import { attemptsLeft, grantFor, isFree } from './attempt-budget.js';
import {
  allowedPeers,
  atHome,
  drawServer,
  giveBack,
  originName,
  rankOrigins,
  roomAt,
  spendRepeat,
  takeToken,
  waitFor,
} from './choice.js';
import { answerCopy, cutOff, giveUp, lapsed, underPolicy } from './ending.js';
import { holdingOf, joins, keeps, keepsAlways, lifeEnd } from './request-rules.js';
import { change, count, type ProxyRequest, set, type Target, type Work } from './state.js';

/** ms. Default limit of one attempt to an origin. */
export const defaultAttemptTimeoutMs = 4_000;

/**
 * ms. Longest wait in the holding for a slice's next token; past it the answer is 503 at once.
 */
export const maxQueueWaitMs = 400;

/** ms. Told to callers where another node, or the next instant, may well serve them. */
export const retrySoonMs = 100;

export const open = (work: Work, request: ProxyRequest, to: Target): void => {
  if (lapsed(work)) {
    giveUp(work, request, 503, Attempts.outcomeOf(request.attempts), cutOff);
    return;
  }
  const left = attemptsLeft(request);
  if (left <= 0) {
    giveUp(work, request, 503, Attempts.outcomeOf(request.attempts), 'its attempts are used up');
    return;
  }
  const granted = to.kind === 'origin' ? 1 : grantFor(left);
  const number = request.attempts.length;
  const id = to.kind === 'origin' ? originName(to.row) : to.row.id;
  const attemptLimit = Math.min(
    request.limitAt,
    work.state.now +
      (request.route.limits.attemptMs ?? defaultAttemptTimeoutMs) +
      (to.kind === 'peer' ? maxQueueWaitMs : 0),
  );
  const next = change(work, request.id, {
    phase: 'attempt',
    attempts: [
      ...request.attempts,
      {
        number,
        to: { kind: to.kind, id },
        openedAt: work.state.now,
        limitAt: attemptLimit,
        end: null,
        granted,
      },
    ],
  });
  if (next === undefined) return;
  if (number > 0) {
    if (!isFree(request)) spendRepeat(work, request.service);
    count(work, 'repeats');
  }
  count(work, 'attempts', to.kind === 'origin' ? 'attempts.origin' : 'attempts.peer');
  set(work, {
    outstanding: { ...work.state.outstanding, [id]: (work.state.outstanding[id] ?? 0) + 1 },
  });
  work.effects.push({
    kind: 'open',
    id: request.id,
    attempt: number,
    to,
    asked: request.asked,
    mark: `${request.token}-${number}`,
    limitMs: attemptLimit - work.state.now,
    keep: joins(request) && to.kind === 'origin',
    safe: request.safe,
    attempts: granted,
    sendBy: work.state.lease,
  });
};

/**
 * An attempt at an origin, if the slice has a token now and an instance room; else a short holding,
 * or the final answer at once.
 */
export const attemptToOrigin = (work: Work, request: ProxyRequest): void => {
  const { service } = request;
  const ranked = rankOrigins(work.state, request, work.state.replyBytes[request.route.name] ?? 0);
  if (ranked.length === 0) {
    giveUp(
      work,
      request,
      503,
      Attempts.outcomeOf(request.attempts),
      `no instance of ${service} can be reached`,
      retrySoonMs,
    );
    return;
  }
  const rate = work.state.feed?.slices[service] ?? 0;
  const bucket = `service/${service}`;
  const withRoom = ranked.filter(
    (row) => (work.state.outstanding[originName(row)] ?? 0) < roomAt(work.state, row),
  );
  if (withRoom.length > 0 && takeToken(work, bucket, rate)) {
    const chosenRow = withRoom.find((row) =>
      takeToken(work, `instance/${originName(row)}`, row.rate),
    );
    if (chosenRow !== undefined) {
      open(work, request, { kind: 'origin', row: chosenRow });
      return;
    }
    giveBack(work, bucket);
  }
  const ahead = Object.values(work.state.requests).filter(
    (each) => each.phase === 'holding' && each.service === service && each.id !== request.id,
  ).length;
  const wait = Math.max(
    waitFor(work.state, bucket, rate, ahead),
    Math.min(
      ...ranked.map((row) => waitFor(work.state, `instance/${originName(row)}`, row.rate, 0)),
    ),
  );
  const heldAt = request.phase === 'holding' ? request.heldAt : work.state.now;
  if (
    work.state.now + (request.phase === 'holding' ? 0 : wait) - heldAt > holdingOf(request) ||
    work.state.now >= request.limitAt
  ) {
    giveUp(
      work,
      request,
      503,
      Attempts.outcomeOf(request.attempts),
      `the share of ${service} is used up`,
      Number.isFinite(wait) ? Math.max(retrySoonMs, wait) : undefined,
    );
    return;
  }
  if (request.phase !== 'holding') {
    count(work, 'held');
    change(work, request.id, { phase: 'holding', heldAt });
  }
};

/** This edge serves: from a copy, by joining a fetch under way, or by an attempt of its own. */
const serveHere = (work: Work, request: ProxyRequest): void => {
  if (keeps(request.route, request.asked.method)) {
    const copy = Cache.find(work.state.cache, request.key, request.asked.headers, work.state.now);
    if (copy !== undefined && work.state.now < lifeEnd(request.route, work.state, copy)) {
      set(work, { cache: Cache.touch(work.state.cache, request.key) });
      answerCopy(work, request, copy);
      return;
    }
  }
  if (
    joins(request) &&
    request.attempts.length === 0 &&
    (work.state.unkept[request.key] ?? 0) <= work.state.now
  ) {
    const fetch = work.state.fetches[request.key];
    if (fetch !== undefined && !fetch.closed) {
      change(work, request.id, { phase: 'joined' });
      set(work, {
        fetches: {
          ...work.state.fetches,
          [request.key]: { ...fetch, waiters: [...fetch.waiters, request.id] },
        },
      });
      count(work, 'joined');
      return;
    }
    if (fetch === undefined) {
      const leader = change(work, request.id, { leads: true });
      set(work, {
        fetches: {
          ...work.state.fetches,
          [request.key]: { leader: request.id, waiters: [], closed: false },
        },
      });
      if (leader !== undefined) fetchHere(work, leader);
      return;
    }
  }
  fetchHere(work, request);
};

const want = (work: Work, service: string): void => {
  const { wanted } = work.state;
  set(work, {
    wanted: {
      ...wanted,
      counts: { ...wanted.counts, [service]: (wanted.counts[service] ?? 0) + 1 },
    },
  });
};

const fetchHere = (work: Work, request: ProxyRequest): void => {
  want(work, request.service);
  attemptToOrigin(work, request);
};

/** First attempt: the policy's draw says who serves. */
export const start = (work: Work, given: ProxyRequest): void => {
  const request = underPolicy(work, given);
  if (request === null) return;
  // A copy that lies here costs nothing to reach.
  const here =
    keepsAlways(request.route) &&
    Cache.find(work.state.cache, request.key, request.asked.headers, work.state.now) !== undefined;
  const server =
    here && atHome(request.route.homes, work.state.self.region)
      ? 'self'
      : drawServer(work.state, request);
  if (server === null) {
    giveUp(work, request, 503, 'not-run', 'no node that may serve it can be reached');
    return;
  }
  if (server === 'self') {
    serveHere(work, request);
    return;
  }
  open(work, request, { kind: 'peer', row: server });
};

/** A later move: itself where it may, else another peer. */
export const startAgain = (work: Work, given: ProxyRequest): void => {
  const request = underPolicy(work, given);
  if (request === null) return;
  if (atHome(request.route.homes, work.state.self.region)) {
    serveHere(work, request);
    return;
  }
  const peer = request.asked.via === null ? allowedPeers(work.state, request)[0] : undefined;
  if (peer === undefined)
    giveUp(
      work,
      request,
      503,
      Attempts.outcomeOf(request.attempts),
      'no other node that may serve it can be reached',
    );
  else open(work, request, { kind: 'peer', row: peer });
};
