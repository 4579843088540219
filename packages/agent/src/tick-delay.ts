/** Whether this process was itself held up: its ticks come late, and so do all replies. */

import type { AgentState } from './state.js';
import { type Transition, update } from './transition.js';

/**
 * ms. An agent's own beat; every other beat is a multiple of it, so it bounds their jitter. To
 * wake an idle process costs some 0.13 ms, so ten times a second 0.13 % of a core.
 */
export const agentTickIntervalMs = 100;

/** ms. A beat that comes this late shows that the process, not the network, is slow. */
export const lateTickThresholdMs = 400;

/** Whether beats stopped for a while until now: whatever waits here waited for that. */
export const isTickLate = (state: AgentState): boolean =>
  state.now - state.lastTickAt > lateTickThresholdMs;

/** Notes that a beat came, and whether it came late. */
export const recordTick = (transition: Transition): void => {
  const { state } = transition;
  update(transition, {
    lastTickAt: state.now,
    lastLateTickAt: isTickLate(state) ? state.now : state.lastLateTickAt,
  });
};
