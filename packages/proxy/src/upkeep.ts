/**
 * What the clock brings about: attempts past their deadline, hedges beside silent ones, requests
 * that wait for their turn.
 */
import { Limits, Weights } from '@reedyard/constants';
import { Cache } from '@reedyard/cache';
import { Attempts } from '@reedyard/attempts';
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
import { count, log, set } from './state.js';
import type { ProxyState, ProxyRequest, Work } from './state.js';
import { mayTryMore } from './attempt-budget.js';
import { failed } from './attempt-ends.js';
import { giveUp, lapsed, underPolicy } from './ending.js';
import { attemptToOrigin, open, startAgain } from './serving.js';

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
  const usual = met > 0 ? met : (request.route.targetMs ?? 0) * Weights.silentShare;
  return Math.min(
    Math.max(Limits.leastSilence, Weights.silentTimes * usual),
    Weights.silentShare * (request.limitAt - request.arrivedAt),
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
    if (now - attempt.openedAt < Limits.stalled) continue;
    const standing = work.state.standings[attempt.to.id];
    const heard = standing !== undefined && standing.heardAt >= attempt.openedAt;
    if (
      !heard &&
      now - attempt.openedAt > Weights.stalledTimes * (standing?.ms ?? 0) &&
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
  if (abroad && now - lease > Limits.unknowing && cache.copies.size > 0) {
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
