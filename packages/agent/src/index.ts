export * from './terms.js';
export { Agent } from './core.js';
export type { AgentState } from './state.js';
export { runAgent, type AgentOptions, type AgentSettings } from './run.js';
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
