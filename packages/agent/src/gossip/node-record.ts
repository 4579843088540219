/**
 * This node's own record in gossip. Each of its revisions is a heartbeat; the record is published in
 * full when it changed, when an incarnation starts, and at regular intervals.
 */

import { publishRecord, recordValue, renewalsSinceValue, renewRecord } from '@reedyard/gossip';
import { leaseDurationMs } from '@reedyard/replica';
import { servingAllowanceMs } from '../control/reachability.js';
import type { NodeRecord, ProxyReport } from '../messages.js';
import type { AgentState } from '../state.js';
import { nextRandom, type Transition, update } from '../transition.js';

/** The interval of a node's heartbeats, which are new revisions of its own record, in milliseconds. */
export const heartbeatIntervalMs = 500;

/**
 * The number of heartbeats after which an unchanged node record is published in full. When two
 * incarnations of a node reach the same revision with different values, this corrects the value
 * within 8 s.
 */
export const heartbeatsPerFullRecord = 16;

/**
 * The upper limit of an incarnation's random first revision, chosen so that two incarnations are
 * unlikely to use the same revisions.
 */
export const maxFirstRevision = 2 ** 20;

/**
 * The absolute part of the tolerated demand change, in requests per second: one request more or less
 * within a few seconds is not a change.
 */
export const demandNoiseRate = 0.25;

/**
 * The relative change of a node's demand for a service that is not announced: the unused part of a
 * service's rate limit is spread evenly over the nodes, and covers such a change.
 */
export const demandNoiseShare = 0.1;

/**
 * The demand to announce: the announced value stays while the demand is still close to it, because a
 * changed record has to be sent in full.
 */
const steadyDemand = (
  demand: Readonly<Record<string, number>>,
  announcedDemand: Readonly<Record<string, number>>,
): Readonly<Record<string, number>> =>
  Object.fromEntries(
    [...new Set([...Object.keys(announcedDemand), ...Object.keys(demand)])].flatMap((name) => {
      const [rate, announcedRate] = [demand[name] ?? 0, announcedDemand[name] ?? 0];
      const next =
        Math.abs(rate - announcedRate) <= demandNoiseShare * announcedRate + demandNoiseRate
          ? announcedRate
          : Math.round(rate * 100) / 100;
      return next > 0 ? [[name, next]] : [];
    }),
  );

/** The replica part of the record, with the disk that the replica last reported unless that is outdated. */
const replicaFields = ({ self, localReplica, now }: AgentState): NodeRecord['replica'] => {
  if (self.replica === null || localReplica === null) return self.replica;
  if (now - localReplica.at > leaseDurationMs) return self.replica;
  return { ...self.replica, disk: localReplica.diskId, fresh: localReplica.isBlank };
};

/** The last report of this machine's proxy; null when the proxy stopped requesting its feed. */
const liveReport = ({ lastProxyReport, now }: AgentState): ProxyReport | null =>
  lastProxyReport !== null && now - lastProxyReport.at < leaseDurationMs
    ? lastProxyReport.content
    : null;

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
 * Publishes a new revision of this node's record as a heartbeat: in full when the record changed,
 * when `isFull` is set, at the start of an incarnation, and after `heartbeatsPerFullRecord`
 * heartbeats.
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
  // The first revision is random, so that the revisions of two incarnations are not taken for one sequence.
  const minRevision =
    announced === null ? 1 + Math.floor(nextRandom(transition) * maxFirstRevision) : 1;
  update(transition, { gossip: publishRecord(gossip, key, record, now, minRevision) });
};
