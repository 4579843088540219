/**
 * This node's own record in gossip. Each revision of it is a heartbeat; it is sent in full where it
 * changed, where an incarnation begins, and now and then.
 */

import { publishRecord, recordValue, renewalsSinceValue, renewRecord } from '@reedyard/gossip';
import { leaseDurationMs } from '@reedyard/replica';
import { servingAllowanceMs } from '../control/reachability.js';
import type { NodeRecord, ProxyReport } from '../messages.js';
import type { AgentState } from '../state.js';
import { nextRandom, type Transition, update } from '../transition.js';

/** ms. A node's own record gets a new revision, which is its heartbeat. */
export const heartbeatIntervalMs = 500;

/**
 * heartbeats after which a node's record is sent in full though nothing changed: a revision that
 * two incarnations of a node came to alike is then set right within 8 s.
 */
export const heartbeatsPerFullRecord = 16;

/**
 * An incarnation's first revision lies anywhere under this, so that two incarnations hardly come to
 * the same one.
 */
export const maxFirstRevision = 2 ** 20;

/**
 * requests a second that it may move besides: one request more or less in a few seconds is no
 * change.
 */
export const demandNoiseRate = 0.25;

/**
 * share by which what a node wants of a service may move before others are told: what is left
 * over of a service is spread evenly, and covers that.
 */
export const demandNoiseShare = 0.1;

/**
 * What is wanted, as it was told before where it is still about that: a record that changes is told
 * whole.
 */
const steadyDemand = (
  wants: Readonly<Record<string, number>>,
  told: Readonly<Record<string, number>>,
): Readonly<Record<string, number>> =>
  Object.fromEntries(
    [...new Set([...Object.keys(told), ...Object.keys(wants)])].flatMap((name) => {
      const [want, before] = [wants[name] ?? 0, told[name] ?? 0];
      const next =
        Math.abs(want - before) <= demandNoiseShare * before + demandNoiseRate
          ? before
          : Math.round(want * 100) / 100;
      return next > 0 ? [[name, next]] : [];
    }),
  );

/** What this machine's replica last said of its disk, while that is not outdated. */
const replicaFields = ({
  self,
  localReplica: ownReplica,
  now,
}: AgentState): NodeRecord['replica'] => {
  if (self.replica === null || ownReplica === null) return self.replica;
  if (now - ownReplica.at > leaseDurationMs) return self.replica;
  return { ...self.replica, disk: ownReplica.diskId, fresh: ownReplica.isBlank };
};

/** The report of this machine's proxy, while it asks for its feed. */
const liveReport = ({ lastProxyReport: proxyReport, now }: AgentState): ProxyReport | null =>
  proxyReport !== null && now - proxyReport.at < leaseDurationMs ? proxyReport.content : null;

const ownRecord = (state: AgentState, announced: NodeRecord | null): NodeRecord => {
  const { id, zone, region, address, proxy } = state.self;
  const report = liveReport(state);
  const staying = proxy !== null && report !== null && !report.stopping;
  return {
    id,
    zone,
    region,
    address,
    proxy,
    replica: replicaFields(state),
    ready: staying && servingAllowanceMs(state) > 0,
    staying,
    proxyLife: state.lastProxyReport?.content.proxyLife ?? '',
    wants: report === null ? {} : steadyDemand(report.wants, announced?.wants ?? {}),
  };
};

/**
 * Announces this node's own record; each new revision is a heartbeat. It is sent in full where it
 * changed, where an incarnation begins and now and then.
 */
export const publishHeartbeat = (transition: Transition, isFull = false): void => {
  const { state } = transition;
  const { gossip, now } = state;
  const key = `node/${state.self.id}`;
  const announced = (recordValue(gossip, key) as NodeRecord | null | undefined) ?? null;
  const record = ownRecord(state, announced);
  const isUnchanged = announced !== null && JSON.stringify(announced) === JSON.stringify(record);
  if (!isFull && isUnchanged && renewalsSinceValue(gossip, key) < heartbeatsPerFullRecord) {
    update(transition, { gossip: renewRecord(gossip, key, now) });
    return;
  }
  // An incarnation's revisions begin anywhere, so that those of two do not pass for one row.
  const minRevision =
    announced === null ? 1 + Math.floor(nextRandom(transition) * maxFirstRevision) : 1;
  update(transition, { gossip: publishRecord(gossip, key, record, now, minRevision) });
};
