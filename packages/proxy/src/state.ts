/** The state of a proxy, its events and its effects, and the helpers that change the state. */
import type {
  ClaimReply,
  Feed,
  ProxyQuery,
  OriginEndpoint,
  PeerEndpoint,
  ProxyReport,
} from '@reedyard/agent';
import type { CachedResponse, Headers, CacheState } from '@reedyard/cache';
import type { OriginLoad, OriginEvidence } from './wire-format.js';
import type { Policy, Route, RouteTable } from '@reedyard/schemas';
import type { Attempt, SendProgress } from '@reedyard/attempts';

/** The parts of a client's request that the reducer depends on. Header names are in lower case. */
export type ClientRequest = {
  readonly method: string;
  readonly target: string;
  readonly host: string;
  readonly headers: Headers;
  /** The peer that forwarded the request; null if a client sent it. */
  readonly via: string | null;
  readonly bodyBytes: number;
  /** Distinguishes requests with the same idempotency key by method, target and body; null without a key. */
  readonly digest: string | null;
  /** How long the client waits, in milliseconds; undefined or null if the request does not say. */
  readonly deadlineMs?: number | null;
  /** How many attempts at origins are left; undefined or null if the request does not say. */
  readonly attempts?: number | null;
  /** The service that the forwarding peer drew; undefined or null if the request does not say. */
  readonly service?: string | null;
  /**
   * Whether the forwarding peer has a lease: its answer must then rest on a lease here as well, not
   * on what an isolated node last knew.
   */
  readonly requiresLease?: boolean;
};

/** A response to an attempt: complete if it has at most maxBufferedBodyBytes, else still streaming. */
export type AttemptResponse = {
  readonly status: number;
  readonly headers: Headers;
  readonly body: unknown;
  readonly size: number;
  readonly isComplete: boolean;
  /**
   * What an origin's response proves under the wire format of the attempt. If undefined, the header
   * fields of the response decide.
   */
  readonly originEvidence?: OriginEvidence;
};

/** The target of an attempt. */
export type AttemptTarget =
  | { readonly kind: 'origin'; readonly row: OriginEndpoint }
  | { readonly kind: 'peer'; readonly row: PeerEndpoint };

/** A request in flight. */
export type ProxyRequest = {
  readonly id: number;
  readonly clientRequest: ClientRequest;
  /** The route of the request under the policy of `revision`; updated when the policy is newer. */
  readonly route: Route;
  readonly revision: number;
  /** The service, drawn from those of the route. */
  readonly service: string;
  /** Whether the request may run more than once. */
  readonly isIdempotent: boolean;
  readonly key: string;
  readonly arrivedAt: number;
  readonly deadlineAt: number;
  /** Random numbers and a token from the arrival event, since the reducer itself is deterministic. */
  readonly randomNumbers: readonly number[];
  readonly token: string;
  /** The register that the idempotency key claims; null without a claim. */
  readonly claimKey: string | null;
  readonly attempts: readonly Attempt[];
  /**
   * `joined`: the request waits for another request's fetch. `holding`: it queues for a quota token.
   * `over`: the client has its response, and the remaining attempts are allowed to finish.
   */
  readonly phase: 'claiming' | 'joined' | 'holding' | 'attempt' | 'over';
  readonly queuedAt: number;
  readonly isFetchLeader: boolean;
  readonly hasClientLeft: boolean;
};

/** A fetch by one request, the leader, that other requests wait for. */
export type SharedFetch = {
  readonly leader: number;
  readonly waiters: readonly number[];
  /** Whether later requests must not join. */
  readonly isClosed: boolean;
};

/** The recent behaviour of an origin or a peer. */
export type OriginHealth = {
  /** The exponentially weighted mean of the response times, in milliseconds. */
  readonly meanResponseMs: number;
  readonly lastResponseAt: number;
  /** The last load report, with the number of this node's requests in flight when it arrived. */
  readonly load: (OriginLoad & { readonly at: number; readonly ownInFlight: number }) | null;
  /** The number of failures since the last valid response. */
  readonly failures: number;
};

/** A token bucket; `rate` is in tokens per second. */
export type Bucket = { readonly tokens: number; readonly at: number; readonly rate: number };

/** The state of a proxy. All times are in milliseconds of its own monotonic clock. */
export type ProxyState = {
  readonly self: {
    readonly id: string;
    readonly zone: string;
    readonly region: string;
    readonly capacityBps: number;
    /** The memory for cached responses, in bytes; undefined for the default. */
    readonly maxCacheBytes?: number;
    /** The incarnation of this proxy. */
    readonly life: string;
  };
  readonly now: number;
  /** Until when this node may serve: the end of its lease, or of its allowance while isolated. */
  readonly leaseUntil: number;
  /** Until when a lease proves that what this node knows is current. */
  readonly provenUntil: number;
  /** The incarnation of the agent that sent the last feed; empty before the first one. */
  readonly life: string;
  readonly cacheFlushCount: number;
  readonly feedRequestedAt: number;
  readonly purgeSeq: number;
  readonly policy: { readonly revision: number; readonly document: Policy } | null;
  readonly routes: RouteTable;
  readonly feed: Feed | null;
  /** The edges at which a route's objects are placed, by route. */
  readonly ownersByRoute: Readonly<Record<string, readonly string[]>>;
  readonly evacuatedAt: number | null;
  readonly cache: CacheState;
  /** Whether a feed ever listed a peer in another region. */
  readonly hasRemotePeers: boolean;
  readonly requests: Readonly<Record<number, ProxyRequest>>;
  readonly fetches: Readonly<Record<string, SharedFetch>>;
  /**
   * Until when each object counts as uncacheable after a fetch showed it to be. Its requests don't
   * wait for each other's fetches meanwhile.
   */
  readonly uncacheableKeys: Readonly<Record<string, number>>;
  readonly buckets: Readonly<Record<string, Bucket>>;
  /** Retry tokens, by service. */
  readonly retryTokens: Readonly<Record<string, number>>;
  readonly ejectedUntil: Readonly<Record<string, number>>;
  readonly inFlightCounts: Readonly<Record<string, number>>;
  readonly originHealth: Readonly<Record<string, OriginHealth>>;
  /** The exponentially weighted mean size of origins' responses, in bytes, by route. */
  readonly meanReplyBytes: Readonly<Record<string, number>>;
  /** When the graceful shutdown began; null before it. */
  readonly stoppingAt: number | null;
  readonly counters: Readonly<Record<string, number>>;
  /** The traffic counted in the current measurement interval. */
  readonly trafficPeriod: {
    readonly since: number;
    readonly bits: Readonly<Record<string, number>>;
    readonly servedBits: number;
    readonly replies: number;
    readonly attemptMs: number;
    readonly fetched: number;
  };
  /** The recent demand for attempts, per second, by service. */
  readonly demand: Readonly<Record<string, number>>;
  /** The demand counted since the last update of `demand`. */
  readonly demandCounts: {
    readonly since: number;
    readonly counts: Readonly<Record<string, number>>;
  };
};

/** The events of a proxy. */
export type ProxyEvent =
  | {
      readonly kind: 'request-arrived';
      readonly requestId: number;
      readonly clientRequest: ClientRequest;
      readonly randomNumbers: readonly number[];
      readonly token: string;
      readonly now: number;
    }
  | {
      readonly kind: 'attempt-answered';
      readonly requestId: number;
      readonly attempt: number;
      readonly answer: AttemptResponse;
      readonly now: number;
    }
  | {
      readonly kind: 'attempt-failed';
      readonly requestId: number;
      readonly attempt: number;
      readonly sent: SendProgress;
      readonly why: string;
      readonly now: number;
    }
  | {
      readonly kind: 'claim-answered';
      readonly requestId: number;
      readonly reply: ClaimReply;
      readonly now: number;
    }
  | { readonly kind: 'client-left'; readonly requestId: number; readonly now: number }
  | {
      readonly kind: 'feed-received';
      readonly feed: Feed;
      readonly askedAt: number;
      readonly now: number;
    }
  | { readonly kind: 'feed-due'; readonly now: number }
  | { readonly kind: 'tick'; readonly now: number }
  | { readonly kind: 'stop-requested'; readonly now: number };

/** A response to a client or to the peer that forwarded the request. */
export type ClientResponse = {
  readonly status: number;
  readonly headers: Headers;
  /** When to retry, in milliseconds; undefined if the response isn't the proxy's own. */
  readonly retryMs?: number;
  /** When a response that is still streaming is ended; undefined if it is complete. */
  readonly endBy?: number;
  readonly body:
    | {
        readonly kind: 'problem';
        readonly title: string;
        readonly detail: string;
        readonly outcome: string;
      }
    | { readonly kind: 'copy'; readonly copy: CachedResponse }
    | { readonly kind: 'attempt'; readonly answer: AttemptResponse };
};

/** The effects that the reducer requests, in order. */
export type ProxyEffect =
  | {
      readonly kind: 'send-attempt';
      readonly requestId: number;
      readonly attempt: number;
      readonly to: AttemptTarget;
      readonly clientRequest: ClientRequest;
      readonly attemptId: string;
      readonly timeoutMs: number;
      readonly isCacheable: boolean;
      readonly isIdempotent: boolean;
      /** How many attempts at origins may be made through this one; Infinity without a limit. */
      readonly delegatedAttempts: number;
      readonly service: string;
      /** Whether a peer may serve the request only under a lease of its own. */
      readonly requiresLease: boolean;
      /**
       * The time after which no byte of the request may be sent, because the state that the attempt
       * was decided on is then outdated.
       */
      readonly sendBy: number;
    }
  | { readonly kind: 'abort-attempt'; readonly requestId: number; readonly attempt: number }
  | { readonly kind: 'send-answer'; readonly requestId: number; readonly answer: ClientResponse }
  /** The request is over; no further effect concerns its client. */
  | { readonly kind: 'close-request'; readonly requestId: number }
  | { readonly kind: 'query-agent'; readonly requestId: number; readonly query: ProxyQuery }
  | { readonly kind: 'request-feed'; readonly report: ProxyReport }
  | {
      readonly kind: 'log';
      readonly event: string;
      readonly fields: Readonly<Record<string, string | number | boolean>>;
    };

/** The mutable context of one step of the reducer. */
export type Transition = { state: ProxyState; readonly effects: ProxyEffect[] };
/** Replaces fields of the state. */
export const update = (transition: Transition, change: Partial<ProxyState>): void => {
  transition.state = { ...transition.state, ...change };
};
/** Increments each named counter. */
export const count = (transition: Transition, ...names: readonly string[]): void => {
  update(transition, {
    counters: names.reduce(
      (counters, name) => ({ ...counters, [name]: (counters[name] ?? 0) + 1 }),
      transition.state.counters,
    ),
  });
};
/** Replaces fields of a request and returns it; undefined if the request no longer exists. */
export const updateRequest = (
  transition: Transition,
  id: number,
  change: Partial<ProxyRequest>,
): ProxyRequest | undefined => {
  const old = transition.state.requests[id];
  if (old === undefined) return undefined;
  const next = { ...old, ...change };
  update(transition, { requests: { ...transition.state.requests, [id]: next } });
  return next;
};
/** Writes a log entry. */
export const log = (
  transition: Transition,
  event: string,
  fields: Readonly<Record<string, string | number | boolean>>,
): void => {
  transition.effects.push({ kind: 'log', event, fields });
};
