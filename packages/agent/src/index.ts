/**
 * The agent of a node: its lease, its gossip, its proposals, the API, and the feed to its proxy.
 */
export * from './messages.js';
export { openAgent, type AgentInit } from './open-agent.js';
export { reduceAgent } from './reducer.js';
export type { AgentState } from './state.js';
export { runAgent, type AgentOptions, type AgentSettings } from './run.js';
export {
  apiAdapterServer,
  type ActionHandler,
  type ApiAdapter,
  type ApiRequest,
  type ApiResponse,
  type ActionResponse,
} from './api/api-server.js';
export type {
  ControlStatus,
  MemberState,
  MemberStatus,
  NodeStatus,
  OriginStatus,
  SpareStatus,
} from './api/status.js';
export { leaseDurationMs } from '@reedyard/replica';
export { retryAfterSeconds } from './api/action-replies.js';
export { maxPolicyBytes, maxRequestHeadBytes, requestHeadTimeoutMs } from './api/http-limits.js';
export { noLeasePollIntervalMs, pollIntervalAtRestMs } from './control/lease.js';
export { replicaTimeoutMs } from './control/reachability.js';
export { gossipIntervalMs } from './gossip/gossip-exchange.js';
export { evacuationGraceMs } from './gossip/known-nodes.js';
export { proposalTimeoutMs } from './proposals/proposal-state.js';
export { allocationIntervalMs } from './quota/quota-leadership.js';
export { pingRoundIntervalMs } from './routing/peer-delays.js';
export { agentTickIntervalMs } from './tick-delay.js';
