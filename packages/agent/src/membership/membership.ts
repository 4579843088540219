/**
 * Decides which replica should become a member next, and when an agent opens the proposal for that
 * change.
 *
 * Nothing here decides who votes: a change takes effect only after a majority of the present
 * members has chosen it. A proposal opened on a wrong suspicion moves a slot to another replica,
 * but loses neither data nor a majority.
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
 * The part of half the catch-up time that is reserved for the join itself, in milliseconds: until
 * the spare is known, one proposal is decided, and the new member has learned of the change and
 * read the other members.
 */
export const joinBudgetMs = 1_000;

/**
 * The shortest time without a reply after which a member is suspected, whatever the settings say,
 * in milliseconds: two polls and the health checks between them.
 */
export const minSuspicionTimeoutMs = 1_000;

/**
 * How long a member may be missing from gossip and leave every poll unanswered before its slot is
 * assigned to another replica, in milliseconds. Longer than a restart, and longer than a network
 * partition of 6 s plus 2 s to appear in gossip again.
 */
export const memberTimeoutMs = 8_000;

/**
 * How long a member may stay unresponsive before it is polled more often, in milliseconds: one poll
 * and its reply.
 */
export const healthCheckAfterMs = 700;

/** Probability that an agent on a machine with a replica opens a due change in one of its ticks. */
const proposeProbability = 0.5;
/**
 * The same probability for agents on machines without a replica, which act only as a backup, in one
 * of their polls.
 */
const helpProbability = 0.05;

/**
 * Number of unanswered polls before a member is suspected, so that one or two lost messages do not
 * make it a suspect.
 */
const pollsToSuspect = 4;

/** A membership change that should be proposed. */
type MembershipChange = {
  readonly member: string;
  readonly diskId: string;
  readonly address: string;
  /** The member whose slot is removed, if another machine replaces it. */
  readonly replacedMember?: string;
};

const hasReplica = (state: AgentState): boolean => state.self.replica !== null;

/**
 * Returns how long a member may leave polls unanswered before it is suspected while a spare is
 * live, in milliseconds: half of the catch-up time less the budget for the join. If the settings
 * give no catch-up time, the agent waits as long as it does without a spare.
 */
export const suspicionTimeoutMs = (state: AgentState): number => {
  const catchUpMs = state.bootstrap?.catchUpMs;
  if (catchUpMs === undefined) return memberTimeoutMs;
  const remainingMs = catchUpMs / 2 - joinBudgetMs;
  return Math.min(memberTimeoutMs, Math.max(minSuspicionTimeoutMs, remainingMs));
};

// Discovery of replicas
// --------------------------------------------------------------------------------------

const requestMembership = (transition: Transition, address: string): void => {
  sendToReplica(
    transition,
    address,
    { kind: 'poll', cursor: null, keys: [] },
    { kind: 'look-up', address },
  );
};

/**
 * Requests the membership from replicas. An agent without a lease requests it from the replicas of
 * the seeds and those known by gossip, except the ones that it polls already. It always requests it
 * from its own machine's replica, so that gossip can announce whether that disk is waiting for a
 * slot.
 */
export const discoverMembers = (transition: Transition): void => {
  const { state } = transition;
  if (state.bootstrap === null) return;
  const ownAddress = state.self.replica?.address;
  const gossipAddresses = nodesOf(state).flatMap(({ record }) =>
    record.replica === null ? [] : [record.replica.address],
  );
  const polledAddresses = Object.values(state.replicas).map((view) => view.address);
  const candidates =
    state.now < state.leaseUntil ? [] : [...state.bootstrap.seeds, ...gossipAddresses];
  const others = candidates.filter((candidate) => !polledAddresses.includes(candidate));
  for (const address of new Set([...others, ...(ownAddress === undefined ? [] : [ownAddress])])) {
    requestMembership(transition, address);
  }
};

/**
 * Polls the replica of this machine at each tick until it has replied once, because it may be
 * waiting for a slot.
 */
export const pollOwnReplica = (transition: Transition): void => {
  const { bootstrap, self, localReplica } = transition.state;
  if (bootstrap !== null && self.replica !== null && localReplica === null)
    requestMembership(transition, self.replica.address);
};

/**
 * Records the disk id of this machine's own replica and whether the disk is blank. A change is put
 * into this node's gossip record; a newly blank disk is gossiped immediately.
 */
export const recordOwnReplica = (transition: Transition, reply: ReplicaReply): void => {
  if (reply.kind === 'newer-membership') return;
  const isBlank = reply.kind === 'not-a-member' && reply.isBlank;
  const before = transition.state.localReplica;
  update(transition, {
    localReplica: { diskId: reply.diskId, isBlank, at: transition.state.now },
  });
  if (before !== null && before.diskId === reply.diskId && before.isBlank === isBlank) return;
  publishHeartbeat(transition);
  if (isBlank)
    update(transition, {
      nextDueAt: { ...transition.state.nextDueAt, gossip: transition.state.now },
    });
};

/**
 * Adds the replica that replied to the spares if its disk is blank and waits for a slot, and
 * removes it otherwise.
 */
export const recordSpare = (transition: Transition, address: string, reply: ReplicaReply): void => {
  const { spares, now } = transition.state;
  if (reply.kind === 'not-a-member' && reply.isBlank) {
    update(transition, {
      spares: { ...liveSpares(transition.state), [address]: { diskId: reply.diskId, at: now } },
    });
  } else if (spares[address] !== undefined)
    update(transition, { spares: omitKey(spares, address) });
};

const isReplicaAlive = (state: AgentState, replica: KnownReplica): boolean =>
  replica.id === state.self.id || state.now - replica.seenAt < peerTimeoutMs;

/**
 * Returns the live blank replicas known from gossip that neither hold a slot nor run at the address
 * of a member.
 */
const sparesFromGossip = (state: AgentState, members: Membership): readonly KnownReplica[] => {
  const memberDisks = Object.values(members.disks);
  const memberAddresses = Object.values(members.addresses ?? {});
  return knownReplicas(state).filter(
    (replica) =>
      isReplicaAlive(state, replica) &&
      replica.isBlank &&
      !memberDisks.includes(replica.diskId) &&
      !memberAddresses.includes(replica.address),
  );
};

const isUnresponsive = (state: AgentState, view: ReplicaView, timeoutMs: number): boolean =>
  state.now - view.lastMemberReplyAt > timeoutMs;

/**
 * Polls spares whose last reply is getting old and, while gossip reports a spare, members that have
 * not replied for `healthCheckAfterMs`.
 */
const checkHealth = (transition: Transition, members: Membership): void => {
  const spares = sparesFromGossip(transition.state, members);
  if (spares.length === 0) return;
  for (const { address } of spares) {
    const repliedAt = transition.state.spares[address]?.at ?? -Infinity;
    if (transition.state.now - repliedAt >= spareMaxAgeMs / 2)
      requestMembership(transition, address);
  }
  for (const [name, view] of Object.entries(transition.state.replicas)) {
    const wasPolledRecently = transition.state.now - view.lastPolledAt < agentTickIntervalMs;
    if (isUnresponsive(transition.state, view, healthCheckAfterMs) && !wasPolledRecently)
      pollNow(transition, name);
  }
};

// Which change is due
// --------------------------------------------------------------------------------

/**
 * Returns the address change for a member whose disk gossip reports at another address than the
 * membership does.
 */
const movedMemberChange = (state: AgentState, members: Membership): MembershipChange | null => {
  for (const replica of knownReplicas(state).filter((candidate) =>
    isReplicaAlive(state, candidate),
  )) {
    const { diskId: disk, address } = replica;
    const member = Object.keys(members.disks).find((name) => members.disks[name] === disk);
    if (member !== undefined && members.addresses?.[member] !== address) {
      return { member, diskId: disk, address };
    }
  }
  return null;
};

/**
 * Returns the spare in the zone with the fewest live members. The choice is deterministic, so that
 * agents with the same view propose the same spare and do not compete.
 */
const bestSpare = (
  state: AgentState,
  members: Membership,
  spares: readonly KnownReplica[],
): KnownReplica | undefined => {
  const memberDisks = Object.values(members.disks);
  const liveMembers = knownReplicas(state).filter(
    (replica) => isReplicaAlive(state, replica) && memberDisks.includes(replica.diskId),
  );
  const liveMembersInZone = (zone: string): number =>
    liveMembers.filter((replica) => replica.zone === zone).length;
  return [...spares].sort(
    (a, b) => liveMembersInZone(a.zone) - liveMembersInZone(b.zone) || (a.id < b.id ? -1 : 1),
  )[0];
};

/**
 * Whether a member's machine has been missing from gossip and has not replied for
 * `memberTimeoutMs`. A record of another member's disk at the same address is no evidence that the
 * member is running. A blank disk at that address is, and gets the slot back by
 * `proposeSlotForBlankDisk`.
 */
const hasMachineTimedOut = (state: AgentState, member: string, members: Membership): boolean => {
  const disk = members.disks[member];
  const address = members.addresses?.[member];
  const heardAt = nodesOf(state).flatMap(({ record, seenAt }) => {
    const replica = record.replica;
    if (replica === null) return [];
    const isBlank = replica.disk === undefined || replica.fresh === true;
    const isEvidence = replica.disk === disk || (replica.address === address && isBlank);
    return isEvidence ? [record.id === state.self.id ? state.now : seenAt] : [];
  });
  const repliedAt = state.replicas[member]?.lastMemberReplyAt ?? state.now;
  return state.now - Math.max(repliedAt, ...heardAt) > memberTimeoutMs;
};

/**
 * Returns the member to replace immediately by a live spare: the one that has been unresponsive
 * longest, and longer than `suspicionTimeoutMs`, or else one that reports that it is stopping.
 *
 * An agent whose own ticks were delayed suspects no member. Only one replacement runs at a time:
 * the polls of all responsive members must count before the next one.
 */
const memberToReplace = (state: AgentState): string | null => {
  const timeoutMs = suspicionTimeoutMs(state);
  if (!hasReplica(state) || timeoutMs >= memberTimeoutMs) return null;
  const views = Object.entries(state.replicas);
  const unresponsive = views.filter(
    ([, view]) => isUnresponsive(state, view, timeoutMs) && view.unansweredPolls >= pollsToSuspect,
  );
  const isSettled = views.every(
    ([, view]) => isUnresponsive(state, view, healthCheckAfterMs) || view.countedPolls !== null,
  );
  if (!isSettled) return null;
  const wasDelayed = state.now - Math.max(state.lastLateTickAt, state.startedAt) < timeoutMs;
  const [longestUnresponsive] = wasDelayed
    ? []
    : unresponsive.sort(([, a], [, b]) => a.lastMemberReplyAt - b.lastMemberReplyAt);
  const stopping = views.find(
    ([, view]) => view.isStopping && !isUnresponsive(state, view, healthCheckAfterMs),
  );
  return (longestUnresponsive ?? stopping)?.[0] ?? null;
};

const changeForSpare = (
  members: Membership,
  spare: KnownReplica,
  replacedMember?: string,
): MembershipChange => {
  const isSlotTaken = Object.keys(members.disks).includes(spare.address);
  return {
    member: isSlotTaken ? `${spare.address}/${members.epoch + 1}` : spare.address,
    diskId: spare.diskId,
    address: spare.address,
    ...(replacedMember === undefined ? {} : { replacedMember: replacedMember }),
  };
};

/**
 * Returns the change that this agent's view of the cluster calls for: a new address, an additional
 * member, or a replacement.
 */
const dueChange = (state: AgentState, members: Membership): MembershipChange | null => {
  const movedChange = movedMemberChange(state, members);
  if (movedChange !== null) return movedChange;
  const spares = sparesFromGossip(state, members);
  const spare = bestSpare(state, members, spares);
  if (spare === undefined) return null;
  if (!toleratesLosses(state)) return changeForSpare(members, spare);
  const recentSpares = liveSpares(state);
  const answeringSpares = spares.filter(
    (spareReplica) => recentSpares[spareReplica.address]?.diskId === spareReplica.diskId,
  );
  const liveSpare = bestSpare(state, members, answeringSpares);
  const memberToReplaceNow = memberToReplace(state);
  if (liveSpare !== undefined && memberToReplaceNow !== null) {
    return changeForSpare(members, liveSpare, memberToReplaceNow);
  }
  const timedOutMember = Object.keys(members.disks).find((member) =>
    hasMachineTimedOut(state, member, members),
  );
  return timedOutMember === undefined ? null : changeForSpare(members, spare, timedOutMember);
};

// Opening a proposal
// -----------------------------------------------------------------------------------

const isChangeInFlight = (state: AgentState): boolean =>
  Object.values(state.pendingChanges).some((change) => change.purpose.kind === 'change-membership');

const shouldProposeNow = (transition: Transition): boolean =>
  nextRandom(transition) < (hasReplica(transition.state) ? proposeProbability : helpProbability);

/**
 * Decides whether to propose the slot at the member's own address after a poll reply. Agents poll
 * at different moments, so two proposals rarely collide.
 */
const shouldProposeSlotNow = (transition: Transition): boolean =>
  hasReplica(transition.state) || nextRandom(transition) < helpProbability;

const proposeChange = (
  transition: Transition,
  members: Membership,
  change: MembershipChange,
): void => {
  const { member, diskId: disk, address, replacedMember } = change;
  const purpose = { kind: 'change-membership', member, diskId: disk } as const;
  log(transition, 'membership.proposed', { member, disk, instead: replacedMember ?? '' });
  if (replacedMember === undefined) {
    propose(transition, 'members', assignSlotChange(members, member, disk, address), purpose);
  } else {
    const register = replaceMemberChange(members, replacedMember, member, disk, address);
    propose(transition, 'members', register, { ...purpose, replacedMember: replacedMember });
  }
};

/**
 * Runs the health checks and opens the membership change that is due, if any: one at a time, and
 * only on an agent with a lease.
 */
export const maintainMembership = (transition: Transition): void => {
  const { state } = transition;
  const members = committedMembershipOf(state)?.value;
  if (state.bootstrap === null || members?.addresses === undefined) return;
  if (state.now >= state.leaseUntil) return;
  if (hasReplica(state)) checkHealth(transition, members);
  if (isChangeInFlight(transition.state) || !shouldProposeNow(transition)) return;
  const change = dueChange(transition.state, members);
  if (change !== null) proposeChange(transition, members, change);
};

/**
 * Whether a member's disk may be running at another address. An agent that started only recently
 * may not have received that record yet, so it assumes that the disk is. The last record of a lost
 * disk at its own address is no evidence.
 */
const isLiveElsewhere = (state: AgentState, member: string, disk: string): boolean => {
  if (state.bootstrap === null) return false;
  const ownAddress = state.replicas[member]?.address;
  if (state.now - state.startedAt < suspicionTimeoutMs(state)) return true;
  return knownReplicas(state).some(
    (replica) =>
      replica.diskId === disk &&
      replica.address !== ownAddress &&
      state.now - replica.seenAt < peerTimeoutMs,
  );
};

/**
 * Proposes to assign a slot to the blank disk that replies at the member's own address, unless the
 * member's previous disk may be running elsewhere.
 */
export const proposeSlotForBlankDisk = (
  transition: Transition,
  member: string,
  disk: string,
): void => {
  const members = committedMembershipOf(transition.state)?.value;
  const currentDisk = members?.disks[member];
  if (members === undefined || currentDisk === disk || isChangeInFlight(transition.state)) return;
  if (
    isLiveElsewhere(transition.state, member, currentDisk ?? '') ||
    !shouldProposeSlotNow(transition)
  )
    return;
  propose(transition, 'members', assignSlotChange(members, member, disk), {
    kind: 'change-membership',
    member: member,
    diskId: disk,
  });
};
