/** The state of an agent that has just started. */

import { Map as Table } from 'immutable';
import { zeroProposalNumber } from '@reedyard/consensus';
import { emptyGossip } from '@reedyard/gossip';
import { newReplicaView } from './control/control-state.js';
import type { AgentBootstrap, NodeIdentity } from './messages.js';
import type { AgentState } from './state.js';

/** The initial parameters of an agent. */
export type AgentInit = {
  readonly self: NodeIdentity;
  /** A unique id of this process; each start has a new one. */
  readonly incarnation: string;
  /** Addresses of the agents to start gossip with. */
  readonly seeds: readonly string[];
  /** The addresses of the founding replicas, by name; ignored with `bootstrap`. */
  readonly founders: Readonly<Record<string, string>>;
  readonly randomSeed: number;
  /** The time of the agent's monotonic clock, in milliseconds. */
  readonly now: number;
  /** Set where the members are discovered from seeds. */
  readonly bootstrap?: AgentBootstrap | null;
};

/** The journal state of an agent that has read no entries. */
const emptyJournal = {
  entries: [],
  entryKeys: {},
  lastEntrySequence: 0,
  committedEntryKeys: {},
  zonesRestoredAt: {},
};

/** The routing state before the first routing table is computed. */
const emptyRouting = {
  routingTable: {},
  routingTableCheckedAt: 0,
  isRoutingTableStale: true,
  routingTableNodeIds: '',
  routingTableCount: 0,
};

/**
 * The initial state of an agent, which knows only itself, its seeds and the founding replicas.
 *
 * @example
 * openAgent({ self, incarnation: 'i1', seeds: [], founders: { 'core-1': '127.0.0.1:7101' }, randomSeed: 1, now: 0 })
 */
export const openAgent = (init: AgentInit): AgentState => {
  const { self, incarnation, seeds, randomSeed, now, bootstrap = null } = init;
  const founders = bootstrap === null ? Object.entries(init.founders) : [];
  return {
    self,
    incarnation,
    seeds,
    randomSeed,
    now,
    nextRequestId: 1,
    pendingRequests: {},
    bootstrap,
    startedAt: now,
    localReplica: null,
    spares: {},
    replicas: Object.fromEntries(
      founders.map(([name, address]) => [name, newReplicaView(address, now)]),
    ),
    registers: {},
    highestProposalNumber: zeroProposalNumber,
    fetchedValues: {},
    incompleteWrites: {},
    leaseUntil: 0,
    lastTickAt: now,
    lastLateTickAt: now,
    lastReplicaReturnAt: now,
    cacheFlushCount: 0,
    ...emptyJournal,
    claimSpans: [Table(), Table(), Table()],
    claimSpanStartedAt: now,
    pendingChanges: {},
    activeProposals: {},
    learntRevisions: { policy: [], zones: [] },
    pendingAppends: {},
    gossip: emptyGossip,
    pingSecondsByPeer: {},
    lastProxyReport: null,
    lastFeedParts: {},
    announcedVector: null,
    vectorAnnouncedAt: 0,
    vectorAnnouncementCount: 0,
    ...emptyRouting,
    lastSeenAllocation: { term: 0, beat: 0, at: now },
    quotaLeadership: null,
    nextDueAt: { pull: 0, gossip: 0, heartbeat: 0, allocation: 0, ping: 0, expiry: 0 },
  };
};
