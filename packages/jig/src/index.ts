export * from './terms.js';
export { Jig } from './core.js';
export type { JigState } from './state.js';
