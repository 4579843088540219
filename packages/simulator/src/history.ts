/** What happens in a run, as entries that the checks read. */
import type { Policy } from '@reedyard/schemas';

/**
 * What the checkers watch: only what callers, origins and operators can see, and what a proxy acts
 * upon.
 */
export type Entry =
  /** A caller's request set out for a node. */
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
  /** A caller for whom the platform found no ready node. */
  | { readonly kind: 'unplaced'; readonly at: number }
  /** What the caller got; status 0 where it got nothing. */
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
      readonly body: SimBody | null;
      readonly hasCompleteBody: boolean;
      readonly method: string;
      readonly host: string;
      readonly target: string;
      /** Whether a copy answered, here or at a peer. */ readonly copied: boolean;
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
  /** An origin ran an unsafe request. */
  | {
      readonly kind: 'ran';
      readonly at: number;
      readonly submission: number;
      readonly job: string;
      readonly key: string | null;
    }
  | { readonly kind: 'repeat'; readonly at: number }
  /** A proxy acted under a policy: it answered from it or made an attempt. */
  | {
      readonly kind: 'acted';
      readonly at: number;
      readonly node: string;
      readonly revision: number;
    }
  /** A policy was sent for the first time: from here on it may come into force. */
  | {
      readonly kind: 'proposed';
      readonly at: number;
      readonly changeId: string;
      readonly document: Policy;
    }
  /** It was acknowledged under a revision. */
  | {
      readonly kind: 'put';
      readonly at: number;
      readonly changeId: string;
      readonly revision: number;
      readonly document: Policy;
    }
  | {
      readonly kind: 'read';
      readonly at: number;
      readonly askedAt: number;
      readonly revision: number;
    }
  /**
   * An instance first said what it carries; `at` is when it was taken, `sentAt` when it was sent.
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
  | {
      readonly kind: 'drained';
      readonly at: number;
      readonly instance: string;
      readonly incarnation: number;
    }
  /** An order for a zone was acknowledged under a revision; `sentAt` is when it was first sent. */
  | {
      readonly kind: 'zone';
      readonly at: number;
      readonly sentAt: number;
      readonly revision: number;
      readonly zone: string;
      readonly order: 'empty' | 'take-back';
    }
  /**
   * A purge was acknowledged; reports of that object or tag made before `turned` are old from then
   * on.
   */
  | {
      readonly kind: 'purged';
      readonly at: number;
      readonly objects: readonly string[];
      readonly tags: readonly string[];
      readonly purgedFrom: number;
    }
  | {
      readonly kind: 'stored';
      readonly at: number;
      readonly node: string;
      readonly region: string;
      readonly host: string;
      readonly target: string;
    }
  /**
   * An order or a read came to an end: `cutOff` tells whether the node reached a majority of
   * replicas when it was sent, `steady` whether that and its processes stayed as they were.
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
   * A node acts on without a lease; for how long it had a path to a majority of replicas, and they
   * ran.
   */
  | {
      readonly kind: 'served-on';
      readonly at: number;
      readonly node: string;
      readonly majorityReachableMs: number;
    }
  /** A node had no path to a majority of replicas; told when the cut ends. */
  | { readonly kind: 'cut-off'; readonly at: number; readonly node: string; readonly from: number }
  /** The first lease of a node after a cut, and how long after it. */
  | {
      readonly kind: 'lease-back';
      readonly at: number;
      readonly node: string;
      readonly afterMs: number;
    }
  | { readonly kind: 'fault'; readonly at: number; readonly label: string };

/** A report's body as the simulator carries it. */
export type SimBody = {
  readonly service: string;
  readonly target: string;
  readonly job: string;
  readonly tags: readonly string[];
  /** When it was made, and when its origin sent it. */ readonly madeAt: number;
  readonly sentAt: number;
  readonly maxAgeMs: number;
};

export type Violation = { readonly rule: number; readonly at: number; readonly what: string };
