/** Restores a replica's state from the records on its disk, and writes the state as a snapshot. */
import { Set as ImmutableSet, Map as ImmutableMap } from 'immutable';
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

/** Options for opening a replica. */
export type OpenReplicaOptions = {
  readonly name: string;
  /** Addresses of the other founders, by name; empty if `bootstrap` is set. */
  readonly otherFounders: Readonly<Record<string, string>>;
  /** The records in the log, oldest first. */
  readonly records: readonly ReplicaRecord[];
  /** The id for a disk that has none yet. */
  readonly newDiskId: string;
  /** The time on the replica's clock, in milliseconds. */
  readonly now: number;
  /** Set if the cluster is founded from seeds. */
  readonly bootstrap?: BootstrapSettings | null;
};

/** The state accumulated while the records are replayed in order. */
type Replay = {
  diskId: string | null;
  hasBegunVoting: boolean;
  votingEpoch: number;
  committedMembership: CommittedMembership | null;
  lastSequence: number;
  readonly registers: Map<string, RegisterState>;
  readonly entries: Map<string, RetainedEntry>;
};

const emptyReplay = (): Replay => ({
  diskId: null,
  hasBegunVoting: false,
  votingEpoch: 0,
  committedMembership: null,
  lastSequence: 0,
  registers: new Map(),
  entries: new Map(),
});

const replayErasure = (replay: Replay, diskId: string): void => {
  replay.diskId = diskId;
  replay.hasBegunVoting = false;
  replay.votingEpoch = 0;
  replay.registers.clear();
  replay.entries.clear();
};

/** Applies a record to the state. Replaying a record twice changes nothing. */
const replayRecord = (replay: Replay, record: ReplicaRecord, now: number): void => {
  switch (record.kind) {
    case 'disk-named':
      replay.diskId = record.diskId;
      return;
    case 'voting-begun':
      replay.hasBegunVoting = true;
      replay.votingEpoch = Math.max(replay.votingEpoch, record.epoch ?? 0);
      return;
    case 'disk-erased':
      replayErasure(replay, record.diskId);
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

/** Returns the membership of a disk written before committed memberships had their own record. */
const acceptedMembership = (replay: Replay): CommittedMembership | null => {
  const accepted = replay.registers.get(membershipKey)?.accepted ?? null;
  if (accepted === null) return null;
  return { proposalNumber: accepted.proposalNumber, value: accepted.value as Membership };
};

/** Builds the claim tables. A claim's age is not stored, so it counts from the process start. */
const claimTables = (
  replay: Replay,
  now: number,
): Pick<ReplicaState, 'claimMinuteByKey' | 'claimKeysByMinute'> => {
  const minute = minuteOf(now);
  const claims = [...replay.registers.keys()].filter((key) => key.startsWith(claimPrefix));
  return {
    claimMinuteByKey: ImmutableMap(claims.map((key) => [key, minute])),
    claimKeysByMinute:
      claims.length === 0 ? ImmutableMap() : ImmutableMap([[minute, ImmutableSet(claims)]]),
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
    sequenceByEntryKey: ImmutableMap(entries.map(({ key, sequence }) => [key, sequence])),
    lastSequence,
    truncatedUpTo: (entries[0]?.sequence ?? lastSequence + 1) - 1,
  };
};

const stateAfter = (replay: Replay, options: OpenReplicaOptions): ReplicaState => {
  const committedMembership = replay.committedMembership ?? acceptedMembership(replay);
  return {
    name: options.name,
    otherFounders: options.otherFounders,
    bootstrap: options.bootstrap ?? null,
    committedMembership,
    diskId: replay.diskId ?? options.newDiskId,
    hasBegunVoting: replay.hasBegunVoting,
    votingEpoch: replay.votingEpoch,
    registers: ImmutableMap(replay.registers),
    ...claimTables(replay, options.now),
    openPageReads: {},
    ...journalState(replay),
    peerReads: {},
    nextRequestId: 1,
    lastExpiryAt: options.now,
    recoveringUntil: -Infinity,
    lastRefoundedEpoch: committedMembership?.value.refounded ?? 0,
    retirement: null,
    stopRequestedAt: null,
    spareSeenAt: -Infinity,
  };
};

/**
 * Restores the state from the records on disk. A disk without an id gets `newDiskId`, and the
 * effects append the record of it.
 *
 * @example
 * openReplica({ name: 'core-1', otherFounders: {}, records: [], newDiskId: 'd1', now: 0 }).state.hasBegunVoting // false
 */
export const openReplica = (options: OpenReplicaOptions): Step<ReplicaState, ReplicaEffect> => {
  const replay = emptyReplay();
  for (const record of options.records) replayRecord(replay, record, options.now);
  const state = stateAfter(replay, options);
  if (replay.diskId !== null) return { state, effects: [] };
  const records: readonly ReplicaRecord[] = [{ kind: 'disk-named', diskId: options.newDiskId }];
  return { state, effects: [{ kind: 'append-records', records }] };
};

/**
 * Yields the complete state as records, for a snapshot.
 *
 * @example
 * [...snapshotRecords(state)].length // 2 for a new disk: its id, and the journal's last sequence
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
