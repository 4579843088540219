/** The other replicas that a replica reads before it votes. */
import type { Membership, Predecessor } from './membership.js';
import { type ReplicaState, slotOf } from './state.js';

/** Addresses of replicas, by the name under which each is read. */
export type PeerAddresses = Readonly<Record<string, string>>;

/**
 * Whether this replica may take part in founding the cluster: only at the very first start, at a
 * seed's address, with a blank disk, and without knowing any membership.
 */
export const mayFoundCluster = (state: ReplicaState): boolean =>
  state.bootstrap !== null &&
  state.bootstrap.isFirstStart &&
  state.bootstrap.seeds.includes(state.bootstrap.address) &&
  state.committedMembership === null &&
  !state.hasBegunVoting;

/** Returns this replica's slot in the membership that it knows, and that membership. */
export const slotAssignmentOf = (
  state: ReplicaState,
): { readonly slot: string; readonly membership: Membership } | null => {
  const membership = state.committedMembership?.value;
  if (membership === undefined) return null;
  const slot = slotOf(state, membership);
  return slot === undefined ? null : { slot, membership };
};

/** Returns the other members, or the other founders while there are no members yet. */
export const peersOf = (state: ReplicaState): PeerAddresses => {
  if (state.bootstrap === null) return state.otherFounders;
  const { address, seeds } = state.bootstrap;
  const assignment = slotAssignmentOf(state);
  if (assignment !== null)
    return Object.fromEntries(
      Object.entries(assignment.membership.addresses ?? {}).filter(
        ([slot]) => slot !== assignment.slot,
      ),
    );
  if (!mayFoundCluster(state)) return {};
  return Object.fromEntries(seeds.filter((seed) => seed !== address).map((seed) => [seed, seed]));
};

/** The disk that this replica's disk replaced, and the name under which it is read. */
export type PredecessorRead = Predecessor & { readonly readName: string };

/**
 * Returns the disk on another machine that this replica's disk replaced; null if there is none, or
 * if that disk is a member again. Such a disk goes on voting, in a slot of its own, and its votes
 * must not count twice.
 */
export const predecessorOf = (state: ReplicaState): PredecessorRead | null => {
  const assignment = state.bootstrap === null ? null : slotAssignmentOf(state);
  if (assignment === null) return null;
  const predecessor = assignment.membership.predecessors?.[assignment.slot];
  if (predecessor === undefined) return null;
  if (Object.values(assignment.membership.disks).includes(predecessor.disk)) return null;
  return { ...predecessor, readName: `predecessor ${predecessor.disk}` };
};
