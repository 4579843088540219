/** Test support: the goals of clients in the membership model, as changes of registers. */
import type { Change } from '@reedyard/consensus';
import { type Membership, membershipKey } from '@reedyard/replica';
import { assignSlotChange, replaceMemberChange } from '../proposals/changes.js';

/**
 * The register that clients append ids to; its value lists the ids in the order in which they were
 * chosen.
 */
export const dataKey = 'data';
export const watchedKeys = [membershipKey, dataKey] as const;
export type WatchedKey = (typeof watchedKeys)[number];

/** The purpose of a proposal. */
export type Goal =
  | { readonly kind: 'append'; readonly id: string }
  | {
      readonly kind: 'join';
      readonly known: Membership;
      readonly slot: string;
      readonly disk: string;
      readonly address?: string;
    }
  | {
      readonly kind: 'replace';
      readonly known: Membership;
      readonly replacedSlot: string;
      readonly slot: string;
      readonly disk: string;
      readonly address: string;
    }
  | { readonly kind: 'repair'; readonly key: WatchedKey };

/** Returns the register change that reaches a goal; membership changes are the product's own. */
export const changeOf = (goal: Goal): Change => {
  switch (goal.kind) {
    case 'append':
      return (current) => appendId((current ?? '') as string, goal.id);
    case 'join':
      return assignSlotChange(goal.known, goal.slot, goal.disk, goal.address);
    case 'replace':
      return replaceMemberChange(goal.known, goal.replacedSlot, goal.slot, goal.disk, goal.address);
    case 'repair':
      return () => ({ kind: 'keep' });
  }
};

const appendId = (current: string, id: string): ReturnType<Change> =>
  current.includes(`${id};`) ? { kind: 'keep' } : { kind: 'write', value: `${current}${id};` };

/** Returns the register that a goal changes. */
export const keyOf = (goal: Goal): WatchedKey => {
  if (goal.kind === 'append') return dataKey;
  return goal.kind === 'repair' ? goal.key : membershipKey;
};
