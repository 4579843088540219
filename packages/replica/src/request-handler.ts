/**
 * Requests to a replica. A request counts only if its sender counts by the membership in force, and
 * only a voting member takes part in registers and the journal.
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

const reply = (transition: Transition, requestId: number, body: ReplicaReply): void => {
  transition.effects.push({ kind: 'send-reply', requestId, reply: body });
};

const registerOf = (state: ReplicaState, key: string): RegisterState =>
  state.registers.get(key) ?? emptyRegister;

/** Learns what the request tells of the membership, and of spares. */
const learnFrom = (transition: Transition, request: ReplicaRequest, now: number): void => {
  if (request.hasLiveSpare === true) update(transition, { spareSeenAt: now });
  const wasInMembership = isInMembership(transition.state);
  adoptMembership(transition, request.membership, now);
  const { state } = transition;
  if (!wasInMembership && isInMembership(state) && !isVotingMember(state))
    readPeers(transition, now);
  updateRetirement(transition, now);
};

/**
 * Whether the sender counts by an older membership than this replica knows. Only the newest one
 * that is known to be chosen counts, and only by the disks that it names. What this replica
 * accepted but does not know to be chosen changes nothing: the earlier membership, which decides on
 * it, goes on.
 */
const isFromOlderMembership = (state: ReplicaState, request: ReplicaRequest): boolean =>
  senderEpoch(request) < knownEpoch(state);

const senderEpoch = ({ membership }: ReplicaRequest): number => membership?.value.epoch ?? 0;

const knownEpoch = ({ committedMembership }: ReplicaState): number =>
  committedMembership?.value.epoch ?? 0;

/** Proposals for the membership go on while the other registers wait to be restored. */
const isForMembership = (operation: ReplicaOperation): boolean =>
  (operation.kind === 'prepare' || operation.kind === 'accept') && operation.key === membershipKey;

const isNewClaimTooMany = (state: ReplicaState, operation: ReplicaOperation): boolean =>
  operation.kind === 'prepare' &&
  operation.key.startsWith(claimPrefix) &&
  state.claimMinuteByKey.size >= maxClaims &&
  !state.registers.has(operation.key);

/** Why an operation is not carried out, as a reply; null if it is. */
const rejectionOf = (
  state: ReplicaState,
  request: ReplicaRequest,
  now: number,
): ReplicaReply | null => {
  const { operation } = request;
  const { diskId } = state;
  // A blank disk that members find from seeds tells a sender of older members which are in force.
  const isOlder = isFromOlderMembership(state, request);
  if (!state.hasBegunVoting && (state.bootstrap === null || !isOlder))
    return buildNotAMemberReply(state);
  if (isOlder) return { kind: 'newer-membership', diskId, membership: state.committedMembership };
  if (operation.kind === 'restore') return null;
  if (!isForMembership(operation) && now < state.recoveringUntil)
    return { kind: 'recovering', diskId, epoch: knownEpoch(state) };
  if (isNewClaimTooMany(state, operation)) return { kind: 'too-many-claims', diskId };
  if (!isVotingMember(state)) return buildNotAMemberReply(state);
  if (operation.kind === 'accept' && operation.diskId !== diskId)
    return buildNotAMemberReply(state);
  return null;
};

const carryOut = (
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
      reply(transition, requestId, { kind: 'entries-appended', diskId });
      return;
    case 'poll':
      reply(transition, requestId, buildPollReply(state, operation.cursor, operation.keys));
      return;
    case 'read-register': {
      const { accepted } = registerOf(state, operation.key);
      reply(transition, requestId, { kind: 'register-read', diskId, accepted });
      return;
    }
    case 'restore':
      restore(transition, operation, now);
      reply(transition, requestId, { kind: 'restored', diskId });
      return;
  }
};

/** Handles a request: learns from it, then carries it out or says why not. */
export const handleRequest = (
  transition: Transition,
  requestId: number,
  request: ReplicaRequest,
  now: number,
): void => {
  learnFrom(transition, request, now);
  const { operation } = request;
  if (operation.kind === 'read-page') {
    reply(transition, requestId, readPage(transition, operation.after));
    return;
  }
  const rejection = rejectionOf(transition.state, request, now);
  if (rejection === null) carryOut(transition, requestId, operation, now);
  else reply(transition, requestId, rejection);
};
