/**
 * Reads the other replicas for a replica that may not vote yet: their registers and journal, page
 * by page. Each request carries the reader's membership, so that the peer knows its epoch. Once the
 * replica has read enough it begins to vote.
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

/**
 * Interval between ticks in milliseconds. A replica that may not vote yet reads the others again
 * after this time.
 */
export const replicaTickIntervalMs = 200;

/**
 * A member that catches up requests a page again after this time in milliseconds, and waits this
 * much longer before each further retry. It is far longer than a page takes on a busy machine.
 */
const pageTimeoutStepMs = 250;

type PageReply = Extract<ReplicaReply, { kind: 'page-read' }>;

const epochOf = (state: ReplicaState): number => state.committedMembership?.value.epoch ?? 0;

/** Returns the replicas to read: the peers, and the predecessor under a separate name. */
const readTargets = (state: ReplicaState): PeerAddresses => {
  const predecessor = predecessorOf(state);
  const peers = peersOf(state);
  return predecessor === null ? peers : { ...peers, [predecessor.readName]: predecessor.address };
};

/**
 * How long to wait for a page before it is requested again, in milliseconds. While a member catches
 * up the cluster tolerates one loss less, so the member retries soon, and gives a busy machine more
 * time with each retry. A replica that only waits for a slot need not hurry.
 */
const pageTimeoutMs = (state: ReplicaState, read: PeerRead): number =>
  isInMembership(state)
    ? Math.min(callTimeoutMs, pageTimeoutStepMs * (1 + read.earlierRequestIds.length))
    : callTimeoutMs;

/** Whether the next page of a peer, or its first page again, is to be requested now. */
const isRequestDue = (state: ReplicaState, read: PeerRead, now: number): boolean => {
  const waitedMs = now - read.sentAt;
  if (read.requestId !== null && waitedMs < pageTimeoutMs(state, read)) return false;
  if (read.state === 'done' && read.epoch >= epochOf(state)) return false;
  return read.nextPage !== null || waitedMs >= replicaTickIntervalMs;
};

/** Restarts a read that was done, but under an older epoch. */
const restartIfDone = (read: PeerRead): PeerRead =>
  read.state === 'done' ? { ...read, nextPage: null } : read;

/**
 * Requests a page. A reply counts for the epoch that its request carried, so only a reply to an
 * earlier request with the same epoch may be used instead of the reply to the latest one.
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

/** Requests every page that is due, and begins to vote if enough was read. */
export const readPeers = (transition: Transition, now: number): void => {
  for (const [name, address] of Object.entries(readTargets(transition.state))) {
    const read = peerReadOf(transition.state, name);
    if (isRequestDue(transition.state, read, now))
      requestPage(transition, name, address, restartIfDone(read), now);
  }
  voteIfReady(transition, now);
};

/** Handles a failed request. Another request for the same page may still get a reply. */
const handleFailure = (
  transition: Transition,
  name: string,
  read: PeerRead,
  requestId: number,
): void => {
  setPeerRead(transition, name, {
    ...read,
    requestId: read.requestId === requestId ? null : read.requestId,
    earlierRequestIds: read.earlierRequestIds.filter((id) => id !== requestId),
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
 * Merges a register with a peer's state of it. Only the predecessor's votes were cast in this slot.
 * Of the membership's register only the promise is adopted: a membership that a peer accepted need
 * not be chosen.
 */
const mergePeerRegister = (
  key: string,
  current: RegisterState,
  peerRegister: RegisterState,
  isPredecessor: boolean,
): RegisterState => {
  const merged = mergeRegisters(current, isPredecessor ? peerRegister : copyRegister(peerRegister));
  return key === membershipKey ? { ...current, promised: merged.promised } : merged;
};

const isChanged = (before: RegisterState, after: RegisterState): boolean =>
  compareProposalNumbers(after.promised, before.promised) !== 0 ||
  after.accepted !== before.accepted;

const mergePeerRegisters = (
  transition: Transition,
  registers: PageReply['registers'],
  isPredecessor: boolean,
  now: number,
): void => {
  for (const [key, peerRegister] of registers) {
    const current = transition.state.registers.get(key) ?? emptyRegister;
    const merged = mergePeerRegister(key, current, peerRegister, isPredecessor);
    if (isChanged(current, merged)) writeRegister(transition, key, merged, now);
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
  mergePeerRegisters(transition, reply.registers, isPredecessor, now);
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

/** Handles the reply to a page request; the reply is null if the request failed. */
export const handlePeerReply = (
  transition: Transition,
  requestId: number,
  reply: ReplicaReply | null,
  now: number,
): void => {
  const match = findPeerRead(transition.state, requestId);
  if (match === undefined || isVotingMember(transition.state)) return;
  const [name, read] = match;
  if (reply === null) {
    handleFailure(transition, name, read, requestId);
    return;
  }
  const readAfterReply = { ...read, requestId: null, earlierRequestIds: [] };
  switch (reply.kind) {
    case 'not-a-member':
      handleNotAMember(transition, name, readAfterReply, reply, now);
      return;
    case 'page-read':
      handlePage(transition, name, readAfterReply, reply, now);
      return;
    default:
      setPeerRead(transition, name, readAfterReply);
  }
};
