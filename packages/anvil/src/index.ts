export * from './core.js';
export { runAnvil, type AnvilSettings } from './run.js';
