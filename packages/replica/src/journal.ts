/**
 * The journal: entries that are written once under their key, and that each agent reads from its
 * cursor onwards. Entries are kept for a minute; a reader that was absent for longer starts again
 * from the oldest entry.
 */
import type { JournalCursor, JournalEntry, ReplicaReply } from './messages.js';
import { journalRetentionMs } from './protocol/timing.js';
import { type ReplicaState, type RetainedEntry, type Transition, update } from './state.js';

/** Journal entries, such as purges, in one reply to a poll. */
const maxEntriesPerReply = 4_096;

/** Appends the entries whose keys are not in the journal yet. */
export const appendEntries = (
  transition: Transition,
  entries: readonly JournalEntry[],
  now: number,
): void => {
  const added: RetainedEntry[] = [];
  let { sequenceByEntryKey, lastSequence } = transition.state;
  for (const { key, value } of entries) {
    if (sequenceByEntryKey.has(key)) continue;
    lastSequence += 1;
    sequenceByEntryKey = sequenceByEntryKey.set(key, lastSequence);
    added.push({ key, value, sequence: lastSequence, appendedAt: now });
  }
  if (added.length === 0) return;
  update(transition, {
    entries: [...transition.state.entries, ...added],
    sequenceByEntryKey,
    lastSequence,
  });
  transition.effects.push({
    kind: 'append-records',
    records: added.map(({ key, value, sequence }) => ({
      kind: 'entry-appended',
      sequence,
      entry: { key, value },
    })),
  });
};

/** Removes entries that are older than the journal's retention. */
export const expireEntries = (transition: Transition, now: number): void => {
  const { state } = transition;
  const expired = state.entries.filter(({ appendedAt }) => now - appendedAt > journalRetentionMs);
  if (expired.length === 0) return;
  update(transition, {
    entries: state.entries.slice(expired.length),
    sequenceByEntryKey: state.sequenceByEntryKey.deleteAll(expired.map(({ key }) => key)),
    truncatedUpTo: expired.at(-1)?.sequence ?? state.truncatedUpTo,
  });
};

/** Returns a cursor's sequence if this disk issued it and still keeps all entries after it. */
const positionOf = (state: ReplicaState, cursor: JournalCursor | null): number | null => {
  if (cursor === null || cursor.diskId !== state.diskId) return null;
  const isKept = cursor.sequence >= state.truncatedUpTo && cursor.sequence <= state.lastSequence;
  return isKept ? cursor.sequence : null;
};

/** Returns the proposal numbers under which the values of the given registers were accepted. */
const acceptedNumbersOf = (
  state: ReplicaState,
  keys: readonly string[],
): Extract<ReplicaReply, { kind: 'polled' }>['acceptedNumbers'] =>
  Object.fromEntries(
    keys.flatMap((key) => {
      const accepted = state.registers.get(key)?.accepted;
      return accepted ? [[key, accepted.proposalNumber]] : [];
    }),
  );

/** Builds the reply to a poll: the entries after the cursor, and the accepted numbers of `keys`. */
export const buildPollReply = (
  state: ReplicaState,
  cursor: JournalCursor | null,
  keys: readonly string[],
): ReplicaReply => {
  const position = positionOf(state, cursor);
  const from = position ?? state.truncatedUpTo;
  const following = state.entries.filter(({ sequence }) => sequence > from);
  const page = following.slice(0, maxEntriesPerReply);
  const copiedKeys = keys.filter((key) => state.registers.get(key)?.accepted?.copied === true);
  return {
    kind: 'polled',
    diskId: state.diskId,
    sequence: page.at(-1)?.sequence ?? Math.max(from, position ?? state.lastSequence),
    isReset: cursor !== null && position === null,
    hasMore: page.length < following.length,
    entries: page.map(({ key, value }) => ({ key, value })),
    acceptedNumbers: acceptedNumbersOf(state, keys),
    ...(copiedKeys.length === 0 ? {} : { copiedKeys }),
    ...(state.stopRequestedAt === null ? {} : { isStopping: true as const }),
  };
};
