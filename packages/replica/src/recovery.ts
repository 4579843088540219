import {
  compareProposalNumbers,
  copyRegister,
  emptyRegister,
  majorityOf,
  mergeRegisters,
  type ProposalNumber,
} from '@reedyard/consensus';
import { Beats, Limits, Sizes } from '@reedyard/constants';
import { keepFacts } from './journal.js';
import { adopt, mayFound, othersOf, predecessorOf } from './membership.js';
import {
  type BootstrapSettings,
  type Membership,
  membershipKey,
  type ReplicaOperation,
  type ReplicaReply,
} from './messages.js';
import { keepCell } from './registers.js';
import {
  isInMembership,
  isRetired,
  isVotingMember,
  membersOf,
  type PeerRead,
  type ReplicaState,
  slotOf,
  type Transition,
  update,
} from './state.js';

/** Recovery: how a replica that may not vote yet reads the others, and how it is read by them. */

export const away = (state: ReplicaState): ReplicaReply => ({
  kind: 'not-a-member',
  diskId: state.diskId,
  isBlank: !state.isVoting,
  knowsMembership: state.committedMembership !== null,
});

/**
 * Whether a replaced disk had come to vote in the place that was taken from it. If not, others may
 * have chosen in that place, before it, what it never read.
 */
const votedInLastPlace = (state: ReplicaState): boolean => {
  const predecessors = Object.values(state.committedMembership?.value.predecessors ?? {});
  const slot = predecessors.find(({ disk }) => disk === state.diskId);
  return (slot?.joinedIn ?? 0) <= state.votingEpoch;
};

/**
 * One page of the registers for a reader. The keys are listed once, at its first page: a register
 * that is written later was not written under members that the reader's place took part in.
 */
export const dumped = (transition: Transition, after: string | null): ReplicaReply => {
  const { state } = transition;
  // A retired replica accepts nothing more, so what it shows is all that it ever will.
  if (!isVotingMember(state) && !(isRetired(state) && votedInLastPlace(state))) return away(state);
  const [given = '', at = '0'] = after === null ? [] : after.split(':');
  const known = state.openPageReads[given];
  const reading = known === undefined ? String(state.nextRequestId) : given;
  const from = known === undefined ? 0 : Number(at);
  const keys = known ?? [...state.registers.keys()];
  const page = keys.slice(from, from + Sizes.dumpPage);
  const more = from + page.length < keys.length;
  const others = Object.entries(state.openPageReads).filter(([name]) => name !== reading);
  update(transition, {
    nextRequestId: state.nextRequestId + 1,
    openPageReads: Object.fromEntries(
      more ? [...others, [reading, keys] as const].slice(-Sizes.readers) : others,
    ),
  });
  return {
    kind: 'page-read',
    diskId: state.diskId,
    membership: state.committedMembership,
    nextPage: more ? `${reading}:${from + page.length}` : null,
    registers: page.map((key) => [key, state.registers.get(key) ?? emptyRegister]),
    entries: more ? [] : state.entries.map(({ key, value }) => ({ key, value })),
  };
};

/**
 * Takes over what was chosen before: the ballots are those it was chosen in. News makes it wait for
 * more.
 */
export const takeRestored = (
  transition: Transition,
  committed: Extract<ReplicaOperation, { kind: 'restore' }>,
  now: number,
): void => {
  const { lastSequence: sequence } = transition.state;
  let news = false;
  for (const [key, accepted] of committed.registers) {
    const mine = transition.state.registers.get(key) ?? emptyRegister;
    if (
      key === membershipKey ||
      (mine.accepted !== null &&
        compareProposalNumbers(accepted.proposalNumber, mine.accepted.proposalNumber) <= 0)
    )
      continue;
    keepCell(
      transition,
      key,
      mergeRegisters(mine, { promised: accepted.proposalNumber, accepted }),
      now,
    );
    news = true;
  }
  keepFacts(transition, committed.entries, now);
  if ((news || transition.state.lastSequence > sequence) && now < transition.state.recoveringUntil)
    update(transition, { recoveringUntil: now + Limits.restoring });
};

const blankReading: PeerRead = {
  nextPage: null,
  state: 'reading',
  requestId: null,
  sentAt: -Infinity,
  diskId: '',
  epoch: 0,
  requestedEpoch: 0,
  earlierRequestIds: [],
};
const readingOf = (state: ReplicaState, name: string): PeerRead =>
  state.peerReads[name] ?? blankReading;

/**
 * How a disk that does not vote comes to do so, from what it has read of the others.
 *
 * - `vote`: the members name it, and it has read enough of the other members, each after telling it
 * of these members. With n members, a majority that counted a lost vote of this place left at least
 *  majority-1 others, so n-majority+1 of them always meet it; and whoever was told of the new
 * members takes no more part in a choice by the old ones.
 * - `found`: every other one was reached and too few have anything to make a majority.
 *
 * @example
 * nextStep({ name: 'a', diskId: 'd', members: null, others: { b: { state: 'blank', diskId: 'e', epoch: 0 } } }) // 'found'
 */
export const nextStep = (me: {
  readonly name: string;
  readonly diskId: string;
  readonly members: Membership | null;
  readonly others: Readonly<
    Record<
      string,
      { readonly state: PeerRead['state']; readonly diskId: string; readonly epoch: number }
    >
  >;
}): 'vote' | 'found' | 'wait' => {
  const others = Object.entries(me.others);
  const count = others.length + 1;
  const majority = majorityOf(count);
  const members = me.members;
  if (members !== null && members.disks[me.name] === me.diskId) {
    const met = others.filter(
      ([name, other]) =>
        other.state === 'done' &&
        other.epoch >= members.epoch &&
        other.diskId === members.disks[name],
    ).length;
    if (met >= count - majority + 1) return 'vote';
  }
  const reached = others.every(([, other]) => other.state !== 'reading');
  return reached && others.filter(([, other]) => other.state === 'done').length < majority
    ? 'found'
    : 'wait';
};

/**
 * ms that a page is waited for before it is asked for again. While a member catches up one loss
 * less is borne, so it asks again soon, and gives a busy machine more time at each try; who only
 * waits to be named is in no haste.
 */
const patienceFor = (state: ReplicaState, reading: PeerRead): number =>
  isInMembership(state)
    ? Math.min(Limits.call, Limits.recoveryCall * (1 + reading.earlierRequestIds.length))
    : Limits.call;

export const rejoin = (transition: Transition, now: number): void => {
  const epoch = membersOf(transition.state)?.value.epoch ?? 0;
  const predecessor = predecessorOf(transition.state);
  const targets = {
    ...othersOf(transition.state),
    ...(predecessor === null ? {} : { [predecessor.reading]: predecessor.address }),
  };
  for (const [name, address] of Object.entries(targets)) {
    let reading = readingOf(transition.state, name);
    const patience = patienceFor(transition.state, reading);
    if (reading.requestId !== null && now - reading.sentAt < patience) continue;
    if (reading.state === 'done' && reading.epoch >= epoch) continue;
    if (reading.nextPage === null && now - reading.sentAt < Beats.rejoin) continue;
    if (reading.state === 'done') reading = { ...reading, nextPage: null };
    const id = transition.state.nextRequestId;
    const askedEpoch = reading.nextPage === null ? epoch : Math.min(epoch, reading.requestedEpoch);
    // An answer counts by the epoch that its call told; so only calls under one epoch stand for
    // each other.
    const isAgain = reading.requestId !== null && askedEpoch === reading.requestedEpoch;
    const earlierCalls = isAgain ? [...reading.earlierRequestIds, reading.requestId ?? id] : [];
    update(transition, {
      nextRequestId: id + 1,
      peerReads: {
        ...transition.state.peerReads,
        [name]: {
          ...reading,
          requestId: id,
          sentAt: now,
          requestedEpoch: askedEpoch,
          earlierRequestIds: earlierCalls,
        },
      },
    });
    transition.effects.push({
      kind: 'send-request',
      requestId: id,
      to: address,
      request: {
        membership: membersOf(transition.state),
        operation: { kind: 'read-page', after: reading.nextPage },
      },
    });
  }
  tryVote(transition, now);
};

const tryVote = (transition: Transition, now: number): void => {
  const { state } = transition;
  if (isVotingMember(state)) return;
  const known = membersOf(state);
  const others = Object.fromEntries(
    Object.keys(othersOf(state)).map((name) => [name, readingOf(state, name)]),
  );
  if (state.bootstrap !== null) {
    tryVoteSeeded(transition, state.bootstrap, others, now);
    return;
  }
  const step = nextStep({
    name: state.name,
    diskId: state.diskId,
    members: known?.value ?? null,
    others,
  });
  if (step === 'wait') return;
  if (step === 'found') {
    // All that found at once come to the same members under the same ballot.
    const disks = {
      ...known?.value.disks,
      ...Object.fromEntries(Object.entries(others).map(([name, other]) => [name, other.diskId])),
      [state.name]: state.diskId,
    };
    const names = Object.keys(disks);
    const founded =
      known !== null &&
      names.length === Object.keys(known.value.disks).length &&
      names.every((name) => known.value.disks[name] === disks[name as keyof typeof disks]);
    const proposalNumber: ProposalNumber = {
      counter: (known?.proposalNumber.counter ?? 0) + 1,
      proposerId: 'founding',
    };
    // Another may have founded the very same just before: then that epoch stands.
    const epoch = (known?.value.epoch ?? 0) + 1;
    if (!founded)
      adopt(
        transition,
        { proposalNumber, value: { epoch, disks, ...(epoch > 1 ? { refounded: epoch } : {}) } },
        now,
      );
  }
  beginVoting(transition, step, now);
};

/**
 * Whether this disk holds all that its predecessor did. That one was told of the successor's epoch,
 * or a later one, before it was read, so it votes no more; with a copy of its state this disk
 * counts wherever that one did.
 */
const hasReadPredecessor = (state: ReplicaState): boolean => {
  const predecessor = predecessorOf(state);
  if (predecessor === null) return false;
  const reading = readingOf(state, predecessor.reading);
  return (
    reading.state === 'done' &&
    reading.diskId === predecessor.disk &&
    reading.epoch === state.committedMembership?.value.epoch
  );
};

/** A disk that comes back to vote in another place: none of its earlier votes counts there. */
const forgetVotes = (transition: Transition, now: number): void => {
  for (const [key, register] of transition.state.registers) {
    const isVote = register.accepted !== null && register.accepted.copied !== true;
    if (key !== membershipKey && isVote) keepCell(transition, key, copyRegister(register), now);
  }
};

const beginVoting = (transition: Transition, step: string, now: number): void => {
  if (transition.state.isVoting) forgetVotes(transition, now);
  const epoch = transition.state.committedMembership?.value.epoch ?? 0;
  update(transition, { isVoting: true, votingEpoch: epoch, peerReads: {} });
  transition.effects.push(
    { kind: 'append-records', records: [{ kind: 'voting-begun', epoch }] },
    {
      kind: 'log',
      event: 'replica.votes',
      fields: { disk: transition.state.diskId, cells: transition.state.registers.size, step },
    },
  );
};

/**
 * Where members found themselves from seeds. A disk that the members name votes once it has read
 * enough, as ever; one that the first members name has no earlier votes to lose. Founding takes
 * every seed reached, blank, and without word of any members: nothing is ever founded a second
 * time.
 */
const tryVoteSeeded = (
  transition: Transition,
  seeded: BootstrapSettings,
  others: Readonly<Record<string, PeerRead>>,
  now: number,
): void => {
  const { state } = transition;
  const members = state.committedMembership?.value;
  const slot = members === undefined ? undefined : slotOf(state, members);
  if (members !== undefined && slot !== undefined) {
    if (
      members.epoch === 1 ||
      nextStep({ name: slot, diskId: state.diskId, members, others }) === 'vote'
    )
      beginVoting(transition, 'vote', now);
    else if (hasReadPredecessor(state)) beginVoting(transition, 'handover', now);
    return;
  }
  if (!mayFound(state) || Object.values(others).some((other) => other.state !== 'blank')) return;
  const addresses = Object.fromEntries(seeded.seeds.map((seed) => [seed, seed]));
  const disks = {
    ...Object.fromEntries(Object.entries(others).map(([name, other]) => [name, other.diskId])),
    [seeded.address]: state.diskId,
  };
  // All that found at once come to the same members under the same ballot.
  adopt(
    transition,
    {
      proposalNumber: { counter: 1, proposerId: 'founding' },
      value: { epoch: 1, disks, addresses },
    },
    now,
  );
  beginVoting(transition, 'found', now);
};

export const returned = (
  transition: Transition,
  id: number,
  body: ReplicaReply | null,
  now: number,
): void => {
  const found = Object.entries(transition.state.peerReads).find(
    ([, reading]) => reading.requestId === id || reading.earlierRequestIds.includes(id),
  );
  if (found === undefined || isVotingMember(transition.state)) return;
  const [name, reading] = found;
  const note = (next: Partial<PeerRead>): void =>
    update(transition, {
      peerReads: {
        ...transition.state.peerReads,
        [name]: { ...reading, requestId: null, earlierRequestIds: [], ...next },
      },
    });
  if (body === null) {
    const earlierCalls = reading.earlierRequestIds.filter((each) => each !== id);
    note({
      requestId: reading.requestId === id ? null : reading.requestId,
      earlierRequestIds: earlierCalls,
    });
    return;
  }
  if (body.kind === 'not-a-member') {
    const blankSeed =
      transition.state.bootstrap === null || (body.isBlank && !body.knowsMembership);
    note({ state: blankSeed ? 'blank' : 'reading', diskId: body.diskId, nextPage: null });
    tryVote(transition, now);
    return;
  }
  if (body.kind !== 'page-read') {
    note({});
    return;
  }
  adopt(transition, body.membership, now);
  if (transition.state.peerReads[name] === undefined) return;
  const isPredecessor =
    name === predecessorOf(transition.state)?.reading &&
    body.diskId === predecessorOf(transition.state)?.disk;
  for (const [key, shown] of body.registers) {
    // Only the predecessor's votes were cast in this place.
    const register = isPredecessor ? shown : copyRegister(shown);
    const mine = transition.state.registers.get(key) ?? emptyRegister;
    // Members that another accepted need not be chosen: of that register only what was promised is
    // taken over.
    const merged =
      key === membershipKey
        ? { ...mine, promised: mergeRegisters(mine, register).promised }
        : mergeRegisters(mine, register);
    if (
      compareProposalNumbers(merged.promised, mine.promised) !== 0 ||
      merged.accepted !== mine.accepted
    )
      keepCell(transition, key, merged, now);
  }
  keepFacts(transition, body.entries, now);
  note(
    body.nextPage === null
      ? { state: 'done', nextPage: null, diskId: body.diskId, epoch: reading.requestedEpoch }
      : { nextPage: body.nextPage, sentAt: -Infinity },
  );
  if (body.nextPage === null) tryVote(transition, now);
  else rejoin(transition, now);
};
