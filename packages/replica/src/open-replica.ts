/** A replica's state from the records on its disk, and the records of a snapshot of its state. */
import { Set as Group, Map as Table } from 'immutable';
import type { RegisterState } from '@reedyard/consensus';
import type { Step } from '@reedyard/task-loop';
import type { ReplicaEffect } from './events.js';
import {
  type BootstrapSettings,
  type CommittedMembership,
  isNewerMembership,
  type Membership,
  membershipKey,
} from './membership.js';
import { claimPrefix, minuteOf } from './registers.js';
import type { ReplicaState, RetainedEntry } from './state.js';
import type { ReplicaRecord } from './storage/records.js';

/** What a replica is opened with. */
export type ReplicaParts = {
  readonly name: string;
  /** The other founders, by name, with their addresses; empty with `bootstrap`. */
  readonly otherFounders: Readonly<Record<string, string>>;
  /** What the log held, oldest first. */
  readonly records: readonly ReplicaRecord[];
  /** The id that a disk gets which has none yet. */
  readonly newDiskId: string;
  /** ms of the replica's clock. */
  readonly now: number;
  /** Set where members find themselves from seeds. */
  readonly bootstrap?: BootstrapSettings | null;
};

/** What the records come to, one after the other. */
type Replay = {
  diskId: string | null;
  isVoting: boolean;
  votingEpoch: number;
  committedMembership: CommittedMembership | null;
  lastSequence: number;
  readonly registers: Map<string, RegisterState>;
  readonly entries: Map<string, RetainedEntry>;
};

const beginReplay = (): Replay => ({
  diskId: null,
  isVoting: false,
  votingEpoch: 0,
  committedMembership: null,
  lastSequence: 0,
  registers: new Map(),
  entries: new Map(),
});

const eraseReplayed = (replay: Replay, diskId: string): void => {
  replay.diskId = diskId;
  replay.isVoting = false;
  replay.votingEpoch = 0;
  replay.registers.clear();
  replay.entries.clear();
};

/** Replaying a record twice changes nothing. */
const replayRecord = (replay: Replay, record: ReplicaRecord, now: number): void => {
  switch (record.kind) {
    case 'disk-named':
      replay.diskId = record.diskId;
      return;
    case 'voting-begun':
      replay.isVoting = true;
      replay.votingEpoch = Math.max(replay.votingEpoch, record.epoch ?? 0);
      return;
    case 'disk-erased':
      eraseReplayed(replay, record.diskId);
      return;
    case 'membership-committed':
      if (isNewerMembership(record.membership, replay.committedMembership))
        replay.committedMembership = record.membership;
      return;
    case 'sequence-reached':
      replay.lastSequence = Math.max(replay.lastSequence, record.sequence);
      return;
    case 'register-written':
      replay.registers.set(record.key, record.register);
      return;
    case 'entry-appended': {
      const { sequence, entry } = record;
      replay.entries.set(entry.key, { ...entry, sequence, appendedAt: now });
      replay.lastSequence = Math.max(replay.lastSequence, sequence);
      return;
    }
  }
};

/** The membership of a disk that was written before committed ones had a record of their own. */
const acceptedMembership = (replay: Replay): CommittedMembership | null => {
  const accepted = replay.registers.get(membershipKey)?.accepted ?? null;
  if (accepted === null) return null;
  return { proposalNumber: accepted.proposalNumber, value: accepted.value as Membership };
};

/** The age of a claim is not stored: it counts from the start of the process. */
const claimTables = (
  replay: Replay,
  now: number,
): Pick<ReplicaState, 'claimMinuteByKey' | 'claimKeysByMinute'> => {
  const minute = minuteOf(now);
  const claims = [...replay.registers.keys()].filter((key) => key.startsWith(claimPrefix));
  return {
    claimMinuteByKey: Table(claims.map((key) => [key, minute])),
    claimKeysByMinute: claims.length === 0 ? Table() : Table([[minute, Group(claims)]]),
  };
};

const journalState = (
  replay: Replay,
): Pick<ReplicaState, 'entries' | 'sequenceByEntryKey' | 'lastSequence' | 'truncatedUpTo'> => {
  const entries = [...replay.entries.values()].sort(
    (left, right) => left.sequence - right.sequence,
  );
  const { lastSequence } = replay;
  return {
    entries,
    sequenceByEntryKey: Table(entries.map(({ key, sequence }) => [key, sequence])),
    lastSequence,
    truncatedUpTo: (entries[0]?.sequence ?? lastSequence + 1) - 1,
  };
};

const stateAfter = (replay: Replay, parts: ReplicaParts): ReplicaState => {
  const committedMembership = replay.committedMembership ?? acceptedMembership(replay);
  return {
    name: parts.name,
    otherFounders: parts.otherFounders,
    bootstrap: parts.bootstrap ?? null,
    committedMembership,
    diskId: replay.diskId ?? parts.newDiskId,
    hasBegunVoting: replay.isVoting,
    votingEpoch: replay.votingEpoch,
    registers: Table(replay.registers),
    ...claimTables(replay, parts.now),
    openPageReads: {},
    ...journalState(replay),
    peerReads: {},
    nextRequestId: 1,
    lastExpiryAt: parts.now,
    recoveringUntil: -Infinity,
    lastRefoundedEpoch: committedMembership?.value.refounded ?? 0,
    retirement: null,
    stopRequestedAt: null,
    spareSeenAt: -Infinity,
  };
};

/**
 * The state from what was on disk. A disk without an id gets the new one, and the effects append
 * the record that names it.
 *
 * @example
 * openReplica({ name: 'core-1', otherFounders: {}, records: [], newDiskId: 'd1', now: 0 }).state.isVoting // false
 */
export const openReplica = (parts: ReplicaParts): Step<ReplicaState, ReplicaEffect> => {
  const replay = beginReplay();
  for (const record of parts.records) replayRecord(replay, record, parts.now);
  const state = stateAfter(replay, parts);
  if (replay.diskId !== null) return { state, effects: [] };
  const records: readonly ReplicaRecord[] = [{ kind: 'disk-named', diskId: parts.newDiskId }];
  return { state, effects: [{ kind: 'append-records', records }] };
};

/**
 * The whole state as records, for a snapshot.
 *
 * @example
 * [...snapshotRecords(state)].length // 2 for a new disk: its id, and the journal's position
 */
export function* snapshotRecords(state: ReplicaState): Iterable<ReplicaRecord> {
  yield { kind: 'disk-named', diskId: state.diskId };
  if (state.hasBegunVoting) yield { kind: 'voting-begun', epoch: state.votingEpoch };
  if (state.committedMembership !== null)
    yield { kind: 'membership-committed', membership: state.committedMembership };
  yield { kind: 'sequence-reached', sequence: state.lastSequence };
  for (const [key, register] of state.registers) yield { kind: 'register-written', key, register };
  for (const { sequence, key, value } of state.entries)
    yield { kind: 'entry-appended', sequence, entry: { key, value } };
}
