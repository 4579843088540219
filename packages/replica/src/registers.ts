/** Registers: what was promised and accepted under each key, and when each claim was last written. */
import { Set as Group } from 'immutable';
import type { RegisterState, VoteOutcome } from '@reedyard/consensus';
import { update, type ReplicaState, type Transition } from './state.js';

/**
 * claims that a replica keeps: an hour of 139 a second, some 600 MB. A new one past that is
 * refused.
 */
export const maxClaims = 500_000;

/** Keys of claims begin with this; claims expire, other registers stay. */
export const claimPrefix = 'claim/';

const millisecondsPerMinute = 60_000;

/** The minute of the replica's clock, which claims are expired by. */
export const minuteOf = (now: number): number => Math.floor(now / millisecondsPerMinute);

/** The keys of each minute without one claim. */
export const withoutClaim = (
  keysByMinute: ReplicaState['claimKeysByMinute'],
  minute: number,
  key: string,
): ReplicaState['claimKeysByMinute'] => {
  const remaining = (keysByMinute.get(minute) ?? Group<string>()).delete(key);
  return remaining.isEmpty() ? keysByMinute.delete(minute) : keysByMinute.set(minute, remaining);
};

const noteClaimWritten = (transition: Transition, key: string, minute: number): void => {
  const { claimMinuteByKey, claimKeysByMinute } = transition.state;
  const before = claimMinuteByKey.get(key);
  if (before === minute) return;
  const others =
    before === undefined ? claimKeysByMinute : withoutClaim(claimKeysByMinute, before, key);
  update(transition, {
    claimMinuteByKey: claimMinuteByKey.set(key, minute),
    claimKeysByMinute: others.set(minute, (others.get(minute) ?? Group<string>()).add(key)),
  });
};

/** Writes a register, in the state and to disk. */
export const writeRegister = (
  transition: Transition,
  key: string,
  register: RegisterState,
  now: number,
): void => {
  update(transition, { registers: transition.state.registers.set(key, register) });
  if (key.startsWith(claimPrefix)) noteClaimWritten(transition, key, minuteOf(now));
  transition.effects.push({
    kind: 'append-records',
    records: [{ kind: 'register-written', key, register }],
  });
};

/** Replies with a vote; a register that changed by it is written first. */
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
