/** Decides when a replica whose process was requested to stop may exit. */
import { leaseDurationMs } from './protocol/timing.js';
import { retiredDataRetentionMs } from './retirement.js';
import { isRetired, isVotingMember, type ReplicaState, type Transition } from './state.js';

/**
 * How long a stopping replica waits for its slot to be assigned to a known spare, in milliseconds.
 */
export const handoverTimeoutMs = 2_000;

/**
 * Whether a stopping replica should still run: a voting member while a spare could take over its
 * slot, a retired replica until its successor has had time to read it.
 */
const isStillNeeded = (state: ReplicaState, stopRequestedAt: number, now: number): boolean => {
  const elapsedMs = now - stopRequestedAt;
  if (isRetired(state)) return elapsedMs < retiredDataRetentionMs;
  const hasLiveSpare = now - state.spareSeenAt < leaseDurationMs;
  return isVotingMember(state) && hasLiveSpare && elapsedMs < handoverTimeoutMs;
};

/** Exits once the process was requested to stop and no other replica still needs this one. */
export const exitIfDone = (transition: Transition, now: number): void => {
  const { state } = transition;
  const { stopRequestedAt } = state;
  if (stopRequestedAt === null || isStillNeeded(state, stopRequestedAt, now)) return;
  transition.effects.push({ kind: 'exit' });
};
