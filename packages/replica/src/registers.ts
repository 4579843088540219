import { Set as Group } from 'immutable';
import type { RegisterState, Vote } from '@reedyard/consensus';
import { update, type ReplicaState, type Transition } from './state.js';

/**
 * Registers: what was promised and accepted under each key, and when each claim was last written.
 */

export const claimPrefix = 'claim/';
export const minuteOf = (now: number): number => Math.floor(now / 60_000);

export const withoutClaim = (
  minutes: ReplicaState['claimKeysByMinute'],
  minute: number,
  key: string,
): ReplicaState['claimKeysByMinute'] => {
  const left = (minutes.get(minute) ?? Group<string>()).delete(key);
  return left.isEmpty() ? minutes.delete(minute) : minutes.set(minute, left);
};

const seeClaim = (transition: Transition, key: string, minute: number): void => {
  const { claimMinuteByKey: claimsSeen, claimKeysByMinute: claimMinutes } = transition.state;
  const before = claimsSeen.get(key);
  if (before === minute) return;
  const others = before === undefined ? claimMinutes : withoutClaim(claimMinutes, before, key);
  update(transition, {
    claimMinuteByKey: claimsSeen.set(key, minute),
    claimKeysByMinute: others.set(minute, (others.get(minute) ?? Group<string>()).add(key)),
  });
};

export const keepCell = (
  transition: Transition,
  key: string,
  register: RegisterState,
  now: number,
): void => {
  update(transition, { registers: transition.state.registers.set(key, register) });
  if (key.startsWith(claimPrefix)) seeClaim(transition, key, minuteOf(now));
  transition.effects.push({
    kind: 'append-records',
    records: [{ kind: 'register-written', key, register }],
  });
};

export const vote = (
  transition: Transition,
  id: number,
  key: string,
  outcome: { readonly register: RegisterState; readonly vote: Vote },
  now: number,
): void => {
  if (outcome.vote.kind === 'yes') keepCell(transition, key, outcome.register, now);
  transition.effects.push({
    kind: 'send-reply',
    requestId: id,
    reply: { kind: 'vote', diskId: transition.state.diskId, vote: outcome.vote },
  });
};
