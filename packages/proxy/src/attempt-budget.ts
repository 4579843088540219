/**
 * How many attempts at origins a request has left, how many of them a peer is granted, and the header
 * with which a peer reports how many it consumed.
 */
import { type Attempt, consumedAttempts } from '@reedyard/attempts';
import { hasRetryBudget } from './endpoint-selection.js';
import { headerText, isAlwaysCached } from './request-rules.js';
import type { AttemptResponse, ProxyRequest, Transition } from './state.js';

/**
 * How many attempts a node reserves for itself when it forwards a request to a peer and the route
 * allows more than one. A retry on the node that the client reached can avoid a peer that is slow,
 * crashed, or rejected by its origin; a retry on that peer can't.
 */
const reservedAttempts = 1;

/** Whether an attempt went to a peer that refused it, and that made no attempt at an origin for it. */
const isRefusedByPeer = ({ to, result }: Attempt): boolean =>
  to.kind === 'peer' &&
  result?.kind === 'answered' &&
  result.provablyNotExecuted &&
  result.consumedAttempts === 0;

/**
 * Whether another attempt needs no retry token: all previous attempts went to peers, which refused
 * them without any load on origins, or which usually have a cached copy, so that another one adds
 * little load on origins.
 */
export const isExemptFromRetryBudget = (request: ProxyRequest): boolean =>
  request.attempts.every(
    (attempt) =>
      (attempt.to.kind === 'peer' && isAlwaysCached(request.route)) || isRefusedByPeer(attempt),
  );

/** Whether the route's maximum number of attempts and the retry budget allow another attempt. */
export const mayRetry = (transition: Transition, request: ProxyRequest): boolean =>
  (isExemptFromRetryBudget(request) || hasRetryBudget(transition.state, request.service)) &&
  remainingAttempts(request) > 0;

/** How many attempts at origins a request has left, from this node or through peers. */
export const remainingAttempts = (request: ProxyRequest): number => {
  const maxAttempts = Math.min(
    request.route.limits.attempts ?? Infinity,
    request.clientRequest.attempts ?? Infinity,
  );
  return maxAttempts === Infinity ? Infinity : maxAttempts - consumedAttempts(request.attempts);
};

/**
 * How many of the remaining attempts a peer is granted: all but those reserved for a retry on this
 * node, which is possible even if the peer crashes.
 */
export const delegatedAttemptsFor = (remaining: number): number =>
  Math.max(1, remaining - reservedAttempts);

/** The response header that reports to the forwarding peer how many attempts at origins were made. */
const consumedAttemptsHeader = 'reedyard-spent';

/** The header that reports to a peer how many attempts its request consumed on this node. */
export const consumedAttemptsHeaders = (
  request: ProxyRequest | undefined,
): Readonly<Record<string, string>> => {
  const consumed = consumedAttempts(request?.attempts ?? []);
  return Number.isFinite(consumed) ? { [consumedAttemptsHeader]: String(consumed) } : {};
};

/** How many attempts a peer reports to have consumed; null if it does not report a valid number. */
export const consumedAttemptsOf = (response: AttemptResponse): number | null => {
  const value = headerText(response.headers, consumedAttemptsHeader);
  return value !== null && /^\d{1,3}$/.test(value) ? Number(value) : null;
};
