/** How a disk begins to vote: as a member that has read the others, or as a founder. */
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

/** What a disk begins to vote as; a field of the log line. */
type VotingStart = 'vote' | 'found' | 'handover';

const foundingProposer = 'founding';

/**
 * All that found at once come to the same members under the same number, so that they found the
 * same state.
 */
const foundingNumber = (counter: number): ProposalNumber => ({
  counter,
  proposerId: foundingProposer,
});

const diskIdsOf = (peers: PeerReads): Membership['disks'] =>
  Object.fromEntries(Object.entries(peers).map(([name, peer]) => [name, peer.diskId]));

const isSameDisks = (left: Membership['disks'], right: Membership['disks']): boolean => {
  const names = Object.keys(left);
  return (
    names.length === Object.keys(right).length && names.every((name) => left[name] === right[name])
  );
};

/** A disk that comes back to vote in another slot: none of its earlier votes counts there. */
const disownVotes = (transition: Transition, now: number): void => {
  for (const [key, register] of transition.state.registers) {
    const isVote = register.accepted !== null && register.accepted.copied !== true;
    if (key !== membershipKey && isVote)
      writeRegister(transition, key, copyRegister(register), now);
  }
};

const beginVoting = (transition: Transition, startedAs: VotingStart, now: number): void => {
  if (transition.state.hasBegunVoting) disownVotes(transition, now);
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
 * The membership that the founders named in the settings found, once too few of them hold anything;
 * null where another founder came to the very same just before, and that epoch stands.
 */
const foundedMembership = (state: ReplicaState, peers: PeerReads): CommittedMembership | null => {
  const known = state.committedMembership;
  const disks = { ...known?.value.disks, ...diskIdsOf(peers), [state.name]: state.diskId };
  if (known !== null && isSameDisks(disks, known.value.disks)) return null;
  const epoch = (known?.value.epoch ?? 0) + 1;
  return {
    proposalNumber: foundingNumber((known?.proposalNumber.counter ?? 0) + 1),
    value: { epoch, disks, ...(epoch > 1 ? { refounded: epoch } : {}) },
  };
};

/** Where the settings name every founder. */
const beginVotingAsNamed = (transition: Transition, peers: PeerReads, now: number): void => {
  const { state } = transition;
  const membership = state.committedMembership?.value ?? null;
  const { name, diskId } = state;
  const decision = decideVoting({ name, diskId, membership, peers });
  if (decision === 'wait') return;
  if (decision === 'found') adoptMembership(transition, foundedMembership(state, peers), now);
  beginVoting(transition, decision, now);
};

/**
 * Whether this disk holds all that its predecessor did. That one knew of the successor's epoch, or
 * a later one, before it was read, so it votes no more; with a copy of its state this disk counts
 * wherever that one did.
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
 * Founds the state from the seeds. It takes every seed reached, blank, and without knowing of any
 * members: nothing is ever founded a second time.
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
 * Where members find themselves from seeds. A member votes once it has read enough of the others or
 * its predecessor; one that the first membership names has no earlier votes to lose.
 */
const beginVotingFromSeeds = (
  transition: Transition,
  bootstrap: BootstrapSettings,
  peers: PeerReads,
  now: number,
): void => {
  const { state } = transition;
  const own = slotAssignmentOf(state);
  if (own === null) {
    foundFromSeeds(transition, bootstrap, peers, now);
    return;
  }
  const { slot: name, membership } = own;
  const isFirstMembership = membership.epoch === 1;
  const { diskId } = state;
  if (isFirstMembership || decideVoting({ name, diskId, membership, peers }) === 'vote')
    beginVoting(transition, 'vote', now);
  else if (hasReadPredecessor(state)) beginVoting(transition, 'handover', now);
};

/** Begins to vote if this disk may, by what it has read so far. */
export const voteIfReady = (transition: Transition, now: number): void => {
  const { state } = transition;
  if (isVotingMember(state)) return;
  const peers = Object.fromEntries(
    Object.keys(peersOf(state)).map((name) => [name, peerReadOf(state, name)]),
  );
  if (state.bootstrap === null) beginVotingAsNamed(transition, peers, now);
  else beginVotingFromSeeds(transition, state.bootstrap, peers, now);
};
