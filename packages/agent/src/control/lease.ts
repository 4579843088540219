/**
 * The lease: the proof, from a majority of replicas, that this node knows all that was acknowledged
 * before a moment. It is renewed by polls and lasts `leaseDurationMs` from the sending of the
 * oldest poll that it rests on.
 */
import {
  compareProposalNumbers,
  majorityOf,
  type ProposalNumber,
  zeroProposalNumber,
} from '@reedyard/consensus';
import { journalRetentionMs, leaseDurationMs } from '@reedyard/replica';
import type { AgentState } from '../state.js';
import { log, type Transition, update } from '../transition.js';
import {
  type CountedPolls,
  type PollSnapshot,
  type ReplicaView,
  type WatchedRegister,
  watchedRegisters,
} from './control-state.js';

/**
 * ms. While there is no lease, polls and the proxy's questions come this often: callers wait for
 * them.
 */
export const noLeasePollIntervalMs = 100;

/**
 * ms. While a lease runs low, replicas whose polls do not carry it are asked this often: three
 * times before it is over. Not at rest, where each poll renews it: the fleet's control traffic does
 * not grow.
 */
export const lowLeasePollIntervalMs = 200;

/**
 * ms. Poll from the replicas. Three polls fit in a lease: one may be lost and the feed still has
 * 0.25 s. Each costs every agent a call to every replica: twice as many saw nothing more than half
 * as many.
 */
export const pollIntervalAtRestMs = 500;

/**
 * ms. A node without a lease asks more often for this long, and again when a silent replica
 * answers; then the core is really away, and all of a large fleet asking that often would only
 * hinder its return.
 */
export const eagerPollingDurationMs = 5_000;

/**
 * ms. A lease with less left than this runs low: at rest 0.9 s are left when the next poll is sent,
 * and one that counts brings it back to 1.5 s within a round trip.
 */
export const lowLeaseThresholdMs = 800;

/** ms. A poll without an answer is sent again: two beats, so that a lost one costs no lease. */
export const pollResendMs = 500;

/** What a lease proves to be known: the newest value of each register, and all journal entries. */
type Subject = WatchedRegister | 'facts';
const subjects: readonly Subject[] = [...watchedRegisters, 'facts'];

/**
 * Whether all that a poll showed of a subject is known here. Once true it stays true: registers
 * only grow.
 */
const isKnown = (
  state: AgentState,
  { hasMoreEntries: more, acceptedNumbers: ballots }: PollSnapshot,
  subject: Subject,
): boolean => {
  if (subject === 'facts') return !more;
  const shown = ballots[subject] ?? zeroProposalNumber;
  const known = state.registers[subject]?.proposalNumber ?? zeroProposalNumber;
  return compareProposalNumbers(shown, known) <= 0;
};

const isFullyKnown = (state: AgentState, seen: PollSnapshot): boolean =>
  subjects.every((subject) => isKnown(state, seen, subject));

/** The polls of one replica, the newest first. */
const pollsOf = (pulled: CountedPolls | null): readonly PollSnapshot[] =>
  pulled === null ? [] : [pulled, ...pulled.earlier];

/**
 * Adds a newer poll to those of a replica. Earlier ones stay as long as they may carry the lease: a
 * register that is being written shows a proposal that is not known here yet in nearly every poll,
 * and a poll whose proposals are learned later counts from then on.
 */
export const addPoll = (
  state: AgentState,
  before: CountedPolls | null,
  newest: PollSnapshot,
): CountedPolls => {
  const live = pollsOf(before).filter((each) => state.now - each.sentAt < leaseDurationMs);
  const known = live.findIndex((each) => isFullyKnown(state, each));
  const earlier = live
    .slice(0, known < 0 ? live.length : known + 1)
    .map(({ earlier: _earlier, ...seen }: PollSnapshot & Partial<CountedPolls>) => seen);
  return { ...newest, earlier };
};

/**
 * Whether a replica is known to have accepted a proposal of a register, now or a little while ago.
 */
export const hasAccepted = (
  view: ReplicaView,
  key: WatchedRegister,
  proposalNumber: ProposalNumber,
): boolean =>
  pollsOf(view.countedPolls).some(
    (each) =>
      each.copiedKeys?.includes(key) !== true &&
      compareProposalNumbers(each.acceptedNumbers[key] ?? zeroProposalNumber, proposalNumber) === 0,
  );

/** When the newest poll that shows nothing unknown of a subject was sent to a replica. */
const knownSince = (state: AgentState, view: ReplicaView, subject: Subject): number | undefined =>
  pollsOf(view.countedPolls).find((each) => isKnown(state, each, subject))?.sentAt;

/** The sending of the oldest of a majority of polls that show nothing unknown of a subject. */
const provenSince = (state: AgentState, subject: Subject): number => {
  const views = Object.values(state.replicas);
  const counted = views
    .flatMap((view) => knownSince(state, view, subject) ?? [])
    .sort((a, b) => b - a);
  return counted[majorityOf(views.length) - 1] ?? -Infinity;
};

/**
 * Renews the lease. For each register it runs from the sending of the oldest of a majority of polls
 * that show no proposal of it that is unknown here: any majority that acknowledged a value before
 * then has a member among them, so that value is known. The lease is the shortest of these; the
 * majorities need not be the same replicas.
 */
export const renewLease = (transition: Transition): void => {
  const { state } = transition;
  const lease = leaseDurationMs + Math.min(...subjects.map((each) => provenSince(state, each)));
  if (lease <= state.leaseUntil) return;
  // Purges stay on the journal for a minute; a node that was away half that long trusts no copy.
  const missed = state.leaseUntil > 0 && lease - state.leaseUntil > journalRetentionMs / 2;
  if (missed) log(transition, 'lease.back', { awayMs: Math.round(lease - state.leaseUntil) });
  update(transition, {
    leaseUntil: lease,
    cacheFlushCount: state.cacheFlushCount + (missed ? 1 : 0),
  });
};

/** Whether the lease still holds, but a renewal that was due did not come. */
export const isLeaseLow = (state: AgentState): boolean => {
  const left = state.leaseUntil - state.now;
  return left > 0 && left < lowLeaseThresholdMs;
};

/** Whether a replica is to be asked again before its turn, to renew a lease that runs low. */
export const isPollOverdue = (state: AgentState, view: ReplicaView): boolean => {
  if (state.now - view.lastPolledAt < lowLeasePollIntervalMs) return false;
  const fresh = state.now - pollIntervalAtRestMs;
  return subjects.some((subject) => (knownSince(state, view, subject) ?? -Infinity) <= fresh);
};

/**
 * ms between polls. A node without a lease polls more often for a while after its start, after the
 * lease ran out and after a replica that had been silent answers again; not for longer, since then
 * a majority is really away, and a large fleet that asks so often would only hinder its return.
 */
export const pollIntervalMs = (state: AgentState): number => {
  if (state.now < state.leaseUntil) return pollIntervalAtRestMs;
  const since = Math.max(state.leaseUntil, state.startedAt, state.lastReplicaReturnAt);
  return state.now - since < eagerPollingDurationMs ? noLeasePollIntervalMs : pollIntervalAtRestMs;
};

/**
 * ms after which a poll without an answer is sent again. Sooner while this node asks eagerly: a few
 * lost messages must not pass for silence.
 */
export const pollTimeoutMs = (state: AgentState): number =>
  pollIntervalMs(state) === noLeasePollIntervalMs ? lowLeasePollIntervalMs : pollResendMs;
