/**
 * Polls of the replicas: what they show of the registers and the journal is learned, incomplete
 * writes are repaired, and replicas that ask for it are restored.
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
 * ms. A value that only a minority shows is taken for hanging, and written again, after this
 * long: far over what a write takes that is merely under way on busy machines, and under a
 * lease.
 */
export const incompleteWriteTimeoutMs = 900;

/** registers and journal entries in one page of what an agent tells again. */
export const itemsPerRestorePage = 1_000;

const updateView = (transition: Transition, name: string, part: Partial<ReplicaView>): void => {
  const view = transition.state.replicas[name];
  if (view !== undefined)
    update(transition, {
      replicas: { ...transition.state.replicas, [name]: { ...view, ...part } },
    });
};

const poll = (transition: Transition, name: string, view: ReplicaView): void => {
  const pending = { kind: 'poll', replica: name, sentAt: transition.state.now } as const;
  const call = sendToReplica(
    transition,
    view.address,
    { kind: 'poll', cursor: view.cursor, keys: watchedRegisters },
    pending,
  );
  updateView(transition, name, {
    pollId: call,
    lastPolledAt: transition.state.now,
    unansweredPolls: view.unansweredPolls + 1,
  });
};

/** Asks one member for what is new, whether or not an earlier call is under way. */
export const pollNow = (transition: Transition, name: string): void => {
  const view = transition.state.replicas[name];
  if (view !== undefined) poll(transition, name, view);
};

/** Asks every replica for what is new; several times a second. */
export const pollAll = (transition: Transition): void => {
  const patience = pollTimeoutMs(transition.state);
  for (const [name, view] of Object.entries(transition.state.replicas)) {
    if (view.pollId !== null && transition.state.now - view.lastPolledAt < patience) continue;
    poll(transition, name, view);
  }
  discoverMembers(transition);
};

/**
 * Asks replicas before their turn: those that do not carry a lease that runs low, and all while an
 * order hangs.
 */
export const pollEarly = (transition: Transition): void => {
  const [low, probing] = [isLeaseLow(transition.state), isHealthCheckNeeded(transition.state)];
  if (!low && !probing) return;
  for (const [name, view] of Object.entries(transition.state.replicas)) {
    const isDue =
      (low && isPollOverdue(transition.state, view)) ||
      (probing && isHealthCheckDue(transition.state, view));
    if (isDue) poll(transition, name, view);
  }
};

/** What a replica tells of itself and of the committed membership, wherever it was asked from. */
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

/** Members that a replica was told are chosen. */
const learnCommittedMembership = (transition: Transition, told: CommittedMembership): void => {
  if (isNewerMembership(told, committedMembershipOf(transition.state)))
    learnRegister(transition, 'members', told.proposalNumber, told.value);
};

/**
 * The slots that are asked and counted are those of the members; what is known of a slot's disk is
 * kept.
 */
const followMembership = (
  transition: Transition,
  before: Membership | undefined,
  members: Membership,
): void => {
  if (transition.state.bootstrap === null) return;
  const { replicas, now } = transition.state;
  update(transition, {
    replicas: Object.fromEntries(
      Object.entries(members.addresses ?? {}).map(([place, address]) => {
        const view = replicas[place];
        const same =
          before?.disks[place] === members.disks[place] &&
          (before?.addresses?.[place] === address || view?.address === address);
        return [place, view !== undefined && same ? view : newReplicaView(address, now)];
      }),
    ),
  });
  // A new member learns from this call that it is one.
  for (const [name, view] of Object.entries(transition.state.replicas)) {
    if (view.lastPolledAt === -Infinity) poll(transition, name, view);
  }
};

/**
 * Zones taken back since the orders known before: what their origins said until now is not trusted.
 */
const noteRestoredZones = (
  transition: Transition,
  before: ZonesRegister,
  now: ZonesRegister,
): void => {
  const opened = Object.entries(now.reopened).filter(([, revision]) => revision > before.revision);
  if (opened.length > 0)
    update(transition, {
      zonesRestoredAt: {
        ...transition.state.zonesRestoredAt,
        ...Object.fromEntries(opened.map(([zone]) => [zone, transition.state.now])),
      },
    });
};

/** Whether a value that is known to be chosen is newer than the one known here. */
const isNewerValue = (
  state: AgentState,
  key: WatchedRegister,
  proposalNumber: ProposalNumber,
  value: unknown,
): boolean => {
  const known = state.registers[key];
  if (known === undefined) return true;
  // A proposal may write an epoch again after the next one was chosen.
  return key === 'members'
    ? isNewerMembership(
        { proposalNumber, value: value as Membership },
        committedMembershipOf(state),
      )
    : compareProposalNumbers(proposalNumber, known.proposalNumber) > 0;
};

const noteAllocation = (transition: Transition, { term, beat }: QuotaAllocation): void => {
  const { lastSeenAllocation: allocationSeen, now } = transition.state;
  if (term === allocationSeen.term && beat === allocationSeen.beat) return;
  update(transition, { lastSeenAllocation: { term, beat, at: now } });
};

/** Polls at the next tick: there is more to read, or members that do not know the membership yet. */
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
  followMembership(transition, before, membership);
  restartUnderNewMembership(transition);
  pollAtNextTick(transition);
};

/** What follows from a new value of a register, by its key. */
const followRegister = (
  transition: Transition,
  key: WatchedRegister,
  before: unknown,
  value: unknown,
): void => {
  switch (key) {
    case 'plan':
      noteAllocation(transition, value as QuotaAllocation);
      return;
    case 'members':
      enterMembership(transition, before as Membership | undefined, value as Membership);
      return;
    case 'policy':
    case 'zones':
      log(transition, `${key}.in-force`, { revision: (value as { revision: number }).revision });
  }
};

/** Learns a value that is known to be chosen, unless a newer one is known here already. */
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
  // The routing table rests on the policy's routes; which nodes serve is looked at each time.
  if (key === 'policy') update(transition, { isRoutingTableStale: true });
  followRegister(transition, key, before, value);
  if (key === 'zones') noteRestoredZones(transition, zonesValueOf(before), zonesValueOf(value));
  renewLease(transition);
};

/** The newest proposal of a register that any replica shows, and the replicas that show it now. */
const highestShown = (
  state: AgentState,
  key: WatchedRegister,
): { readonly proposalNumber: ProposalNumber; readonly at: readonly string[] } => {
  const shown = Object.entries(state.replicas).flatMap(([name, view]) =>
    view.countedPolls === null
      ? []
      : [{ name, proposalNumber: view.countedPolls.acceptedNumbers[key] ?? zeroProposalNumber }],
  );
  const proposalNumber = shown.reduce<ProposalNumber>(
    (best, each) =>
      compareProposalNumbers(each.proposalNumber, best) > 0 ? each.proposalNumber : best,
    zeroProposalNumber,
  );
  const at = shown.filter(
    (each) => compareProposalNumbers(each.proposalNumber, proposalNumber) === 0,
  );
  return { proposalNumber, at: at.map(({ name }) => name) };
};

/** Whether a majority of replicas is known to have accepted a proposalNumber: then it is chosen. */
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

/** Learns a value that was fetched earlier, if it turns out to be chosen. */
const learnFetchedValue = (transition: Transition, key: WatchedRegister): void => {
  const candidate = transition.state.fetchedValues[key];
  if (candidate === undefined || !isChosen(transition.state, key, candidate.proposalNumber)) return;
  update(transition, { fetchedValues: omitKey(transition.state.fetchedValues, key) });
  learnRegister(transition, key, candidate.proposalNumber, candidate.value);
};

const isReadingRegister = (state: AgentState, key: WatchedRegister): boolean =>
  Object.values(state.pendingRequests).some(
    (each) =>
      each.kind === 'read-register' &&
      each.key === key &&
      state.now - each.sentAt < pollIntervalAtRestMs,
  );

/** Fetches a value from one of the replicas that show its proposal. */
const readRegisterFrom = (
  transition: Transition,
  key: WatchedRegister,
  replicas: readonly string[],
): void => {
  const chosenHolder = replicas[Math.floor(nextRandom(transition) * replicas.length)];
  const view = chosenHolder === undefined ? undefined : transition.state.replicas[chosenHolder];
  if (isReadingRegister(transition.state, key) || view === undefined) return;
  sendToReplica(
    transition,
    view.address,
    { kind: 'read-register', key },
    { kind: 'read-register', key, sentAt: transition.state.now },
  );
};

/** Writes a value again that only a minority shows for long: its writer may be gone. */
const repairIncompleteWrite = (
  transition: Transition,
  key: WatchedRegister,
  proposalNumber: ProposalNumber,
): void => {
  const { state } = transition;
  const seen = state.incompleteWrites[key];
  if (seen === undefined || compareProposalNumbers(seen.proposalNumber, proposalNumber) !== 0) {
    update(transition, {
      incompleteWrites: { ...state.incompleteWrites, [key]: { proposalNumber, since: state.now } },
    });
    return;
  }
  const repairing = Object.values(state.pendingChanges).some(
    (pendingChange) => pendingChange.key === key,
  );
  if (
    state.now - seen.since <= incompleteWriteTimeoutMs ||
    repairing ||
    nextRandom(transition) >= 0.1
  )
    return;
  propose(transition, key, () => ({ kind: 'keep' }), { kind: 'repair' });
};

/** What the last polls show of each register: fetch what is chosen, repair what hangs. */
const watchRegisters = (transition: Transition): void => {
  for (const key of watchedRegisters) {
    learnFetchedValue(transition, key);
    const { proposalNumber, at } = highestShown(transition.state, key);
    if (
      compareProposalNumbers(
        proposalNumber,
        transition.state.registers[key]?.proposalNumber ?? zeroProposalNumber,
      ) <= 0
    )
      continue;
    if (isChosen(transition.state, key, proposalNumber)) readRegisterFrom(transition, key, at);
    else repairIncompleteWrite(transition, key, proposalNumber);
  }
};

/** All that this node knows to have been chosen. Nothing of it changes while a replica settles. */
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

/** Tells a replica that founded the state anew the next page of what is known here. */
const restore = (transition: Transition, name: string, epoch: number): void => {
  const view = transition.state.replicas[name];
  if (view === undefined) return;
  const begun =
    view.restoreProgress !== null && view.restoreProgress.epoch === epoch
      ? view.restoreProgress
      : { epoch, chosen: knownChosenValues(transition.state), count: 0, sentAt: -Infinity };
  if (transition.state.now - begun.sentAt < pollResendMs) return;
  const { registers: cells, entries } = begun.chosen;
  const [from, to] = [begun.count, begun.count + itemsPerRestorePage];
  const page = {
    registers: cells.slice(from, to),
    entries: entries.slice(Math.max(0, from - cells.length), Math.max(0, to - cells.length)),
  };
  if (page.registers.length + page.entries.length === 0) return;
  if (from === 0)
    log(transition, 'register.restored', {
      replica: name,
      registers: cells.length,
      facts: entries.length,
    });
  updateView(transition, name, { restoreProgress: { ...begun, sentAt: transition.state.now } });
  sendToReplica(
    transition,
    view.address,
    { kind: 'restore', ...page },
    {
      kind: 'restore',
      replica: name,
      epoch,
      restoredCount: from + page.registers.length + page.entries.length,
    },
  );
};

/** The page was taken: the next one follows. */
export const handleRestoreReply = (
  transition: Transition,
  name: string,
  epoch: number,
  upTo: number,
  reply: ReplicaReply,
): void => {
  const restored = transition.state.replicas[name]?.restoreProgress;
  if (reply.kind !== 'restored' || !restored || restored.epoch !== epoch) return;
  updateView(transition, name, {
    restoreProgress: { ...restored, count: upTo, sentAt: -Infinity },
  });
  restore(transition, name, epoch);
};

/**
 * A replica names only members that it was told are chosen: one such word is enough. Where the
 * state was founded anew after a loss, those who did so apart may differ, and a majority of slots
 * must name the same.
 */
const learnNewerMembership = (transition: Transition, told: CommittedMembership | null): void => {
  if (
    told !== null &&
    (told.value.refounded ?? 0) ===
      (committedMembershipOf(transition.state)?.value.refounded ?? 0) &&
    committedMembershipOf(transition.state) !== null
  ) {
    learnCommittedMembership(transition, told);
    return;
  }
  const named = Object.values(transition.state.replicas).flatMap((view) =>
    view.newerMembership === null ? [] : [view.newerMembership],
  );
  const majority = majorityOf(Object.keys(transition.state.replicas).length);
  for (const each of named) {
    if (
      named.filter(
        (other) => compareProposalNumbers(other.proposalNumber, each.proposalNumber) === 0,
      ).length >= majority
    )
      learnRegister(transition, 'members', each.proposalNumber, each.value);
  }
};

/** Notes how a replica answered, and that a member of the membership did. */
const noteReplyTo = (transition: Transition, name: string, reply: ReplicaReply): void => {
  updateView(transition, name, { lastPollReply: pollReplySeenOf(transition.state, name, reply) });
  if (isDiskOfMember(transition.state, name, reply.diskId) || isBlankReply(reply))
    updateView(transition, name, {
      lastMemberReplyAt: transition.state.now,
      unansweredPolls: 0,
    });
};

const isBlankReply = (reply: ReplicaReply): boolean =>
  reply.kind === 'not-a-member' && reply.isBlank;

/** Adds journal entries that are not known here yet. */
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

/** Counts a poll that a member answered, and learns what it shows. */
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

/** Handles a replica's reply to a poll, whether or not it counts. */
export const handlePollReply = (
  transition: Transition,
  name: string,
  sentAt: number,
  reply: ReplicaReply,
): void => {
  noteReplyTo(transition, name, reply);
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
 * Learns a fetched value if it is known to be chosen; else it is kept until polls show that it is.
 */
export const handleRegisterRead = (
  transition: Transition,
  key: WatchedRegister,
  reply: ReplicaReply,
): void => {
  if (reply.kind !== 'register-read' || reply.accepted === null) return;
  const { proposalNumber } = reply.accepted;
  const kept = transition.state.fetchedValues[key];
  if (kept !== undefined && compareProposalNumbers(proposalNumber, kept.proposalNumber) < 0) return;
  update(transition, {
    fetchedValues: { ...transition.state.fetchedValues, [key]: reply.accepted },
  });
  learnFetchedValue(transition, key);
};

/** A poll got no reply; the next one is sent at its time. */
export const handlePollFailure = (transition: Transition, name: string): void =>
  updateView(transition, name, { pollId: null });
