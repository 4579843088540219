import { Limits } from '@reedyard/constants';
import { majorityOf } from '@reedyard/consensus';
import { adopt, blank } from './membership.js';
import { membersKey, type ReplicaReply, type Members } from './messages.js';
import {
  isRetired,
  isMember,
  set,
  type ReplicaState,
  type Retirement,
  type Work,
} from './state.js';

/**
 * Retirement: what a replica does once its place was given to another disk, or its process was told
 * to stop.
 *
 * A replaced replica votes no more but keeps its data, and lets its successor read it, until that
 * one votes. So a wrong suspicion or a planned leave never removes a copy before there is another
 * in its stead. Only then it forgets its data and waits for a place as a blank replica.
 */

const begin = (now: number): Retirement => ({ since: now, calls: {}, votingAt: {} });

/** The disk that took this one's place, while it is still a member. */
const successorOf = (members: Members, disk: string): string | undefined => {
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
  const members = state.told?.value;
  if (members === undefined) return false;
  const successor = successorOf(members, state.disk);
  if (successor !== undefined && retirement.votingAt[successor] !== undefined) return true;
  if (successor !== undefined && now - retirement.since < Limits.retention) return false;
  const disks = Object.values(members.disks);
  const votes = (disk: string): boolean =>
    now - (retirement.votingAt[disk] ?? -Infinity) < Limits.retentionProof;
  return disks.filter(votes).length >= majorityOf(disks.length);
};

/** Asks the members, whom it no longer belongs to, whether they vote. */
const poll = (work: Work, retirement: Retirement): void => {
  const { told } = work.state;
  if (told === null) return;
  const calls: Record<number, string> = {};
  let id = work.state.nextCall;
  for (const [member, address] of Object.entries(told.value.addresses ?? {})) {
    calls[id] = member;
    const body = { members: told, call: { kind: 'fetch', key: membersKey } } as const;
    work.effects.push({ kind: 'call', id, to: address, body });
    id += 1;
  }
  // Only the answers to the last two rounds are waited for.
  const recent = Object.entries(retirement.calls).slice(-Object.keys(calls).length);
  set(work, {
    nextCall: id,
    retirement: { ...retirement, calls: { ...Object.fromEntries(recent), ...calls } },
  });
};

/** Looks after a replica whose place was given away; called at each interval and after each ask. */
export const tendRetirement = (work: Work, now: number): void => {
  const { state } = work;
  if (!isRetired(state)) {
    if (state.retirement !== null) set(work, { retirement: null });
    return;
  }
  if (state.retirement === null) {
    set(work, { retirement: begin(now), readings: {} });
    work.effects.push({
      kind: 'log',
      event: 'replica.retired',
      fields: { epoch: state.told?.value.epoch ?? 0, disk: state.disk },
    });
  }
  const retirement = work.state.retirement ?? begin(now);
  if (mayForget(work.state, retirement, now)) blank(work);
};

/** At each interval: the members are asked anew. */
export const pollMembers = (work: Work): void => {
  const { retirement } = work.state;
  if (retirement !== null) poll(work, retirement);
};

/** Whether a call was one of those to the members that go on without it. */
export const isPolled = (state: ReplicaState, id: number): boolean =>
  state.retirement?.calls[id] !== undefined;

/** Takes in what a member answered, or that it did not (null). */
export const notePoll = (work: Work, id: number, body: ReplicaReply | null, now: number): void => {
  const { retirement, told } = work.state;
  const member = retirement?.calls[id];
  if (retirement === null || told === null || member === undefined) return;
  const { [id]: _answered, ...calls } = retirement.calls;
  const votes = body?.kind === 'fetched' && body.disk === told.value.disks[member];
  const votingAt = votes ? { ...retirement.votingAt, [body.disk]: now } : retirement.votingAt;
  set(work, { retirement: { ...retirement, calls, votingAt } });
  if (body?.kind === 'stale') adopt(work, body.members, now);
  tendRetirement(work, now);
};

/**
 * Whether a replica that was told to stop should still run: a member while a blank replica could
 * take its place, a replaced one until its successor has read it.
 */
const isAwaited = (state: ReplicaState, now: number): boolean => {
  const since = now - (state.stopAskedAt ?? now);
  if (isRetired(state)) return since < Limits.retention;
  const spareIsLive = now - state.spareHeardAt < Limits.lease;
  return isMember(state) && spareIsLive && since < Limits.handover;
};

/** Lets the process end, once it was told to stop and nothing waits for it. */
export const tendStop = (work: Work, now: number): void => {
  if (work.state.stopAskedAt === null || isAwaited(work.state, now)) return;
  work.effects.push({ kind: 'end' });
};
