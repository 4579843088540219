/** Begins to vote, either as a member that has read the others or as a founder. */
import { copyRegister, type ProposalNumber } from '@reedyard/consensus';
import { adoptMembership } from './committed-membership.js';
import {
  type BootstrapSettings,
  type CommittedMembership,
  type Membership,
  membershipKey,
} from './membership.js';
import { peerReadOf } from './peer-read-table.js';
import { mayFoundCluster, slotAssignmentOf, peersOf, predecessorOf } from './peers.js';
import { writeRegister } from './registers.js';
import {
  isVotingMember,
  type PeerRead,
  type ReplicaState,
  type Transition,
  update,
} from './state.js';
import { decideVoting } from './voting-decision.js';

type PeerReads = Readonly<Record<string, PeerRead>>;

/** How a disk begins to vote; a field of the log line. */
type VotingStart = 'vote' | 'found' | 'handover';

const foundingProposer = 'founding';

/**
 * Returns the proposal number of a founding. Replicas that found concurrently compute the same
 * membership under the same number, so that they found the same cluster.
 */
const foundingNumber = (counter: number): ProposalNumber => ({
  counter,
  proposerId: foundingProposer,
});

const diskIdsOf = (peers: PeerReads): Membership['disks'] =>
  Object.fromEntries(Object.entries(peers).map(([name, peer]) => [name, peer.diskId]));

const hasSameDisks = (left: Membership['disks'], right: Membership['disks']): boolean => {
  const names = Object.keys(left);
  return (
    names.length === Object.keys(right).length && names.every((name) => left[name] === right[name])
  );
};

/** Marks a disk's earlier votes as copies, since they do not count in the slot it now votes in. */
const markVotesAsCopies = (transition: Transition, now: number): void => {
  for (const [key, register] of transition.state.registers) {
    const isVote = register.accepted !== null && register.accepted.copied !== true;
    if (key !== membershipKey && isVote)
      writeRegister(transition, key, copyRegister(register), now);
  }
};

const beginVoting = (transition: Transition, startedAs: VotingStart, now: number): void => {
  if (transition.state.hasBegunVoting) markVotesAsCopies(transition, now);
  const epoch = transition.state.committedMembership?.value.epoch ?? 0;
  update(transition, { hasBegunVoting: true, votingEpoch: epoch, peerReads: {} });
  const { diskId, registers } = transition.state;
  transition.effects.push(
    { kind: 'append-records', records: [{ kind: 'voting-begun', epoch }] },
    {
      kind: 'log',
      event: 'replica.votes',
      fields: { disk: diskId, cells: registers.size, step: startedAs },
    },
  );
};

/**
 * Returns the membership that the founders named in the settings found if too few of them have
 * data; null if another founder has just founded the same one, whose epoch then stays in force.
 */
const foundedMembership = (state: ReplicaState, peers: PeerReads): CommittedMembership | null => {
  const knownMembership = state.committedMembership;
  const disks = {
    ...knownMembership?.value.disks,
    ...diskIdsOf(peers),
    [state.name]: state.diskId,
  };
  if (knownMembership !== null && hasSameDisks(disks, knownMembership.value.disks)) return null;
  const epoch = (knownMembership?.value.epoch ?? 0) + 1;
  return {
    proposalNumber: foundingNumber((knownMembership?.proposalNumber.counter ?? 0) + 1),
    value: { epoch, disks, ...(epoch > 1 ? { refounded: epoch } : {}) },
  };
};

/** Begins to vote, if this disk may, in a cluster whose settings name every founder. */
const beginVotingAsNamedFounder = (transition: Transition, peers: PeerReads, now: number): void => {
  const { state } = transition;
  const membership = state.committedMembership?.value ?? null;
  const { name: slot, diskId } = state;
  const decision = decideVoting({ slot, diskId, membership, peers });
  if (decision === 'wait') return;
  if (decision === 'found') adoptMembership(transition, foundedMembership(state, peers), now);
  beginVoting(transition, decision, now);
};

/**
 * Whether this disk has a complete copy of its predecessor's state. The predecessor knew of the
 * successor's epoch, or of a later epoch, before it was read, so it no longer votes. With the copy
 * this disk can stand for all of its votes.
 */
const hasReadPredecessor = (state: ReplicaState): boolean => {
  const predecessor = predecessorOf(state);
  if (predecessor === null) return false;
  const read = peerReadOf(state, predecessor.readName);
  return (
    read.state === 'done' &&
    read.diskId === predecessor.disk &&
    read.epoch === state.committedMembership?.value.epoch
  );
};

/**
 * Founds the cluster from the seeds. This requires that every seed was reached, is blank and knows
 * no membership, so that a cluster is never founded a second time.
 */
const foundFromSeeds = (
  transition: Transition,
  { address, seeds }: BootstrapSettings,
  peers: PeerReads,
  now: number,
): void => {
  const { state } = transition;
  if (!mayFoundCluster(state) || Object.values(peers).some((peer) => peer.state !== 'blank'))
    return;
  const disks = { ...diskIdsOf(peers), [address]: state.diskId };
  const addresses = Object.fromEntries(seeds.map((seed) => [seed, seed]));
  const founded = { proposalNumber: foundingNumber(1), value: { epoch: 1, disks, addresses } };
  adoptMembership(transition, founded, now);
  beginVoting(transition, 'found', now);
};

/**
 * Begins to vote, if this disk may, in a cluster founded from seeds. A member votes once it has
 * read enough of the others or its predecessor. A member of the first membership need not read,
 * since its slot has no earlier votes that could be lost.
 */
const beginVotingFromSeeds = (
  transition: Transition,
  bootstrap: BootstrapSettings,
  peers: PeerReads,
  now: number,
): void => {
  const { state } = transition;
  const assignment = slotAssignmentOf(state);
  if (assignment === null) {
    foundFromSeeds(transition, bootstrap, peers, now);
    return;
  }
  const { slot, membership } = assignment;
  const isFirstMembership = membership.epoch === 1;
  const { diskId } = state;
  if (isFirstMembership || decideVoting({ slot, diskId, membership, peers }) === 'vote')
    beginVoting(transition, 'vote', now);
  else if (hasReadPredecessor(state)) beginVoting(transition, 'handover', now);
};

/** Begins to vote if this disk may, after what it has read so far. */
export const voteIfReady = (transition: Transition, now: number): void => {
  const { state } = transition;
  if (isVotingMember(state)) return;
  const peers = Object.fromEntries(
    Object.keys(peersOf(state)).map((name) => [name, peerReadOf(state, name)]),
  );
  if (state.bootstrap === null) beginVotingAsNamedFounder(transition, peers, now);
  else beginVotingFromSeeds(transition, state.bootstrap, peers, now);
};
