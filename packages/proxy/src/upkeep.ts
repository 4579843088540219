/**
 * What the clock brings about: attempts past their deadline, hedges beside silent ones, requests
 * that wait for their turn.
 */
import { Attempts } from '@reedyard/attempts';
import { Cache } from '@reedyard/cache';
import { mayTryMore } from './attempt-budget.js';
import { failed } from './attempt-ends.js';
import {
  allowedPeers,
  answerMs,
  atHome,
  giveBack,
  meanMs,
  originName,
  rankOrigins,
  roomAt,
  suspectFor,
  takeToken,
} from './choice.js';
import { giveUp, lapsed, underPolicy } from './ending.js';
import { attemptToOrigin, open, startAgain } from './serving.js';
import { count, log, type ProxyRequest, type ProxyState, set, type Work } from './state.js';

/**
 * ms. An attempt is silent after a few times what its origin usually takes, but not before this.
 */
export const minSilenceMs = 60;

/**
 * ms. An origin with an attempt under way this long, and a few times its usual time, and nothing
 * heard since is set aside.
 */
export const minStallMs = 300;

/**
 * ms. In a fleet of several regions, a proxy without a lease this long drops its copies: a
 * policy it can't know of may have moved their homes. With the lease this stays under the
 * brief's 2 s; a shorter loss, which a few lost messages bring, costs no copies.
 */
export const cacheWithoutLeaseMs = 300;

/**
 * share of a request's time that is waited before a second attempt beside a silent one, at most.
 */
export const hedgeAfterShare = 0.4;

/**
 * times an origin's usual time after which an attempt counts as silent, or the origin as
 * stalled.
 */
export const silenceFactor = 3;

/**  */
export const stallFactor = 4;

/**
 * ms after which an attempt counts as silent: a few times what its other end usually takes, and
 * early enough for a second one.
 */
const silentAfter = (state: ProxyState, request: ProxyRequest): number => {
  const rows = (state.feed?.origins ?? []).filter((row) => row.service === request.service);
  const mean = meanMs(state, rows);
  const to = request.attempts.find((attempt) => attempt.end === null)?.to.id;
  const row = rows.find((each) => originName(each) === to);
  const met = row === undefined ? mean : answerMs(state, row, mean);
  const usual = met > 0 ? met : (request.route.targetMs ?? 0) * hedgeAfterShare;
  return Math.min(
    Math.max(minSilenceMs, silenceFactor * usual),
    hedgeAfterShare * (request.limitAt - request.arrivedAt),
  );
};

/**
 * Looks after one request's attempts that are under way: those over their limit, stalled origins,
 * and a second attempt beside a silent one.
 */
const tendAttempts = (work: Work, request: ProxyRequest): void => {
  const { now } = work.state;
  for (const attempt of request.attempts) {
    if (attempt.end !== null) continue;
    if (now >= attempt.limitAt) {
      work.effects.push({ kind: 'abort', id: request.id, attempt: attempt.number });
      failed(work, request.id, attempt.number, 'maybe', 'limit');
      continue;
    }
    if (now - attempt.openedAt < minStallMs) continue;
    const standing = work.state.standings[attempt.to.id];
    const heard = standing !== undefined && standing.heardAt >= attempt.openedAt;
    if (
      !heard &&
      now - attempt.openedAt > stallFactor * (standing?.ms ?? 0) &&
      (work.state.suspects[attempt.to.id] ?? 0) <= now
    ) {
      count(work, 'stalled');
      suspectFor(work, attempt.to.id);
    }
  }
  const current = work.state.requests[request.id];
  if (current === undefined || current.phase !== 'attempt' || current.callerGone || lapsed(work))
    return;
  const may = mayTryMore(work, current);
  if (
    !may ||
    !current.safe ||
    current.attempts.filter((attempt) => attempt.end === null).length !== 1
  )
    return;
  if (
    !Attempts.mayHedge({
      safe: current.safe,
      attempts: current.attempts,
      now,
      limitAt: current.limitAt,
      mayRepeat: may,
      silentMs: silentAfter(work.state, current),
    })
  )
    return;
  const given = underPolicy(work, current);
  if (given === null) return;
  if (!atHome(given.route.homes, work.state.self.region)) {
    const [peer] = given.asked.via === null ? allowedPeers(work.state, given) : [];
    if (peer !== undefined) {
      count(work, 'hedged');
      open(work, given, { kind: 'peer', row: peer });
    }
    return;
  }
  const ranked = rankOrigins(
    work.state,
    given,
    work.state.replyBytes[given.route.name] ?? 0,
  ).filter(
    (row) =>
      !given.attempts.some((attempt) => attempt.to.id === originName(row)) &&
      (work.state.outstanding[originName(row)] ?? 0) < roomAt(work.state, row),
  );
  const [row] = ranked;
  if (
    row === undefined ||
    !takeToken(work, `service/${given.service}`, work.state.feed?.slices[given.service] ?? 0)
  )
    return;
  if (!takeToken(work, `instance/${originName(row)}`, row.rate)) {
    giveBack(work, `service/${given.service}`);
    return;
  }
  count(work, 'hedged');
  open(work, given, { kind: 'origin', row });
};

export const beat = (work: Work): void => {
  const { abroad, now, lease, cache } = work.state;
  if (abroad && now - lease > cacheWithoutLeaseMs && cache.copies.size > 0) {
    set(work, { cache: Cache.flush(cache) });
    log(work, 'copies.flushed', { why: 'homes may have moved' });
  }
  for (const request of Object.values(work.state.requests)) {
    if (work.state.requests[request.id] === undefined) continue;
    if (request.phase === 'holding') {
      // Under a newer policy it may be another's to serve, or another service's.
      if (request.revision !== (work.state.policy?.revision ?? 0)) startAgain(work, request);
      else attemptToOrigin(work, request);
      continue;
    }
    if (request.phase === 'attempt' || request.phase === 'over') {
      tendAttempts(work, request);
    } else if (request.phase === 'joined' && work.state.now >= request.limitAt)
      giveUp(work, request, 504, 'unknown', 'limit');
    else if (request.phase === 'claiming' && work.state.now >= request.limitAt)
      giveUp(work, request, 503, 'not-run', 'its key could not be claimed in time');
  }
};
