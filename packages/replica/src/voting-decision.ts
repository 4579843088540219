/** When a disk that does not vote may begin to, from what it has read of the others. */
import { majorityOf } from '@reedyard/consensus';
import type { Membership } from './membership.js';
import type { PeerRead } from './state.js';

/** What was read of another replica. */
export type PeerReadResult = Pick<PeerRead, 'state' | 'diskId' | 'epoch'>;

/** What the decision rests on. */
export type VotingDecisionInput = {
  /** This replica's slot. */
  readonly name: string;
  readonly diskId: string;
  readonly membership: Membership | null;
  /** What was read of all others, by slot. */
  readonly peers: Readonly<Record<string, PeerReadResult>>;
};

/**
 * `vote`: begin to vote. `found`: found the state, with the others. `wait`: read on.
 */
export type VotingDecision = 'vote' | 'found' | 'wait';

/** Whether a member was read completely, after it knew of this membership. */
const isReadUnder = (membership: Membership, slot: string, peer: PeerReadResult): boolean =>
  peer.state === 'done' && peer.epoch >= membership.epoch && peer.diskId === membership.disks[slot];

/**
 * Whether enough of the other members were read. With n members, a majority that counted a lost
 * vote of this slot left at least majority - 1 others, so n - majority + 1 of them always meet it;
 * and whoever knows of the new membership takes no more part in a choice by the old one.
 */
const hasReadEnough = (
  membership: Membership,
  peers: readonly (readonly [string, PeerReadResult])[],
): boolean => {
  const memberCount = peers.length + 1;
  const read = peers.filter(([slot, peer]) => isReadUnder(membership, slot, peer));
  return read.length >= memberCount - majorityOf(memberCount) + 1;
};

/**
 * Decides whether a disk may begin to vote. It may where the membership names it and it has read
 * enough of the other members. It founds the state where every other replica was reached and too
 * few hold anything to make a majority.
 *
 * @example
 * decideVoting({ name: 'a', diskId: 'd', membership: null, peers: { b: { state: 'blank', diskId: 'e', epoch: 0 } } }) // 'found'
 */
export const decideVoting = ({
  name,
  diskId,
  membership,
  peers,
}: VotingDecisionInput): VotingDecision => {
  const others = Object.entries(peers);
  const isNamed = membership !== null && membership.disks[name] === diskId;
  if (isNamed && hasReadEnough(membership, others)) return 'vote';
  const isEveryPeerReached = others.every(([, peer]) => peer.state !== 'reading');
  const holders = others.filter(([, peer]) => peer.state === 'done');
  const hasMajority = holders.length >= majorityOf(others.length + 1);
  return isEveryPeerReached && !hasMajority ? 'found' : 'wait';
};
