/** Whom a replica reads before it votes. */
import type { Membership, Predecessor } from './membership.js';
import { type ReplicaState, slotOf } from './state.js';

/** Addresses of replicas, each under the name of its reading. */
export type PeerAddresses = Readonly<Record<string, string>>;

/**
 * Whether this replica may take part in founding the state: only at the very first start, at a
 * seed's address, blank, and without knowing of any members.
 */
export const mayFoundCluster = (state: ReplicaState): boolean =>
  state.bootstrap !== null &&
  state.bootstrap.isFirstStart &&
  state.bootstrap.seeds.includes(state.bootstrap.address) &&
  state.committedMembership === null &&
  !state.hasBegunVoting;

/** This replica's slot in the membership that it knows, and that membership. */
export const slotAssignmentOf = (
  state: ReplicaState,
): { readonly slot: string; readonly membership: Membership } | null => {
  const membership = state.committedMembership?.value;
  if (membership === undefined) return null;
  const slot = slotOf(state, membership);
  return slot === undefined ? null : { slot, membership };
};

/** The other members, or the other founders while there are no members yet. */
export const peersOf = (state: ReplicaState): PeerAddresses => {
  if (state.bootstrap === null) return state.otherFounders;
  const { address, seeds } = state.bootstrap;
  const own = slotAssignmentOf(state);
  if (own !== null)
    return Object.fromEntries(
      Object.entries(own.membership.addresses ?? {}).filter(([slot]) => slot !== own.slot),
    );
  if (!mayFoundCluster(state)) return {};
  return Object.fromEntries(seeds.filter((seed) => seed !== address).map((seed) => [seed, seed]));
};

/** The disk that this one took its slot over from, and the name of the reading of it. */
export type PredecessorRead = Predecessor & { readonly readName: string };

/**
 * The disk that this one took its slot over from, where it took over from another machine; null
 * where that disk is a member again. Such a disk goes on voting, in a slot of its own, and its votes
 * must not count twice.
 */
export const predecessorOf = (state: ReplicaState): PredecessorRead | null => {
  const own = state.bootstrap === null ? null : slotAssignmentOf(state);
  if (own === null) return null;
  const predecessor = own.membership.predecessors?.[own.slot];
  if (predecessor === undefined) return null;
  if (Object.values(own.membership.disks).includes(predecessor.disk)) return null;
  return { ...predecessor, readName: `predecessor ${predecessor.disk}` };
};
