/** Delays to other nodes, measured by pings. */

import { nodesOf } from '../gossip/known-nodes.js';
import type { AgentState } from '../state.js';
import { nextRandom, sendToAgent, type Transition, update } from '../transition.js';

/**
 * ms. A ping to each peer in the network, on the average (the paper: every few minutes; a
 * changed delay must be seen inside one closing fault, so seconds here).
 */
export const pingIntervalMs = 10_000;

/** ms. Peers that were not yet measured are pinged, and of the others a drawn few. */
export const pingRoundIntervalMs = 2_000;

/** Pings peers that were not yet measured, and a drawn few of the others. */
export const pingPeers = (transition: Transition): void => {
  if (transition.state.self.proxy === null) return;
  for (const { record } of nodesOf(transition.state)) {
    if (record.id === transition.state.self.id || record.proxy === null) continue;
    if (
      transition.state.pingSecondsByPeer[record.id] !== undefined &&
      nextRandom(transition) >= pingRoundIntervalMs / pingIntervalMs
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

/** Notes how long a peer took to answer a ping; the last two count. */
export const handlePingReply = (transition: Transition, edge: string, seconds: number): void => {
  update(transition, {
    pingSecondsByPeer: {
      ...transition.state.pingSecondsByPeer,
      [edge]: [...(transition.state.pingSecondsByPeer[edge] ?? []), seconds].slice(-2),
    },
  });
};

/** s. The least of the last two pings: what the path takes without the machine's own noise. */
export const delaySecondsTo = (state: AgentState, edge: string): number | null => {
  const known = state.pingSecondsByPeer[edge];
  return known === undefined || known.length === 0 ? null : Math.min(...known);
};
