export { Anvil } from './core.js';
export * from './messages.js';
export type { AnvilState } from './state.js';
export { runAnvil, type AnvilSettings } from './run.js';
