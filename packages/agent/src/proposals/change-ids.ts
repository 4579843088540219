/**
 * Ids of the changes that were recently applied to a register, stored in the register's value: a
 * change that is sent again with the same id, to any node, is applied only once. An id is remembered
 * for as long as its change may be sent again. A register's value contains no times, so each node
 * records by its own clock when it learnt a revision: a revision that it has known for the entire
 * repeat window has expired. A node that has just started has known no revision for that long, so
 * it removes no ids.
 */
import { policyOf, zonesOf } from '../control/registers.js';
import type { AgentState } from '../state.js';
import { type Transition, update } from '../transition.js';

/**
 * How long after its first application a change that is sent again is still recognized and not
 * applied twice, in milliseconds. Operators repeat a command for a few seconds only.
 */
export const repeatWindowMs = 30_000;

/**
 * Maximum size of the change ids remembered in a register, in bytes: some 900 changes within the
 * repeat window.
 */
export const maxRecentChangesBytes = 64 * 1024;

/** The id of a change that was applied to a register, and the revision that it produced. */
export type RecentChange = { readonly id: string; readonly revision: number };

/** A revision of a register, and when this node learnt it. */
export type LearntRevision = { readonly revision: number; readonly learntAt: number };

/** Keys of the registers whose changes have ids. */
export const registersWithChangeIds = ['policy', 'zones'] as const;
/** The key of a register whose changes have ids. */
export type RegisterWithChangeIds = (typeof registersWithChangeIds)[number];

/** Size of a remembered change without its id, in bytes: quotes, field names and the revision. */
const bytesBesideId = 32;

const revisionOf = (state: AgentState, key: RegisterWithChangeIds): number =>
  (key === 'policy' ? policyOf(state) : zonesOf(state))?.revision ?? 0;

/**
 * Records the revisions that this node has learnt since the last call. Of the revisions that are
 * older than the repeat window only the newest is kept.
 */
export const recordLearntRevisions = (transition: Transition): void => {
  const { now } = transition.state;
  for (const key of registersWithChangeIds) {
    const learnt = transition.state.learntRevisions[key];
    const revision = revisionOf(transition.state, key);
    if (revision === (learnt.at(-1)?.revision ?? 0)) continue;
    const expired = learnt.filter(
      (learntRevision) => now - learntRevision.learntAt > repeatWindowMs,
    );
    const retained = [
      ...expired.slice(-1),
      ...learnt.slice(expired.length),
      { revision, learntAt: now },
    ];
    update(transition, {
      learntRevisions: { ...transition.state.learntRevisions, [key]: retained },
    });
  }
};

/**
 * The newest revision that this node has known for the entire repeat window: the ids of changes up
 * to this revision may be removed.
 */
export const newestExpiredRevision = (state: AgentState, key: RegisterWithChangeIds): number =>
  state.learntRevisions[key].findLast(
    (learntRevision) => state.now - learntRevision.learntAt > repeatWindowMs,
  )?.revision ?? 0;

/**
 * Adds a change, and removes those that may no longer be sent again. Where the rest exceeds the
 * maximum size in bytes, the oldest changes are removed first.
 *
 * @example
 * addRecentChange([{ id: 'a', revision: 1 }], { id: 'b', revision: 2 }, 1) // [{ id: 'b', revision: 2 }]
 */
export const addRecentChange = (
  recentChanges: readonly RecentChange[],
  newChange: RecentChange,
  expiredRevision: number,
): readonly RecentChange[] => {
  const unexpired = [
    ...recentChanges.filter((change) => change.revision > expiredRevision),
    newChange,
  ];
  let bytes = 0;
  const lastExcess = unexpired.findLastIndex((change) => {
    bytes += change.id.length + bytesBesideId;
    return bytes > maxRecentChangesBytes;
  });
  return unexpired.slice(lastExcess + 1);
};

/** The remembered change with this id; undefined where none is remembered. */
export const findRecentChange = (
  recentChanges: readonly RecentChange[],
  id: string,
): RecentChange | undefined => recentChanges.find((change) => change.id === id);
