/**
 * Calls of operators and origins: orders, reads, descriptions, and what this node tells about
 * itself.
 */
import { publishRecord, recordValue, replaceValueLocally } from '@reedyard/gossip';
import { rateOf } from '@reedyard/quota-division';
import { leaseDurationMs } from '@reedyard/replica';
import type { OriginDescription } from '@reedyard/schemas';
import { servingAllowanceMs, isUnreachable, unreachableResponse } from '../control/reachability.js';
import { policyOf, quotaAllocationOf, toleratesLosses, zonesOf } from '../control/registers.js';
import { hasReadyQuotas } from '../feed/feed.js';
import { nodesOf } from '../gossip/known-nodes.js';
import type { ApiAction } from '../messages.js';
import { serviceRateLimits } from '../origins/origin-endpoints.js';
import {
  drainKey,
  exclusionReason,
  isOutdated,
  mayPredateZoneRestore,
  originKey,
  withdrawalKey,
} from '../origins/origins.js';
import { newestExpiredRevision } from '../proposals/change-ids.js';
import { putPolicyChange, zoneOrderChange } from '../proposals/changes.js';
import { appendToJournal } from '../proposals/journal-appends.js';
import { propose } from '../proposals/proposals.js';
import { delaySecondsTo } from '../routing/peer-delays.js';
import type { AgentState } from '../state.js';
import { type Transition, update } from '../transition.js';
import { type ActionReply, retryAfterSeconds, tooFewMembers, unreached } from './action-replies.js';
import { nodeStatus } from './status.js';

/**
 * ms. An origin that says nothing new is told by gossip again after this long: with the seconds
 * between two of its descriptions still twice within `originForgotten`, and a third of the
 * bytes.
 */
export const originRefreshIntervalMs = 3_000;

type ActionOf<K extends ApiAction['kind']> = Extract<ApiAction, { kind: K }>;

const answer = (transition: Transition, id: number, given: ActionReply): void => {
  transition.effects.push({ kind: 'send-answer', requestId: id, ...given });
};

/** Whether all of a description but its number was told already, lately enough. */
const isAnnounced = (state: AgentState, key: string, told: OriginDescription): boolean => {
  const held = state.gossip.records[key];
  if (held === undefined || held.isExpired) return false;
  if (
    state.now - held.seenAt >= originRefreshIntervalMs ||
    mayPredateZoneRestore(state, told.zone, held.seenAt)
  )
    return false;
  const known = held.value as OriginDescription;
  const fields = new Set([
    ...Object.keys(told),
    ...Object.keys(known),
  ] as (keyof OriginDescription)[]);
  return [...fields].every((field) => field === 'sequence' || told[field] === known[field]);
};

/** Posts a journal entry, unless a majority of disks is known to hold it. */
const postOnce = (transition: Transition, key: string, id: number, done: unknown): void => {
  if (transition.state.committedEntryKeys[key]) answer(transition, id, { status: 200, body: done });
  else appendToJournal(transition, [{ key, value: true }], id, done);
};

const olderIncarnation = (known: OriginDescription): ActionReply => ({
  status: 409,
  body: {
    type: 'about:blank',
    title: 'Older incarnation',
    status: 409,
    detail: `incarnation ${known.incarnation} of this instance has already described itself`,
  },
});

/**
 * What is told of an origin after it described itself: one that drains goes on to do so in this
 * incarnation.
 */
const descriptionToAnnounce = (
  known: OriginDescription | null,
  sent: OriginDescription,
  isLate: boolean,
): OriginDescription => {
  if (known !== null && isLate) return known;
  const drainsOn = known !== null && known.incarnation === sent.incarnation && known.draining;
  return { ...sent, draining: sent.draining || drainsOn };
};

const describe = (transition: Transition, id: number, description: OriginDescription): void => {
  const key = originKey(description);
  const known =
    (recordValue(transition.state.gossip, key) as OriginDescription | null | undefined) ?? null;
  if (known !== null && known.incarnation > description.incarnation) {
    answer(transition, id, olderIncarnation(known));
    return;
  }
  const isLate = known !== null && isOutdated(transition.state, description);
  const told = descriptionToAnnounce(known, description, isLate);
  if (!isLate) {
    const { gossip, now } = transition.state;
    const next = isAnnounced(transition.state, key, told)
      ? replaceValueLocally(gossip, key, told)
      : publishRecord(gossip, key, told, now, told.sequence);
    update(transition, { gossip: next });
  }
  const why = exclusionReason(transition.state, told);
  const done = { recorded: true, admitted: why === null, ...(why === null ? {} : { reason: why }) };
  if (!told.draining) answer(transition, id, { status: 200, body: done });
  else if (!toleratesLosses(transition.state)) answer(transition, id, tooFewMembers);
  else if (isUnreachable(transition.state) && !transition.state.committedEntryKeys[drainKey(told)])
    answer(transition, id, unreachableResponse);
  else postOnce(transition, drainKey(told), id, done);
};

const whyNoLease = (state: AgentState): string =>
  isUnreachable(state)
    ? 'it is cut off from the control state'
    : 'replicas answer, but its lease is not renewed yet';

/** Why no callers should come to this node, or null if they may. */
const unreadyReason = (state: AgentState): string | null => {
  const policy = policyOf(state);
  if (state.self.proxy === null) return 'this machine has no proxy';
  if (servingAllowanceMs(state) <= 0) return whyNoLease(state);
  if (policy === null) return 'no policy is known';
  if (state.lastProxyReport === null || state.now - state.lastProxyReport.at >= leaseDurationMs)
    return 'its proxy does not ask for news';
  if (state.lastProxyReport.content.stopping) return 'its proxy is leaving';
  if (zonesOf(state)?.emptied.includes(state.self.zone) === true) return 'its zone is emptied';
  return hasReadyQuotas(state) ? null : 'the division has not given it its slices yet';
};

const readiness = (state: AgentState): ActionReply => {
  const why = unreadyReason(state);
  if (why === null) return { status: 200, body: { ready: true } };
  const body = { type: 'about:blank', title: 'Not ready', status: 503, detail: why, ready: false };
  return { status: 503, body, retryAfter: retryAfterSeconds };
};

const shares = (state: AgentState): ActionReply => {
  if (isUnreachable(state)) return unreachableResponse;
  if (state.now >= state.leaseUntil) return unreached('The read');
  const plan = quotaAllocationOf(state);
  const services = Object.entries(serviceRateLimits(state)).map(([name, bound]) => {
    const slices = plan?.slices[name] ?? {};
    const rates = Object.keys(slices).map((edge) => [edge, rateOf(slices, edge, bound)] as const);
    const ceiling = policyOf(state)?.document.services[name]?.ceiling ?? null;
    return [name, { ceiling, bound, slices: Object.fromEntries(rates) }] as const;
  });
  const { holder = null, term = 0, beat = 0 } = plan ?? {};
  return { status: 200, body: { holder, term, beat, services: Object.fromEntries(services) } };
};

const peers = (state: AgentState): ActionReply => {
  const rows = nodesOf(state).map(({ record, seenAt }) => ({
    ...record,
    self: record.id === state.self.id,
    silentMs: Math.round(state.now - seenAt),
    delaySeconds: delaySecondsTo(state, record.id),
  }));
  const view = state.gossip.view.map((each) => each.id);
  return { status: 200, body: { node: state.self.id, view, peers: rows } };
};

const putPolicy = (
  transition: Transition,
  id: number,
  { document, ifMatch, changeId }: ActionOf<'put-policy'>,
): void => {
  const lapsed = newestExpiredRevision(transition.state, 'policy');
  const change = putPolicyChange({ document, ifMatch, changeId, expiredPolicyRevision: lapsed });
  propose(transition, 'policy', change, { kind: 'put-policy', id, changeId });
};

const orderZone = (
  transition: Transition,
  id: number,
  { zone, order, of, changeId }: ActionOf<'zone'>,
): void => {
  const lapsed = newestExpiredRevision(transition.state, 'zones');
  const change = zoneOrderChange({ zone, order, of, changeId, expiredZonesRevision: lapsed });
  propose(transition, 'zones', change, { kind: 'zone', id, changeId });
};

/** Whether an action changes what must survive the loss of disks. */
const isOrder = (action: ApiAction): boolean =>
  action.kind === 'put-policy' ||
  action.kind === 'zone' ||
  action.kind === 'purge' ||
  action.kind === 'withdraw';

/** Whether an action can be acknowledged by a majority of replicas only. */
const needsMajority = (state: AgentState, action: ApiAction): boolean => {
  switch (action.kind) {
    case 'put-policy':
    case 'get-policy':
    case 'zone':
    case 'purge':
      return true;
    case 'withdraw':
      return !state.committedEntryKeys[withdrawalKey(action.instance)];
    default:
      return false;
  }
};

/** Takes a call of an operator or an origin. */
export const operator = (transition: Transition, id: number, action: ApiAction): void => {
  const { state } = transition;
  if (isOrder(action) && !toleratesLosses(state)) {
    answer(transition, id, tooFewMembers);
    return;
  }
  if (needsMajority(state, action) && isUnreachable(state)) {
    answer(transition, id, unreachableResponse);
    return;
  }
  switch (action.kind) {
    case 'put-policy':
      putPolicy(transition, id, action);
      return;
    case 'get-policy':
      propose(transition, 'policy', () => ({ kind: 'keep' }), { kind: 'get-policy', id });
      return;
    case 'zone':
      orderZone(transition, id, action);
      return;
    case 'purge': {
      const { changeId, purge } = action;
      appendToJournal(transition, [{ key: `purge/${changeId}`, value: purge }], id, { changeId });
      return;
    }
    case 'withdraw':
      postOnce(transition, withdrawalKey(action.instance), id, { withdrawn: action.instance });
      return;
    case 'describe':
      describe(transition, id, action.description);
      return;
    case 'status':
      answer(transition, id, { status: 200, body: nodeStatus(state) });
      return;
    case 'shares':
      answer(transition, id, shares(state));
      return;
    case 'peers':
      answer(transition, id, peers(state));
      return;
    case 'ready':
      answer(transition, id, readiness(state));
      return;
    case 'live':
      answer(transition, id, { status: 200, body: { live: true } });
      return;
  }
};
