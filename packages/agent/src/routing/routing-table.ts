/**
 * The routing table of this node's proxy, computed by the server selection of docs/policy.md from the
 * vectors that nodes announce, and the vector that this node announces itself.
 */

import { liveRecords, publishRecord } from '@reedyard/gossip';
import {
  fetchPenaltySeconds,
  rendezvousOwner,
  shouldAnnounce,
  computeRoutes,
  type Vector,
} from '@reedyard/server-selection';
import { pollIntervalAtRestMs } from '../control/lease.js';
import { policyOf } from '../control/registers.js';
import { servingNodes } from '../gossip/known-nodes.js';
import type { PeerEndpoint, TrafficMeasurement } from '../messages.js';
import type { AgentState } from '../state.js';
import { type Transition, update } from '../transition.js';
import { delayTo } from './peer-delays.js';

/** ms. A vector is sent again though nothing changed, so that a lost one heals. */
export const vectorRefreshMs = 30_000;

const vectorOf = (state: AgentState, measure: TrafficMeasurement): Vector => {
  const capacity = state.self.proxy?.capacityBps ?? 0;
  const asked = Object.values(measure.demand).reduce((sum, bps) => sum + bps, 0);
  return {
    demand: measure.demand,
    copies: measure.copies,
    capacity,
    utilisation: capacity > 0 ? measure.servedBps / capacity : 0,
    offered: capacity > 0 ? asked / capacity : 0,
    delays: Object.fromEntries(
      Object.keys(state.delaysByPeer).flatMap((edge) => {
        const delay = delayTo(state, edge);
        return delay === null ? [] : [[edge, delay]];
      }),
    ),
    meanReply: measure.meanReplyBits,
    fetchDelay: measure.fetchSeconds > 0 ? measure.fetchSeconds : fetchPenaltySeconds,
  };
};

/** A new measurement: told to all only on a marked change, or when the slow refresh is due. */
export const noteMeasurement = (transition: Transition, measure: TrafficMeasurement): void => {
  const vector = vectorOf(transition.state, measure);
  const { announcedVector: sent, vectorAnnouncedAt: sentAt, now } = transition.state;
  if (!shouldAnnounce(vector, sent) && now - sentAt < vectorRefreshMs) return;
  update(transition, {
    announcedVector: vector,
    vectorAnnouncedAt: now,
    vectorAnnouncementCount: transition.state.vectorAnnouncementCount + 1,
    isRoutingTableStale: true,
    gossip: publishRecord(
      transition.state.gossip,
      `vector/${transition.state.self.id}`,
      vector,
      now,
    ),
  });
};

/**
 * Where a route's objects are placed for the clients of an edge: at the edges of its own zone, so
 * that each is fetched once for a zone and few bytes leave it; where none there may serve the
 * route, at those of another one.
 */
const placementFor = (
  allowed: readonly { readonly id: string; readonly zone: string }[],
  members: readonly { readonly id: string; readonly zone: string }[],
): ((client: string) => readonly string[]) => {
  const byZone = new Map<string, string[]>();
  for (const { id, zone } of allowed) byZone.set(zone, [...(byZone.get(zone) ?? []), id]);
  const zones = new Map(members.map(({ id, zone }) => [id, zone]));
  return (client) => {
    const zone = zones.get(client) ?? '';
    return byZone.get(zone) ?? byZone.get(rendezvousOwner(zone, [...byZone.keys()]) ?? '') ?? [];
  };
};

/** Computes this edge's rows from the vectors it holds, once something they rest on has changed. */
export const computeRoutingTable = (transition: Transition): void => {
  const { state } = transition;
  if (state.self.proxy === null || state.now - state.routingTableCheckedAt < pollIntervalAtRestMs)
    return;
  const serving = new Map(servingNodes(state).map((record) => [record.id, record]));
  const over = [...serving.keys()].sort().join(' ');
  if (!state.isRoutingTableStale && over === state.routingTableNodes) {
    update(transition, { routingTableCheckedAt: state.now });
    return;
  }
  const policy = policyOf(state);
  const routes = new Map((policy?.document.routes ?? []).map((route) => [route.name, route]));
  const me = { id: state.self.id, region: state.self.region };
  const members = [
    ...new Map([
      ...[...serving.values()].map(({ id, zone }) => [id, zone] as const),
      [me.id, state.self.zone] as const,
    ]),
  ]
    .map(([id, zone]) => ({ id, zone }))
    .sort((a, b) => (a.id < b.id ? -1 : 1));
  const vectors: Record<string, Vector> = {};
  for (const [key, value, seenAt] of liveRecords(state.gossip, 'vector/')) {
    const edge = key.slice('vector/'.length);
    if (edge === me.id || (serving.has(edge) && state.now - seenAt < 3 * vectorRefreshMs))
      vectors[edge] = value as Vector;
  }
  const split =
    vectors[me.id] === undefined
      ? { split: {}, iterations: 0, cost: 0 }
      : computeRoutes(me.id, vectors, (name) => {
          const route = routes.get(name);
          if (route === undefined) return null;
          const servers = (edge: string): boolean => {
            const region = edge === me.id ? me.region : serving.get(edge)?.region;
            return (
              region !== undefined &&
              (edge === me.id || serving.has(edge)) &&
              (route.homes === undefined || route.homes.includes(region))
            );
          };
          return route.cache.keep === 'always'
            ? {
                servers,
                placed: placementFor(
                  members.filter(({ id }) => servers(id)),
                  members,
                ),
              }
            : { servers };
        });
  update(transition, {
    routingTable: split.split,
    routingTableCheckedAt: state.now,
    isRoutingTableStale: false,
    routingTableNodes: over,
    routingTableCount: state.routingTableCount + 1,
  });
};

export const peerEndpoints = (state: AgentState): readonly PeerEndpoint[] =>
  servingNodes(state)
    .flatMap((record) =>
      record.id === state.self.id || record.proxy === null
        ? []
        : [
            {
              id: record.id,
              zone: record.zone,
              region: record.region,
              address: record.proxy.peers,
              delay: delayTo(state, record.id) ?? fetchPenaltySeconds,
            },
          ],
    )
    .sort((a, b) => a.delay - b.delay);
