import { Beats, Limits } from '@reedyard/constants';
import {
  differs,
  divide,
  isSeated,
  toward,
  type Plan,
  type Seat,
  type Slices,
} from '@reedyard/quota-division';
import { Routes } from '@reedyard/schemas';
import { propose } from './ballots.js';
import { Changes } from './changes.js';
import { chance, log, planOf, policyOf, set, type Work } from './state.js';
import { boundsOf, seatedNodes } from './network.js';

const busy = (work: Work): boolean =>
  Object.values(work.state.proposalRuns).some((proposalRun) => proposalRun.purpose.kind === 'plan');

/** The holder's beat: renew the term and move slices to where the demand is. */
const renew = (work: Work, current: Plan): void => {
  const { state } = work;
  const quotaLeadership = state.quotaLeadership;
  if (quotaLeadership === null) return;
  const held = quotaLeadership.held.filter((each) => each.until > state.now);
  const nodes = seatedNodes(state);
  const seats: readonly Seat[] = nodes.map((record) => ({
    edge: record.id,
    zone: record.zone,
    region: record.region,
  }));
  const policy = policyOf(state)?.document;
  const bounds = boundsOf(state);
  const goals = Object.fromEntries(
    Object.entries(bounds).map(([name, bound]): readonly [string, Slices] => {
      const homes = Routes.homesOf(policy?.routes ?? [], name);
      const allowed =
        homes === undefined ? seats : seats.filter((seat) => homes.includes(seat.region));
      return [
        name,
        divide(
          bound,
          allowed,
          Object.fromEntries(nodes.map((record) => [record.id, record.wants[name] ?? 0])),
        ),
      ];
    }),
  );
  const slices = Object.fromEntries(
    Object.entries(goals).map(([name, aim]): readonly [string, Slices] => {
      const now = current.slices[name] ?? {};
      const next = toward(aim, [now, ...held.map((each) => each.slices[name] ?? {})]);
      return [name, differs(next, now) ? next : now];
    }),
  );
  // A service without a bound keeps no node waiting for its share.
  const bounded = Object.fromEntries(
    Object.entries(goals).filter(([name]) => bounds[name] !== Infinity),
  );
  const seated = seats
    .map((seat) => seat.edge)
    .filter((edge) => current.seated.includes(edge) || isSeated(edge, bounded, slices));
  const names = Object.keys(slices);
  const still =
    names.length === Object.keys(current.slices).length &&
    names.every((name) => slices[name] === current.slices[name]) &&
    seated.length === current.seated.length &&
    seated.every((edge) => current.seated.includes(edge));
  // Half a division's beat early, since the last one was chosen a little after it was looked at.
  if (still && state.now - state.planSeen.at < Beats.renewal - Beats.division / 2) return;
  const goal: Plan = {
    term: current.term,
    holder: state.self.id,
    beat: current.beat + 1,
    slices,
    seated,
  };
  // What is in force now may be held by others for a lease after its successor is chosen.
  set(work, {
    quotaLeadership: {
      ...quotaLeadership,
      held: [
        ...held,
        { slices: current.slices, until: state.now + Limits.regrant + Limits.proposal },
      ],
    },
  });
  propose(work, 'plan', Changes.plan(goal), { kind: 'plan', goal });
};

/** Renews the quota leadership where this node has it, and takes it where nobody does. */
export const tendQuotaLeadership = (work: Work): void => {
  const { state } = work;
  if (state.now >= state.lease || busy(work)) return;
  const current = planOf(state);
  if (
    state.quotaLeadership !== null &&
    current !== null &&
    current.holder === state.self.id &&
    current.term === state.quotaLeadership.term
  ) {
    renew(work, current);
    return;
  }
  if (state.quotaLeadership !== null) {
    log(work, 'quota-leadership.lost', { term: state.quotaLeadership.term, how: 'another holder' });
    set(work, { quotaLeadership: null });
  }
  if (policyOf(state) === null) return;
  const vacant = current === null || state.now - state.planSeen.at > Limits.vacancy;
  if (!vacant || chance(work) > 0.3) return;
  const goal: Plan = {
    term: (current?.term ?? 0) + 1,
    holder: state.self.id,
    beat: 1,
    slices: current?.slices ?? {},
    seated: current?.seated ?? [],
  };
  propose(work, 'plan', Changes.takeQuotaLeadership(current, goal), { kind: 'plan', goal });
};
