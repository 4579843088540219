import { Beats, Limits } from '@reedyard/constants';
import type { ReplicaReply, Membership } from '@reedyard/replica';
import { propose } from './ballots.js';
import { Changes } from './changes.js';
import { replicasHeard, heartbeat, nodesOf, type ReplicaHeard } from './network.js';
import { pullNow } from './pulls.js';
import {
  bearsLosses,
  chance,
  liveSpares,
  log,
  sendToReplica,
  set,
  membersOf,
  without,
  type ReplicaView,
  type AgentState,
  type Work,
} from './state.js';

/**
 * Membership: which replica should be a member next, and when an agent opens the ballot for it.
 * Nothing here decides who votes: a change takes effect only once a majority of the present members
 * has chosen it, and one that was opened on a wrong suspicion costs a change of place, and neither
 * data nor a majority.
 */

/** How likely an agent on a machine with a replica opens a due change at one of its intervals. */
const proposeChance = 0.5;
/** The same for agents of other machines, which only help out; each at one of its pulls. */
const helpChance = 0.05;

/**
 * A member is suspected only after this many pulls without an answer, so that a lost message or two
 * are none.
 */
const pullsToSuspect = 4;

/** A change of the membership that is due. */
type MembershipChange = {
  readonly member: string;
  readonly disk: string;
  readonly address: string;
  /** The member that gives up its place, where another machine takes it. */
  readonly instead?: string;
};

const hasReplica = (state: AgentState): boolean => state.self.replica !== null;

/**
 * ms without any answer after which a member is suspected, where a spare is live: what is left of
 * half the time to catch up after the join itself. Not told how long that is, an agent waits as if
 * there were no spare.
 */
export const suspicionMs = (state: AgentState): number => {
  const catchUpMs = state.voting?.catchUpMs;
  if (catchUpMs === undefined) return Limits.memberSilence;
  const left = catchUpMs / 2 - Limits.joinBudget;
  return Math.min(Limits.memberSilence, Math.max(Limits.leastSuspicion, left));
};

// What this agent finds out about replicas
// -----------------------------------------------------------

const look = (work: Work, address: string): void => {
  sendToReplica(work, address, { kind: 'poll', cursor: null, keys: [] }, { kind: 'look', address });
};

/**
 * An agent without a lease asks the seeds' replicas, and those it heard of, for the membership. Its
 * own it asks always, to tell by gossip which disk waits for a place.
 */
export const discoverMembers = (work: Work): void => {
  const { state } = work;
  if (state.voting === null) return;
  const own = state.self.replica?.address;
  const heard = nodesOf(state).flatMap(({ record }) =>
    record.replica === null ? [] : [record.replica.address],
  );
  const known = Object.values(state.replicas).map((view) => view.address);
  const wanted = state.now < state.lease ? [] : [...state.voting.seeds, ...heard];
  const others = wanted.filter((each) => !known.includes(each));
  for (const address of new Set([...others, ...(own === undefined ? [] : [own])])) {
    look(work, address);
  }
};

/**
 * Until this machine's own replica has answered once it is asked at each interval: it may wait for
 * a place.
 */
export const awaitOwnReplica = (work: Work): void => {
  const { voting, self, ownReplica } = work.state;
  if (voting !== null && self.replica !== null && ownReplica === null)
    look(work, self.replica.address);
};

/** What this machine's own replica tells of itself; news of it goes out by gossip at once. */
export const noteOwnReplica = (work: Work, reply: ReplicaReply): void => {
  if (reply.kind === 'newer-membership') return;
  const fresh = reply.kind === 'not-a-member' && reply.isBlank;
  const before = work.state.ownReplica;
  set(work, { ownReplica: { disk: reply.diskId, fresh, at: work.state.now } });
  if (before !== null && before.disk === reply.diskId && before.fresh === fresh) return;
  heartbeat(work);
  if (fresh) set(work, { due: { ...work.state.due, gossip: work.state.now } });
};

/** Whether the replica that was asked waits for a place. */
export const noteSpare = (work: Work, address: string, reply: ReplicaReply): void => {
  const { spares, now } = work.state;
  if (reply.kind === 'not-a-member' && reply.isBlank) {
    set(work, {
      spares: { ...liveSpares(work.state), [address]: { disk: reply.diskId, at: now } },
    });
  } else if (spares[address] !== undefined) set(work, { spares: without(spares, address) });
};

const isAlive = (state: AgentState, each: ReplicaHeard): boolean =>
  each.id === state.self.id || state.now - each.seenAt < Limits.peerSilence;

/**
 * OriginStandIn replicas that gossip tells of and that have no place, nor stand at the address of
 * one.
 */
const sparesHeard = (state: AgentState, members: Membership): readonly ReplicaHeard[] => {
  const disks = Object.values(members.disks);
  const addresses = Object.values(members.addresses ?? {});
  return replicasHeard(state).filter(
    (each) =>
      isAlive(state, each) &&
      each.fresh &&
      !disks.includes(each.disk) &&
      !addresses.includes(each.address),
  );
};

const isSilent = (state: AgentState, view: ReplicaView, ms: number): boolean =>
  state.now - view.heardAt > ms;

/**
 * Keeps an eye on spares, and, while one is live, on members that have not answered the last pull.
 */
const probe = (work: Work, members: Membership): void => {
  const spares = sparesHeard(work.state, members);
  if (spares.length === 0) return;
  for (const { address } of spares) {
    const heardAt = work.state.spares[address]?.at ?? -Infinity;
    if (work.state.now - heardAt >= Limits.spareHeard / 2) look(work, address);
  }
  for (const [name, view] of Object.entries(work.state.replicas)) {
    const askedLately = work.state.now - view.askedAt < Beats.agent;
    if (isSilent(work.state, view, Limits.probing) && !askedLately) pullNow(work, name);
  }
};

// Which change is due
// --------------------------------------------------------------------------------

/** A member's disk that gossip tells of at another address than the membership does. */
const movedMember = (state: AgentState, members: Membership): MembershipChange | null => {
  for (const each of replicasHeard(state).filter((heard) => isAlive(state, heard))) {
    const { disk, address } = each;
    const member = Object.keys(members.disks).find((name) => members.disks[name] === disk);
    if (member !== undefined && members.addresses?.[member] !== address) {
      return { member, disk, address };
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
  spares: readonly ReplicaHeard[],
): ReplicaHeard | undefined => {
  const disks = Object.values(members.disks);
  const living = replicasHeard(state).filter(
    (each) => isAlive(state, each) && disks.includes(each.disk),
  );
  const inZone = (zone: string): number => living.filter((each) => each.zone === zone).length;
  return [...spares].sort((a, b) => inZone(a.zone) - inZone(b.zone) || (a.id < b.id ? -1 : 1))[0];
};

/**
 * Whether neither gossip nor any answer has told of a member's machine for long. Another member's
 * disk that came to its address is no word of it; a blank one is, and gets the place by itself.
 */
const isGone = (state: AgentState, member: string, members: Membership): boolean => {
  const disk = members.disks[member];
  const address = members.addresses?.[member];
  const heard = nodesOf(state).flatMap(({ record, seenAt }) => {
    const replica = record.replica;
    if (replica === null) return [];
    const isBlank = replica.disk === undefined || replica.fresh === true;
    const tells = replica.disk === disk || (replica.address === address && isBlank);
    return tells ? [record.id === state.self.id ? state.now : seenAt] : [];
  });
  const answered = state.replicas[member]?.heardAt ?? state.now;
  return state.now - Math.max(answered, ...heard) > Limits.memberSilence;
};

/**
 * The member to replace at once, since a spare that answers this agent is live: one that was silent
 * longest, and for longer than a suspicion takes; else one that was told to stop. Only an agent
 * that was itself not held up suspects, and one replacement at a time: all members that are not
 * silent must be seen voting.
 */
const memberToReplace = (state: AgentState): string | null => {
  const silence = suspicionMs(state);
  if (!hasReplica(state) || silence >= Limits.memberSilence) return null;
  const views = Object.entries(state.replicas);
  const silent = views.filter(
    ([, view]) => isSilent(state, view, silence) && view.unanswered >= pullsToSuspect,
  );
  const settled = views.every(
    ([, view]) => isSilent(state, view, Limits.probing) || view.pulled !== null,
  );
  if (!settled) return null;
  const wasHeldUp = state.now - Math.max(state.lateAt, state.openedAt) < silence;
  const [longest] = wasHeldUp ? [] : silent.sort(([, a], [, b]) => a.heardAt - b.heardAt);
  const leaving = views.find(([, view]) => view.leaving && !isSilent(state, view, Limits.probing));
  return (longest ?? leaving)?.[0] ?? null;
};

const changeForSpare = (
  members: Membership,
  spare: ReplicaHeard,
  instead?: string,
): MembershipChange => {
  const taken = Object.keys(members.disks).includes(spare.address);
  return {
    member: taken ? `${spare.address}/${members.epoch + 1}` : spare.address,
    disk: spare.disk,
    address: spare.address,
    ...(instead === undefined ? {} : { instead }),
  };
};

/** The change that is due by what this agent knows: a move, a further member, or a replacement. */
const dueChange = (state: AgentState, members: Membership): MembershipChange | null => {
  const moved = movedMember(state, members);
  if (moved !== null) return moved;
  const spares = sparesHeard(state, members);
  const spare = bestSpare(state, members, spares);
  if (spare === undefined) return null;
  if (!bearsLosses(state)) return changeForSpare(members, spare);
  const live = liveSpares(state);
  const answering = spares.filter((each) => live[each.address]?.disk === each.disk);
  const liveSpare = bestSpare(state, members, answering);
  const suspected = memberToReplace(state);
  if (liveSpare !== undefined && suspected !== null) {
    return changeForSpare(members, liveSpare, suspected);
  }
  const gone = Object.keys(members.disks).find((member) => isGone(state, member, members));
  return gone === undefined ? null : changeForSpare(members, spare, gone);
};

// Opening a ballot
// -----------------------------------------------------------------------------------

const isBusy = (state: AgentState): boolean =>
  Object.values(state.proposalRuns).some((each) => each.purpose.kind === 'seat');

const drawsToPropose = (work: Work): boolean =>
  chance(work) < (hasReplica(work.state) ? proposeChance : helpChance);

/**
 * A place at the member's own address is offered with a pull, at another moment by each agent:
 * hardly two meet.
 */
const drawsToOffer = (work: Work): boolean => hasReplica(work.state) || chance(work) < helpChance;

const proposeChange = (work: Work, members: Membership, change: MembershipChange): void => {
  const { member, disk, address, instead } = change;
  const named = { kind: 'seat', replica: member, disk } as const;
  log(work, 'membership.proposed', { member, disk, instead: instead ?? '' });
  if (instead === undefined) {
    propose(work, 'members', Changes.seat(members, member, disk, address), named);
  } else {
    const register = Changes.replace(members, instead, member, disk, address);
    propose(work, 'members', register, { ...named, instead });
  }
};

/** Opens the change that is due, if any: one at a time, and only by an agent with a lease. */
export const tendMembership = (work: Work): void => {
  const { state } = work;
  const members = membersOf(state)?.value;
  if (state.voting === null || members?.addresses === undefined) return;
  if (state.now >= state.lease) return;
  if (hasReplica(state)) probe(work, members);
  if (isBusy(work.state) || !drawsToPropose(work)) return;
  const change = dueChange(work.state, members);
  if (change !== null) proposeChange(work, members, change);
};

/**
 * Whether a member's disk lives at another address. An agent that only just began to hear may not
 * have heard of it yet. The last record of a dead disk at its own address tells nothing.
 */
const livesElsewhere = (state: AgentState, member: string, disk: string): boolean => {
  if (state.voting === null) return false;
  const own = state.replicas[member]?.address;
  if (state.now - state.openedAt < suspicionMs(state)) return true;
  return replicasHeard(state).some(
    (each) =>
      each.disk === disk && each.address !== own && state.now - each.seenAt < Limits.peerSilence,
  );
};

/** A blank disk that answers at a member's own address gets its place back. */
export const offerOwnPlace = (work: Work, member: string, disk: string): void => {
  const members = membersOf(work.state)?.value;
  const held = members?.disks[member];
  if (members === undefined || held === disk || isBusy(work.state)) return;
  if (livesElsewhere(work.state, member, held ?? '') || !drawsToOffer(work)) return;
  propose(work, 'members', Changes.seat(members, member, disk), {
    kind: 'seat',
    replica: member,
    disk,
  });
};
