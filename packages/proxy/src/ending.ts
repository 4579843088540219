/**
 * Ends requests: answers of the proxy itself and from copies, and what becomes of those that waited
 * for the same fetch.
 */
import { Limits } from '@reedyard/constants';
import type { ClaimState } from '@reedyard/agent';
import { objectKey } from '@reedyard/server-selection';
import type { Copy } from '@reedyard/cache';
import { Routes } from '@reedyard/schemas';
import { Attempts } from '@reedyard/attempts';
import type { Outcome } from '@reedyard/attempts';
import { spentFields } from './attempt-budget.js';
import { drawService, isSafe } from './choice.js';
import { change, count, log, set } from './state.js';
import type { Answer, Transaction, Work } from './state.js';
import { headerText, keeps, keepsAlways, limitOf, refusalOf } from './request-rules.js';
import { startAgain } from './serving.js';

/** Answers that ask nothing of any origin: what the proxy itself has to say. */
export const turnAway = (
  work: Work,
  id: number,
  status: number,
  title: string,
  detail: string,
  more: Readonly<Record<string, string>> = {},
  outcome: Outcome = 'not-run',
  retryMs = 1_000 * Limits.retryAfterSeconds,
): void => {
  const waits = status === 502 || status === 503 || status === 504;
  count(work, `status.${status}`);
  work.effects.push({
    kind: 'answer',
    id,
    answer: {
      status,
      headers: {
        'reedyard-outcome': outcome,
        ...spentFields(work.state.transactions[id]),
        ...(waits ? { 'retry-after': String(Math.ceil(retryMs / 1_000)) } : {}),
        ...more,
      },
      ...(waits ? { retryMs } : {}),
      body: { kind: 'problem', title, detail, outcome },
    },
  });
};

export const settle = (work: Work, transaction: Transaction, state: ClaimState): void => {
  if (transaction.claimKey === null) return;
  work.effects.push({
    kind: 'ask',
    id: transaction.id,
    call: { kind: 'settle', key: transaction.claimKey, token: transaction.token, state },
  });
};

export const forget = (work: Work, transaction: Transaction): void => {
  const { [transaction.id]: _gone, ...rest } = work.state.transactions;
  set(work, { transactions: rest });
};

/**
 * Its caller has heard the last of it. An attempt beside the one that served is let end: breaking
 * it off helps nobody.
 */
export const close = (work: Work, transaction: Transaction): void => {
  const known = work.state.transactions[transaction.id];
  if (known !== undefined && known.legs.some((leg) => leg.end === null))
    change(work, transaction.id, { phase: 'over' });
  else forget(work, transaction);
  work.effects.push({ kind: 'closed', id: transaction.id });
};

/** Counts an answer in the vectors' measurements: demand only for this edge's own callers. */
export const measured = (
  work: Work,
  transaction: Transaction,
  size: number,
  here: boolean,
): void => {
  const bits = 8 * (size + 300);
  const { period } = work.state;
  const own = transaction.asked.via === null;
  const busy = objectKey(
    transaction.route.name,
    keepsAlways(transaction.route) ? null : transaction.asked.target,
  );
  set(work, {
    period: {
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
export const lapsed = (work: Work): boolean => work.state.now >= work.state.lease;

export const cutOff = 'this node is cut off from the control state';

export const answerCopy = (work: Work, transaction: Transaction, copy: Copy): void => {
  if (lapsed(work)) {
    giveUp(work, transaction, 503, 'not-run', cutOff);
    return;
  }
  const age = Math.floor(copy.bornAge + (work.state.now - copy.takenAt) / 1_000);
  const answer: Answer = {
    status: copy.status,
    headers: {
      ...copy.headers,
      age: String(age),
      ...spentFields(transaction),
      ...(transaction.asked.via === null ? {} : { 'reedyard-service': copy.service }),
      'reedyard-served': transaction.asked.via === null ? 'copy' : 'partner-copy',
    },
    body: { kind: 'copy', copy },
  };
  count(work, 'served.copy');
  measured(work, transaction, copy.size, true);
  work.effects.push({ kind: 'answer', id: transaction.id, answer });
  close(work, transaction);
};

export const giveUp = (
  work: Work,
  transaction: Transaction,
  reached: 502 | 503 | 504,
  outcome: Outcome,
  why: string,
  retryMs?: number,
): void => {
  // A 503 says "not run" and nothing else.
  const status = reached === 503 && outcome === 'unknown' ? 502 : reached;
  settle(work, transaction, outcome);
  count(work, 'given-up');
  if (!transaction.callerGone) {
    turnAway(
      work,
      transaction.id,
      status,
      status === 503 ? 'Not served' : 'No sound answer',
      outcome === 'not-run' ? `It was not run: ${why}.` : `It is not known whether it ran: ${why}.`,
      {},
      outcome,
      retryMs,
    );
  }
  log(work, 'transaction.given-up', {
    id: transaction.id,
    route: transaction.route.name,
    status,
    outcome,
    why,
    legs: transaction.legs.length,
  });
  close(work, transaction);
  // Its waiters share its fate, but for a caller who left.
  leaderEnded(work, transaction, null, transaction.callerGone ? null : { status, outcome, why });
};

/** A leader's fetch is over: its waiters are answered from it, or go on by themselves. */
export const leaderEnded = (
  work: Work,
  leader: Transaction,
  kept: Copy | null,
  failure: {
    readonly status: 502 | 503 | 504;
    readonly outcome: Outcome;
    readonly why: string;
  } | null,
): void => {
  if (!leader.leads) return;
  const fetch = work.state.fetches[leader.key];
  if (fetch === undefined || fetch.leader !== leader.id) return;
  const { [leader.key]: _gone, ...rest } = work.state.fetches;
  set(work, { fetches: rest });
  for (const id of fetch.waiters) {
    const waiter = work.state.transactions[id];
    if (waiter === undefined) continue;
    if (failure !== null) {
      giveUp(work, waiter, failure.status, failure.outcome, failure.why);
      continue;
    }
    const current = underPolicy(work, waiter);
    if (current === null) continue;
    const fits =
      kept !== null &&
      Routes.allows(current.route, kept.service) &&
      keeps(current.route, 'GET') &&
      Object.entries(kept.vary).every(
        ([name, value]) => (headerText(waiter.asked.headers, name) ?? '') === value,
      );
    if (fits && kept !== null) answerCopy(work, current, kept);
    else startAgain(work, current);
  }
};

/** Ends a transaction that provably ran nothing with an answer of the proxy's own. */
const endUnrun = (
  work: Work,
  transaction: Transaction,
  refusal: NonNullable<ReturnType<typeof refusalOf>>,
): void => {
  settle(work, transaction, 'not-run');
  if (!transaction.callerGone)
    turnAway(work, transaction.id, refusal.status, refusal.title, refusal.detail, refusal.more);
  close(work, transaction);
  leaderEnded(work, transaction, null, null);
};

/**
 * The policy in force rules at each move: the transaction under the route that it has now. Null
 * once it was ended because that policy lets it go no further: as if it came now where nothing ran,
 * and with an unknown outcome where a leg may have run.
 */
export const underPolicy = (work: Work, transaction: Transaction): Transaction | null => {
  const serial = work.state.policy?.serial ?? 0;
  if (transaction.serial === serial) return transaction;
  const route = Routes.find(work.state.routes, transaction.asked.host, transaction.asked.target);
  const refusal = refusalOf(route, transaction.asked, work.state.policy?.document.callers);
  if (route !== undefined && refusal === null) {
    return (
      change(work, transaction.id, {
        route,
        serial,
        service: drawService(route, transaction.draws.at(-1) ?? 0, transaction.service),
        safe: isSafe(route, transaction.asked.method),
        limitAt: limitOf(route, transaction.asked, transaction.arrivedAt),
      }) ?? null
    );
  }
  if (refusal !== null && Attempts.outcomeOf(transaction.legs) === 'not-run')
    endUnrun(work, transaction, refusal);
  else giveUp(work, transaction, 502, 'unknown', 'a newer policy allows no other attempt');
  return null;
};
