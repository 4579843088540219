/** When a replica whose process was told to stop may exit. */
import { Limits } from '@reedyard/constants';
import { isRetired, isVotingMember, type ReplicaState, type Transition } from './state.js';

/**
 * Whether a replica should still run: a member while a spare could take its slot, a replaced one
 * until its successor has read it.
 */
const isStillNeeded = (state: ReplicaState, stopRequestedAt: number, now: number): boolean => {
  const waitedMs = now - stopRequestedAt;
  if (isRetired(state)) return waitedMs < Limits.retention;
  const hasLiveSpare = now - state.spareSeenAt < Limits.lease;
  return isVotingMember(state) && hasLiveSpare && waitedMs < Limits.handover;
};

/** Lets the process exit, once it was told to stop and nothing waits for it. */
export const exitIfDone = (transition: Transition, now: number): void => {
  const { state } = transition;
  const { stopRequestedAt } = state;
  if (stopRequestedAt === null || isStillNeeded(state, stopRequestedAt, now)) return;
  transition.effects.push({ kind: 'exit' });
};
