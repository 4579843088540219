/** The state of an agent's reducer. */
import type { ProposalNumber } from '@reedyard/consensus';
import type { GossipState } from '@reedyard/gossip';
import type { QuotaShares } from '@reedyard/quota-division';
import type { JournalEntry } from '@reedyard/replica';
import type { RoutingTable, LoadVector } from '@reedyard/server-selection';
import type { Claims, ReplicaView, WatchedRegister } from './control/control-state.js';
import type { AgentBootstrap, FeedPart, NodeIdentity, ProxyReport } from './messages.js';
import type { RegisterWithChangeIds, LearntRevision } from './proposals/change-ids.js';
import type { ActiveProposal, PendingAppend, PendingChange } from './proposals/proposal-state.js';

/** A request in flight, with the data that the handling of its reply needs. */
export type PendingRequest =
  | { readonly kind: 'poll'; readonly replica: string; readonly sentAt: number }
  /**
   * Queries a replica, which need not have a slot in the membership, for the membership; and this
   * machine's own replica for its disk.
   */
  | { readonly kind: 'look-up'; readonly address: string }
  | { readonly kind: 'read-register'; readonly key: WatchedRegister; readonly sentAt: number }
  | {
      readonly kind: 'vote';
      readonly key: string;
      readonly replica: string;
      readonly phase: 'prepare' | 'accept';
      readonly proposalNumber: ProposalNumber;
    }
  | { readonly kind: 'append-entries'; readonly appendId: number; readonly replica: string }
  | { readonly kind: 'exchange'; readonly to: string; readonly peer: string | null }
  | { readonly kind: 'push' }
  | {
      readonly kind: 'restore';
      readonly replica: string;
      readonly epoch: number;
      readonly restoredCount: number;
    }
  | { readonly kind: 'ping'; readonly peerId: string; readonly sentAt: number };

/** The state of an agent. All times are in milliseconds of its own monotonic clock. */
export type AgentState = {
  readonly self: NodeIdentity;
  readonly incarnation: string;
  readonly seeds: readonly string[];
  /** Set where the members are discovered from seeds; null where the settings name every founder. */
  readonly bootstrap: AgentBootstrap | null;
  readonly startedAt: number;
  /** This machine's own replica, according to its last reply. */
  readonly localReplica: {
    readonly diskId: string;
    readonly isBlank: boolean;
    readonly at: number;
  } | null;
  /**
   * Spare replicas that replied to a request of this agent, by address: first-hand evidence that
   * they are live.
   */
  readonly spares: Readonly<Record<string, { readonly diskId: string; readonly at: number }>>;
  readonly randomSeed: number;
  readonly now: number;
  readonly nextRequestId: number;
  readonly pendingRequests: Readonly<Record<number, PendingRequest>>;
  readonly replicas: Readonly<Record<string, ReplicaView>>;
  readonly registers: Readonly<
    Partial<
      Record<
        WatchedRegister,
        {
          readonly proposalNumber: ProposalNumber;
          readonly value: unknown;
          readonly at: number;
        }
      >
    >
  >;
  readonly highestProposalNumber: ProposalNumber;
  /** The newest value read of each register, until polls show whether the value is chosen. */
  readonly fetchedValues: Readonly<
    Partial<
      Record<
        WatchedRegister,
        {
          readonly proposalNumber: ProposalNumber;
          readonly value: unknown;
        }
      >
    >
  >;
  /** The newest proposal of each register that only a minority reported, and since when. */
  readonly incompleteWrites: Readonly<
    Partial<
      Record<
        WatchedRegister,
        {
          readonly proposalNumber: ProposalNumber;
          readonly since: number;
        }
      >
    >
  >;
  /** When this node's lease expires: until then it may act on the control state that it knows. */
  readonly leaseUntil: number;
  /** When the last tick ran, and when a tick was last late. */
  readonly lastTickAt: number;
  readonly lastLateTickAt: number;
  /** When a replica that had been unresponsive last replied again. */
  readonly lastReplicaReturnAt: number;
  readonly cacheFlushCount: number;
  readonly entries: readonly (JournalEntry & { readonly seq: number; readonly at: number })[];
  readonly entryKeys: Readonly<Record<string, true>>;
  readonly lastEntrySequence: number;
  /** Keys of journal entries that a majority of disks is known to have stored. */
  readonly committedEntryKeys: Readonly<Record<string, true>>;
  /** When this node learnt that the origins of a zone were restored, by zone. */
  readonly zonesRestoredAt: Readonly<Record<string, number>>;
  /** Spans of claims, the newest first. */
  readonly claimSpans: readonly Claims[];
  readonly claimSpanStartedAt: number;
  readonly pendingChanges: Readonly<Record<number, PendingChange>>;
  /** The proposals in progress, by register. */
  readonly activeProposals: Readonly<Record<string, ActiveProposal>>;
  /** Revisions of the registers, and when this node learnt of them. */
  readonly learntRevisions: Readonly<Record<RegisterWithChangeIds, readonly LearntRevision[]>>;
  readonly pendingAppends: Readonly<Record<number, PendingAppend>>;
  readonly gossip: GossipState;
  readonly pingSecondsByPeer: Readonly<Record<string, readonly number[]>>;
  /** The last report of this machine's proxy, and when it was received. */
  readonly lastProxyReport: { readonly content: ProxyReport; readonly at: number } | null;
  /** The parts of the feed at the last feed request, with their revisions. */
  readonly lastFeedParts: Readonly<
    Partial<
      Record<
        FeedPart,
        {
          readonly revision: number;
          readonly value: unknown;
          readonly text: string;
        }
      >
    >
  >;
  readonly announcedVector: LoadVector | null;
  readonly vectorAnnouncedAt: number;
  readonly vectorAnnouncementCount: number;
  readonly routingTable: RoutingTable;
  /** When this node last checked whether its routing table is outdated. */
  readonly routingTableCheckedAt: number;
  readonly isRoutingTableStale: boolean;
  /** The ids of the serving nodes that the routing table was computed from, separated by spaces. */
  readonly routingTableNodeIds: string;
  readonly routingTableCount: number;
  readonly lastSeenAllocation: {
    readonly term: number;
    readonly beat: number;
    readonly at: number;
  };
  readonly quotaLeadership: {
    readonly term: number;
    readonly precedingAllocations: readonly {
      readonly slices: Readonly<Record<string, QuotaShares>>;
      readonly until: number;
    }[];
  } | null;
  /** When each periodic job of the tick runs next. */
  readonly nextDueAt: Readonly<
    Record<'pull' | 'gossip' | 'heartbeat' | 'allocation' | 'ping' | 'expiry', number>
  >;
};
