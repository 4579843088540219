/** The events that a replica's reducer handles, and the effects that it requests. */
import type { ReplicaReply, ReplicaRequest } from './messages.js';
import type { ReplicaRecord } from './storage/records.js';

/** An event. `now` is the time on the replica's clock when it arrived, in milliseconds. */
export type ReplicaEvent =
  | {
      readonly kind: 'request-received';
      /** Identifies the request in the effect that replies to it. */
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
  /** One of the replica's own requests failed without a reply. */
  | { readonly kind: 'request-failed'; readonly requestId: number; readonly now: number }
  /** Arrives a few times a second. */
  | { readonly kind: 'tick'; readonly now: number }
  /** The process has received a request to stop. */
  | { readonly kind: 'stop-requested'; readonly now: number };

/** An effect of the reducer. Effects are carried out in order. */
export type ReplicaEffect =
  | { readonly kind: 'append-records'; readonly records: readonly ReplicaRecord[] }
  /** Replies to a request, once all records appended before are synced. */
  | { readonly kind: 'send-reply'; readonly requestId: number; readonly reply: ReplicaReply }
  | {
      readonly kind: 'send-request';
      readonly requestId: number;
      /** The receiver's address. */
      readonly to: string;
      readonly request: ReplicaRequest;
    }
  /** Ends the process: it was requested to stop, and no other replica still needs it. */
  | { readonly kind: 'exit' }
  | {
      readonly kind: 'log';
      readonly event: string;
      readonly fields: Readonly<Record<string, string | number | boolean>>;
    };
