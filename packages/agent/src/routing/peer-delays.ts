/** Network delays to other nodes, measured by pings. */

import { nodesOf } from '../gossip/known-nodes.js';
import type { AgentState } from '../state.js';
import { nextRandom, sendToAgent, type Transition, update } from '../transition.js';

/**
 * The average interval between two pings to the same peer, in milliseconds. The paper pings every few
 * minutes; here every few seconds, so that a changed delay is detected while a short fault still
 * lasts.
 */
export const pingIntervalMs = 10_000;

/** The interval between two rounds of pings, in milliseconds. */
export const pingRoundIntervalMs = 2_000;

/** Pings all peers without a measured delay, and a few random ones of the others. */
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

/** Records the round trip of a ping; the last two of each peer are kept. */
export const handlePingReply = (transition: Transition, peerId: string, seconds: number): void => {
  update(transition, {
    pingSecondsByPeer: {
      ...transition.state.pingSecondsByPeer,
      [peerId]: [...(transition.state.pingSecondsByPeer[peerId] ?? []), seconds].slice(-2),
    },
  });
};

/**
 * The delay to a peer in seconds: the minimum of the last two pings, which filters out delays on the
 * machines themselves. Null where no ping was answered.
 */
export const delaySecondsTo = (state: AgentState, peerId: string): number | null => {
  const pings = state.pingSecondsByPeer[peerId];
  return pings === undefined || pings.length === 0 ? null : Math.min(...pings);
};
