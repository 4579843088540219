/**
 * Test support: what an observer who sees every disk and message knows of a run, and the checks
 * that it makes. Values are immutable, so that a search can fork them.
 */
import {
  compareProposalNumbers,
  formatProposalNumber,
  majorityOf,
  type ProposalNumber,
  zeroProposalNumber,
} from '@reedyard/consensus';
import {
  isVotingMember,
  type Membership,
  membershipKey,
  reduceReplica,
  type ReplicaState,
} from '@reedyard/replica';
import { dataKey } from './membership-goals.js';

/** The invariants, by the letter that docs/control-model.md gives them. */
export type Invariant =
  | 'one-value-a-ballot'
  | 'chosen-values-descend'
  | 'one-membership-an-epoch'
  | 'told-is-chosen'
  | 'acknowledged-is-readable'
  | 'quorums-of-epochs-meet'
  | 'reads-before-voting'
  | 'read-predecessor-is-frozen'
  | 'promise-and-vote-of-one-life'
  | 'pull-shows-acknowledged';

/** What a broken rule leads to: the rules of reading and of lives are left out. */
export const harm: readonly Invariant[] = [
  'one-value-a-ballot',
  'chosen-values-descend',
  'one-membership-an-epoch',
  'told-is-chosen',
  'acknowledged-is-readable',
  'quorums-of-epochs-meet',
  'pull-shows-acknowledged',
];

export type Violation = { readonly invariant: Invariant; readonly text: string };

type Chosen = {
  readonly key: string;
  readonly proposalNumber: ProposalNumber;
  readonly value: unknown;
};
type Attempts = { readonly disks: readonly string[]; readonly value: unknown };
type Acknowledged = { readonly id: string; readonly step: number };

export type History = {
  /** Every membership that was chosen. */
  readonly epochs: Readonly<Record<number, Membership>>;
  /** Disks that accepted a value, by register, proposal and the epoch that the caller counts by. */
  readonly accepts: Readonly<Record<string, Attempts>>;
  /** In the order of their proposals. */
  readonly chosen: readonly Chosen[];
  readonly appended: readonly Acknowledged[];
  readonly posted: readonly Acknowledged[];
  /** How often a client got or prolonged its lease. */
  readonly leases: number;
  /** Whom each disk has read to the end, and by which epoch the read one was bound then. */
  readonly reads: Readonly<Record<string, Readonly<Record<string, number>>>>;
  /** The epoch that each disk went by when it last began to vote. */
  readonly begun: Readonly<Record<string, number>>;
  /**
   * Disks whose successor votes by what it read of them alone, and the epoch that it got their
   * place in.
   */
  readonly handedOver: Readonly<Record<string, number>>;
  readonly violations: readonly Violation[];
};

/**
 * The history of a state that was just founded.
 *
 * @example
 * beginHistory(members).violations // []
 */
export const beginHistory = (founders: Membership): History => ({
  epochs: { [founders.epoch]: founders },
  accepts: {},
  chosen: [],
  appended: [],
  posted: [],
  leases: 0,
  reads: {},
  begun: Object.fromEntries(Object.values(founders.disks).map((disk) => [disk, founders.epoch])),
  handedOver: {},
  violations: [],
});

const violate = (history: History, invariant: Invariant, text: string): History => ({
  ...history,
  violations: [...history.violations, { invariant, text }],
});

const describe = ({ key, proposalNumber, value }: Chosen): string =>
  `${key} ${formatProposalNumber(proposalNumber)} ${key === membershipKey ? describeMembers(value as Membership) : String(value)}`;

const describeMembers = (members: Membership): string =>
  `${members.epoch}:${Object.entries(members.disks)
    .map(([place, disk]) => `${place}=${disk}`)
    .sort()
    .join(',')}`;

const sameValue = (key: string, left: unknown, right: unknown): boolean =>
  key === membershipKey
    ? describeMembers(left as Membership) === describeMembers(right as Membership)
    : left === right;

const descends = (key: string, earlier: unknown, later: unknown): boolean => {
  if (key !== membershipKey) return (later as string).startsWith(earlier as string);
  const [before, after] = [earlier as Membership, later as Membership];
  return after.epoch > before.epoch || sameValue(key, before, after);
};

/**
 * A value is chosen, as the observer or a client finds: it must be the only one of its proposal,
 * and descend from those of lower proposals.
 */
export const noteChosen = (history: History, fresh: Chosen): History => {
  const rivals = history.chosen.filter(({ key }) => key === fresh.key);
  const same = rivals.find(
    ({ proposalNumber }) => compareProposalNumbers(proposalNumber, fresh.proposalNumber) === 0,
  );
  if (same !== undefined) {
    return sameValue(fresh.key, same.value, fresh.value)
      ? history
      : violate(history, 'one-value-a-ballot', `${describe(same)} and ${describe(fresh)}`);
  }
  let next: History = { ...history, chosen: [...history.chosen, fresh] };
  for (const rival of rivals) {
    const isEarlier = compareProposalNumbers(rival.proposalNumber, fresh.proposalNumber) < 0;
    const [earlier, later] = isEarlier ? [rival, fresh] : [fresh, rival];
    if (!descends(fresh.key, earlier.value, later.value)) {
      const text = `${describe(later)} after ${describe(earlier)}`;
      next = violate(next, 'chosen-values-descend', text);
    }
  }
  return fresh.key === membershipKey ? noteEpoch(next, fresh.value as Membership) : next;
};

const noteEpoch = (history: History, members: Membership): History => {
  const known = history.epochs[members.epoch];
  if (known === undefined) {
    return { ...history, epochs: { ...history.epochs, [members.epoch]: members } };
  }
  if (sameValue(membershipKey, known, members)) return history;
  const text = `${describeMembers(known)} and ${describeMembers(members)}`;
  return violate(history, 'one-membership-an-epoch', text);
};

/** A replica goes by these members from now on: they must have been chosen. */
export const noteTold = (history: History, disk: string, members: Membership): History => {
  const known = history.epochs[members.epoch];
  if (known !== undefined && sameValue(membershipKey, known, members)) return history;
  return violate(history, 'told-is-chosen', `${disk} goes by ${describeMembers(members)}`);
};

/** A disk has accepted a value for a caller that counts by these members. */
export const noteAccept = (
  history: History,
  disk: string,
  callersMembers: Membership,
  accepted: Chosen,
): History => {
  const members = Object.values(callersMembers.disks);
  if (!members.includes(disk)) return history;
  const { key, proposalNumber, value } = accepted;
  const name = `${key} ${formatProposalNumber(proposalNumber)} ${callersMembers.epoch}`;
  const before = history.accepts[name];
  if (before !== undefined && !sameValue(key, before.value, value)) {
    const text = `${describe({ key, proposalNumber, value: before.value })} and ${describe(accepted)}`;
    return violate(history, 'one-value-a-ballot', text);
  }
  const disks = [...new Set([...(before?.disks ?? []), disk])].sort();
  const next = { ...history, accepts: { ...history.accepts, [name]: { disks, value } } };
  return disks.length >= majorityOf(members.length) ? noteChosen(next, accepted) : next;
};

/** A disk was read to the end by another, and had been told of this epoch before. */
export const noteRead = (
  history: History,
  reader: string,
  read: string,
  epoch: number,
): History => ({
  ...history,
  reads: { ...history.reads, [reader]: { ...history.reads[reader], [read]: epoch } },
});

/**
 * The disk that another took over from, if that one has read it to the end after it was told so. It
 * must have come to vote in that slot itself, and have no slot now.
 */
const readPredecessor = (history: History, disk: string, told: Membership): string | undefined => {
  const place = Object.keys(told.disks).find((each) => told.disks[each] === disk) ?? '';
  const predecessor = told.predecessors?.[place]?.disk;
  if (predecessor === undefined || Object.values(told.disks).includes(predecessor))
    return undefined;
  const joined = joinedAt(history, disk, told);
  const before = history.epochs[joined - 1];
  if (before === undefined || !Object.values(before.disks).includes(predecessor)) return undefined;
  const hasVoted = (history.begun[predecessor] ?? 0) >= joinedAt(history, predecessor, before);
  const readIn = history.reads[disk]?.[predecessor] ?? 0;
  return hasVoted && readIn >= joined ? predecessor : undefined;
};

/**
 * A disk begins to vote: it must have read enough of the other members, or the disk that it took
 * over from.
 */
export const noteBegun = (history: History, disk: string, told: Membership): History => {
  const members = Object.values(told.disks);
  const needed = members.length - majorityOf(members.length) + 1;
  const joined = joinedAt(history, disk, told);
  const reads = Object.entries(history.reads[disk] ?? {});
  const read = reads.filter(([other, epoch]) => epoch >= joined && members.includes(other)).length;
  const next = { ...history, begun: { ...history.begun, [disk]: told.epoch } };
  if (read >= needed) return next;
  const predecessor = readPredecessor(history, disk, told);
  if (predecessor !== undefined) {
    return { ...next, handedOver: { ...next.handedOver, [predecessor]: joined } };
  }
  return violate(next, 'reads-before-voting', `${disk} has read ${read} of ${needed}`);
};

/** A disk answers as a member: it must have begun to vote since it became one. */
export const noteVoting = (
  history: History,
  disk: string,
  told: Membership | undefined,
): History => {
  if (told === undefined) return history;
  const handedOverIn = history.handedOver[disk];
  if (handedOverIn !== undefined && told.epoch < handedOverIn) {
    const text = `${disk} answers by epoch ${told.epoch}, and handed over in ${handedOverIn}`;
    return violate(history, 'read-predecessor-is-frozen', text);
  }
  if (!Object.values(told.disks).includes(disk)) {
    return violate(history, 'reads-before-voting', `${disk} is no member of epoch ${told.epoch}`);
  }
  const joined = joinedAt(history, disk, told);
  const begun = history.begun[disk] ?? 0;
  if (begun >= joined) return history;
  const text = `${disk} is a member since epoch ${joined} and read in ${begun}`;
  return violate(history, 'reads-before-voting', text);
};

/** The epoch from which on a disk has been a member without a gap, up to the one told. */
const joinedAt = (history: History, disk: string, told: Membership): number => {
  let epoch = told.epoch;
  while (Object.values(history.epochs[epoch - 1]?.disks ?? {}).includes(disk)) epoch -= 1;
  return epoch;
};

export const noteAppended = (history: History, id: string, step: number): History => ({
  ...history,
  appended: [...history.appended, { id, step }],
});

export const notePosted = (history: History, id: string, step: number): History => ({
  ...history,
  posted: [...history.posted, { id, step }],
});

export const noteLivesMixed = (
  history: History,
  place: string,
  proposalNumber: ProposalNumber,
): History =>
  violate(
    history,
    'promise-and-vote-of-one-life',
    `${place} in ballot ${formatProposalNumber(proposalNumber)}`,
  );

/** A client may act on what it knows: it must know all that was acknowledged before its polls. */
export const checkLease = (
  before: History,
  lease: { readonly from: number; readonly data: string; readonly facts: readonly string[] },
): History => {
  const history = { ...before, leases: before.leases + 1 };
  const missing = [
    ...history.appended.filter(({ id }) => !lease.data.includes(`${id};`)),
    ...history.posted.filter(({ id }) => !lease.facts.includes(id)),
  ].find(({ step }) => step < lease.from);
  if (missing === undefined) return history;
  const text = `${missing.id} of step ${missing.step}, unknown at ${lease.from}`;
  return violate(history, 'pull-shows-acknowledged', text);
};

/** Whether a replica, told of these members by a caller who counts by them, answers as one. */
const answersAsMember = (state: ReplicaState, members: Membership): boolean => {
  const known = state.committedMembership?.value.epoch ?? 0;
  if (known >= members.epoch) return known === members.epoch && isVotingMember(state);
  const told = {
    proposalNumber: state.committedMembership?.proposalNumber ?? zeroProposalNumber,
    value: members,
  };
  const operation = { kind: 'poll', cursor: null, keys: [] } as const;
  const request = { membership: told, operation };
  const event = { kind: 'request-received', requestId: 0, request, now: 0 } as const;
  const { effects } = reduceReplica(state, event);
  return effects.some((effect) => effect.kind === 'send-reply' && effect.reply.kind === 'polled');
};

/** Disks that a caller who counts by these members could still win over. */
const gatherable = (
  disks: readonly ReplicaState[],
  members: Membership,
): readonly ReplicaState[] => {
  const named = Object.values(members.disks);
  const found = disks.filter(
    (state) =>
      state.hasBegunVoting && named.includes(state.diskId) && answersAsMember(state, members),
  );
  return found.length >= majorityOf(named.length) ? found : [];
};

type Gathered = {
  readonly members: Membership;
  readonly disks: readonly ReplicaState[];
  readonly quorum: number;
};

/** Whether two quorums can be taken out of these that share no disk. */
const canBeDisjoint = (left: Gathered, right: Gathered): boolean => {
  const shared = left.disks.filter(({ diskId: disk }) =>
    right.disks.some((other) => other.diskId === disk),
  ).length;
  const leftNeeds = Math.max(0, left.quorum - (left.disks.length - shared));
  const rightNeeds = Math.max(0, right.quorum - (right.disks.length - shared));
  return leftNeeds + rightNeeds <= shared;
};

const checkMeeting = (history: History, gathered: readonly Gathered[]): History => {
  for (const [index, left] of gathered.entries()) {
    for (const right of gathered.slice(index + 1)) {
      if (!canBeDisjoint(left, right)) continue;
      const text = `${describeMembers(left.members)} and ${describeMembers(right.members)}`;
      return violate(history, 'quorums-of-epochs-meet', text);
    }
  }
  return history;
};

const acceptedOf = ({ registers: cells }: ReplicaState): Chosen | null => {
  const accepted = cells.get(dataKey)?.accepted ?? null;
  return accepted === null ? null : { key: dataKey, ...accepted };
};

const byBallot = (left: Chosen | null, right: Chosen | null): number =>
  compareProposalNumbers(
    left?.proposalNumber ?? zeroProposalNumber,
    right?.proposalNumber ?? zeroProposalNumber,
  );

/** Every quorum that could read must find the newest chosen value, or one that descends from it. */
const checkReadable = (history: History, { disks, quorum, members }: Gathered): History => {
  const sorted = disks.map(acceptedOf).sort(byBallot);
  const newest = history.chosen
    .filter(({ key }) => key === dataKey)
    .sort(byBallot)
    .at(-1);
  const bad = sorted
    .slice(quorum - 1)
    .find((held) => newest !== undefined && !descends(dataKey, newest.value, held?.value ?? ''));
  if (bad !== undefined && newest !== undefined) {
    const shown = bad === null ? 'nothing' : describe(bad);
    const text = `epoch ${members.epoch} may read ${shown} where ${describe(newest)} was chosen`;
    return violate(history, 'acknowledged-is-readable', text);
  }
  const lost = history.posted.find(
    ({ id }) =>
      disks.filter(({ sequenceByEntryKey: factKeys }) => !factKeys.has(id)).length >= quorum,
  );
  return lost === undefined
    ? history
    : violate(history, 'acknowledged-is-readable', `fact ${lost.id} in epoch ${members.epoch}`);
};

/** Looks at every quorum that could still be gathered, under every epoch that was chosen. */
export const checkQuorums = (history: History, disks: readonly ReplicaState[]): History => {
  const gathered = Object.values(history.epochs).flatMap((members) => {
    const found = gatherable(disks, members);
    const quorum = majorityOf(Object.keys(members.disks).length);
    return found.length === 0 ? [] : [{ members, disks: found, quorum }];
  });
  return gathered.reduce(checkReadable, checkMeeting(history, gathered));
};
