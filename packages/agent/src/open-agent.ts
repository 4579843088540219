/** The state of an agent that has just started. */

import { Map as Table } from 'immutable';
import { zeroProposalNumber } from '@reedyard/consensus';
import { emptyGossip } from '@reedyard/gossip';
import { newReplicaView } from './control/control-state.js';
import type { AgentBootstrap, NodeIdentity } from './messages.js';
import type { AgentState } from './state.js';

/** What an agent is opened with. */
export type AgentParts = {
  readonly self: NodeIdentity;
  /** Names this process; another one for each start. */
  readonly incarnation: string;
  /** Addresses of agents to begin gossip with. */
  readonly seeds: readonly string[];
  /** The founding replicas, by name, with their addresses; not used with `bootstrap`. */
  readonly founders: Readonly<Record<string, string>>;
  readonly randomSeed: number;
  /** ms of the agent's clock. */
  readonly now: number;
  /** Set where members find themselves from seeds. */
  readonly bootstrap?: AgentBootstrap | null;
};

/** Nothing of the journal is known. */
const emptyJournal = {
  entries: [],
  entryKeys: {},
  lastEntrySequence: 0,
  committedEntryKeys: {},
  zonesRestoredAt: {},
};

/** Nothing was computed yet. */
const emptyRouting = {
  routingTable: {},
  routingTableCheckedAt: 0,
  isRoutingTableStale: true,
  routingTableNodeIds: '',
  routingTableCount: 0,
};

/**
 * An agent that knows only itself, its seeds and the founding replicas.
 *
 * @example
 * openAgent({ self, incarnation: 'i1', seeds: [], founders: { 'core-1': '127.0.0.1:7101' }, randomSeed: 1, now: 0 })
 */
export const openAgent = (parts: AgentParts): AgentState => {
  const { self, incarnation, seeds, randomSeed, now, bootstrap = null } = parts;
  const founders = bootstrap === null ? Object.entries(parts.founders) : [];
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
    nextDueAt: { pull: 0, gossip: 0, heartbeat: 0, division: 0, ping: 0, sweep: 0 },
  };
};
