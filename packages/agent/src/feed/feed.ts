/** The agent's replies to this machine's proxy: feeds with the parts that changed, and claim replies. */
import { rateOf } from '@reedyard/quota-division';
import type { Purge } from '@reedyard/schemas';
import { isUnreachable, leaseLeftMs, servingAllowanceMs } from '../control/reachability.js';
import { policyOf, quotaAllocationOf, toleratesLosses, zonesOf } from '../control/registers.js';
import { publishHeartbeat } from '../gossip/node-record.js';
import {
  type Feed,
  type FeedPart,
  feedPartNames,
  type HeldFeedParts,
  type FeedReply,
  type ProxyQuery,
  type ProxyReport,
  type FeedRevisions,
} from '../messages.js';
import { originEndpoints, serviceRateLimits } from '../origins/origin-endpoints.js';
import { claimChange, settleClaimChange } from '../proposals/changes.js';
import { propose } from '../proposals/proposals.js';
import { handleMeasurement, peerEndpoints } from '../routing/routing-table.js';
import type { AgentState } from '../state.js';
import { type Transition, update } from '../transition.js';

const purgesAfter = (state: AgentState, sequence: number): Feed['purges'] =>
  state.entries.flatMap((entry) =>
    entry.seq > sequence && entry.key.startsWith('purge/')
      ? [{ seq: entry.seq, purge: entry.value as Purge }]
      : [],
  );

/**
 * Whether the quota leader has once allocated enough quotas to this node for it to be ready; without
 * services there are no quotas.
 */
export const hasReadyQuotas = (state: AgentState): boolean =>
  Object.keys(policyOf(state)?.document.services ?? {}).length === 0 ||
  quotaAllocationOf(state)?.seated.includes(state.self.id) === true;

const serviceRatesOf = (state: AgentState): Feed['slices'] => {
  const allocation = quotaAllocationOf(state);
  const rates = Object.entries(serviceRateLimits(state)).map(
    ([name, rateLimit]) =>
      [name, rateOf(allocation?.slices[name] ?? {}, state.self.id, rateLimit)] as const,
  );
  return Object.fromEntries(rates);
};

const feedOf = (state: AgentState, report: ProxyReport): Feed => {
  const policy = policyOf(state);
  const isPolicyNew = policy !== null && policy.revision !== report.policyRevision;
  return {
    leaseMs: servingAllowanceMs(state),
    provenLeaseMs: leaseLeftMs(state),
    life: state.incarnation,
    flushes: state.cacheFlushCount,
    policy: isPolicyNew ? { revision: policy.revision, document: policy.document } : null,
    policyRevision: policy?.revision ?? 0,
    origins: originEndpoints(state),
    peers: peerEndpoints(state),
    emptied: zonesOf(state)?.emptied ?? [],
    split: state.routingTable,
    slices: serviceRatesOf(state),
    seated: hasReadyQuotas(state),
    purges: purgesAfter(state, report.life === state.incarnation ? report.purgeSeq : 0),
    purgeSeq: state.lastEntrySequence,
  };
};

type RevisedFeedParts = Required<AgentState['lastFeedParts']>;

/** The parts of a feed with their revisions; a part that changed gets a new revision. */
const revisedParts = (previousParts: AgentState['lastFeedParts'], feed: Feed): RevisedFeedParts => {
  const parts = feedPartNames.map((part) => {
    const value = feed[part];
    const previous = previousParts[part];
    if (previous !== undefined && previous.value === value) return [part, previous] as const;
    const text = JSON.stringify(value);
    if (previous !== undefined && previous.text === text)
      return [part, { ...previous, value }] as const;
    return [part, { revision: (previous?.revision ?? 0) + 1, value, text }] as const;
  });
  return Object.fromEntries(parts) as RevisedFeedParts;
};

/** The feed without the parts whose current revisions the proxy already has. */
const feedReplyFor = (
  transition: Transition,
  report: ProxyReport,
  heldParts: HeldFeedParts | null,
): FeedReply => {
  const feed = feedOf(transition.state, report);
  const currentParts = revisedParts(transition.state.lastFeedParts, feed);
  update(transition, { lastFeedParts: currentParts });
  const isHeld = (part: FeedPart): boolean =>
    heldParts?.life === transition.state.incarnation &&
    heldParts.revisions[part] === currentParts[part].revision;
  const sentFields = Object.entries(feed).filter(
    ([name]) => currentParts[name as FeedPart] === undefined || !isHeld(name as FeedPart),
  );
  const revisions = Object.fromEntries(
    feedPartNames.map((part) => [part, currentParts[part].revision]),
  ) as FeedRevisions;
  return { ...(Object.fromEntries(sentFields) as Omit<FeedReply, 'revisions'>), revisions };
};

const recordReport = (transition: Transition, report: ProxyReport): void => {
  const previousReport = transition.state.lastProxyReport?.content;
  const isChanged =
    previousReport === undefined ||
    previousReport.proxyLife !== report.proxyLife ||
    previousReport.stopping !== report.stopping;
  update(transition, { lastProxyReport: { content: report, at: transition.state.now } });
  if (isChanged) publishHeartbeat(transition);
  if (report.measure !== null) handleMeasurement(transition, report.measure);
};

/** Handles a request of this machine's proxy. */
export const handleProxyRequest = (
  transition: Transition,
  id: number,
  request: ProxyQuery,
): void => {
  switch (request.kind) {
    case 'feed':
      recordReport(transition, request.report);
      transition.effects.push({
        kind: 'send-reply',
        requestId: id,
        reply: feedReplyFor(transition, request.report, request.held),
      });
      return;
    case 'claim': {
      if (!toleratesLosses(transition.state) || isUnreachable(transition.state)) {
        transition.effects.push({
          kind: 'send-reply',
          requestId: id,
          reply: { kind: 'unreached' },
        });
        return;
      }
      const change = claimChange(
        request.token,
        transition.state.self.id,
        request.life,
        request.digest,
      );
      propose(transition, `claim/${request.key}`, change, { kind: 'claim', id });
      return;
    }
    case 'settle':
      propose(transition, `claim/${request.key}`, settleClaimChange(request.token, request.state), {
        kind: 'settle-claim',
        id,
      });
      return;
  }
};
