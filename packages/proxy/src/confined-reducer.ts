/**
 * Confines an error in the handling of a request's event to that request, so that unforeseen input
 * of one client, peer or origin can't end the requests of all others.
 */
import { outcomeOf } from '@reedyard/attempts';
import { errorMessage } from '@reedyard/logging';
import type { Reducer, Step } from '@reedyard/task-loop';
import { endAttempt } from './attempt-results.js';
import { closeRequest, failRequest, sendProblem } from './request-completion.js';
import {
  log,
  type ProxyEffect,
  type ProxyEvent,
  type ProxyRequest,
  type ProxyState,
  type Transition,
} from './state.js';

type RequestEvent = Extract<ProxyEvent, { readonly requestId: number }>;

const errorDetail = 'this node could not handle it';

/** Aborts the attempts that are in flight; each of them may have been executed. */
const abortAttempts = (transition: Transition, request: ProxyRequest): ProxyRequest => {
  let current = request;
  for (const { number, result } of request.attempts) {
    if (result !== null) continue;
    transition.effects.push({ kind: 'abort-attempt', requestId: request.id, attempt: number });
    const failure = { kind: 'failed', sent: 'maybe', why: 'error' } as const;
    current = endAttempt(transition, current, number, failure) ?? current;
  }
  return current;
};

/** Ends the request of an event that could not be handled. */
const dropRequest = (
  state: ProxyState,
  event: RequestEvent,
  thrown: unknown,
): Step<ProxyState, ProxyEffect> => {
  const transition: Transition = {
    state: { ...state, now: Math.max(state.now, event.now) },
    effects: [],
  };
  const { requestId: id, kind } = event;
  log(transition, 'request.error', { id, event: kind, why: errorMessage(thrown) });
  const request = state.requests[id];
  if (request !== undefined) {
    const ended = abortAttempts(transition, request);
    if (request.phase === 'over') closeRequest(transition, ended);
    else failRequest(transition, ended, 503, outcomeOf(ended.attempts), errorDetail);
  } else if (kind === 'request-arrived') {
    // None of the effects of its arrival were performed.
    sendProblem(transition, id, 503, 'Not served', `It was not run: ${errorDetail}.`);
  }
  return { state: transition.state, effects: transition.effects };
};

/**
 * A reducer that ends the request of an event which the given reducer can't handle. An error in any
 * other event is thrown: the state that all requests share can't be trusted after it.
 *
 * @example
 * const reduce = confineErrors(ProxyCore.reduce);
 */
export const confineErrors =
  (
    reduce: Reducer<ProxyState, ProxyEvent, ProxyEffect>,
  ): Reducer<ProxyState, ProxyEvent, ProxyEffect> =>
  (state, event) => {
    try {
      return reduce(state, event);
    } catch (thrown) {
      if (!('requestId' in event)) throw thrown;
      return dropRequest(state, event, thrown);
    }
  };
