/** Takes in how an attempt ended, and derives the next move from the ledger alone. */
import { type Attempt, type AttemptEnd, Attempts, type Sent } from '@reedyard/attempts';
import { Cache, type Copy } from '@reedyard/cache';
import { Routes } from '@reedyard/schemas';
import { attemptsLeft, mayTryMore, spentAt, spentFields } from './attempt-budget.js';
import { mayRepeat, restFor, suspectFor, tookStanding } from './choice.js';
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
import { responseTimeGain } from './response-times.js';
import { startAgain } from './serving.js';
import {
  type AttemptAnswer,
  change,
  count,
  log,
  type ProxyRequest,
  set,
  type Work,
} from './state.js';

export const endAttempt = (
  work: Work,
  request: ProxyRequest,
  number: number,
  end: AttemptEnd,
): ProxyRequest | undefined => {
  const attempt = request.attempts[number];
  if (attempt === undefined || attempt.end !== null) return undefined;
  const under = (work.state.outstanding[attempt.to.id] ?? 1) - 1;
  const { [attempt.to.id]: _gone, ...others } = work.state.outstanding;
  set(work, { outstanding: under > 0 ? { ...others, [attempt.to.id]: under } : others });
  return change(work, request.id, {
    attempts: request.attempts.map((each) => (each.number === number ? { ...each, end } : each)),
  });
};

const derive = (work: Work, request: ProxyRequest): void => {
  if (request.phase === 'over') {
    if (request.attempts.every((attempt) => attempt.end !== null)) forget(work, request);
    return;
  }
  const { attempts, safe, limitAt } = request;
  const move = Attempts.next({
    safe,
    attempts,
    now: work.state.now,
    limitAt,
    mayRepeat: mayTryMore(work, request),
  });
  if (request.callerGone && move.kind === 'open') {
    giveUp(work, request, 503, Attempts.outcomeOf(request.attempts), 'its caller left');
    return;
  }
  if (move.kind === 'open') startAgain(work, request);
  else if (move.kind === 'give-up') giveUp(work, request, move.status, move.outcome, move.why);
};

export const failed = (work: Work, id: number, number: number, sent: Sent, why: string): void => {
  const request = work.state.requests[id];
  if (request === undefined) return;
  const ended = endAttempt(work, request, number, { kind: 'failed', sent, why });
  if (ended === undefined) return;
  const name = ended.attempts[number]?.to.id ?? '';
  if (why !== 'purged' && why !== 'lease') suspectFor(work, name);
  count(work, `attempt-failed.${why}`);
  log(work, 'attempt.failed', { id, attempt: number, to: name, sent, why });
  derive(work, ended);
};

export const answered = (work: Work, id: number, number: number, answer: AttemptAnswer): void => {
  const request = work.state.requests[id];
  const attempt = request?.attempts[number];
  if (request === undefined || attempt === undefined || attempt.end !== null) return;
  const { state } = work;
  const bad = unsound(request, number, answer, state.routes);
  if (bad !== null) {
    work.effects.push({ kind: 'abort', id, attempt: number });
    failed(work, id, number, 'maybe', bad);
    return;
  }
  const { safe } = request;
  const tags = Cache.tags(answer.headers, request.route.tagsHeader);
  const purgedAt = keeps(request.route, request.asked.method)
    ? Cache.purgedSince(state.cache, request.key, tags, attempt.openedAt)
    : null;
  // It may be what a purge was meant to take away, and the time for that is nearly over, or such a
  // purge can't have been heard of: what only reads is then not passed on.
  const doubtful =
    safe && lapsed(work)
      ? 'lease'
      : purgedAt !== null && state.now - purgedAt > 250
        ? 'purged'
        : null;
  if (doubtful !== null && request.phase !== 'over') {
    work.effects.push({ kind: 'abort', id, attempt: number });
    failed(work, id, number, 'maybe', doubtful);
    return;
  }
  if (answer.proof?.misdirected === true) {
    work.effects.push({ kind: 'abort', id, attempt: number });
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
    attempt.to.kind === 'origin' &&
    answer.status >= 500 &&
    mayRepeat(state, request.service) &&
    attemptsLeft(request) > 0 &&
    state.now < request.limitAt;
  // A word of being turned away is passed on for an unsafe request only where it is proved.
  const final =
    (!turnedAway ||
      (safe && answer.status === 429 && answer.proof === undefined) ||
      passedOn(answer)) &&
    !mayTryAgain;
  const ended = endAttempt(work, request, number, {
    kind: 'answered',
    status: answer.status,
    final,
    notRun,
    spent: attempt.to.kind === 'peer' ? spentAt(answer) : null,
  });
  if (ended === undefined) return;
  if (!notRun) tookStanding(work, attempt.to.id, state.now - attempt.openedAt, answer.proof);
  if (attempt.to.kind === 'origin' && notRun) restFor(work, attempt.to.id);
  // What is read whole leaves its conn ready for the next.
  const drop = (): void => {
    if (!answer.whole) work.effects.push({ kind: 'abort', id, attempt: number });
  };
  if (request.phase === 'over') {
    drop();
    derive(work, ended);
    return;
  }
  if (!final) {
    drop();
    if (attempt.to.kind === 'peer' && notRun) suspectFor(work, attempt.to.id);
    derive(work, ended);
    return;
  }
  const fromOrigin = attempt.to.kind === 'origin';
  const attemptMs = state.now - attempt.openedAt;
  if (fromOrigin) {
    const name = request.route.name;
    const old = state.replyBytes[name];
    set(work, {
      replyBytes: {
        ...work.state.replyBytes,
        [name]: old === undefined ? answer.size : old + responseTimeGain * (answer.size - old),
      },
    });
  }
  if (fromOrigin) {
    count(work, 'fetched');
    const { period } = work.state;
    set(work, {
      period: { ...period, attemptMs: period.attemptMs + attemptMs, fetched: period.fetched + 1 },
    });
  } else count(work, 'forwarded');
  const copy = fromOrigin ? copyOf(work, request, attempt, answer, tags, purgedAt) : null;
  if (copy !== null) set(work, { cache: Cache.keep(work.state.cache, copy) });
  else if (request.leads)
    set(work, {
      unkept: {
        ...Object.fromEntries(
          Object.entries(work.state.unkept).filter(([, until]) => until > state.now),
        ),
        [request.key]: state.now + 5_000,
      },
    });
  settle(work, ended, answer.status < 500 ? 'ran' : 'unknown');
  measured(work, request, answer.size, fromOrigin);
  count(work, `status.${answer.status}`);
  if (!request.callerGone) {
    work.effects.push({
      kind: 'answer',
      id,
      answer: {
        status: answer.status,
        headers: {
          ...answer.headers,
          ...spentFields(ended),
          ...(request.asked.via === null
            ? {}
            : { 'reedyard-service': fromOrigin ? serviceOf(attempt) : request.service }),
          'reedyard-served': fromOrigin
            ? request.asked.via === null
              ? 'origin'
              : 'peer-origin'
            : 'peer',
          ...(safe ? {} : { 'reedyard-outcome': answer.status < 500 ? 'ran' : 'unknown' }),
        },
        body: { kind: 'attempt', answer },
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
  request: ProxyRequest,
  attempt: Attempt,
  answer: AttemptAnswer,
  tags: readonly string[],
  purgedAt: number | null,
): Copy | null => {
  const { state } = work;
  if (request.asked.method !== 'GET' || !answer.whole || answer.status === 206 || purgedAt !== null)
    return null;
  const route = Routes.find(state.routes, request.asked.host, request.asked.target);
  const attemptMs = state.now - attempt.openedAt;
  const life =
    route !== undefined && keepsAlways(route)
      ? answer.status === 200
        ? (route.cache.mostSeconds ?? 0) * 1_000
        : 0
      : Cache.life(
          { method: 'GET', url: request.asked.target, headers: request.asked.headers },
          answer,
          attemptMs,
        );
  const { ['reedyard-attempt']: _mark, ...headers } = answer.headers;
  const copy: Copy = {
    key: request.key,
    service: serviceOf(attempt),
    status: answer.status,
    headers,
    body: answer.body,
    size: answer.size,
    tags,
    vary: Cache.vary(answer.headers, request.asked.headers),
    takenAt: state.now,
    freshUntil: state.now + life,
    bornAge:
      route !== undefined && keepsAlways(route)
        ? 0
        : Number(headerText(answer.headers, 'age') ?? 0) + attemptMs / 1_000,
  };
  return life > 0 && state.now < lifeEnd(route, state, copy) ? copy : null;
};
