/** Stores the replica's records in a write-ahead log, encoded by `record-codec.ts`. */
import {
  type LogFileSystem,
  openWriteAheadLog,
  type WriteAheadLog,
} from '@reedyard/write-ahead-log';
import { decodeReplicaRecord, encodeReplicaRecord } from './record-codec.js';
import type { ReplicaRecord } from './records.js';

/** The log of a replica's records; see `WriteAheadLog` for the guarantees of each operation. */
export type ReplicaLog = Pick<
  WriteAheadLog,
  | 'available'
  | 'failure'
  | 'settled'
  | 'recover'
  | 'segmentBytes'
  | 'snapshotBytes'
  | 'fragmented'
  | 'close'
> & {
  /** Returns the records found on disk at opening, oldest first, and releases them. */
  readonly takeRecords: () => readonly ReplicaRecord[];
  /** Appends records; resolves once they, and all records before them, are synced. */
  readonly append: (records: readonly ReplicaRecord[]) => Promise<void>;
  /** Replaces all records appended so far by a snapshot of the state. */
  readonly compact: (state: () => Iterable<ReplicaRecord>) => Promise<void>;
};

function* encodeAll(records: Iterable<ReplicaRecord>): Iterable<unknown> {
  for (const record of records) yield encodeReplicaRecord(record);
}

/** Wraps an open write-ahead log as a replica's log. */
const replicaLogOn = (log: WriteAheadLog): ReplicaLog => ({
  available: () => log.available(),
  failure: () => log.failure(),
  settled: () => log.settled(),
  recover: () => log.recover(),
  segmentBytes: () => log.segmentBytes(),
  snapshotBytes: () => log.snapshotBytes(),
  fragmented: () => log.fragmented(),
  close: () => log.close(),
  takeRecords: () => log.takeRecords().map(decodeReplicaRecord),
  append: (records) => log.append(records.map(encodeReplicaRecord)),
  compact: (state) => log.compact(() => encodeAll(state())),
});

/**
 * Opens the replica's log in a folder. Opening succeeds even if the disk accepts no writes: then
 * `available` returns false, and `recover` must succeed before records can be appended.
 *
 * @throws WriteAheadLogError `damaged` if data that was synced is missing
 */
export const openReplicaLog = async (folder: string, files?: LogFileSystem): Promise<ReplicaLog> =>
  replicaLogOn(await openWriteAheadLog(folder, files));
