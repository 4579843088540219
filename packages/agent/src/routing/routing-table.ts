/**
 * The routing table of this node's proxy, which the server selection of docs/policy.md computes from
 * the vectors that nodes announce; and the vector that this node announces.
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

/**
 * The interval at which an unchanged vector is announced again, in milliseconds, so that a lost
 * announcement is replaced.
 */
export const vectorRefreshIntervalMs = 30_000;

const vectorOf = (state: AgentState, measurement: TrafficMeasurement): LoadVector => {
  const capacity = state.self.proxy?.capacityBps ?? 0;
  const demandBps = Object.values(measurement.demand).reduce((sum, bps) => sum + bps, 0);
  return {
    demand: measurement.demand,
    copies: measurement.copies,
    capacity,
    utilisation: capacity > 0 ? measurement.servedBps / capacity : 0,
    offered: capacity > 0 ? demandBps / capacity : 0,
    delays: Object.fromEntries(
      Object.keys(state.pingSecondsByPeer).flatMap((peerId) => {
        const delay = delaySecondsTo(state, peerId);
        return delay === null ? [] : [[peerId, delay]];
      }),
    ),
    meanReply: measurement.meanReplyBits,
    fetchDelay: measurement.fetchSeconds > 0 ? measurement.fetchSeconds : fetchPenaltySeconds,
  };
};

/** Announces this node's vector after a marked change of its traffic, or when the refresh is due. */
export const handleMeasurement = (
  transition: Transition,
  measurement: TrafficMeasurement,
): void => {
  const vector = vectorOf(transition.state, measurement);
  const { announcedVector, vectorAnnouncedAt, now } = transition.state;
  if (!shouldAnnounce(vector, announcedVector) && now - vectorAnnouncedAt < vectorRefreshIntervalMs)
    return;
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
 * The nodes that may cache a route's objects for the clients of a node: the nodes of its own zone, so
 * that each object is fetched once per zone and few bytes leave the zone; where no node there may
 * serve the route, the nodes of another zone, which rendezvous hashing selects.
 */
const placementFor = (
  allowedNodes: readonly { readonly id: string; readonly zone: string }[],
  nodes: readonly { readonly id: string; readonly zone: string }[],
): ((clientNodeId: string) => readonly string[]) => {
  const allowedByZone = new Map<string, string[]>();
  for (const { id, zone } of allowedNodes)
    allowedByZone.set(zone, [...(allowedByZone.get(zone) ?? []), id]);
  const zonesByNode = new Map(nodes.map(({ id, zone }) => [id, zone]));
  return (clientNodeId) => {
    const zone = zonesByNode.get(clientNodeId) ?? '';
    return (
      allowedByZone.get(zone) ??
      allowedByZone.get(rendezvousOwner(zone, [...allowedByZone.keys()]) ?? '') ??
      []
    );
  };
};

/** The prefix of the gossip keys of vectors; the node's id follows it. */
const vectorPrefix = 'vector/';
/** After how many refresh intervals without a new announcement a vector is no longer used. */
const maxVectorAgeRefreshes = 3;

type NodeZone = { readonly id: string; readonly zone: string };

/** This node and all serving nodes without duplicates, sorted by id. */
const nodeZones = (
  { self }: AgentState,
  serving: ReadonlyMap<string, NodeRecord>,
): readonly NodeZone[] => {
  const zones = new Map([...serving.values()].map(({ id, zone }) => [id, zone]));
  zones.set(self.id, self.zone);
  return [...zones]
    .map(([id, zone]) => ({ id, zone }))
    .sort((left, right) => (left.id < right.id ? -1 : 1));
};

/** The vectors of this node and of the serving nodes that announced theirs recently enough. */
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

/** For each route, which nodes may serve it and cache its objects; null for an unknown route. */
const routeRulesOf = (
  state: AgentState,
  serving: ReadonlyMap<string, NodeRecord>,
): ((name: string) => RoutePlacementRule | null) => {
  const { self } = state;
  const routes = new Map(
    (policyOf(state)?.document.routes ?? []).map((route) => [route.name, route]),
  );
  const nodes = nodeZones(state, serving);
  return (name) => {
    const route = routes.get(name);
    if (route === undefined) return null;
    const servers = (id: string): boolean => {
      const region = id === self.id ? self.region : serving.get(id)?.region;
      return region !== undefined && (route.homes === undefined || route.homes.includes(region));
    };
    if (route.cache.keep !== 'always') return { servers };
    const allowedNodes = nodes.filter(({ id }) => servers(id));
    return { servers, placementOf: placementFor(allowedNodes, nodes) };
  };
};

/** Recomputes this node's routing table if a vector or the set of serving nodes has changed. */
export const computeRoutingTable = (transition: Transition): void => {
  const { state } = transition;
  const { self, now } = state;
  if (self.proxy === null || now - state.routingTableCheckedAt < pollIntervalAtRestMs) return;
  const serving = new Map(servingNodes(state).map((record) => [record.id, record]));
  const routingTableNodeIds = [...serving.keys()].sort().join(' ');
  update(transition, { routingTableCheckedAt: now });
  if (!state.isRoutingTableStale && routingTableNodeIds === state.routingTableNodeIds) return;
  const vectors = usableVectors(state, serving);
  const routingTable =
    vectors[self.id] === undefined
      ? {}
      : computeRoutes(self.id, vectors, routeRulesOf(state, serving)).split;
  update(transition, {
    routingTable,
    isRoutingTableStale: false,
    routingTableNodeIds,
    routingTableCount: state.routingTableCount + 1,
  });
};

/** The other serving nodes, sorted by delay. */
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
