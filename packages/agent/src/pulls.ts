import {
  compareProposalNumbers,
  majorityOf,
  type ProposalNumber,
  zeroProposalNumber,
} from '@reedyard/consensus';
import { Beats, Limits, Sizes } from '@reedyard/constants';
import type { Plan } from '@reedyard/quota-division';
import {
  type CommittedMembership,
  isNewerMembership,
  type Membership,
  type ReplicaReply,
} from '@reedyard/replica';
import { countAnew, propose } from './ballots.js';
import { hasAccepted, isLow, isOverdue, pullPatience, renewLease, stackPull } from './lease.js';
import { discoverMembers, noteOwnReplica, noteSpare, offerOwnPlace } from './membership.js';
import { isProbeDue, isProbing } from './reachability.js';
import {
  type AgentState,
  chance,
  counts,
  log,
  membersOf,
  replicaView,
  type ReplicaView,
  sendToReplica,
  set,
  type Told,
  watched,
  type Watched,
  without,
  type Work,
  zonesValueOf,
} from './state.js';
import { replicaAnswer } from './status.js';
import type { ZonesValue } from './terms.js';

const change = (work: Work, name: string, part: Partial<ReplicaView>): void => {
  const view = work.state.replicas[name];
  if (view !== undefined)
    set(work, { replicas: { ...work.state.replicas, [name]: { ...view, ...part } } });
};

const pull = (work: Work, name: string, view: ReplicaView): void => {
  const pending = { kind: 'pull', replica: name, sentAt: work.state.now } as const;
  const call = sendToReplica(
    work,
    view.address,
    { kind: 'poll', cursor: view.cursor, keys: watched },
    pending,
  );
  change(work, name, { call, askedAt: work.state.now, unanswered: view.unanswered + 1 });
};

/** Asks one member for what is new, whether or not an earlier call is under way. */
export const pullNow = (work: Work, name: string): void => {
  const view = work.state.replicas[name];
  if (view !== undefined) pull(work, name, view);
};

/** Asks every replica for what is new; several times a second. */
export const pullAll = (work: Work): void => {
  const patience = pullPatience(work.state);
  for (const [name, view] of Object.entries(work.state.replicas)) {
    if (view.call !== null && work.state.now - view.askedAt < patience) continue;
    pull(work, name, view);
  }
  discoverMembers(work);
};

/**
 * Asks replicas before their turn: those that do not carry a lease that runs low, and all while an
 * order hangs.
 */
export const pullOverdue = (work: Work): void => {
  const [low, probing] = [isLow(work.state), isProbing(work.state)];
  if (!low && !probing) return;
  for (const [name, view] of Object.entries(work.state.replicas)) {
    const isDue = (low && isOverdue(work.state, view)) || (probing && isProbeDue(work.state, view));
    if (isDue) pull(work, name, view);
  }
};

/** What a replica tells of itself and of the committed membership, wherever it was asked from. */
export const tookLook = (work: Work, address: string, reply: ReplicaReply): void => {
  if (reply.kind === 'newer-membership' && reply.membership !== null)
    learnTold(work, reply.membership);
  noteSpare(work, address, reply);
  if (address === work.state.self.replica?.address) noteOwnReplica(work, reply);
};

/** Members that a replica was told are chosen. */
const learnTold = (work: Work, told: CommittedMembership): void => {
  if (isNewerMembership(told, membersOf(work.state)))
    learnRegister(work, 'members', told.proposalNumber, told.value);
};

/**
 * The places that are asked and counted are those of the members; what is known of a place's disk
 * is kept.
 */
const takePlaces = (work: Work, before: Membership | undefined, members: Membership): void => {
  if (work.state.voting === null) return;
  const { replicas, now } = work.state;
  set(work, {
    replicas: Object.fromEntries(
      Object.entries(members.addresses ?? {}).map(([place, address]) => {
        const view = replicas[place];
        const same =
          before?.disks[place] === members.disks[place] &&
          (before?.addresses?.[place] === address || view?.address === address);
        return [place, view !== undefined && same ? view : replicaView(address, now)];
      }),
    ),
  });
  // A new member learns from this call that it is one.
  for (const [name, view] of Object.entries(work.state.replicas)) {
    if (view.askedAt === -Infinity) pull(work, name, view);
  }
};

/**
 * Zones taken back since the orders known before: what their origins said until now is not trusted.
 */
const noteReopened = (work: Work, before: ZonesValue, now: ZonesValue): void => {
  const opened = Object.entries(now.reopened).filter(([, revision]) => revision > before.revision);
  if (opened.length > 0)
    set(work, {
      reopened: {
        ...work.state.reopened,
        ...Object.fromEntries(opened.map(([zone]) => [zone, work.state.now])),
      },
    });
};

/** Takes in a value that is known to be chosen. A lower ballot than the known one is old news. */
export const learnRegister = (
  work: Work,
  key: Watched,
  proposalNumber: ProposalNumber,
  value: unknown,
): void => {
  const known = work.state.registers[key];
  // A ballot may write an epoch again after the next one was chosen.
  if (
    known !== undefined &&
    (key === 'members'
      ? !isNewerMembership({ proposalNumber, value: value as Membership }, membersOf(work.state))
      : compareProposalNumbers(proposalNumber, known.proposalNumber) <= 0)
  )
    return;
  set(work, {
    registers: {
      ...work.state.registers,
      [key]: { proposalNumber, value, at: work.state.now },
    },
  });
  // The split rests on the policy's routes; which nodes serve is looked at each time.
  if (key === 'policy') set(work, { splitStale: true });
  if (compareProposalNumbers(proposalNumber, work.state.highestBallot) > 0)
    set(work, { highestBallot: proposalNumber });
  if (key === 'plan') {
    const plan = value as Plan;
    const { planSeen } = work.state;
    if (plan.term !== planSeen.term || plan.beat !== planSeen.beat)
      set(work, { planSeen: { term: plan.term, beat: plan.beat, at: work.state.now } });
  } else if (key === 'members') {
    const members = value as Membership;
    log(work, 'members.in-force', {
      epoch: members.epoch,
      members: Object.keys(members.disks).length,
    });
    takePlaces(work, known?.value as Membership | undefined, members);
    countAnew(work);
    // Those who don't know them yet learn them now, not with the next regular pull.
    set(work, { due: { ...work.state.due, pull: work.state.now } });
  } else log(work, `${key}.in-force`, { revision: (value as { revision: number }).revision });
  if (key === 'zones') noteReopened(work, zonesValueOf(known?.value), zonesValueOf(value));
  renewLease(work);
};

/** The newest ballot of a register that any replica shows, and the replicas that show it now. */
const highestShown = (
  state: AgentState,
  key: Watched,
): { readonly proposalNumber: ProposalNumber; readonly at: readonly string[] } => {
  const shown = Object.entries(state.replicas).flatMap(([name, view]) =>
    view.pulled === null
      ? []
      : [{ name, proposalNumber: view.pulled.acceptedNumbers[key] ?? zeroProposalNumber }],
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
const isChosen = (state: AgentState, key: Watched, proposalNumber: ProposalNumber): boolean => {
  const views = Object.values(state.replicas);
  return (
    views.filter((view) => hasAccepted(view, key, proposalNumber)).length >=
    majorityOf(views.length)
  );
};

/** Learns a value that was fetched earlier, if it turns out to be chosen. */
const learnCandidate = (work: Work, key: Watched): void => {
  const candidate = work.state.candidates[key];
  if (candidate === undefined || !isChosen(work.state, key, candidate.proposalNumber)) return;
  set(work, { candidates: without(work.state.candidates, key) });
  learnRegister(work, key, candidate.proposalNumber, candidate.value);
};

const isFetching = (state: AgentState, key: Watched): boolean =>
  Object.values(state.pending).some(
    (each) => each.kind === 'fetch' && each.key === key && state.now - each.sentAt < Beats.pull,
  );

/** Fetches a value from one of the replicas that show its ballot. */
const fetchFrom = (work: Work, key: Watched, replicas: readonly string[]): void => {
  const chosenHolder = replicas[Math.floor(chance(work) * replicas.length)];
  const view = chosenHolder === undefined ? undefined : work.state.replicas[chosenHolder];
  if (isFetching(work.state, key) || view === undefined) return;
  sendToReplica(
    work,
    view.address,
    { kind: 'read-register', key },
    { kind: 'fetch', key, sentAt: work.state.now },
  );
};

/** Writes a value again that only a minority shows for long: its writer may be gone. */
const repairHanging = (work: Work, key: Watched, proposalNumber: ProposalNumber): void => {
  const { state } = work;
  const seen = state.hanging[key];
  if (seen === undefined || compareProposalNumbers(seen.proposalNumber, proposalNumber) !== 0) {
    set(work, {
      hanging: { ...state.hanging, [key]: { proposalNumber, since: state.now } },
    });
    return;
  }
  const repairing = Object.values(state.proposalRuns).some(
    (proposalRun) => proposalRun.key === key,
  );
  if (state.now - seen.since <= Limits.hanging || repairing || chance(work) >= 0.1) return;
  propose(work, key, () => ({ kind: 'keep' }), { kind: 'repair' });
};

/** What the last pulls show of each register: fetch what is chosen, repair what hangs. */
const watchRegisters = (work: Work): void => {
  for (const key of watched) {
    learnCandidate(work, key);
    const { proposalNumber, at } = highestShown(work.state, key);
    if (
      compareProposalNumbers(
        proposalNumber,
        work.state.registers[key]?.proposalNumber ?? zeroProposalNumber,
      ) <= 0
    )
      continue;
    if (isChosen(work.state, key, proposalNumber)) fetchFrom(work, key, at);
    else repairHanging(work, key, proposalNumber);
  }
};

/** All that this node knows to have been chosen. Nothing of it changes while a replica settles. */
const toldBefore = (state: AgentState): Told => ({
  cells: [
    ...watched.flatMap((key) => {
      const known = state.registers[key];
      return key === 'members' || known === undefined
        ? []
        : [[key, { proposalNumber: known.proposalNumber, value: known.value }] as const];
    }),
    ...[...state.claims].reverse().flatMap((span) => [...span]),
  ],
  facts: state.facts.map(({ key, value }) => ({ key, value })),
});

/** Tells a replica that founded the state anew the next page of what is known here. */
const restore = (work: Work, name: string, epoch: number): void => {
  const view = work.state.replicas[name];
  if (view === undefined) return;
  const begun =
    view.restored !== null && view.restored.epoch === epoch
      ? view.restored
      : { epoch, told: toldBefore(work.state), count: 0, sentAt: -Infinity };
  if (work.state.now - begun.sentAt < Limits.pull) return;
  const { cells, facts } = begun.told;
  const [from, to] = [begun.count, begun.count + Sizes.restorePage];
  const page = {
    registers: cells.slice(from, to),
    entries: facts.slice(Math.max(0, from - cells.length), Math.max(0, to - cells.length)),
  };
  if (page.registers.length + page.entries.length === 0) return;
  if (from === 0)
    log(work, 'register.restored', { replica: name, registers: cells.length, facts: facts.length });
  change(work, name, { restored: { ...begun, sentAt: work.state.now } });
  sendToReplica(
    work,
    view.address,
    { kind: 'restore', ...page },
    {
      kind: 'restore',
      replica: name,
      epoch,
      upTo: from + page.registers.length + page.entries.length,
    },
  );
};

/** The page was taken: the next one follows. */
export const tookRestored = (
  work: Work,
  name: string,
  epoch: number,
  upTo: number,
  reply: ReplicaReply,
): void => {
  const restored = work.state.replicas[name]?.restored;
  if (reply.kind !== 'restored' || !restored || restored.epoch !== epoch) return;
  change(work, name, { restored: { ...restored, count: upTo, sentAt: -Infinity } });
  restore(work, name, epoch);
};

/**
 * A replica names only members that it was told are chosen: one such word is enough. Where the
 * state was founded anew after a loss, those who did so apart may differ, and a majority of places
 * must name the same.
 */
const learnMembers = (work: Work, told: CommittedMembership | null): void => {
  if (
    told !== null &&
    (told.value.refounded ?? 0) === (membersOf(work.state)?.value.refounded ?? 0) &&
    membersOf(work.state) !== null
  ) {
    learnTold(work, told);
    return;
  }
  const named = Object.values(work.state.replicas).flatMap((view) =>
    view.named === null ? [] : [view.named],
  );
  const majority = majorityOf(Object.keys(work.state.replicas).length);
  for (const each of named) {
    if (
      named.filter(
        (other) => compareProposalNumbers(other.proposalNumber, each.proposalNumber) === 0,
      ).length >= majority
    )
      learnRegister(work, 'members', each.proposalNumber, each.value);
  }
};

export const tookPull = (work: Work, name: string, sentAt: number, reply: ReplicaReply): void => {
  change(work, name, { answered: replicaAnswer(work.state, name, reply) });
  const isBlank = reply.kind === 'not-a-member' && reply.isBlank;
  if (counts(work.state, name, reply.diskId) || isBlank) {
    change(work, name, { heardAt: work.state.now, unanswered: 0 });
  }
  if (reply.kind === 'newer-membership') {
    change(work, name, { call: null, pulled: null, named: reply.membership });
    learnMembers(work, reply.membership);
    return;
  }
  if (reply.kind === 'recovering' && counts(work.state, name, reply.diskId)) {
    change(work, name, { call: null, pulled: null });
    restore(work, name, reply.epoch);
    return;
  }
  if (reply.kind !== 'polled' || !counts(work.state, name, reply.diskId)) {
    change(work, name, { call: null, pulled: null });
    if (isBlank) offerOwnPlace(work, name, reply.diskId);
    return;
  }
  const newest = work.state.replicas[name]?.pulled;
  if (newest && newest.sentAt > sentAt) return;
  let { factSeq } = work.state;
  const added = reply.entries
    .filter((fact) => work.state.factKeys[fact.key] === undefined)
    .map((fact) => {
      factSeq += 1;
      return { ...fact, seq: factSeq, at: work.state.now };
    });
  if (added.length > 0) {
    set(work, {
      factSeq,
      facts: [...work.state.facts, ...added],
      factKeys: {
        ...work.state.factKeys,
        ...Object.fromEntries(added.map((fact) => [fact.key, true as const])),
      },
    });
  }
  const pulled = stackPull(work.state, newest ?? null, {
    sentAt,
    more: reply.hasMore,
    acceptedNumbers: reply.acceptedNumbers,
    ...(reply.copiedKeys === undefined ? {} : { copied: reply.copiedKeys }),
  });
  change(work, name, {
    call: null,
    cursor: { diskId: reply.diskId, sequence: reply.sequence },
    pulled,
    leaving: reply.isStopping === true,
  });
  watchRegisters(work);
  renewLease(work);
  if (reply.hasMore) set(work, { due: { ...work.state.due, pull: work.state.now } });
};

/**
 * Learns a fetched value if it is known to be chosen; else it is kept until pulls show that it is.
 */
export const tookFetch = (work: Work, key: Watched, reply: ReplicaReply): void => {
  if (reply.kind !== 'register-read' || reply.accepted === null) return;
  const { proposalNumber } = reply.accepted;
  const kept = work.state.candidates[key];
  if (kept !== undefined && compareProposalNumbers(proposalNumber, kept.proposalNumber) < 0) return;
  set(work, { candidates: { ...work.state.candidates, [key]: reply.accepted } });
  learnCandidate(work, key);
};

export const lostPull = (work: Work, name: string): void => change(work, name, { call: null });
