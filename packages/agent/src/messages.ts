/**
 * What agents, proxies, operators and origins say to an agent, and what registers and gossip hold.
 * Fields that are sent or stored keep their names, since versions run side by side.
 */
import type { ReplicaRequest, ReplicaReply } from '@reedyard/replica';
import type { OriginDescription, ZoneOrder, Policy, Purge } from '@reedyard/schemas';
import type { GossipExchange, GossipExchangeReply, RecordUpdate } from '@reedyard/gossip';
import type { RoutingTable } from '@reedyard/server-selection';

/** Who and where an agent is, and what else runs on its machine. */
export type NodeIdentity = {
  /** Whether it serves on while provably cut off from a majority; left out: it does not. */
  readonly servesOn?: boolean;
  readonly id: string;
  readonly zone: string;
  readonly region: string;
  readonly address: string;
  readonly proxy: {
    readonly callers: string;
    readonly peers: string;
    readonly capacityBps: number;
  } | null;
  readonly replica: { readonly address: string } | null;
};

/** Where members found themselves from seeds: what an agent is told by its settings. */
export type AgentBootstrap = {
  /** Lost disks that must be borne: there are to be 2 × losses + 1 members. */
  readonly losses: number;
  /**
   * ms. How long a successor may take, from its start, until another loss must be borne; left out:
   * not told.
   */
  readonly catchUpMs?: number | undefined;
  /** Replicas to ask for the members. */
  readonly seeds: readonly string[];
};

/** A node's own record, told by gossip; a new revision of it is a heartbeat. */
export type NodeRecord = {
  readonly id: string;
  readonly zone: string;
  readonly region: string;
  readonly address: string;
  readonly proxy: NodeIdentity['proxy'];
  /**
   * Where its replica is; and where members found themselves from seeds, which disk it told last,
   * and whether that is blank.
   */
  readonly replica:
    | (NonNullable<NodeIdentity['replica']> & { readonly disk?: string; readonly fresh?: boolean })
    | null;
  /** Whether its proxy takes requests. */
  readonly ready: boolean;
  /**
   * Whether its proxy runs and is not leaving: it keeps its quotas through a short loss of its
   * lease.
   */
  readonly staying: boolean;
  /** Names the incarnation of its proxy; a claim of another incarnation is nobody's any more. */
  readonly proxyLife: string;
  /** Attempts a second that its proxy would like to make, by service. */
  readonly wants: Readonly<Record<string, number>>;
};

/** What the policy register holds. */
export type PolicyRegister = {
  readonly revision: number;
  readonly document: Policy;
  readonly changes: readonly { readonly id: string; readonly revision: number }[];
};

/** What the zones register holds. */
export type ZonesRegister = {
  readonly revision: number;
  readonly emptied: readonly string[];
  /** Zones whose origins get nothing: the emptied ones, and those of which only the origins are. */
  readonly closedOrigins: readonly string[];
  /** Zones whose origins were taken back, and the revision that did. */
  readonly reopened: Readonly<Record<string, number>>;
  /** For each zone the revision of the last order for it that was chosen. */
  readonly lastOrders: Readonly<Record<string, number>>;
  readonly changes: readonly { readonly id: string; readonly revision: number }[];
};

/** How far a claimed request got. */
export type ClaimState = 'pending' | 'ran' | 'not-run' | 'unknown';
/** What a claim's register holds: never a body. */
export type ClaimRegister = {
  readonly token: string;
  readonly state: ClaimState;
  readonly node: string;
  readonly life: string;
  /** Of method, target and body. */ readonly digest: string;
};

/** What a proxy measured over one period. */
export type TrafficMeasurement = {
  /** bps its own callers asked for, by object key. */
  readonly demand: Readonly<Record<string, number>>;
  readonly copies: readonly string[];
  /** bps it served in all, for its callers and for peers. */
  readonly servedBps: number;
  readonly meanReplyBits: number;
  readonly fetchSeconds: number;
};

/** What a proxy tells with each question for news. */
export type ProxyReport = {
  readonly policyRevision: number;
  readonly life: string;
  readonly proxyLife: string;
  readonly purgeSeq: number;
  readonly stopping: boolean;
  readonly wants: Readonly<Record<string, number>>;
  readonly measure: TrafficMeasurement | null;
  readonly counters: Readonly<Record<string, number>>;
};

/** An origin as the proxy uses it. */
export type OriginEndpoint = {
  readonly service: string;
  readonly instance: string;
  readonly incarnation: number;
  readonly address: string;
  readonly zone: string;
  readonly region: string;
  readonly cold: boolean;
  /** How much it carries beside others of its service: requests a second, or its slots. */
  readonly capacity: number;
  /** Requests that it works on at once. */
  readonly slots: number | null;
  /** Connections that it accepts from all nodes together. */
  readonly conns: number | null;
  /** Attempts a second that this node may make to it; Infinity where nothing bounds them. */
  readonly rate: number;
};
/** Another node's proxy as a proxy uses it. */
export type PeerEndpoint = {
  readonly id: string;
  readonly zone: string;
  readonly region: string;
  readonly address: string;
  readonly delay: number;
};

/** What an agent feeds to its proxy. */
export type Feed = {
  /** ms that the lease still runs, from the moment the question was sent. */
  readonly leaseMs: number;
  /** Names this incarnation of the agent; a new one makes old purge positions worthless. */
  readonly life: string;
  readonly flushes: number;
  /** Only where the proxy's revision is another. */
  readonly policy: { readonly revision: number; readonly document: Policy } | null;
  readonly policyRevision: number;
  readonly origins: readonly OriginEndpoint[];
  readonly peers: readonly PeerEndpoint[];
  readonly emptied: readonly string[];
  readonly split: RoutingTable;
  /** Attempts a second that this proxy may make, by service; Infinity where nothing bounds them. */
  readonly slices: Readonly<Record<string, number>>;
  /** Whether the allocation has given this node most of its quotas: until then it is not ready. */
  readonly seated: boolean;
  readonly purges: readonly { readonly seq: number; readonly purge: Purge }[];
  readonly purgeSeq: number;
};

/** Parts of a feed that are told only to a proxy that does not hold them as they are. */
export const feedPartNames = ['origins', 'peers', 'emptied', 'split', 'slices'] as const;
/** The name of a part of the feed that is sent only where it changed. */
export type FeedPart = (typeof feedPartNames)[number];
/** For each part a number that grows when it changes, within one incarnation of the agent. */
export type FeedRevisions = Readonly<Record<FeedPart, number>>;
/** A feed as it goes to the proxy: without the parts that it holds. */
export type FeedReply = Omit<Feed, FeedPart> &
  Partial<Pick<Feed, FeedPart>> & { readonly revisions: FeedRevisions };
/** What a proxy holds, and of which incarnation of the agent. */
export type HeldFeedParts = { readonly life: string; readonly revisions: FeedRevisions };

/** What a proxy asks of its agent. */
export type ProxyQuery =
  | { readonly kind: 'feed'; readonly report: ProxyReport; readonly held: HeldFeedParts | null }
  | {
      readonly kind: 'claim';
      readonly key: string;
      readonly token: string;
      readonly life: string;
      readonly digest: string;
    }
  | {
      readonly kind: 'settle';
      readonly key: string;
      readonly token: string;
      readonly state: ClaimState;
    };

/** What a proxy is told of its claim. */
export type ClaimReply =
  | { readonly kind: 'granted' }
  | { readonly kind: 'taken'; readonly state: ClaimState }
  /** The key was used for a request with other content. */
  | { readonly kind: 'other' }
  | { readonly kind: 'unreached' };

/** What agents ask of each other. */
export type AgentRequest =
  | { readonly kind: 'exchange'; readonly exchange: GossipExchange }
  | { readonly kind: 'push'; readonly tellings: Readonly<Record<string, RecordUpdate>> }
  | { readonly kind: 'ping' };
/** What agents reply to each other. */
export type AgentReply =
  { readonly kind: 'exchanged'; readonly exchanged: GossipExchangeReply } | { readonly kind: 'ok' };

/** What operators and origins ask. */
export type ApiAction =
  | {
      readonly kind: 'put-policy';
      readonly document: Policy;
      readonly ifMatch: number | null;
      readonly changeId: string;
    }
  | { readonly kind: 'get-policy' }
  | { readonly kind: 'describe'; readonly description: OriginDescription }
  | { readonly kind: 'withdraw'; readonly instance: string }
  | { readonly kind: 'purge'; readonly purge: Purge; readonly changeId: string }
  | {
      readonly kind: 'zone';
      readonly zone: string;
      readonly order: ZoneOrder['order'];
      readonly of: ZoneOrder['of'];
      readonly changeId: string;
    }
  | { readonly kind: 'status' | 'shares' | 'peers' | 'ready' | 'live' };

/** What happens to an agent, with the ms of its clock at which it came. */
export type AgentEvent =
  | { readonly kind: 'tick'; readonly now: number }
  | {
      readonly kind: 'agent-request-received';
      readonly requestId: number;
      readonly request: AgentRequest;
      readonly now: number;
    }
  | {
      readonly kind: 'proxy-request-received';
      readonly requestId: number;
      readonly request: ProxyQuery;
      readonly now: number;
    }
  | {
      readonly kind: 'action-received';
      readonly requestId: number;
      readonly action: ApiAction;
      readonly now: number;
    }
  | {
      readonly kind: 'reply-received';
      readonly requestId: number;
      readonly reply: ReplicaReply | AgentReply;
      readonly now: number;
    }
  | { readonly kind: 'request-failed'; readonly requestId: number; readonly now: number }
  /** The caller of an operator's action closed its connection before it was answered. */
  | { readonly kind: 'caller-disconnected'; readonly requestId: number; readonly now: number }
  /** The time that a `wake` effect asked for has come. */
  | { readonly kind: 'wake-up-due'; readonly now: number };

/** What an agent's reducer wants done, in order. */
export type AgentEffect =
  | {
      readonly kind: 'send-request';
      readonly requestId: number;
      readonly to: string;
      readonly path: '/replica';
      readonly request: ReplicaRequest;
    }
  | {
      readonly kind: 'send-request';
      readonly requestId: number;
      readonly to: string;
      readonly path: '/agent';
      readonly request: AgentRequest;
    }
  | {
      readonly kind: 'send-reply';
      readonly requestId: number;
      readonly reply: AgentReply | FeedReply | ClaimReply;
    }
  | {
      readonly kind: 'send-answer';
      readonly requestId: number;
      readonly status: number;
      readonly body: unknown;
      readonly retryAfter?: number;
    }
  /** Asks for a `woken` event after so many ms. */
  | { readonly kind: 'schedule-wake-up'; readonly delayMs: number }
  | {
      readonly kind: 'log';
      readonly event: string;
      readonly fields: Readonly<Record<string, string | number | boolean>>;
    };
