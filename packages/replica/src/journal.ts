/**
 * The journal: entries that are written once under their key, and read by each agent from its
 * cursor on. Entries are kept for a minute; a reader that was away longer starts anew.
 */
import type { JournalCursor, JournalEntry, ReplicaReply } from './messages.js';
import { journalRetentionMs } from './protocol/timing.js';
import { type ReplicaState, type RetainedEntry, type Transition, update } from './state.js';

/** purge journal entries in one call. */
const maxEntriesPerReply = 4_096;

/** Appends the entries whose keys the journal does not hold yet. */
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

/** Lets entries go that are older than any cursor needs. */
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

/** A cursor's position, if it was given by this disk and what follows it is still kept. */
const positionOf = (state: ReplicaState, cursor: JournalCursor | null): number | null => {
  if (cursor === null || cursor.diskId !== state.diskId) return null;
  const isKept = cursor.sequence >= state.truncatedUpTo && cursor.sequence <= state.lastSequence;
  return isKept ? cursor.sequence : null;
};

/** The proposal numbers under which the values of some registers were accepted. */
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

/** The reply to a poll: the entries that follow the cursor, and what some registers hold. */
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
