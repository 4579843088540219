export { Lathe } from './core.js';
export * from './state.js';
export { present } from './present.js';
