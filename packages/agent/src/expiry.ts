/** Removes expired state: gossip records, journal entries and old claims. */
import { Map as Table } from 'immutable';
import { expireRecords } from '@reedyard/gossip';
import { journalRetentionMs } from '@reedyard/replica';
import { type Transition, update } from './transition.js';

/**
 * The length of one span of claims in milliseconds: half the lifetime of a claim. An agent keeps the
 * claims of its last three spans.
 */
export const claimSpanMs = 1_800_000;

/** Removes journal entries that the replicas no longer keep, and the records of their keys. */
const expireEntries = (transition: Transition): void => {
  const { now, entries, committedEntryKeys } = transition.state;
  const liveEntries = entries.filter((entry) => now - entry.at <= journalRetentionMs);
  if (liveEntries.length === entries.length) return;
  const keySetOf = (keys: readonly string[]): Readonly<Record<string, true>> =>
    Object.fromEntries(keys.map((key) => [key, true as const]));
  const liveKeys = liveEntries.map((entry) => entry.key);
  update(transition, {
    entries: liveEntries,
    entryKeys: keySetOf(liveKeys),
    committedEntryKeys: keySetOf(liveKeys.filter((key) => committedEntryKeys[key])),
  });
};

/** Starts a new span of claims when the current one is over, and drops the oldest span. */
const startClaimSpan = (transition: Transition): void => {
  const { now, claimSpans, claimSpanStartedAt } = transition.state;
  if (now - claimSpanStartedAt <= claimSpanMs) return;
  update(transition, {
    claimSpans: [Table<string, never>(), ...claimSpans.slice(0, -1)],
    claimSpanStartedAt: now,
  });
};

/** Removes all expired state. */
export const expireState = (transition: Transition): void => {
  update(transition, {
    gossip: expireRecords(transition.state.gossip, transition.state.now).state,
  });
  expireEntries(transition);
  startClaimSpan(transition);
};
