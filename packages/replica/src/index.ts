export { Replica } from './core.js';
export * from './messages.js';
export type { ReplicaState } from './state.js';
export { ReplicaHost, type ReplicaShell } from './replica-host.js';
export {
  decodeReplicaReply,
  decodeReplicaRequest,
  encodeReplicaReply,
  encodeReplicaRequest,
} from './protocol/codec.js';
export { ReplicaProtocolError } from './protocol/errors.js';
export { openReplicaLog, type ReplicaLog } from './storage/replica-log.js';
export { runReplica, type ReplicaSettings } from './run.js';
export { isVotingMember as isMember } from './state.js';
