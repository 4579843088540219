/** Exchanges of gossip with other nodes, and what follows from the records that they bring. */

import {
  digestOf,
  type GossipExchangeReply,
  mergeUpdates,
  type Neighbour,
  pickUpdates,
  publishRecord,
  sampleView,
} from '@reedyard/gossip';
import type { OriginDescription } from '@reedyard/schemas';
import { eagerPollingDurationMs } from '../control/lease.js';
import { updateMovedReplicas } from '../membership/known-replicas.js';
import { isOutdated } from '../origins/origins.js';
import type { AgentState } from '../state.js';
import { nextRandom, sendToAgent, type Transition, update } from '../transition.js';
import { nodesOf } from './known-nodes.js';
import { publishHeartbeat } from './node-record.js';

/**
 * ms. One gossip exchange with one peer. Each also answers one as often, so a heartbeat crosses
 * 16 nodes in three or four of them: with its own beat this stays under the 2.5 s of silence.
 */
export const gossipIntervalMs = 400;

/**
 * Whether this agent has only just begun, beside a blank replica that waits for a slot: it makes
 * itself known fast.
 */
export const isJoining = (state: AgentState): boolean =>
  state.bootstrap !== null &&
  state.localReplica?.isBlank === true &&
  state.now - state.startedAt < eagerPollingDurationMs;

/** Agents of machines with a replica: who may give a blank one its slot. */
const replicaAgents = (state: AgentState): readonly string[] =>
  nodesOf(state).flatMap(({ record }) =>
    record.replica !== null && record.id !== state.self.id ? [record.address] : [],
  );

/** Tells this node's own record to all who may give its replica a slot. */
const announceSelf = (transition: Transition): void => {
  const { state } = transition;
  const tellings = pickUpdates(state.gossip, { [`node/${state.self.id}`]: 0 });
  const seeds = state.seeds.filter((seed) => seed !== state.self.address);
  for (const address of new Set([...replicaAgents(state), ...seeds])) {
    sendToAgent(transition, address, { kind: 'push', tellings }, { kind: 'push' });
  }
};

/** The share of exchanges that go to a seed, and to any node: so that cut parts meet again. */
const seedShare = 0.1;
const anyNodeShare = 0.1;

const itemAt = <Item>(items: readonly Item[], random: number): Item | undefined =>
  items[Math.floor(random * items.length)];

const oldestOf = (view: readonly Neighbour[]): Neighbour | null =>
  view.reduce<Neighbour | null>(
    (oldest, each) => (oldest === null || each.age > oldest.age ? each : oldest),
    null,
  );

/** Random numbers in [0, 1) that an exchange's target is chosen by. */
type TargetDraw = { readonly kind: number; readonly seed: number; readonly node: number };

/** The address of the agent to exchange with. */
const targetOf = (
  state: AgentState,
  oldest: Neighbour | null,
  draw: TargetDraw,
): string | undefined => {
  const seeds = state.seeds.filter((seed) => seed !== state.self.address);
  const joinTargets = isJoining(state) ? [...replicaAgents(state), ...seeds] : [];
  const joinTarget = itemAt(joinTargets, draw.kind);
  if (joinTarget !== undefined) return joinTarget;
  if (oldest === null || draw.kind < seedShare) return itemAt(seeds, draw.seed);
  const others = nodesOf(state).filter(({ record }) => record.id !== state.self.id);
  const anyNode = itemAt(others, draw.node);
  const goesToAnyNode = draw.kind < seedShare + anyNodeShare && anyNode !== undefined;
  return goesToAnyNode ? anyNode.record.address : oldest.address;
};

/** The view after an exchange: the chosen neighbour is young again, all others are older. */
const agedView = (view: readonly Neighbour[], chosen: Neighbour | null): readonly Neighbour[] =>
  view.map((each) => ({ ...each, age: each.id === chosen?.id ? 0 : each.age + 1 }));

/** One exchange: with the oldest neighbour, a seed, or any node. */
export const exchangeGossip = (transition: Transition): void => {
  const draw = {
    kind: nextRandom(transition),
    seed: nextRandom(transition),
    node: nextRandom(transition),
  };
  const { state } = transition;
  if (isJoining(state)) announceSelf(transition);
  const oldest = oldestOf(state.gossip.view);
  const target = targetOf(state, oldest, draw);
  if (target === undefined) return;
  const self = { id: state.self.id, address: state.self.address };
  const exchange = {
    from: self,
    digest: digestOf(state.gossip),
    sample: sampleView(state.gossip.view, self, nextRandom(transition)),
  };
  const peer = target === oldest?.address ? oldest.id : null;
  sendToAgent(
    transition,
    target,
    { kind: 'exchange', exchange },
    { kind: 'exchange', to: target, peer },
  );
  const { gossip } = transition.state;
  update(transition, { gossip: { ...gossip, view: agedView(gossip.view, oldest) } });
};

/**
 * Two nodes may each have heard an origin without the other: what it said later is published again
 * above a revision that bears what it said earlier.
 */
const republishNewerOrigins = (
  transition: Transition,
  before: AgentState,
  updates: GossipExchangeReply['newer'],
  newKeys: readonly string[],
): void => {
  for (const key of newKeys.filter((each) => each.startsWith('origin/'))) {
    const heard = updates[key]?.value as OriginDescription | null | undefined;
    const own = before.gossip.records[key];
    if (!heard || own === undefined || !isOutdated(before, heard)) continue;
    const { gossip } = transition.state;
    update(transition, { gossip: publishRecord(gossip, key, own.value, own.seenAt) });
  }
};

/** This node's own records that came back with a higher revision are published again above it. */
const republishOwn = (transition: Transition, newKeys: readonly string[]): void => {
  const { id } = transition.state.self;
  if (newKeys.includes(`node/${id}`)) publishHeartbeat(transition, true);
  const vectorKey = `vector/${id}`;
  const { announcedVector, gossip, now } = transition.state;
  if (newKeys.includes(vectorKey) && announcedVector !== null)
    update(transition, { gossip: publishRecord(gossip, vectorKey, announcedVector, now) });
};

/** Learns what another node sent, and does what follows from it. */
export const learnRecords = (
  transition: Transition,
  updates: GossipExchangeReply['newer'],
): void => {
  const before = transition.state;
  const {
    state: gossip,
    updatedKeys: newKeys,
    keysWithValue: values,
  } = mergeUpdates(before.gossip, updates, before.now);
  update(transition, { gossip });
  republishNewerOrigins(transition, before, updates, newKeys);
  republishOwn(transition, newKeys);
  if (newKeys.some((key) => key.startsWith('vector/')))
    update(transition, { isRoutingTableStale: true });
  if (values.some((key) => key.startsWith('node/'))) updateMovedReplicas(transition);
};
