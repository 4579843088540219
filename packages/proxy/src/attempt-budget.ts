/**
 * How many attempts at origins a request has left, what a peer is granted of them, and how both
 * tell each other what was used.
 */
import { consumedAttempts } from '@reedyard/attempts';
import { hasRetryBudget } from './endpoint-selection.js';
import { headerText, isAlwaysCached } from './request-rules.js';
import type { AttemptResponse, ProxyRequest, Transition } from './state.js';

/**
 * attempts that a node keeps of a request that it hands to a peer, where its route allows more
 * than one: a retry beside the caller can pass over a peer that is slow, gone, or turned away by
 * its origin; the peer's own can't.
 */
const attemptsKept = 1;

/**
 * Whether another attempt adds little to what origins get: those before went to peers alone, which
 * as a rule have a copy.
 */
export const isExemptFromRetryBudget = (request: ProxyRequest): boolean =>
  isAlwaysCached(request.route) && request.attempts.every((attempt) => attempt.to.kind === 'peer');

/** Whether the route's attempts and the retry budget leave another attempt. */
export const mayRetry = (transition: Transition, request: ProxyRequest): boolean =>
  (isExemptFromRetryBudget(request) || hasRetryBudget(transition.state, request.service)) &&
  remainingAttempts(request) > 0;

/** Origins that a request may still be sent to, from here or through peers. */
export const remainingAttempts = (request: ProxyRequest): number => {
  const most = Math.min(
    request.route.limits.attempts ?? Infinity,
    request.clientRequest.attempts ?? Infinity,
  );
  return most === Infinity ? Infinity : most - consumedAttempts(request.attempts);
};

/**
 * What a peer is granted of the attempts left: all but those kept for a retry beside the caller,
 * which also outlives the peer.
 */
export const delegatedAttemptsFor = (left: number): number => Math.max(1, left - attemptsKept);

/** Told to the peer that handed a request on: attempts at origins that were made for it here. */
const consumedAttemptsHeader = 'reedyard-spent';

/** The field that tells a peer how many attempts its request used here. */
export const consumedAttemptsHeaders = (
  request: ProxyRequest | undefined,
): Readonly<Record<string, string>> => {
  const spent = consumedAttempts(request?.attempts ?? []);
  return Number.isFinite(spent) ? { [consumedAttemptsHeader]: String(spent) } : {};
};

/** How many attempts a peer says it used; null where it does not say. */
export const consumedAttemptsOf = (answer: AttemptResponse): number | null => {
  const told = headerText(answer.headers, consumedAttemptsHeader);
  return told !== null && /^\d{1,3}$/.test(told) ? Number(told) : null;
};
