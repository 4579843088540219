export * from './terms.js';
export { Jig } from './core.js';
export type { JigState } from './state.js';
export { runJig, type JigOptions, type JigSettings } from './run.js';
export {
  translatedServer,
  type Act,
  type Api,
  type ApiRequest,
  type ApiResponse,
  type Reply,
} from './api.js';
export type {
  ControlStatus,
  MemberState,
  MemberStatus,
  NodeStatus,
  OriginStatus,
  SpareStatus,
} from './status.js';
