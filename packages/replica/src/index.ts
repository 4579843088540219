/** The replica: registers and a journal on a majority of disks, and the membership that votes. */
export type { ReplicaEffect, ReplicaEvent } from './events.js';
export {
  isNewerMembership,
  membershipKey,
  type BootstrapSettings,
  type CommittedMembership,
  type Membership,
  type Predecessor,
} from './membership.js';
export type {
  JournalCursor,
  JournalEntry,
  ReplicaOperation,
  ReplicaReply,
  ReplicaRequest,
} from './messages.js';
export { openReplica, snapshotRecords, type OpenReplicaOptions } from './open-replica.js';
export {
  decodeReplicaReply,
  decodeReplicaRequest,
  encodeReplicaReply,
  encodeReplicaRequest,
} from './protocol/codec.js';
export { ReplicaProtocolError } from './protocol/errors.js';
export { reduceReplica } from './reducer.js';
export { ReplicaHost, type ReplicaEnvironment } from './replica-host.js';
export { runReplica, type ReplicaSettings } from './run.js';
export { isVotingMember, type ReplicaState } from './state.js';
export type { ReplicaRecord } from './storage/records.js';
export { openReplicaLog, type ReplicaLog } from './storage/replica-log.js';
export { replicaTickIntervalMs } from './peer-reads.js';
export { journalRetentionMs, leaseDurationMs, proposalPhaseTimeoutMs } from './protocol/timing.js';
export { snapshotAfterBytes } from './snapshot-threshold.js';
