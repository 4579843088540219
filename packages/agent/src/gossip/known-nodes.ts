/** The nodes that are known from gossip, and which of them serve requests or have quotas. */

import { liveRecords } from '@reedyard/gossip';
import { leaseDurationMs } from '@reedyard/replica';
import { zonesOf } from '../control/registers.js';
import type { NodeRecord } from '../messages.js';
import type { AgentState } from '../state.js';

/**
 * How long the proxies of a zone keep serving late clients after the zone was evacuated, in
 * milliseconds.
 */
export const evacuationGraceMs = 2_000;

/** How long a peer without a new heartbeat still gets forwarded requests, in milliseconds. */
export const peerTimeoutMs = 2_500;

/** All nodes whose gossip records have not expired. */
export const nodesOf = (
  state: AgentState,
): readonly { readonly record: NodeRecord; readonly seenAt: number }[] =>
  liveRecords(state.gossip, 'node/').map(([, value, seenAt]) => ({
    record: value as NodeRecord,
    seenAt,
  }));

const isLive = (state: AgentState, seenAt: number, id: string): boolean =>
  id === state.self.id || state.now - seenAt < peerTimeoutMs;

/** Nodes whose proxies may receive forwarded requests: ready, live, and not in an evacuated zone. */
export const servingNodes = (state: AgentState): readonly NodeRecord[] => {
  const evacuatedZones = zonesOf(state)?.emptied ?? [];
  return nodesOf(state).flatMap(({ record, seenAt }) =>
    record.proxy !== null &&
    record.ready &&
    isLive(state, seenAt, record.id) &&
    !evacuatedZones.includes(record.zone)
      ? [record]
      : [],
  );
};

/**
 * Nodes that have quotas. The nodes of a zone that was just evacuated keep their quotas while they
 * still serve late clients.
 */
export const quotaNodes = (state: AgentState): readonly NodeRecord[] => {
  const isSettled =
    state.now - (state.registers.zones?.at ?? 0) > leaseDurationMs + evacuationGraceMs;
  const evacuatedZones = isSettled ? (zonesOf(state)?.emptied ?? []) : [];
  return nodesOf(state).flatMap(({ record, seenAt }) =>
    record.staying && isLive(state, seenAt, record.id) && !evacuatedZones.includes(record.zone)
      ? [record]
      : [],
  );
};
