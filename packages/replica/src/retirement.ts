import { Limits } from '@reedyard/constants';
import { majorityOf } from '@reedyard/consensus';
import { adopt, blank } from './membership.js';
import { membershipKey, type ReplicaReply, type Membership } from './messages.js';
import {
  isRetired,
  isVotingMember,
  update,
  type ReplicaState,
  type Retirement,
  type Transition,
} from './state.js';

/**
 * Retirement: what a replica does once its place was given to another disk, or its process was told
 * to stop.
 *
 * A replaced replica votes no more but keeps its data, and lets its successor read it, until that
 * one votes. So a wrong suspicion or a planned leave never removes a copy before there is another
 * in its stead. Only then it forgets its data and waits for a place as a blank replica.
 */

const begin = (now: number): Retirement => ({ startedAt: now, pendingPolls: {}, lastVotingAt: {} });

/** The disk that took this one's place, while it is still a member. */
const successorOf = (members: Membership, disk: string): string | undefined => {
  const [member] =
    Object.entries(members.predecessors ?? {}).find(([, each]) => each.disk === disk) ?? [];
  return member === undefined ? undefined : members.disks[member];
};

/**
 * Whether nothing is lost if this replica forgets its data: its successor votes; or, where that one
 * was replaced in its turn or has not come to vote for long, a majority of the members votes
 * without it.
 */
const mayForget = (state: ReplicaState, retirement: Retirement, now: number): boolean => {
  const members = state.committedMembership?.value;
  if (members === undefined) return false;
  const successor = successorOf(members, state.diskId);
  if (successor !== undefined && retirement.lastVotingAt[successor] !== undefined) return true;
  if (successor !== undefined && now - retirement.startedAt < Limits.retention) return false;
  const disks = Object.values(members.disks);
  const votes = (disk: string): boolean =>
    now - (retirement.lastVotingAt[disk] ?? -Infinity) < Limits.retentionProof;
  return disks.filter(votes).length >= majorityOf(disks.length);
};

/** Asks the members, whom it no longer belongs to, whether they vote. */
const poll = (transition: Transition, retirement: Retirement): void => {
  const { committedMembership: committed } = transition.state;
  if (committed === null) return;
  const calls: Record<number, string> = {};
  let id = transition.state.nextRequestId;
  for (const [member, address] of Object.entries(committed.value.addresses ?? {})) {
    calls[id] = member;
    const request = {
      membership: committed,
      operation: { kind: 'read-register', key: membershipKey },
    } as const;
    transition.effects.push({ kind: 'send-request', requestId: id, to: address, request });
    id += 1;
  }
  // Only the answers to the last two rounds are waited for.
  const recent = Object.entries(retirement.pendingPolls).slice(-Object.keys(calls).length);
  update(transition, {
    nextRequestId: id,
    retirement: { ...retirement, pendingPolls: { ...Object.fromEntries(recent), ...calls } },
  });
};

/** Looks after a replica whose place was given away; called at each interval and after each ask. */
export const tendRetirement = (transition: Transition, now: number): void => {
  const { state } = transition;
  if (!isRetired(state)) {
    if (state.retirement !== null) update(transition, { retirement: null });
    return;
  }
  if (state.retirement === null) {
    update(transition, { retirement: begin(now), peerReads: {} });
    transition.effects.push({
      kind: 'log',
      event: 'replica.retired',
      fields: { epoch: state.committedMembership?.value.epoch ?? 0, disk: state.diskId },
    });
  }
  const retirement = transition.state.retirement ?? begin(now);
  if (mayForget(transition.state, retirement, now)) blank(transition);
};

/** At each interval: the members are asked anew. */
export const pollMembers = (transition: Transition): void => {
  const { retirement } = transition.state;
  if (retirement !== null) poll(transition, retirement);
};

/** Whether a call was one of those to the members that go on without it. */
export const isPolled = (state: ReplicaState, id: number): boolean =>
  state.retirement?.pendingPolls[id] !== undefined;

/** Takes in what a member answered, or that it did not (null). */
export const notePoll = (
  transition: Transition,
  id: number,
  body: ReplicaReply | null,
  now: number,
): void => {
  const { retirement, committedMembership: committed } = transition.state;
  const member = retirement?.pendingPolls[id];
  if (retirement === null || committed === null || member === undefined) return;
  const { [id]: _answered, ...calls } = retirement.pendingPolls;
  const votes = body?.kind === 'register-read' && body.diskId === committed.value.disks[member];
  const votingAt = votes
    ? { ...retirement.lastVotingAt, [body.diskId]: now }
    : retirement.lastVotingAt;
  update(transition, {
    retirement: { ...retirement, pendingPolls: calls, lastVotingAt: votingAt },
  });
  if (body?.kind === 'newer-membership') adopt(transition, body.membership, now);
  tendRetirement(transition, now);
};

/**
 * Whether a replica that was told to stop should still run: a member while a blank replica could
 * take its place, a replaced one until its successor has read it.
 */
const isAwaited = (state: ReplicaState, now: number): boolean => {
  const since = now - (state.stopRequestedAt ?? now);
  if (isRetired(state)) return since < Limits.retention;
  const spareIsLive = now - state.spareSeenAt < Limits.lease;
  return isVotingMember(state) && spareIsLive && since < Limits.handover;
};

/** Lets the process end, once it was told to stop and nothing waits for it. */
export const tendStop = (transition: Transition, now: number): void => {
  if (transition.state.stopRequestedAt === null || isAwaited(transition.state, now)) return;
  transition.effects.push({ kind: 'exit' });
};
