/**
 * Ends requests: answers of the proxy itself and from copies, and what becomes of those that waited
 * for the same fetch.
 */
import { type ClaimState, retryAfterSeconds } from '@reedyard/agent';
import { Attempts, type Outcome } from '@reedyard/attempts';
import type { Copy } from '@reedyard/cache';
import { Routes } from '@reedyard/schemas';
import { objectKey } from '@reedyard/server-selection';
import { spentFields } from './attempt-budget.js';
import { drawService, isSafe } from './choice.js';
import { headerText, keeps, keepsAlways, limitOf, refusalOf } from './request-rules.js';
import { startAgain } from './serving.js';
import { type Answer, change, count, log, type ProxyRequest, set, type Work } from './state.js';

/** Answers that ask nothing of any origin: what the proxy itself has to say. */
export const turnAway = (
  work: Work,
  id: number,
  status: number,
  title: string,
  detail: string,
  more: Readonly<Record<string, string>> = {},
  outcome: Outcome = 'not-run',
  retryMs = 1_000 * retryAfterSeconds,
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
        ...spentFields(work.state.requests[id]),
        ...(waits ? { 'retry-after': String(Math.ceil(retryMs / 1_000)) } : {}),
        ...more,
      },
      ...(waits ? { retryMs } : {}),
      body: { kind: 'problem', title, detail, outcome },
    },
  });
};

export const settle = (work: Work, request: ProxyRequest, state: ClaimState): void => {
  if (request.claimKey === null) return;
  work.effects.push({
    kind: 'ask',
    id: request.id,
    call: { kind: 'settle', key: request.claimKey, token: request.token, state },
  });
};

export const forget = (work: Work, request: ProxyRequest): void => {
  const { [request.id]: _gone, ...rest } = work.state.requests;
  set(work, { requests: rest });
};

/**
 * Its caller has heard the last of it. An attempt beside the one that served is let end: breaking
 * it off helps nobody.
 */
export const close = (work: Work, request: ProxyRequest): void => {
  const known = work.state.requests[request.id];
  if (known !== undefined && known.attempts.some((attempt) => attempt.end === null))
    change(work, request.id, { phase: 'over' });
  else forget(work, request);
  work.effects.push({ kind: 'closed', id: request.id });
};

/** Counts an answer in the vectors' measurements: demand only for this edge's own callers. */
export const measured = (work: Work, request: ProxyRequest, size: number, here: boolean): void => {
  const bits = 8 * (size + 300);
  const { period } = work.state;
  const own = request.asked.via === null;
  const busy = objectKey(
    request.route.name,
    keepsAlways(request.route) ? null : request.asked.target,
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

export const answerCopy = (work: Work, request: ProxyRequest, copy: Copy): void => {
  if (lapsed(work)) {
    giveUp(work, request, 503, 'not-run', cutOff);
    return;
  }
  const age = Math.floor(copy.bornAge + (work.state.now - copy.takenAt) / 1_000);
  const answer: Answer = {
    status: copy.status,
    headers: {
      ...copy.headers,
      age: String(age),
      ...spentFields(request),
      ...(request.asked.via === null ? {} : { 'reedyard-service': copy.service }),
      'reedyard-served': request.asked.via === null ? 'copy' : 'peer-copy',
    },
    body: { kind: 'copy', copy },
  };
  count(work, 'served.copy');
  measured(work, request, copy.size, true);
  work.effects.push({ kind: 'answer', id: request.id, answer });
  close(work, request);
};

export const giveUp = (
  work: Work,
  request: ProxyRequest,
  reached: 502 | 503 | 504,
  outcome: Outcome,
  why: string,
  retryMs?: number,
): void => {
  // A 503 says "not run" and nothing else.
  const status = reached === 503 && outcome === 'unknown' ? 502 : reached;
  settle(work, request, outcome);
  count(work, 'given-up');
  if (!request.callerGone) {
    turnAway(
      work,
      request.id,
      status,
      status === 503 ? 'Not served' : 'No sound answer',
      outcome === 'not-run' ? `It was not run: ${why}.` : `It is not known whether it ran: ${why}.`,
      {},
      outcome,
      retryMs,
    );
  }
  log(work, 'request.given-up', {
    id: request.id,
    route: request.route.name,
    status,
    outcome,
    why,
    attempts: request.attempts.length,
  });
  close(work, request);
  // Its waiters share its fate, but for a caller who left.
  leaderEnded(work, request, null, request.callerGone ? null : { status, outcome, why });
};

/** A leader's fetch is over: its waiters are answered from it, or go on by themselves. */
export const leaderEnded = (
  work: Work,
  leader: ProxyRequest,
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
    const waiter = work.state.requests[id];
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

/** Ends a request that provably ran nothing with an answer of the proxy's own. */
const endUnrun = (
  work: Work,
  request: ProxyRequest,
  refusal: NonNullable<ReturnType<typeof refusalOf>>,
): void => {
  settle(work, request, 'not-run');
  if (!request.callerGone)
    turnAway(work, request.id, refusal.status, refusal.title, refusal.detail, refusal.more);
  close(work, request);
  leaderEnded(work, request, null, null);
};

/**
 * The policy in force rules at each move: the request under the route that it has now. Null
 * once it was ended because that policy lets it go no further: as if it came now where nothing ran,
 * and with an unknown outcome where an attempt may have run.
 */
export const underPolicy = (work: Work, request: ProxyRequest): ProxyRequest | null => {
  const revision = work.state.policy?.revision ?? 0;
  if (request.revision === revision) return request;
  const route = Routes.find(work.state.routes, request.asked.host, request.asked.target);
  const refusal = refusalOf(route, request.asked, work.state.policy?.document.callers);
  if (route !== undefined && refusal === null) {
    return (
      change(work, request.id, {
        route,
        revision,
        service: drawService(route, request.draws.at(-1) ?? 0, request.service),
        safe: isSafe(route, request.asked.method),
        limitAt: limitOf(route, request.asked, request.arrivedAt),
      }) ?? null
    );
  }
  if (refusal !== null && Attempts.outcomeOf(request.attempts) === 'not-run')
    endUnrun(work, request, refusal);
  else giveUp(work, request, 502, 'unknown', 'a newer policy allows no other attempt');
  return null;
};
