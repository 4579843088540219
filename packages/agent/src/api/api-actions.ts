/**
 * Handles the API actions of operators and origins: config changes, reads, descriptions of origins,
 * and the status of this node.
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
 * The interval, in milliseconds, at which an unchanged description of an origin is published by
 * gossip again. Together with the seconds between two descriptions this still happens twice within
 * `originRetentionMs`, with a third of the bytes of publishing every description.
 */
export const originRefreshIntervalMs = 3_000;

type ActionOf<K extends ApiAction['kind']> = Extract<ApiAction, { kind: K }>;

const sendAnswer = (transition: Transition, id: number, reply: ActionReply): void => {
  transition.effects.push({ kind: 'send-answer', requestId: id, ...reply });
};

/**
 * Whether a description was already published recently enough, with equal fields except its sequence
 * number.
 */
const isAnnounced = (state: AgentState, key: string, description: OriginDescription): boolean => {
  const record = state.gossip.records[key];
  if (record === undefined || record.isExpired) return false;
  if (
    state.now - record.seenAt >= originRefreshIntervalMs ||
    mayPredateZoneRestore(state, description.zone, record.seenAt)
  )
    return false;
  const published = record.value as OriginDescription;
  const fields = new Set([
    ...Object.keys(description),
    ...Object.keys(published),
  ] as (keyof OriginDescription)[]);
  return [...fields].every(
    (field) => field === 'sequence' || description[field] === published[field],
  );
};

/** Appends a journal entry, unless a majority of disks is known to have stored it. */
const appendOnce = (transition: Transition, key: string, id: number, body: unknown): void => {
  if (transition.state.committedEntryKeys[key]) sendAnswer(transition, id, { status: 200, body });
  else appendToJournal(transition, [{ key, value: true }], id, body);
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
 * The description of an origin to publish after it described itself: an origin that is draining
 * keeps draining for the rest of its incarnation.
 */
const descriptionToAnnounce = (
  known: OriginDescription | null,
  received: OriginDescription,
  isLate: boolean,
): OriginDescription => {
  if (known !== null && isLate) return known;
  const keepsDraining =
    known !== null && known.incarnation === received.incarnation && known.draining;
  return { ...received, draining: received.draining || keepsDraining };
};

const describe = (transition: Transition, id: number, description: OriginDescription): void => {
  const key = originKey(description);
  const known =
    (recordValue(transition.state.gossip, key) as OriginDescription | null | undefined) ?? null;
  if (known !== null && known.incarnation > description.incarnation) {
    sendAnswer(transition, id, olderIncarnation(known));
    return;
  }
  const isLate = known !== null && isOutdated(transition.state, description);
  const announced = descriptionToAnnounce(known, description, isLate);
  if (!isLate) {
    const { gossip, now } = transition.state;
    const next = isAnnounced(transition.state, key, announced)
      ? replaceValueLocally(gossip, key, announced)
      : publishRecord(gossip, key, announced, now, announced.sequence);
    update(transition, { gossip: next });
  }
  const reason = exclusionReason(transition.state, announced);
  const body = {
    recorded: true,
    admitted: reason === null,
    ...(reason === null ? {} : { reason }),
  };
  if (!announced.draining) sendAnswer(transition, id, { status: 200, body });
  else if (!toleratesLosses(transition.state)) sendAnswer(transition, id, tooFewMembers);
  else if (
    isUnreachable(transition.state) &&
    !transition.state.committedEntryKeys[drainKey(announced)]
  )
    sendAnswer(transition, id, unreachableResponse);
  else appendOnce(transition, drainKey(announced), id, body);
};

const noLeaseReason = (state: AgentState): string =>
  isUnreachable(state)
    ? 'this node is isolated from the control state'
    : 'replicas reply, but the lease of this node is not renewed yet';

/** Why clients should not use this node; null when it is ready. */
const unreadyReason = (state: AgentState): string | null => {
  const policy = policyOf(state);
  if (state.self.proxy === null) return 'this machine has no proxy';
  if (servingAllowanceMs(state) <= 0) return noLeaseReason(state);
  if (policy === null) return 'no policy is known';
  if (state.lastProxyReport === null || state.now - state.lastProxyReport.at >= leaseDurationMs)
    return 'its proxy does not request its feed';
  if (state.lastProxyReport.content.stopping) return 'its proxy is stopping';
  if (zonesOf(state)?.emptied.includes(state.self.zone) === true) return 'its zone is evacuated';
  return hasReadyQuotas(state)
    ? null
    : 'the quota allocation has not given this node enough quotas yet';
};

const readiness = (state: AgentState): ActionReply => {
  const reason = unreadyReason(state);
  if (reason === null) return { status: 200, body: { ready: true } };
  const body = {
    type: 'about:blank',
    title: 'Not ready',
    status: 503,
    detail: reason,
    ready: false,
  };
  return { status: 503, body, retryAfter: retryAfterSeconds };
};

const quotaShares = (state: AgentState): ActionReply => {
  if (isUnreachable(state)) return unreachableResponse;
  if (state.now >= state.leaseUntil) return unreached('The read');
  const allocation = quotaAllocationOf(state);
  const services = Object.entries(serviceRateLimits(state)).map(([name, bound]) => {
    const shares = allocation?.slices[name] ?? {};
    const rates = Object.keys(shares).map(
      (nodeId) => [nodeId, rateOf(shares, nodeId, bound)] as const,
    );
    const ceiling = policyOf(state)?.document.services[name]?.ceiling ?? null;
    return [name, { ceiling, bound, slices: Object.fromEntries(rates) }] as const;
  });
  const { holder = null, term = 0, beat = 0 } = allocation ?? {};
  return { status: 200, body: { holder, term, beat, services: Object.fromEntries(services) } };
};

const knownPeers = (state: AgentState): ActionReply => {
  const rows = nodesOf(state).map(({ record, seenAt }) => ({
    ...record,
    self: record.id === state.self.id,
    silentMs: Math.round(state.now - seenAt),
    delaySeconds: delaySecondsTo(state, record.id),
  }));
  const view = state.gossip.view.map((neighbour) => neighbour.id);
  return { status: 200, body: { node: state.self.id, view, peers: rows } };
};

const putPolicy = (
  transition: Transition,
  id: number,
  { document, ifMatch, changeId }: ActionOf<'put-policy'>,
): void => {
  const expiredPolicyRevision = newestExpiredRevision(transition.state, 'policy');
  const change = putPolicyChange({ document, ifMatch, changeId, expiredPolicyRevision });
  propose(transition, 'policy', change, { kind: 'put-policy', id, changeId });
};

const orderZone = (
  transition: Transition,
  id: number,
  { zone, order, of, changeId }: ActionOf<'zone'>,
): void => {
  const expiredZonesRevision = newestExpiredRevision(transition.state, 'zones');
  const change = zoneOrderChange({ zone, order, of, changeId, expiredZonesRevision });
  propose(transition, 'zones', change, { kind: 'zone', id, changeId });
};

/** Whether an action changes state that must survive the loss of disks. */
const isDurableChange = (action: ApiAction): boolean =>
  action.kind === 'put-policy' ||
  action.kind === 'zone' ||
  action.kind === 'purge' ||
  action.kind === 'withdraw';

/** Whether an action can be acknowledged only by a majority of replicas. */
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

/** Handles an API action of an operator or an origin. */
export const handleAction = (transition: Transition, id: number, action: ApiAction): void => {
  const { state } = transition;
  if (isDurableChange(action) && !toleratesLosses(state)) {
    sendAnswer(transition, id, tooFewMembers);
    return;
  }
  if (needsMajority(state, action) && isUnreachable(state)) {
    sendAnswer(transition, id, unreachableResponse);
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
      appendOnce(transition, withdrawalKey(action.instance), id, { withdrawn: action.instance });
      return;
    case 'describe':
      describe(transition, id, action.description);
      return;
    case 'status':
      sendAnswer(transition, id, { status: 200, body: nodeStatus(state) });
      return;
    case 'shares':
      sendAnswer(transition, id, quotaShares(state));
      return;
    case 'peers':
      sendAnswer(transition, id, knownPeers(state));
      return;
    case 'ready':
      sendAnswer(transition, id, readiness(state));
      return;
    case 'live':
      sendAnswer(transition, id, { status: 200, body: { live: true } });
      return;
  }
};
