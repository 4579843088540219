/** The state of a proxy, its events and its effects. */
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

/** A caller's request, as far as the moves depend on it. Header names are in small letters. */
export type ClientRequest = {
  readonly method: string;
  readonly target: string;
  readonly host: string;
  readonly headers: Headers;
  /** The peer that handed it on; null from a caller. */
  readonly via: string | null;
  readonly bodyBytes: number;
  /** Tells apart requests of one key by method, target and body; null without a key. */
  readonly digest: string | null;
  /**
   * ms that its caller will wait, and origins that it may still be sent to; left out where nobody
   * says.
   */
  readonly deadlineMs?: number | null;
  readonly attempts?: number | null;
};

/** An answer to an attempt, read whole up to maxBufferedBodyBytes, or still streaming. */
export type AttemptResponse = {
  readonly status: number;
  readonly headers: Headers;
  readonly body: unknown;
  readonly size: number;
  readonly isComplete: boolean;
  /**
   * What an origin's answer proves, in the dialect that it was spoken to in; left out: by its own
   * fields.
   */
  readonly originEvidence?: OriginEvidence;
};

/** Where an attempt goes. */
export type AttemptTarget =
  | { readonly kind: 'origin'; readonly row: OriginEndpoint }
  | { readonly kind: 'peer'; readonly row: PeerEndpoint };

/** A request that is being served. */
export type ProxyRequest = {
  readonly id: number;
  readonly clientRequest: ClientRequest;
  /**
   * The route under the policy with this revision; looked up again at each move under a newer one.
   */
  readonly route: Route;
  readonly revision: number;
  /** The service drawn from the route's. */
  readonly service: string;
  /** Whether it may run more than once. */
  readonly isIdempotent: boolean;
  readonly key: string;
  readonly arrivedAt: number;
  readonly deadlineAt: number;
  /** Random numbers and a token given with its arrival: the reducer draws none itself. */
  readonly randomNumbers: readonly number[];
  readonly token: string;
  /** The register that its idempotency key claims. */
  readonly claimKey: string | null;
  readonly attempts: readonly Attempt[];
  /** `over`: its caller has an answer; attempts beside that one are let end. */
  readonly phase: 'claiming' | 'joined' | 'holding' | 'attempt' | 'over';
  readonly queuedAt: number;
  readonly isFetchLeader: boolean;
  readonly hasClientLeft: boolean;
};

/** One fetch that several requests wait for. */
export type SharedFetch = {
  readonly leader: number;
  readonly waiters: readonly number[];
  readonly isClosed: boolean;
};

/** What was met at an origin lately. */
export type OriginHealth = {
  /** ms that its answers take, the newer ones counting more. */
  readonly meanResponseMs: number;
  readonly lastResponseAt: number;
  /** What it last told of itself, and how many of that were ours. */
  readonly load: (OriginLoad & { readonly at: number; readonly own: number }) | null;
  /** Failures since it last answered soundly. */
  readonly failures: number;
};

/** A token bucket; `rate` in tokens a second. */
export type Bucket = { readonly tokens: number; readonly at: number; readonly rate: number };

/** The state of a proxy. All times are ms of its own monotonic clock. */
export type ProxyState = {
  readonly self: {
    readonly id: string;
    readonly zone: string;
    readonly region: string;
    readonly capacityBps: number;
    readonly life: string;
  };
  readonly now: number;
  readonly leaseUntil: number;
  readonly life: string;
  readonly cacheFlushCount: number;
  readonly feedRequestedAt: number;
  readonly purgeSeq: number;
  readonly policy: { readonly revision: number; readonly document: Policy } | null;
  readonly routes: RouteTable;
  readonly feed: Feed | null;
  /** Edges at which a route's objects are placed, by route. */
  readonly ownersByRoute: Readonly<Record<string, readonly string[]>>;
  readonly evacuatedAt: number | null;
  readonly cache: CacheState;
  /** Whether peers in other regions were ever told of. */
  readonly hasRemotePeers: boolean;
  readonly requests: Readonly<Record<number, ProxyRequest>>;
  readonly fetches: Readonly<Record<string, SharedFetch>>;
  /**
   * Objects lately found not to be keepable: their requests are not made to wait for each other.
   */
  readonly uncacheableKeys: Readonly<Record<string, number>>;
  readonly buckets: Readonly<Record<string, Bucket>>;
  /** Repeats saved, by service. */
  readonly retryTokens: Readonly<Record<string, number>>;
  readonly ejectedUntil: Readonly<Record<string, number>>;
  readonly inFlightCounts: Readonly<Record<string, number>>;
  readonly originHealth: Readonly<Record<string, OriginHealth>>;
  /** bytes of a reply from an origin lately, by route. */
  readonly meanReplyBytes: Readonly<Record<string, number>>;
  /** When it was warned that it must stop. */
  readonly stoppingAt: number | null;
  readonly counters: Readonly<Record<string, number>>;
  readonly trafficPeriod: {
    readonly since: number;
    readonly bits: Readonly<Record<string, number>>;
    readonly servedBits: number;
    readonly replies: number;
    readonly attemptMs: number;
    readonly fetched: number;
  };
  /** Attempts a second that were wanted lately, and those counted since. */
  readonly demand: Readonly<Record<string, number>>;
  readonly demandCounts: {
    readonly since: number;
    readonly counts: Readonly<Record<string, number>>;
  };
};

/** What happens to a proxy. */
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

/** An answer to a client. */
export type ClientResponse = {
  readonly status: number;
  readonly headers: Headers;
  /** ms after which to come again; left out where the answer is not the proxy's own. */
  readonly retryMs?: number;
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

/** What the proxy's reducer wants done, in order. */
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
      /** Origins that it may be sent to through this attempt; Infinity without a bound. */
      readonly delegatedAttempts: number;
      /**
       * Nothing of the request is sent after this moment: what the attempt was decided on is old
       * then.
       */
      readonly sendBy: number;
    }
  | { readonly kind: 'abort-attempt'; readonly requestId: number; readonly attempt: number }
  | { readonly kind: 'send-answer'; readonly requestId: number; readonly answer: ClientResponse }
  /** A request is over: nothing more will be said of it. */
  | { readonly kind: 'close-request'; readonly requestId: number }
  | { readonly kind: 'query-agent'; readonly requestId: number; readonly query: ProxyQuery }
  | { readonly kind: 'request-feed'; readonly report: ProxyReport }
  | {
      readonly kind: 'log';
      readonly event: string;
      readonly fields: Readonly<Record<string, string | number | boolean>>;
    };

/** What one step of the reducer works with. */
export type Transition = { state: ProxyState; readonly effects: ProxyEffect[] };
/** Replaces some fields of the state. */
export const update = (transition: Transition, change: Partial<ProxyState>): void => {
  transition.state = { ...transition.state, ...change };
};
/** Adds one to each counter named. */
export const count = (transition: Transition, ...names: readonly string[]): void => {
  update(transition, {
    counters: names.reduce(
      (all, name) => ({ ...all, [name]: (all[name] ?? 0) + 1 }),
      transition.state.counters,
    ),
  });
};
/** Replaces some fields of a request; undefined where it is over. */
export const updateRequest = (
  transition: Transition,
  id: number,
  part: Partial<ProxyRequest>,
): ProxyRequest | undefined => {
  const old = transition.state.requests[id];
  if (old === undefined) return undefined;
  const next = { ...old, ...part };
  update(transition, { requests: { ...transition.state.requests, [id]: next } });
  return next;
};
/** Writes a line to the log. */
export const log = (
  transition: Transition,
  event: string,
  fields: Readonly<Record<string, string | number | boolean>>,
): void => {
  transition.effects.push({ kind: 'log', event, fields });
};
