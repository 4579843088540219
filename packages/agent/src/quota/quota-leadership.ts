/**
 * Quota leadership: one node at a time, the quota leader, divides the services' rate limits among the
 * nodes. The leader keeps its leadership by publishing allocations under its term. If it publishes
 * none for the leader timeout, another node takes over.
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

/**
 * Interval at which the quota leader checks whether quotas should change, and if so publishes an
 * allocation, in milliseconds.
 */
export const allocationIntervalMs = 500;

/**
 * Interval at which the quota leader renews its term with an unchanged allocation, in milliseconds.
 * Each renewal costs two syncs of every replica and a fetch by every agent. Two renewals fit into
 * the leader timeout.
 */
export const allocationRenewalIntervalMs = 1_000;

/**
 * How long after a lower quota was chosen an allocation may raise other quotas, in milliseconds: one
 * lease plus the tolerance of one tick.
 */
export const quotaRaiseDelayMs = 1_700;

/**
 * How long a quota leader may publish no allocation before another node takes over, in milliseconds:
 * two missed renewals, observed half a poll late. It must stay above `quotaRaiseDelayMs`: a new
 * leader considers only the allocation in force, so the preceding ones must have expired by then.
 */
export const quotaLeaderTimeoutMs = 2_500;

const isPublishing = (transition: Transition): boolean =>
  Object.values(transition.state.pendingChanges).some(
    (pendingChange) => pendingChange.purpose.kind === 'publish-allocation',
  );

type SharesByService = Readonly<Record<string, QuotaShares>>;

/** The target quotas of each service's nodes, by their demand and the service's home regions. */
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

/**
 * The next shares on the way to the goals. A service keeps its current shares where the next ones
 * hardly differ.
 */
const sharesTowards = (
  goals: SharesByService,
  current: SharesByService,
  preceding: readonly { readonly slices: SharesByService }[],
): SharesByService =>
  Object.fromEntries(
    Object.entries(goals).map(([service, goal]): readonly [string, QuotaShares] => {
      const currentShares = current[service] ?? {};
      const precedingShares = preceding.map(({ slices }) => slices[service] ?? {});
      const next = nextShares(goal, [currentShares, ...precedingShares]);
      return [service, haveSharesChanged(next, currentShares) ? next : currentShares];
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

/**
 * Whether the term must be renewed. Renewals are due half a check interval early, since the last
 * allocation was chosen a little after the check that proposed it.
 */
const isRenewalDue = ({ now, lastSeenAllocation }: AgentState): boolean =>
  now - lastSeenAllocation.at >= allocationRenewalIntervalMs - allocationIntervalMs / 2;

/**
 * Publishes the leader's next allocation, which moves quotas to where the demand is, if the shares or
 * the nodes change or the term must be renewed.
 */
const publishNextAllocation = (transition: Transition, current: QuotaAllocation): void => {
  const { state } = transition;
  const { quotaLeadership } = state;
  if (quotaLeadership === null) return;
  const preceding = quotaLeadership.precedingAllocations.filter(({ until }) => until > state.now);
  const nodes = quotaNodes(state);
  const rateLimits = serviceRateLimits(state);
  const goals = goalsOf(state, nodes, rateLimits);
  const slices = sharesTowards(goals, current.slices, preceding);
  // No node has to wait for its share of a service without a rate limit.
  const limitedGoals = Object.fromEntries(
    Object.entries(goals).filter(([service]) => rateLimits[service] !== Infinity),
  );
  const seated = nodes
    .map(({ id }) => id)
    .filter((id) => current.seated.includes(id) || hasReachedReadyShare(id, limitedGoals, slices));
  if (isSameAllocation(slices, seated, current) && !isRenewalDue(state)) return;
  const { term } = current;
  const goal = { term, holder: state.self.id, beat: current.beat + 1, slices, seated };
  // Other nodes may use the current allocation for one lease after the next one is chosen.
  const until = state.now + quotaRaiseDelayMs + proposalTimeoutMs;
  update(transition, {
    quotaLeadership: {
      ...quotaLeadership,
      precedingAllocations: [...preceding, { slices: current.slices, until }],
    },
  });
  propose(transition, 'plan', publishAllocationChange(goal), { kind: 'publish-allocation', goal });
};

/** The probability that a node proposes itself at one check while the leadership is vacant. */
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
  { now, lastSeenAllocation }: AgentState,
  current: QuotaAllocation | null,
): boolean => current === null || now - lastSeenAllocation.at > quotaLeaderTimeoutMs;

const proposeSelf = (transition: Transition, current: QuotaAllocation | null): void => {
  const { term = 0, slices = {}, seated = [] } = current ?? {};
  const holder = transition.state.self.id;
  const goal: QuotaAllocation = { term: term + 1, holder, beat: 1, slices, seated };
  const change = takeQuotaLeadershipChange(current, goal);
  propose(transition, 'plan', change, { kind: 'publish-allocation', goal });
};

/**
 * Publishes allocations while this node is the quota leader, and proposes this node as the leader
 * while the leadership is vacant.
 */
export const maintainQuotaLeadership = (transition: Transition): void => {
  const { state } = transition;
  if (state.now >= state.leaseUntil || isPublishing(transition)) return;
  const current = quotaAllocationOf(state);
  if (current !== null && isLeader(state, current)) {
    publishNextAllocation(transition, current);
    return;
  }
  giveUpLeadership(transition);
  if (policyOf(state) === null || !isVacant(state, current)) return;
  if (nextRandom(transition) <= proposeLeaderProbability) proposeSelf(transition, current);
};
