/** Decides when a disk may begin to vote, from what it has read of the others. */
import { majorityOf } from '@reedyard/consensus';
import type { Membership } from './membership.js';
import type { PeerRead } from './state.js';

/** The result of reading another replica. */
export type PeerReadResult = Pick<PeerRead, 'state' | 'diskId' | 'epoch'>;

/** The facts on which the decision depends. */
export type VotingDecisionInput = {
  /** This replica's slot. */
  readonly slot: string;
  readonly diskId: string;
  readonly membership: Membership | null;
  /** The results of reading all others, by slot. */
  readonly peers: Readonly<Record<string, PeerReadResult>>;
};

/**
 * `vote`: begin to vote. `found`: found the cluster together with the others. `wait`: continue to
 * read.
 */
export type VotingDecision = 'vote' | 'found' | 'wait';

/** Whether a member was read completely since it knew of this membership. */
const isReadUnder = (membership: Membership, slot: string, peer: PeerReadResult): boolean =>
  peer.state === 'done' && peer.epoch >= membership.epoch && peer.diskId === membership.disks[slot];

/**
 * Whether enough of the other members were read. With n members, a majority that included a lost
 * vote of this slot has at least majority - 1 other members, so any n - majority + 1 of the others
 * intersect it. A member that knows of the new membership no longer votes under the old one.
 */
const hasReadEnough = (
  membership: Membership,
  peers: readonly (readonly [string, PeerReadResult])[],
): boolean => {
  const memberCount = peers.length + 1;
  const readPeers = peers.filter(([slot, peer]) => isReadUnder(membership, slot, peer));
  return readPeers.length >= memberCount - majorityOf(memberCount) + 1;
};

/**
 * Decides whether a disk may begin to vote. It may if the membership names it and it has read
 * enough of the other members. It founds the cluster if every other replica was reached and too few
 * of them have data to make a majority.
 *
 * @example
 * decideVoting({ slot: 'a', diskId: 'd', membership: null, peers: { b: { state: 'blank', diskId: 'e', epoch: 0 } } }) // 'found'
 */
export const decideVoting = ({
  slot,
  diskId,
  membership,
  peers,
}: VotingDecisionInput): VotingDecision => {
  const others = Object.entries(peers);
  const isNamed = membership !== null && membership.disks[slot] === diskId;
  if (isNamed && hasReadEnough(membership, others)) return 'vote';
  const isEveryPeerReached = others.every(([, peer]) => peer.state !== 'reading');
  const peersWithData = others.filter(([, peer]) => peer.state === 'done');
  const hasMajorityData = peersWithData.length >= majorityOf(others.length + 1);
  return isEveryPeerReached && !hasMajorityData ? 'found' : 'wait';
};
