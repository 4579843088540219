/**
 * Records that gossip distributes. Each record has one owner, which raises the revision with each
 * change; a higher revision replaces a lower one. A revision without a new value is the owner's
 * heartbeat.
 */

import type { Neighbour } from './partial-view.js';

/** How long a node's record is kept without a heartbeat, in milliseconds. */
export const nodeRetentionMs = 30_000;

/**
 * How long an origin's record is kept without a new description, in milliseconds. Origins describe
 * themselves every few seconds.
 */
export const originRetentionMs = 10_000;

/** A record as this node stores it. */
export type GossipRecord = {
  readonly revision: number;
  readonly value: unknown;
  /** The first revision with this value: a node that has this revision or a later one has the value. */
  readonly valueRevision: number;
  /** When this node received the current revision, in milliseconds of its monotonic clock. */
  readonly seenAt: number;
  /** Whether the record expired. Its revision stays, so that a late copy does not restore the value. */
  readonly isExpired: boolean;
};

/** The gossip state of a node: records by key, and a partial view of the other nodes. */
export type GossipState = {
  readonly records: Readonly<Record<string, GossipRecord>>;
  readonly view: readonly Neighbour[];
};

/** A record that has not expired: its key, its value, and when its revision was received. */
export type LiveRecord = readonly [key: string, value: unknown, seenAt: number];

const retentionMsOf = (key: string): number =>
  key.startsWith('origin/') ? originRetentionMs : nodeRetentionMs;

/** A cache of the live records by key prefix, for each immutable table of records. */
const liveRecordsByPrefix = new WeakMap<
  GossipState['records'],
  Map<string, readonly LiveRecord[]>
>();

/** The gossip state of a node that has received nothing yet. */
export const emptyGossip = { records: {}, view: [] } as GossipState;

/**
 * The value of a live record; undefined where the key is unknown or its record expired.
 *
 * @example
 * recordValue(state, 'node/front-1')
 */
export const recordValue = (state: GossipState, key: string): unknown => {
  const record = state.records[key];
  return record === undefined || record.isExpired ? undefined : record.value;
};

/**
 * All live records whose keys start with a prefix.
 *
 * @example
 * liveRecords(state, 'origin/') // [[key, value, seenAt], …]
 */
export const liveRecords = (
  state: GossipState,
  prefix: string,
): readonly (readonly [key: string, value: unknown, seenAt: number])[] => {
  let recordsByPrefix = liveRecordsByPrefix.get(state.records);
  if (recordsByPrefix === undefined) {
    recordsByPrefix = new Map();
    liveRecordsByPrefix.set(state.records, recordsByPrefix);
  }
  let matching = recordsByPrefix.get(prefix);
  if (matching === undefined) {
    matching = Object.entries(state.records).flatMap(([key, record]) =>
      key.startsWith(prefix) && !record.isExpired
        ? [[key, record.value, record.seenAt] as const]
        : [],
    );
    recordsByPrefix.set(prefix, matching);
  }
  return matching;
};

/**
 * Publishes a new value, for a record of this node or on behalf of an origin, with a revision above
 * every revision seen. Where the origin numbers its descriptions, each node that receives one uses
 * the number as the minimum revision, so that of two descriptions sent to different nodes the later
 * one wins.
 *
 * @example
 * publishRecord(state, 'node/a', {}, 5)
 */
export const publishRecord = (
  state: GossipState,
  key: string,
  value: unknown,
  now: number,
  minRevision = 1,
): GossipState => {
  const revision = Math.max((state.records[key]?.revision ?? 0) + 1, minRevision);
  return {
    ...state,
    records: {
      ...state.records,
      [key]: { revision, value, valueRevision: revision, seenAt: now, isExpired: false },
    },
  };
};

/**
 * Raises the revision of an unchanged record as a heartbeat. Only the record's sole publisher may
 * do this, since a node that has an earlier revision is not sent the value again.
 *
 * @example
 * renewRecord(state, 'node/a', 500)
 */
export const renewRecord = (state: GossipState, key: string, now: number): GossipState => {
  const record = state.records[key];
  return record === undefined || record.isExpired
    ? state
    : {
        ...state,
        records: {
          ...state.records,
          [key]: { ...record, revision: record.revision + 1, seenAt: now },
        },
      };
};

/**
 * The number of revisions since the value of a record was last published in full.
 *
 * @example
 * renewalsSinceValue(state, 'node/a') // 0
 */
export const renewalsSinceValue = (state: GossipState, key: string): number => {
  const record = state.records[key];
  return record === undefined ? 0 : record.revision - record.valueRevision;
};

/**
 * Replaces the value of a record on this node alone: the revision stays, so gossip does not send
 * the new value.
 *
 * @example
 * replaceValueLocally(state, 'origin/s/i', value)
 */
export const replaceValueLocally = (
  state: GossipState,
  key: string,
  value: unknown,
): GossipState => {
  const record = state.records[key];
  return record === undefined
    ? state
    : { ...state, records: { ...state.records, [key]: { ...record, value } } };
};

/**
 * Expires the records that were not renewed within their retention time. Their revisions stay, so
 * that a late copy does not restore the values.
 *
 * @example
 * expireRecords(state, 99_000).expiredKeys // ['origin/s/i']
 */
export const expireRecords = (
  state: GossipState,
  now: number,
): { readonly state: GossipState; readonly expiredKeys: readonly string[] } => {
  const expiredKeys = Object.entries(state.records).flatMap(([key, record]) =>
    !record.isExpired && now - record.seenAt > retentionMsOf(key) ? [key] : [],
  );
  if (expiredKeys.length === 0) return { state, expiredKeys };
  return {
    state: {
      ...state,
      records: {
        ...state.records,
        ...Object.fromEntries(
          expiredKeys.map((key) => [key, { ...state.records[key], value: null, isExpired: true }]),
        ),
      },
    },
    expiredKeys,
  };
};
