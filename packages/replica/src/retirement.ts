/**
 * Retirement of a replica whose slot was assigned to another disk.
 *
 * The replica no longer votes, but keeps its data readable for its successor until the successor
 * votes. So a wrong suspicion or a planned shutdown never removes a copy before another copy
 * replaces it. Only then the replica erases its data and waits for a slot as a blank replica.
 */
import { majorityOf } from '@reedyard/consensus';
import { adoptMembership, eraseDisk } from './committed-membership.js';
import { type CommittedMembership, type Membership, membershipKey } from './membership.js';
import type { ReplicaReply, ReplicaRequest } from './messages.js';
import { isRetired, type ReplicaState, type Retirement, type Transition, update } from './state.js';

/**
 * How long a retired replica keeps its data for a successor that does not begin to vote, in
 * milliseconds. After that it waits until a majority votes without it.
 */
export const retiredDataRetentionMs = 3_000;

/** Maximum age of a member's reply that counts as evidence that it votes, in milliseconds. */
export const votingEvidenceMaxAgeMs = 1_000;

const initialRetirement = (now: number): Retirement => ({
  startedAt: now,
  pendingPolls: {},
  lastVotingAt: {},
});

/** Returns the disk that replaced this disk, if it is still a member. */
const successorOf = (membership: Membership, diskId: string): string | undefined => {
  const [slot] =
    Object.entries(membership.predecessors ?? {}).find(
      ([, predecessor]) => predecessor.disk === diskId,
    ) ?? [];
  return slot === undefined ? undefined : membership.disks[slot];
};

const isMajoritySeenVoting = (
  membership: Membership,
  { lastVotingAt }: Retirement,
  now: number,
): boolean => {
  const diskIds = Object.values(membership.disks);
  const recentlyVoting = diskIds.filter(
    (diskId) => now - (lastVotingAt[diskId] ?? -Infinity) < votingEvidenceMaxAgeMs,
  );
  return recentlyVoting.length >= majorityOf(diskIds.length);
};

/**
 * Whether this replica may erase its data without a loss: its successor votes; or, if the successor
 * was itself replaced or has not begun to vote in time, a majority of the members votes.
 */
const mayErase = (state: ReplicaState, retirement: Retirement, now: number): boolean => {
  const membership = state.committedMembership?.value;
  if (membership === undefined) return false;
  const successor = successorOf(membership, state.diskId);
  if (successor !== undefined && retirement.lastVotingAt[successor] !== undefined) return true;
  if (successor !== undefined && now - retirement.startedAt < retiredDataRetentionMs) return false;
  return isMajoritySeenVoting(membership, retirement, now);
};

/** A request that only a member that may vote carries out. */
const votingPoll = (membership: CommittedMembership): ReplicaRequest => ({
  membership,
  operation: { kind: 'read-register', key: membershipKey },
});

/** Polls the members of the membership, which no longer names this replica, whether they vote. */
export const pollMembers = (transition: Transition): void => {
  const { retirement, committedMembership: membership } = transition.state;
  if (retirement === null || membership === null) return;
  const slotByRequestId: Record<number, string> = {};
  let { nextRequestId } = transition.state;
  for (const [slot, address] of Object.entries(membership.value.addresses ?? {})) {
    slotByRequestId[nextRequestId] = slot;
    transition.effects.push({
      kind: 'send-request',
      requestId: nextRequestId,
      to: address,
      request: votingPoll(membership),
    });
    nextRequestId += 1;
  }
  // Only replies to the last two rounds of polls are awaited.
  const pollCount = Object.keys(slotByRequestId).length;
  const previousRound = Object.fromEntries(
    Object.entries(retirement.pendingPolls).slice(-pollCount),
  );
  update(transition, {
    nextRequestId,
    retirement: { ...retirement, pendingPolls: { ...previousRound, ...slotByRequestId } },
  });
};

const retire = (transition: Transition, now: number): Retirement => {
  const retirement = initialRetirement(now);
  update(transition, { retirement, peerReads: {} });
  const { committedMembership, diskId } = transition.state;
  transition.effects.push({
    kind: 'log',
    event: 'replica.retired',
    fields: { epoch: committedMembership?.value.epoch ?? 0, disk: diskId },
  });
  return retirement;
};

/**
 * Begins or ends retirement as the membership requires; called after each possible change of it.
 */
export const updateRetirement = (transition: Transition, now: number): void => {
  const { state } = transition;
  if (!isRetired(state)) {
    if (state.retirement !== null) update(transition, { retirement: null });
    return;
  }
  const retirement = state.retirement ?? retire(transition, now);
  if (mayErase(transition.state, retirement, now)) eraseDisk(transition);
};

/** Whether the request with this id polls a member whether it votes. */
export const isMemberPoll = (state: ReplicaState, requestId: number): boolean =>
  state.retirement?.pendingPolls[requestId] !== undefined;

/** Records a member's reply to a poll; the reply is null if the request failed. */
export const handlePollReply = (
  transition: Transition,
  requestId: number,
  reply: ReplicaReply | null,
  now: number,
): void => {
  const { retirement, committedMembership } = transition.state;
  const slot = retirement?.pendingPolls[requestId];
  if (retirement === null || committedMembership === null || slot === undefined) return;
  const { [requestId]: _handledPoll, ...pendingPolls } = retirement.pendingPolls;
  const isReplyOfVotingMember =
    reply?.kind === 'register-read' && reply.diskId === committedMembership.value.disks[slot];
  const lastVotingAt = isReplyOfVotingMember
    ? { ...retirement.lastVotingAt, [reply.diskId]: now }
    : retirement.lastVotingAt;
  update(transition, { retirement: { ...retirement, pendingPolls, lastVotingAt } });
  if (reply?.kind === 'newer-membership') adoptMembership(transition, reply.membership, now);
  updateRetirement(transition, now);
};
