/** What happens to a replica, and what its reducer wants done outside. */
import type { ReplicaReply, ReplicaRequest } from './messages.js';
import type { ReplicaRecord } from './storage/records.js';

/** An event, with the ms of the replica's clock at which it came. */
export type ReplicaEvent =
  | {
      readonly kind: 'request-received';
      /** Names the request in the effect that replies to it. */
      readonly requestId: number;
      readonly request: ReplicaRequest;
      readonly now: number;
    }
  | {
      readonly kind: 'reply-received';
      /** The id of the replica's own request. */
      readonly requestId: number;
      readonly reply: ReplicaReply;
      readonly now: number;
    }
  /** One of the replica's own requests got no reply. */
  | { readonly kind: 'request-failed'; readonly requestId: number; readonly now: number }
  /** Comes a few times a second. */
  | { readonly kind: 'tick'; readonly now: number }
  /** The process was told to stop. */
  | { readonly kind: 'stop-requested'; readonly now: number };

/** An effect; effects are carried out in order. */
export type ReplicaEffect =
  | { readonly kind: 'append-records'; readonly records: readonly ReplicaRecord[] }
  /** Reply to a request, only after all that was appended before is synced. */
  | { readonly kind: 'send-reply'; readonly requestId: number; readonly reply: ReplicaReply }
  | {
      readonly kind: 'send-request';
      readonly requestId: number;
      /** An address. */
      readonly to: string;
      readonly request: ReplicaRequest;
    }
  /** The process was told to stop, and nothing waits for it any more. */
  | { readonly kind: 'exit' }
  | {
      readonly kind: 'log';
      readonly event: string;
      readonly fields: Readonly<Record<string, string | number | boolean>>;
    };
