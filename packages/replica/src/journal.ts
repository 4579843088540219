import { Sizes } from '@reedyard/constants';
import type { ReplicaReply, JournalCursor, JournalEntry } from './messages.js';
import { update, type ReplicaState, type RetainedEntry, type Transition } from './state.js';

/** The journal: entries written once, read by each agent from its cursor on. */

export const keepFacts = (
  transition: Transition,
  entries: readonly JournalEntry[],
  now: number,
): void => {
  const added: RetainedEntry[] = [];
  let keys = transition.state.sequenceByEntryKey;
  let sequence = transition.state.lastSequence;
  for (const entry of entries) {
    if (keys.has(entry.key)) continue;
    sequence += 1;
    keys = keys.set(entry.key, sequence);
    added.push({ key: entry.key, value: entry.value, sequence, appendedAt: now });
  }
  if (added.length === 0) return;
  update(transition, {
    entries: [...transition.state.entries, ...added],
    sequenceByEntryKey: keys,
    lastSequence: sequence,
  });
  transition.effects.push({
    kind: 'append-records',
    records: added.map((kept) => ({
      kind: 'entry-appended',
      sequence: kept.sequence,
      entry: { key: kept.key, value: kept.value },
    })),
  });
};

export const pulled = (
  state: ReplicaState,
  cursor: JournalCursor | null,
  keys: readonly string[],
): ReplicaReply => {
  const known =
    cursor !== null &&
    cursor.diskId === state.diskId &&
    cursor.sequence >= state.truncatedUpTo &&
    cursor.sequence <= state.lastSequence
      ? cursor.sequence
      : null;
  const from = known ?? state.truncatedUpTo;
  const fresh = state.entries.filter((entry) => entry.sequence > from);
  const entries = fresh.slice(0, Sizes.purges);
  const ballots = Object.fromEntries(
    keys.flatMap((key) => {
      const accepted = state.registers.get(key)?.accepted;
      return accepted ? [[key, accepted.proposalNumber]] : [];
    }),
  );
  const copied = keys.filter((key) => state.registers.get(key)?.accepted?.copied === true);
  return {
    kind: 'polled',
    diskId: state.diskId,
    sequence: entries.at(-1)?.sequence ?? Math.max(from, known ?? state.lastSequence),
    isReset: cursor !== null && known === null,
    hasMore: entries.length < fresh.length,
    entries: entries.map(({ key, value }) => ({ key, value })),
    acceptedNumbers: ballots,
    ...(copied.length === 0 ? {} : { copiedKeys: copied }),
    ...(state.stopRequestedAt === null ? {} : { isStopping: true as const }),
  };
};
