/**
 * The lease: evidence from a majority of replicas that this node knows everything that was
 * acknowledged before a certain time. Polls renew the lease. It lasts `leaseDurationMs` from the time
 * at which the oldest poll that supports it was sent.
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
 * Interval of polls, and of the proxy's queries, while there is no lease, in milliseconds: clients
 * are waiting for the lease.
 */
export const noLeasePollIntervalMs = 100;

/**
 * Interval at which replicas whose polls don't support the lease are polled while the lease is low,
 * in milliseconds: three times before the lease expires. In the steady state every poll renews the
 * lease, so the fleet's control traffic does not grow.
 */
export const lowLeasePollIntervalMs = 200;

/**
 * Interval of polls in the steady state, in milliseconds. Three polls fit into a lease: one may be
 * lost and the feed still has 0.25 s. Each poll costs one call from every agent to every replica, and
 * twice as many polls detected no more than half as many.
 */
export const pollIntervalAtRestMs = 500;

/**
 * How long a node without a lease polls more often, in milliseconds; the period starts again when an
 * unresponsive replica replies. After that a majority of replicas is evidently unavailable, and the
 * frequent polls of a large fleet would only hinder its return.
 */
export const eagerPollingDurationMs = 5_000;

/**
 * A lease with less time left than this is low, in milliseconds. In the steady state 0.9 s are left
 * when the next poll is sent, and a counted poll extends the lease to 1.5 s within a round trip.
 */
export const lowLeaseThresholdMs = 800;

/**
 * The time in milliseconds after which a poll without a reply is sent again: two ticks, so that a
 * lost poll does not cost the lease.
 */
export const pollResendMs = 500;

/**
 * What a lease is evidence of: that this node knows the newest value of each register, and all
 * journal entries (`facts`).
 */
type Subject = WatchedRegister | 'facts';
const subjects: readonly Subject[] = [...watchedRegisters, 'facts'];

/**
 * Whether this node knows everything that a poll showed of a subject. Once true this stays true,
 * since the proposal numbers of registers only increase.
 */
const isKnown = (
  state: AgentState,
  { hasMoreEntries, acceptedNumbers }: PollSnapshot,
  subject: Subject,
): boolean => {
  if (subject === 'facts') return !hasMoreEntries;
  const shown = acceptedNumbers[subject] ?? zeroProposalNumber;
  const known = state.registers[subject]?.proposalNumber ?? zeroProposalNumber;
  return compareProposalNumbers(shown, known) <= 0;
};

const isFullyKnown = (state: AgentState, snapshot: PollSnapshot): boolean =>
  subjects.every((subject) => isKnown(state, snapshot, subject));

/** The counted polls of one replica, the newest first. */
const pollsOf = (countedPolls: CountedPolls | null): readonly PollSnapshot[] =>
  countedPolls === null ? [] : [countedPolls, ...countedPolls.earlier];

/**
 * Adds a newer poll to the counted polls of a replica. Earlier polls stay as long as they may support
 * the lease. While a register is being written, nearly every poll shows a proposal that this node
 * does not know yet; such a poll supports the lease once its proposals are learned.
 */
export const addPoll = (
  state: AgentState,
  before: CountedPolls | null,
  newest: PollSnapshot,
): CountedPolls => {
  const recentPolls = pollsOf(before).filter(
    (snapshot) => state.now - snapshot.sentAt < leaseDurationMs,
  );
  const firstKnown = recentPolls.findIndex((snapshot) => isFullyKnown(state, snapshot));
  const earlier = recentPolls
    .slice(0, firstKnown < 0 ? recentPolls.length : firstKnown + 1)
    .map(({ earlier: _earlier, ...snapshot }: PollSnapshot & Partial<CountedPolls>) => snapshot);
  return { ...newest, earlier };
};

/**
 * Whether one of a replica's counted polls shows that the replica voted for a proposal of a register.
 */
export const hasAccepted = (
  view: ReplicaView,
  key: WatchedRegister,
  proposalNumber: ProposalNumber,
): boolean =>
  pollsOf(view.countedPolls).some(
    (snapshot) =>
      snapshot.copiedKeys?.includes(key) !== true &&
      compareProposalNumbers(
        snapshot.acceptedNumbers[key] ?? zeroProposalNumber,
        proposalNumber,
      ) === 0,
  );

/** When the newest poll of a replica that shows nothing unknown of a subject was sent. */
const newestKnownPollSentAt = (
  state: AgentState,
  view: ReplicaView,
  subject: Subject,
): number | undefined =>
  pollsOf(view.countedPolls).find((snapshot) => isKnown(state, snapshot, subject))?.sentAt;

/**
 * When the oldest poll was sent of the newest majority of polls that show nothing unknown of a
 * subject.
 */
const majoritySentAt = (state: AgentState, subject: Subject): number => {
  const views = Object.values(state.replicas);
  const sentTimes = views
    .flatMap((view) => newestKnownPollSentAt(state, view, subject) ?? [])
    .sort((a, b) => b - a);
  return sentTimes[majorityOf(views.length) - 1] ?? -Infinity;
};

/**
 * Renews the lease. For each subject the lease starts when the oldest poll was sent of a majority of
 * polls that show nothing of the subject that this node does not know. Any majority that acknowledged
 * a value before that time shares a replica with this majority, so the value is known here. The lease
 * is the shortest over all subjects, whose majorities may be of different replicas.
 */
export const renewLease = (transition: Transition): void => {
  const { state } = transition;
  const leaseUntil =
    leaseDurationMs + Math.min(...subjects.map((subject) => majoritySentAt(state, subject)));
  if (leaseUntil <= state.leaseUntil) return;
  // Purges stay in the journal for a minute. A node without a lease for over half that time may have
  // missed one, so it flushes all cached copies.
  const mayHaveMissedPurge =
    state.leaseUntil > 0 && leaseUntil - state.leaseUntil > journalRetentionMs / 2;
  if (mayHaveMissedPurge)
    log(transition, 'lease.back', { awayMs: Math.round(leaseUntil - state.leaseUntil) });
  update(transition, {
    leaseUntil,
    cacheFlushCount: state.cacheFlushCount + (mayHaveMissedPurge ? 1 : 0),
  });
};

/** Whether the lease is still valid, but a renewal is overdue. */
export const isLeaseLow = (state: AgentState): boolean => {
  const remainingMs = state.leaseUntil - state.now;
  return remainingMs > 0 && remainingMs < lowLeaseThresholdMs;
};

/**
 * Whether a replica is due for an early poll while the lease is low: for some subject, the replica's
 * newest poll that supports the lease is older than the regular interval.
 */
export const isPollOverdue = (state: AgentState, view: ReplicaView): boolean => {
  if (state.now - view.lastPolledAt < lowLeasePollIntervalMs) return false;
  const latestStaleTime = state.now - pollIntervalAtRestMs;
  return subjects.some(
    (subject) => (newestKnownPollSentAt(state, view, subject) ?? -Infinity) <= latestStaleTime,
  );
};

/**
 * The interval of polls in milliseconds. A node without a lease polls more often for a while after
 * its start, after the lease expired and after an unresponsive replica replied. It does not do so for
 * longer, since then a majority is evidently unavailable, and the frequent polls of a large fleet
 * would only hinder its return.
 */
export const pollIntervalMs = (state: AgentState): number => {
  if (state.now < state.leaseUntil) return pollIntervalAtRestMs;
  const eagerSince = Math.max(state.leaseUntil, state.startedAt, state.lastReplicaReturnAt);
  return state.now - eagerSince < eagerPollingDurationMs
    ? noLeasePollIntervalMs
    : pollIntervalAtRestMs;
};

/**
 * The time in milliseconds after which a poll without a reply is sent again. It is shorter while this
 * node polls eagerly, so that a few lost messages don't make a replica look unresponsive.
 */
export const pollTimeoutMs = (state: AgentState): number =>
  pollIntervalMs(state) === noLeasePollIntervalMs ? lowLeasePollIntervalMs : pollResendMs;
