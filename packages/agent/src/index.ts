export * from './messages.js';
export { openAgent, reduceAgent } from './reducer.js';
export type { AgentState } from './state.js';
export { runAgent, type AgentOptions, type AgentSettings } from './run.js';
export {
  translatedServer,
  type PerformAction as Act,
  type TranslatedApi as Api,
  type ApiRequest,
  type ApiResponse,
  type ApiReply as Reply,
} from './api/api-server.js';
export type {
  ControlStatus,
  MemberState,
  MemberStatus,
  NodeStatus,
  OriginStatus,
  SpareStatus,
} from './api/status.js';
