/**
 * Records that spread by gossip. Each has one owner, who raises its revision with each change; a
 * higher revision replaces a lower one. A revision without a new value is the owner's heartbeat.
 */

import type { Neighbour } from './partial-view.js';

/** ms. A node's record is dropped after this silence. */
export const nodeRetentionMs = 30_000;

/** ms. An origin that does not describe itself this long is forgotten; it speaks every few s. */
export const originRetentionMs = 10_000;

/** A record as this node holds it. */
export type GossipRecord = {
  readonly revision: number;
  readonly value: unknown;
  /** The revision that first had this value: whoever holds it or a later one has the value. */
  readonly valueRevision: number;
  /** ms of this node's clock at which the present revision came. */
  readonly seenAt: number;
  /** It expired. The revision stays, so that a late copy does not bring the value back. */
  readonly isExpired: boolean;
};

/** What a node holds: records by key, and a partial view of the other nodes. */
export type GossipState = {
  readonly records: Readonly<Record<string, GossipRecord>>;
  readonly view: readonly Neighbour[];
};

/** A live record: its key, its value, and when its revision came. */
export type LiveRecord = readonly [key: string, value: unknown, seenAt: number];

const retentionMsOf = (key: string): number =>
  key.startsWith('origin/') ? originRetentionMs : nodeRetentionMs;

/** Live records of each prefix that was asked for, found once for each table of records. */
const liveRecordsByPrefix = new WeakMap<
  GossipState['records'],
  Map<string, readonly LiveRecord[]>
>();

/** A node that has heard of nothing yet. */
export const emptyGossip = { records: {}, view: [] } as GossipState;

/** The value under a key, if it is known and not forgotten. @example recordValue(state, 'node/front-1') */
export const recordValue = (state: GossipState, key: string): unknown => {
  const record = state.records[key];
  return record === undefined || record.isExpired ? undefined : record.value;
};

/** All live records of a kind. @example liveRecords(state, 'origin/') // [[key, value, seenAt], …] */
export const liveRecords = (
  state: GossipState,
  prefix: string,
): readonly (readonly [key: string, value: unknown, seenAt: number])[] => {
  let known = liveRecordsByPrefix.get(state.records);
  if (known === undefined) {
    known = new Map();
    liveRecordsByPrefix.set(state.records, known);
  }
  let found = known.get(prefix);
  if (found === undefined) {
    found = Object.entries(state.records).flatMap(([key, record]) =>
      key.startsWith(prefix) && !record.isExpired
        ? [[key, record.value, record.seenAt] as const]
        : [],
    );
    known.set(prefix, found);
  }
  return found;
};

/**
 * Tells something of one's own (or a guest's), above any revision seen. Where a guest numbers
 * what it says, nodes that hear different words of it each take its number for the least
 * revision, so that the later one wins.
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
 * Tells a value of one's own again that has not changed: its new revision says that one lives.
 * Only for a key that nobody else tells, since who has an earlier revision is not given the value
 * again.
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
 * Revisions since the value under a key was last sent in full. @example renewalsSinceFull(state,
 * 'node/a') // 0
 */
export const renewalsSinceFull = (state: GossipState, key: string): number => {
  const record = state.records[key];
  return record === undefined ? 0 : record.revision - record.valueRevision;
};

/** Changes a value held here without telling it to others. @example replaceLocally(state, 'origin/s/i', value) */
export const replaceLocally = (state: GossipState, key: string, value: unknown): GossipState => {
  const record = state.records[key];
  return record === undefined
    ? state
    : { ...state, records: { ...state.records, [key]: { ...record, value } } };
};

/** Forgets what went silent; its revision stays, so that a late copy does not bring it back. @example expireRecords(state, 99_000) */
export const expireRecords = (
  state: GossipState,
  now: number,
): { readonly state: GossipState; readonly expiredKeys: readonly string[] } => {
  const gone = Object.entries(state.records).flatMap(([key, record]) =>
    !record.isExpired && now - record.seenAt > retentionMsOf(key) ? [key] : [],
  );
  if (gone.length === 0) return { state, expiredKeys: gone };
  return {
    state: {
      ...state,
      records: {
        ...state.records,
        ...Object.fromEntries(
          gone.map((key) => [key, { ...state.records[key], value: null, isForgotten: true }]),
        ),
      },
    },
    expiredKeys: gone,
  };
};
