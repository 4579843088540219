/** Writes registers, and records when each claim was last written. */
import { Set as ImmutableSet } from 'immutable';
import type { RegisterState, VoteOutcome } from '@reedyard/consensus';
import { update, type ReplicaState, type Transition } from './state.js';

/**
 * The most claims that a replica keeps: an hour of 139 claims a second, some 600 MB. Beyond this,
 * new claims are refused.
 */
export const maxClaims = 500_000;

/** The prefix of claims' keys. Claims expire; all other registers are kept. */
export const claimPrefix = 'claim/';

const millisecondsPerMinute = 60_000;

/** Returns the minute of the replica's clock, the unit in which the age of claims is tracked. */
export const minuteOf = (now: number): number => Math.floor(now / millisecondsPerMinute);

/** Removes a claim from the keys of its minute. */
export const withoutClaim = (
  keysByMinute: ReplicaState['claimKeysByMinute'],
  minute: number,
  key: string,
): ReplicaState['claimKeysByMinute'] => {
  const remainingKeys = (keysByMinute.get(minute) ?? ImmutableSet<string>()).delete(key);
  return remainingKeys.isEmpty()
    ? keysByMinute.delete(minute)
    : keysByMinute.set(minute, remainingKeys);
};

const recordClaimWrite = (transition: Transition, key: string, minute: number): void => {
  const { claimMinuteByKey, claimKeysByMinute } = transition.state;
  const previousMinute = claimMinuteByKey.get(key);
  if (previousMinute === minute) return;
  const otherClaims =
    previousMinute === undefined
      ? claimKeysByMinute
      : withoutClaim(claimKeysByMinute, previousMinute, key);
  update(transition, {
    claimMinuteByKey: claimMinuteByKey.set(key, minute),
    claimKeysByMinute: otherClaims.set(
      minute,
      (otherClaims.get(minute) ?? ImmutableSet<string>()).add(key),
    ),
  });
};

/** Writes a register to the state and to disk. */
export const writeRegister = (
  transition: Transition,
  key: string,
  register: RegisterState,
  now: number,
): void => {
  update(transition, { registers: transition.state.registers.set(key, register) });
  if (key.startsWith(claimPrefix)) recordClaimWrite(transition, key, minuteOf(now));
  transition.effects.push({
    kind: 'append-records',
    records: [{ kind: 'register-written', key, register }],
  });
};

/** Replies with a vote. A register that it changes is written first. */
export const replyWithVote = (
  transition: Transition,
  requestId: number,
  key: string,
  outcome: VoteOutcome,
  now: number,
): void => {
  const { vote, register } = outcome;
  if (vote.kind === 'yes') writeRegister(transition, key, register, now);
  transition.effects.push({
    kind: 'send-reply',
    requestId,
    reply: { kind: 'vote', diskId: transition.state.diskId, vote },
  });
};
