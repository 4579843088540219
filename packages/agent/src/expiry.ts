/** Lets go what has lapsed: records of gossip, journal entries, and claims of long ago. */
import { Map as Table } from 'immutable';
import { expireRecords } from '@reedyard/gossip';
import { journalRetentionMs } from '@reedyard/replica';
import { type Transition, update } from './transition.js';

/** ms. Agents remember the claims they made in spans of half the claims' life; three are kept. */
export const claimSpanMs = 1_800_000;

/**
 * Lets go journal entries that are no longer on the replicas' journals, with what is known of their
 * keys.
 */
const expireEntries = (transition: Transition): void => {
  const { now, entries, committedEntryKeys: posted } = transition.state;
  const live = entries.filter((entry) => now - entry.at <= journalRetentionMs);
  if (live.length === entries.length) return;
  const flags = (keys: readonly string[]): Readonly<Record<string, true>> =>
    Object.fromEntries(keys.map((key) => [key, true as const]));
  const keys = live.map((entry) => entry.key);
  update(transition, {
    entries: live,
    entryKeys: flags(keys),
    committedEntryKeys: flags(keys.filter((key) => posted[key])),
  });
};

/** Begins a new span of claims where the present one is over. */
const startClaimSpan = (transition: Transition): void => {
  const { now, claimSpans: claims, claimSpanStartedAt: claimsFrom } = transition.state;
  if (now - claimsFrom <= claimSpanMs) return;
  update(transition, {
    claimSpans: [Table<string, never>(), ...claims.slice(0, -1)],
    claimSpanStartedAt: now,
  });
};

/** Lets everything go that has expired. */
export const expireState = (transition: Transition): void => {
  update(transition, {
    gossip: expireRecords(transition.state.gossip, transition.state.now).state,
  });
  expireEntries(transition);
  startClaimSpan(transition);
};
