import {
  hasChangedShares,
  allocateQuotas,
  hasMostOfGoal,
  type QuotaAllocation,
  type QuotaNode,
  type QuotaShares,
  nextShares,
} from '@reedyard/quota-division';
import { Routes } from '@reedyard/schemas';
import { policyOf, quotaAllocationOf } from '../control/registers.js';
import { quotaNodes } from '../gossip/known-nodes.js';
import { serviceRateLimits } from '../origins/origin-endpoints.js';
import { publishAllocationChange, takeQuotaLeadershipChange } from '../proposals/changes.js';
import { proposalTimeoutMs } from '../proposals/proposal-state.js';
import { propose } from '../proposals/proposals.js';
import { log, nextRandom, type Transition, update } from '../transition.js';

/** ms. The quota leader looks whether slices should move, and then publishes a division. */
export const allocationIntervalMs = 500;

/**
 * ms. It renews its term with an unchanged division: each costs two syncs of every replica and a
 * fetch of every agent. Two of them fit in the time after which it is given up.
 */
export const allocationRenewalMs = 1_000;

/**
 * ms. A division may raise a slice only this long after the lower one was chosen: one lease plus
 * the slack of a beat.
 */
export const quotaRaiseDelayMs = 1_700;

/**
 * ms. A quota leader whose beat stood still this long is given up: two missed renewals, seen
 * half a pull late. It must stay over `regrant`: a new holder counts only the division it finds,
 * and those before that must have lapsed by then.
 */
export const leaderTimeoutMs = 2_500;

const busy = (transition: Transition): boolean =>
  Object.values(transition.state.pendingChanges).some(
    (pendingChange) => pendingChange.purpose.kind === 'publish-allocation',
  );

/** The holder's beat: renew the term and move slices to where the demand is. */
const renew = (transition: Transition, current: QuotaAllocation): void => {
  const { state } = transition;
  const quotaLeadership = state.quotaLeadership;
  if (quotaLeadership === null) return;
  const held = quotaLeadership.precedingAllocations.filter((each) => each.until > state.now);
  const nodes = quotaNodes(state);
  const seats: readonly QuotaNode[] = nodes.map((record) => ({
    nodeId: record.id,
    zone: record.zone,
    region: record.region,
  }));
  const policy = policyOf(state)?.document;
  const bounds = serviceRateLimits(state);
  const goals = Object.fromEntries(
    Object.entries(bounds).map(([name, bound]): readonly [string, QuotaShares] => {
      const homes = Routes.homesOf(policy?.routes ?? [], name);
      const allowed =
        homes === undefined ? seats : seats.filter((seat) => homes.includes(seat.region));
      return [
        name,
        allocateQuotas(
          bound,
          allowed,
          Object.fromEntries(nodes.map((record) => [record.id, record.wants[name] ?? 0])),
        ),
      ];
    }),
  );
  const slices = Object.fromEntries(
    Object.entries(goals).map(([name, aim]): readonly [string, QuotaShares] => {
      const now = current.slices[name] ?? {};
      const next = nextShares(aim, [now, ...held.map((each) => each.slices[name] ?? {})]);
      return [name, hasChangedShares(next, now) ? next : now];
    }),
  );
  // A service without a bound keeps no node waiting for its share.
  const bounded = Object.fromEntries(
    Object.entries(goals).filter(([name]) => bounds[name] !== Infinity),
  );
  const seated = seats
    .map((seat) => seat.nodeId)
    .filter((edge) => current.seated.includes(edge) || hasMostOfGoal(edge, bounded, slices));
  const names = Object.keys(slices);
  const still =
    names.length === Object.keys(current.slices).length &&
    names.every((name) => slices[name] === current.slices[name]) &&
    seated.length === current.seated.length &&
    seated.every((edge) => current.seated.includes(edge));
  // Half a division's beat early, since the last one was chosen a little after it was looked at.
  if (still && state.now - state.allocationSeen.at < allocationRenewalMs - allocationIntervalMs / 2)
    return;
  const goal: QuotaAllocation = {
    term: current.term,
    holder: state.self.id,
    beat: current.beat + 1,
    slices,
    seated,
  };
  // What is in force now may be held by others for a lease after its successor is chosen.
  update(transition, {
    quotaLeadership: {
      ...quotaLeadership,
      precedingAllocations: [
        ...held,
        { slices: current.slices, until: state.now + quotaRaiseDelayMs + proposalTimeoutMs },
      ],
    },
  });
  propose(transition, 'plan', publishAllocationChange(goal), { kind: 'publish-allocation', goal });
};

/** Renews the quota leadership where this node has it, and takes it where nobody does. */
export const tendQuotaLeadership = (transition: Transition): void => {
  const { state } = transition;
  if (state.now >= state.leaseUntil || busy(transition)) return;
  const current = quotaAllocationOf(state);
  if (
    state.quotaLeadership !== null &&
    current !== null &&
    current.holder === state.self.id &&
    current.term === state.quotaLeadership.term
  ) {
    renew(transition, current);
    return;
  }
  if (state.quotaLeadership !== null) {
    log(transition, 'quota-leadership.lost', {
      term: state.quotaLeadership.term,
      how: 'another holder',
    });
    update(transition, { quotaLeadership: null });
  }
  if (policyOf(state) === null) return;
  const vacant = current === null || state.now - state.allocationSeen.at > leaderTimeoutMs;
  if (!vacant || nextRandom(transition) > 0.3) return;
  const goal: QuotaAllocation = {
    term: (current?.term ?? 0) + 1,
    holder: state.self.id,
    beat: 1,
    slices: current?.slices ?? {},
    seated: current?.seated ?? [],
  };
  propose(transition, 'plan', takeQuotaLeadershipChange(current, goal), {
    kind: 'publish-allocation',
    goal,
  });
};
