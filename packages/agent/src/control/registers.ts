/** Typed access to the values of registers that this node knows to be chosen. */

import type { QuotaAllocation } from '@reedyard/quota-division';
import type { CommittedMembership, Membership } from '@reedyard/replica';
import type { PolicyRegister, ZonesRegister } from '../messages.js';
import type { AgentState } from '../state.js';

/**
 * Whether changes may be acknowledged: not while there are so few members that the loss of
 * `bootstrap.losses` disks could undo a change.
 */
export const toleratesLosses = (state: AgentState): boolean =>
  state.bootstrap === null ||
  Object.keys(committedMembershipOf(state)?.value.disks ?? {}).length >=
    2 * state.bootstrap.losses + 1;

/** The newest membership that is known to be chosen; null before any is known. */
export const committedMembershipOf = (state: AgentState): CommittedMembership | null => {
  const known = state.registers.members;
  return known === undefined
    ? null
    : { proposalNumber: known.proposalNumber, value: known.value as Membership };
};

/** Whether a disk is the one assigned to the replica in the membership, so that its replies count. */
export const isDiskOfMember = (state: AgentState, replica: string, diskId: string): boolean =>
  committedMembershipOf(state)?.value.disks[replica] === diskId;

/** The policy in force; null before any is known. */
export const policyOf = (state: AgentState): PolicyRegister | null =>
  (state.registers.policy?.value ?? null) as PolicyRegister | null;

/**
 * The value of the zones register, with defaults for absent fields: a register that was written
 * before orders could concern a zone's origins alone has fewer fields.
 */
export const zonesValueOf = (value: unknown): ZonesRegister => {
  const stored = (value ?? {}) as Partial<ZonesRegister>;
  const emptied = stored.emptied ?? [];
  return {
    revision: stored.revision ?? 0,
    emptied,
    closedOrigins: stored.closedOrigins ?? emptied,
    reopened: stored.reopened ?? {},
    lastOrders: stored.lastOrders ?? {},
    changes: stored.changes ?? [],
  };
};

/** The zones register; null before any order is known. */
export const zonesOf = (state: AgentState): ZonesRegister | null =>
  state.registers.zones === undefined ? null : zonesValueOf(state.registers.zones.value);

/** Zones whose origins get no requests. */
export const zonesWithClosedOrigins = (state: AgentState): readonly string[] =>
  zonesOf(state)?.closedOrigins ?? [];

/** The quota allocation in force; null before any is known. */
export const quotaAllocationOf = (state: AgentState): QuotaAllocation | null =>
  (state.registers.plan?.value ?? null) as QuotaAllocation | null;
