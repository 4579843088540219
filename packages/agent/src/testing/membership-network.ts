/** Test support: the messages of a cluster, and a replica with its disk. */
import type {
  ReplicaRequest,
  ReplicaRecord,
  ReplicaReply,
  ReplicaState,
  CommittedMembership,
} from '@reedyard/replica';
import type { ClientCall } from './membership-client-types.js';

/** A call of a replica that reads another before it votes. */
export type ReadCall = { readonly from: string; readonly to: string; readonly id: number };
/** Who waits for an answer. */
export type Caller =
  | { readonly kind: 'client'; readonly name: string; readonly call: ClientCall }
  | { readonly kind: 'replica'; readonly read: ReadCall };

export type Message =
  | {
      readonly kind: 'request';
      readonly caller: Caller;
      readonly to: string;
      readonly body: ReplicaRequest;
      readonly frozen?: boolean;
    }
  | {
      readonly kind: 'reply';
      readonly caller: Caller;
      readonly from: string;
      readonly body: ReplicaReply;
      /** The physical disk that answered. */
      readonly life: number;
      readonly frozen?: boolean;
    };

/** An answer, and the request that it is for. */
export type Told = {
  readonly request: Extract<Message, { kind: 'request' }>;
  readonly body: ReplicaReply;
  /** The members that the replica went by when it made the answer. */
  readonly by: CommittedMembership | null;
};

export type ModelReplica = {
  readonly address: string;
  /** Number of the physical disk; a wipe puts in another. */
  readonly life: number;
  /** What the process holds, or would hold if it were started now. */
  readonly state: ReplicaState;
  readonly running: boolean;
  readonly durable: readonly ReplicaRecord[];
  readonly unsynced: readonly ReplicaRecord[];
  /** Answers that wait for the disk. */
  readonly waiting: readonly Told[];
};
