/** The replica's records on a write-ahead log: typed inside, in their stored form on disk. */
import {
  type LogFileSystem,
  openWriteAheadLog,
  type WriteAheadLog,
} from '@reedyard/write-ahead-log';
import { decodeReplicaRecord, encodeReplicaRecord } from './record-codec.js';
import type { ReplicaRecord } from './records.js';

/** Where a replica keeps its records; see `WriteAheadLog` for what each operation guarantees. */
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
  /** Gives away what was on disk at opening, oldest first; empty once it was taken. */
  readonly takeRecords: () => readonly ReplicaRecord[];
  /** Resolves once the records, and all before them, are synced. */
  readonly append: (records: readonly ReplicaRecord[]) => Promise<void>;
  /** Replaces what was appended so far by a snapshot of the state. */
  readonly compact: (state: () => Iterable<ReplicaRecord>) => Promise<void>;
};

function* encodeAll(records: Iterable<ReplicaRecord>): Iterable<unknown> {
  for (const record of records) yield encodeReplicaRecord(record);
}

/** A replica's log on an open write-ahead log. */
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
 * Opens the replica's log in a folder. It opens also with a disk that takes no writes: `available`
 * is then false, and `recover` must succeed first.
 *
 * @throws WriteAheadLogError `damaged` where something that was synced is missing
 */
export const openReplicaLog = async (folder: string, files?: LogFileSystem): Promise<ReplicaLog> =>
  replicaLogOn(await openWriteAheadLog(folder, files));
