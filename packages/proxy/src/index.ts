export { ProxyCore } from './core.js';
export * from './state.js';
export { present, stamped } from './present.js';
export * from './dialect.js';
export { runProxy, type ProxySettings } from './run.js';
export { Feeds, type HeldFeed } from './feeds.js';
