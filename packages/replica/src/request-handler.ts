/**
 * Handles requests to a replica. A request is carried out only if its sender counts votes by the
 * membership in force, and only a voting member takes part in registers and the journal.
 */
import { accept, emptyRegister, prepare, type RegisterState } from '@reedyard/consensus';
import { adoptMembership } from './committed-membership.js';
import { appendEntries, buildPollReply } from './journal.js';
import { membershipKey } from './membership.js';
import type { ReplicaOperation, ReplicaReply, ReplicaRequest } from './messages.js';
import { buildNotAMemberReply, readPage } from './page-read-handler.js';
import { readPeers } from './peer-reads.js';
import { claimPrefix, maxClaims, replyWithVote } from './registers.js';
import { restore } from './restore.js';
import { updateRetirement } from './retirement.js';
import {
  isInMembership,
  isVotingMember,
  type ReplicaState,
  type Transition,
  update,
} from './state.js';

const sendReply = (transition: Transition, requestId: number, reply: ReplicaReply): void => {
  transition.effects.push({ kind: 'send-reply', requestId, reply });
};

const registerOf = (state: ReplicaState, key: string): RegisterState =>
  state.registers.get(key) ?? emptyRegister;

/** Adopts a newer membership from the request, and records whether a spare is known. */
const learnFromRequest = (transition: Transition, request: ReplicaRequest, now: number): void => {
  if (request.hasLiveSpare === true) update(transition, { spareSeenAt: now });
  const wasInMembership = isInMembership(transition.state);
  adoptMembership(transition, request.membership, now);
  const { state } = transition;
  if (!wasInMembership && isInMembership(state) && !isVotingMember(state))
    readPeers(transition, now);
  updateRetirement(transition, now);
};

/**
 * Whether the sender counts votes by an older membership than this replica knows. Only the newest
 * membership that is known to be chosen is in force, and only the disks that it names vote. A
 * membership that this replica accepted but does not know to be chosen has no effect: the previous
 * membership, which decides on it, stays in force.
 */
const isFromOutdatedMembership = (state: ReplicaState, request: ReplicaRequest): boolean =>
  senderEpoch(request) < knownEpoch(state);

const senderEpoch = ({ membership }: ReplicaRequest): number => membership?.value.epoch ?? 0;

const knownEpoch = ({ committedMembership }: ReplicaState): number =>
  committedMembership?.value.epoch ?? 0;

/** Whether this is a proposal for the membership, allowed while other registers await a restore. */
const isForMembership = (operation: ReplicaOperation): boolean =>
  (operation.kind === 'prepare' || operation.kind === 'accept') && operation.key === membershipKey;

const wouldExceedClaimLimit = (state: ReplicaState, operation: ReplicaOperation): boolean =>
  operation.kind === 'prepare' &&
  operation.key.startsWith(claimPrefix) &&
  state.claimMinuteByKey.size >= maxClaims &&
  !state.registers.has(operation.key);

/** Returns the reply that rejects a request; null if the request may be carried out. */
const rejectionOf = (
  state: ReplicaState,
  request: ReplicaRequest,
  now: number,
): ReplicaReply | null => {
  const { operation } = request;
  const { diskId } = state;
  // In a cluster founded from seeds, a blank disk too replies to an outdated sender with the newer
  // membership.
  const isOutdated = isFromOutdatedMembership(state, request);
  if (!state.hasBegunVoting && (state.bootstrap === null || !isOutdated))
    return buildNotAMemberReply(state);
  if (isOutdated)
    return { kind: 'newer-membership', diskId, membership: state.committedMembership };
  if (operation.kind === 'restore') return null;
  if (!isForMembership(operation) && now < state.recoveringUntil)
    return { kind: 'recovering', diskId, epoch: knownEpoch(state) };
  if (wouldExceedClaimLimit(state, operation)) return { kind: 'too-many-claims', diskId };
  if (!isVotingMember(state)) return buildNotAMemberReply(state);
  if (operation.kind === 'accept' && operation.diskId !== diskId)
    return buildNotAMemberReply(state);
  return null;
};

const executeOperation = (
  transition: Transition,
  requestId: number,
  operation: Exclude<ReplicaOperation, { kind: 'read-page' }>,
  now: number,
): void => {
  const { state } = transition;
  const { diskId } = state;
  switch (operation.kind) {
    case 'prepare': {
      const { key, proposalNumber } = operation;
      const outcome = prepare(registerOf(state, key), proposalNumber);
      replyWithVote(transition, requestId, key, outcome, now);
      return;
    }
    case 'accept': {
      const { key, proposalNumber, value } = operation;
      const outcome = accept(registerOf(state, key), proposalNumber, value);
      replyWithVote(transition, requestId, key, outcome, now);
      return;
    }
    case 'append-entries':
      appendEntries(transition, operation.entries, now);
      sendReply(transition, requestId, { kind: 'entries-appended', diskId });
      return;
    case 'poll':
      sendReply(transition, requestId, buildPollReply(state, operation.cursor, operation.keys));
      return;
    case 'read-register': {
      const { accepted } = registerOf(state, operation.key);
      sendReply(transition, requestId, { kind: 'register-read', diskId, accepted });
      return;
    }
    case 'restore':
      restore(transition, operation, now);
      sendReply(transition, requestId, { kind: 'restored', diskId });
      return;
  }
};

/** Handles a request: adopts the membership that it carries, then carries it out or rejects it. */
export const handleRequest = (
  transition: Transition,
  requestId: number,
  request: ReplicaRequest,
  now: number,
): void => {
  learnFromRequest(transition, request, now);
  const { operation } = request;
  if (operation.kind === 'read-page') {
    sendReply(transition, requestId, readPage(transition, operation.after));
    return;
  }
  const rejection = rejectionOf(transition.state, request, now);
  if (rejection === null) executeOperation(transition, requestId, operation, now);
  else sendReply(transition, requestId, rejection);
};
