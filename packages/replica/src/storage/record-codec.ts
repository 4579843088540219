/**
 * Maps a replica's records between their types in `records.ts` and their form on disk.
 *
 * The stored form must not change: a new version must read the data of earlier versions, and an
 * earlier version that of a new version, since machines are upgraded and rolled back. A test checks
 * the stored form against data of an earlier version (`stored-data.test.ts`).
 */
import { decodeRegister, encodeRegister, type WireRegister } from '@reedyard/consensus';
import { ReplicaProtocolError } from '../protocol/errors.js';
import type { WireEntry } from '../protocol/wire-format.js';
import {
  decodeMembership,
  encodeMembership,
  type WireCommittedMembership,
} from '../protocol/wire-membership.js';
import type { ReplicaRecord } from './records.js';

/** A record in the form in which it is stored on disk. */
export type StoredRecord =
  | { readonly kind: 'disk'; readonly disk: string }
  | { readonly kind: 'voting'; readonly epoch?: number }
  | { readonly kind: 'blanked'; readonly disk: string }
  | { readonly kind: 'told'; readonly members: WireCommittedMembership }
  | { readonly kind: 'place'; readonly seq: number }
  | { readonly kind: 'cell'; readonly key: string; readonly cell: WireRegister }
  | { readonly kind: 'fact'; readonly seq: number; readonly fact: WireEntry };

/** Encodes a record for the disk. */
export const encodeReplicaRecord = (record: ReplicaRecord): StoredRecord => {
  switch (record.kind) {
    case 'disk-named':
      return { kind: 'disk', disk: record.diskId };
    case 'voting-begun':
      return {
        kind: 'voting',
        ...(record.epoch === undefined ? {} : { epoch: record.epoch }),
      };
    case 'disk-erased':
      return { kind: 'blanked', disk: record.diskId };
    case 'membership-committed':
      return { kind: 'told', members: encodeMembership(record.membership) };
    case 'sequence-reached':
      return { kind: 'place', seq: record.sequence };
    case 'register-written':
      return { kind: 'cell', key: record.key, cell: encodeRegister(record.register) };
    case 'entry-appended':
      return {
        kind: 'fact',
        seq: record.sequence,
        fact: { key: record.entry.key, value: record.entry.value },
      };
  }
};

/**
 * Decodes a record from disk.
 *
 * @throws ReplicaProtocolError `unknown-record` if this version does not know the record
 */
export const decodeReplicaRecord = (stored: unknown): ReplicaRecord => {
  const record = stored as StoredRecord;
  switch (record.kind) {
    case 'disk':
      return { kind: 'disk-named', diskId: record.disk };
    case 'voting':
      return {
        kind: 'voting-begun',
        ...(record.epoch === undefined ? {} : { epoch: record.epoch }),
      };
    case 'blanked':
      return { kind: 'disk-erased', diskId: record.disk };
    case 'told':
      return { kind: 'membership-committed', membership: decodeMembership(record.members) };
    case 'place':
      return { kind: 'sequence-reached', sequence: record.seq };
    case 'cell':
      return { kind: 'register-written', key: record.key, register: decodeRegister(record.cell) };
    case 'fact':
      return {
        kind: 'entry-appended',
        sequence: record.seq,
        entry: { key: record.fact.key, value: record.fact.value },
      };
    default:
      throw new ReplicaProtocolError(
        'unknown-record',
        `unknown record: ${String((record satisfies never as { readonly kind?: unknown }).kind)}`,
      );
  }
};
