/** The state of an agent. */
import type { ProposalNumber } from '@reedyard/consensus';
import type { GossipState } from '@reedyard/gossip';
import type { QuotaShares } from '@reedyard/quota-division';
import type { JournalEntry } from '@reedyard/replica';
import type { RoutingTable, LoadVector } from '@reedyard/server-selection';
import type { Claims, ReplicaView, WatchedRegister } from './control/control-state.js';
import type { AgentBootstrap, FeedPart, NodeIdentity, ProxyReport } from './messages.js';
import type { RegisterWithChangeIds, LearntRevision } from './proposals/change-ids.js';
import type { ActiveProposal, PendingAppend, PendingChange } from './proposals/proposal-state.js';

/** A request under way, and what its reply is for. */
export type PendingRequest =
  | { readonly kind: 'poll'; readonly replica: string; readonly sentAt: number }
  /**
   * Asks a replica that need have no place for the members, and this machine's own for its disk.
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

/** The state of an agent. All times are ms of its own monotonic clock. */
export type AgentState = {
  readonly self: NodeIdentity;
  readonly incarnation: string;
  readonly seeds: readonly string[];
  /** Where members found themselves from seeds; null where the settings name every founder. */
  readonly bootstrap: AgentBootstrap | null;
  readonly startedAt: number;
  /** This machine's own replica as it last answered. */
  readonly localReplica: {
    readonly diskId: string;
    readonly isBlank: boolean;
    readonly at: number;
  } | null;
  /**
   * Spare replicas that answered a call of this agent, by address: its own proof that they live.
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
  /** The newest value fetched of a register, until polls show whether it is chosen. */
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
  /** The newest proposal of a register that only a minority showed, and since when. */
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
  /** Monotonic ms until which this node may act on what it knows. */
  readonly leaseUntil: number;
  /** When the last beat came, and when one last came late. */
  readonly lastTickAt: number;
  readonly lastLateTickAt: number;
  /** When a replica that had been silent last answered again. */
  readonly lastReplicaReturnAt: number;
  readonly cacheFlushCount: number;
  readonly entries: readonly (JournalEntry & { readonly seq: number; readonly at: number })[];
  readonly entryKeys: Readonly<Record<string, true>>;
  readonly lastEntrySequence: number;
  /** Keys of journal entries that this node saw a majority of disks take. */
  readonly committedEntryKeys: Readonly<Record<string, true>>;
  /** When this node learnt that a zone's origins were taken back. */
  readonly zonesRestoredAt: Readonly<Record<string, number>>;
  /** The newest span of them first. */
  readonly claimSpans: readonly Claims[];
  readonly claimSpanStartedAt: number;
  readonly pendingChanges: Readonly<Record<number, PendingChange>>;
  /** The proposals under way, by register. */
  readonly activeProposals: Readonly<Record<string, ActiveProposal>>;
  /** Revisions of registers, and when this node learnt of them. */
  readonly learntRevisions: Readonly<Record<RegisterWithChangeIds, readonly LearntRevision[]>>;
  readonly pendingAppends: Readonly<Record<number, PendingAppend>>;
  readonly gossip: GossipState;
  readonly pingSecondsByPeer: Readonly<Record<string, readonly number[]>>;
  /** What this machine's proxy last reported, and when. */
  readonly lastProxyReport: { readonly content: ProxyReport; readonly at: number } | null;
  /** Parts of the feed as they were last told to the proxy. */
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
  /** When the routing table was last looked at. */
  readonly routingTableCheckedAt: number;
  readonly isRoutingTableStale: boolean;
  /** The nodes that the routing table was computed over. */
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
  readonly nextDueAt: Readonly<
    Record<'pull' | 'gossip' | 'heartbeat' | 'division' | 'ping' | 'sweep', number>
  >;
};
