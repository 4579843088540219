export * from './core.js';
export { ReplicaHost, type ReplicaLog, type ReplicaShell } from './replica-host.js';
export { runAnvil, type AnvilSettings } from './run.js';
