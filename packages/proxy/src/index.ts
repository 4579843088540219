/** The caching proxy: the reducer, its host, and the process. */
export { ProxyCore } from './core.js';
export * from './state.js';
export { present, stamped } from './present.js';
export * from './dialect.js';
export type { ProxySettings } from './proxy-host.js';
export { runProxy } from './run.js';
export { Feeds, type FeedSnapshot as HeldFeed } from './feed-snapshot.js';
export { connectTimeoutMs } from './connection-timing.js';
export { feedIntervalMs } from './feed-timing.js';
export { demandIntervalMs, measurementIntervalMs } from './reporting.js';
export { proxyTickIntervalMs } from './tick-timing.js';
