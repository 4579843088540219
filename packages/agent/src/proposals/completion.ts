/**
 * Completes changes of registers: sends the response to the client that requested the change, and
 * updates the node's own state.
 */
import { recordValue } from '@reedyard/gossip';
import type { QuotaAllocation } from '@reedyard/quota-division';
import { type ActionReply, refusal, unavailable, unreached } from '../api/action-replies.js';
import { zonesValueOf } from '../control/registers.js';
import type {
  ClaimRegister,
  ClaimReply,
  ClaimState,
  NodeRecord,
  PolicyRegister,
} from '../messages.js';
import { quotaRaiseDelayMs } from '../quota/quota-leadership.js';
import { log, type Transition, update } from '../transition.js';
import { findRecentChange } from './change-ids.js';
import { refusalReasons } from './changes.js';
import type { Purpose } from './proposal-state.js';

/** The outcome of a change of a register, with the register's value after the change. */
export type ChangeOutcome =
  | { readonly kind: 'chosen'; readonly value: unknown }
  | { readonly kind: 'refused'; readonly reason: string; readonly value: unknown }
  | { readonly kind: 'unknown' };

type PurposeOf<K extends Purpose['kind']> = Extract<Purpose, { kind: K }>;

const respond = (transition: Transition, id: number, response: ActionReply): void => {
  transition.effects.push({ kind: 'send-answer', requestId: id, ...response });
};

const policyRefusal = (reason: string, value: PolicyRegister | null): ActionReply => {
  const revision = value?.revision ?? 0;
  const isVersionTaken = reason === refusalReasons.versionTaken;
  const detail = isVersionTaken
    ? `another policy is in force under version ${value?.document.version ?? 0}`
    : `the policy in force has revision ${revision}`;
  const response = refusal(412, isVersionTaken ? 'Version taken' : 'Stale revision', detail);
  return { ...response, body: { ...(response.body as object), revision } };
};

const finishPutPolicy = (
  transition: Transition,
  purpose: PurposeOf<'put-policy'>,
  outcome: ChangeOutcome,
): void => {
  if (outcome.kind === 'unknown') {
    respond(transition, purpose.id, unreached('The policy'));
    return;
  }
  const value = outcome.value as PolicyRegister | null;
  if (outcome.kind === 'refused') {
    log(transition, 'policy.refused', {
      reason: outcome.reason,
      revision: value?.revision ?? 0,
      change: purpose.changeId,
    });
    respond(transition, purpose.id, policyRefusal(outcome.reason, value));
    return;
  }
  const revision =
    findRecentChange(value?.changes ?? [], purpose.changeId)?.revision ?? value?.revision ?? 0;
  log(transition, 'policy.acknowledged', { revision, change: purpose.changeId });
  // The version in force, which may be newer than the one sent: older versions are acknowledged too.
  const version = value?.document.version;
  const body = {
    revision,
    changeId: purpose.changeId,
    ...(version === undefined ? {} : { version }),
  };
  respond(transition, purpose.id, { status: 200, body });
};

const finishGetPolicy = (
  transition: Transition,
  purpose: PurposeOf<'get-policy'>,
  outcome: ChangeOutcome,
): void => {
  if (outcome.kind !== 'chosen') {
    respond(transition, purpose.id, unreached('The read'));
    return;
  }
  const value = outcome.value as PolicyRegister | null;
  const policy = value?.document ?? { services: {}, routes: [] };
  respond(transition, purpose.id, {
    status: 200,
    body: { revision: value?.revision ?? 0, policy },
  });
};

const finishZone = (
  transition: Transition,
  purpose: PurposeOf<'zone'>,
  outcome: ChangeOutcome,
): void => {
  if (outcome.kind === 'unknown') {
    respond(transition, purpose.id, unreached('The order'));
    return;
  }
  const value = zonesValueOf(outcome.value);
  if (outcome.kind === 'refused') {
    log(transition, 'zones.overtaken', { revision: value.revision });
    const detail =
      'Another order for this zone was applied in the meantime; nothing was changed. Repeat the request.';
    respond(transition, purpose.id, unavailable('Overtaken', detail));
    return;
  }
  const revision = findRecentChange(value.changes, purpose.changeId)?.revision ?? value.revision;
  const { emptied, closedOrigins } = value;
  const lists = { emptied: emptied.join(','), closedOrigins: closedOrigins.join(',') };
  log(transition, 'zones.acknowledged', { revision: value.revision, ...lists });
  respond(transition, purpose.id, { status: 200, body: { revision, emptied, closedOrigins } });
};

const finishAllocation = (
  transition: Transition,
  { goal }: PurposeOf<'publish-allocation'>,
  outcome: ChangeOutcome,
): void => {
  const { state } = transition;
  const chosen = outcome.kind === 'chosen' ? (outcome.value as QuotaAllocation) : null;
  if (
    chosen === null ||
    chosen.holder !== state.self.id ||
    chosen.term !== goal.term ||
    chosen.beat !== goal.beat
  ) {
    if (state.quotaLeadership !== null)
      log(transition, 'quota-leadership.lost', { term: goal.term, how: outcome.kind });
    update(transition, { quotaLeadership: null });
    return;
  }
  if (state.quotaLeadership === null || state.quotaLeadership.term !== chosen.term) {
    log(transition, 'quota-leadership.won', { term: chosen.term });
    update(transition, { quotaLeadership: { term: chosen.term, precedingAllocations: [] } });
    return;
  }
  // Once the allocation is chosen, other nodes use the preceding ones for at most one more lease.
  const latestEnd = state.now + quotaRaiseDelayMs;
  const precedingAllocations = state.quotaLeadership.precedingAllocations.map((allocation) => ({
    ...allocation,
    until: Math.min(allocation.until, latestEnd),
  }));
  update(transition, { quotaLeadership: { ...state.quotaLeadership, precedingAllocations } });
};

/**
 * The state of a claim. A claim that is pending in an incarnation that has ended has an unknown
 * outcome.
 */
const claimState = (transition: Transition, claim: ClaimRegister): ClaimState => {
  if (claim.state !== 'pending') return claim.state;
  const record = recordValue(transition.state.gossip, `node/${claim.node}`) as
    NodeRecord | undefined | null;
  return record && record.proxyLife === claim.life ? 'pending' : 'unknown';
};

const claimReply = (transition: Transition, outcome: ChangeOutcome): ClaimReply => {
  if (outcome.kind === 'chosen') return { kind: 'granted' };
  if (outcome.kind === 'unknown') return { kind: 'unreached' };
  if (outcome.reason === 'other') return { kind: 'other' };
  return { kind: 'taken', state: claimState(transition, outcome.value as ClaimRegister) };
};

const finishMembershipChange = (
  transition: Transition,
  purpose: PurposeOf<'change-membership'>,
  outcome: ChangeOutcome,
): void => {
  if (outcome.kind !== 'chosen') return;
  const { member: replica, diskId: disk, replacedMember: instead } = purpose;
  if (instead === undefined) log(transition, 'members.seated', { replica, disk });
  else log(transition, 'members.replaced', { replica, disk, instead });
};

/** Handles the outcome of a change according to its purpose. */
export const completeChange = (
  transition: Transition,
  purpose: Purpose,
  outcome: ChangeOutcome,
): void => {
  switch (purpose.kind) {
    case 'put-policy':
      finishPutPolicy(transition, purpose, outcome);
      return;
    case 'get-policy':
      finishGetPolicy(transition, purpose, outcome);
      return;
    case 'zone':
      finishZone(transition, purpose, outcome);
      return;
    case 'publish-allocation':
      finishAllocation(transition, purpose, outcome);
      return;
    case 'claim':
      transition.effects.push({
        kind: 'send-reply',
        requestId: purpose.id,
        reply: claimReply(transition, outcome),
      });
      return;
    case 'settle-claim': {
      const body: ClaimReply =
        outcome.kind === 'unknown' ? { kind: 'unreached' } : { kind: 'granted' };
      transition.effects.push({ kind: 'send-reply', requestId: purpose.id, reply: body });
      return;
    }
    case 'change-membership':
      finishMembershipChange(transition, purpose, outcome);
      return;
    case 'repair':
      return;
  }
};
