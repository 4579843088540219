import type {
  ClaimReply,
  Feed,
  ProxyQuery,
  OriginEndpoint,
  PeerEndpoint,
  ProxyReport,
} from '@reedyard/agent';
import type { Copy, Headers, CacheState } from '@reedyard/cache';
import type { Load, Proof } from './dialect.js';
import type { Policy, Route, RouteTable } from '@reedyard/schemas';
import type { Attempt, Sent } from '@reedyard/attempts';

/** A caller's request, as far as the moves depend on it. Header names are in small letters. */
export type Asked = {
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
export type AttemptAnswer = {
  readonly status: number;
  readonly headers: Headers;
  readonly body: unknown;
  readonly size: number;
  readonly whole: boolean;
  /**
   * What an origin's answer proves, in the dialect that it was spoken to in; left out: by its own
   * fields.
   */
  readonly proof?: Proof;
};

export type Target =
  | { readonly kind: 'origin'; readonly row: OriginEndpoint }
  | { readonly kind: 'peer'; readonly row: PeerEndpoint };

export type ProxyRequest = {
  readonly id: number;
  readonly asked: Asked;
  /**
   * The route under the policy with this revision; looked up again at each move under a newer one.
   */
  readonly route: Route;
  readonly revision: number;
  /** The service drawn from the route's. */
  readonly service: string;
  /** Whether it may run more than once. */
  readonly safe: boolean;
  readonly key: string;
  readonly arrivedAt: number;
  readonly limitAt: number;
  /** Random numbers and a token given with its arrival: the reducer draws none itself. */
  readonly draws: readonly number[];
  readonly token: string;
  /** The register that its idempotency key claims. */
  readonly claimKey: string | null;
  readonly attempts: readonly Attempt[];
  /** `over`: its caller has an answer; attempts beside that one are let end. */
  readonly phase: 'claiming' | 'joined' | 'holding' | 'attempt' | 'over';
  readonly heldAt: number;
  readonly leads: boolean;
  readonly callerGone: boolean;
};

/** One fetch that several requests wait for. */
export type Fetch = {
  readonly leader: number;
  readonly waiters: readonly number[];
  readonly closed: boolean;
};

/** What was met at an origin lately. */
export type Standing = {
  /** ms that its answers take, the newer ones counting more. */
  readonly ms: number;
  readonly heardAt: number;
  /** What it last told of itself, and how many of that were ours. */
  readonly load: (Load & { readonly at: number; readonly own: number }) | null;
  /** Failures since it last answered soundly. */
  readonly failures: number;
};

export type Bucket = { readonly tokens: number; readonly at: number; readonly rate: number };

export type ProxyState = {
  readonly self: {
    readonly id: string;
    readonly zone: string;
    readonly region: string;
    readonly capacityBps: number;
    readonly life: string;
  };
  readonly now: number;
  readonly lease: number;
  readonly life: string;
  readonly flushes: number;
  readonly fedAt: number;
  readonly purgeSeq: number;
  readonly policy: { readonly revision: number; readonly document: Policy } | null;
  readonly routes: RouteTable;
  readonly feed: Feed | null;
  /** Edges at which a route's objects are placed, by route. */
  readonly holders: Readonly<Record<string, readonly string[]>>;
  readonly emptiedAt: number | null;
  readonly cache: CacheState;
  /** Whether peers in other regions were ever told of. */
  readonly abroad: boolean;
  readonly requests: Readonly<Record<number, ProxyRequest>>;
  readonly fetches: Readonly<Record<string, Fetch>>;
  /**
   * Objects lately found not to be keepable: their requests are not made to wait for each other.
   */
  readonly unkept: Readonly<Record<string, number>>;
  readonly buckets: Readonly<Record<string, Bucket>>;
  /** Repeats saved, by service. */
  readonly repeats: Readonly<Record<string, number>>;
  readonly suspects: Readonly<Record<string, number>>;
  readonly outstanding: Readonly<Record<string, number>>;
  readonly standings: Readonly<Record<string, Standing>>;
  /** bytes of a reply from an origin lately, by route. */
  readonly replyBytes: Readonly<Record<string, number>>;
  /** When it was warned that it must stop. */
  readonly stoppingAt: number | null;
  readonly counters: Readonly<Record<string, number>>;
  readonly period: {
    readonly since: number;
    readonly bits: Readonly<Record<string, number>>;
    readonly servedBits: number;
    readonly replies: number;
    readonly attemptMs: number;
    readonly fetched: number;
  };
  /** Attempts a second that were wanted lately, and those counted since. */
  readonly wants: Readonly<Record<string, number>>;
  readonly wanted: { readonly since: number; readonly counts: Readonly<Record<string, number>> };
};

export type ProxyEvent =
  | {
      readonly kind: 'arrived';
      readonly id: number;
      readonly asked: Asked;
      readonly draws: readonly number[];
      readonly token: string;
      readonly now: number;
    }
  | {
      readonly kind: 'answered';
      readonly id: number;
      readonly attempt: number;
      readonly answer: AttemptAnswer;
      readonly now: number;
    }
  | {
      readonly kind: 'failed';
      readonly id: number;
      readonly attempt: number;
      readonly sent: Sent;
      readonly why: string;
      readonly now: number;
    }
  | {
      readonly kind: 'claimed';
      readonly id: number;
      readonly reply: ClaimReply;
      readonly now: number;
    }
  | { readonly kind: 'left'; readonly id: number; readonly now: number }
  | { readonly kind: 'fed'; readonly feed: Feed; readonly askedAt: number; readonly now: number }
  | { readonly kind: 'ask'; readonly now: number }
  | { readonly kind: 'beat'; readonly now: number }
  | { readonly kind: 'stop'; readonly now: number };

export type Answer = {
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
    | { readonly kind: 'copy'; readonly copy: Copy }
    | { readonly kind: 'attempt'; readonly answer: AttemptAnswer };
};

export type ProxyEffect =
  | {
      readonly kind: 'open';
      readonly id: number;
      readonly attempt: number;
      readonly to: Target;
      readonly asked: Asked;
      readonly mark: string;
      readonly limitMs: number;
      readonly keep: boolean;
      readonly safe: boolean;
      /** Origins that it may be sent to through this attempt; Infinity without a bound. */
      readonly attempts: number;
      /**
       * Nothing of the request is sent after this moment: what the attempt was decided on is old
       * then.
       */
      readonly sendBy: number;
    }
  | { readonly kind: 'abort'; readonly id: number; readonly attempt: number }
  | { readonly kind: 'answer'; readonly id: number; readonly answer: Answer }
  /** A request is over: nothing more will be said of it. */
  | { readonly kind: 'closed'; readonly id: number }
  | { readonly kind: 'ask'; readonly id: number; readonly call: ProxyQuery }
  | { readonly kind: 'question'; readonly report: ProxyReport }
  | {
      readonly kind: 'log';
      readonly event: string;
      readonly fields: Readonly<Record<string, string | number | boolean>>;
    };

export type Work = { state: ProxyState; readonly effects: ProxyEffect[] };
export const set = (work: Work, change: Partial<ProxyState>): void => {
  work.state = { ...work.state, ...change };
};
export const count = (work: Work, ...names: readonly string[]): void => {
  set(work, {
    counters: names.reduce(
      (all, name) => ({ ...all, [name]: (all[name] ?? 0) + 1 }),
      work.state.counters,
    ),
  });
};
export const change = (
  work: Work,
  id: number,
  part: Partial<ProxyRequest>,
): ProxyRequest | undefined => {
  const old = work.state.requests[id];
  if (old === undefined) return undefined;
  const next = { ...old, ...part };
  set(work, { requests: { ...work.state.requests, [id]: next } });
  return next;
};
export const log = (
  work: Work,
  event: string,
  fields: Readonly<Record<string, string | number | boolean>>,
): void => {
  work.effects.push({ kind: 'log', event, fields });
};
