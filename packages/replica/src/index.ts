export { Replica } from './core.js';
export * from './messages.js';
export type { ReplicaState } from './state.js';
export { ReplicaHost, type ReplicaLog, type ReplicaShell } from './replica-host.js';
export { runReplica, type ReplicaSettings } from './run.js';
export { isMember } from './state.js';
