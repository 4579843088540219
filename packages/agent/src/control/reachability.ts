/**
 * Detects whether this node is isolated from the replicas. A missing reply differs from a refusal: a
 * replica that sends any reply is reachable, even if it replies that it is not a member, is
 * recovering or knows a newer membership. A node is isolated only if a majority of replicas sends no
 * reply at all. Whether the calls or the replies are lost can't be known here, and makes no
 * difference.
 */
import { majorityOf } from '@reedyard/consensus';
import { type ActionReply, unavailable } from '../api/action-replies.js';
import type { PendingAppend, PendingChange, Purpose } from '../proposals/proposal-state.js';
import type { AgentState } from '../state.js';
import { isTickLate } from '../tick-delay.js';
import { log, type Transition, update } from '../transition.js';
import type { ReplicaView } from './control-state.js';
import { lowLeasePollIntervalMs } from './lease.js';

/**
 * How long all ticks of a process must have been on time before it may consider itself isolated, in
 * milliseconds. A process that was starved of CPU or frozen has unanswered polls as well, although
 * others may reach it.
 */
export const minUndelayedMs = 2_000;

/**
 * The allowance given to a proxy that may serve while isolated, in milliseconds. It lasts until the
 * proxy's next query: two feeds.
 */
export const isolatedAllowanceMs = 600;

/**
 * How long a replica may send no reply before it is unresponsive, in milliseconds: two polls, one of
 * them lost, and a round trip. Shorter than the lease, so that an isolated node has detected its
 * isolation when its lease expires.
 */
export const replicaTimeoutMs = 1_200;

/**
 * The Retry-After of responses to requests that another node, which reaches a majority, can probably
 * handle immediately, in seconds.
 */
export const retryElsewhereSeconds = 0;

/**
 * How long a change or an append waits without any reply from a majority before it fails, in
 * milliseconds. Clients wait one second for a response and then try another node.
 */
export const isolatedChangeTimeoutMs = 600;

/** The number of replicas that sent any reply since the given time. */
const respondingReplicas = (state: AgentState, since: number): number =>
  Object.values(state.replicas).filter((view) => view.lastReplyAt >= since).length;

/** Whether a majority of replicas sent any reply since the given time. */
export const hasMajorityRepliedSince = (state: AgentState, since: number): boolean => {
  const replicaCount = Object.keys(state.replicas).length;
  return replicaCount > 0 && respondingReplicas(state, since) >= majorityOf(replicaCount);
};

/**
 * Whether this process was itself delayed recently. Replies to it were delayed as well, so missing
 * replies are no evidence of isolation.
 */
const wasDelayed = (state: AgentState, withinMs: number): boolean =>
  isTickLate(state) || state.now - state.lastLateTickAt <= withinMs;

/**
 * Whether no majority of replicas replied within the replica timeout, which is too long for a
 * coincidence of lost messages.
 */
const isMajorityUnresponsive = (state: AgentState): boolean =>
  !hasMajorityRepliedSince(state, state.now - replicaTimeoutMs);

/**
 * Whether this node has neither a lease nor any recent reply from a majority of replicas, and was not
 * itself delayed.
 */
export const isUnreachable = (state: AgentState): boolean =>
  state.now >= state.leaseUntil &&
  isMajorityUnresponsive(state) &&
  !wasDelayed(state, replicaTimeoutMs);

/** Records that a replica sent a reply, whatever its content. */
export const recordReplicaReply = (transition: Transition, replica: string): void => {
  const { state } = transition;
  const view = state.replicas[replica];
  if (view === undefined) return;
  const wasUnresponsive = state.now - view.lastReplyAt >= replicaTimeoutMs;
  update(transition, {
    replicas: { ...state.replicas, [replica]: { ...view, lastReplyAt: state.now } },
    ...(wasUnresponsive ? { lastReplicaReturnAt: state.now } : {}),
  });
};

/** Whether this node may serve without a lease: its operators configured that, and it is isolated. */
const mayServeIsolated = (state: AgentState): boolean =>
  state.self.servesOn === true &&
  state.registers.policy !== undefined &&
  isMajorityUnresponsive(state) &&
  !wasDelayed(state, minUndelayedMs);

/** The rest of the lease, in milliseconds; 0 without one. */
export const leaseLeftMs = (state: AgentState): number => Math.max(0, state.leaseUntil - state.now);

/**
 * How long this node may serve from the state that it knows, in milliseconds: the rest of its lease,
 * or, where it may serve while isolated, at least until the proxy's next queries. The latter applies
 * already to the last part of a lease that expires in isolation, since no feed would be sent in
 * between. A process that was itself delayed can't detect isolation, since replies to it were delayed
 * as well: it refuses until it has polled.
 */
export const servingAllowanceMs = (state: AgentState): number => {
  const leaseMs = leaseLeftMs(state);
  return mayServeIsolated(state) ? Math.max(leaseMs, isolatedAllowanceMs) : leaseMs;
};

/**
 * Logs once that the lease expired since the previous tick, with the number of replicas that still
 * reply.
 */
export const logLeaseLost = (transition: Transition, previousTickAt: number): void => {
  const { state } = transition;
  if (state.leaseUntil <= previousTickAt || state.leaseUntil > state.now) return;
  const answering = respondingReplicas(state, state.now - replicaTimeoutMs);
  log(transition, 'lease.lost', { answering, replicas: Object.keys(state.replicas).length });
};

/**
 * Whether a change was requested by the operators' API. Its clients try another node after one second
 * without a response.
 */
const isApiPurpose = ({ kind }: Purpose): boolean =>
  kind === 'put-policy' || kind === 'get-policy' || kind === 'zone';

/**
 * Whether a request has been pending for long enough, with replies from too few replicas since the
 * given time to make progress.
 */
const isStuck = (state: AgentState, requestedAt: number, since: number): boolean =>
  state.now - requestedAt >= isolatedChangeTimeoutMs &&
  !hasMajorityRepliedSince(state, Math.max(requestedAt, since)) &&
  !wasDelayed(state, isolatedChangeTimeoutMs);

/**
 * Whether a change that a client waits for can't progress, since a majority of replicas does not
 * reply. While an API request is pending replicas are polled more often, so a shorter time without
 * replies is enough evidence.
 */
export const isChangeIsolated = (
  state: AgentState,
  { purpose, requestedAt }: PendingChange,
): boolean => {
  if (isApiPurpose(purpose))
    return isStuck(state, requestedAt, state.now - isolatedChangeTimeoutMs);
  return purpose.kind === 'claim' && isStuck(state, requestedAt, state.now - replicaTimeoutMs);
};

/** Whether an append of journal entries can't progress, since a majority of replicas does not reply. */
export const isAppendIsolated = (state: AgentState, { requestedAt }: PendingAppend): boolean =>
  isStuck(state, requestedAt, state.now - isolatedChangeTimeoutMs);

/**
 * Whether an API request or an append has been pending for so long that replicas are polled early, to
 * check whether they still reply.
 */
export const isHealthCheckNeeded = (state: AgentState): boolean => {
  const apiChanges = Object.values(state.pendingChanges).filter(({ purpose }) =>
    isApiPurpose(purpose),
  );
  return [...apiChanges, ...Object.values(state.pendingAppends)].some(
    ({ requestedAt }) => state.now - requestedAt >= lowLeasePollIntervalMs,
  );
};

/** Whether a replica is due for an early poll that checks whether the replica still replies. */
export const isHealthCheckDue = (state: AgentState, view: ReplicaView): boolean =>
  state.now - Math.max(view.lastPolledAt, view.lastReplyAt) >= lowLeasePollIntervalMs;

/**
 * The immediate response of an isolated node to requests that need a majority of replicas. Nothing
 * was sent to the replicas.
 */
export const unreachableResponse: ActionReply = {
  ...unavailable(
    'No majority reached',
    'This node reaches no majority of replicas; nothing was changed. Send the request to another node.',
  ),
  retryAfter: retryElsewhereSeconds,
};
