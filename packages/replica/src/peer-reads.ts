/**
 * How a replica that may not vote yet reads the others: their registers and journal, page by page,
 * each under an epoch that the peer is told with the request. Once it has read enough it begins to
 * vote.
 */
import {
  compareProposalNumbers,
  copyRegister,
  emptyRegister,
  mergeRegisters,
  type RegisterState,
} from '@reedyard/consensus';
import { callTimeoutMs } from '@reedyard/rpc';
import { adoptMembership } from './committed-membership.js';
import { appendEntries } from './journal.js';
import { membershipKey } from './membership.js';
import type { ReplicaReply } from './messages.js';
import { findPeerRead, peerReadOf, setPeerRead } from './peer-read-table.js';
import { type PeerAddresses, peersOf, predecessorOf } from './peers.js';
import { writeRegister } from './registers.js';
import {
  isInMembership,
  isVotingMember,
  type PeerRead,
  type ReplicaState,
  type Transition,
  update,
} from './state.js';
import { voteIfReady } from './voting.js';

/** ms. A replica that may not vote yet asks the others again. */
export const replicaTickIntervalMs = 200;

/**
 * ms. A page that a recovering replica asked for is asked for again, then after twice as long,
 * and so on: far over what one takes on a busy machine.
 */
const pageTimeoutStepMs = 250;

type PageReply = Extract<ReplicaReply, { kind: 'page-read' }>;

const epochOf = (state: ReplicaState): number => state.committedMembership?.value.epoch ?? 0;

/** All replicas to read: the peers, and the predecessor under a name of its own. */
const readTargets = (state: ReplicaState): PeerAddresses => {
  const predecessor = predecessorOf(state);
  const peers = peersOf(state);
  return predecessor === null ? peers : { ...peers, [predecessor.readName]: predecessor.address };
};

/**
 * ms that a page is waited for before it is requested again. While a member catches up one loss
 * less is borne, so it retries soon, and gives a busy machine more time at each retry; who only
 * waits to be named is in no haste.
 */
const pageTimeoutMs = (state: ReplicaState, read: PeerRead): number =>
  isInMembership(state)
    ? Math.min(callTimeoutMs, pageTimeoutStepMs * (1 + read.earlierRequestIds.length))
    : callTimeoutMs;

/** Whether the next page of a peer, or its first one again, is to be requested now. */
const isRequestDue = (state: ReplicaState, read: PeerRead, now: number): boolean => {
  const waitedMs = now - read.sentAt;
  if (read.requestId !== null && waitedMs < pageTimeoutMs(state, read)) return false;
  if (read.state === 'done' && read.epoch >= epochOf(state)) return false;
  return read.nextPage !== null || waitedMs >= replicaTickIntervalMs;
};

/** A reading that is done, but under an older epoch, begins again. */
const restartIfDone = (read: PeerRead): PeerRead =>
  read.state === 'done' ? { ...read, nextPage: null } : read;

/**
 * Requests a page. A reply counts by the epoch that its request told, so only requests under one
 * epoch stand for each other.
 */
const requestPage = (
  transition: Transition,
  name: string,
  address: string,
  read: PeerRead,
  now: number,
): void => {
  const { committedMembership: membership, nextRequestId: requestId } = transition.state;
  const epoch = epochOf(transition.state);
  const requestedEpoch = read.nextPage === null ? epoch : Math.min(epoch, read.requestedEpoch);
  const isRetry = read.requestId !== null && requestedEpoch === read.requestedEpoch;
  const earlierRequestIds = isRetry ? [...read.earlierRequestIds, read.requestId ?? requestId] : [];
  update(transition, { nextRequestId: requestId + 1 });
  setPeerRead(transition, name, {
    ...read,
    requestId,
    sentAt: now,
    requestedEpoch,
    earlierRequestIds,
  });
  transition.effects.push({
    kind: 'send-request',
    requestId,
    to: address,
    request: { membership, operation: { kind: 'read-page', after: read.nextPage } },
  });
};

/** Reads on wherever a page is due, and begins to vote if enough was read. */
export const readPeers = (transition: Transition, now: number): void => {
  for (const [name, address] of Object.entries(readTargets(transition.state))) {
    const read = peerReadOf(transition.state, name);
    if (isRequestDue(transition.state, read, now))
      requestPage(transition, name, address, restartIfDone(read), now);
  }
  voteIfReady(transition, now);
};

/** A request failed: another one for the same page may still be answered. */
const handleFailure = (
  transition: Transition,
  name: string,
  read: PeerRead,
  requestId: number,
): void => {
  setPeerRead(transition, name, {
    ...read,
    requestId: read.requestId === requestId ? null : read.requestId,
    earlierRequestIds: read.earlierRequestIds.filter((each) => each !== requestId),
  });
};

const handleNotAMember = (
  transition: Transition,
  name: string,
  read: PeerRead,
  reply: Extract<ReplicaReply, { kind: 'not-a-member' }>,
  now: number,
): void => {
  const isBlank = transition.state.bootstrap === null || (reply.isBlank && !reply.knowsMembership);
  setPeerRead(transition, name, {
    ...read,
    state: isBlank ? 'blank' : 'reading',
    diskId: reply.diskId,
    nextPage: null,
  });
  voteIfReady(transition, now);
};

/**
 * A register with what a peer showed of it. Only the predecessor's votes were cast in this slot. Of
 * the membership only what was promised is taken over: one that a peer accepted need not be chosen.
 */
const mergeShown = (
  key: string,
  own: RegisterState,
  shown: RegisterState,
  isPredecessor: boolean,
): RegisterState => {
  const merged = mergeRegisters(own, isPredecessor ? shown : copyRegister(shown));
  return key === membershipKey ? { ...own, promised: merged.promised } : merged;
};

const isChanged = (before: RegisterState, after: RegisterState): boolean =>
  compareProposalNumbers(after.promised, before.promised) !== 0 ||
  after.accepted !== before.accepted;

const takeRegisters = (
  transition: Transition,
  registers: PageReply['registers'],
  isPredecessor: boolean,
  now: number,
): void => {
  for (const [key, shown] of registers) {
    const own = transition.state.registers.get(key) ?? emptyRegister;
    const merged = mergeShown(key, own, shown, isPredecessor);
    if (isChanged(own, merged)) writeRegister(transition, key, merged, now);
  }
};

const handlePage = (
  transition: Transition,
  name: string,
  read: PeerRead,
  reply: PageReply,
  now: number,
): void => {
  adoptMembership(transition, reply.membership, now);
  if (transition.state.peerReads[name] === undefined) return;
  const predecessor = predecessorOf(transition.state);
  const isPredecessor = name === predecessor?.readName && reply.diskId === predecessor.disk;
  takeRegisters(transition, reply.registers, isPredecessor, now);
  appendEntries(transition, reply.entries, now);
  if (reply.nextPage === null) {
    const { diskId } = reply;
    const epoch = read.requestedEpoch;
    setPeerRead(transition, name, { ...read, state: 'done', nextPage: null, diskId, epoch });
    voteIfReady(transition, now);
  } else {
    setPeerRead(transition, name, { ...read, nextPage: reply.nextPage, sentAt: -Infinity });
    readPeers(transition, now);
  }
};

/** A reply to a request for a page; null where none came. */
export const handlePeerReply = (
  transition: Transition,
  requestId: number,
  reply: ReplicaReply | null,
  now: number,
): void => {
  const found = findPeerRead(transition.state, requestId);
  if (found === undefined || isVotingMember(transition.state)) return;
  const [name, read] = found;
  if (reply === null) {
    handleFailure(transition, name, read, requestId);
    return;
  }
  const answered = { ...read, requestId: null, earlierRequestIds: [] };
  switch (reply.kind) {
    case 'not-a-member':
      handleNotAMember(transition, name, answered, reply, now);
      return;
    case 'page-read':
      handlePage(transition, name, answered, reply, now);
      return;
    default:
      setPeerRead(transition, name, answered);
  }
};
