/** The nodes that gossip tells of, and which of them serve or hold quotas. */

import { Limits } from '@reedyard/constants';
import { liveRecords } from '@reedyard/gossip';
import { zonesOf } from '../control/registers.js';
import type { NodeRecord } from '../messages.js';
import type { AgentState } from '../state.js';

/** Every node heard of that is not forgotten. */
export const nodesOf = (
  state: AgentState,
): readonly { readonly record: NodeRecord; readonly seenAt: number }[] =>
  liveRecords(state.gossip, 'node/').map(([, value, seenAt]) => ({
    record: value as NodeRecord,
    seenAt,
  }));

const isLive = (state: AgentState, seenAt: number, id: string): boolean =>
  id === state.self.id || state.now - seenAt < Limits.peerSilence;

/** Nodes with a proxy that may be given forwarded requests or slices. */
export const servingNodes = (state: AgentState): readonly NodeRecord[] => {
  const emptied = zonesOf(state)?.emptied ?? [];
  return nodesOf(state).flatMap(({ record, seenAt }) =>
    record.proxy !== null &&
    record.ready &&
    isLive(state, seenAt, record.id) &&
    !emptied.includes(record.zone)
      ? [record]
      : [],
  );
};

/**
 * Nodes that hold slices. Those of a zone just emptied keep them while they still answer
 * stragglers.
 */
export const quotaNodes = (state: AgentState): readonly NodeRecord[] => {
  const settled = state.now - (state.registers.zones?.at ?? 0) > Limits.lease + Limits.emptyGrace;
  const emptied = settled ? (zonesOf(state)?.emptied ?? []) : [];
  return nodesOf(state).flatMap(({ record, seenAt }) =>
    record.staying && isLive(state, seenAt, record.id) && !emptied.includes(record.zone)
      ? [record]
      : [],
  );
};
