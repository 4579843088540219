/**
 * Polls of the replicas. From the replies this node learns the chosen values of registers and the
 * journal entries, repairs incomplete writes, and restores replicas that are recovering.
 */
import {
  compareProposalNumbers,
  higherProposalNumber,
  majorityOf,
  type ProposalNumber,
  zeroProposalNumber,
} from '@reedyard/consensus';
import type { QuotaAllocation } from '@reedyard/quota-division';
import {
  type CommittedMembership,
  isNewerMembership,
  type JournalEntry,
  type Membership,
  type ReplicaReply,
} from '@reedyard/replica';
import { pollReplySeenOf } from '../api/status.js';
import {
  discoverMembers,
  recordOwnReplica,
  recordSpare,
  proposeSlotForBlankDisk,
} from '../membership/membership.js';
import type { ZonesRegister } from '../messages.js';
import { propose, restartUnderNewMembership } from '../proposals/proposals.js';
import type { AgentState } from '../state.js';
import { omitKey } from '../omit-key.js';
import { log, nextRandom, sendToReplica, type Transition, update } from '../transition.js';
import {
  type ChosenValues,
  newReplicaView,
  type ReplicaView,
  type WatchedRegister,
  watchedRegisters,
} from './control-state.js';
import {
  addPoll,
  hasAccepted,
  isLeaseLow,
  isPollOverdue,
  pollIntervalAtRestMs,
  pollResendMs,
  pollTimeoutMs,
  renewLease,
} from './lease.js';
import { isHealthCheckDue, isHealthCheckNeeded } from './reachability.js';
import { committedMembershipOf, isDiskOfMember, zonesValueOf } from './registers.js';

/**
 * How long only a minority of replicas may show a value before its write counts as incomplete and the
 * value is written again, in milliseconds. Far longer than a write in flight takes on busy machines,
 * and shorter than a lease.
 */
export const incompleteWriteTimeoutMs = 900;

/** The maximum number of registers and journal entries in one page that restores a replica. */
export const itemsPerRestorePage = 1_000;

const updateView = (transition: Transition, name: string, changes: Partial<ReplicaView>): void => {
  const view = transition.state.replicas[name];
  if (view !== undefined)
    update(transition, {
      replicas: { ...transition.state.replicas, [name]: { ...view, ...changes } },
    });
};

const poll = (transition: Transition, name: string, view: ReplicaView): void => {
  const pending = { kind: 'poll', replica: name, sentAt: transition.state.now } as const;
  const pollId = sendToReplica(
    transition,
    view.address,
    { kind: 'poll', cursor: view.cursor, keys: watchedRegisters },
    pending,
  );
  updateView(transition, name, {
    pollId,
    lastPolledAt: transition.state.now,
    unansweredPolls: view.unansweredPolls + 1,
  });
};

/** Polls one replica, whether or not an earlier poll is in flight. */
export const pollNow = (transition: Transition, name: string): void => {
  const view = transition.state.replicas[name];
  if (view !== undefined) poll(transition, name, view);
};

/**
 * Polls every replica, except those with a poll in flight that has not timed out. Runs several times
 * a second.
 */
export const pollAll = (transition: Transition): void => {
  const timeoutMs = pollTimeoutMs(transition.state);
  for (const [name, view] of Object.entries(transition.state.replicas)) {
    if (view.pollId !== null && transition.state.now - view.lastPolledAt < timeoutMs) continue;
    poll(transition, name, view);
  }
  discoverMembers(transition);
};

/**
 * Polls replicas ahead of their regular poll: while the lease is low those that don't support it, and
 * while an API request or an append is pending those that have not replied recently.
 */
export const pollEarly = (transition: Transition): void => {
  const [isLow, isCheckNeeded] = [
    isLeaseLow(transition.state),
    isHealthCheckNeeded(transition.state),
  ];
  if (!isLow && !isCheckNeeded) return;
  for (const [name, view] of Object.entries(transition.state.replicas)) {
    const isDue =
      (isLow && isPollOverdue(transition.state, view)) ||
      (isCheckNeeded && isHealthCheckDue(transition.state, view));
    if (isDue) poll(transition, name, view);
  }
};

/**
 * Handles the reply of a replica at any address to a look-up: learns the membership that the replica
 * reports, and whether the replica is a spare or this machine's own.
 */
export const handleLookUpReply = (
  transition: Transition,
  address: string,
  reply: ReplicaReply,
): void => {
  if (reply.kind === 'newer-membership' && reply.membership !== null)
    learnCommittedMembership(transition, reply.membership);
  recordSpare(transition, address, reply);
  if (address === transition.state.self.replica?.address) recordOwnReplica(transition, reply);
};

/** Learns a membership that a replica reported as chosen, if it is newer than the known one. */
const learnCommittedMembership = (transition: Transition, committed: CommittedMembership): void => {
  if (isNewerMembership(committed, committedMembershipOf(transition.state)))
    learnRegister(transition, 'members', committed.proposalNumber, committed.value);
};

/**
 * Replaces the set of replicas that are polled and counted by the slots of a new membership. The view
 * of a slot stays while its disk and address are the same.
 */
const applyMembership = (
  transition: Transition,
  before: Membership | undefined,
  members: Membership,
): void => {
  if (transition.state.bootstrap === null) return;
  const { replicas, now } = transition.state;
  update(transition, {
    replicas: Object.fromEntries(
      Object.entries(members.addresses ?? {}).map(([slot, address]) => {
        const view = replicas[slot];
        const isSameReplica =
          before?.disks[slot] === members.disks[slot] &&
          (before?.addresses?.[slot] === address || view?.address === address);
        return [slot, view !== undefined && isSameReplica ? view : newReplicaView(address, now)];
      }),
    ),
  });
  // A new member learns from this poll that it is a member.
  for (const [name, view] of Object.entries(transition.state.replicas)) {
    if (view.lastPolledAt === -Infinity) poll(transition, name, view);
  }
};

/**
 * Records when this node learnt that zones were restored: what their origins reported until now is no
 * longer trusted.
 */
const recordRestoredZones = (
  transition: Transition,
  before: ZonesRegister,
  after: ZonesRegister,
): void => {
  const reopenedZones = Object.entries(after.reopened).filter(
    ([, revision]) => revision > before.revision,
  );
  if (reopenedZones.length > 0)
    update(transition, {
      zonesRestoredAt: {
        ...transition.state.zonesRestoredAt,
        ...Object.fromEntries(reopenedZones.map(([zone]) => [zone, transition.state.now])),
      },
    });
};

/** Whether a chosen value is newer than the value that this node knows. */
const isNewerValue = (
  state: AgentState,
  key: WatchedRegister,
  proposalNumber: ProposalNumber,
  value: unknown,
): boolean => {
  const known = state.registers[key];
  if (known === undefined) return true;
  // A proposal may write an epoch again after the next epoch was chosen, so a higher proposal number
  // alone does not make a membership newer.
  return key === 'members'
    ? isNewerMembership(
        { proposalNumber, value: value as Membership },
        committedMembershipOf(state),
      )
    : compareProposalNumbers(proposalNumber, known.proposalNumber) > 0;
};

const recordAllocation = (transition: Transition, { term, beat }: QuotaAllocation): void => {
  const { lastSeenAllocation, now } = transition.state;
  if (term === lastSeenAllocation.term && beat === lastSeenAllocation.beat) return;
  update(transition, { lastSeenAllocation: { term, beat, at: now } });
};

/**
 * Polls at the next tick, since a replica has more journal entries, or since members do not know the
 * membership yet.
 */
const pollAtNextTick = (transition: Transition): void => {
  const { nextDueAt, now } = transition.state;
  update(transition, { nextDueAt: { ...nextDueAt, pull: now } });
};

const enterMembership = (
  transition: Transition,
  before: Membership | undefined,
  membership: Membership,
): void => {
  const { epoch, disks } = membership;
  log(transition, 'members.in-force', { epoch, members: Object.keys(disks).length });
  applyMembership(transition, before, membership);
  restartUnderNewMembership(transition);
  pollAtNextTick(transition);
};

/** Acts on a new value of a register, by the register's key. */
const applyRegister = (
  transition: Transition,
  key: WatchedRegister,
  before: unknown,
  value: unknown,
): void => {
  switch (key) {
    case 'plan':
      recordAllocation(transition, value as QuotaAllocation);
      return;
    case 'members':
      enterMembership(transition, before as Membership | undefined, value as Membership);
      return;
    case 'policy':
    case 'zones':
      log(transition, `${key}.in-force`, { revision: (value as { revision: number }).revision });
  }
};

/** Learns a chosen value of a register, unless this node already knows a newer value. */
export const learnRegister = (
  transition: Transition,
  key: WatchedRegister,
  proposalNumber: ProposalNumber,
  value: unknown,
): void => {
  if (!isNewerValue(transition.state, key, proposalNumber, value)) return;
  const { registers, now, highestProposalNumber } = transition.state;
  const before = registers[key]?.value;
  update(transition, {
    registers: { ...registers, [key]: { proposalNumber, value, at: now } },
    highestProposalNumber: higherProposalNumber(highestProposalNumber, proposalNumber),
  });
  // The routing table is computed from the policy's routes. Changes of the serving nodes are checked
  // separately each time.
  if (key === 'policy') update(transition, { isRoutingTableStale: true });
  applyRegister(transition, key, before, value);
  if (key === 'zones') recordRestoredZones(transition, zonesValueOf(before), zonesValueOf(value));
  renewLease(transition);
};

/**
 * The highest proposal number of a register in the newest counted polls, and the replicas that show
 * it.
 */
const highestAccepted = (
  state: AgentState,
  key: WatchedRegister,
): { readonly proposalNumber: ProposalNumber; readonly replicas: readonly string[] } => {
  const accepted = Object.entries(state.replicas).flatMap(([name, view]) =>
    view.countedPolls === null
      ? []
      : [{ name, proposalNumber: view.countedPolls.acceptedNumbers[key] ?? zeroProposalNumber }],
  );
  const proposalNumber = accepted.reduce<ProposalNumber>(
    (highest, candidate) =>
      compareProposalNumbers(candidate.proposalNumber, highest) > 0
        ? candidate.proposalNumber
        : highest,
    zeroProposalNumber,
  );
  const holders = accepted.filter(
    (candidate) => compareProposalNumbers(candidate.proposalNumber, proposalNumber) === 0,
  );
  return { proposalNumber, replicas: holders.map(({ name }) => name) };
};

/** Whether a majority of replicas is known to have accepted a proposal, which is then chosen. */
const isChosen = (
  state: AgentState,
  key: WatchedRegister,
  proposalNumber: ProposalNumber,
): boolean => {
  const views = Object.values(state.replicas);
  return (
    views.filter((view) => hasAccepted(view, key, proposalNumber)).length >=
    majorityOf(views.length)
  );
};

/** Learns a value that was fetched earlier, if it is now known to be chosen. */
const learnFetchedValue = (transition: Transition, key: WatchedRegister): void => {
  const candidate = transition.state.fetchedValues[key];
  if (candidate === undefined || !isChosen(transition.state, key, candidate.proposalNumber)) return;
  update(transition, { fetchedValues: omitKey(transition.state.fetchedValues, key) });
  learnRegister(transition, key, candidate.proposalNumber, candidate.value);
};

const isReadingRegister = (state: AgentState, key: WatchedRegister): boolean =>
  Object.values(state.pendingRequests).some(
    (request) =>
      request.kind === 'read-register' &&
      request.key === key &&
      state.now - request.sentAt < pollIntervalAtRestMs,
  );

/** Fetches a register's value from a random one of the replicas that show its proposal. */
const readRegisterFrom = (
  transition: Transition,
  key: WatchedRegister,
  replicas: readonly string[],
): void => {
  const replica = replicas[Math.floor(nextRandom(transition) * replicas.length)];
  const view = replica === undefined ? undefined : transition.state.replicas[replica];
  if (isReadingRegister(transition.state, key) || view === undefined) return;
  sendToReplica(
    transition,
    view.address,
    { kind: 'read-register', key },
    { kind: 'read-register', key, sentAt: transition.state.now },
  );
};

/**
 * Writes a value again that only a minority of replicas has shown for the timeout, since its writer
 * may have failed.
 */
const repairIncompleteWrite = (
  transition: Transition,
  key: WatchedRegister,
  proposalNumber: ProposalNumber,
): void => {
  const { state } = transition;
  const incompleteWrite = state.incompleteWrites[key];
  if (
    incompleteWrite === undefined ||
    compareProposalNumbers(incompleteWrite.proposalNumber, proposalNumber) !== 0
  ) {
    update(transition, {
      incompleteWrites: { ...state.incompleteWrites, [key]: { proposalNumber, since: state.now } },
    });
    return;
  }
  const isChangePending = Object.values(state.pendingChanges).some(
    (pendingChange) => pendingChange.key === key,
  );
  if (
    state.now - incompleteWrite.since <= incompleteWriteTimeoutMs ||
    isChangePending ||
    nextRandom(transition) >= 0.1
  )
    return;
  propose(transition, key, () => ({ kind: 'keep' }), { kind: 'repair' });
};

/**
 * Evaluates the last polls for each register: fetches values that are chosen and not known here, and
 * repairs incomplete writes.
 */
const watchRegisters = (transition: Transition): void => {
  for (const key of watchedRegisters) {
    learnFetchedValue(transition, key);
    const { proposalNumber, replicas } = highestAccepted(transition.state, key);
    if (
      compareProposalNumbers(
        proposalNumber,
        transition.state.registers[key]?.proposalNumber ?? zeroProposalNumber,
      ) <= 0
    )
      continue;
    if (isChosen(transition.state, key, proposalNumber))
      readRegisterFrom(transition, key, replicas);
    else repairIncompleteWrite(transition, key, proposalNumber);
  }
};

/**
 * A snapshot of all values that this node knows to be chosen. A replica is restored from the snapshot
 * taken at the start of its recovery, which stays the same until the recovery ends.
 */
const knownChosenValues = (state: AgentState): ChosenValues => ({
  registers: [
    ...watchedRegisters.flatMap((key) => {
      const known = state.registers[key];
      return key === 'members' || known === undefined
        ? []
        : [[key, { proposalNumber: known.proposalNumber, value: known.value }] as const];
    }),
    ...[...state.claimSpans].reverse().flatMap((span) => [...span]),
  ],
  entries: state.entries.map(({ key, value }) => ({ key, value })),
});

/** Sends the next page of the chosen values known here to a replica that recovers a refounded state. */
const restore = (transition: Transition, name: string, epoch: number): void => {
  const view = transition.state.replicas[name];
  if (view === undefined) return;
  const progress =
    view.restoreProgress !== null && view.restoreProgress.epoch === epoch
      ? view.restoreProgress
      : { epoch, chosen: knownChosenValues(transition.state), count: 0, sentAt: -Infinity };
  if (transition.state.now - progress.sentAt < pollResendMs) return;
  const { registers, entries } = progress.chosen;
  const [firstItem, endItem] = [progress.count, progress.count + itemsPerRestorePage];
  const page = {
    registers: registers.slice(firstItem, endItem),
    entries: entries.slice(
      Math.max(0, firstItem - registers.length),
      Math.max(0, endItem - registers.length),
    ),
  };
  if (page.registers.length + page.entries.length === 0) return;
  if (firstItem === 0)
    log(transition, 'register.restored', {
      replica: name,
      registers: registers.length,
      facts: entries.length,
    });
  updateView(transition, name, { restoreProgress: { ...progress, sentAt: transition.state.now } });
  sendToReplica(
    transition,
    view.address,
    { kind: 'restore', ...page },
    {
      kind: 'restore',
      replica: name,
      epoch,
      restoredCount: firstItem + page.registers.length + page.entries.length,
    },
  );
};

/** Handles a replica's acknowledgement of a page, and sends the next page. */
export const handleRestoreReply = (
  transition: Transition,
  name: string,
  epoch: number,
  restoredCount: number,
  reply: ReplicaReply,
): void => {
  const progress = transition.state.replicas[name]?.restoreProgress;
  if (reply.kind !== 'restored' || !progress || progress.epoch !== epoch) return;
  updateView(transition, name, {
    restoreProgress: { ...progress, count: restoredCount, sentAt: -Infinity },
  });
  restore(transition, name, epoch);
};

/**
 * Learns a newer membership that a replica reported. Replicas report only memberships that they know
 * to be chosen, so one report is enough. After the state was refounded following a loss, replicas that
 * refounded it separately may report different memberships: then a majority of slots must report the
 * same one.
 */
const learnNewerMembership = (
  transition: Transition,
  reported: CommittedMembership | null,
): void => {
  if (
    reported !== null &&
    (reported.value.refounded ?? 0) ===
      (committedMembershipOf(transition.state)?.value.refounded ?? 0) &&
    committedMembershipOf(transition.state) !== null
  ) {
    learnCommittedMembership(transition, reported);
    return;
  }
  const memberships = Object.values(transition.state.replicas).flatMap((view) =>
    view.newerMembership === null ? [] : [view.newerMembership],
  );
  const majority = majorityOf(Object.keys(transition.state.replicas).length);
  for (const membership of memberships) {
    if (
      memberships.filter(
        (other) => compareProposalNumbers(other.proposalNumber, membership.proposalNumber) === 0,
      ).length >= majority
    )
      learnRegister(transition, 'members', membership.proposalNumber, membership.value);
  }
};

/** Records a replica's reply to a poll, and when a member or a blank disk last replied. */
const recordPollReply = (transition: Transition, name: string, reply: ReplicaReply): void => {
  updateView(transition, name, { lastPollReply: pollReplySeenOf(transition.state, name, reply) });
  if (isDiskOfMember(transition.state, name, reply.diskId) || isBlankReply(reply))
    updateView(transition, name, {
      lastMemberReplyAt: transition.state.now,
      unansweredPolls: 0,
    });
};

const isBlankReply = (reply: ReplicaReply): boolean =>
  reply.kind === 'not-a-member' && reply.isBlank;

/** Adds the journal entries that this node does not know yet. */
const learnEntries = (transition: Transition, entries: readonly JournalEntry[]): void => {
  const { entryKeys, lastEntrySequence, now } = transition.state;
  const added = entries
    .filter(({ key }) => entryKeys[key] === undefined)
    .map((entry, index) => ({ ...entry, seq: lastEntrySequence + index + 1, at: now }));
  if (added.length === 0) return;
  const addedKeys = added.map(({ key }) => [key, true as const] as const);
  update(transition, {
    lastEntrySequence: lastEntrySequence + added.length,
    entries: [...transition.state.entries, ...added],
    entryKeys: { ...entryKeys, ...Object.fromEntries(addedKeys) },
  });
};

/** Counts a poll that a member replied to, and learns the entries and values that the reply shows. */
const countPoll = (
  transition: Transition,
  name: string,
  sentAt: number,
  reply: Extract<ReplicaReply, { kind: 'polled' }>,
): void => {
  const newest = transition.state.replicas[name]?.countedPolls ?? null;
  if (newest !== null && newest.sentAt > sentAt) return;
  learnEntries(transition, reply.entries);
  const countedPolls = addPoll(transition.state, newest, {
    sentAt,
    hasMoreEntries: reply.hasMore,
    acceptedNumbers: reply.acceptedNumbers,
    ...(reply.copiedKeys === undefined ? {} : { copiedKeys: reply.copiedKeys }),
  });
  updateView(transition, name, {
    pollId: null,
    cursor: { diskId: reply.diskId, sequence: reply.sequence },
    countedPolls,
    isStopping: reply.isStopping === true,
  });
  watchRegisters(transition);
  renewLease(transition);
  if (reply.hasMore) pollAtNextTick(transition);
};

/** Handles a replica's reply to a poll, whether or not the reply counts towards the lease. */
export const handlePollReply = (
  transition: Transition,
  name: string,
  sentAt: number,
  reply: ReplicaReply,
): void => {
  recordPollReply(transition, name, reply);
  const isFromMember = isDiskOfMember(transition.state, name, reply.diskId);
  if (reply.kind === 'polled' && isFromMember) {
    countPoll(transition, name, sentAt, reply);
    return;
  }
  updateView(transition, name, { pollId: null, countedPolls: null });
  if (reply.kind === 'newer-membership') {
    updateView(transition, name, { newerMembership: reply.membership });
    learnNewerMembership(transition, reply.membership);
  } else if (reply.kind === 'recovering' && isFromMember) restore(transition, name, reply.epoch);
  else if (isBlankReply(reply)) proposeSlotForBlankDisk(transition, name, reply.diskId);
};

/**
 * Learns a fetched value if it is known to be chosen. Otherwise the value is stored until polls show
 * that it is chosen.
 */
export const handleRegisterRead = (
  transition: Transition,
  key: WatchedRegister,
  reply: ReplicaReply,
): void => {
  if (reply.kind !== 'register-read' || reply.accepted === null) return;
  const { proposalNumber } = reply.accepted;
  const stored = transition.state.fetchedValues[key];
  if (stored !== undefined && compareProposalNumbers(proposalNumber, stored.proposalNumber) < 0)
    return;
  update(transition, {
    fetchedValues: { ...transition.state.fetchedValues, [key]: reply.accepted },
  });
  learnFetchedValue(transition, key);
};

/** Handles a poll without a reply. The next poll is sent at its regular time. */
export const handlePollFailure = (transition: Transition, name: string): void =>
  updateView(transition, name, { pollId: null });
