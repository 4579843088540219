/**
 * Rules that depend only on a request, its route and a response: which requests are rejected, which
 * responses are cached or valid, and which requests may join a fetch. All functions are pure.
 */
import type { Attempt } from '@reedyard/attempts';
import type { CachedResponse } from '@reedyard/cache';
import { type Policy, type Route, Routes, type RouteTable } from '@reedyard/schemas';
import { ClientLimits } from './client-limits.js';
import { isHomeRegion, isIdempotentRequest } from './endpoint-selection.js';
import { maxQueueWaitMs } from './serving.js';
import type { ClientRequest, AttemptResponse, ProxyRequest, ProxyState } from './state.js';

/** The default timeout of a request, in milliseconds. */
const defaultRequestTimeoutMs = 10_000;

/**
 * The share of its route's target time that a request may queue. If it is rejected after that, a
 * retry can still finish in time.
 */
const maxQueueWaitShare = 0.2;

/** The value of a header field as one string; null if the field is missing. */
export const headerText = (headers: ClientRequest['headers'], name: string): string | null => {
  const value = headers[name];
  return value === undefined ? null : typeof value === 'string' ? value : value.join(',');
};

/** A response that rejects a request without running it. */
export type Refusal = {
  readonly status: number;
  readonly title: string;
  readonly detail: string;
  readonly more?: Readonly<Record<string, string>>;
};

/** The header field that tells the forwarding peer why its request is refused. */
const refusalHeader = 'reedyard-refusal';

/**
 * Why a node refuses a request of a peer: it has no lease, and the peer has one, or its policy does
 * not let it serve the request as the peer's policy does.
 */
export type RefusalReason = 'lease' | 'policy';

/** The header fields of a refusal of a peer's request. */
export const refusalHeaders = (reason: RefusalReason): Readonly<Record<string, string>> => ({
  [refusalHeader]: reason,
});

/** Why a peer refused a request; null if it gives no reason that is known here. */
export const refusalReasonOf = (response: AttemptResponse): RefusalReason | null => {
  const reason = headerText(response.headers, refusalHeader);
  return reason === 'lease' || reason === 'policy' ? reason : null;
};

/**
 * Whether a response refuses its request and states that nothing was run. A peer decides nothing for
 * the client of another node: whatever status it refuses with, this node serves the request elsewhere.
 */
export const isUnexecutedRefusal = ({ to }: Attempt, response: AttemptResponse): boolean =>
  headerText(response.headers, 'reedyard-outcome') === 'not-run' &&
  (response.status === 503 || (to.kind === 'peer' && response.status >= 400));

const otherPolicyRefusal: Refusal = {
  status: 503,
  title: 'Other policy',
  detail: 'The policy of this node does not let it serve the request as its peer would.',
  more: refusalHeaders('policy'),
};

/**
 * The response that rejects a request by the policy alone; null if the request is allowed. A peer's
 * request is served as both policies allow it, by the service that the peer drew, or left to the
 * peer: only the node that the client reached refuses by its policy.
 */
export const refusalOf = (
  route: Route | undefined,
  clientRequest: ClientRequest,
  callers: Policy['callers'],
): Refusal | null => {
  const refusal = routeRefusalOf(route, clientRequest, callers);
  if (clientRequest.via === null) return refusal;
  const { service = null } = clientRequest;
  const isAllowed =
    refusal === null && route !== undefined && (service === null || Routes.allows(route, service));
  return isAllowed ? null : otherPolicyRefusal;
};

/** The response that rejects a client's request by its route alone; null if the request is allowed. */
const routeRefusalOf = (
  route: Route | undefined,
  clientRequest: ClientRequest,
  callers: Policy['callers'],
): Refusal | null => {
  if (route === undefined)
    return {
      status: 404,
      title: 'No such place',
      detail: 'No route matches this host and path.',
    };
  if (!(route.methods as readonly string[]).includes(clientRequest.method))
    return {
      status: 405,
      title: 'Method not allowed',
      detail: `This route allows ${route.methods.join(', ')}.`,
      more: { allow: route.methods.join(', ') },
    };
  const maxBodyBytes = route.limits.bodyBytes ?? ClientLimits.of(callers).bodyBytes;
  if (clientRequest.bodyBytes > maxBodyBytes)
    return {
      status: 413,
      title: 'Body too large',
      detail: `This route allows bodies of up to ${maxBodyBytes} bytes.`,
    };
  if (
    route.key === 'required' &&
    !isIdempotentRequest(route, clientRequest.method) &&
    headerText(clientRequest.headers, 'idempotency-key') === null
  )
    return {
      status: 400,
      title: 'Key wanted',
      detail: 'This route allows such a request only with an Idempotency-Key.',
    };
  return null;
};

/** Whether a route allows responses to a method to be cached. */
export const mayCache = (route: Route, method: string): boolean =>
  route.cache.keep !== 'never' && (method === 'GET' || method === 'HEAD');

/** Whether a route caches responses whatever their cache headers say. */
export const isAlwaysCached = (route: Route): boolean => route.cache.keep === 'always';

/** Whether a request may wait for another request's fetch of the same object. */
export const mayJoinFetch = (request: ProxyRequest): boolean =>
  request.clientRequest.method === 'GET' &&
  mayCache(request.route, 'GET') &&
  (isAlwaysCached(request.route) ||
    headerText(request.clientRequest.headers, 'authorization') === null);

/** The deadline of a request: its route's timeout, or earlier if its client waits less. */
export const deadlineOf = (route: Route, clientRequest: ClientRequest, arrivedAt: number): number =>
  arrivedAt +
  Math.min(route.limits.requestMs ?? defaultRequestTimeoutMs, clientRequest.deadlineMs ?? Infinity);

/**
 * How long a request may queue, in milliseconds. A rejection must leave time for a retry within the
 * route's target time.
 */
export const maxQueueWaitMsOf = (request: ProxyRequest): number =>
  Math.min(maxQueueWaitMs, (request.route.targetMs ?? Infinity) * maxQueueWaitShare);

/**
 * Until when a route allows a cached copy on this node, whatever its origin allows, in milliseconds of
 * the monotonic clock: 0 if not at all.
 */
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
 * The service that an attempt went to. It may differ from the service of the request, which a newer
 * policy may have changed since.
 */
export const serviceOfAttempt = (attempt: Attempt): string =>
  attempt.to.id.slice(0, attempt.to.id.indexOf('/'));

/** The reason why a response is invalid and must not be relayed; null if it is valid. */
export const rejectionReasonOf = (
  request: ProxyRequest,
  number: number,
  response: AttemptResponse,
  routes: RouteTable,
): string | null => {
  const attempt = request.attempts[number];
  if (attempt === undefined) return 'unknown attempt';
  if (response.originEvidence !== undefined) return response.originEvidence.mismatch;
  if (headerText(response.headers, 'reedyard-attempt') !== `${request.token}-${number}`)
    return 'foreign';
  const stamp = headerText(response.headers, 'reedyard-stamp');
  if (attempt.to.kind === 'origin') return stamp === attempt.to.id ? null : 'stamp';
  const isUnservedByPeer =
    response.status >= 400 && headerText(response.headers, 'reedyard-outcome') !== null;
  const servingService = headerText(response.headers, 'reedyard-service');
  // The peer may have served the request under a newer policy than that of the attempt.
  const currentRoute = Routes.find(
    routes,
    request.clientRequest.host,
    request.clientRequest.target,
  );
  const services = [
    ...Routes.services(request.route),
    ...(currentRoute === undefined ? [] : Routes.services(currentRoute)),
  ];
  return isUnservedByPeer ||
    services.some(
      ({ service }) => servingService === service || stamp?.startsWith(`${service}/`) === true,
    )
    ? null
    : 'stamp';
};

/**
 * Whether a 502 or 504 is the origin's own response and may be relayed: under a wire format with
 * evidence, a header field marks the requests that were not run.
 */
export const isOriginGatewayError = (response: AttemptResponse): boolean =>
  response.originEvidence !== undefined &&
  !response.originEvidence.notRun &&
  (response.status === 502 || response.status === 504);
