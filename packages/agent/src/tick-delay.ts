/** Whether this process was itself held up: its ticks come late, and so do all replies. */

import { Limits } from '@reedyard/constants';
import type { AgentState } from './state.js';
import { type Transition, update } from './transition.js';

/** Whether beats stopped for a while until now: whatever waits here waited for that. */
export const isTickLate = (state: AgentState): boolean =>
  state.now - state.lastTickAt > Limits.lateBeat;

/** Notes that a beat came, and whether it came late. */
export const noteTick = (transition: Transition): void => {
  const { state } = transition;
  update(transition, {
    lastTickAt: state.now,
    lastLateTickAt: isTickLate(state) ? state.now : state.lastLateTickAt,
  });
};
