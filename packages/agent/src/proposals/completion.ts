/**
 * What is done with the end of each proposal: answers to its caller, and what this node notes for
 * itself.
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

/** How a change of a register ended, and what the register held after it. */
export type ChangeOutcome =
  | { readonly kind: 'chosen'; readonly value: unknown }
  | { readonly kind: 'refused'; readonly reason: string; readonly value: unknown }
  | { readonly kind: 'unknown' };

type Purposed<K extends Purpose['kind']> = Extract<Purpose, { kind: K }>;

const answer = (transition: Transition, id: number, given: ActionReply): void => {
  transition.effects.push({ kind: 'send-answer', requestId: id, ...given });
};

const refusedPolicy = (reason: string, value: PolicyRegister | null): ActionReply => {
  const revision = value?.revision ?? 0;
  const isTaken = reason === refusalReasons.versionTaken;
  const detail = isTaken
    ? `another policy is in force under version ${value?.document.version ?? 0}`
    : `the policy in force has revision ${revision}`;
  const refused = refusal(412, isTaken ? 'Version taken' : 'Stale revision', detail);
  return { ...refused, body: { ...(refused.body as object), revision } };
};

const finishPutPolicy = (
  transition: Transition,
  purpose: Purposed<'put-policy'>,
  outcome: ChangeOutcome,
): void => {
  if (outcome.kind === 'unknown') {
    answer(transition, purpose.id, unreached('The policy'));
    return;
  }
  const value = outcome.value as PolicyRegister | null;
  if (outcome.kind === 'refused') {
    log(transition, 'policy.refused', {
      reason: outcome.reason,
      revision: value?.revision ?? 0,
      change: purpose.changeId,
    });
    answer(transition, purpose.id, refusedPolicy(outcome.reason, value));
    return;
  }
  const revision =
    findRecentChange(value?.changes ?? [], purpose.changeId)?.revision ?? value?.revision ?? 0;
  log(transition, 'policy.acknowledged', { revision, change: purpose.changeId });
  // The version in force: an older configuration is acknowledged though it is not this one.
  const version = value?.document.version;
  const body = {
    revision,
    changeId: purpose.changeId,
    ...(version === undefined ? {} : { version }),
  };
  answer(transition, purpose.id, { status: 200, body });
};

const finishGetPolicy = (
  transition: Transition,
  purpose: Purposed<'get-policy'>,
  outcome: ChangeOutcome,
): void => {
  if (outcome.kind !== 'chosen') {
    answer(transition, purpose.id, unreached('The read'));
    return;
  }
  const value = outcome.value as PolicyRegister | null;
  const policy = value?.document ?? { services: {}, routes: [] };
  answer(transition, purpose.id, { status: 200, body: { revision: value?.revision ?? 0, policy } });
};

const finishZone = (
  transition: Transition,
  purpose: Purposed<'zone'>,
  outcome: ChangeOutcome,
): void => {
  if (outcome.kind === 'unknown') {
    answer(transition, purpose.id, unreached('The order'));
    return;
  }
  const value = zonesValueOf(outcome.value);
  if (outcome.kind === 'refused') {
    log(transition, 'zones.overtaken', { revision: value.revision });
    const detail =
      'Another order for this zone was made meanwhile; nothing was changed. Repeat it.';
    answer(transition, purpose.id, unavailable('Overtaken', detail));
    return;
  }
  const revision = findRecentChange(value.changes, purpose.changeId)?.revision ?? value.revision;
  const { emptied, closedOrigins } = value;
  const lists = { emptied: emptied.join(','), closedOrigins: closedOrigins.join(',') };
  log(transition, 'zones.acknowledged', { revision: value.revision, ...lists });
  answer(transition, purpose.id, { status: 200, body: { revision, emptied, closedOrigins } });
};

const finishAllocation = (
  transition: Transition,
  { goal }: Purposed<'publish-allocation'>,
  outcome: ChangeOutcome,
): void => {
  const { state } = transition;
  const own = outcome.kind === 'chosen' ? (outcome.value as QuotaAllocation) : null;
  if (
    own === null ||
    own.holder !== state.self.id ||
    own.term !== goal.term ||
    own.beat !== goal.beat
  ) {
    if (state.quotaLeadership !== null)
      log(transition, 'quota-leadership.lost', { term: goal.term, how: outcome.kind });
    update(transition, { quotaLeadership: null });
    return;
  }
  if (state.quotaLeadership === null || state.quotaLeadership.term !== own.term) {
    log(transition, 'quota-leadership.won', { term: own.term });
    update(transition, { quotaLeadership: { term: own.term, precedingAllocations: [] } });
    return;
  }
  // Chosen now: from here on its forerunners last one lease more, no longer.
  const last = state.now + quotaRaiseDelayMs;
  const held = state.quotaLeadership.precedingAllocations.map((each) => ({
    ...each,
    until: Math.min(each.until, last),
  }));
  update(transition, { quotaLeadership: { ...state.quotaLeadership, precedingAllocations: held } });
};

/** A claim that is pending in an incarnation that is over has no known outcome any more. */
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
  purpose: Purposed<'change-membership'>,
  outcome: ChangeOutcome,
): void => {
  if (outcome.kind !== 'chosen') return;
  const { member: replica, diskId: disk, replacedMember: instead } = purpose;
  if (instead === undefined) log(transition, 'members.seated', { replica, disk });
  else log(transition, 'members.replaced', { replica, disk, instead });
};

/** Does what is to be done at the end of a proposal. */
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
