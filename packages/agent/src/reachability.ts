import { Beats, Limits } from '@reedyard/constants';
import { majorityOf } from '@reedyard/consensus';
import { unavailable, type ApiAnswer } from './answers.js';
import { isLate, log, set } from './state.js';
import type { ReplicaView, AgentState, Posting, Purpose, ProposalRun, Work } from './state.js';

/**
 * What this node can know of its connection to the replicas. Silence and refusal differ: a replica
 * that answers anything, also that it is not a member, still settles or knows newer members, is in
 * touch. Only a node that a majority of replicas leaves without any answer is cut off. Whether its
 * calls or their answers are lost can't be known from here, and need not be: either way it is not
 * in touch.
 */

/** How many replicas answered anything since a moment. */
const answeredSince = (state: AgentState, since: number): number =>
  Object.values(state.replicas).filter((view) => view.answeredAt >= since).length;

/** Whether a majority of replicas answered anything since a moment. */
export const majorityAnsweredSince = (state: AgentState, since: number): boolean => {
  const replicas = Object.keys(state.replicas).length;
  return replicas > 0 && answeredSince(state, since) >= majorityOf(replicas);
};

/**
 * Whether this process was itself held up lately: its answers waited as well, so silence proves
 * nothing.
 */
const wasHeldUp = (state: AgentState, withinMs: number): boolean =>
  isLate(state) || state.now - state.lateAt <= withinMs;

/** Whether a majority of replicas has been silent for so long that it can't be by chance. */
const isMajoritySilent = (state: AgentState): boolean =>
  !majorityAnsweredSince(state, state.now - Limits.replicaSilence);

/** Whether this node has neither a lease nor any answer from a majority of replicas. */
export const isUnreachable = (state: AgentState): boolean =>
  state.now >= state.lease && isMajoritySilent(state) && !wasHeldUp(state, Limits.replicaSilence);

/** Notes that a replica answered, whatever it said. */
export const noteAnswer = (work: Work, replica: string): void => {
  const { state } = work;
  const view = state.replicas[replica];
  if (view === undefined) return;
  const wasSilent = state.now - view.answeredAt >= Limits.replicaSilence;
  set(work, {
    replicas: { ...state.replicas, [replica]: { ...view, answeredAt: state.now } },
    ...(wasSilent ? { returnedAt: state.now } : {}),
  });
};

/** Whether this node may act without a lease: its operators want it, and it is provably cut off. */
const mayServeOn = (state: AgentState): boolean =>
  state.self.servesOn === true &&
  state.registers.policy !== undefined &&
  isMajoritySilent(state) &&
  !wasHeldUp(state, Limits.calm);

/**
 * ms that this node may act on what it knows: what is left of its lease, or, where it may serve on,
 * until the next questions; so it does when the last of its lease runs out in silence, since no
 * feed would come between. A process that was itself held up can't tell, since its answers wait as
 * well: it refuses until it has pulled.
 */
export const mayActFor = (state: AgentState): number => {
  const left = Math.max(0, state.lease - state.now);
  return mayServeOn(state) ? Math.max(left, Limits.cutOffLease) : left;
};

/** Tells why this node has no lease, once, when it runs out. */
export const noteLeaseLost = (work: Work, beatBefore: number): void => {
  const { state } = work;
  if (state.lease <= beatBefore || state.lease > state.now) return;
  const answering = answeredSince(state, state.now - Limits.replicaSilence);
  log(work, 'lease.lost', { answering, replicas: Object.keys(state.replicas).length });
};

/** Orders and reads of the API: their callers go on to another node after a second of silence. */
const isOrder = ({ kind }: Purpose): boolean =>
  kind === 'put-policy' || kind === 'get-policy' || kind === 'zone';

/** Whether a call has gone on for long enough, with too few answers since a moment to progress. */
const isStuck = (state: AgentState, openedAt: number, since: number): boolean =>
  state.now - openedAt >= Limits.stranded &&
  !majorityAnsweredSince(state, Math.max(openedAt, since)) &&
  !wasHeldUp(state, Limits.stranded);

/**
 * Whether a proposal that a caller waits for can't progress, since a majority of replicas is
 * silent. While an order is open replicas are probed, so that a shorter silence tells.
 */
export const isStranded = (state: AgentState, { purpose, openedAt }: ProposalRun): boolean => {
  if (isOrder(purpose)) return isStuck(state, openedAt, state.now - Limits.stranded);
  return purpose.kind === 'claim' && isStuck(state, openedAt, state.now - Limits.replicaSilence);
};

/** The same for facts that wait for a majority of disks. */
export const isPostingStranded = (state: AgentState, { openedAt }: Posting): boolean =>
  isStuck(state, openedAt, state.now - Limits.stranded);

/** Whether an order has been open for so long that replicas are probed for any answer. */
export const isProbing = (state: AgentState): boolean => {
  const orders = Object.values(state.proposalRuns).filter(({ purpose }) => isOrder(purpose));
  return [...orders, ...Object.values(state.postings)].some(
    ({ openedAt }) => state.now - openedAt >= Beats.leaseLow,
  );
};

/** Whether a replica is to be asked for any answer. */
export const isProbeDue = (state: AgentState, view: ReplicaView): boolean =>
  state.now - Math.max(view.askedAt, view.answeredAt) >= Beats.leaseLow;

/** The answer, at once, to what needs a majority at a node that reaches none: nothing was sent. */
export const unreachableAnswer: ApiAnswer = {
  ...unavailable(
    'No majority reached',
    'This node reaches no majority of replicas; nothing was changed. Ask another node.',
  ),
  retryAfter: Limits.retryElsewhereSeconds,
};
