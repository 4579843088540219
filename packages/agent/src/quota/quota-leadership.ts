/**
 * Quota leadership: one node at a time divides the services' rate limits among the nodes. It holds
 * the leadership by publishing allocations under its term; one that stands still is taken over.
 */
import {
  allocateQuotas,
  haveSharesChanged,
  hasReachedReadyShare,
  nextShares,
  type QuotaAllocation,
  type QuotaNode,
  type QuotaShares,
} from '@reedyard/quota-division';
import { Routes } from '@reedyard/schemas';
import { policyOf, quotaAllocationOf } from '../control/registers.js';
import { quotaNodes } from '../gossip/known-nodes.js';
import type { NodeRecord } from '../messages.js';
import { serviceRateLimits } from '../origins/origin-endpoints.js';
import { publishAllocationChange, takeQuotaLeadershipChange } from '../proposals/changes.js';
import { proposalTimeoutMs } from '../proposals/proposal-state.js';
import { propose } from '../proposals/proposals.js';
import type { AgentState } from '../state.js';
import { log, nextRandom, type Transition, update } from '../transition.js';

/** ms. The quota leader looks whether quotas should move, and then publishes an allocation. */
export const allocationIntervalMs = 500;

/**
 * ms. It renews its term with an unchanged allocation: each costs two syncs of every replica and a
 * fetch of every agent. Two of them fit in the time after which it is given up.
 */
export const allocationRenewalIntervalMs = 1_000;

/**
 * ms. An allocation may raise a quota only this long after the lower one was chosen: one lease plus
 * the slack of a beat.
 */
export const quotaRaiseDelayMs = 1_700;

/**
 * ms. A quota leader whose beat stood still this long is given up: two missed renewals, seen half a
 * poll late. It must stay over `regrant`: a new holder counts only the allocation it finds, and
 * those before that must have lapsed by then.
 */
export const quotaLeaderTimeoutMs = 2_500;

const isPublishing = (transition: Transition): boolean =>
  Object.values(transition.state.pendingChanges).some(
    (pendingChange) => pendingChange.purpose.kind === 'publish-allocation',
  );

type SharesByService = Readonly<Record<string, QuotaShares>>;

/** What each service's nodes are to have, by what they want of it and where it has its homes. */
const goalsOf = (
  state: AgentState,
  nodes: readonly NodeRecord[],
  rateLimits: Readonly<Record<string, number>>,
): SharesByService => {
  const routes = policyOf(state)?.document.routes ?? [];
  const quotaNodesOf = (homes: readonly string[] | undefined): readonly QuotaNode[] =>
    nodes
      .map(({ id, zone, region }) => ({ nodeId: id, zone, region }))
      .filter(({ region }) => homes === undefined || homes.includes(region));
  const demandFor = (service: string): QuotaShares =>
    Object.fromEntries(nodes.map(({ id, wants }) => [id, wants[service] ?? 0]));
  return Object.fromEntries(
    Object.entries(rateLimits).map(([service, rateLimit]) => {
      const allowed = quotaNodesOf(Routes.homeRegionsOf(routes, service));
      return [service, allocateQuotas(rateLimit, allowed, demandFor(service))];
    }),
  );
};

/** The next shares on the way to the goals; a service whose shares hardly move keeps its own. */
const sharesTowards = (
  goals: SharesByService,
  current: SharesByService,
  preceding: readonly { readonly slices: SharesByService }[],
): SharesByService =>
  Object.fromEntries(
    Object.entries(goals).map(([service, goal]): readonly [string, QuotaShares] => {
      const now = current[service] ?? {};
      const earlier = preceding.map(({ slices }) => slices[service] ?? {});
      const next = nextShares(goal, [now, ...earlier]);
      return [service, haveSharesChanged(next, now) ? next : now];
    }),
  );

const isSameAllocation = (
  slices: SharesByService,
  seated: readonly string[],
  current: QuotaAllocation,
): boolean => {
  const services = Object.keys(slices);
  return (
    services.length === Object.keys(current.slices).length &&
    services.every((service) => slices[service] === current.slices[service]) &&
    seated.length === current.seated.length &&
    seated.every((nodeId) => current.seated.includes(nodeId))
  );
};

/** Half an interval early, since the last allocation was chosen a little after it was looked at. */
const isRenewalDue = ({ now, lastSeenAllocation: allocationSeen }: AgentState): boolean =>
  now - allocationSeen.at >= allocationRenewalIntervalMs - allocationIntervalMs / 2;

/** The leader's turn: renew the term and move quotas to where the demand is. */
const renew = (transition: Transition, current: QuotaAllocation): void => {
  const { state } = transition;
  const { quotaLeadership } = state;
  if (quotaLeadership === null) return;
  const preceding = quotaLeadership.precedingAllocations.filter(({ until }) => until > state.now);
  const nodes = quotaNodes(state);
  const rateLimits = serviceRateLimits(state);
  const goals = goalsOf(state, nodes, rateLimits);
  const slices = sharesTowards(goals, current.slices, preceding);
  // A service without a rate limit keeps no node waiting for its share.
  const limitedGoals = Object.fromEntries(
    Object.entries(goals).filter(([service]) => rateLimits[service] !== Infinity),
  );
  const seated = nodes
    .map(({ id }) => id)
    .filter((id) => current.seated.includes(id) || hasReachedReadyShare(id, limitedGoals, slices));
  if (isSameAllocation(slices, seated, current) && !isRenewalDue(state)) return;
  const { term } = current;
  const goal = { term, holder: state.self.id, beat: current.beat + 1, slices, seated };
  // What is in force now may be used by others for a lease after its successor is chosen.
  const until = state.now + quotaRaiseDelayMs + proposalTimeoutMs;
  update(transition, {
    quotaLeadership: {
      ...quotaLeadership,
      precedingAllocations: [...preceding, { slices: current.slices, until }],
    },
  });
  propose(transition, 'plan', publishAllocationChange(goal), { kind: 'publish-allocation', goal });
};

/** The probability that a node proposes itself at one look, where the leadership is vacant. */
const proposeLeaderProbability = 0.3;

const isLeader = ({ self, quotaLeadership }: AgentState, current: QuotaAllocation): boolean =>
  quotaLeadership !== null && current.holder === self.id && current.term === quotaLeadership.term;

const giveUpLeadership = (transition: Transition): void => {
  const { quotaLeadership } = transition.state;
  if (quotaLeadership === null) return;
  const { term } = quotaLeadership;
  log(transition, 'quota-leadership.lost', { term, how: 'another holder' });
  update(transition, { quotaLeadership: null });
};

const isVacant = (
  { now, lastSeenAllocation: allocationSeen }: AgentState,
  current: QuotaAllocation | null,
): boolean => current === null || now - allocationSeen.at > quotaLeaderTimeoutMs;

const proposeSelf = (transition: Transition, current: QuotaAllocation | null): void => {
  const { term = 0, slices = {}, seated = [] } = current ?? {};
  const holder = transition.state.self.id;
  const goal: QuotaAllocation = { term: term + 1, holder, beat: 1, slices, seated };
  const change = takeQuotaLeadershipChange(current, goal);
  propose(transition, 'plan', change, { kind: 'publish-allocation', goal });
};

/** Renews the quota leadership where this node has it, and takes it where nobody does. */
export const maintainQuotaLeadership = (transition: Transition): void => {
  const { state } = transition;
  if (state.now >= state.leaseUntil || isPublishing(transition)) return;
  const current = quotaAllocationOf(state);
  if (current !== null && isLeader(state, current)) {
    renew(transition, current);
    return;
  }
  giveUpLeadership(transition);
  if (policyOf(state) === null || !isVacant(state, current)) return;
  if (nextRandom(transition) <= proposeLeaderProbability) proposeSelf(transition, current);
};
