/**
 * Whom a request goes to: the server drawn by the routing table, the origin ranked first by its
 * health, and whether a quota token, a retry token and a free slot are left for it.
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
 * ms. An origin that refused for being full is passed over: some requests end there meanwhile.
 */
const fullOriginRestMs = 150;

/**
 * ms. What an origin told of its load counts for this long, fading: some times a request's own.
 */
const loadMemoryMs = 300;

/** ms. A dead instance is then tried by each node at most this seldom, until it is forgotten. */
const maxEjectionMs = 8_000;

/**
 * ms. How long ago an origin's time to answer was met before it counts as the mean again,
 * fading.
 */
const responseTimeMemoryMs = 5_000;

/** s of a quota a bucket may save: the requirements allow a tenth over 5 s, which is 0.5 s. */
const burstSeconds = 0.2;

/** share of an origin's conns that nodes use together: a restarted node's old ones may linger. */
const connectionShare = 0.9;

/** ms that an origin in another region weighs more: it is taken where its own region has none. */
const otherRegionPenaltyMs = 1_000;

/** requests that a node may always have under way at an origin. */
const minOriginConcurrency = 2;

/** origins that are drawn by chance for each attempt, the best of which is taken. */
const originsDrawn = 3;

/** repeats a node may have saved, and all nodes together: the requirements' slack is 60. */
const maxRetryTokens = 3;

/**  */
const maxRetryTokensOfFleet = 45;

/** repeats earned by one request. Under the requirements' fifth. */
const retryTokensPerRequest = 0.15;

/**
 * requests under way for each slot of an origin, over all nodes: what it works on, and as many
 * waiting.
 */
const concurrencyPerSlot = 2;

/** ms that a byte between zones weighs in the choice of an origin: 100 kB weigh as 25 ms. */
const otherZoneMsPerByte = 0.000_25;

const isEjected = (state: ProxyState, name: string): boolean =>
  (state.ejectedUntil[name] ?? 0) > state.now;

/** The name of one incarnation of an origin: service/instance/incarnation. */
export const originIdOf = (row: OriginEndpoint): string =>
  `${row.service}/${row.instance}/${row.incarnation}`;

/** Whether a route's reports may be fetched and kept here. */
export const isHomeRegion = (homes: readonly string[] | undefined, region: string): boolean =>
  homes === undefined || homes.includes(region);

/** Whether a request on a route may run more than once. */
export const isIdempotentRequest = (route: Route, method: string): boolean =>
  route.repeat === 'safe' || (route.repeat !== 'never' && isIdempotentMethod(method));

/**
 * The service of a request, drawn by the weights of its route; the one drawn before where the route
 * still has it.
 */
export const drawService = (route: Route, draw: number, before?: string): string => {
  const services = Routes.services(route);
  if (before !== undefined && services.some(({ service }) => service === before)) return before;
  let left = draw * services.reduce((sum, { weight }) => sum + weight, 0);
  for (const { service, weight } of services) {
    left -= weight;
    if (left < 0) return service;
  }
  return Routes.mainService(route);
};

/** Peers that may be given this request, nearest first. */
export const allowedPeers = (state: ProxyState, request: ProxyRequest): readonly PeerEndpoint[] => {
  const tried = new Set(request.attempts.map((attempt) => attempt.to.id));
  return (state.feed?.peers ?? []).filter(
    (row) =>
      isHomeRegion(request.route.homes, row.region) &&
      !tried.has(row.id) &&
      !isEjected(state, row.id),
  );
};

/**
 * The draw: this edge's row of the routing table for the object, over those that may serve it now.
 * Without a row the edge serves itself where it may, or else hands on to the nearest that may.
 */
export const drawServer = (
  state: ProxyState,
  request: ProxyRequest,
): 'self' | PeerEndpoint | null => {
  const home = isHomeRegion(request.route.homes, state.self.region);
  if (request.clientRequest.via !== null) return home ? 'self' : null;
  const split = state.feed?.split ?? {};
  const { name } = request.route;
  const holder = rendezvousOwner(request.key, state.ownersByRoute[name] ?? []);
  const row =
    (holder === undefined
      ? (split[objectKey(name, request.clientRequest.target)] ?? split[objectKey(name, null)])
      : split[placementKey(name, holder)]) ?? [];
  if (home && row.every(([edge]) => edge === state.self.id)) return 'self';
  const peers = allowedPeers(state, request);
  const open = row.flatMap(
    ([edge, share]): readonly (readonly ['self' | PeerEndpoint, number])[] => {
      if (edge === state.self.id) return home ? [['self', share]] : [];
      const peer = peers.find((each) => each.id === edge);
      return peer === undefined ? [] : [[peer, share]];
    },
  );
  let left = (request.randomNumbers[0] ?? 0) * open.reduce((sum, [, share]) => sum + share, 0);
  for (const [server, share] of open) {
    left -= share;
    if (left < 0) return server;
  }
  const last = open.at(-1);
  if (last !== undefined) return last[0];
  return home ? 'self' : (peers[0] ?? null);
};

const bucketCapacity = (rate: number): number => Math.max(1, rate * burstSeconds);
const filled = (bucket: Bucket, now: number): number =>
  Math.min(
    bucketCapacity(bucket.rate),
    bucket.tokens + (bucket.rate * Math.max(0, now - bucket.at)) / 1_000,
  );

/**
 * Takes a token; a bucket begins empty, a changed rate counts only from now on, and a lowered one
 * lets go of what it could not have saved.
 */
export const takeToken = (transition: Transition, name: string, rate: number): boolean => {
  if (rate === Infinity) return true;
  const old = transition.state.buckets[name] ?? { tokens: 0, at: transition.state.now, rate };
  const tokens = Math.min(bucketCapacity(rate), filled(old, transition.state.now));
  const taken = tokens >= 1;
  update(transition, {
    buckets: {
      ...transition.state.buckets,
      [name]: { tokens: taken ? tokens - 1 : tokens, at: transition.state.now, rate },
    },
  });
  return taken;
};

/** Gives a quota token back that was not used. */
export const returnToken = (transition: Transition, name: string): void => {
  const bucket = transition.state.buckets[name];
  if (bucket !== undefined)
    update(transition, {
      buckets: { ...transition.state.buckets, [name]: { ...bucket, tokens: bucket.tokens + 1 } },
    });
};

/** ms until a bucket has its next token; Infinity where it never will. */
export const tokenWaitMs = (
  state: ProxyState,
  name: string,
  rate: number,
  ahead: number,
): number => {
  if (rate === Infinity) return 0;
  const bucket = state.buckets[name];
  const tokens = bucket === undefined ? 0 : filled(bucket, state.now);
  return rate <= 0 ? Infinity : Math.max(0, ((1 + ahead - tokens) / rate) * 1_000);
};

/** Nodes that share the origins with this one. */
const nodes = (state: ProxyState): number => (state.feed?.peers.length ?? 0) + 1;

/**
 * Requests that this node may have under way at an origin: its part of what that one works on and
 * lets wait, and of the conns that it accepts.
 */
export const maxConcurrencyOf = (state: ProxyState, row: OriginEndpoint): number => {
  const parts = nodes(state);
  const slots =
    row.slots === null || row.slots === undefined
      ? Infinity
      : Math.max(minOriginConcurrency, Math.ceil((row.slots * concurrencyPerSlot) / parts));
  const conns =
    row.conns === null || row.conns === undefined
      ? Infinity
      : Math.max(1, Math.floor((row.conns * connectionShare) / parts));
  return Math.min(slots, conns);
};

/**
 * Requests at an origin: our own, and those of others as it last told, which count less the longer
 * ago that was.
 */
const busyAt = (state: ProxyState, name: string): number => {
  const own = state.inFlightCounts[name] ?? 0;
  const load = state.originHealth[name]?.load;
  if (!load) return own;
  return (
    own +
    Math.max(0, load.running + load.waiting - load.own) *
      Math.exp((load.at - state.now) / loadMemoryMs)
  );
};

/** ms that an origin's answers take; what was met there long ago counts as the mean of all. */
export const expectedResponseMs = (
  state: ProxyState,
  row: OriginEndpoint,
  mean: number,
): number => {
  const known = state.originHealth[originIdOf(row)];
  return known === undefined
    ? mean
    : mean +
        (known.meanResponseMs - mean) *
          Math.exp((known.lastResponseAt - state.now) / responseTimeMemoryMs);
};

/** ms that the answers of a service's origins take on average here; 0 where none was had. */
export const meanResponseMsOf = (state: ProxyState, rows: readonly OriginEndpoint[]): number => {
  const known = rows.flatMap((row) => {
    const standing = state.originHealth[originIdOf(row)];
    return standing === undefined ? [] : [standing.meanResponseMs];
  });
  return known.length === 0 ? 0 : known.reduce((sum, ms) => sum + ms, 0) / known.length;
};

/**
 * ms. What an attempt at an origin is likely to cost: its usual time, more where it is nearly full,
 * and the bytes that pass between zones.
 */
const costOf = (
  state: ProxyState,
  row: OriginEndpoint,
  mean: number,
  replyBytes: number,
): number => {
  const ms = Math.max(1, expectedResponseMs(state, row, mean));
  const slots = row.slots ?? Math.max(1, (row.capacity * Math.max(1, mean)) / 1_000);
  const use = (busyAt(state, originIdOf(row)) + 1) / slots;
  const far =
    row.region !== state.self.region
      ? otherRegionPenaltyMs
      : row.zone !== state.self.zone
        ? replyBytes * otherZoneMsPerByte
        : 0;
  return ms * (use <= 1 ? 1 + 0.5 * use * use : 1.5 * use) + far;
};

/**
 * Instances for an attempt, best first: the least likely cost of a few drawn by chance, so that
 * nodes which know the same don't all choose the same one; then the others by their cost.
 */
export const rankOrigins = (
  state: ProxyState,
  request: ProxyRequest,
  replyBytes = 0,
): readonly OriginEndpoint[] => {
  const tried = new Set(request.attempts.map((attempt) => attempt.to.id));
  const rows = (state.feed?.origins ?? []).filter(
    (row) => row.service === request.service && isHomeRegion(request.route.homes, row.region),
  );
  const untried = rows.filter((row) => !tried.has(originIdOf(row)));
  const trusted = untried.filter((row) => !isEjected(state, originIdOf(row)));
  // Where every one is suspected, a suspected one is still better than none.
  const pool = trusted.length > 0 ? trusted : untried.length > 0 ? untried : rows;
  const mean = meanResponseMsOf(state, pool);
  const costs = pool.map((row) => ({ row, cost: costOf(state, row, mean, replyBytes) }));
  let left = [...costs];
  let best: (typeof costs)[number] | undefined;
  for (let drawn = 0; drawn < originsDrawn && left.length > 0; drawn += 1) {
    const draw =
      request.randomNumbers[
        1 +
          ((request.attempts.length * originsDrawn + drawn) %
            Math.max(1, request.randomNumbers.length - 1))
      ] ?? 0.5;
    const one = left[Math.min(left.length - 1, Math.floor(draw * left.length))];
    left = left.filter((each) => each !== one);
    if (one !== undefined && (best === undefined || one.cost < best.cost)) best = one;
  }
  const rest = costs.filter((each) => each !== best).sort((a, b) => a.cost - b.cost);
  return [...(best === undefined ? [] : [best]), ...rest].map(({ row }) => row);
};

/** Sets aside who failed: longer each time that it fails again before it answered soundly. */
export const ejectEndpoint = (transition: Transition, name: string): void => {
  const failures = (transition.state.originHealth[name]?.failures ?? 0) + 1;
  const known = transition.state.originHealth[name];
  const suspects = Object.fromEntries(
    Object.entries(transition.state.ejectedUntil).filter(
      ([, until]) => until > transition.state.now,
    ),
  );
  update(transition, {
    ejectedUntil: {
      ...suspects,
      [name]:
        transition.state.now +
        Math.min(maxEjectionMs, minEjectionMs * 2 ** Math.min(10, failures - 1)),
    },
    ...(known === undefined
      ? {}
      : { originHealth: { ...transition.state.originHealth, [name]: { ...known, failures } } }),
  });
};

/**
 * Sets aside an origin that said that it was too full: only for the time in which that may change.
 */
export const pauseFullOrigin = (transition: Transition, name: string): void =>
  update(transition, {
    ejectedUntil: {
      ...transition.state.ejectedUntil,
      [name]: Math.max(
        transition.state.ejectedUntil[name] ?? 0,
        transition.state.now + fullOriginRestMs,
      ),
    },
  });

/** Learns what a sound answer of an origin shows. */
export const recordResponse = (
  transition: Transition,
  name: string,
  ms: number,
  proof: OriginEvidence | undefined,
): void => {
  const old = transition.state.originHealth[name];
  const told = proof?.load;
  const next: OriginHealth = {
    meanResponseMs:
      old === undefined ? ms : old.meanResponseMs + responseTimeGain * (ms - old.meanResponseMs),
    lastResponseAt: transition.state.now,
    failures: 0,
    load: told
      ? { ...told, at: transition.state.now, own: transition.state.inFlightCounts[name] ?? 0 }
      : (old?.load ?? null),
  };
  update(transition, { originHealth: { ...transition.state.originHealth, [name]: next } });
};

/** Adds a request's part of a retry token to its service's budget. */
export const depositRetryToken = (transition: Transition, service: string): void =>
  update(transition, {
    retryTokens: {
      ...transition.state.retryTokens,
      [service]: Math.min(
        Math.max(1, Math.min(maxRetryTokens, maxRetryTokensOfFleet / nodes(transition.state))),
        (transition.state.retryTokens[service] ?? 0) + retryTokensPerRequest,
      ),
    },
  });
/** Whether a service's budget holds a whole retry token. */
export const hasRetryBudget = (state: ProxyState, service: string): boolean =>
  (state.retryTokens[service] ?? 0) >= 1;
/** Takes a retry token from a service's budget. */
export const spendRetryToken = (transition: Transition, service: string): void =>
  update(transition, {
    retryTokens: {
      ...transition.state.retryTokens,
      [service]: (transition.state.retryTokens[service] ?? 0) - 1,
    },
  });
