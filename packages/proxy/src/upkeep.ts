/**
 * What the clock brings about: attempts past their deadline, hedges beside silent ones, requests
 * that wait for their turn.
 */
import { Limits, Weights } from '@reedyard/constants';
import { Cache } from '@reedyard/cache';
import { Attempts } from '@reedyard/attempts';
import {
  allowedPartners,
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
import type { ProxyState, Transaction, Work } from './state.js';
import { mayTryMore } from './attempt-budget.js';
import { failed } from './attempt-ends.js';
import { giveUp, lapsed, underPolicy } from './ending.js';
import { legToOrigin, open, startAgain } from './serving.js';

/**
 * ms after which an attempt counts as silent: a few times what its other end usually takes, and
 * early enough for a second one.
 */
const silentAfter = (state: ProxyState, transaction: Transaction): number => {
  const rows = (state.feed?.origins ?? []).filter((row) => row.service === transaction.service);
  const mean = meanMs(state, rows);
  const to = transaction.legs.find((leg) => leg.end === null)?.to.id;
  const row = rows.find((each) => originName(each) === to);
  const met = row === undefined ? mean : answerMs(state, row, mean);
  const usual = met > 0 ? met : (transaction.route.targetMs ?? 0) * Weights.silentShare;
  return Math.min(
    Math.max(Limits.leastSilence, Weights.silentTimes * usual),
    Weights.silentShare * (transaction.limitAt - transaction.arrivedAt),
  );
};

/**
 * Looks after one request's attempts that are under way: those over their limit, stalled origins,
 * and a second attempt beside a silent one.
 */
const tendLegs = (work: Work, transaction: Transaction): void => {
  const { now } = work.state;
  for (const leg of transaction.legs) {
    if (leg.end !== null) continue;
    if (now >= leg.limitAt) {
      work.effects.push({ kind: 'abort', id: transaction.id, leg: leg.number });
      failed(work, transaction.id, leg.number, 'maybe', 'limit');
      continue;
    }
    if (now - leg.openedAt < Limits.stalled) continue;
    const standing = work.state.standings[leg.to.id];
    const heard = standing !== undefined && standing.heardAt >= leg.openedAt;
    if (
      !heard &&
      now - leg.openedAt > Weights.stalledTimes * (standing?.ms ?? 0) &&
      (work.state.suspects[leg.to.id] ?? 0) <= now
    ) {
      count(work, 'stalled');
      suspectFor(work, leg.to.id);
    }
  }
  const current = work.state.transactions[transaction.id];
  if (current === undefined || current.phase !== 'leg' || current.callerGone || lapsed(work))
    return;
  const may = mayTryMore(work, current);
  if (!may || !current.safe || current.legs.filter((leg) => leg.end === null).length !== 1) return;
  if (
    !Attempts.mayHedge({
      safe: current.safe,
      legs: current.legs,
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
    const [partner] = given.asked.via === null ? allowedPartners(work.state, given) : [];
    if (partner !== undefined) {
      count(work, 'hedged');
      open(work, given, { kind: 'partner', row: partner });
    }
    return;
  }
  const ranked = rankOrigins(
    work.state,
    given,
    work.state.replyBytes[given.route.name] ?? 0,
  ).filter(
    (row) =>
      !given.legs.some((leg) => leg.to.id === originName(row)) &&
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
  for (const transaction of Object.values(work.state.transactions)) {
    if (work.state.transactions[transaction.id] === undefined) continue;
    if (transaction.phase === 'holding') {
      // Under a newer policy it may be another's to serve, or another service's.
      if (transaction.serial !== (work.state.policy?.serial ?? 0)) startAgain(work, transaction);
      else legToOrigin(work, transaction);
      continue;
    }
    if (transaction.phase === 'leg' || transaction.phase === 'over') {
      tendLegs(work, transaction);
    } else if (transaction.phase === 'joined' && work.state.now >= transaction.limitAt)
      giveUp(work, transaction, 504, 'unknown', 'limit');
    else if (transaction.phase === 'claiming' && work.state.now >= transaction.limitAt)
      giveUp(work, transaction, 503, 'not-run', 'its key could not be claimed in time');
  }
};
