/** Blank replicas that answered this agent lately, by address: its own proof that they live. */

import { Limits } from '@reedyard/constants';
import type { AgentState } from '../state.js';

/** OriginStandIn replicas that answered this agent lately. */
export const liveSpares = (state: AgentState): AgentState['spares'] =>
  Object.fromEntries(
    Object.entries(state.spares).filter(([, { at }]) => state.now - at < Limits.spareHeard),
  );
