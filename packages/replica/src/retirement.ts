/**
 * Retirement: what a replica does once its slot was given to another disk.
 *
 * It votes no more but keeps its data, and lets its successor read it, until that one votes. So a
 * wrong suspicion or a planned shutdown never removes a copy before there is another in its stead.
 * Only then it erases its data and waits for a slot as a blank replica.
 */
import { majorityOf } from '@reedyard/consensus';
import { adoptMembership, eraseDisk } from './committed-membership.js';
import { type CommittedMembership, type Membership, membershipKey } from './membership.js';
import type { ReplicaReply, ReplicaRequest } from './messages.js';
import { isRetired, type ReplicaState, type Retirement, type Transition, update } from './state.js';

/**
 * ms. A replaced replica keeps its data this long for a successor that does not come to vote;
 * then it waits for a majority that votes without it.
 */
export const retiredDataRetentionMs = 3_000;

/** ms. How long ago members must have answered to count as that majority. */
export const votingEvidenceMaxAgeMs = 1_000;

const beginRetirement = (now: number): Retirement => ({
  startedAt: now,
  pendingPolls: {},
  lastVotingAt: {},
});

/** The disk that took this one's slot, while it is still a member. */
const successorOf = (membership: Membership, diskId: string): string | undefined => {
  const [slot] =
    Object.entries(membership.predecessors ?? {}).find(([, each]) => each.disk === diskId) ?? [];
  return slot === undefined ? undefined : membership.disks[slot];
};

const isMajoritySeenVoting = (
  membership: Membership,
  { lastVotingAt }: Retirement,
  now: number,
): boolean => {
  const diskIds = Object.values(membership.disks);
  const voting = diskIds.filter(
    (diskId) => now - (lastVotingAt[diskId] ?? -Infinity) < votingEvidenceMaxAgeMs,
  );
  return voting.length >= majorityOf(diskIds.length);
};

/**
 * Whether nothing is lost if this replica erases its data: its successor votes; or, where that one
 * was replaced in its turn or has not begun to vote for long, a majority of the members votes
 * without it.
 */
const mayErase = (state: ReplicaState, retirement: Retirement, now: number): boolean => {
  const membership = state.committedMembership?.value;
  if (membership === undefined) return false;
  const successor = successorOf(membership, state.diskId);
  if (successor !== undefined && retirement.lastVotingAt[successor] !== undefined) return true;
  if (successor !== undefined && now - retirement.startedAt < retiredDataRetentionMs) return false;
  return isMajoritySeenVoting(membership, retirement, now);
};

/** A member answers this only while it may vote. */
const votingPoll = (membership: CommittedMembership): ReplicaRequest => ({
  membership,
  operation: { kind: 'read-register', key: membershipKey },
});

/** Asks the members, whom this replica no longer belongs to, whether they vote. */
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
  // Only the replies to the last two rounds of polls are waited for.
  const pollCount = Object.keys(slotByRequestId).length;
  const lastRound = Object.fromEntries(Object.entries(retirement.pendingPolls).slice(-pollCount));
  update(transition, {
    nextRequestId,
    retirement: { ...retirement, pendingPolls: { ...lastRound, ...slotByRequestId } },
  });
};

const retire = (transition: Transition, now: number): Retirement => {
  const retirement = beginRetirement(now);
  update(transition, { retirement, peerReads: {} });
  const { committedMembership, diskId } = transition.state;
  transition.effects.push({
    kind: 'log',
    event: 'replica.retired',
    fields: { epoch: committedMembership?.value.epoch ?? 0, disk: diskId },
  });
  return retirement;
};

/** Begins or ends retirement, by the membership in force; called after whatever may change it. */
export const updateRetirement = (transition: Transition, now: number): void => {
  const { state } = transition;
  if (!isRetired(state)) {
    if (state.retirement !== null) update(transition, { retirement: null });
    return;
  }
  const retirement = state.retirement ?? retire(transition, now);
  if (mayErase(transition.state, retirement, now)) eraseDisk(transition);
};

/** Whether a request was one of those that ask members whether they vote. */
export const isMemberPoll = (state: ReplicaState, requestId: number): boolean =>
  state.retirement?.pendingPolls[requestId] !== undefined;

/** Notes a member's reply to a poll; null where none came. */
export const handlePollReply = (
  transition: Transition,
  requestId: number,
  reply: ReplicaReply | null,
  now: number,
): void => {
  const { retirement, committedMembership } = transition.state;
  const slot = retirement?.pendingPolls[requestId];
  if (retirement === null || committedMembership === null || slot === undefined) return;
  const { [requestId]: _answered, ...pendingPolls } = retirement.pendingPolls;
  const isVoting =
    reply?.kind === 'register-read' && reply.diskId === committedMembership.value.disks[slot];
  const lastVotingAt = isVoting
    ? { ...retirement.lastVotingAt, [reply.diskId]: now }
    : retirement.lastVotingAt;
  update(transition, { retirement: { ...retirement, pendingPolls, lastVotingAt } });
  if (reply?.kind === 'newer-membership') adoptMembership(transition, reply.membership, now);
  updateRetirement(transition, now);
};
