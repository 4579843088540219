/**
 * Test support: the history of a run as recorded by an observer that sees every disk and message,
 * and the checks of the invariants on it. Values are immutable, so that a search can fork them.
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

/** The invariants, as docs/control-model.md lists them. */
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

/**
 * The invariants whose violation is itself harmful. The rules about reading before voting, about
 * the frozen predecessor, and about promise and vote on the same disk are left out: they matter
 * only because breaking them can violate one of these.
 */
export const harmfulInvariants: readonly Invariant[] = [
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
type AcceptTally = { readonly disks: readonly string[]; readonly value: unknown };
type Acknowledged = { readonly id: string; readonly step: number };

export type History = {
  /** Every membership that was chosen, by epoch. */
  readonly epochs: Readonly<Record<number, Membership>>;
  /**
   * Disks that accepted a value, by register, proposal number and the epoch by which the proposer
   * counts.
   */
  readonly accepts: Readonly<Record<string, AcceptTally>>;
  /** Chosen values, in the order in which the observer or a client found them. */
  readonly chosen: readonly Chosen[];
  readonly appended: readonly Acknowledged[];
  readonly posted: readonly Acknowledged[];
  /** How often a client acquired or renewed its lease. */
  readonly leases: number;
  /**
   * For each disk, the disks that it has read completely, with the epoch that the source knew at
   * that time.
   */
  readonly reads: Readonly<Record<string, Readonly<Record<string, number>>>>;
  /** The epoch that each disk knew when it last started to vote. */
  readonly votingEpochs: Readonly<Record<string, number>>;
  /**
   * Disks whose successor votes after it has read only them, with the epoch in which it was
   * assigned their slot.
   */
  readonly handedOver: Readonly<Record<string, number>>;
  readonly violations: readonly Violation[];
};

/**
 * Creates the history of a cluster that has just been founded.
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
  votingEpochs: Object.fromEntries(
    Object.values(founders.disks).map((disk) => [disk, founders.epoch]),
  ),
  handedOver: {},
  violations: [],
});

const addViolation = (history: History, invariant: Invariant, text: string): History => ({
  ...history,
  violations: [...history.violations, { invariant, text }],
});

const describe = ({ key, proposalNumber, value }: Chosen): string =>
  `${key} ${formatProposalNumber(proposalNumber)} ${key === membershipKey ? describeMembers(value as Membership) : String(value)}`;

const describeMembers = (members: Membership): string =>
  `${members.epoch}:${Object.entries(members.disks)
    .map(([slot, disk]) => `${slot}=${disk}`)
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
 * Records a value that the observer or a client found to be chosen. It must be the only value of
 * its proposal, and must descend from the chosen values of all lower proposals.
 */
export const recordChosen = (history: History, chosen: Chosen): History => {
  const sameRegister = history.chosen.filter(({ key }) => key === chosen.key);
  const sameNumber = sameRegister.find(
    ({ proposalNumber }) => compareProposalNumbers(proposalNumber, chosen.proposalNumber) === 0,
  );
  if (sameNumber !== undefined) {
    return sameValue(chosen.key, sameNumber.value, chosen.value)
      ? history
      : addViolation(
          history,
          'one-value-a-ballot',
          `${describe(sameNumber)} and ${describe(chosen)}`,
        );
  }
  let next: History = { ...history, chosen: [...history.chosen, chosen] };
  for (const other of sameRegister) {
    const isEarlier = compareProposalNumbers(other.proposalNumber, chosen.proposalNumber) < 0;
    const [earlier, later] = isEarlier ? [other, chosen] : [chosen, other];
    if (!descends(chosen.key, earlier.value, later.value)) {
      const text = `${describe(later)} after ${describe(earlier)}`;
      next = addViolation(next, 'chosen-values-descend', text);
    }
  }
  return chosen.key === membershipKey ? recordEpoch(next, chosen.value as Membership) : next;
};

const recordEpoch = (history: History, members: Membership): History => {
  const known = history.epochs[members.epoch];
  if (known === undefined) {
    return { ...history, epochs: { ...history.epochs, [members.epoch]: members } };
  }
  if (sameValue(membershipKey, known, members)) return history;
  const text = `${describeMembers(known)} and ${describeMembers(members)}`;
  return addViolation(history, 'one-membership-an-epoch', text);
};

/** Records that a replica uses this membership from now on; it must have been chosen. */
export const recordMembership = (history: History, disk: string, members: Membership): History => {
  const known = history.epochs[members.epoch];
  if (known !== undefined && sameValue(membershipKey, known, members)) return history;
  return addViolation(
    history,
    'told-is-chosen',
    `${disk} uses membership ${describeMembers(members)}`,
  );
};

/** Records that a disk has accepted a value from a proposer that counts by this membership. */
export const recordAccept = (
  history: History,
  disk: string,
  requesterMembers: Membership,
  accepted: Chosen,
): History => {
  const memberDisks = Object.values(requesterMembers.disks);
  if (!memberDisks.includes(disk)) return history;
  const { key, proposalNumber, value } = accepted;
  const tallyKey = `${key} ${formatProposalNumber(proposalNumber)} ${requesterMembers.epoch}`;
  const before = history.accepts[tallyKey];
  if (before !== undefined && !sameValue(key, before.value, value)) {
    const text = `${describe({ key, proposalNumber, value: before.value })} and ${describe(accepted)}`;
    return addViolation(history, 'one-value-a-ballot', text);
  }
  const disks = [...new Set([...(before?.disks ?? []), disk])].sort();
  const next = { ...history, accepts: { ...history.accepts, [tallyKey]: { disks, value } } };
  return disks.length >= majorityOf(memberDisks.length) ? recordChosen(next, accepted) : next;
};

/**
 * Records that a disk has read another disk completely, and the epoch that the source knew then.
 */
export const recordRead = (
  history: History,
  reader: string,
  source: string,
  epoch: number,
): History => ({
  ...history,
  reads: { ...history.reads, [reader]: { ...history.reads[reader], [source]: epoch } },
});

/**
 * Returns the disk that the given disk replaced, if the given disk has read it completely after the
 * predecessor had learned of the replacement. The predecessor must have voted in that slot, and
 * must hold no slot now.
 */
const readPredecessor = (
  history: History,
  disk: string,
  members: Membership,
): string | undefined => {
  const slot = Object.keys(members.disks).find((name) => members.disks[name] === disk) ?? '';
  const predecessor = members.predecessors?.[slot]?.disk;
  if (predecessor === undefined || Object.values(members.disks).includes(predecessor))
    return undefined;
  const joinEpoch = joinEpochOf(history, disk, members);
  const before = history.epochs[joinEpoch - 1];
  if (before === undefined || !Object.values(before.disks).includes(predecessor)) return undefined;
  const hasVoted =
    (history.votingEpochs[predecessor] ?? 0) >= joinEpochOf(history, predecessor, before);
  const readEpoch = history.reads[disk]?.[predecessor] ?? 0;
  return hasVoted && readEpoch >= joinEpoch ? predecessor : undefined;
};

/**
 * Records that a disk starts to vote. It must have read either enough of the other members or the
 * disk that it replaced.
 */
export const recordVotingStart = (history: History, disk: string, members: Membership): History => {
  const memberDisks = Object.values(members.disks);
  const requiredReads = memberDisks.length - majorityOf(memberDisks.length) + 1;
  const joinEpoch = joinEpochOf(history, disk, members);
  const reads = Object.entries(history.reads[disk] ?? {});
  const readCount = reads.filter(
    ([other, epoch]) => epoch >= joinEpoch && memberDisks.includes(other),
  ).length;
  const next = { ...history, votingEpochs: { ...history.votingEpochs, [disk]: members.epoch } };
  if (readCount >= requiredReads) return next;
  const predecessor = readPredecessor(history, disk, members);
  if (predecessor !== undefined) {
    return { ...next, handedOver: { ...next.handedOver, [predecessor]: joinEpoch } };
  }
  return addViolation(
    next,
    'reads-before-voting',
    `${disk} has read ${readCount} of ${requiredReads} required disks`,
  );
};

/**
 * Checks a disk that replies as a member: it must have started to vote since it became one, and
 * must not reply in an epoch before the one in which it handed over its slot.
 */
export const checkVoting = (
  history: History,
  disk: string,
  members: Membership | undefined,
): History => {
  if (members === undefined) return history;
  const handoverEpoch = history.handedOver[disk];
  if (handoverEpoch !== undefined && members.epoch < handoverEpoch) {
    const text = `${disk} replies in epoch ${members.epoch}, but handed over in epoch ${handoverEpoch}`;
    return addViolation(history, 'read-predecessor-is-frozen', text);
  }
  if (!Object.values(members.disks).includes(disk)) {
    return addViolation(
      history,
      'reads-before-voting',
      `${disk} is not a member in epoch ${members.epoch}`,
    );
  }
  const joinEpoch = joinEpochOf(history, disk, members);
  const votingEpoch = history.votingEpochs[disk] ?? 0;
  if (votingEpoch >= joinEpoch) return history;
  const text = `${disk} is a member since epoch ${joinEpoch}, but last started to vote in epoch ${votingEpoch}`;
  return addViolation(history, 'reads-before-voting', text);
};

/**
 * Returns the first epoch since which the disk has been a member without a gap, up to the given
 * membership.
 */
const joinEpochOf = (history: History, disk: string, members: Membership): number => {
  let epoch = members.epoch;
  while (Object.values(history.epochs[epoch - 1]?.disks ?? {}).includes(disk)) epoch -= 1;
  return epoch;
};

export const recordAppended = (history: History, id: string, step: number): History => ({
  ...history,
  appended: [...history.appended, { id, step }],
});

export const recordPosted = (history: History, id: string, step: number): History => ({
  ...history,
  posted: [...history.posted, { id, step }],
});

export const recordMixedDisks = (
  history: History,
  slot: string,
  proposalNumber: ProposalNumber,
): History =>
  addViolation(
    history,
    'promise-and-vote-of-one-life',
    `${slot} in proposal ${formatProposalNumber(proposalNumber)}`,
  );

/**
 * Checks a lease: the client must know everything that was acknowledged before the start of the
 * lease.
 */
export const checkLease = (
  before: History,
  lease: { readonly from: number; readonly data: string; readonly entryKeys: readonly string[] },
): History => {
  const history = { ...before, leases: before.leases + 1 };
  const missing = [
    ...history.appended.filter(({ id }) => !lease.data.includes(`${id};`)),
    ...history.posted.filter(({ id }) => !lease.entryKeys.includes(id)),
  ].find(({ step }) => step < lease.from);
  if (missing === undefined) return history;
  const text = `${missing.id}, acknowledged at step ${missing.step}, is unknown to a lease from step ${lease.from}`;
  return addViolation(history, 'pull-shows-acknowledged', text);
};

/** Whether a replica replies as a member to a request that carries this membership. */
const wouldReplyAsMember = (state: ReplicaState, members: Membership): boolean => {
  const known = state.committedMembership?.value.epoch ?? 0;
  if (known >= members.epoch) return known === members.epoch && isVotingMember(state);
  const committed = {
    proposalNumber: state.committedMembership?.proposalNumber ?? zeroProposalNumber,
    value: members,
  };
  const operation = { kind: 'poll', cursor: null, keys: [] } as const;
  const request = { membership: committed, operation };
  const event = { kind: 'request-received', requestId: 0, request, now: 0 } as const;
  const { effects } = reduceReplica(state, event);
  return effects.some((effect) => effect.kind === 'send-reply' && effect.reply.kind === 'polled');
};

/**
 * Returns the voting disks that a requester with this membership can still reach, or none if they
 * are no majority.
 */
const reachableVoters = (
  disks: readonly ReplicaState[],
  members: Membership,
): readonly ReplicaState[] => {
  const memberDisks = Object.values(members.disks);
  const voters = disks.filter(
    (state) =>
      state.hasBegunVoting &&
      memberDisks.includes(state.diskId) &&
      wouldReplyAsMember(state, members),
  );
  return voters.length >= majorityOf(memberDisks.length) ? voters : [];
};

type ReachableMembers = {
  readonly members: Membership;
  readonly disks: readonly ReplicaState[];
  readonly quorum: number;
};

/** Whether the two sets of disks contain two quorums without a common disk. */
const canBeDisjoint = (left: ReachableMembers, right: ReachableMembers): boolean => {
  const shared = left.disks.filter(({ diskId: disk }) =>
    right.disks.some((other) => other.diskId === disk),
  ).length;
  const leftNeeds = Math.max(0, left.quorum - (left.disks.length - shared));
  const rightNeeds = Math.max(0, right.quorum - (right.disks.length - shared));
  return leftNeeds + rightNeeds <= shared;
};

const checkQuorumsIntersect = (
  history: History,
  reachable: readonly ReachableMembers[],
): History => {
  for (const [index, left] of reachable.entries()) {
    for (const right of reachable.slice(index + 1)) {
      if (!canBeDisjoint(left, right)) continue;
      const text = `${describeMembers(left.members)} and ${describeMembers(right.members)}`;
      return addViolation(history, 'quorums-of-epochs-meet', text);
    }
  }
  return history;
};

const acceptedData = ({ registers: registers }: ReplicaState): Chosen | null => {
  const accepted = registers.get(dataKey)?.accepted ?? null;
  return accepted === null ? null : { key: dataKey, ...accepted };
};

const compareChosen = (left: Chosen | null, right: Chosen | null): number =>
  compareProposalNumbers(
    left?.proposalNumber ?? zeroProposalNumber,
    right?.proposalNumber ?? zeroProposalNumber,
  );

/**
 * Checks that every quorum that could be read shows the newest chosen value or a descendant of it,
 * and every acknowledged journal entry.
 */
const checkReadable = (history: History, { disks, quorum, members }: ReachableMembers): History => {
  const sorted = disks.map(acceptedData).sort(compareChosen);
  const newest = history.chosen
    .filter(({ key }) => key === dataKey)
    .sort(compareChosen)
    .at(-1);
  const outdated = sorted
    .slice(quorum - 1)
    .find(
      (accepted) => newest !== undefined && !descends(dataKey, newest.value, accepted?.value ?? ''),
    );
  if (outdated !== undefined && newest !== undefined) {
    const shown = outdated === null ? 'nothing' : describe(outdated);
    const text = `a quorum of epoch ${members.epoch} may read ${shown}, but ${describe(newest)} was chosen`;
    return addViolation(history, 'acknowledged-is-readable', text);
  }
  const lostEntry = history.posted.find(
    ({ id }) =>
      disks.filter(({ sequenceByEntryKey: sequences }) => !sequences.has(id)).length >= quorum,
  );
  return lostEntry === undefined
    ? history
    : addViolation(
        history,
        'acknowledged-is-readable',
        `journal entry ${lostEntry.id} is missing from a quorum of epoch ${members.epoch}`,
      );
};

/** Checks every quorum that can still be formed, under every membership that was chosen. */
export const checkQuorums = (history: History, disks: readonly ReplicaState[]): History => {
  const reachable = Object.values(history.epochs).flatMap((members) => {
    const voters = reachableVoters(disks, members);
    const quorum = majorityOf(Object.keys(members.disks).length);
    return voters.length === 0 ? [] : [{ members, disks: voters, quorum }];
  });
  return reachable.reduce(checkReadable, checkQuorumsIntersect(history, reachable));
};
