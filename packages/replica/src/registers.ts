import { Set as Group } from 'immutable';
import type { Cell, Vote } from '@reedyard/consensus';
import { set, type ReplicaState, type Work } from './state.js';

/**
 * Registers: what was promised and accepted under each key, and when each claim was last written.
 */

export const claimPrefix = 'claim/';
export const minuteOf = (now: number): number => Math.floor(now / 60_000);

export const withoutClaim = (
  minutes: ReplicaState['claimMinutes'],
  minute: number,
  key: string,
): ReplicaState['claimMinutes'] => {
  const left = (minutes.get(minute) ?? Group<string>()).delete(key);
  return left.isEmpty() ? minutes.delete(minute) : minutes.set(minute, left);
};

const seeClaim = (work: Work, key: string, minute: number): void => {
  const { claimsSeen, claimMinutes } = work.state;
  const before = claimsSeen.get(key);
  if (before === minute) return;
  const others = before === undefined ? claimMinutes : withoutClaim(claimMinutes, before, key);
  set(work, {
    claimsSeen: claimsSeen.set(key, minute),
    claimMinutes: others.set(minute, (others.get(minute) ?? Group<string>()).add(key)),
  });
};

export const keepCell = (work: Work, key: string, cell: Cell, now: number): void => {
  set(work, { cells: work.state.cells.set(key, cell) });
  if (key.startsWith(claimPrefix)) seeClaim(work, key, minuteOf(now));
  work.effects.push({ kind: 'append', records: [{ kind: 'cell', key, cell }] });
};

export const vote = (
  work: Work,
  id: number,
  key: string,
  outcome: { readonly cell: Cell; readonly vote: Vote },
  now: number,
): void => {
  if (outcome.vote.kind === 'yes') keepCell(work, key, outcome.cell, now);
  work.effects.push({
    kind: 'tell',
    id,
    body: { kind: 'vote', disk: work.state.disk, vote: outcome.vote },
  });
};
