import { Beats, Limits, Sizes } from '@reedyard/constants';
import { Acceptor, Ballots, emptyCell, majorityOf, type Ballot } from '@reedyard/consensus';
import { keepFacts } from './journal.js';
import { adopt, mayFound, othersOf, predecessorOf } from './membership.js';
import {
  membersKey,
  type ReplicaCall,
  type ReplicaReply,
  type ReplicaVoting,
  type Members,
} from './messages.js';
import { keepCell } from './registers.js';
import {
  isNamed,
  isRetired,
  isMember,
  placeOf,
  set,
  membersOf,
  type ReplicaState,
  type Reading,
  type Work,
} from './state.js';

/** Recovery: how a replica that may not vote yet reads the others, and how it is read by them. */

export const away = (state: ReplicaState): ReplicaReply => ({
  kind: 'away',
  disk: state.disk,
  fresh: !state.voting,
  informed: state.told !== null,
});

/**
 * Whether a replaced disk had come to vote in the place that was taken from it. If not, others may
 * have chosen in that place, before it, what it never read.
 */
const votedInLastPlace = (state: ReplicaState): boolean => {
  const predecessors = Object.values(state.told?.value.predecessors ?? {});
  const place = predecessors.find(({ disk }) => disk === state.disk);
  return (place?.joinedIn ?? 0) <= state.votingEpoch;
};

/**
 * One page of the registers for a reader. The keys are listed once, at its first page: a register
 * that is written later was not written under members that the reader's place took part in.
 */
export const dumped = (work: Work, after: string | null): ReplicaReply => {
  const { state } = work;
  // A retired replica accepts nothing more, so what it shows is all that it ever will.
  if (!isMember(state) && !(isRetired(state) && votedInLastPlace(state))) return away(state);
  const [given = '', at = '0'] = after === null ? [] : after.split(':');
  const known = state.dumps[given];
  const reading = known === undefined ? String(state.nextCall) : given;
  const from = known === undefined ? 0 : Number(at);
  const keys = known ?? [...state.cells.keys()];
  const page = keys.slice(from, from + Sizes.dumpPage);
  const more = from + page.length < keys.length;
  const others = Object.entries(state.dumps).filter(([name]) => name !== reading);
  set(work, {
    nextCall: state.nextCall + 1,
    dumps: Object.fromEntries(
      more ? [...others, [reading, keys] as const].slice(-Sizes.readers) : others,
    ),
  });
  return {
    kind: 'dumped',
    disk: state.disk,
    members: state.told,
    next: more ? `${reading}:${from + page.length}` : null,
    cells: page.map((key) => [key, state.cells.get(key) ?? emptyCell]),
    facts: more ? [] : state.facts.map(({ key, value }) => ({ key, value })),
  };
};

/**
 * Takes over what was chosen before: the ballots are those it was chosen in. News makes it wait for
 * more.
 */
export const takeRestored = (
  work: Work,
  told: Extract<ReplicaCall, { kind: 'restore' }>,
  now: number,
): void => {
  const { seq } = work.state;
  let news = false;
  for (const [key, accepted] of told.cells) {
    const mine = work.state.cells.get(key) ?? emptyCell;
    if (
      key === membersKey ||
      (mine.accepted !== null && Ballots.compare(accepted.ballot, mine.accepted.ballot) <= 0)
    )
      continue;
    keepCell(work, key, Acceptor.merge(mine, { promised: accepted.ballot, accepted }), now);
    news = true;
  }
  keepFacts(work, told.facts, now);
  if ((news || work.state.seq > seq) && now < work.state.recoveringUntil)
    set(work, { recoveringUntil: now + Limits.restoring });
};

const blankReading: Reading = {
  after: null,
  state: 'reading',
  call: null,
  sentAt: -Infinity,
  disk: '',
  epoch: 0,
  askedEpoch: 0,
  earlierCalls: [],
};
const readingOf = (state: ReplicaState, name: string): Reading =>
  state.readings[name] ?? blankReading;

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
 * nextStep({ name: 'a', disk: 'd', members: null, others: { b: { state: 'blank', disk: 'e', epoch: 0 } } }) // 'found'
 */
export const nextStep = (me: {
  readonly name: string;
  readonly disk: string;
  readonly members: Members | null;
  readonly others: Readonly<
    Record<
      string,
      { readonly state: Reading['state']; readonly disk: string; readonly epoch: number }
    >
  >;
}): 'vote' | 'found' | 'wait' => {
  const others = Object.entries(me.others);
  const count = others.length + 1;
  const majority = majorityOf(count);
  const members = me.members;
  if (members !== null && members.disks[me.name] === me.disk) {
    const met = others.filter(
      ([name, other]) =>
        other.state === 'done' &&
        other.epoch >= members.epoch &&
        other.disk === members.disks[name],
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
const patienceFor = (state: ReplicaState, reading: Reading): number =>
  isNamed(state)
    ? Math.min(Limits.call, Limits.recoveryCall * (1 + reading.earlierCalls.length))
    : Limits.call;

export const rejoin = (work: Work, now: number): void => {
  const epoch = membersOf(work.state)?.value.epoch ?? 0;
  const predecessor = predecessorOf(work.state);
  const targets = {
    ...othersOf(work.state),
    ...(predecessor === null ? {} : { [predecessor.reading]: predecessor.address }),
  };
  for (const [name, address] of Object.entries(targets)) {
    let reading = readingOf(work.state, name);
    const patience = patienceFor(work.state, reading);
    if (reading.call !== null && now - reading.sentAt < patience) continue;
    if (reading.state === 'done' && reading.epoch >= epoch) continue;
    if (reading.after === null && now - reading.sentAt < Beats.rejoin) continue;
    if (reading.state === 'done') reading = { ...reading, after: null };
    const id = work.state.nextCall;
    const askedEpoch = reading.after === null ? epoch : Math.min(epoch, reading.askedEpoch);
    // An answer counts by the epoch that its call told; so only calls under one epoch stand for
    // each other.
    const isAgain = reading.call !== null && askedEpoch === reading.askedEpoch;
    const earlierCalls = isAgain ? [...reading.earlierCalls, reading.call ?? id] : [];
    set(work, {
      nextCall: id + 1,
      readings: {
        ...work.state.readings,
        [name]: { ...reading, call: id, sentAt: now, askedEpoch, earlierCalls },
      },
    });
    work.effects.push({
      kind: 'call',
      id,
      to: address,
      body: { members: membersOf(work.state), call: { kind: 'dump', after: reading.after } },
    });
  }
  tryVote(work, now);
};

const tryVote = (work: Work, now: number): void => {
  const { state } = work;
  if (isMember(state)) return;
  const known = membersOf(state);
  const others = Object.fromEntries(
    Object.keys(othersOf(state)).map((name) => [name, readingOf(state, name)]),
  );
  if (state.seeded !== null) {
    tryVoteSeeded(work, state.seeded, others, now);
    return;
  }
  const step = nextStep({
    name: state.name,
    disk: state.disk,
    members: known?.value ?? null,
    others,
  });
  if (step === 'wait') return;
  if (step === 'found') {
    // All that found at once come to the same members under the same ballot.
    const disks = {
      ...known?.value.disks,
      ...Object.fromEntries(Object.entries(others).map(([name, other]) => [name, other.disk])),
      [state.name]: state.disk,
    };
    const names = Object.keys(disks);
    const founded =
      known !== null &&
      names.length === Object.keys(known.value.disks).length &&
      names.every((name) => known.value.disks[name] === disks[name as keyof typeof disks]);
    const ballot: Ballot = [(known?.ballot[0] ?? 0) + 1, 'founding'];
    // Another may have founded the very same just before: then that epoch stands.
    const epoch = (known?.value.epoch ?? 0) + 1;
    if (!founded)
      adopt(
        work,
        { ballot, value: { epoch, disks, ...(epoch > 1 ? { refounded: epoch } : {}) } },
        now,
      );
  }
  beginVoting(work, step, now);
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
    reading.disk === predecessor.disk &&
    reading.epoch === state.told?.value.epoch
  );
};

/** A disk that comes back to vote in another place: none of its earlier votes counts there. */
const forgetVotes = (work: Work, now: number): void => {
  for (const [key, cell] of work.state.cells) {
    const isVote = cell.accepted !== null && cell.accepted.copied !== true;
    if (key !== membersKey && isVote) keepCell(work, key, Acceptor.copyOf(cell), now);
  }
};

const beginVoting = (work: Work, step: string, now: number): void => {
  if (work.state.voting) forgetVotes(work, now);
  const epoch = work.state.told?.value.epoch ?? 0;
  set(work, { voting: true, votingEpoch: epoch, readings: {} });
  work.effects.push(
    { kind: 'append', records: [{ kind: 'voting', epoch }] },
    {
      kind: 'log',
      event: 'replica.votes',
      fields: { disk: work.state.disk, cells: work.state.cells.size, step },
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
  work: Work,
  seeded: ReplicaVoting,
  others: Readonly<Record<string, Reading>>,
  now: number,
): void => {
  const { state } = work;
  const members = state.told?.value;
  const place = members === undefined ? undefined : placeOf(state, members);
  if (members !== undefined && place !== undefined) {
    if (
      members.epoch === 1 ||
      nextStep({ name: place, disk: state.disk, members, others }) === 'vote'
    )
      beginVoting(work, 'vote', now);
    else if (hasReadPredecessor(state)) beginVoting(work, 'handover', now);
    return;
  }
  if (!mayFound(state) || Object.values(others).some((other) => other.state !== 'blank')) return;
  const addresses = Object.fromEntries(seeded.seeds.map((seed) => [seed, seed]));
  const disks = {
    ...Object.fromEntries(Object.entries(others).map(([name, other]) => [name, other.disk])),
    [seeded.address]: state.disk,
  };
  // All that found at once come to the same members under the same ballot.
  adopt(work, { ballot: [1, 'founding'], value: { epoch: 1, disks, addresses } }, now);
  beginVoting(work, 'found', now);
};

export const returned = (work: Work, id: number, body: ReplicaReply | null, now: number): void => {
  const found = Object.entries(work.state.readings).find(
    ([, reading]) => reading.call === id || reading.earlierCalls.includes(id),
  );
  if (found === undefined || isMember(work.state)) return;
  const [name, reading] = found;
  const note = (next: Partial<Reading>): void =>
    set(work, {
      readings: {
        ...work.state.readings,
        [name]: { ...reading, call: null, earlierCalls: [], ...next },
      },
    });
  if (body === null) {
    const earlierCalls = reading.earlierCalls.filter((each) => each !== id);
    note({ call: reading.call === id ? null : reading.call, earlierCalls });
    return;
  }
  if (body.kind === 'away') {
    const blankSeed = work.state.seeded === null || (body.fresh && !body.informed);
    note({ state: blankSeed ? 'blank' : 'reading', disk: body.disk, after: null });
    tryVote(work, now);
    return;
  }
  if (body.kind !== 'dumped') {
    note({});
    return;
  }
  adopt(work, body.members, now);
  if (work.state.readings[name] === undefined) return;
  const isPredecessor =
    name === predecessorOf(work.state)?.reading && body.disk === predecessorOf(work.state)?.disk;
  for (const [key, shown] of body.cells) {
    // Only the predecessor's votes were cast in this place.
    const cell = isPredecessor ? shown : Acceptor.copyOf(shown);
    const mine = work.state.cells.get(key) ?? emptyCell;
    // Members that another accepted need not be chosen: of that register only what was promised is
    // taken over.
    const merged =
      key === membersKey
        ? { ...mine, promised: Acceptor.merge(mine, cell).promised }
        : Acceptor.merge(mine, cell);
    if (Ballots.compare(merged.promised, mine.promised) !== 0 || merged.accepted !== mine.accepted)
      keepCell(work, key, merged, now);
  }
  keepFacts(work, body.facts, now);
  note(
    body.next === null
      ? { state: 'done', after: null, disk: body.disk, epoch: reading.askedEpoch }
      : { after: body.next, sentAt: -Infinity },
  );
  if (body.next === null) tryVote(work, now);
  else rejoin(work, now);
};
