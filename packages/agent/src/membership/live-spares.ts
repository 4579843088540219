/**
 * Blank replicas that recently replied to this agent, by address: direct evidence, independent of
 * gossip, that they are running.
 */

import type { AgentState } from '../state.js';

/**
 * How recently a blank replica must have replied to be assigned the slot of a suspected member, in
 * milliseconds.
 */
export const spareMaxAgeMs = 700;

/** Returns the spare replicas that replied to this agent within `spareMaxAgeMs`. */
export const liveSpares = (state: AgentState): AgentState['spares'] =>
  Object.fromEntries(
    Object.entries(state.spares).filter(([, { at }]) => state.now - at < spareMaxAgeMs),
  );
