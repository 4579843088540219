/** Gossip exchanges with other nodes, and the reactions to the records that arrive. */

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
 * The interval between two gossip exchanges that a node starts, in milliseconds. On average each node
 * also replies to one exchange per interval, so a heartbeat reaches 16 nodes within three or four
 * intervals. Together with the heartbeat interval this stays below the 2.5 s of `peerTimeoutMs`.
 */
export const gossipIntervalMs = 400;

/**
 * Whether this agent started recently, next to a blank replica that waits for a slot in the
 * membership: it then exchanges gossip more often, to become known quickly.
 */
export const isJoining = (state: AgentState): boolean =>
  state.bootstrap !== null &&
  state.localReplica?.isBlank === true &&
  state.now - state.startedAt < eagerPollingDurationMs;

/** Addresses of the agents on machines with a replica: they may assign a slot to a blank replica. */
const replicaAgents = (state: AgentState): readonly string[] =>
  nodesOf(state).flatMap(({ record }) =>
    record.replica !== null && record.id !== state.self.id ? [record.address] : [],
  );

/** Sends this node's record to all agents that may assign a slot to its replica. */
const announceSelf = (transition: Transition): void => {
  const { state } = transition;
  const tellings = pickUpdates(state.gossip, { [`node/${state.self.id}`]: 0 });
  const seeds = state.seeds.filter((seed) => seed !== state.self.address);
  for (const address of new Set([...replicaAgents(state), ...seeds])) {
    sendToAgent(transition, address, { kind: 'push', tellings }, { kind: 'push' });
  }
};

/**
 * The shares of exchanges that go to a seed and to a random known node, so that the parts of a
 * healed network partition find each other again.
 */
const seedShare = 0.1;
const anyNodeShare = 0.1;

const itemAt = <Item>(items: readonly Item[], random: number): Item | undefined =>
  items[Math.floor(random * items.length)];

const oldestOf = (view: readonly Neighbour[]): Neighbour | null =>
  view.reduce<Neighbour | null>(
    (oldest, neighbour) => (oldest === null || neighbour.age > oldest.age ? neighbour : oldest),
    null,
  );

/** Random numbers in [0, 1) that determine the target of an exchange. */
type TargetRandomNumbers = { readonly kind: number; readonly seed: number; readonly node: number };

/** The address of the agent to exchange with; undefined where none is known. */
const targetOf = (
  state: AgentState,
  oldest: Neighbour | null,
  random: TargetRandomNumbers,
): string | undefined => {
  const seeds = state.seeds.filter((seed) => seed !== state.self.address);
  const joinTargets = isJoining(state) ? [...replicaAgents(state), ...seeds] : [];
  const joinTarget = itemAt(joinTargets, random.kind);
  if (joinTarget !== undefined) return joinTarget;
  if (oldest === null || random.kind < seedShare) return itemAt(seeds, random.seed);
  const others = nodesOf(state).filter(({ record }) => record.id !== state.self.id);
  const anyNode = itemAt(others, random.node);
  const goesToAnyNode = random.kind < seedShare + anyNodeShare && anyNode !== undefined;
  return goesToAnyNode ? anyNode.record.address : oldest.address;
};

/** The view after an exchange: the age of the chosen neighbour is reset, all others age by one. */
const agedView = (view: readonly Neighbour[], chosen: Neighbour | null): readonly Neighbour[] =>
  view.map((neighbour) => ({
    ...neighbour,
    age: neighbour.id === chosen?.id ? 0 : neighbour.age + 1,
  }));

/** Starts one exchange: with the oldest neighbour, a seed, or a random known node. */
export const exchangeGossip = (transition: Transition): void => {
  const random = {
    kind: nextRandom(transition),
    seed: nextRandom(transition),
    node: nextRandom(transition),
  };
  const { state } = transition;
  if (isJoining(state)) announceSelf(transition);
  const oldest = oldestOf(state.gossip.view);
  const target = targetOf(state, oldest, random);
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
 * An origin may send its descriptions to two nodes, which then publish them independently. A higher
 * revision with an earlier description is overridden: the later description is published again above
 * it.
 */
const republishNewerOrigins = (
  transition: Transition,
  stateBefore: AgentState,
  updates: GossipExchangeReply['newer'],
  updatedKeys: readonly string[],
): void => {
  for (const key of updatedKeys.filter((updatedKey) => updatedKey.startsWith('origin/'))) {
    const received = updates[key]?.value as OriginDescription | null | undefined;
    const ownRecord = stateBefore.gossip.records[key];
    if (!received || ownRecord === undefined || !isOutdated(stateBefore, received)) continue;
    const { gossip } = transition.state;
    update(transition, { gossip: publishRecord(gossip, key, ownRecord.value, ownRecord.seenAt) });
  }
};

/** Publishes this node's own records again when a higher revision of them arrived from elsewhere. */
const republishOwn = (transition: Transition, updatedKeys: readonly string[]): void => {
  const { id } = transition.state.self;
  if (updatedKeys.includes(`node/${id}`)) publishHeartbeat(transition, true);
  const vectorKey = `vector/${id}`;
  const { announcedVector, gossip, now } = transition.state;
  if (updatedKeys.includes(vectorKey) && announcedVector !== null)
    update(transition, { gossip: publishRecord(gossip, vectorKey, announcedVector, now) });
};

/** Merges the records that another node sent, and reacts to the changes. */
export const learnRecords = (
  transition: Transition,
  updates: GossipExchangeReply['newer'],
): void => {
  const stateBefore = transition.state;
  const {
    state: gossip,
    updatedKeys,
    keysWithValue,
  } = mergeUpdates(stateBefore.gossip, updates, stateBefore.now);
  update(transition, { gossip });
  republishNewerOrigins(transition, stateBefore, updates, updatedKeys);
  republishOwn(transition, updatedKeys);
  if (updatedKeys.some((key) => key.startsWith('vector/')))
    update(transition, { isRoutingTableStale: true });
  if (keysWithValue.some((key) => key.startsWith('node/'))) updateMovedReplicas(transition);
};
