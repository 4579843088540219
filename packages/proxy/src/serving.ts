/**
 * Moves a request on: who serves it, a copy, a fetch that it joins, or an attempt of its own. Never
 * opens an attempt without a lease or beyond its budget.
 */
import { Limits } from '@reedyard/constants';
import { Cache } from '@reedyard/cache';
import { Attempts } from '@reedyard/attempts';
import {
  allowedPartners,
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
import { change, count, set } from './state.js';
import type { Target, Transaction, Work } from './state.js';
import { attemptsLeft, grantFor, isFree } from './attempt-budget.js';
import { answerCopy, cutOff, giveUp, lapsed, underPolicy } from './ending.js';
import { holdingOf, joins, keeps, keepsAlways, lifeEnd } from './request-rules.js';

export const open = (work: Work, transaction: Transaction, to: Target): void => {
  if (lapsed(work)) {
    giveUp(work, transaction, 503, Attempts.outcomeOf(transaction.legs), cutOff);
    return;
  }
  const left = attemptsLeft(transaction);
  if (left <= 0) {
    giveUp(
      work,
      transaction,
      503,
      Attempts.outcomeOf(transaction.legs),
      'its attempts are used up',
    );
    return;
  }
  const granted = to.kind === 'origin' ? 1 : grantFor(left);
  const number = transaction.legs.length;
  const id = to.kind === 'origin' ? originName(to.row) : to.row.id;
  const legLimit = Math.min(
    transaction.limitAt,
    work.state.now +
      (transaction.route.limits.legMs ?? Limits.leg) +
      (to.kind === 'partner' ? Limits.holding : 0),
  );
  const next = change(work, transaction.id, {
    phase: 'leg',
    legs: [
      ...transaction.legs,
      {
        number,
        to: { kind: to.kind, id },
        openedAt: work.state.now,
        limitAt: legLimit,
        end: null,
        granted,
      },
    ],
  });
  if (next === undefined) return;
  if (number > 0) {
    if (!isFree(transaction)) spendRepeat(work, transaction.service);
    count(work, 'repeats');
  }
  count(work, 'legs', to.kind === 'origin' ? 'legs.origin' : 'legs.partner');
  set(work, {
    outstanding: { ...work.state.outstanding, [id]: (work.state.outstanding[id] ?? 0) + 1 },
  });
  work.effects.push({
    kind: 'open',
    id: transaction.id,
    leg: number,
    to,
    asked: transaction.asked,
    mark: `${transaction.token}-${number}`,
    limitMs: legLimit - work.state.now,
    keep: joins(transaction) && to.kind === 'origin',
    safe: transaction.safe,
    attempts: granted,
    sendBy: work.state.lease,
  });
};

/**
 * An attempt at an origin, if the slice has a token now and an instance room; else a short holding,
 * or the final answer at once.
 */
export const legToOrigin = (work: Work, transaction: Transaction): void => {
  const { service } = transaction;
  const ranked = rankOrigins(
    work.state,
    transaction,
    work.state.replyBytes[transaction.route.name] ?? 0,
  );
  if (ranked.length === 0) {
    giveUp(
      work,
      transaction,
      503,
      Attempts.outcomeOf(transaction.legs),
      `no instance of ${service} can be reached`,
      Limits.retrySoon,
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
      open(work, transaction, { kind: 'origin', row: chosenRow });
      return;
    }
    giveBack(work, bucket);
  }
  const ahead = Object.values(work.state.transactions).filter(
    (each) => each.phase === 'holding' && each.service === service && each.id !== transaction.id,
  ).length;
  const wait = Math.max(
    waitFor(work.state, bucket, rate, ahead),
    Math.min(
      ...ranked.map((row) => waitFor(work.state, `instance/${originName(row)}`, row.rate, 0)),
    ),
  );
  const heldAt = transaction.phase === 'holding' ? transaction.heldAt : work.state.now;
  if (
    work.state.now + (transaction.phase === 'holding' ? 0 : wait) - heldAt >
      holdingOf(transaction) ||
    work.state.now >= transaction.limitAt
  ) {
    giveUp(
      work,
      transaction,
      503,
      Attempts.outcomeOf(transaction.legs),
      `the share of ${service} is used up`,
      Number.isFinite(wait) ? Math.max(Limits.retrySoon, wait) : undefined,
    );
    return;
  }
  if (transaction.phase !== 'holding') {
    count(work, 'held');
    change(work, transaction.id, { phase: 'holding', heldAt });
  }
};

/** This edge serves: from a copy, by joining a fetch under way, or by a leg of its own. */
const serveHere = (work: Work, transaction: Transaction): void => {
  if (keeps(transaction.route, transaction.asked.method)) {
    const copy = Cache.find(
      work.state.cache,
      transaction.key,
      transaction.asked.headers,
      work.state.now,
    );
    if (copy !== undefined && work.state.now < lifeEnd(transaction.route, work.state, copy)) {
      set(work, { cache: Cache.touch(work.state.cache, transaction.key) });
      answerCopy(work, transaction, copy);
      return;
    }
  }
  if (
    joins(transaction) &&
    transaction.legs.length === 0 &&
    (work.state.unkept[transaction.key] ?? 0) <= work.state.now
  ) {
    const fetch = work.state.fetches[transaction.key];
    if (fetch !== undefined && !fetch.closed) {
      change(work, transaction.id, { phase: 'joined' });
      set(work, {
        fetches: {
          ...work.state.fetches,
          [transaction.key]: { ...fetch, waiters: [...fetch.waiters, transaction.id] },
        },
      });
      count(work, 'joined');
      return;
    }
    if (fetch === undefined) {
      const leader = change(work, transaction.id, { leads: true });
      set(work, {
        fetches: {
          ...work.state.fetches,
          [transaction.key]: { leader: transaction.id, waiters: [], closed: false },
        },
      });
      if (leader !== undefined) fetchHere(work, leader);
      return;
    }
  }
  fetchHere(work, transaction);
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

const fetchHere = (work: Work, transaction: Transaction): void => {
  want(work, transaction.service);
  legToOrigin(work, transaction);
};

/** First leg: the policy's draw says who serves. */
export const start = (work: Work, given: Transaction): void => {
  const transaction = underPolicy(work, given);
  if (transaction === null) return;
  // A copy that lies here costs nothing to reach.
  const here =
    keepsAlways(transaction.route) &&
    Cache.find(work.state.cache, transaction.key, transaction.asked.headers, work.state.now) !==
      undefined;
  const server =
    here && atHome(transaction.route.homes, work.state.self.region)
      ? 'self'
      : drawServer(work.state, transaction);
  if (server === null) {
    giveUp(work, transaction, 503, 'not-run', 'no node that may serve it can be reached');
    return;
  }
  if (server === 'self') {
    serveHere(work, transaction);
    return;
  }
  open(work, transaction, { kind: 'partner', row: server });
};

/** A later move: itself where it may, else another partner. */
export const startAgain = (work: Work, given: Transaction): void => {
  const transaction = underPolicy(work, given);
  if (transaction === null) return;
  if (atHome(transaction.route.homes, work.state.self.region)) {
    serveHere(work, transaction);
    return;
  }
  const partner =
    transaction.asked.via === null ? allowedPartners(work.state, transaction)[0] : undefined;
  if (partner === undefined)
    giveUp(
      work,
      transaction,
      503,
      Attempts.outcomeOf(transaction.legs),
      'no other node that may serve it can be reached',
    );
  else open(work, transaction, { kind: 'partner', row: partner });
};
