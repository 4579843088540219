/** Delays to other nodes, measured by pings. */

import { Beats } from '@reedyard/constants';
import { nodesOf } from '../gossip/known-nodes.js';
import type { AgentState } from '../state.js';
import { nextRandom, sendToAgent, type Transition, update } from '../transition.js';

/** Pings peers that were not yet measured, and a drawn few of the others. */
export const pingPeers = (transition: Transition): void => {
  if (transition.state.self.proxy === null) return;
  for (const { record } of nodesOf(transition.state)) {
    if (record.id === transition.state.self.id || record.proxy === null) continue;
    if (
      transition.state.delaysByPeer[record.id] !== undefined &&
      nextRandom(transition) >= Beats.pingDraw / Beats.ping
    )
      continue;
    sendToAgent(
      transition,
      record.address,
      { kind: 'ping' },
      { kind: 'ping', peerId: record.id, sentAt: transition.state.now },
    );
  }
};

export const handlePingReply = (transition: Transition, edge: string, seconds: number): void => {
  update(transition, {
    delaysByPeer: {
      ...transition.state.delaysByPeer,
      [edge]: [...(transition.state.delaysByPeer[edge] ?? []), seconds].slice(-2),
    },
  });
};

/** s. The least of the last two pings: what the path takes without the machine's own noise. */
export const delayTo = (state: AgentState, edge: string): number | null => {
  const known = state.delaysByPeer[edge];
  return known === undefined || known.length === 0 ? null : Math.min(...known);
};
