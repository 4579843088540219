/** The history of a run: entries that the simulator records and the checks read. */
import type { Policy } from '@reedyard/schemas';

/**
 * An event of a run. Entries record only what clients, origins and operators can observe, and which
 * policy a proxy acts under.
 */
export type Entry =
  /** A client sent a request to a node. */
  | {
      readonly kind: 'asked';
      readonly at: number;
      readonly submission: number;
      readonly job: string;
      readonly node: string;
      readonly zone: string;
      readonly method: string;
      readonly target: string;
      readonly key: string | null;
    }
  /** A client found no ready node. */
  | { readonly kind: 'unplaced'; readonly at: number }
  /** A client received a response, or none (status 0). */
  | {
      readonly kind: 'got';
      readonly at: number;
      readonly submission: number;
      readonly job: string;
      readonly node: string;
      readonly status: number;
      readonly outcome: string;
      readonly served: string;
      readonly retryAfter: boolean;
      readonly why: string;
      readonly stamp: string;
      readonly body: SimulatedBody | null;
      readonly hasCompleteBody: boolean;
      readonly method: string;
      readonly host: string;
      readonly target: string;
      /** Whether the response came from a cache, of this node or of a peer. */ readonly copied: boolean;
    }
  /** An attempt reached an origin. */
  | {
      readonly kind: 'attempt';
      readonly at: number;
      readonly from: string;
      readonly region: string;
      readonly service: string;
      readonly instance: string;
      readonly incarnation: number;
      readonly zone: string;
      readonly cold: boolean;
      readonly expected: string;
      readonly host: string;
      readonly target: string;
      readonly method: string;
      readonly submission: number;
    }
  /** A forwarded request reached a peer. */
  | {
      readonly kind: 'relay';
      readonly at: number;
      readonly from: string;
      readonly to: string;
      readonly zone: string;
      readonly target: string;
    }
  /** An origin executed an unsafe request. */
  | {
      readonly kind: 'ran';
      readonly at: number;
      readonly submission: number;
      readonly job: string;
      readonly key: string | null;
    }
  /** A proxy retried an attempt. */
  | { readonly kind: 'repeat'; readonly at: number }
  /** A proxy acted under a policy: it responded or made an attempt. */
  | {
      readonly kind: 'acted';
      readonly at: number;
      readonly node: string;
      readonly revision: number;
    }
  /** A policy was sent for the first time: it may be in force from now on. */
  | {
      readonly kind: 'proposed';
      readonly at: number;
      readonly changeId: string;
      readonly document: Policy;
    }
  /** A policy was acknowledged under a revision. */
  | {
      readonly kind: 'put';
      readonly at: number;
      readonly changeId: string;
      readonly revision: number;
      readonly document: Policy;
    }
  /** An operator read the policy; `askedAt` is when the request was sent. */
  | {
      readonly kind: 'read';
      readonly at: number;
      readonly askedAt: number;
      readonly revision: number;
    }
  /**
   * An instance announced a new capacity; `at` is when a node accepted the announcement, `sentAt` when
   * it was sent.
   */
  | {
      readonly kind: 'carries';
      readonly at: number;
      readonly sentAt: number;
      readonly service: string;
      readonly instance: string;
      readonly incarnation: number;
      readonly capacity: number;
    }
  /** A node acknowledged the drain notice of an origin. */
  | {
      readonly kind: 'drained';
      readonly at: number;
      readonly instance: string;
      readonly incarnation: number;
    }
  /** A zone order was acknowledged under a revision; `sentAt` is when it was first sent. */
  | {
      readonly kind: 'zone';
      readonly at: number;
      readonly sentAt: number;
      readonly revision: number;
      readonly zone: string;
      readonly order: 'empty' | 'take-back';
    }
  /**
   * A purge was acknowledged; responses for its objects and tags that were sent before `purgedFrom`
   * are outdated from then on.
   */
  | {
      readonly kind: 'purged';
      readonly at: number;
      readonly objects: readonly string[];
      readonly tags: readonly string[];
      readonly purgedFrom: number;
    }
  /** A node stored a response in its cache. */
  | {
      readonly kind: 'stored';
      readonly at: number;
      readonly node: string;
      readonly region: string;
      readonly host: string;
      readonly target: string;
    }
  /**
   * An operator command or read ended. `cutOff` is true if the node had no path to a majority of
   * replicas when the command was sent, `isSteady` if its links and processes did not change
   * meanwhile.
   */
  | {
      readonly kind: 'called';
      readonly at: number;
      readonly sentAt: number;
      readonly node: string;
      readonly action: string;
      readonly status: number;
      readonly cutOff: boolean;
      readonly isSteady: boolean;
    }
  /**
   * A node serves without a lease; `majorityReachableMs` is how long it has had a path to a
   * majority of replicas without a change to its own or their links and processes.
   */
  | {
      readonly kind: 'served-on';
      readonly at: number;
      readonly node: string;
      readonly majorityReachableMs: number;
    }
  /** A node had no path to a majority of replicas since `from`; recorded when the cut ends. */
  | { readonly kind: 'cut-off'; readonly at: number; readonly node: string; readonly from: number }
  /** A node got its first lease after a cut, `afterMs` after the end of the cut. */
  | {
      readonly kind: 'lease-back';
      readonly at: number;
      readonly node: string;
      readonly afterMs: number;
    }
  /** The scenario injected a fault or another event. */
  /** A machine was asked to stop. */
  | { readonly kind: 'stopped'; readonly at: number; readonly node: string }
  /** A process ended although nobody had asked it to, or with an error. */
  | {
      readonly kind: 'ended';
      readonly at: number;
      readonly node: string;
      readonly program: string;
      readonly how: string;
    }
  | { readonly kind: 'fault'; readonly at: number; readonly label: string };

/** The body of a simulated response. */
export type SimulatedBody = {
  readonly service: string;
  readonly target: string;
  readonly job: string;
  readonly tags: readonly string[];
  /** When the content was made; `sentAt` is when the origin sent the response. */ readonly madeAt: number;
  readonly sentAt: number;
  readonly maxAgeMs: number;
};

/** A breach of a rule, found by a check. */
export type Violation = { readonly rule: number; readonly at: number; readonly what: string };
