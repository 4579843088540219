import {
  compareProposalNumbers,
  majorityOf,
  type ProposalNumber,
  zeroProposalNumber,
} from '@reedyard/consensus';
import { Beats, Limits } from '@reedyard/constants';
import {
  type AgentState,
  log,
  type Pulled,
  type PullSeen,
  type ReplicaView,
  set,
  watched,
  type Watched,
  type Work,
} from './state.js';

/**
 * The lease: the proof, from a majority of replicas, that this node knows all that was acknowledged
 * before a moment. It is renewed by pulls and lasts `Limits.lease` from the sending of the oldest
 * pull that it rests on.
 */

/** What a lease proves to be known: the newest value of each register, and all facts. */
type Subject = Watched | 'facts';
const subjects: readonly Subject[] = [...watched, 'facts'];

/**
 * Whether all that a pull showed of a subject is known here. Once true it stays true: registers
 * only grow.
 */
const isKnown = (
  state: AgentState,
  { more, acceptedNumbers: ballots }: PullSeen,
  subject: Subject,
): boolean => {
  if (subject === 'facts') return !more;
  const shown = ballots[subject] ?? zeroProposalNumber;
  const known = state.registers[subject]?.proposalNumber ?? zeroProposalNumber;
  return compareProposalNumbers(shown, known) <= 0;
};

const isWhollyKnown = (state: AgentState, seen: PullSeen): boolean =>
  subjects.every((subject) => isKnown(state, seen, subject));

/** The pulls of one replica, the newest first. */
const pullsOf = (pulled: Pulled | null): readonly PullSeen[] =>
  pulled === null ? [] : [pulled, ...pulled.earlier];

/**
 * Adds a newer pull to those of a replica. Earlier ones stay as long as they may carry the lease: a
 * register that is being written shows a ballot that is not known here yet in nearly every pull,
 * and a pull whose ballots are learned later counts from then on.
 */
export const stackPull = (state: AgentState, before: Pulled | null, newest: PullSeen): Pulled => {
  const live = pullsOf(before).filter((each) => state.now - each.sentAt < Limits.lease);
  const known = live.findIndex((each) => isWhollyKnown(state, each));
  const earlier = live
    .slice(0, known < 0 ? live.length : known + 1)
    .map(({ earlier: _earlier, ...seen }: PullSeen & Partial<Pulled>) => seen);
  return { ...newest, earlier };
};

/**
 * Whether a replica is known to have accepted a ballot of a register, now or a little while ago.
 */
export const hasAccepted = (
  view: ReplicaView,
  key: Watched,
  proposalNumber: ProposalNumber,
): boolean =>
  pullsOf(view.pulled).some(
    (each) =>
      each.copied?.includes(key) !== true &&
      compareProposalNumbers(each.acceptedNumbers[key] ?? zeroProposalNumber, proposalNumber) === 0,
  );

/** When the newest pull that shows nothing unknown of a subject was sent to a replica. */
const knownSince = (state: AgentState, view: ReplicaView, subject: Subject): number | undefined =>
  pullsOf(view.pulled).find((each) => isKnown(state, each, subject))?.sentAt;

/** The sending of the oldest of a majority of pulls that show nothing unknown of a subject. */
const provenSince = (state: AgentState, subject: Subject): number => {
  const views = Object.values(state.replicas);
  const counted = views
    .flatMap((view) => knownSince(state, view, subject) ?? [])
    .sort((a, b) => b - a);
  return counted[majorityOf(views.length) - 1] ?? -Infinity;
};

/**
 * Renews the lease. For each register it runs from the sending of the oldest of a majority of pulls
 * that show no ballot of it that is unknown here: any majority that acknowledged a value before
 * then has a member among them, so that value is known. The lease is the shortest of these; the
 * majorities need not be the same replicas.
 */
export const renewLease = (work: Work): void => {
  const { state } = work;
  const lease = Limits.lease + Math.min(...subjects.map((each) => provenSince(state, each)));
  if (lease <= state.lease) return;
  // Purges stay on the board for a minute; a node that was away half that long trusts no copy.
  const missed = state.lease > 0 && lease - state.lease > Limits.fact / 2;
  if (missed) log(work, 'lease.back', { awayMs: Math.round(lease - state.lease) });
  set(work, { lease, flushes: state.flushes + (missed ? 1 : 0) });
};

/** Whether the lease still holds, but a renewal that was due did not come. */
export const isLow = (state: AgentState): boolean => {
  const left = state.lease - state.now;
  return left > 0 && left < Limits.leaseLow;
};

/** Whether a replica is to be asked again before its turn, to renew a lease that runs low. */
export const isOverdue = (state: AgentState, view: ReplicaView): boolean => {
  if (state.now - view.askedAt < Beats.leaseLow) return false;
  const fresh = state.now - Beats.pull;
  return subjects.some((subject) => (knownSince(state, view, subject) ?? -Infinity) <= fresh);
};

/**
 * ms between pulls. A node without a lease pulls more often for a while after its start, after the
 * lease ran out and after a replica that had been silent answers again; not for longer, since then
 * a majority is really away, and a large fleet that asks so often would only hinder its return.
 */
export const pullInterval = (state: AgentState): number => {
  if (state.now < state.lease) return Beats.pull;
  const since = Math.max(state.lease, state.openedAt, state.returnedAt);
  return state.now - since < Limits.eager ? Beats.lapsed : Beats.pull;
};

/**
 * ms after which a pull without an answer is sent again. Sooner while this node asks eagerly: a few
 * lost messages must not pass for silence.
 */
export const pullPatience = (state: AgentState): number =>
  pullInterval(state) === Beats.lapsed ? Beats.leaseLow : Limits.pull;
