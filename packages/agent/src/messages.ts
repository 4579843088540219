/**
 * The messages that agents, proxies, operators and origins exchange with an agent, and the values in
 * registers and gossip. Fields that are sent or stored keep their names, since nodes of different
 * versions run at the same time.
 */
import type { ReplicaRequest, ReplicaReply } from '@reedyard/replica';
import type { OriginDescription, ZoneOrder, Policy, Purge } from '@reedyard/schemas';
import type { GossipExchange, GossipExchangeReply, RecordUpdate } from '@reedyard/gossip';
import type { RoutingTable } from '@reedyard/server-selection';

/** The id and location of a node, and the programs on its machine. */
export type NodeIdentity = {
  /** Whether its proxy keeps serving while the node is provably isolated from a majority; default: no. */
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

/** The settings of an agent whose members are discovered from seeds. */
export type AgentBootstrap = {
  /** How many lost disks must be tolerated: the membership needs 2 × losses + 1 members. */
  readonly losses: number;
  /**
   * How long a replacement replica may take from its start until another loss must be tolerated, in
   * milliseconds; undefined where the settings do not say.
   */
  readonly catchUpMs?: number | undefined;
  /** Addresses of the replicas to query for the membership. */
  readonly seeds: readonly string[];
};

/** The record that a node publishes about itself by gossip; each new revision is a heartbeat. */
export type NodeRecord = {
  readonly id: string;
  readonly zone: string;
  readonly region: string;
  readonly address: string;
  readonly proxy: NodeIdentity['proxy'];
  /**
   * The address of its replica; and, where the members are discovered from seeds, the disk id that
   * the replica last reported and whether that disk is blank.
   */
  readonly replica:
    | (NonNullable<NodeIdentity['replica']> & { readonly disk?: string; readonly fresh?: boolean })
    | null;
  /** Whether its proxy accepts requests. */
  readonly ready: boolean;
  /**
   * Whether its proxy runs and is not stopping: such a node keeps its quotas during a short loss of
   * its lease.
   */
  readonly staying: boolean;
  /** The id of its proxy's incarnation; a claim of another incarnation has no owner any more. */
  readonly proxyLife: string;
  /** The demand of its proxy in attempts per second, by service. */
  readonly wants: Readonly<Record<string, number>>;
};

/** The value of the policy register. */
export type PolicyRegister = {
  readonly revision: number;
  readonly document: Policy;
  readonly changes: readonly { readonly id: string; readonly revision: number }[];
};

/** The value of the zones register. */
export type ZonesRegister = {
  readonly revision: number;
  readonly emptied: readonly string[];
  /** Zones whose origins get no traffic: evacuated zones, and zones whose origins alone are evacuated. */
  readonly closedOrigins: readonly string[];
  /** Zones whose origins were restored, each with the revision of the order that restored them. */
  readonly reopened: Readonly<Record<string, number>>;
  /** The revision of the last chosen order for each zone. */
  readonly lastOrders: Readonly<Record<string, number>>;
  readonly changes: readonly { readonly id: string; readonly revision: number }[];
};

/** The progress of a claimed request. */
export type ClaimState = 'pending' | 'ran' | 'not-run' | 'unknown';
/** The value of a claim's register, which never contains a request body. */
export type ClaimRegister = {
  readonly token: string;
  readonly state: ClaimState;
  readonly node: string;
  readonly life: string;
  /** A digest of method, target and body. */ readonly digest: string;
};

/** The traffic that a proxy measured over one period. */
export type TrafficMeasurement = {
  /** The demand of its own clients in bits per second, by object key. */
  readonly demand: Readonly<Record<string, number>>;
  readonly copies: readonly string[];
  /** Bits per second that it served in total, to its clients and to peers. */
  readonly servedBps: number;
  readonly meanReplyBits: number;
  readonly fetchSeconds: number;
};

/** The report that a proxy sends with each feed request. */
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

/** An origin instance in the form that the proxy uses. */
export type OriginEndpoint = {
  readonly service: string;
  readonly instance: string;
  readonly incarnation: number;
  readonly address: string;
  readonly zone: string;
  readonly region: string;
  readonly cold: boolean;
  /** Its capacity relative to other instances of its service: requests per second, or its slots. */
  readonly capacity: number;
  /** The number of requests that it processes concurrently. */
  readonly slots: number | null;
  /** The number of connections that it accepts from all nodes together. */
  readonly conns: number | null;
  /** Attempts per second that this node may make to it; Infinity where they are unlimited. */
  readonly rate: number;
};
/** The proxy of another node in the form that a proxy uses. */
export type PeerEndpoint = {
  readonly id: string;
  readonly zone: string;
  readonly region: string;
  readonly address: string;
  readonly delay: number;
};

/** The complete feed of an agent to its proxy. */
export type Feed = {
  /** The remaining lease in milliseconds, counted from when the proxy sent its feed request. */
  readonly leaseMs: number;
  /**
   * The part of `leaseMs` that replies of a majority prove; less where the node serves while it is
   * isolated. Undefined from an agent of the last version, which doesn't distinguish the two.
   */
  readonly provenLeaseMs?: number;
  /** The id of this incarnation of the agent; purge positions are valid within one incarnation only. */
  readonly life: string;
  readonly flushes: number;
  /** The policy; null where the proxy has this revision already. */
  readonly policy: { readonly revision: number; readonly document: Policy } | null;
  readonly policyRevision: number;
  readonly origins: readonly OriginEndpoint[];
  readonly peers: readonly PeerEndpoint[];
  readonly emptied: readonly string[];
  readonly split: RoutingTable;
  /** Attempts per second that this proxy may make, by service; Infinity where they are unlimited. */
  readonly slices: Readonly<Record<string, number>>;
  /** Whether the quota leader has once allocated enough quotas to this node for it to be ready. */
  readonly seated: boolean;
  readonly purges: readonly { readonly seq: number; readonly purge: Purge }[];
  readonly purgeSeq: number;
};

/** The parts of a feed that are sent only when the proxy does not have their current revisions. */
export const feedPartNames = ['origins', 'peers', 'emptied', 'split', 'slices'] as const;
/** The name of a part of the feed that is sent only when it changed. */
export type FeedPart = (typeof feedPartNames)[number];
/** The revision of each part: it grows when the part changes, within one incarnation of the agent. */
export type FeedRevisions = Readonly<Record<FeedPart, number>>;
/** A feed as it is sent to the proxy: without the parts that the proxy already has. */
export type FeedReply = Omit<Feed, FeedPart> &
  Partial<Pick<Feed, FeedPart>> & { readonly revisions: FeedRevisions };
/** The revisions of the feed parts that a proxy has, and the agent incarnation that sent them. */
export type HeldFeedParts = { readonly life: string; readonly revisions: FeedRevisions };

/** A request of a proxy to its agent. */
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

/** The reply to a proxy's claim. */
export type ClaimReply =
  | { readonly kind: 'granted' }
  | { readonly kind: 'taken'; readonly state: ClaimState }
  /** The key was already used for a request with different content. */
  | { readonly kind: 'other' }
  | { readonly kind: 'unreached' };

/** A request of one agent to another. */
export type AgentRequest =
  | { readonly kind: 'exchange'; readonly exchange: GossipExchange }
  | { readonly kind: 'push'; readonly tellings: Readonly<Record<string, RecordUpdate>> }
  | { readonly kind: 'ping' };
/** The reply of one agent to another. */
export type AgentReply =
  { readonly kind: 'exchanged'; readonly exchanged: GossipExchangeReply } | { readonly kind: 'ok' };

/** An action that operators and origins request through the API. */
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

/** An input of an agent's reducer, with its time in milliseconds of the agent's monotonic clock. */
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
  /** The client of an API action closed its connection before the response. */
  | { readonly kind: 'caller-disconnected'; readonly requestId: number; readonly now: number }
  /** The delay of a `schedule-wake-up` effect has passed. */
  | { readonly kind: 'wake-up-due'; readonly now: number };

/** An effect that the agent's reducer requests; effects are executed in order. */
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
  /** Requests a `wake-up-due` event after a delay. */
  | { readonly kind: 'schedule-wake-up'; readonly delayMs: number }
  | {
      readonly kind: 'log';
      readonly event: string;
      readonly fields: Readonly<Record<string, string | number | boolean>>;
    };
