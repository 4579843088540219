/** Learns how an attempt ended, and derives the next move from the ledger alone. */
import {
  type Attempt,
  type AttemptResult,
  decideNextStep,
  outcomeOf,
  type SendProgress,
} from '@reedyard/attempts';
import { Cache, type CachedResponse } from '@reedyard/cache';
import { Routes } from '@reedyard/schemas';
import {
  consumedAttemptsHeaders,
  consumedAttemptsOf,
  mayRetry,
  remainingAttempts,
} from './attempt-budget.js';
import {
  ejectEndpoint,
  hasRetryBudget,
  recordResponse,
  pauseFullOrigin,
} from './endpoint-selection.js';
import {
  closeRequest,
  failRequest,
  removeRequest,
  finishFetch,
  isLeaseExpired,
  recordReply,
  settleClaim,
} from './request-completion.js';
import {
  copyExpiresAtMs,
  headerText,
  mayCache,
  isAlwaysCached,
  isOriginGatewayError,
  serviceOfAttempt,
  rejectionReasonOf,
} from './request-rules.js';
import { responseTimeGain } from './response-times.js';
import { continueRequest } from './serving.js';
import {
  type AttemptResponse,
  count,
  log,
  type ProxyRequest,
  type Transition,
  update,
  updateRequest,
} from './state.js';

/** Notes how an attempt ended. */
export const endAttempt = (
  transition: Transition,
  request: ProxyRequest,
  number: number,
  end: AttemptResult,
): ProxyRequest | undefined => {
  const attempt = request.attempts[number];
  if (attempt === undefined || attempt.result !== null) return undefined;
  const under = (transition.state.inFlightCounts[attempt.to.id] ?? 1) - 1;
  const { [attempt.to.id]: _gone, ...others } = transition.state.inFlightCounts;
  update(transition, {
    inFlightCounts: under > 0 ? { ...others, [attempt.to.id]: under } : others,
  });
  return updateRequest(transition, request.id, {
    attempts: request.attempts.map((each) =>
      each.number === number ? { ...each, result: end } : each,
    ),
  });
};

const derive = (transition: Transition, request: ProxyRequest): void => {
  if (request.phase === 'over') {
    if (request.attempts.every((attempt) => attempt.result !== null))
      removeRequest(transition, request);
    return;
  }
  const { attempts, isIdempotent: safe, deadlineAt: limitAt } = request;
  const move = decideNextStep({
    safe,
    attempts,
    now: transition.state.now,
    requestDeadlineAt: limitAt,
    hasRetryBudget: mayRetry(transition, request),
  });
  if (request.hasClientLeft && move.kind === 'open') {
    failRequest(transition, request, 503, outcomeOf(request.attempts), 'its caller left');
    return;
  }
  if (move.kind === 'open') continueRequest(transition, request);
  else if (move.kind === 'fail')
    failRequest(transition, request, move.status, move.outcome, move.why);
};

/** An attempt failed: retry, or fail the request. */
export const handleAttemptFailure = (
  transition: Transition,
  id: number,
  number: number,
  sent: SendProgress,
  why: string,
): void => {
  const request = transition.state.requests[id];
  if (request === undefined) return;
  const ended = endAttempt(transition, request, number, { kind: 'failed', sent, why });
  if (ended === undefined) return;
  const name = ended.attempts[number]?.to.id ?? '';
  if (why !== 'purged' && why !== 'lease') ejectEndpoint(transition, name);
  count(transition, `attempt-failed.${why}`);
  log(transition, 'attempt.failed', { id, attempt: number, to: name, sent, why });
  derive(transition, ended);
};

/** An attempt was answered: check the evidence, then answer the client, retry, or fail. */
export const handleAttemptAnswer = (
  transition: Transition,
  id: number,
  number: number,
  answer: AttemptResponse,
): void => {
  const request = transition.state.requests[id];
  const attempt = request?.attempts[number];
  if (request === undefined || attempt === undefined || attempt.result !== null) return;
  const { state } = transition;
  const bad = rejectionReasonOf(request, number, answer, state.routes);
  if (bad !== null) {
    transition.effects.push({ kind: 'abort-attempt', requestId: id, attempt: number });
    handleAttemptFailure(transition, id, number, 'maybe', bad);
    return;
  }
  const { isIdempotent: safe } = request;
  const tags = Cache.tags(answer.headers, request.route.tagsHeader);
  const purgedAt = mayCache(request.route, request.clientRequest.method)
    ? Cache.firstPurgeSince(state.cache, request.key, tags, attempt.openedAt)
    : null;
  // It may be what a purge was meant to take away, and the time for that is nearly over, or such a
  // purge can't have been heard of: what only reads is then not passed on.
  const doubtful =
    safe && isLeaseExpired(transition)
      ? 'lease'
      : purgedAt !== null && state.now - purgedAt > 250
        ? 'purged'
        : null;
  if (doubtful !== null && request.phase !== 'over') {
    transition.effects.push({ kind: 'abort-attempt', requestId: id, attempt: number });
    handleAttemptFailure(transition, id, number, 'maybe', doubtful);
    return;
  }
  if (answer.originEvidence?.isMisdirected === true) {
    transition.effects.push({ kind: 'abort-attempt', requestId: id, attempt: number });
    handleAttemptFailure(transition, id, number, 'nothing', 'identity');
    return;
  }
  const notRun =
    answer.originEvidence?.notRun ??
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
    hasRetryBudget(state, request.service) &&
    remainingAttempts(request) > 0 &&
    state.now < request.deadlineAt;
  // A word of being turned away is passed on for an unsafe request only where it is proved.
  const final =
    (!turnedAway ||
      (safe && answer.status === 429 && answer.originEvidence === undefined) ||
      isOriginGatewayError(answer)) &&
    !mayTryAgain;
  const ended = endAttempt(transition, request, number, {
    kind: 'answered',
    status: answer.status,
    final,
    provablyNotExecuted: notRun,
    consumedAttempts: attempt.to.kind === 'peer' ? consumedAttemptsOf(answer) : null,
  });
  if (ended === undefined) return;
  if (!notRun)
    recordResponse(transition, attempt.to.id, state.now - attempt.openedAt, answer.originEvidence);
  if (attempt.to.kind === 'origin' && notRun) pauseFullOrigin(transition, attempt.to.id);
  // What is read whole leaves its conn ready for the next.
  const drop = (): void => {
    if (!answer.isComplete)
      transition.effects.push({ kind: 'abort-attempt', requestId: id, attempt: number });
  };
  if (request.phase === 'over') {
    drop();
    derive(transition, ended);
    return;
  }
  if (!final) {
    drop();
    if (attempt.to.kind === 'peer' && notRun) ejectEndpoint(transition, attempt.to.id);
    derive(transition, ended);
    return;
  }
  const fromOrigin = attempt.to.kind === 'origin';
  const attemptMs = state.now - attempt.openedAt;
  if (fromOrigin) {
    const name = request.route.name;
    const old = state.meanReplyBytes[name];
    update(transition, {
      meanReplyBytes: {
        ...transition.state.meanReplyBytes,
        [name]: old === undefined ? answer.size : old + responseTimeGain * (answer.size - old),
      },
    });
  }
  if (fromOrigin) {
    count(transition, 'fetched');
    const { trafficPeriod: period } = transition.state;
    update(transition, {
      trafficPeriod: {
        ...period,
        attemptMs: period.attemptMs + attemptMs,
        fetched: period.fetched + 1,
      },
    });
  } else count(transition, 'forwarded');
  const copy = fromOrigin ? copyOf(transition, request, attempt, answer, tags, purgedAt) : null;
  if (copy !== null) update(transition, { cache: Cache.keep(transition.state.cache, copy) });
  else if (request.isFetchLeader)
    update(transition, {
      uncacheableKeys: {
        ...Object.fromEntries(
          Object.entries(transition.state.uncacheableKeys).filter(([, until]) => until > state.now),
        ),
        [request.key]: state.now + 5_000,
      },
    });
  settleClaim(transition, ended, answer.status < 500 ? 'ran' : 'unknown');
  recordReply(transition, request, answer.size, fromOrigin);
  count(transition, `status.${answer.status}`);
  if (!request.hasClientLeft) {
    transition.effects.push({
      kind: 'send-answer',
      requestId: id,
      answer: {
        status: answer.status,
        headers: {
          ...answer.headers,
          ...consumedAttemptsHeaders(ended),
          ...(request.clientRequest.via === null
            ? {}
            : { 'reedyard-service': fromOrigin ? serviceOfAttempt(attempt) : request.service }),
          'reedyard-served': fromOrigin
            ? request.clientRequest.via === null
              ? 'origin'
              : 'peer-origin'
            : 'peer',
          ...(safe ? {} : { 'reedyard-outcome': answer.status < 500 ? 'ran' : 'unknown' }),
        },
        body: { kind: 'attempt', answer },
      },
    });
  } else drop();
  closeRequest(transition, ended);
  finishFetch(transition, ended, copy, null);
};

/**
 * What is kept of an answer: only as the route in force now has it, and only if its service is
 * still that one.
 */
const copyOf = (
  transition: Transition,
  request: ProxyRequest,
  attempt: Attempt,
  answer: AttemptResponse,
  tags: readonly string[],
  purgedAt: number | null,
): CachedResponse | null => {
  const { state } = transition;
  if (
    request.clientRequest.method !== 'GET' ||
    !answer.isComplete ||
    answer.status === 206 ||
    purgedAt !== null
  )
    return null;
  const route = Routes.find(state.routes, request.clientRequest.host, request.clientRequest.target);
  const attemptMs = state.now - attempt.openedAt;
  const life =
    route !== undefined && isAlwaysCached(route)
      ? answer.status === 200
        ? (route.cache.mostSeconds ?? 0) * 1_000
        : 0
      : Cache.life(
          {
            method: 'GET',
            url: request.clientRequest.target,
            headers: request.clientRequest.headers,
          },
          answer,
          attemptMs,
        );
  const { ['reedyard-attempt']: _mark, ...headers } = answer.headers;
  const copy: CachedResponse = {
    key: request.key,
    service: serviceOfAttempt(attempt),
    status: answer.status,
    headers,
    body: answer.body,
    sizeBytes: answer.size,
    tags,
    vary: Cache.vary(answer.headers, request.clientRequest.headers),
    storedAt: state.now,
    freshUntil: state.now + life,
    initialAgeSeconds:
      route !== undefined && isAlwaysCached(route)
        ? 0
        : Number(headerText(answer.headers, 'age') ?? 0) + attemptMs / 1_000,
  };
  return life > 0 && state.now < copyExpiresAtMs(route, state, copy) ? copy : null;
};
