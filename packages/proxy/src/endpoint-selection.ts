/**
 * Selects the target of a request: the server drawn from the routing table, or the origin with the
 * lowest expected cost. Also manages quota tokens, retry tokens, concurrency limits and ejections.
 */
import type { OriginEndpoint, PeerEndpoint } from '@reedyard/agent';
import { isIdempotentMethod } from '@reedyard/attempts';
import { type Route, Routes } from '@reedyard/schemas';
import { placementKey, objectKey, rendezvousOwner } from '@reedyard/server-selection';
import type { OriginEvidence } from './wire-format.js';
import { minEjectionMs } from './ejection-timing.js';
import { responseTimeGain } from './response-times.js';
import {
  type Bucket,
  type OriginHealth,
  type ProxyRequest,
  type ProxyState,
  type Transition,
  update,
} from './state.js';

/**
 * How long an origin that rejected a request as full is passed over, so that it can finish some, in
 * milliseconds.
 */
export const fullOriginPauseMs = 150;

/** How long a peer that has no lease is passed over: one feed of it, in milliseconds. */
export const peerWithoutLeasePauseMs = 250;

/**
 * The time constant with which an origin's load report decays, in milliseconds: a few times the
 * duration of a request.
 */
const loadDecayMs = 300;

/**
 * The maximum ejection time, in milliseconds. Each node tries a dead instance again at this interval
 * until the instance is forgotten.
 */
const maxEjectionMs = 8_000;

/**
 * The time constant with which an origin's response time decays towards the mean of all origins, in
 * milliseconds, while it sends no further responses.
 */
const responseTimeDecayMs = 5_000;

/**
 * How many seconds of its rate a token bucket may save. The requirements allow a tenth over 5 s,
 * which is 0.5 s.
 */
const burstSeconds = 0.2;

/**
 * The share of an origin's connection limit that all nodes use together; the rest allows for old
 * connections of restarted nodes.
 */
const connectionShare = 0.9;

/**
 * The extra cost of an origin in another region, in milliseconds. It is selected only if the node's
 * own region has none.
 */
const otherRegionPenaltyMs = 1_000;

/** The number of requests that a node may always have in flight at an origin. */
const minOriginConcurrency = 2;

/** The number of randomly drawn origins for each attempt, of which the one of lowest cost is used. */
const drawnOriginCount = 3;

/** The maximum number of retry tokens that a node may save for a service. */
const maxRetryTokens = 3;

/** The maximum number of retry tokens of all nodes together; the requirements allow a slack of 60. */
const maxRetryTokensOfFleet = 45;

/** The retry tokens that one request adds; less than the fifth that the requirements allow. */
const retryTokensPerRequest = 0.15;

/**
 * The number of requests in flight for each slot of an origin, over all nodes: one that the origin
 * processes and one that waits.
 */
const concurrencyPerSlot = 2;

/** The cost of a byte between zones in the selection of an origin, in milliseconds: 25 ms for 100 kB. */
const otherZoneMsPerByte = 0.000_25;

const isEjected = (state: ProxyState, name: string): boolean =>
  (state.ejectedUntil[name] ?? 0) > state.now;

/** The origin id, which names one incarnation of an origin: service/instance/incarnation. */
export const originIdOf = (origin: OriginEndpoint): string =>
  `${origin.service}/${origin.instance}/${origin.incarnation}`;

/** Whether a region is among a route's home regions, where its objects may be fetched and cached. */
export const isHomeRegion = (homeRegions: readonly string[] | undefined, region: string): boolean =>
  homeRegions === undefined || homeRegions.includes(region);

/** Whether a request on a route may run more than once. */
export const isIdempotentRequest = (route: Route, method: string): boolean =>
  route.repeat === 'safe' || (route.repeat !== 'never' && isIdempotentMethod(method));

/**
 * Draws the service of a request by the weights of its route. Returns the previously drawn service
 * if the route still has it.
 */
export const drawService = (route: Route, randomNumber: number, previous?: string): string => {
  const services = Routes.services(route);
  if (previous !== undefined && services.some(({ service }) => service === previous))
    return previous;
  let remaining = randomNumber * services.reduce((sum, { weight }) => sum + weight, 0);
  for (const { service, weight } of services) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return Routes.mainService(route);
};

/** The peers that this request may be forwarded to, nearest first. */
export const allowedPeers = (state: ProxyState, request: ProxyRequest): readonly PeerEndpoint[] => {
  const triedIds = new Set(request.attempts.map((attempt) => attempt.to.id));
  return (state.feed?.peers ?? []).filter(
    (peer) =>
      isHomeRegion(request.route.homes, peer.region) &&
      !triedIds.has(peer.id) &&
      !isEjected(state, peer.id),
  );
};

/**
 * Draws the server of a request by the shares of its routing table row, among the nodes that may
 * serve it now. Without a usable row, the node serves the request itself if it may, or else forwards
 * it to the nearest peer that may; null if there is none.
 */
export const drawServer = (
  state: ProxyState,
  request: ProxyRequest,
): 'self' | PeerEndpoint | null => {
  const isHome = isHomeRegion(request.route.homes, state.self.region);
  if (request.clientRequest.via !== null) return isHome ? 'self' : null;
  const routingTable = state.feed?.split ?? {};
  const { name } = request.route;
  const owner = rendezvousOwner(request.key, state.ownersByRoute[name] ?? []);
  const row =
    (owner === undefined
      ? (routingTable[objectKey(name, request.clientRequest.target)] ??
        routingTable[objectKey(name, null)])
      : routingTable[placementKey(name, owner)]) ?? [];
  if (isHome && row.every(([edge]) => edge === state.self.id)) return 'self';
  const peers = allowedPeers(state, request);
  const candidates = row.flatMap(
    ([edge, share]): readonly (readonly ['self' | PeerEndpoint, number])[] => {
      if (edge === state.self.id) return isHome ? [['self', share]] : [];
      const peer = peers.find((candidate) => candidate.id === edge);
      return peer === undefined ? [] : [[peer, share]];
    },
  );
  let remaining =
    (request.randomNumbers[0] ?? 0) * candidates.reduce((sum, [, share]) => sum + share, 0);
  for (const [server, share] of candidates) {
    remaining -= share;
    if (remaining < 0) return server;
  }
  const last = candidates.at(-1);
  if (last !== undefined) return last[0];
  return isHome ? 'self' : (peers[0] ?? null);
};

const bucketCapacity = (rate: number): number => Math.max(1, rate * burstSeconds);
const tokensAt = (bucket: Bucket, now: number): number =>
  Math.min(
    bucketCapacity(bucket.rate),
    bucket.tokens + (bucket.rate * Math.max(0, now - bucket.at)) / 1_000,
  );

/**
 * Takes a quota token if there is one. A bucket starts empty; a changed rate applies only from now
 * on, and a lowered rate discards tokens beyond the new capacity.
 */
export const takeToken = (transition: Transition, name: string, rate: number): boolean => {
  if (rate === Infinity) return true;
  const old = transition.state.buckets[name] ?? { tokens: 0, at: transition.state.now, rate };
  const tokens = Math.min(bucketCapacity(rate), tokensAt(old, transition.state.now));
  const isTaken = tokens >= 1;
  update(transition, {
    buckets: {
      ...transition.state.buckets,
      [name]: { tokens: isTaken ? tokens - 1 : tokens, at: transition.state.now, rate },
    },
  });
  return isTaken;
};

/** Returns an unused quota token. */
export const returnToken = (transition: Transition, name: string): void => {
  const bucket = transition.state.buckets[name];
  if (bucket !== undefined)
    update(transition, {
      buckets: { ...transition.state.buckets, [name]: { ...bucket, tokens: bucket.tokens + 1 } },
    });
};

/** How long until a bucket has a token after `ahead` others, in milliseconds; Infinity if never. */
export const tokenWaitMs = (
  state: ProxyState,
  name: string,
  rate: number,
  ahead: number,
): number => {
  if (rate === Infinity) return 0;
  const bucket = state.buckets[name];
  const tokens = bucket === undefined ? 0 : tokensAt(bucket, state.now);
  return rate <= 0 ? Infinity : Math.max(0, ((1 + ahead - tokens) / rate) * 1_000);
};

/** The number of nodes that share the origins, including this one. */
const nodeCountOf = (state: ProxyState): number => (state.feed?.peers.length ?? 0) + 1;

/**
 * The maximum number of requests that this node may have in flight at an origin: its part of the
 * requests that the origin processes and queues, and of the connections that the origin accepts.
 */
export const maxConcurrencyOf = (state: ProxyState, origin: OriginEndpoint): number => {
  const nodeCount = nodeCountOf(state);
  const slots =
    origin.slots === null || origin.slots === undefined
      ? Infinity
      : Math.max(minOriginConcurrency, Math.ceil((origin.slots * concurrencyPerSlot) / nodeCount));
  const connections =
    origin.conns === null || origin.conns === undefined
      ? Infinity
      : Math.max(1, Math.floor((origin.conns * connectionShare) / nodeCount));
  return Math.min(slots, connections);
};

/**
 * The estimated number of requests at an origin: those of this node, and those of others by the
 * origin's last load report, which decays with its age.
 */
const estimatedLoadOf = (state: ProxyState, name: string): number => {
  const ownInFlight = state.inFlightCounts[name] ?? 0;
  const load = state.originHealth[name]?.load;
  if (!load) return ownInFlight;
  return (
    ownInFlight +
    Math.max(0, load.running + load.waiting - load.ownInFlight) *
      Math.exp((load.at - state.now) / loadDecayMs)
  );
};

/**
 * The expected response time of an origin, in milliseconds: its own mean, which decays towards the
 * mean of all origins while no responses arrive.
 */
export const expectedResponseMs = (
  state: ProxyState,
  origin: OriginEndpoint,
  meanMs: number,
): number => {
  const health = state.originHealth[originIdOf(origin)];
  return health === undefined
    ? meanMs
    : meanMs +
        (health.meanResponseMs - meanMs) *
          Math.exp((health.lastResponseAt - state.now) / responseTimeDecayMs);
};

/** The mean response time of some origins, in milliseconds; 0 if none has responded yet. */
export const meanResponseMsOf = (state: ProxyState, origins: readonly OriginEndpoint[]): number => {
  const responseTimes = origins.flatMap((origin) => {
    const health = state.originHealth[originIdOf(origin)];
    return health === undefined ? [] : [health.meanResponseMs];
  });
  return responseTimes.length === 0
    ? 0
    : responseTimes.reduce((sum, ms) => sum + ms, 0) / responseTimes.length;
};

/**
 * The expected cost of an attempt at an origin, in milliseconds: its expected response time, more
 * the fuller it is, and the cost of the bytes that pass between zones.
 */
const costOf = (
  state: ProxyState,
  origin: OriginEndpoint,
  meanMs: number,
  meanReplyBytes: number,
): number => {
  const responseMs = Math.max(1, expectedResponseMs(state, origin, meanMs));
  const slots = origin.slots ?? Math.max(1, (origin.capacity * Math.max(1, meanMs)) / 1_000);
  const utilisation = (estimatedLoadOf(state, originIdOf(origin)) + 1) / slots;
  const distanceMs =
    origin.region !== state.self.region
      ? otherRegionPenaltyMs
      : origin.zone !== state.self.zone
        ? meanReplyBytes * otherZoneMsPerByte
        : 0;
  return (
    responseMs * (utilisation <= 1 ? 1 + 0.5 * utilisation * utilisation : 1.5 * utilisation) +
    distanceMs
  );
};

/**
 * Ranks the instances for an attempt, best first: the one of lowest expected cost among a few drawn
 * at random, so that nodes with the same knowledge don't all select the same one, and then the
 * others by their cost.
 */
export const rankOrigins = (
  state: ProxyState,
  request: ProxyRequest,
  meanReplyBytes = 0,
): readonly OriginEndpoint[] => {
  const triedIds = new Set(request.attempts.map((attempt) => attempt.to.id));
  const origins = (state.feed?.origins ?? []).filter(
    (origin) =>
      origin.service === request.service && isHomeRegion(request.route.homes, origin.region),
  );
  const untried = origins.filter((origin) => !triedIds.has(originIdOf(origin)));
  const available = untried.filter((origin) => !isEjected(state, originIdOf(origin)));
  // If all origins are ejected, an ejected one is still better than none.
  const pool = available.length > 0 ? available : untried.length > 0 ? untried : origins;
  const meanMs = meanResponseMsOf(state, pool);
  const costs = pool.map((origin) => ({
    origin,
    cost: costOf(state, origin, meanMs, meanReplyBytes),
  }));
  let remaining = [...costs];
  let best: (typeof costs)[number] | undefined;
  for (let drawn = 0; drawn < drawnOriginCount && remaining.length > 0; drawn += 1) {
    const randomNumber =
      request.randomNumbers[
        1 +
          ((request.attempts.length * drawnOriginCount + drawn) %
            Math.max(1, request.randomNumbers.length - 1))
      ] ?? 0.5;
    const candidate =
      remaining[Math.min(remaining.length - 1, Math.floor(randomNumber * remaining.length))];
    remaining = remaining.filter((each) => each !== candidate);
    if (candidate !== undefined && (best === undefined || candidate.cost < best.cost))
      best = candidate;
  }
  const rest = costs.filter((each) => each !== best).sort((a, b) => a.cost - b.cost);
  return [...(best === undefined ? [] : [best]), ...rest].map(({ origin }) => origin);
};

/** Ejects an endpoint after a failure, longer with each further failure before a valid response. */
export const ejectEndpoint = (transition: Transition, name: string): void => {
  const failures = (transition.state.originHealth[name]?.failures ?? 0) + 1;
  const health = transition.state.originHealth[name];
  const stillEjected = Object.fromEntries(
    Object.entries(transition.state.ejectedUntil).filter(
      ([, until]) => until > transition.state.now,
    ),
  );
  update(transition, {
    ejectedUntil: {
      ...stillEjected,
      [name]:
        transition.state.now +
        Math.min(maxEjectionMs, minEjectionMs * 2 ** Math.min(10, failures - 1)),
    },
    ...(health === undefined
      ? {}
      : { originHealth: { ...transition.state.originHealth, [name]: { ...health, failures } } }),
  });
};

/** Passes over an endpoint that rejected a request, only for a short time in which that may change. */
export const pauseEndpoint = (transition: Transition, name: string, pauseMs: number): void =>
  update(transition, {
    ejectedUntil: {
      ...transition.state.ejectedUntil,
      [name]: Math.max(transition.state.ejectedUntil[name] ?? 0, transition.state.now + pauseMs),
    },
  });

/** Records the response time and the load report of a valid response. */
export const recordResponse = (
  transition: Transition,
  name: string,
  responseMs: number,
  proof: OriginEvidence | undefined,
): void => {
  const old = transition.state.originHealth[name];
  const reportedLoad = proof?.load;
  const next: OriginHealth = {
    meanResponseMs:
      old === undefined
        ? responseMs
        : old.meanResponseMs + responseTimeGain * (responseMs - old.meanResponseMs),
    lastResponseAt: transition.state.now,
    failures: 0,
    load: reportedLoad
      ? {
          ...reportedLoad,
          at: transition.state.now,
          ownInFlight: transition.state.inFlightCounts[name] ?? 0,
        }
      : (old?.load ?? null),
  };
  update(transition, { originHealth: { ...transition.state.originHealth, [name]: next } });
};

/** Adds a request's fraction of a retry token to the retry budget of its service. */
export const depositRetryToken = (transition: Transition, service: string): void =>
  update(transition, {
    retryTokens: {
      ...transition.state.retryTokens,
      [service]: Math.min(
        Math.max(
          1,
          Math.min(maxRetryTokens, maxRetryTokensOfFleet / nodeCountOf(transition.state)),
        ),
        (transition.state.retryTokens[service] ?? 0) + retryTokensPerRequest,
      ),
    },
  });
/** Whether the retry budget of a service has at least one token. */
export const hasRetryBudget = (state: ProxyState, service: string): boolean =>
  (state.retryTokens[service] ?? 0) >= 1;
/** Takes a retry token from the retry budget of a service. */
export const spendRetryToken = (transition: Transition, service: string): void =>
  update(transition, {
    retryTokens: {
      ...transition.state.retryTokens,
      [service]: (transition.state.retryTokens[service] ?? 0) - 1,
    },
  });
