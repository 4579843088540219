export { Anvil } from './core.js';
export * from './messages.js';
export type { AnvilState } from './state.js';
export { ReplicaHost, type ReplicaLog, type ReplicaShell } from './replica-host.js';
export { runAnvil, type AnvilSettings } from './run.js';
