/** Test support: what clients of the membership model want, as changes of registers. */
import type { Change } from '@reedyard/consensus';
import { type Membership, membershipKey } from '@reedyard/replica';
import { assignSlotChange, replaceMemberChange } from '../proposals/changes.js';

/** The register that clients append to; its value is all ids in the order of their choice. */
export const dataKey = 'data';
export const watchedKeys = [membershipKey, dataKey] as const;
export type WatchedKey = (typeof watchedKeys)[number];

/** What a proposal is for. */
export type Goal =
  | { readonly kind: 'append'; readonly id: string }
  | {
      readonly kind: 'join';
      readonly known: Membership;
      readonly place: string;
      readonly disk: string;
      readonly address?: string;
    }
  | {
      readonly kind: 'replace';
      readonly known: Membership;
      readonly gone: string;
      readonly place: string;
      readonly disk: string;
      readonly address: string;
    }
  | { readonly kind: 'repair'; readonly key: WatchedKey };

/** The change that a goal stands for; the membership changes are the product's. */
export const changeOf = (goal: Goal): Change => {
  switch (goal.kind) {
    case 'append':
      return (current) => appended((current ?? '') as string, goal.id);
    case 'join':
      return assignSlotChange(goal.known, goal.place, goal.disk, goal.address);
    case 'replace':
      return replaceMemberChange(goal.known, goal.gone, goal.place, goal.disk, goal.address);
    case 'repair':
      return () => ({ kind: 'keep' });
  }
};

const appended = (current: string, id: string): ReturnType<Change> =>
  current.includes(`${id};`) ? { kind: 'keep' } : { kind: 'write', value: `${current}${id};` };

/** The register that a goal is about. */
export const keyOf = (goal: Goal): WatchedKey => {
  if (goal.kind === 'append') return dataKey;
  return goal.kind === 'repair' ? goal.key : membershipKey;
};
