/**
 * Anti-entropy: two nodes compare digests of their records, and each sends the records that the
 * other lacks. Nodes of different versions exchange these messages, so their fields keep their
 * names.
 */

import type { Neighbour } from './partial-view.js';
import type { GossipRecord, GossipState } from './records.js';

/**
 * A record on the wire. The value is omitted when the receiver already has it, so that the new
 * revision is only a heartbeat. An expired record has the value null.
 */
export type RecordUpdate = { readonly revision: number; readonly value?: unknown };

/** A request to exchange records: the sender's digest and a sample of its partial view. */
export type GossipExchange = {
  readonly from: { readonly id: string; readonly address: string };
  /** The revisions of the sender's live records, by key. */
  readonly digest: Readonly<Record<string, number>>;
  readonly sample: readonly Neighbour[];
};

/** The reply to an exchange. */
export type GossipExchangeReply = {
  /** Records of the replying node that are newer than the digest. */
  readonly newer: Readonly<Record<string, RecordUpdate>>;
  /** Keys that the replying node requests, with the revisions that it has; 0 where it has none. */
  readonly wants: Readonly<Record<string, number>>;
  readonly sample: readonly Neighbour[];
};

/** The update for a node that has `revision` of the record; 0 means that it has none. */
const updateFor = (record: GossipRecord, revision: number): RecordUpdate =>
  revision >= record.valueRevision && !record.isExpired
    ? { revision: record.revision }
    : { revision: record.revision, value: record.isExpired ? null : record.value };

/**
 * Merges received updates into the records. An update is ignored unless its revision is higher than
 * the stored one, and an update without a value also where no live record is stored.
 *
 * @example
 * mergeUpdates(state, newer, 5).updatedKeys // ['node/a']
 */
export const mergeUpdates = (
  state: GossipState,
  updates: Readonly<Record<string, RecordUpdate>>,
  now: number,
): {
  readonly state: GossipState;
  readonly updatedKeys: readonly string[];
  /** The updated keys whose update carried a value. */ readonly keysWithValue: readonly string[];
} => {
  const updatedRecords: Record<string, GossipRecord> = {};
  const keysWithValue: string[] = [];
  for (const [key, { revision, ...rest }] of Object.entries(updates)) {
    const record = state.records[key];
    if (revision <= (record?.revision ?? 0)) continue;
    if ('value' in rest) {
      updatedRecords[key] = {
        revision,
        value: rest.value,
        valueRevision: revision,
        seenAt: now,
        isExpired: rest.value === null,
      };
      keysWithValue.push(key);
    } else if (record !== undefined && !record.isExpired)
      updatedRecords[key] = { ...record, revision, seenAt: now };
  }
  const updatedKeys = Object.keys(updatedRecords);
  return {
    state:
      updatedKeys.length === 0
        ? state
        : { ...state, records: { ...state.records, ...updatedRecords } },
    updatedKeys,
    keysWithValue,
  };
};

/** The revisions of all live records, by key. @example digestOf(state) // { 'node/a': 12 } */
export const digestOf = (state: GossipState): Readonly<Record<string, number>> =>
  Object.fromEntries(
    Object.entries(state.records).flatMap(([key, record]) =>
      record.isExpired ? [] : [[key, record.revision]],
    ),
  );

/**
 * Compares a received digest with the local records: which local records are newer, and which
 * records of the digest to request. An expired record is sent (with the value null) only to a node
 * that offers an older revision of it, so that an owner that restarted without its state learns
 * which revision it has to exceed.
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

/**
 * The updates for the requested keys, given the revisions that the requester has.
 *
 * @example
 * pickUpdates(state, { 'node/a': 0 })
 */
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
