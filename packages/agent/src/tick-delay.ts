/** Detects that this process was delayed: its ticks are late then, and so is its handling of replies. */

import type { AgentState } from './state.js';
import { type Transition, update } from './transition.js';

/**
 * The interval of an agent's tick in milliseconds. All other intervals are checked at ticks, so it
 * bounds their jitter. Waking an idle process costs about 0.13 ms of CPU time: at 10 ticks per second
 * that is 0.13 % of a core.
 */
export const agentTickIntervalMs = 100;

/**
 * The time since the previous tick, in milliseconds, above which a tick is late: then the process,
 * not the network, is slow.
 */
export const lateTickThresholdMs = 400;

/** Whether no tick ran for a while until now, so that waiting events were delayed by this process. */
export const isTickLate = (state: AgentState): boolean =>
  state.now - state.lastTickAt > lateTickThresholdMs;

/** Records the time of a tick, and whether the tick was late. */
export const recordTick = (transition: Transition): void => {
  const { state } = transition;
  update(transition, {
    lastTickAt: state.now,
    lastLateTickAt: isTickLate(state) ? state.now : state.lastLateTickAt,
  });
};
