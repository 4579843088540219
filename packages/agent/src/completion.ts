/**
 * What is done with the end of each proposal: answers to its caller, and what this node notes for
 * itself.
 */
import { Limits } from '@reedyard/constants';
import { Gossip } from '@reedyard/gossip';
import type { Plan } from '@reedyard/quota-division';
import { refusal, unavailable, unreached, type ApiAnswer } from './answers.js';
import { findChange } from './change-ids.js';
import { Refusals } from './changes.js';
import { zonesValueOf, log, set, type Purpose, type Work } from './state.js';
import type { ClaimReply, ClaimState, ClaimValue, NodeRecord, PolicyValue } from './terms.js';

/** How a change of a register ended, and what the register held after it. */
export type Outcome =
  | { readonly kind: 'chosen'; readonly value: unknown }
  | { readonly kind: 'refused'; readonly reason: string; readonly value: unknown }
  | { readonly kind: 'unknown' };

type Purposed<K extends Purpose['kind']> = Extract<Purpose, { kind: K }>;

const answer = (work: Work, id: number, given: ApiAnswer): void => {
  work.effects.push({ kind: 'answer', id, ...given });
};

const refusedPolicy = (reason: string, value: PolicyValue | null): ApiAnswer => {
  const revision = value?.revision ?? 0;
  const isTaken = reason === Refusals.versionTaken;
  const detail = isTaken
    ? `another policy is in force under version ${value?.document.version ?? 0}`
    : `the policy in force has revision ${revision}`;
  const refused = refusal(412, isTaken ? 'Version taken' : 'Stale revision', detail);
  return { ...refused, body: { ...(refused.body as object), revision } };
};

const finishPutPolicy = (work: Work, purpose: Purposed<'put-policy'>, outcome: Outcome): void => {
  if (outcome.kind === 'unknown') {
    answer(work, purpose.id, unreached('The policy'));
    return;
  }
  const value = outcome.value as PolicyValue | null;
  if (outcome.kind === 'refused') {
    log(work, 'policy.refused', {
      reason: outcome.reason,
      revision: value?.revision ?? 0,
      change: purpose.changeId,
    });
    answer(work, purpose.id, refusedPolicy(outcome.reason, value));
    return;
  }
  const revision =
    findChange(value?.changes ?? [], purpose.changeId)?.revision ?? value?.revision ?? 0;
  log(work, 'policy.acknowledged', { revision, change: purpose.changeId });
  // The version in force: an older configuration is acknowledged though it is not this one.
  const version = value?.document.version;
  const body = {
    revision,
    changeId: purpose.changeId,
    ...(version === undefined ? {} : { version }),
  };
  answer(work, purpose.id, { status: 200, body });
};

const finishGetPolicy = (work: Work, purpose: Purposed<'get-policy'>, outcome: Outcome): void => {
  if (outcome.kind !== 'chosen') {
    answer(work, purpose.id, unreached('The read'));
    return;
  }
  const value = outcome.value as PolicyValue | null;
  const policy = value?.document ?? { services: {}, routes: [] };
  answer(work, purpose.id, { status: 200, body: { revision: value?.revision ?? 0, policy } });
};

const finishZone = (work: Work, purpose: Purposed<'zone'>, outcome: Outcome): void => {
  if (outcome.kind === 'unknown') {
    answer(work, purpose.id, unreached('The order'));
    return;
  }
  const value = zonesValueOf(outcome.value);
  if (outcome.kind === 'refused') {
    log(work, 'zones.overtaken', { revision: value.revision });
    const detail =
      'Another order for this zone was made meanwhile; nothing was changed. Repeat it.';
    answer(work, purpose.id, unavailable('Overtaken', detail));
    return;
  }
  const revision = findChange(value.changes, purpose.changeId)?.revision ?? value.revision;
  const { emptied, closedOrigins } = value;
  const lists = { emptied: emptied.join(','), closedOrigins: closedOrigins.join(',') };
  log(work, 'zones.acknowledged', { revision: value.revision, ...lists });
  answer(work, purpose.id, { status: 200, body: { revision, emptied, closedOrigins } });
};

const finishPlan = (work: Work, { goal }: Purposed<'plan'>, outcome: Outcome): void => {
  const { state } = work;
  const own = outcome.kind === 'chosen' ? (outcome.value as Plan) : null;
  if (
    own === null ||
    own.holder !== state.self.id ||
    own.term !== goal.term ||
    own.beat !== goal.beat
  ) {
    if (state.quotaLeadership !== null)
      log(work, 'quota-leadership.lost', { term: goal.term, how: outcome.kind });
    set(work, { quotaLeadership: null });
    return;
  }
  if (state.quotaLeadership === null || state.quotaLeadership.term !== own.term) {
    log(work, 'quota-leadership.won', { term: own.term });
    set(work, { quotaLeadership: { term: own.term, held: [] } });
    return;
  }
  // Chosen now: from here on its forerunners last one lease more, no longer.
  const last = state.now + Limits.regrant;
  const held = state.quotaLeadership.held.map((each) => ({
    ...each,
    until: Math.min(each.until, last),
  }));
  set(work, { quotaLeadership: { ...state.quotaLeadership, held } });
};

/** A claim that is pending in a life that is over has no known outcome any more. */
const claimState = (work: Work, claim: ClaimValue): ClaimState => {
  if (claim.state !== 'pending') return claim.state;
  const record = Gossip.get(work.state.gossip, `node/${claim.node}`) as
    NodeRecord | undefined | null;
  return record && record.proxyLife === claim.life ? 'pending' : 'unknown';
};

const claimReply = (work: Work, outcome: Outcome): ClaimReply => {
  if (outcome.kind === 'chosen') return { kind: 'granted' };
  if (outcome.kind === 'unknown') return { kind: 'unreached' };
  if (outcome.reason === 'other') return { kind: 'other' };
  return { kind: 'taken', state: claimState(work, outcome.value as ClaimValue) };
};

const finishSeat = (work: Work, purpose: Purposed<'seat'>, outcome: Outcome): void => {
  if (outcome.kind !== 'chosen') return;
  const { replica, disk, instead } = purpose;
  if (instead === undefined) log(work, 'members.seated', { replica, disk });
  else log(work, 'members.replaced', { replica, disk, instead });
};

/** Does what is to be done at the end of a proposal. */
export const finish = (work: Work, purpose: Purpose, outcome: Outcome): void => {
  switch (purpose.kind) {
    case 'put-policy':
      finishPutPolicy(work, purpose, outcome);
      return;
    case 'get-policy':
      finishGetPolicy(work, purpose, outcome);
      return;
    case 'zone':
      finishZone(work, purpose, outcome);
      return;
    case 'plan':
      finishPlan(work, purpose, outcome);
      return;
    case 'claim':
      work.effects.push({ kind: 'tell', id: purpose.id, body: claimReply(work, outcome) });
      return;
    case 'settle': {
      const body: ClaimReply =
        outcome.kind === 'unknown' ? { kind: 'unreached' } : { kind: 'granted' };
      work.effects.push({ kind: 'tell', id: purpose.id, body });
      return;
    }
    case 'seat':
      finishSeat(work, purpose, outcome);
      return;
    case 'repair':
      return;
  }
};
