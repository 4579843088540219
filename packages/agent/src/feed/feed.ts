/** What this machine's proxy is told: feeds of what changed, and answers to its claims. */
import { rateOf } from '@reedyard/quota-division';
import type { Purge } from '@reedyard/schemas';
import { servingAllowanceMs, isUnreachable } from '../control/reachability.js';
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

const purgesAfter = (state: AgentState, seq: number): Feed['purges'] =>
  state.entries.flatMap((entry) =>
    entry.seq > seq && entry.key.startsWith('purge/')
      ? [{ seq: entry.seq, purge: entry.value as Purge }]
      : [],
  );

/**
 * Whether the allocation has given this node most of its quotas; without services there is nothing
 * to divide.
 */
export const hasReadyQuotas = (state: AgentState): boolean =>
  Object.keys(policyOf(state)?.document.services ?? {}).length === 0 ||
  quotaAllocationOf(state)?.seated.includes(state.self.id) === true;

const slicesOf = (state: AgentState): Feed['slices'] => {
  const plan = quotaAllocationOf(state);
  const rates = Object.entries(serviceRateLimits(state)).map(
    ([name, bound]) => [name, rateOf(plan?.slices[name] ?? {}, state.self.id, bound)] as const,
  );
  return Object.fromEntries(rates);
};

const feed = (state: AgentState, report: ProxyReport): Feed => {
  const policy = policyOf(state);
  const isNew = policy !== null && policy.revision !== report.policyRevision;
  return {
    leaseMs: servingAllowanceMs(state),
    life: state.incarnation,
    flushes: state.cacheFlushCount,
    policy: isNew ? { revision: policy.revision, document: policy.document } : null,
    policyRevision: policy?.revision ?? 0,
    origins: originEndpoints(state),
    peers: peerEndpoints(state),
    emptied: zonesOf(state)?.emptied ?? [],
    split: state.routingTable,
    slices: slicesOf(state),
    seated: hasReadyQuotas(state),
    purges: purgesAfter(state, report.life === state.incarnation ? report.purgeSeq : 0),
    purgeSeq: state.lastEntrySequence,
  };
};

type FedParts = Required<AgentState['lastFeedParts']>;

/** The parts of a feed with their revisions; one that changed gets a new one. */
const revisedParts = (before: AgentState['lastFeedParts'], whole: Feed): FedParts => {
  const parts = feedPartNames.map((part) => {
    const value = whole[part];
    const known = before[part];
    if (known !== undefined && known.value === value) return [part, known] as const;
    const text = JSON.stringify(value);
    if (known !== undefined && known.text === text) return [part, { ...known, value }] as const;
    return [part, { revision: (known?.revision ?? 0) + 1, value, text }] as const;
  });
  return Object.fromEntries(parts) as FedParts;
};

/** The feed without the parts that the proxy holds as they are. */
const feedReplyFor = (
  transition: Transition,
  report: ProxyReport,
  held: HeldFeedParts | null,
): FeedReply => {
  const whole = feed(transition.state, report);
  const now = revisedParts(transition.state.lastFeedParts, whole);
  update(transition, { lastFeedParts: now });
  const isHeld = (part: FeedPart): boolean =>
    held?.life === transition.state.incarnation && held.revisions[part] === now[part].revision;
  const told = Object.entries(whole).filter(
    ([name]) => now[name as FeedPart] === undefined || !isHeld(name as FeedPart),
  );
  const revisions = Object.fromEntries(
    feedPartNames.map((part) => [part, now[part].revision]),
  ) as FeedRevisions;
  return { ...(Object.fromEntries(told) as Omit<FeedReply, 'revisions'>), revisions };
};

const noteReport = (transition: Transition, report: ProxyReport): void => {
  const before = transition.state.lastProxyReport?.content;
  const isChanged =
    before === undefined ||
    before.proxyLife !== report.proxyLife ||
    before.stopping !== report.stopping;
  update(transition, { lastProxyReport: { content: report, at: transition.state.now } });
  if (isChanged) publishHeartbeat(transition);
  if (report.measure !== null) handleMeasurement(transition, report.measure);
};

/** Takes a call of this machine's proxy. */
export const handleProxyRequest = (transition: Transition, id: number, body: ProxyQuery): void => {
  switch (body.kind) {
    case 'feed':
      noteReport(transition, body.report);
      transition.effects.push({
        kind: 'send-reply',
        requestId: id,
        reply: feedReplyFor(transition, body.report, body.held),
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
      const change = claimChange(body.token, transition.state.self.id, body.life, body.digest);
      propose(transition, `claim/${body.key}`, change, { kind: 'claim', id });
      return;
    }
    case 'settle':
      propose(transition, `claim/${body.key}`, settleClaimChange(body.token, body.state), {
        kind: 'settle-claim',
        id,
      });
      return;
  }
};
