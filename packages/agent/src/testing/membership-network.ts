/** Test support: the messages of a cluster, and a replica with its disk. */
import type {
  ReplicaRequest,
  ReplicaRecord,
  ReplicaReply,
  ReplicaState,
  CommittedMembership,
} from '@reedyard/replica';
import type { ClientCall } from './membership-client-types.js';

/** A request of a replica that reads another replica before it votes. */
export type ReadCall = { readonly from: string; readonly to: string; readonly id: number };
/** The client or replica that waits for a reply. */
export type Requester =
  | { readonly kind: 'client'; readonly name: string; readonly call: ClientCall }
  | { readonly kind: 'replica'; readonly read: ReadCall };

export type Message =
  | {
      readonly kind: 'request';
      readonly requester: Requester;
      readonly to: string;
      readonly body: ReplicaRequest;
      readonly isFrozen?: boolean;
    }
  | {
      readonly kind: 'reply';
      readonly requester: Requester;
      readonly from: string;
      readonly body: ReplicaReply;
      /** The number of the physical disk that replied. */
      readonly diskNumber: number;
      readonly isFrozen?: boolean;
    };

/** A reply and the request that it answers. */
export type PendingReply = {
  readonly request: Extract<Message, { kind: 'request' }>;
  readonly body: ReplicaReply;
  /** The membership that the replica knew when it made the reply. */
  readonly membership: CommittedMembership | null;
};

export type ModelReplica = {
  readonly address: string;
  /** The number of the physical disk; a wipe replaces the disk by one with a new number. */
  readonly diskNumber: number;
  /** The state of the process, or the state that it would have if it were started now. */
  readonly state: ReplicaState;
  readonly isRunning: boolean;
  readonly durable: readonly ReplicaRecord[];
  readonly unsynced: readonly ReplicaRecord[];
  /** Replies that wait until their records are durable. */
  readonly pendingReplies: readonly PendingReply[];
};
