/** Measures what callers ask for, and reports it to the agent with each question. */
import type { ProxyReport, TrafficMeasurement } from '@reedyard/agent';
import { Cache } from '@reedyard/cache';
import { update, type Transition } from './state.js';

/** ms. Utilisation is measured (the paper: one minute; ours is shorter since 2 s rules bind). */
export const measurementIntervalMs = 2_000;

/** ms. What a proxy's callers want of each service is counted anew: quotas follow it. */
export const demandIntervalMs = 500;

/** objects told one by one in a vector; the rest of a route counts as one. */
const busyObjectCount = 32;

/**
 * Closes a period of measuring: what the own callers asked for, object by object for the busiest.
 */
const measure = (transition: Transition): TrafficMeasurement | null => {
  const { state } = transition;
  const { trafficPeriod: period } = state;
  const ms = state.now - period.since;
  if (ms < measurementIntervalMs) return null;
  const perSecond = 1_000 / ms;
  const entries = Object.entries(period.bits).sort(([, a], [, b]) => b - a);
  const demand: Record<string, number> = {};
  entries.forEach(([key, bits], index) => {
    const to = index < busyObjectCount ? key : (key.split(' ', 1)[0] ?? key);
    demand[to] = (demand[to] ?? 0) + bits * perSecond;
  });
  const hosts = new Map(
    (state.policy?.document.routes ?? []).map((route) => [route.name, route.host]),
  );
  const copies = Object.keys(demand).filter((key) => {
    const cut = key.indexOf(' ');
    return (
      cut > 0 &&
      Cache.find(
        state.cache,
        Cache.key(hosts.get(key.slice(0, cut)) ?? '', key.slice(cut + 1)),
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
  const allBits = entries.reduce((sum, [, bits]) => sum + bits, 0);
  return {
    demand,
    copies,
    servedBps: period.servedBits * perSecond,
    meanReplyBits: period.replies > 0 ? Math.max(allBits, period.servedBits) / period.replies : 0,
    fetchSeconds: period.fetched > 0 ? period.attemptMs / period.fetched / 1_000 : 0,
  };
};

/** What was wanted in the last beat counts half, what was known before the other half. */
const renewDemand = (transition: Transition): void => {
  const { demand: wants, demandCounts: wanted, now } = transition.state;
  const ms = now - wanted.since;
  if (ms < demandIntervalMs) return;
  const services = new Set([...Object.keys(wants), ...Object.keys(wanted.counts)]);
  update(transition, {
    demandCounts: { since: now, counts: {} },
    demand: Object.fromEntries(
      [...services].map((service) => [
        service,
        0.5 * (wants[service] ?? 0) + (0.5 * (wanted.counts[service] ?? 0) * 1_000) / ms,
      ]),
    ),
  });
};

/** Asks the agent for a feed, with a report of what the proxy measured. */
export const requestFeed = (transition: Transition): void => {
  renewDemand(transition);
  const measurement = measure(transition);
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
