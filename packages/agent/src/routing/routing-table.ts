/**
 * The routing table of this node's proxy, computed by the server selection of docs/policy.md from the
 * vectors that nodes announce, and the vector that this node announces itself.
 */

import { liveRecords, publishRecord } from '@reedyard/gossip';
import {
  computeRoutes,
  fetchPenaltySeconds,
  type RoutePlacementRule,
  rendezvousOwner,
  shouldAnnounce,
  type LoadVector,
} from '@reedyard/server-selection';
import { pollIntervalAtRestMs } from '../control/lease.js';
import { policyOf } from '../control/registers.js';
import { servingNodes } from '../gossip/known-nodes.js';
import type { NodeRecord, PeerEndpoint, TrafficMeasurement } from '../messages.js';
import type { AgentState } from '../state.js';
import { type Transition, update } from '../transition.js';
import { delaySecondsTo } from './peer-delays.js';

/** ms. A vector is sent again though nothing changed, so that a lost one heals. */
export const vectorRefreshIntervalMs = 30_000;

const vectorOf = (state: AgentState, measure: TrafficMeasurement): LoadVector => {
  const capacity = state.self.proxy?.capacityBps ?? 0;
  const asked = Object.values(measure.demand).reduce((sum, bps) => sum + bps, 0);
  return {
    demand: measure.demand,
    copies: measure.copies,
    capacity,
    utilisation: capacity > 0 ? measure.servedBps / capacity : 0,
    offered: capacity > 0 ? asked / capacity : 0,
    delays: Object.fromEntries(
      Object.keys(state.pingSecondsByPeer).flatMap((edge) => {
        const delay = delaySecondsTo(state, edge);
        return delay === null ? [] : [[edge, delay]];
      }),
    ),
    meanReply: measure.meanReplyBits,
    fetchDelay: measure.fetchSeconds > 0 ? measure.fetchSeconds : fetchPenaltySeconds,
  };
};

/** A new measurement: told to all only on a marked change, or when the slow refresh is due. */
export const handleMeasurement = (transition: Transition, measure: TrafficMeasurement): void => {
  const vector = vectorOf(transition.state, measure);
  const { announcedVector: sent, vectorAnnouncedAt: sentAt, now } = transition.state;
  if (!shouldAnnounce(vector, sent) && now - sentAt < vectorRefreshIntervalMs) return;
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

/** Keys of the vectors in gossip begin with this; the node's id follows. */
const vectorPrefix = 'vector/';
/** A vector that was not announced again for so many refreshes is no longer used. */
const maxVectorAgeRefreshes = 3;

type NodePlace = { readonly id: string; readonly zone: string };

/** This node and those that serve, each once, in the order of their ids. */
const nodePlaces = (
  { self }: AgentState,
  serving: ReadonlyMap<string, NodeRecord>,
): readonly NodePlace[] => {
  const zones = new Map([...serving.values()].map(({ id, zone }) => [id, zone]));
  zones.set(self.id, self.zone);
  return [...zones]
    .map(([id, zone]) => ({ id, zone }))
    .sort((left, right) => (left.id < right.id ? -1 : 1));
};

/** Vectors of this node and of those that serve and announced one lately enough. */
const usableVectors = (
  { self, gossip, now }: AgentState,
  serving: ReadonlyMap<string, NodeRecord>,
): Readonly<Record<string, LoadVector>> => {
  const vectors: Record<string, LoadVector> = {};
  for (const [key, value, seenAt] of liveRecords(gossip, vectorPrefix)) {
    const id = key.slice(vectorPrefix.length);
    const isFresh =
      serving.has(id) && now - seenAt < maxVectorAgeRefreshes * vectorRefreshIntervalMs;
    if (id === self.id || isFresh) vectors[id] = value as LoadVector;
  }
  return vectors;
};

/** Which nodes may serve a route, and where its objects are placed; null for an unknown route. */
const routeRulesOf = (
  state: AgentState,
  serving: ReadonlyMap<string, NodeRecord>,
): ((name: string) => RoutePlacementRule | null) => {
  const { self } = state;
  const routes = new Map(
    (policyOf(state)?.document.routes ?? []).map((route) => [route.name, route]),
  );
  const places = nodePlaces(state, serving);
  return (name) => {
    const route = routes.get(name);
    if (route === undefined) return null;
    const servers = (id: string): boolean => {
      const region = id === self.id ? self.region : serving.get(id)?.region;
      return region !== undefined && (route.homes === undefined || route.homes.includes(region));
    };
    if (route.cache.keep !== 'always') return { servers };
    const allowed = places.filter(({ id }) => servers(id));
    return { servers, placementOf: placementFor(allowed, places) };
  };
};

/** Computes this node's routing table anew, once something that it rests on has changed. */
export const computeRoutingTable = (transition: Transition): void => {
  const { state } = transition;
  const { self, now } = state;
  if (self.proxy === null || now - state.routingTableCheckedAt < pollIntervalAtRestMs) return;
  const serving = new Map(servingNodes(state).map((record) => [record.id, record]));
  const routingTableNodes = [...serving.keys()].sort().join(' ');
  update(transition, { routingTableCheckedAt: now });
  if (!state.isRoutingTableStale && routingTableNodes === state.routingTableNodeIds) return;
  const vectors = usableVectors(state, serving);
  const routingTable =
    vectors[self.id] === undefined
      ? {}
      : computeRoutes(self.id, vectors, routeRulesOf(state, serving)).split;
  update(transition, {
    routingTable,
    isRoutingTableStale: false,
    routingTableNodeIds: routingTableNodes,
    routingTableCount: state.routingTableCount + 1,
  });
};

/** The other nodes that serve, the nearest first. */
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
              delay: delaySecondsTo(state, record.id) ?? fetchPenaltySeconds,
            },
          ],
    )
    .sort((a, b) => a.delay - b.delay);
