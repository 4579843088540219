/**
 * Decides how long an agent that was asked to stop still serves this machine's proxy. The proxy
 * drains its requests under the agent's lease, so the agent exits after the proxy.
 */
import type { AgentState } from '../state.js';

/** After this time without a feed request, three times their interval, the proxy has exited, in milliseconds. */
export const proxyExitTimeoutMs = 750;

/**
 * How long a proxy that does not report that it is stopping may still do so, in milliseconds. Both
 * processes of a machine are asked to stop at about the same time.
 */
export const stopNoticeMs = 1_000;

/**
 * Whether this machine's proxy still needs its agent, `now - stopRequestedAt` after the agent was
 * asked to stop.
 *
 * @example
 * isProxyDraining(state, stopRequestedAt, now()) // false once the proxy has exited
 */
export const isProxyDraining = (
  { lastProxyReport }: AgentState,
  stopRequestedAt: number,
  now: number,
): boolean => {
  if (lastProxyReport === null || now - lastProxyReport.at >= proxyExitTimeoutMs) return false;
  return lastProxyReport.content.stopping || now - stopRequestedAt < stopNoticeMs;
};
