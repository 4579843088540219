/**
 * Rules that hold for one request by its route and its answer alone: what is refused, kept, joined,
 * or taken for sound. Pure functions.
 */
import type { Attempt } from '@reedyard/attempts';
import type { CachedResponse } from '@reedyard/cache';
import { type Policy, type Route, Routes, type RouteTable } from '@reedyard/schemas';
import { ClientLimits } from './client-limits.js';
import { isHomeRegion, isIdempotentRequest } from './endpoint-selection.js';
import { maxQueueWaitMs } from './serving.js';
import type { ClientRequest, AttemptResponse, ProxyRequest, ProxyState } from './state.js';

/** ms. Default limit of a whole request. */
const defaultRequestTimeoutMs = 10_000;

/**
 * share of a request's target that it may wait for its turn: refused by then, another try can
 * still be in time.
 */
const queueWaitShare = 0.2;

/** A field as one text; null where it is missing. */
export const headerText = (headers: ClientRequest['headers'], name: string): string | null => {
  const value = headers[name];
  return value === undefined ? null : typeof value === 'string' ? value : value.join(',');
};

/** Why a request gets nothing by its route, whatever the origins do; null where it may be made. */
export const refusalOf = (
  route: Route | undefined,
  asked: ClientRequest,
  callers: Policy['callers'],
): {
  readonly status: number;
  readonly title: string;
  readonly detail: string;
  readonly more?: Readonly<Record<string, string>>;
} | null => {
  if (route === undefined)
    return {
      status: 404,
      title: 'No such place',
      detail: 'No policy has a route for this host and path.',
    };
  if (!(route.methods as readonly string[]).includes(asked.method))
    return {
      status: 405,
      title: 'Method not allowed',
      detail: `This route takes ${route.methods.join(', ')}.`,
      more: { allow: route.methods.join(', ') },
    };
  const most = route.limits.bodyBytes ?? ClientLimits.of(callers).bodyBytes;
  if (asked.bodyBytes > most)
    return {
      status: 413,
      title: 'Body too large',
      detail: `This route takes bodies of up to ${most} bytes.`,
    };
  if (
    route.key === 'required' &&
    !isIdempotentRequest(route, asked.method) &&
    headerText(asked.headers, 'idempotency-key') === null
  )
    return {
      status: 400,
      title: 'Key wanted',
      detail: 'This route takes such a request only with an Idempotency-Key.',
    };
  return null;
};

/** Whether a route keeps answers to a method. */
export const mayCache = (route: Route, method: string): boolean =>
  route.cache.keep !== 'never' && (method === 'GET' || method === 'HEAD');

/** Whether a route keeps whatever its origin answers. */
export const isAlwaysCached = (route: Route): boolean => route.cache.keep === 'always';

/** Whether a request may wait for another one's fetch of the same object. */
export const mayJoinFetch = (request: ProxyRequest): boolean =>
  request.clientRequest.method === 'GET' &&
  mayCache(request.route, 'GET') &&
  (isAlwaysCached(request.route) ||
    headerText(request.clientRequest.headers, 'authorization') === null);

/**
 * Until when a request is worth serving: its route's limit, or less where its caller waits less.
 */
export const deadlineOf = (route: Route, asked: ClientRequest, arrivedAt: number): number =>
  arrivedAt +
  Math.min(route.limits.requestMs ?? defaultRequestTimeoutMs, asked.deadlineMs ?? Infinity);

/**
 * ms that a request may wait for its turn: a refusal must leave time for another try within its
 * target.
 */
export const maxQueueWaitMsOf = (request: ProxyRequest): number =>
  Math.min(maxQueueWaitMs, (request.route.targetMs ?? Infinity) * queueWaitShare);

/** ms. Until when a route lets a copy live here, whatever its origin allows. */
export const copyExpiresAtMs = (
  route: Route | undefined,
  state: ProxyState,
  copy: CachedResponse,
): number =>
  route === undefined ||
  !Routes.allows(route, copy.service) ||
  !mayCache(route, 'GET') ||
  !isHomeRegion(route.homes, state.self.region)
    ? 0
    : route.cache.mostSeconds === undefined
      ? Infinity
      : copy.storedAt + (route.cache.mostSeconds - copy.initialAgeSeconds) * 1_000;

/**
 * The service that an attempt went to: the request's own may have been drawn anew since, under a
 * newer policy.
 */
export const serviceOfAttempt = (attempt: Attempt): string =>
  attempt.to.id.slice(0, attempt.to.id.indexOf('/'));

/** Why an answer can't be passed on, or null if it is sound. */
export const rejectionReasonOf = (
  request: ProxyRequest,
  number: number,
  answer: AttemptResponse,
  routes: RouteTable,
): string | null => {
  const attempt = request.attempts[number];
  if (attempt === undefined) return 'unknown attempt';
  if (answer.originEvidence !== undefined) return answer.originEvidence.mismatch;
  if (headerText(answer.headers, 'reedyard-attempt') !== `${request.token}-${number}`)
    return 'foreign';
  const stamp = headerText(answer.headers, 'reedyard-stamp');
  if (attempt.to.kind === 'origin') return stamp === attempt.to.id ? null : 'stamp';
  const notServed = answer.status >= 400 && headerText(answer.headers, 'reedyard-outcome') !== null;
  const madeBy = headerText(answer.headers, 'reedyard-service');
  // The peer may have served under a newer policy than the one that the attempt was made under.
  const newer = Routes.find(routes, request.clientRequest.host, request.clientRequest.target);
  const services = [
    ...Routes.services(request.route),
    ...(newer === undefined ? [] : Routes.services(newer)),
  ];
  return notServed ||
    services.some(({ service }) => madeBy === service || stamp?.startsWith(`${service}/`) === true)
    ? null
    : 'stamp';
};

/**
 * An origin's own word, under a dialect that tells what did not run by a field: its 502 or 504 is
 * its answer and is passed on.
 */
export const isOriginGatewayError = (answer: AttemptResponse): boolean =>
  answer.originEvidence !== undefined &&
  !answer.originEvidence.notRun &&
  (answer.status === 502 || answer.status === 504);
