/**
 * What this node can know of its connection to the replicas. Silence and refusal differ: a replica
 * that answers anything, also that it is not a member, still settles or knows newer members, is in
 * touch. Only a node that a majority of replicas leaves without any answer is cut off. Whether its
 * calls or their answers are lost can't be known from here, and need not be: either way it is not
 * in touch.
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
 * ms. Only a process whose beats all came in time for this long may take itself for cut off: one
 * that was starved or frozen has unanswered polls as well, but others may reach it.
 */
export const minUndelayedMs = 2_000;

/**
 * ms. Told to a proxy that may serve on while it is cut off, from question to question: two
 * feeds.
 */
export const isolatedAllowanceMs = 600;

/**
 * ms. A replica without any answer for this long is silent: two polls, one of them lost, and a
 * round trip. Under the lease, so that a node that is cut off knows it when its lease runs out.
 */
export const replicaTimeoutMs = 1_200;

/** s. The same where another node, which reaches a majority, may well do it at once. */
export const retryElsewhereSeconds = 0;

/**
 * ms. What waits this long for a majority of which nobody has answered anything is given up:
 * callers wait a second for any word, and go on to another node.
 */
export const isolatedChangeTimeoutMs = 600;

/** How many replicas answered anything since a moment. */
const answeredSince = (state: AgentState, since: number): number =>
  Object.values(state.replicas).filter((view) => view.lastReplyAt >= since).length;

/** Whether a majority of replicas answered anything since a moment. */
export const hasMajorityRepliedSince = (state: AgentState, since: number): boolean => {
  const replicas = Object.keys(state.replicas).length;
  return replicas > 0 && answeredSince(state, since) >= majorityOf(replicas);
};

/**
 * Whether this process was itself held up lately: its answers waited as well, so silence proves
 * nothing.
 */
const wasDelayed = (state: AgentState, withinMs: number): boolean =>
  isTickLate(state) || state.now - state.lastLateTickAt <= withinMs;

/** Whether a majority of replicas has been silent for so long that it can't be by chance. */
const isMajorityUnresponsive = (state: AgentState): boolean =>
  !hasMajorityRepliedSince(state, state.now - replicaTimeoutMs);

/** Whether this node has neither a lease nor any answer from a majority of replicas. */
export const isUnreachable = (state: AgentState): boolean =>
  state.now >= state.leaseUntil &&
  isMajorityUnresponsive(state) &&
  !wasDelayed(state, replicaTimeoutMs);

/** Notes that a replica answered, whatever it said. */
export const recordReplicaReply = (transition: Transition, replica: string): void => {
  const { state } = transition;
  const view = state.replicas[replica];
  if (view === undefined) return;
  const wasSilent = state.now - view.lastReplyAt >= replicaTimeoutMs;
  update(transition, {
    replicas: { ...state.replicas, [replica]: { ...view, lastReplyAt: state.now } },
    ...(wasSilent ? { lastReplicaReturnAt: state.now } : {}),
  });
};

/** Whether this node may act without a lease: its operators want it, and it is provably cut off. */
const mayServeIsolated = (state: AgentState): boolean =>
  state.self.servesOn === true &&
  state.registers.policy !== undefined &&
  isMajorityUnresponsive(state) &&
  !wasDelayed(state, minUndelayedMs);

/**
 * ms that this node may act on what it knows: what is left of its lease, or, where it may serve on,
 * until the next questions; so it does when the last of its lease runs out in silence, since no
 * feed would come between. A process that was itself held up can't tell, since its answers wait as
 * well: it refuses until it has polled.
 */
export const servingAllowanceMs = (state: AgentState): number => {
  const left = Math.max(0, state.leaseUntil - state.now);
  return mayServeIsolated(state) ? Math.max(left, isolatedAllowanceMs) : left;
};

/** Tells why this node has no lease, once, when it runs out. */
export const logLeaseLost = (transition: Transition, beatBefore: number): void => {
  const { state } = transition;
  if (state.leaseUntil <= beatBefore || state.leaseUntil > state.now) return;
  const answering = answeredSince(state, state.now - replicaTimeoutMs);
  log(transition, 'lease.lost', { answering, replicas: Object.keys(state.replicas).length });
};

/** Orders and reads of the API: their callers go on to another node after a second of silence. */
const isOrder = ({ kind }: Purpose): boolean =>
  kind === 'put-policy' || kind === 'get-policy' || kind === 'zone';

/** Whether a call has gone on for long enough, with too few answers since a moment to progress. */
const isStuck = (state: AgentState, openedAt: number, since: number): boolean =>
  state.now - openedAt >= isolatedChangeTimeoutMs &&
  !hasMajorityRepliedSince(state, Math.max(openedAt, since)) &&
  !wasDelayed(state, isolatedChangeTimeoutMs);

/**
 * Whether a proposal that a caller waits for can't progress, since a majority of replicas is
 * silent. While an order is open replicas are probed, so that a shorter silence tells.
 */
export const isChangeIsolated = (
  state: AgentState,
  { purpose, requestedAt: openedAt }: PendingChange,
): boolean => {
  if (isOrder(purpose)) return isStuck(state, openedAt, state.now - isolatedChangeTimeoutMs);
  return purpose.kind === 'claim' && isStuck(state, openedAt, state.now - replicaTimeoutMs);
};

/** The same for journal entries that wait for a majority of disks. */
export const isAppendIsolated = (
  state: AgentState,
  { requestedAt: openedAt }: PendingAppend,
): boolean => isStuck(state, openedAt, state.now - isolatedChangeTimeoutMs);

/** Whether an order has been open for so long that replicas are probed for any answer. */
export const isHealthCheckNeeded = (state: AgentState): boolean => {
  const orders = Object.values(state.pendingChanges).filter(({ purpose }) => isOrder(purpose));
  return [...orders, ...Object.values(state.pendingAppends)].some(
    ({ requestedAt: openedAt }) => state.now - openedAt >= lowLeasePollIntervalMs,
  );
};

/** Whether a replica is to be asked for any answer. */
export const isHealthCheckDue = (state: AgentState, view: ReplicaView): boolean =>
  state.now - Math.max(view.lastPolledAt, view.lastReplyAt) >= lowLeasePollIntervalMs;

/** The answer, at once, to what needs a majority at a node that reaches none: nothing was sent. */
export const unreachableResponse: ActionReply = {
  ...unavailable(
    'No majority reached',
    'This node reaches no majority of replicas; nothing was changed. Ask another node.',
  ),
  retryAfter: retryElsewhereSeconds,
};
