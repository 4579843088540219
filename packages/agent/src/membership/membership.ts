/**
 * Membership: which replica should be a member next, and when an agent opens the proposal for it.
 * Nothing here decides who votes: a change takes effect only once a majority of the present members
 * has chosen it, and one that was opened on a wrong suspicion costs a change of place, and neither
 * data nor a majority.
 */
import type { Membership, ReplicaReply } from '@reedyard/replica';
import type { ReplicaView } from '../control/control-state.js';
import { pollNow } from '../control/polling.js';
import { committedMembershipOf, toleratesLosses } from '../control/registers.js';
import { nodesOf, peerTimeoutMs } from '../gossip/known-nodes.js';
import { publishHeartbeat } from '../gossip/node-record.js';
import { assignSlotChange, replaceMemberChange } from '../proposals/changes.js';
import { propose } from '../proposals/proposals.js';
import type { AgentState } from '../state.js';
import { omitKey } from '../omit-key.js';
import { agentTickIntervalMs } from '../tick-delay.js';
import { log, nextRandom, sendToReplica, type Transition, update } from '../transition.js';
import { type KnownReplica, knownReplicas } from './known-replicas.js';
import { liveSpares, spareMaxAgeMs } from './live-spares.js';

/**
 * ms. Of half the time that a successor is given to catch up, what is kept for its join itself: to
 * be heard of, for one proposal, to be told and to read; measured in the simulator under all
 * troubles.
 */
export const joinBudgetMs = 1_000;

/**
 * ms. A member is suspected no sooner, whatever the settings say: two polls and the probes between
 * them.
 */
export const minSuspicionTimeoutMs = 1_000;

/**
 * ms. A member whose machine was silent this long, in gossip and to every poll, is taken for gone,
 * and its slot given to another: longer than a restart, and than a cut of 6 s with 2 s to be heard
 * of again.
 */
export const memberTimeoutMs = 8_000;

/** ms. A silent member is asked more often after this: one poll and its answer. */
export const healthCheckAfterMs = 700;

/** How likely an agent on a machine with a replica opens a due change at one of its intervals. */
const proposeProbability = 0.5;
/** The same for agents of other machines, which only help out; each at one of its polls. */
const helpProbability = 0.05;

/**
 * A member is suspected only after this many polls without an answer, so that a lost message or two
 * are none.
 */
const pollsToSuspect = 4;

/** A change of the membership that is due. */
type MembershipChange = {
  readonly member: string;
  readonly diskId: string;
  readonly address: string;
  /** The member that gives up its slot, where another machine takes it. */
  readonly replacedMember?: string;
};

const hasReplica = (state: AgentState): boolean => state.self.replica !== null;

/**
 * ms without any answer after which a member is suspected, where a spare is live: what is left of
 * half the time to catch up after the join itself. Not told how long that is, an agent waits as if
 * there were no spare.
 */
export const suspicionTimeoutMs = (state: AgentState): number => {
  const catchUpMs = state.bootstrap?.catchUpMs;
  if (catchUpMs === undefined) return memberTimeoutMs;
  const left = catchUpMs / 2 - joinBudgetMs;
  return Math.min(memberTimeoutMs, Math.max(minSuspicionTimeoutMs, left));
};

// What this agent finds out about replicas
// -----------------------------------------------------------

const requestMembership = (transition: Transition, address: string): void => {
  sendToReplica(
    transition,
    address,
    { kind: 'poll', cursor: null, keys: [] },
    { kind: 'look-up', address },
  );
};

/**
 * An agent without a lease asks the seeds' replicas, and those it heard of, for the membership. Its
 * own it asks always, to tell by gossip which disk waits for a slot.
 */
export const discoverMembers = (transition: Transition): void => {
  const { state } = transition;
  if (state.bootstrap === null) return;
  const own = state.self.replica?.address;
  const heard = nodesOf(state).flatMap(({ record }) =>
    record.replica === null ? [] : [record.replica.address],
  );
  const known = Object.values(state.replicas).map((view) => view.address);
  const wanted = state.now < state.leaseUntil ? [] : [...state.bootstrap.seeds, ...heard];
  const others = wanted.filter((each) => !known.includes(each));
  for (const address of new Set([...others, ...(own === undefined ? [] : [own])])) {
    requestMembership(transition, address);
  }
};

/**
 * Until this machine's own replica has answered once it is asked at each interval: it may wait for
 * a slot.
 */
export const pollOwnReplica = (transition: Transition): void => {
  const { bootstrap: voting, self, localReplica: ownReplica } = transition.state;
  if (voting !== null && self.replica !== null && ownReplica === null)
    requestMembership(transition, self.replica.address);
};

/** What this machine's own replica tells of itself; news of it goes out by gossip at once. */
export const recordOwnReplica = (transition: Transition, reply: ReplicaReply): void => {
  if (reply.kind === 'newer-membership') return;
  const fresh = reply.kind === 'not-a-member' && reply.isBlank;
  const before = transition.state.localReplica;
  update(transition, {
    localReplica: { diskId: reply.diskId, isBlank: fresh, at: transition.state.now },
  });
  if (before !== null && before.diskId === reply.diskId && before.isBlank === fresh) return;
  publishHeartbeat(transition);
  if (fresh)
    update(transition, {
      nextDueAt: { ...transition.state.nextDueAt, gossip: transition.state.now },
    });
};

/** Whether the replica that was asked waits for a slot. */
export const recordSpare = (transition: Transition, address: string, reply: ReplicaReply): void => {
  const { spares, now } = transition.state;
  if (reply.kind === 'not-a-member' && reply.isBlank) {
    update(transition, {
      spares: { ...liveSpares(transition.state), [address]: { diskId: reply.diskId, at: now } },
    });
  } else if (spares[address] !== undefined)
    update(transition, { spares: omitKey(spares, address) });
};

const isAlive = (state: AgentState, each: KnownReplica): boolean =>
  each.id === state.self.id || state.now - each.seenAt < peerTimeoutMs;

/** Spare replicas that gossip tells of and that have no slot, nor stand at the address of one. */
const sparesHeard = (state: AgentState, members: Membership): readonly KnownReplica[] => {
  const disks = Object.values(members.disks);
  const addresses = Object.values(members.addresses ?? {});
  return knownReplicas(state).filter(
    (each) =>
      isAlive(state, each) &&
      each.isBlank &&
      !disks.includes(each.diskId) &&
      !addresses.includes(each.address),
  );
};

const isUnresponsive = (state: AgentState, view: ReplicaView, ms: number): boolean =>
  state.now - view.lastMemberReplyAt > ms;

/**
 * Keeps an eye on spares, and, while one is live, on members that have not answered the last poll.
 */
const checkHealth = (transition: Transition, members: Membership): void => {
  const spares = sparesHeard(transition.state, members);
  if (spares.length === 0) return;
  for (const { address } of spares) {
    const heardAt = transition.state.spares[address]?.at ?? -Infinity;
    if (transition.state.now - heardAt >= spareMaxAgeMs / 2) requestMembership(transition, address);
  }
  for (const [name, view] of Object.entries(transition.state.replicas)) {
    const wasPolledLately = transition.state.now - view.lastPolledAt < agentTickIntervalMs;
    if (isUnresponsive(transition.state, view, healthCheckAfterMs) && !wasPolledLately)
      pollNow(transition, name);
  }
};

// Which change is due
// --------------------------------------------------------------------------------

/** A member's disk that gossip tells of at another address than the membership does. */
const movedMember = (state: AgentState, members: Membership): MembershipChange | null => {
  for (const each of knownReplicas(state).filter((heard) => isAlive(state, heard))) {
    const { diskId: disk, address } = each;
    const member = Object.keys(members.disks).find((name) => members.disks[name] === disk);
    if (member !== undefined && members.addresses?.[member] !== address) {
      return { member, diskId: disk, address };
    }
  }
  return null;
};

/**
 * The spare in the zone with the fewest members; every agent takes the same one, so that they don't
 * compete.
 */
const bestSpare = (
  state: AgentState,
  members: Membership,
  spares: readonly KnownReplica[],
): KnownReplica | undefined => {
  const disks = Object.values(members.disks);
  const living = knownReplicas(state).filter(
    (each) => isAlive(state, each) && disks.includes(each.diskId),
  );
  const inZone = (zone: string): number => living.filter((each) => each.zone === zone).length;
  return [...spares].sort((a, b) => inZone(a.zone) - inZone(b.zone) || (a.id < b.id ? -1 : 1))[0];
};

/**
 * Whether neither gossip nor any answer has told of a member's machine for long. Another member's
 * disk that came to its address is no word of it; a blank one is, and gets the slot by itself.
 */
const isMachineGone = (state: AgentState, member: string, members: Membership): boolean => {
  const disk = members.disks[member];
  const address = members.addresses?.[member];
  const heard = nodesOf(state).flatMap(({ record, seenAt }) => {
    const replica = record.replica;
    if (replica === null) return [];
    const isBlank = replica.disk === undefined || replica.fresh === true;
    const tells = replica.disk === disk || (replica.address === address && isBlank);
    return tells ? [record.id === state.self.id ? state.now : seenAt] : [];
  });
  const answered = state.replicas[member]?.lastMemberReplyAt ?? state.now;
  return state.now - Math.max(answered, ...heard) > memberTimeoutMs;
};

/**
 * The member to replace at once, since a spare that answers this agent is live: one that was silent
 * longest, and for longer than a suspicion takes; else one that was asked to stop. Only an agent
 * that was itself not held up suspects, and one replacement at a time: all members that are not
 * silent must be seen voting.
 */
const memberToReplace = (state: AgentState): string | null => {
  const silence = suspicionTimeoutMs(state);
  if (!hasReplica(state) || silence >= memberTimeoutMs) return null;
  const views = Object.entries(state.replicas);
  const silent = views.filter(
    ([, view]) => isUnresponsive(state, view, silence) && view.unansweredPolls >= pollsToSuspect,
  );
  const settled = views.every(
    ([, view]) => isUnresponsive(state, view, healthCheckAfterMs) || view.countedPolls !== null,
  );
  if (!settled) return null;
  const wasHeldUp = state.now - Math.max(state.lastLateTickAt, state.startedAt) < silence;
  const [longest] = wasHeldUp
    ? []
    : silent.sort(([, a], [, b]) => a.lastMemberReplyAt - b.lastMemberReplyAt);
  const leaving = views.find(
    ([, view]) => view.isStopping && !isUnresponsive(state, view, healthCheckAfterMs),
  );
  return (longest ?? leaving)?.[0] ?? null;
};

const changeForSpare = (
  members: Membership,
  spare: KnownReplica,
  instead?: string,
): MembershipChange => {
  const taken = Object.keys(members.disks).includes(spare.address);
  return {
    member: taken ? `${spare.address}/${members.epoch + 1}` : spare.address,
    diskId: spare.diskId,
    address: spare.address,
    ...(instead === undefined ? {} : { replacedMember: instead }),
  };
};

/** The change that is due by what this agent knows: a move, a further member, or a replacement. */
const dueChange = (state: AgentState, members: Membership): MembershipChange | null => {
  const moved = movedMember(state, members);
  if (moved !== null) return moved;
  const spares = sparesHeard(state, members);
  const spare = bestSpare(state, members, spares);
  if (spare === undefined) return null;
  if (!toleratesLosses(state)) return changeForSpare(members, spare);
  const live = liveSpares(state);
  const answering = spares.filter((each) => live[each.address]?.diskId === each.diskId);
  const liveSpare = bestSpare(state, members, answering);
  const suspected = memberToReplace(state);
  if (liveSpare !== undefined && suspected !== null) {
    return changeForSpare(members, liveSpare, suspected);
  }
  const gone = Object.keys(members.disks).find((member) => isMachineGone(state, member, members));
  return gone === undefined ? null : changeForSpare(members, spare, gone);
};

// Opening a proposal
// -----------------------------------------------------------------------------------

const isChangeUnderWay = (state: AgentState): boolean =>
  Object.values(state.pendingChanges).some((each) => each.purpose.kind === 'change-membership');

const shouldProposeNow = (transition: Transition): boolean =>
  nextRandom(transition) < (hasReplica(transition.state) ? proposeProbability : helpProbability);

/**
 * A slot at the member's own address is offered with a poll, at another moment by each agent:
 * hardly two meet.
 */
const shouldOfferNow = (transition: Transition): boolean =>
  hasReplica(transition.state) || nextRandom(transition) < helpProbability;

const proposeChange = (
  transition: Transition,
  members: Membership,
  change: MembershipChange,
): void => {
  const { member, diskId: disk, address, replacedMember: instead } = change;
  const purpose = { kind: 'change-membership', member, diskId: disk } as const;
  log(transition, 'membership.proposed', { member, disk, instead: instead ?? '' });
  if (instead === undefined) {
    propose(transition, 'members', assignSlotChange(members, member, disk, address), purpose);
  } else {
    const register = replaceMemberChange(members, instead, member, disk, address);
    propose(transition, 'members', register, { ...purpose, replacedMember: instead });
  }
};

/** Opens the change that is due, if any: one at a time, and only by an agent with a lease. */
export const maintainMembership = (transition: Transition): void => {
  const { state } = transition;
  const members = committedMembershipOf(state)?.value;
  if (state.bootstrap === null || members?.addresses === undefined) return;
  if (state.now >= state.leaseUntil) return;
  if (hasReplica(state)) checkHealth(transition, members);
  if (isChangeUnderWay(transition.state) || !shouldProposeNow(transition)) return;
  const change = dueChange(transition.state, members);
  if (change !== null) proposeChange(transition, members, change);
};

/**
 * Whether a member's disk lives at another address. An agent that only just began to hear may not
 * have heard of it yet. The last record of a dead disk at its own address tells nothing.
 */
const isLiveElsewhere = (state: AgentState, member: string, disk: string): boolean => {
  if (state.bootstrap === null) return false;
  const own = state.replicas[member]?.address;
  if (state.now - state.startedAt < suspicionTimeoutMs(state)) return true;
  return knownReplicas(state).some(
    (each) =>
      each.diskId === disk && each.address !== own && state.now - each.seenAt < peerTimeoutMs,
  );
};

/** A blank disk that answers at a member's own address gets its slot back. */
export const proposeSlotForBlankDisk = (
  transition: Transition,
  member: string,
  disk: string,
): void => {
  const members = committedMembershipOf(transition.state)?.value;
  const held = members?.disks[member];
  if (members === undefined || held === disk || isChangeUnderWay(transition.state)) return;
  if (isLiveElsewhere(transition.state, member, held ?? '') || !shouldOfferNow(transition)) return;
  propose(transition, 'members', assignSlotChange(members, member, disk), {
    kind: 'change-membership',
    member: member,
    diskId: disk,
  });
};
