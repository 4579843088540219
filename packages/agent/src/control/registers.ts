/** The registers that this node knows to be chosen, by what they hold. */

import type { QuotaAllocation } from '@reedyard/quota-division';
import type { CommittedMembership, Membership } from '@reedyard/replica';
import type { PolicyRegister, ZonesRegister } from '../messages.js';
import type { AgentState } from '../state.js';

/** Whether changes may be acknowledged: not while the loss of `losses` disks could undo them. */
export const toleratesLosses = (state: AgentState): boolean =>
  state.bootstrap === null ||
  Object.keys(committedMembershipOf(state)?.value.disks ?? {}).length >=
    2 * state.bootstrap.losses + 1;

/** The members known to be chosen. */
export const committedMembershipOf = (state: AgentState): CommittedMembership | null => {
  const known = state.registers.members;
  return known === undefined
    ? null
    : { proposalNumber: known.proposalNumber, value: known.value as Membership };
};

/** Whether an answer counts: it must come from the disk that holds the replica's place. */
export const isDiskOfMember = (state: AgentState, replica: string, disk: string): boolean =>
  committedMembershipOf(state)?.value.disks[replica] === disk;

/** The policy in force; null before any is known. */
export const policyOf = (state: AgentState): PolicyRegister | null =>
  (state.registers.policy?.value ?? null) as PolicyRegister | null;

/** What the zones register holds; one written before orders for origins alone has fewer fields. */
export const zonesValueOf = (value: unknown): ZonesRegister => {
  const known = (value ?? {}) as Partial<ZonesRegister>;
  const emptied = known.emptied ?? [];
  return {
    revision: known.revision ?? 0,
    emptied,
    closedOrigins: known.closedOrigins ?? emptied,
    reopened: known.reopened ?? {},
    lastOrders: known.lastOrders ?? {},
    changes: known.changes ?? [],
  };
};

/** The zones register; null before any order is known. */
export const zonesOf = (state: AgentState): ZonesRegister | null =>
  state.registers.zones === undefined ? null : zonesValueOf(state.registers.zones.value);

/** Zones whose origins get nothing. */
export const zonesWithClosedOrigins = (state: AgentState): readonly string[] =>
  zonesOf(state)?.closedOrigins ?? [];

/** The quota allocation in force; null before any is known. */
export const quotaAllocationOf = (state: AgentState): QuotaAllocation | null =>
  (state.registers.plan?.value ?? null) as QuotaAllocation | null;
