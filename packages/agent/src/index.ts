/**
 * The agent: a node's lease, its part in gossip and proposals, the API, and the feed of its proxy.
 */
export * from './messages.js';
export { openAgent, type AgentParts as AgentInit } from './open-agent.js';
export { reduceAgent } from './reducer.js';
export type { AgentState } from './state.js';
export { runAgent, type AgentOptions, type AgentSettings } from './run.js';
export {
  translatedServer as apiAdapterServer,
  type PerformAction as ActionHandler,
  type TranslatedApi as ApiAdapter,
  type ApiRequest,
  type ApiResponse,
  type ApiReply as ActionResponse,
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
