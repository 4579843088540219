import { Beats, Limits, Sizes, Weights } from '@reedyard/constants';
import {
  digestOf,
  type GossipExchangeReply,
  liveRecords,
  mergeUpdates,
  type Neighbour,
  pickUpdates,
  publishRecord,
  recordValue,
  renewalsSinceFull,
  renewRecord,
  sampleView,
} from '@reedyard/gossip';
import { boundOf, rateOf } from '@reedyard/quota-division';
import type { Description } from '@reedyard/schemas';
import { holderOf, mixed, mustSend, splitFor, type Vector } from '@reedyard/server-selection';
import { actingAllowanceMs } from './reachability.js';
import {
  type AgentState,
  committedMembershipOf,
  log,
  nextRandom,
  policyOf,
  quotaAllocationOf,
  sendToAgent,
  type Transition,
  update,
  zonesOf,
  zonesWithClosedOrigins,
} from './state.js';
import type {
  AgentRequest,
  NodeRecord,
  OriginEndpoint,
  PeerEndpoint,
  TrafficMeasurement,
} from './terms.js';

/**
 * What is wanted, as it was told before where it is still about that: a record that changes is told
 * whole.
 */
const steadyDemand = (
  wants: Readonly<Record<string, number>>,
  told: Readonly<Record<string, number>>,
): Readonly<Record<string, number>> =>
  Object.fromEntries(
    [...new Set([...Object.keys(told), ...Object.keys(wants)])].flatMap((name) => {
      const [want, before] = [wants[name] ?? 0, told[name] ?? 0];
      const next =
        Math.abs(want - before) <= Weights.wantsSlack * before + Weights.wantsFloor
          ? before
          : Math.round(want * 100) / 100;
      return next > 0 ? [[name, next]] : [];
    }),
  );

/**
 * Tells this node's own record again; each new revision is a heartbeat. It is told whole where it
 * changed, where a life begins and now and then.
 */
export const heartbeat = (transition: Transition, whole = false): void => {
  const { self, proxyReport: report, now } = transition.state;
  const own = transition.state.ownReplica;
  const key = `node/${self.id}`;
  const told = recordValue(transition.state.gossip, key) as NodeRecord | null | undefined;
  const fed = report !== null && now - report.at < Limits.lease;
  const record: NodeRecord = {
    id: self.id,
    zone: self.zone,
    region: self.region,
    address: self.address,
    proxy: self.proxy,
    replica:
      self.replica === null || own === null || now - own.at > Limits.lease
        ? self.replica
        : { ...self.replica, disk: own.diskId, fresh: own.isBlank },
    ready:
      self.proxy !== null &&
      fed &&
      !report.proxyReport.stopping &&
      actingAllowanceMs(transition.state) > 0,
    staying: self.proxy !== null && fed && !report.proxyReport.stopping,
    proxyLife: report?.proxyReport.proxyLife ?? '',
    wants: fed ? steadyDemand(report.proxyReport.wants, told?.wants ?? {}) : {},
  };
  if (
    !whole &&
    told &&
    renewalsSinceFull(transition.state.gossip, key) < Sizes.beatsToWhole &&
    JSON.stringify(told) === JSON.stringify(record)
  ) {
    update(transition, { gossip: renewRecord(transition.state.gossip, key, now) });
    return;
  }
  // A life begins anywhere, so that the revisions of two lives do not pass for one row.
  const least = told ? 1 : 1 + Math.floor(nextRandom(transition) * Sizes.firstRevision);
  update(transition, { gossip: publishRecord(transition.state.gossip, key, record, now, least) });
};

/** Every node heard of that is not forgotten. */
export const nodesOf = (
  state: AgentState,
): readonly { readonly record: NodeRecord; readonly seenAt: number }[] =>
  liveRecords(state.gossip, 'node/').map(([, value, seenAt]) => ({
    record: value as NodeRecord,
    seenAt,
  }));

const isLive = (state: AgentState, seenAt: number, id: string): boolean =>
  id === state.self.id || state.now - seenAt < Limits.peerSilence;

/** Nodes with a proxy that may be given forwarded requests or slices. */
export const servingNodes = (state: AgentState): readonly NodeRecord[] => {
  const emptied = zonesOf(state)?.emptied ?? [];
  return nodesOf(state).flatMap(({ record, seenAt }) =>
    record.proxy !== null &&
    record.ready &&
    isLive(state, seenAt, record.id) &&
    !emptied.includes(record.zone)
      ? [record]
      : [],
  );
};

/**
 * Nodes that hold slices. Those of a zone just emptied keep them while they still answer
 * stragglers.
 */
export const quotaNodes = (state: AgentState): readonly NodeRecord[] => {
  const settled = state.now - (state.registers.zones?.at ?? 0) > Limits.lease + Limits.emptyGrace;
  const emptied = settled ? (zonesOf(state)?.emptied ?? []) : [];
  return nodesOf(state).flatMap(({ record, seenAt }) =>
    record.staying && isLive(state, seenAt, record.id) && !emptied.includes(record.zone)
      ? [record]
      : [],
  );
};

/**
 * Whether this agent has only just begun, beside a blank replica that waits for a place: it makes
 * itself known fast.
 */
export const isJoining = (state: AgentState): boolean =>
  state.bootstrap !== null &&
  state.ownReplica?.isBlank === true &&
  state.now - state.startedAt < Limits.eager;

/** Agents of machines with a replica: who may give a blank one its place. */
const replicaAgents = (state: AgentState): readonly string[] =>
  nodesOf(state).flatMap(({ record }) =>
    record.replica !== null && record.id !== state.self.id ? [record.address] : [],
  );

/** Tells this node's own record to all who may give its replica a place. */
const announceSelf = (transition: Transition): void => {
  const { state } = transition;
  const tellings = pickUpdates(state.gossip, { [`node/${state.self.id}`]: 0 });
  const seeds = state.seeds.filter((seed) => seed !== state.self.address);
  for (const address of new Set([...replicaAgents(state), ...seeds])) {
    sendToAgent(transition, address, { kind: 'push', tellings }, { kind: 'push' });
  }
};

/**
 * One gossip exchange with a neighbour, a seed, or now and then any node, so that cut parts meet
 * again.
 */
export const exchangeGossip = (transition: Transition): void => {
  const { state } = transition;
  const draw = nextRandom(transition);
  const nodes = nodesOf(state).filter(({ record }) => record.id !== state.self.id);
  const seeds = state.seeds.filter((seed) => seed !== state.self.address);
  const anySeed = seeds[Math.floor(nextRandom(transition) * seeds.length)];
  const anyNode = nodes[Math.floor(nextRandom(transition) * nodes.length)];
  const oldest = state.gossip.view.reduce<Neighbour | null>(
    (best, each) => (best === null || each.age > best.age ? each : best),
    null,
  );
  if (isJoining(state)) announceSelf(transition);
  const joinTargets = isJoining(state) ? [...replicaAgents(state), ...seeds] : [];
  const joinTarget = joinTargets[Math.floor(draw * joinTargets.length)];
  const target =
    joinTarget !== undefined
      ? joinTarget
      : oldest === null || draw < 0.1
        ? anySeed
        : draw < 0.2 && anyNode !== undefined
          ? anyNode.record.address
          : oldest.address;
  if (target === undefined) return;
  const self = { id: state.self.id, address: state.self.address };
  const body: AgentRequest = {
    kind: 'exchange',
    exchange: {
      from: self,
      digest: digestOf(state.gossip),
      sample: sampleView(state.gossip.view, self, nextRandom(transition)),
    },
  };
  sendToAgent(transition, target, body, {
    kind: 'exchange',
    to: target,
    peer: oldest !== null && target === oldest.address ? oldest.id : null,
  });
  update(transition, {
    gossip: {
      ...transition.state.gossip,
      view: transition.state.gossip.view.map((each) =>
        oldest !== null && each.id === oldest.id
          ? { ...each, age: 0 }
          : { ...each, age: each.age + 1 },
      ),
    },
  });
};

/** Takes in tellings; one's own that came back with a higher revision are told again above it. */
export const learnRecords = (
  transition: Transition,
  tellings: GossipExchangeReply['newer'],
): void => {
  const before = transition.state;
  const learned = mergeUpdates(before.gossip, tellings, before.now);
  update(transition, { gossip: learned.state });
  // Two nodes may each have heard an origin without the other: what it said later is told again
  // above.
  for (const key of learned.news) {
    const told = tellings[key]?.value as Description | null | undefined;
    const held = before.gossip.records[key];
    if (key.startsWith('origin/') && told && held !== undefined && isOutdated(before, told))
      update(transition, {
        gossip: publishRecord(transition.state.gossip, key, held.value, held.seenAt),
      });
  }
  const own = [`node/${transition.state.self.id}`, `vector/${transition.state.self.id}`];
  if (learned.news.includes(own[0] ?? '')) heartbeat(transition, true);
  if (learned.news.includes(own[1] ?? '') && transition.state.announcedVector !== null) {
    update(transition, {
      gossip: publishRecord(
        transition.state.gossip,
        own[1] ?? '',
        transition.state.announcedVector,
        transition.state.now,
      ),
    });
  }
  if (learned.news.some((key) => key.startsWith('vector/')))
    update(transition, { isRoutingTableStale: true });
  if (learned.values.some((key) => key.startsWith('node/'))) followMovedReplicas(transition);
};

/** A replica as gossip tells of it. */
export type KnownReplica = {
  readonly id: string;
  readonly zone: string;
  readonly address: string;
  readonly diskId: string;
  readonly isBlank: boolean;
  readonly seenAt: number;
};

const findReplicas = (state: AgentState): readonly KnownReplica[] => {
  const heard = nodesOf(state).flatMap(({ record: { id, zone, replica }, seenAt }) => {
    if (replica?.disk === undefined) return [];
    const { address, disk, fresh = false } = replica;
    return [{ id, zone, address, diskId: disk, isBlank: fresh, seenAt }];
  });
  const isOutdated = (each: KnownReplica): boolean =>
    heard.some((other) => other.diskId === each.diskId && other.seenAt > each.seenAt);
  return heard.filter((each) => !isOutdated(each));
};

/** Found once for each table of records, since agents of members look ten times a second. */
const heardByRecords = new WeakMap<AgentState['gossip']['records'], readonly KnownReplica[]>();

/**
 * Replicas whose disk is known by gossip, each disk once: where it was heard of last. Where members
 * found themselves.
 */
export const replicasKnown = (state: AgentState): readonly KnownReplica[] => {
  const { records } = state.gossip;
  const known = heardByRecords.get(records);
  if (known !== undefined) return known;
  const found = findReplicas(state);
  heardByRecords.set(records, found);
  return found;
};

/**
 * A replica's machine may come back at another address; its name stays its place among the members.
 * Where members found themselves from seeds its disk tells its place, and a ballot then notes the
 * address.
 */
const followMovedReplicas = (transition: Transition): void => {
  const disks = committedMembershipOf(transition.state)?.value.disks ?? {};
  const heard =
    transition.state.bootstrap === null
      ? nodesOf(transition.state).flatMap(({ record }) =>
          record.replica === null ? [] : [{ place: record.id, address: record.replica.address }],
        )
      : replicasKnown(transition.state).flatMap((each) =>
          Object.keys(disks)
            .filter((place) => disks[place] === each.diskId)
            .map((place) => ({ place, address: each.address })),
        );
  for (const { place, address } of heard) {
    const view = transition.state.replicas[place];
    if (view !== undefined && address !== view.address) {
      log(transition, 'replica.moved', { replica: place, address });
      update(transition, {
        replicas: {
          ...transition.state.replicas,
          [place]: { ...view, address, pollId: null, countedPolls: null },
        },
      });
    }
  }
};

/** Pings peers that were not yet measured, and a drawn few of the others. */
export const pingPeers = (transition: Transition): void => {
  if (transition.state.self.proxy === null) return;
  for (const { record } of nodesOf(transition.state)) {
    if (record.id === transition.state.self.id || record.proxy === null) continue;
    if (
      transition.state.delaysByPeer[record.id] !== undefined &&
      nextRandom(transition) >= Beats.pingDraw / Beats.ping
    )
      continue;
    sendToAgent(
      transition,
      record.address,
      { kind: 'ping' },
      { kind: 'ping', peerId: record.id, sentAt: transition.state.now },
    );
  }
};

export const handlePingReply = (transition: Transition, edge: string, seconds: number): void => {
  update(transition, {
    delaysByPeer: {
      ...transition.state.delaysByPeer,
      [edge]: [...(transition.state.delaysByPeer[edge] ?? []), seconds].slice(-2),
    },
  });
};

/** s. The least of the last two pings: what the path takes without the machine's own noise. */
export const delayTo = (state: AgentState, edge: string): number | null => {
  const known = state.delaysByPeer[edge];
  return known === undefined || known.length === 0 ? null : Math.min(...known);
};

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
    fetchDelay: measure.fetchSeconds > 0 ? measure.fetchSeconds : Weights.fetchPenalty,
  };
};

/** A new measurement: told to all only on a marked change, or when the slow refresh is due. */
export const noteMeasurement = (transition: Transition, measure: TrafficMeasurement): void => {
  const vector = vectorOf(transition.state, measure);
  const { announcedVector: sent, vectorAnnouncedAt: sentAt, now } = transition.state;
  if (!mustSend(vector, sent) && now - sentAt < Beats.refresh) return;
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
    return byZone.get(zone) ?? byZone.get(holderOf(zone, [...byZone.keys()]) ?? '') ?? [];
  };
};

/** Computes this edge's rows from the vectors it holds, once something they rest on has changed. */
export const computeRoutingTable = (transition: Transition): void => {
  const { state } = transition;
  if (state.self.proxy === null || state.now - state.routingTableCheckedAt < Beats.pull) return;
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
    if (edge === me.id || (serving.has(edge) && state.now - seenAt < 3 * Beats.refresh))
      vectors[edge] = value as Vector;
  }
  const split =
    vectors[me.id] === undefined
      ? { split: {}, iterations: 0, cost: 0 }
      : splitFor(me.id, vectors, (name) => {
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

/** Why an origin gets no traffic, or null if it does. */
export const exclusionReason = (state: AgentState, description: Description): string | null => {
  const service = policyOf(state)?.document.services[description.service];
  if (service === undefined) return 'no policy allows this service';
  if (service.instances !== undefined && !service.instances.includes(description.instance))
    return 'the policy does not name this instance';
  if (state.entryKeys[withdrawnKey(description.instance)] !== undefined) return 'withdrawn';
  if (description.draining || state.entryKeys[drainKey(description)] !== undefined)
    return 'draining';
  if (zonesWithClosedOrigins(state).includes(description.zone))
    return zonesOf(state)?.emptied.includes(description.zone) === true
      ? 'its zone is emptied'
      : 'the origins of its zone get nothing';
  return null;
};

export const drainKey = (description: Description): string =>
  `drain/${description.service}/${description.instance}/${description.incarnation}`;

/** Bars every life of an instance of this name, for as long as the fact lasts. */
export const withdrawnKey = (instance: string): string => `withdrawn/${instance}`;

/**
 * Whether what an origin of a zone said at some time is too old to be trusted as warm: its zone was
 * taken back since.
 */
export const isWarmthInDoubt = (state: AgentState, zone: string, heardAt: number): boolean =>
  heardAt < (state.zonesRestoredAt[zone] ?? -Infinity) + Limits.warmDoubt;

const isOlder = (told: Description, known: Description): boolean =>
  told.incarnation < known.incarnation ||
  (told.incarnation === known.incarnation &&
    told.sequence !== undefined &&
    known.sequence !== undefined &&
    told.sequence < known.sequence);

/** Whether a description is older than the one known of the same origin. */
export const isOutdated = (state: AgentState, description: Description): boolean => {
  const known = recordValue(state.gossip, originKey(description)) as Description | null | undefined;
  return known !== undefined && known !== null && isOlder(description, known);
};

export const originKey = (description: Description): string =>
  `origin/${description.service}/${description.instance}`;

/** Every origin heard of. Of two at one address only the one heard later counts. */
export const originsOf = (
  state: AgentState,
): readonly {
  readonly description: Description;
  readonly heardAt: number;
  readonly exclusionReason: string | null;
}[] => {
  const all = liveRecords(state.gossip, 'origin/').map(([, value, seenAt]) => ({
    description: value as Description,
    seenAt,
  }));
  return all.map(({ description, seenAt }) => ({
    description,
    heardAt: seenAt,
    exclusionReason: all.some(
      (other) =>
        other.description.address === description.address &&
        other.seenAt > seenAt &&
        (other.description.service !== description.service ||
          other.description.instance !== description.instance),
    )
      ? 'another origin has taken its address'
      : exclusionReason(state, description),
  }));
};

/**
 * Requests a second that this node may send to a cold instance. Only a few nodes may, those that
 * rendezvous hashing names for it: every node for itself comes to the same ones, as far as it knows
 * the same nodes.
 */
const slowStartRate = (state: AgentState, instance: string, rate: number): number => {
  const plan = quotaAllocationOf(state);
  // A node that has only just come knows few others: the division names them all.
  if (plan === null) return 0;
  const names = [
    ...new Set([
      ...plan.seated,
      ...nodesOf(state).flatMap(({ record }) => (record.proxy === null ? [] : [record.id])),
    ]),
  ];
  const parts = Math.max(1, Math.min(names.length, Math.floor(rate / Weights.coldPart)));
  const own = mixed(`${instance} ${state.self.id}`);
  const ahead = names.filter(
    (name) => name !== state.self.id && mixed(`${instance} ${name}`) > own,
  ).length;
  return ahead < parts ? (rate * Weights.coldShare) / parts : 0;
};

/** Instances that take work, each with this node's slice of what it carries. */
export const originEndpoints = (state: AgentState): readonly OriginEndpoint[] => {
  const slices = quotaAllocationOf(state)?.slices ?? {};
  const services = policyOf(state)?.document.services ?? {};
  return originsOf(state).flatMap(
    ({ description, heardAt, exclusionReason: why }): readonly OriginEndpoint[] => {
      if (why !== null) return [];
      const cold =
        description.state === 'cold' || isWarmthInDoubt(state, description.zone, heardAt);
      const mine = slices[description.service] ?? {};
      const carried = rateOf(mine, state.self.id, description.capacity ?? Infinity);
      const service = services[description.service];
      const bearable =
        service?.coldRate === undefined
          ? Infinity
          : slowStartRate(
              state,
              `${description.instance}/${description.incarnation}`,
              service.coldRate,
            );
      return [
        {
          service: description.service,
          instance: description.instance,
          incarnation: description.incarnation,
          address: description.address,
          zone: description.zone,
          region: description.region,
          capacity: description.capacity ?? description.slots ?? 1,
          slots: description.slots ?? null,
          conns: service?.instanceConns ?? null,
          cold,
          rate: cold ? Math.min(carried, bearable) : carried,
        },
      ];
    },
  );
};

/**
 * What each service of the policy may get in all: its ceiling, or less where its instances carry
 * less.
 */
export const serviceRateLimits = (state: AgentState): Readonly<Record<string, number>> => {
  const admitted = originsOf(state)
    .filter((each) => each.exclusionReason === null)
    .map((each) => each.description);
  return Object.fromEntries(
    Object.entries(policyOf(state)?.document.services ?? {}).map(([name, service]) => [
      name,
      boundOf(
        service.ceiling,
        admitted.filter((each) => each.service === name).map((each) => each.capacity ?? Infinity),
      ),
    ]),
  );
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
              delay: delayTo(state, record.id) ?? Weights.fetchPenalty,
            },
          ],
    )
    .sort((a, b) => a.delay - b.delay);
