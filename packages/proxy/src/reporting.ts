/** Measures the clients' demand, and reports it to the agent with each feed request. */
import type { ProxyReport, TrafficMeasurement } from '@reedyard/agent';
import { Cache } from '@reedyard/cache';
import { update, type Transition } from './state.js';

/**
 * The interval over which utilisation is measured, in milliseconds. The paper measures over one
 * minute; this interval is shorter because requirements set limits of 2 s.
 */
export const measurementIntervalMs = 2_000;

/** How often the demand for each service is updated, in milliseconds; quota allocations follow it. */
export const demandIntervalMs = 500;

/** The number of objects that a vector lists individually; the rest of each route counts as one entry. */
const maxIndividualObjects = 32;

/**
 * Ends the measurement interval if it is over, and returns its measurement: the demand of the node's
 * own clients, individually for the objects with the highest demand.
 */
const finishMeasurement = (transition: Transition): TrafficMeasurement | null => {
  const { state } = transition;
  const { trafficPeriod } = state;
  const elapsedMs = state.now - trafficPeriod.since;
  if (elapsedMs < measurementIntervalMs) return null;
  const perSecond = 1_000 / elapsedMs;
  const bitsByKey = Object.entries(trafficPeriod.bits).sort(([, a], [, b]) => b - a);
  const demand: Record<string, number> = {};
  bitsByKey.forEach(([key, bits], index) => {
    const entry = index < maxIndividualObjects ? key : (key.split(' ', 1)[0] ?? key);
    demand[entry] = (demand[entry] ?? 0) + bits * perSecond;
  });
  const hosts = new Map(
    (state.policy?.document.routes ?? []).map((route) => [route.name, route.host]),
  );
  const copies = Object.keys(demand).filter((key) => {
    const separator = key.indexOf(' ');
    return (
      separator > 0 &&
      Cache.find(
        state.cache,
        Cache.key(hosts.get(key.slice(0, separator)) ?? '', key.slice(separator + 1)),
        {},
        state.now,
      ) !== undefined
    );
  });
  update(transition, {
    trafficPeriod: {
      since: state.now,
      bits: {},
      servedBits: 0,
      replies: 0,
      attemptMs: 0,
      fetched: 0,
    },
    cache: Cache.evictWhere(state.cache, (copy) => state.now >= copy.freshUntil),
  });
  const demandBits = bitsByKey.reduce((sum, [, bits]) => sum + bits, 0);
  return {
    demand,
    copies,
    servedBps: trafficPeriod.servedBits * perSecond,
    meanReplyBits:
      trafficPeriod.replies > 0
        ? Math.max(demandBits, trafficPeriod.servedBits) / trafficPeriod.replies
        : 0,
    fetchSeconds:
      trafficPeriod.fetched > 0 ? trafficPeriod.attemptMs / trafficPeriod.fetched / 1_000 : 0,
  };
};

/** Updates the demand: the demand of the last interval and the previous value weigh half each. */
const updateDemand = (transition: Transition): void => {
  const { demand, demandCounts, now } = transition.state;
  const elapsedMs = now - demandCounts.since;
  if (elapsedMs < demandIntervalMs) return;
  const services = new Set([...Object.keys(demand), ...Object.keys(demandCounts.counts)]);
  update(transition, {
    demandCounts: { since: now, counts: {} },
    demand: Object.fromEntries(
      [...services].map((service) => [
        service,
        0.5 * (demand[service] ?? 0) +
          (0.5 * (demandCounts.counts[service] ?? 0) * 1_000) / elapsedMs,
      ]),
    ),
  });
};

/** Requests a feed from the agent, with a report of the proxy's measurements. */
export const requestFeed = (transition: Transition): void => {
  updateDemand(transition);
  const measurement = finishMeasurement(transition);
  const { state } = transition;
  const report: ProxyReport = {
    policyRevision: state.policy?.revision ?? 0,
    life: state.life,
    proxyLife: state.self.life,
    purgeSeq: state.purgeSeq,
    stopping: state.stoppingAt !== null,
    wants: state.demand,
    measure: measurement,
    counters: {
      ...state.counters,
      underWay: Object.keys(state.requests).length,
      copies: state.cache.copies.size,
      copyBytes: state.cache.bytes,
    },
  };
  transition.effects.push({ kind: 'request-feed', report });
};
