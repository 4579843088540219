/** Test support: the messages of a cluster, and a replica with its disk. */
import type { AnvilAsk, AnvilRecord, AnvilReply, AnvilState, VotersTold } from '@reedyard/anvil';
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
      readonly body: AnvilAsk;
      readonly frozen?: boolean;
    }
  | {
      readonly kind: 'reply';
      readonly caller: Caller;
      readonly from: string;
      readonly body: AnvilReply;
      /** The physical disk that answered. */
      readonly life: number;
      readonly frozen?: boolean;
    };

/** An answer, and the request that it is for. */
export type Told = {
  readonly request: Extract<Message, { kind: 'request' }>;
  readonly body: AnvilReply;
  /** The members that the replica went by when it made the answer. */
  readonly by: VotersTold | null;
};

export type Replica = {
  readonly address: string;
  /** Number of the physical disk; a wipe puts in another. */
  readonly life: number;
  /** What the process holds, or would hold if it were started now. */
  readonly state: AnvilState;
  readonly running: boolean;
  readonly durable: readonly AnvilRecord[];
  readonly unsynced: readonly AnvilRecord[];
  /** Answers that wait for the disk. */
  readonly waiting: readonly Told[];
};
