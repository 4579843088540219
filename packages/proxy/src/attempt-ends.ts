/** Takes in how an attempt ended, and derives the next move from the ledger alone. */
import { Weights } from '@reedyard/constants';
import { Cache } from '@reedyard/cache';
import type { Copy } from '@reedyard/cache';
import { Routes } from '@reedyard/schemas';
import { Attempts } from '@reedyard/attempts';
import type { Leg, LegEnd, Sent } from '@reedyard/attempts';
import { mayRepeat, restFor, suspectFor, tookStanding } from './choice.js';
import { change, count, log, set } from './state.js';
import type { LegAnswer, Transaction, Work } from './state.js';
import { attemptsLeft, mayTryMore, spentAt, spentFields } from './attempt-budget.js';
import { close, forget, giveUp, lapsed, leaderEnded, measured, settle } from './ending.js';
import {
  headerText,
  keeps,
  keepsAlways,
  lifeEnd,
  passedOn,
  serviceOf,
  unsound,
} from './request-rules.js';
import { startAgain } from './serving.js';

export const endLeg = (
  work: Work,
  transaction: Transaction,
  number: number,
  end: LegEnd,
): Transaction | undefined => {
  const leg = transaction.legs[number];
  if (leg === undefined || leg.end !== null) return undefined;
  const under = (work.state.outstanding[leg.to.id] ?? 1) - 1;
  const { [leg.to.id]: _gone, ...others } = work.state.outstanding;
  set(work, { outstanding: under > 0 ? { ...others, [leg.to.id]: under } : others });
  return change(work, transaction.id, {
    legs: transaction.legs.map((each) => (each.number === number ? { ...each, end } : each)),
  });
};

const derive = (work: Work, transaction: Transaction): void => {
  if (transaction.phase === 'over') {
    if (transaction.legs.every((leg) => leg.end !== null)) forget(work, transaction);
    return;
  }
  const { legs, safe, limitAt } = transaction;
  const move = Attempts.next({
    safe,
    legs,
    now: work.state.now,
    limitAt,
    mayRepeat: mayTryMore(work, transaction),
  });
  if (transaction.callerGone && move.kind === 'open') {
    giveUp(work, transaction, 503, Attempts.outcomeOf(transaction.legs), 'its caller left');
    return;
  }
  if (move.kind === 'open') startAgain(work, transaction);
  else if (move.kind === 'give-up') giveUp(work, transaction, move.status, move.outcome, move.why);
};

export const failed = (work: Work, id: number, number: number, sent: Sent, why: string): void => {
  const transaction = work.state.transactions[id];
  if (transaction === undefined) return;
  const ended = endLeg(work, transaction, number, { kind: 'failed', sent, why });
  if (ended === undefined) return;
  const name = ended.legs[number]?.to.id ?? '';
  if (why !== 'purged' && why !== 'lease') suspectFor(work, name);
  count(work, `leg-failed.${why}`);
  log(work, 'leg.failed', { id, leg: number, to: name, sent, why });
  derive(work, ended);
};

export const answered = (work: Work, id: number, number: number, answer: LegAnswer): void => {
  const transaction = work.state.transactions[id];
  const leg = transaction?.legs[number];
  if (transaction === undefined || leg === undefined || leg.end !== null) return;
  const { state } = work;
  const bad = unsound(transaction, number, answer, state.routes);
  if (bad !== null) {
    work.effects.push({ kind: 'abort', id, leg: number });
    failed(work, id, number, 'maybe', bad);
    return;
  }
  const { safe } = transaction;
  const tags = Cache.tags(answer.headers, transaction.route.tagsHeader);
  const purgedAt = keeps(transaction.route, transaction.asked.method)
    ? Cache.purgedSince(state.cache, transaction.key, tags, leg.openedAt)
    : null;
  // It may be what a purge was meant to take away, and the time for that is nearly over, or such a
  // purge can't have been heard of: what only reads is then not passed on.
  const doubtful =
    safe && lapsed(work)
      ? 'lease'
      : purgedAt !== null && state.now - purgedAt > 250
        ? 'purged'
        : null;
  if (doubtful !== null && transaction.phase !== 'over') {
    work.effects.push({ kind: 'abort', id, leg: number });
    failed(work, id, number, 'maybe', doubtful);
    return;
  }
  if (answer.proof?.misdirected === true) {
    work.effects.push({ kind: 'abort', id, leg: number });
    failed(work, id, number, 'nothing', 'identity');
    return;
  }
  const notRun =
    answer.proof?.notRun ??
    (headerText(answer.headers, 'reedyard-outcome') === 'not-run' && answer.status === 503);
  const turnedAway =
    notRun ||
    answer.status === 408 ||
    answer.status === 421 ||
    answer.status === 429 ||
    answer.status === 502 ||
    answer.status === 503 ||
    answer.status === 504;
  const mayTryAgain =
    safe &&
    leg.to.kind === 'origin' &&
    answer.status >= 500 &&
    mayRepeat(state, transaction.service) &&
    attemptsLeft(transaction) > 0 &&
    state.now < transaction.limitAt;
  // A word of being turned away is passed on for an unsafe request only where it is proved.
  const final =
    (!turnedAway ||
      (safe && answer.status === 429 && answer.proof === undefined) ||
      passedOn(answer)) &&
    !mayTryAgain;
  const ended = endLeg(work, transaction, number, {
    kind: 'answered',
    status: answer.status,
    final,
    notRun,
    spent: leg.to.kind === 'partner' ? spentAt(answer) : null,
  });
  if (ended === undefined) return;
  if (!notRun) tookStanding(work, leg.to.id, state.now - leg.openedAt, answer.proof);
  if (leg.to.kind === 'origin' && notRun) restFor(work, leg.to.id);
  // What is read whole leaves its conn ready for the next.
  const drop = (): void => {
    if (!answer.whole) work.effects.push({ kind: 'abort', id, leg: number });
  };
  if (transaction.phase === 'over') {
    drop();
    derive(work, ended);
    return;
  }
  if (!final) {
    drop();
    if (leg.to.kind === 'partner' && notRun) suspectFor(work, leg.to.id);
    derive(work, ended);
    return;
  }
  const fromOrigin = leg.to.kind === 'origin';
  const legMs = state.now - leg.openedAt;
  if (fromOrigin) {
    const name = transaction.route.name;
    const old = state.replyBytes[name];
    set(work, {
      replyBytes: {
        ...work.state.replyBytes,
        [name]: old === undefined ? answer.size : old + Weights.standingGain * (answer.size - old),
      },
    });
  }
  if (fromOrigin) {
    count(work, 'fetched');
    const { period } = work.state;
    set(work, { period: { ...period, legMs: period.legMs + legMs, fetched: period.fetched + 1 } });
  } else count(work, 'forwarded');
  const copy = fromOrigin ? copyOf(work, transaction, leg, answer, tags, purgedAt) : null;
  if (copy !== null) set(work, { cache: Cache.keep(work.state.cache, copy) });
  else if (transaction.leads)
    set(work, {
      unkept: {
        ...Object.fromEntries(
          Object.entries(work.state.unkept).filter(([, until]) => until > state.now),
        ),
        [transaction.key]: state.now + 5_000,
      },
    });
  settle(work, ended, answer.status < 500 ? 'ran' : 'unknown');
  measured(work, transaction, answer.size, fromOrigin);
  count(work, `status.${answer.status}`);
  if (!transaction.callerGone) {
    work.effects.push({
      kind: 'answer',
      id,
      answer: {
        status: answer.status,
        headers: {
          ...answer.headers,
          ...spentFields(ended),
          ...(transaction.asked.via === null
            ? {}
            : { 'reedyard-service': fromOrigin ? serviceOf(leg) : transaction.service }),
          'reedyard-served': fromOrigin
            ? transaction.asked.via === null
              ? 'origin'
              : 'partner-origin'
            : 'partner',
          ...(safe ? {} : { 'reedyard-outcome': answer.status < 500 ? 'ran' : 'unknown' }),
        },
        body: { kind: 'leg', answer },
      },
    });
  } else drop();
  close(work, ended);
  leaderEnded(work, ended, copy, null);
};

/**
 * What is kept of an answer: only as the route in force now has it, and only if its service is
 * still that one.
 */
const copyOf = (
  work: Work,
  transaction: Transaction,
  leg: Leg,
  answer: LegAnswer,
  tags: readonly string[],
  purgedAt: number | null,
): Copy | null => {
  const { state } = work;
  if (
    transaction.asked.method !== 'GET' ||
    !answer.whole ||
    answer.status === 206 ||
    purgedAt !== null
  )
    return null;
  const route = Routes.find(state.routes, transaction.asked.host, transaction.asked.target);
  const legMs = state.now - leg.openedAt;
  const life =
    route !== undefined && keepsAlways(route)
      ? answer.status === 200
        ? (route.cache.mostSeconds ?? 0) * 1_000
        : 0
      : Cache.life(
          { method: 'GET', url: transaction.asked.target, headers: transaction.asked.headers },
          answer,
          legMs,
        );
  const { ['reedyard-leg']: _mark, ...headers } = answer.headers;
  const copy: Copy = {
    key: transaction.key,
    service: serviceOf(leg),
    status: answer.status,
    headers,
    body: answer.body,
    size: answer.size,
    tags,
    vary: Cache.vary(answer.headers, transaction.asked.headers),
    takenAt: state.now,
    freshUntil: state.now + life,
    bornAge:
      route !== undefined && keepsAlways(route)
        ? 0
        : Number(headerText(answer.headers, 'age') ?? 0) + legMs / 1_000,
  };
  return life > 0 && state.now < lifeEnd(route, state, copy) ? copy : null;
};
