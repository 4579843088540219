/**
 * Ids of the changes that a register took lately, kept in its value: a change that is sent again
 * under its id, by whichever node, is made once. An id is remembered for as long as it may be sent
 * again. Registers know no time, so each node notes when it learnt a revision, by its own clock:
 * whatever it has known for the whole repeat window is older than that. A node that has just
 * started has learnt nothing long ago, and lets nothing go.
 */
import { policyOf, zonesOf } from '../control/registers.js';
import type { AgentState } from '../state.js';
import { type Transition, update } from '../transition.js';

/**
 * ms. A change may be sent again this long, and is then still made once: an operator repeats for
 * seconds.
 */
export const repeatWindowMs = 30_000;

/**
 * bytes of the change ids remembered in a register: some 900 changes within the repeat window.
 */
export const maxRecentChangesBytes = 64 * 1024;

/** A change that was made, and the revision that it made. */
export type RecentChange = { readonly id: string; readonly revision: number };

/** A revision of a register, and when this node learnt of it. */
export type LearntRevision = { readonly revision: number; readonly at: number };

/** Registers whose changes have ids. */
export const registersWithChangeIds = ['policy', 'zones'] as const;
/** The key of a register whose changes have ids. */
export type RegisterWithChangeIds = (typeof registersWithChangeIds)[number];

/** Bytes of one remembered change beside its id: quotes, names and the revision. */
const bytesBesideId = 32;

const revisionOf = (state: AgentState, key: RegisterWithChangeIds): number =>
  (key === 'policy' ? policyOf(state) : zonesOf(state))?.revision ?? 0;

/**
 * Notes revisions that are new since the last time; of those that are over the window the newest
 * one is enough.
 */
export const recordLearntRevisions = (transition: Transition): void => {
  const { now } = transition.state;
  for (const key of registersWithChangeIds) {
    const learnt = transition.state.learntRevisions[key];
    const revision = revisionOf(transition.state, key);
    if (revision === (learnt.at(-1)?.revision ?? 0)) continue;
    const over = learnt.filter((each) => now - each.at > repeatWindowMs);
    const kept = [...over.slice(-1), ...learnt.slice(over.length), { revision, at: now }];
    update(transition, { learntRevisions: { ...transition.state.learntRevisions, [key]: kept } });
  }
};

/**
 * The newest revision that this node has known for the whole repeat window: changes up to it may be
 * forgotten.
 */
export const newestExpiredRevision = (state: AgentState, key: RegisterWithChangeIds): number =>
  state.learntRevisions[key].findLast((each) => state.now - each.at > repeatWindowMs)?.revision ??
  0;

/**
 * Adds a change, and lets those go that may no longer be sent again. Past the bound in bytes the
 * oldest go first.
 *
 * @example
 * rememberChange([{ id: 'a', revision: 1 }], { id: 'b', revision: 2 }, 1) // [{ id: 'b', revision: 2 }]
 */
export const addRecentChange = (
  known: readonly RecentChange[],
  made: RecentChange,
  lapsed: number,
): readonly RecentChange[] => {
  const live = [...known.filter((each) => each.revision > lapsed), made];
  let bytes = 0;
  const from = live.findLastIndex((each) => {
    bytes += each.id.length + bytesBesideId;
    return bytes > maxRecentChangesBytes;
  });
  return live.slice(from + 1);
};

/** The change with this id, if it was made lately. */
export const findRecentChange = (
  known: readonly RecentChange[],
  id: string,
): RecentChange | undefined => known.find((each) => each.id === id);
