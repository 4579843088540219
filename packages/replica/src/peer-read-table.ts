/** Reads of other replicas that are in progress or done, by the name of the read. */
import { update, type PeerRead, type ReplicaState, type Transition } from './state.js';

const initialPeerRead: PeerRead = {
  nextPage: null,
  state: 'reading',
  requestId: null,
  sentAt: -Infinity,
  diskId: '',
  epoch: 0,
  requestedEpoch: 0,
  earlierRequestIds: [],
};

/** Returns the progress of the read with this name. */
export const peerReadOf = (state: ReplicaState, name: string): PeerRead =>
  state.peerReads[name] ?? initialPeerRead;

/** Finds the read to which a request belongs, and its name. */
export const findPeerRead = (
  state: ReplicaState,
  requestId: number,
): readonly [name: string, read: PeerRead] | undefined =>
  Object.entries(state.peerReads).find(
    ([, read]) => read.requestId === requestId || read.earlierRequestIds.includes(requestId),
  );

/** Records the progress of a read. */
export const setPeerRead = (transition: Transition, name: string, read: PeerRead): void => {
  update(transition, { peerReads: { ...transition.state.peerReads, [name]: read } });
};
