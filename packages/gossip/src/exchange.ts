/**
 * Anti-entropy: two nodes compare digests of their records, and each sends what the other lacks.
 * The messages go between nodes of different versions, so their fields keep their names.
 */

import type { Neighbour } from './partial-view.js';
import type { GossipRecord, GossipState } from './records.js';

/**
 * A record as it is sent. The value is left out towards a node that has it already: then the new
 * revision is a heartbeat alone. A forgotten record has the value null.
 */
export type RecordUpdate = { readonly revision: number; readonly value?: unknown };

/** An exchange: what the sender holds, and a part of its view. */
export type GossipExchange = {
  readonly from: { readonly id: string; readonly address: string };
  /** Revisions by key. */
  readonly digest: Readonly<Record<string, number>>;
  readonly sample: readonly Neighbour[];
};

/** The reply to an exchange. */
export type GossipExchangeReply = {
  /** Records that are newer there. */
  readonly newer: Readonly<Record<string, RecordUpdate>>;
  /** Keys that are wanted from the sender, with the revisions that are held; 0 for none. */
  readonly wants: Readonly<Record<string, number>>;
  readonly sample: readonly Neighbour[];
};

/** The update for a node that holds a revision of the record; 0 where it holds none. */
const updateFor = (record: GossipRecord, revision: number): RecordUpdate =>
  revision >= record.valueRevision && !record.isExpired
    ? { revision: record.revision }
    : { revision: record.revision, value: record.isExpired ? null : record.value };

/**
 * Learns what others told; returns the keys that were news. @example mergeUpdates(state, newer,
 * 5).news
 */
export const mergeUpdates = (
  state: GossipState,
  tellings: Readonly<Record<string, RecordUpdate>>,
  now: number,
): {
  readonly state: GossipState;
  readonly updatedKeys: readonly string[];
  /** Those of them with a value. */ readonly keysWithValue: readonly string[];
} => {
  const added: Record<string, GossipRecord> = {};
  const values: string[] = [];
  for (const [key, { revision, ...rest }] of Object.entries(tellings)) {
    const record = state.records[key];
    if (revision <= (record?.revision ?? 0)) continue;
    if ('value' in rest) {
      added[key] = {
        revision,
        value: rest.value,
        valueRevision: revision,
        seenAt: now,
        isExpired: rest.value === null,
      };
      values.push(key);
    } else if (record !== undefined && !record.isExpired)
      added[key] = { ...record, revision, seenAt: now };
  }
  const news = Object.keys(added);
  return {
    state: news.length === 0 ? state : { ...state, records: { ...state.records, ...added } },
    updatedKeys: news,
    keysWithValue: values,
  };
};

/** @example digestOf(state) // { 'node/a': 12 } */
export const digestOf = (state: GossipState): Readonly<Record<string, number>> =>
  Object.fromEntries(
    Object.entries(state.records).flatMap(([key, record]) =>
      record.isExpired ? [] : [[key, record.revision]],
    ),
  );

/**
 * What of ours is newer than a digest, and what of the digest we lack. A forgotten record is told
 * (with the value null) only to one who offers an older revision of it, so that an owner who came
 * back without memory learns above which revision to speak.
 *
 * @example
 * compareDigest(state, {})
 */
export const compareDigest = (
  state: GossipState,
  digest: Readonly<Record<string, number>>,
): {
  readonly newer: Readonly<Record<string, RecordUpdate>>;
  readonly wants: Readonly<Record<string, number>>;
} => ({
  newer: Object.fromEntries(
    Object.entries(state.records).flatMap(([key, record]) =>
      record.revision > (digest[key] ?? 0) && (!record.isExpired || digest[key] !== undefined)
        ? [[key, updateFor(record, digest[key] ?? 0)]]
        : [],
    ),
  ),
  wants: Object.fromEntries(
    Object.entries(digest).flatMap(([key, revision]) => {
      const record = state.records[key];
      return revision > (record?.revision ?? 0)
        ? [[key, record === undefined || record.isExpired ? 0 : record.revision]]
        : [];
    }),
  ),
});

/** The records asked for, by the revisions that the asker has. @example pickUpdates(state, { 'node/a': 0 }) */
export const pickUpdates = (
  state: GossipState,
  wants: Readonly<Record<string, number>>,
): Readonly<Record<string, RecordUpdate>> =>
  Object.fromEntries(
    Object.entries(wants).flatMap(([key, revision]) => {
      const record = state.records[key];
      return record === undefined || record.isExpired ? [] : [[key, updateFor(record, revision)]];
    }),
  );
