/** The caching proxy: its reducer, its wire formats, and its process. */
export { ProxyCore } from './core.js';
export * from './state.js';
export {
  conditionalResponseOf as present,
  stripOriginIdFields as stamped,
} from './conditional-response.js';
export * from './wire-format.js';
export type { ProxySettings } from './proxy-host.js';
export { runProxy } from './run.js';
export { Feeds, type FeedSnapshot } from './feed-snapshot.js';
export { connectTimeoutMs } from './connection-timing.js';
export { feedIntervalMs } from './feed-timing.js';
export { demandIntervalMs, measurementIntervalMs } from './reporting.js';
export { proxyTickIntervalMs } from './tick-timing.js';
