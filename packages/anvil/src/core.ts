import { Map as Table, Set as Group } from 'immutable';
import { Beats, Limits, Sizes } from '@reedyard/gauge';
import { Acceptor, Ballots, emptyCell, majorityOf, type Ballot, type Cell, type Vote } from '@reedyard/latch';
import type { Step } from '@reedyard/chute';

/** One fact of the board: written once under its key, never changed. */
export type Fact = { readonly key: string; readonly value: unknown };
type Kept = Fact & { readonly seq: number; readonly at: number };

/** A place on one anvil's board, in one life of its disk. */
export type Cursor = { readonly disk: string; readonly seq: number };

/** Who votes: for each place, the disk that holds it. One place changes at a time. */
export type Voters = {
  readonly epoch: number; readonly disks: Readonly<Record<string, string>>;
  /** The last epoch that was founded after a loss; left out where none was. */
  readonly refounded?: number;
  /** Where each place's anvil is reached; left out where the settings name every founder. */
  readonly addresses?: Readonly<Record<string, string>>;
};
/** Voters that are known to be chosen. */
export type VotersTold = { readonly ballot: Ballot; readonly value: Voters };
export const votersKey = 'voters';

/**
 * Whether voters known to be chosen are newer than others: epochs are chosen one after the other, so the epoch
 * counts first. The same epoch may have been written again under a higher ballot, even after the next was chosen.
 *
 * @example
 * newerVoters({ ballot: [3, 'x'], value: { epoch: 2, disks: {} } }, { ballot: [9, 'y'], value: { epoch: 1, disks: {} } }) // true
 */
export const newerVoters = (told: VotersTold, known: VotersTold | null): boolean => known === null || told.value.epoch > known.value.epoch
  || (told.value.epoch === known.value.epoch && Ballots.compare(told.ballot, known.ballot) > 0);

/** Where voters found themselves from seeds: what one anvil is told by its settings. */
export type AnvilVoting = { readonly address: string; /** Anvils that found the state among themselves. */ readonly seeds: readonly string[]; /** True only when the whole system starts for the very first time. */ readonly firstStart: boolean };

/** A call, with the voters that the caller counts by. */
export type AnvilAsk = { readonly voters: VotersTold | null; readonly call: AnvilCall };

/** What may be asked of an anvil. */
export type AnvilCall =
  | { readonly kind: 'prepare'; readonly key: string; readonly ballot: Ballot }
  | { readonly kind: 'accept'; readonly key: string; readonly ballot: Ballot; readonly value: unknown; readonly disk: string }
  | { readonly kind: 'post'; readonly facts: readonly Fact[] }
  | { readonly kind: 'pull'; readonly cursor: Cursor | null; readonly keys: readonly string[] }
  | { readonly kind: 'fetch'; readonly key: string }
  | { readonly kind: 'dump'; readonly after: string | null }
  /** What a jig knows to have been chosen, told again after most disks were lost. */
  | { readonly kind: 'retell'; readonly cells: readonly (readonly [string, NonNullable<Cell['accepted']>])[]; readonly facts: readonly Fact[] };

/** What an anvil answers. */
export type AnvilReply =
  /** It may not vote; a fresh disk, which never did, may be given a place. */
  | { readonly kind: 'away'; readonly disk: string; readonly fresh: boolean; /** Whether it has heard of voters. */ readonly informed: boolean }
  /** The caller counts by voters that are no longer in force. */
  | { readonly kind: 'stale'; readonly disk: string; readonly voters: VotersTold | null }
  | { readonly kind: 'vote'; readonly disk: string; readonly vote: Vote }
  /** Its disk takes no writes, or none in time: it counts as lost until it does. */
  | { readonly kind: 'unavailable'; readonly disk: string }
  /** It keeps as many claims as it may. */
  | { readonly kind: 'full'; readonly disk: string }
  | { readonly kind: 'posted'; readonly disk: string }
  /** It founded the state anew and wants to be told again what is known; until then it takes part in nothing. */
  | { readonly kind: 'settling'; readonly disk: string; readonly epoch: number }
  | { readonly kind: 'retold'; readonly disk: string }
  | {
    readonly kind: 'pulled'; readonly disk: string; readonly seq: number; readonly reset: boolean; readonly more: boolean;
    readonly facts: readonly Fact[]; readonly ballots: Readonly<Record<string, Ballot>>;
    /** Its disk takes no writes: what it shows is sound, but it votes for nothing and counts as lost. */
    readonly readOnly?: true;
  }
  | { readonly kind: 'fetched'; readonly disk: string; readonly accepted: Cell['accepted'] }
  | { readonly kind: 'dumped'; readonly disk: string; /** The voters that it knows to be chosen. */ readonly voters: VotersTold | null; readonly cells: readonly (readonly [string, Cell])[]; readonly facts: readonly Fact[]; readonly next: string | null };

/** What goes to disk. Replaying a record twice changes nothing. */
export type AnvilRecord =
  | { readonly kind: 'disk'; readonly disk: string }
  | { readonly kind: 'voting' }
  /** Its place was given to another: all that was on this disk is gone, and it goes on under a new name. */
  | { readonly kind: 'blanked'; readonly disk: string }
  /** Voters that it was told are chosen. */
  | { readonly kind: 'told'; readonly voters: VotersTold }
  /** The last place given on the board; kept apart, since the facts themselves age away. */
  | { readonly kind: 'place'; readonly seq: number }
  | { readonly kind: 'cell'; readonly key: string; readonly cell: Cell }
  | { readonly kind: 'fact'; readonly seq: number; readonly fact: Fact };

export type AnvilEvent =
  | { readonly kind: 'asked'; readonly id: number; readonly body: AnvilAsk; readonly now: number }
  | { readonly kind: 'returned'; readonly id: number; readonly body: AnvilReply; readonly now: number }
  | { readonly kind: 'lost'; readonly id: number; readonly now: number }
  | { readonly kind: 'beat'; readonly now: number };

export type AnvilEffect =
  /** To disk, in order. */
  | { readonly kind: 'append'; readonly records: readonly AnvilRecord[] }
  /** Answer a call, only after all that was appended before is synced. */
  | { readonly kind: 'tell'; readonly id: number; readonly body: AnvilReply }
  | { readonly kind: 'call'; readonly id: number; readonly to: string; readonly body: AnvilAsk }
  | { readonly kind: 'log'; readonly event: string; readonly fields: Readonly<Record<string, string | number | boolean>> };

type Reading = {
  readonly after: string | null; readonly state: 'reading' | 'blank' | 'done'; readonly call: number | null; readonly sentAt: number;
  /** The disk that answered, and the epoch that it was told of before it answered. */
  readonly disk: string; readonly epoch: number; readonly askedEpoch: number;
};

export type AnvilState = {
  readonly name: string;
  /** The others of the founding set: name and address. Not used where voters found themselves from seeds. */
  readonly others: Readonly<Record<string, string>>;
  /** What the settings tell where voters found themselves from seeds; null where they name every founder. */
  readonly seeded: AnvilVoting | null;
  /** The newest voters that it knows to be chosen: it votes by these alone. */
  readonly told: VotersTold | null;
  readonly disk: string;
  /** Whether this disk has ever voted; it does so now if the voters name it. */
  readonly voting: boolean;
  readonly cells: Table<string, Cell>;
  /** Minute of the anvil's running time in which each claim was last written, and the claims of each minute. */
  readonly claimsSeen: Table<string, number>;
  readonly claimMinutes: Table<number, Group<string>>;
  /** Keys of the registers as they were when a reader began, by the name of its reading. */
  readonly dumps: Readonly<Record<string, readonly string[]>>;
  readonly facts: readonly Kept[];
  readonly factKeys: Table<string, number>;
  readonly seq: number;
  /** Facts up to this place were dropped for age. */
  readonly floor: number;
  readonly readings: Readonly<Record<string, Reading>>;
  readonly nextCall: number;
  readonly sweptAt: number;
  /** Until when it waits for what jigs tell again. */
  readonly settlingUntil: number;
  /** The last founding after a loss that it has settled for. */
  readonly settledFor: number;
};

const claimPrefix = 'claim/';
const minuteOf = (now: number): number => Math.floor(now / 60_000);

type Work = { state: AnvilState; readonly effects: AnvilEffect[] };
const set = (work: Work, change: Partial<AnvilState>): void => { work.state = { ...work.state, ...change }; };

const votersOf = (state: AnvilState): VotersTold | null => state.told;

/** The place that voters give to this disk. Where they found themselves from seeds the disk alone tells, since machines move. */
const placeOf = (state: AnvilState, voters: Voters): string | undefined => state.seeded === null
  ? voters.disks[state.name] === state.disk ? state.name : undefined
  : Object.keys(voters.disks).find((place) => voters.disks[place] === state.disk);

const isNamed = (state: AnvilState): boolean => state.told !== null && placeOf(state, state.told.value) !== undefined;
const isVoter = (state: AnvilState): boolean => state.voting && isNamed(state);

/** Whether this anvil may take part in founding the state: only at the very first start, at a seed's address, blank and not told of voters. */
const mayFound = (state: AnvilState): boolean =>
  state.seeded !== null && state.seeded.firstStart && state.seeded.seeds.includes(state.seeded.address) && state.told === null && !state.voting;

/** Whom it reads before it votes: name and address. */
const othersOf = (state: AnvilState): Readonly<Record<string, string>> => {
  if (state.seeded === null) return state.others;
  const { address, seeds } = state.seeded;
  const voters = state.told?.value;
  const place = voters === undefined ? undefined : placeOf(state, voters);
  if (voters !== undefined && place !== undefined) return Object.fromEntries(Object.entries(voters.addresses ?? {}).filter(([name]) => name !== place));
  return mayFound(state) ? Object.fromEntries(seeds.filter((seed) => seed !== address).map((seed) => [seed, seed])) : {};
};

const withoutClaim = (minutes: AnvilState['claimMinutes'], minute: number, key: string): AnvilState['claimMinutes'] => {
  const left = (minutes.get(minute) ?? Group<string>()).delete(key);
  return left.isEmpty() ? minutes.delete(minute) : minutes.set(minute, left);
};

const seeClaim = (work: Work, key: string, minute: number): void => {
  const { claimsSeen, claimMinutes } = work.state;
  const before = claimsSeen.get(key);
  if (before === minute) return;
  const others = before === undefined ? claimMinutes : withoutClaim(claimMinutes, before, key);
  set(work, { claimsSeen: claimsSeen.set(key, minute), claimMinutes: others.set(minute, (others.get(minute) ?? Group<string>()).add(key)) });
};

/**
 * After most disks were lost every voter waits for what jigs tell again: also one that kept its disk, since
 * it may lack what the others had, and one that read the others before they were told.
 */
const settleFor = (work: Work, refounded: number, now: number): void => {
  if (refounded > work.state.settledFor) set(work, { settledFor: refounded, settlingUntil: now + Limits.retelling });
};

const keepCell = (work: Work, key: string, cell: Cell, now: number): void => {
  set(work, { cells: work.state.cells.set(key, cell) });
  if (key.startsWith(claimPrefix)) seeClaim(work, key, minuteOf(now));
  work.effects.push({ kind: 'append', records: [{ kind: 'cell', key, cell }] });
};

const keepFacts = (work: Work, facts: readonly Fact[], now: number): void => {
  const added: Kept[] = [];
  let keys = work.state.factKeys;
  let seq = work.state.seq;
  for (const fact of facts) {
    if (keys.has(fact.key)) continue;
    seq += 1;
    keys = keys.set(fact.key, seq);
    added.push({ key: fact.key, value: fact.value, seq, at: now });
  }
  if (added.length === 0) return;
  set(work, { facts: [...work.state.facts, ...added], factKeys: keys, seq });
  work.effects.push({ kind: 'append', records: added.map((kept) => ({ kind: 'fact', seq: kept.seq, fact: { key: kept.key, value: kept.value } })) });
};

const vote = (work: Work, id: number, key: string, outcome: { readonly cell: Cell; readonly vote: Vote }, now: number): void => {
  if (outcome.vote.kind === 'yes') keepCell(work, key, outcome.cell, now);
  work.effects.push({ kind: 'tell', id, body: { kind: 'vote', disk: work.state.disk, vote: outcome.vote } });
};

const pulled = (state: AnvilState, cursor: Cursor | null, keys: readonly string[]): AnvilReply => {
  const known = cursor !== null && cursor.disk === state.disk && cursor.seq >= state.floor && cursor.seq <= state.seq ? cursor.seq : null;
  const from = known ?? state.floor;
  const fresh = state.facts.filter((fact) => fact.seq > from);
  const facts = fresh.slice(0, Sizes.purges);
  const ballots = Object.fromEntries(keys.flatMap((key) => {
    const accepted = state.cells.get(key)?.accepted;
    return accepted ? [[key, accepted.ballot]] : [];
  }));
  return {
    kind: 'pulled', disk: state.disk, seq: facts.at(-1)?.seq ?? Math.max(from, known ?? state.seq), reset: cursor !== null && known === null,
    more: facts.length < fresh.length, facts: facts.map(({ key, value }) => ({ key, value })), ballots,
  };
};

const away = (state: AnvilState): AnvilReply => ({ kind: 'away', disk: state.disk, fresh: !state.voting, informed: state.told !== null });

/**
 * One page of the registers for a reader. The keys are listed once, at its first page: a register that
 * is written later was not written under voters that the reader's place took part in.
 */
const dumped = (work: Work, after: string | null): AnvilReply => {
  const { state } = work;
  if (!isVoter(state)) return away(state);
  const [given = '', at = '0'] = after === null ? [] : after.split(':');
  const known = state.dumps[given];
  const reading = known === undefined ? String(state.nextCall) : given;
  const from = known === undefined ? 0 : Number(at);
  const keys = known ?? [...state.cells.keys()];
  const page = keys.slice(from, from + Sizes.dumpPage);
  const more = from + page.length < keys.length;
  const others = Object.entries(state.dumps).filter(([name]) => name !== reading);
  set(work, { nextCall: state.nextCall + 1, dumps: Object.fromEntries(more ? [...others, [reading, keys] as const].slice(-Sizes.readers) : others) });
  return {
    kind: 'dumped', disk: state.disk, voters: state.told, next: more ? `${reading}:${from + page.length}` : null,
    cells: page.map((key) => [key, state.cells.get(key) ?? emptyCell]),
    facts: more ? [] : state.facts.map(({ key, value }) => ({ key, value })),
  };
};

/** Takes in voters that are known to be chosen, if they are newer than those it knew. */
const adopt = (work: Work, told: VotersTold | null, now: number): void => {
  const before = work.state;
  if (told === null || !newerVoters(told, before.told)) return;
  const epochBefore = before.told?.value.epoch ?? 0;
  set(work, { told });
  const cell = before.cells.get(votersKey) ?? emptyCell;
  const accepted = cell.accepted === null ? null : { ballot: cell.accepted.ballot, value: cell.accepted.value as Voters };
  if (newerVoters(told, accepted)) keepCell(work, votersKey, { promised: Ballots.compare(cell.promised, told.ballot) > 0 ? cell.promised : told.ballot, accepted: told }, now);
  // After the register itself: told of voters, it must show no older ones to a ballot.
  work.effects.push({ kind: 'append', records: [{ kind: 'told', voters: told }] });
  settleFor(work, told.value.refounded ?? 0, now);
  if (told.value.epoch > epochBefore) work.effects.push({ kind: 'log', event: 'voters.learned', fields: { epoch: told.value.epoch, seated: isNamed(work.state) } });
  blankIfReplaced(work);
};

/** Its place was given to another disk, which reads from the others what this one's votes helped: so it may forget them, and waits as a blank one. */
const blankIfReplaced = (work: Work): void => {
  const { state } = work;
  const { told } = state;
  if (state.seeded === null || !state.voting || told === null || isNamed(state)) return;
  const disk = `${state.disk.split('/', 1)[0] ?? ''}/${told.value.epoch}`;
  set(work, {
    disk, voting: false, cells: Table(), claimsSeen: Table(), claimMinutes: Table(), dumps: {}, facts: [], factKeys: Table(), floor: state.seq, readings: {},
  });
  work.effects.push({ kind: 'append', records: [{ kind: 'blanked', disk }, { kind: 'told', voters: told }, { kind: 'place', seq: state.seq }] },
    { kind: 'log', event: 'anvil.replaced', fields: { epoch: told.value.epoch, disk } });
};

const asked = (work: Work, id: number, ask: AnvilAsk, now: number): void => {
  adopt(work, ask.voters, now);
  const { state } = work;
  const body = ask.call;
  const tell = (reply: AnvilReply): void => { work.effects.push({ kind: 'tell', id, body: reply }); };
  if (body.kind === 'dump') { tell(dumped(work, body.after)); return; }
  const mine = votersOf(state);
  const [epoch, known] = [ask.voters?.value.epoch ?? 0, mine?.value.epoch ?? 0];
  if (!state.voting && (state.seeded === null || epoch >= known)) { tell(away(state)); return; }
  // Only the newest set that is known to be chosen counts, and only by the disks that it names. What it
  // accepted but was not told of changes nothing: the earlier set, which decides on it, goes on.
  const onVoters = (body.kind === 'prepare' || body.kind === 'accept') && body.key === votersKey;
  if (epoch < known) { tell({ kind: 'stale', disk: state.disk, voters: mine }); return; }
  if (body.kind === 'retell') { takeRetold(work, body, now); tell({ kind: 'retold', disk: state.disk }); return; }
  if (!onVoters && now < state.settlingUntil) { tell({ kind: 'settling', disk: state.disk, epoch: known }); return; }
  if (body.kind === 'prepare' && body.key.startsWith(claimPrefix) && state.claimsSeen.size >= Sizes.claims && !state.cells.has(body.key)) { tell({ kind: 'full', disk: state.disk }); return; }
  if (!isVoter(state)) { tell(away(state)); return; }
  switch (body.kind) {
    case 'prepare': vote(work, id, body.key, Acceptor.prepare(state.cells.get(body.key) ?? emptyCell, body.ballot), now); return;
    case 'accept':
      if (body.disk !== state.disk) { tell(away(state)); return; }
      vote(work, id, body.key, Acceptor.accept(state.cells.get(body.key) ?? emptyCell, body.ballot, body.value), now);
      return;
    case 'post': keepFacts(work, body.facts, now); tell({ kind: 'posted', disk: state.disk }); return;
    case 'pull': tell(pulled(state, body.cursor, body.keys)); return;
    case 'fetch': tell({ kind: 'fetched', disk: state.disk, accepted: state.cells.get(body.key)?.accepted ?? null }); return;
  }
};

/** Takes over what was chosen before: the ballots are those it was chosen in. News makes it wait for more. */
const takeRetold = (work: Work, told: Extract<AnvilCall, { kind: 'retell' }>, now: number): void => {
  const { seq } = work.state;
  let news = false;
  for (const [key, accepted] of told.cells) {
    const mine = work.state.cells.get(key) ?? emptyCell;
    if (key === votersKey || (mine.accepted !== null && Ballots.compare(accepted.ballot, mine.accepted.ballot) <= 0)) continue;
    keepCell(work, key, Acceptor.merge(mine, { promised: accepted.ballot, accepted }), now);
    news = true;
  }
  keepFacts(work, told.facts, now);
  if ((news || work.state.seq > seq) && now < work.state.settlingUntil) set(work, { settlingUntil: now + Limits.retelling });
};

const blankReading: Reading = { after: null, state: 'reading', call: null, sentAt: -Infinity, disk: '', epoch: 0, askedEpoch: 0 };
const readingOf = (state: AnvilState, name: string): Reading => state.readings[name] ?? blankReading;

/**
 * How a disk that does not vote comes to do so, from what it has read of the others.
 *
 * - `vote`: the voters name it, and it has read enough of the other voters, each after telling it of
 *   these voters. With n voters, a majority that counted a lost vote of this place left at least
 *   majority-1 others, so n-majority+1 of them always meet it; and whoever was told of the new voters
 *   takes no more part in a choice by the old ones.
 * - `found`: every other one was reached and too few have anything to make a majority.
 *
 * @example
 * nextStep({ name: 'a', disk: 'd', voters: null, others: { b: { state: 'blank', disk: 'e', epoch: 0 } } }) // 'found'
 */
export const nextStep = (me: {
  readonly name: string; readonly disk: string; readonly voters: Voters | null;
  readonly others: Readonly<Record<string, { readonly state: Reading['state']; readonly disk: string; readonly epoch: number }>>;
}): 'vote' | 'found' | 'wait' => {
  const others = Object.entries(me.others);
  const count = others.length + 1;
  const majority = majorityOf(count);
  const voters = me.voters;
  if (voters !== null && voters.disks[me.name] === me.disk) {
    const met = others.filter(([name, other]) => other.state === 'done' && other.epoch >= voters.epoch && other.disk === voters.disks[name]).length;
    if (met >= count - majority + 1) return 'vote';
  }
  const reached = others.every(([, other]) => other.state !== 'reading');
  return reached && others.filter(([, other]) => other.state === 'done').length < majority ? 'found' : 'wait';
};

const rejoin = (work: Work, now: number): void => {
  const epoch = votersOf(work.state)?.value.epoch ?? 0;
  for (const [name, address] of Object.entries(othersOf(work.state))) {
    let reading = readingOf(work.state, name);
    if (reading.call !== null && now - reading.sentAt < Limits.call) continue;
    if (reading.state === 'done' && reading.epoch >= epoch) continue;
    if (reading.after === null && now - reading.sentAt < Beats.rejoin) continue;
    if (reading.state === 'done') reading = { ...reading, after: null };
    const id = work.state.nextCall;
    const askedEpoch = reading.after === null ? epoch : Math.min(epoch, reading.askedEpoch);
    set(work, { nextCall: id + 1, readings: { ...work.state.readings, [name]: { ...reading, call: id, sentAt: now, askedEpoch } } });
    work.effects.push({ kind: 'call', id, to: address, body: { voters: votersOf(work.state), call: { kind: 'dump', after: reading.after } } });
  }
  tryVote(work, now);
};

const tryVote = (work: Work, now: number): void => {
  const { state } = work;
  if (isVoter(state)) return;
  const known = votersOf(state);
  const others = Object.fromEntries(Object.keys(othersOf(state)).map((name) => [name, readingOf(state, name)]));
  if (state.seeded !== null) { tryVoteSeeded(work, state.seeded, others, now); return; }
  const step = nextStep({ name: state.name, disk: state.disk, voters: known?.value ?? null, others });
  if (step === 'wait') return;
  if (step === 'found') {
    // All that found at once come to the same voters under the same ballot.
    const disks = { ...known?.value.disks, ...Object.fromEntries(Object.entries(others).map(([name, other]) => [name, other.disk])), [state.name]: state.disk };
    const names = Object.keys(disks);
    const founded = known !== null && names.length === Object.keys(known.value.disks).length && names.every((name) => known.value.disks[name] === disks[name as keyof typeof disks]);
    const ballot: Ballot = [(known?.ballot[0] ?? 0) + 1, 'founding'];
    // Another may have founded the very same just before: then that epoch stands.
    const epoch = (known?.value.epoch ?? 0) + 1;
    if (!founded) adopt(work, { ballot, value: { epoch, disks, ...(epoch > 1 ? { refounded: epoch } : {}) } }, now);
  }
  beginVoting(work, step);
};

const beginVoting = (work: Work, step: string): void => {
  set(work, { voting: true, readings: {} });
  work.effects.push({ kind: 'append', records: [{ kind: 'voting' }] }, { kind: 'log', event: 'anvil.votes', fields: { disk: work.state.disk, cells: work.state.cells.size, step } });
};

/**
 * Where voters found themselves from seeds. A disk that the voters name votes once it has read enough, as ever;
 * one that the first voters name has no earlier votes to lose. Founding takes every seed reached, blank, and
 * without word of any voters: nothing is ever founded a second time.
 */
const tryVoteSeeded = (work: Work, seeded: AnvilVoting, others: Readonly<Record<string, Reading>>, now: number): void => {
  const { state } = work;
  const voters = state.told?.value;
  const place = voters === undefined ? undefined : placeOf(state, voters);
  if (voters !== undefined && place !== undefined) {
    if (voters.epoch === 1 || nextStep({ name: place, disk: state.disk, voters, others }) === 'vote') beginVoting(work, 'vote');
    return;
  }
  if (!mayFound(state) || Object.values(others).some((other) => other.state !== 'blank')) return;
  const addresses = Object.fromEntries(seeded.seeds.map((seed) => [seed, seed]));
  const disks = { ...Object.fromEntries(Object.entries(others).map(([name, other]) => [name, other.disk])), [seeded.address]: state.disk };
  // All that found at once come to the same voters under the same ballot.
  adopt(work, { ballot: [1, 'founding'], value: { epoch: 1, disks, addresses } }, now);
  beginVoting(work, 'found');
};

const returned = (work: Work, id: number, body: AnvilReply | null, now: number): void => {
  const found = Object.entries(work.state.readings).find(([, reading]) => reading.call === id);
  if (found === undefined || isVoter(work.state)) return;
  const [name, reading] = found;
  const note = (next: Partial<Reading>): void => set(work, { readings: { ...work.state.readings, [name]: { ...reading, call: null, ...next } } });
  if (body === null) { note({}); return; }
  if (body.kind === 'away') {
    const blankSeed = work.state.seeded === null || (body.fresh && !body.informed);
    note({ state: blankSeed ? 'blank' : 'reading', disk: body.disk, after: null });
    tryVote(work, now);
    return;
  }
  if (body.kind !== 'dumped') { note({}); return; }
  adopt(work, body.voters, now);
  if (work.state.readings[name] === undefined) return;
  for (const [key, cell] of body.cells) {
    const mine = work.state.cells.get(key) ?? emptyCell;
    // Voters that another accepted need not be chosen: of that register only what was promised is taken over.
    const merged = key === votersKey ? { ...mine, promised: Acceptor.merge(mine, cell).promised } : Acceptor.merge(mine, cell);
    if (Ballots.compare(merged.promised, mine.promised) !== 0 || merged.accepted !== mine.accepted) keepCell(work, key, merged, now);
  }
  keepFacts(work, body.facts, now);
  note(body.next === null ? { state: 'done', after: null, disk: body.disk, epoch: reading.askedEpoch } : { after: body.next, sentAt: -Infinity });
  if (body.next === null) tryVote(work, now); else rejoin(work, now);
};

const sweep = (work: Work, now: number): void => {
  const { state } = work;
  if (now - state.sweptAt < 1_000) return;
  const old = state.facts.filter((fact) => now - fact.at > Limits.fact);
  set(work, {
    sweptAt: now,
    facts: old.length === 0 ? state.facts : state.facts.slice(old.length),
    factKeys: old.length === 0 ? state.factKeys : state.factKeys.deleteAll(old.map((fact) => fact.key)),
    floor: old.at(-1)?.seq ?? state.floor,
  });
  const lapsed = [...state.claimMinutes].filter(([minute]) => minute < minuteOf(now - Limits.claim)).flatMap(([minute, keys]) => [...keys.take(Sizes.claimSweep)].map((key) => [minute, key] as const)).slice(0, Sizes.claimSweep);
  if (lapsed.length === 0) return;
  const keys = lapsed.map(([, key]) => key);
  set(work, { cells: state.cells.deleteAll(keys), claimsSeen: state.claimsSeen.deleteAll(keys), claimMinutes: lapsed.reduce((minutes, [minute, key]) => withoutClaim(minutes, minute, key), state.claimMinutes) });
};

export const Anvil = {
  /**
   * The state from what was on disk; a blank disk gets the new name given.
   *
   * @example
   * Anvil.open({ name: 'core-1', others: {}, records: [], freshDisk: 'd1', now: 0 }).state.voting // true once its beat has run
   */
  open: (parts: {
    readonly name: string; readonly others: Readonly<Record<string, string>>;
    readonly records: readonly AnvilRecord[]; readonly freshDisk: string; readonly now: number;
    /** Where voters found themselves from seeds; `others` is then not looked at. */
    readonly seeded?: AnvilVoting | null;
  }): Step<AnvilState, AnvilEffect> => {
    let disk: string | null = null;
    let voting = false;
    let told: VotersTold | null = null;
    let seq = 0;
    const cells = new Map<string, Cell>();
    const facts = new Map<string, Kept>();
    for (const record of parts.records) {
      if (record.kind === 'disk') disk = record.disk;
      else if (record.kind === 'voting') voting = true;
      else if (record.kind === 'blanked') { disk = record.disk; voting = false; cells.clear(); facts.clear(); }
      else if (record.kind === 'told') told = told === null || newerVoters(record.voters, told) ? record.voters : told;
      else if (record.kind === 'place') seq = Math.max(seq, record.seq);
      else if (record.kind === 'cell') cells.set(record.key, record.cell);
      else { facts.set(record.fact.key, { ...record.fact, seq: record.seq, at: parts.now }); seq = Math.max(seq, record.seq); }
    }
    // A disk of before voters were noted as told.
    const accepted = cells.get(votersKey)?.accepted ?? null;
    told ??= accepted === null ? null : { ballot: accepted.ballot, value: accepted.value as Voters };
    const claims = [...cells.keys()].filter((key) => key.startsWith(claimPrefix));
    const kept = [...facts.values()].sort((a, b) => a.seq - b.seq);
    return {
      state: {
        name: parts.name, others: parts.others, seeded: parts.seeded ?? null, told, disk: disk ?? parts.freshDisk, voting, cells: Table(cells),
        claimsSeen: Table(claims.map((key) => [key, minuteOf(parts.now)])), claimMinutes: claims.length === 0 ? Table() : Table([[minuteOf(parts.now), Group(claims)]]), dumps: {},
        facts: kept, factKeys: Table(kept.map((fact) => [fact.key, fact.seq])), seq, floor: (kept[0]?.seq ?? seq + 1) - 1,
        readings: {}, nextCall: 1, sweptAt: parts.now, settlingUntil: -Infinity, settledFor: told?.value.refounded ?? 0,
      },
      effects: disk === null ? [{ kind: 'append', records: [{ kind: 'disk', disk: parts.freshDisk }] }] : [],
    };
  },

  /** The whole state as records, for a snapshot. @example [...Anvil.records(state)].length // 1 for a new one */
  * records(state: AnvilState): Iterable<AnvilRecord> {
    yield { kind: 'disk', disk: state.disk };
    if (state.voting) yield { kind: 'voting' };
    if (state.told !== null) yield { kind: 'told', voters: state.told };
    yield { kind: 'place', seq: state.seq };
    for (const [key, cell] of state.cells) yield { kind: 'cell', key, cell };
    for (const { seq, key, value } of state.facts) yield { kind: 'fact', seq, fact: { key, value } };
  },

  /** @example Anvil.reduce(state, { kind: 'beat', now: 200 }) */
  reduce: (state: AnvilState, event: AnvilEvent): Step<AnvilState, AnvilEffect> => {
    const work: Work = { state, effects: [] };
    switch (event.kind) {
      case 'asked': asked(work, event.id, event.body, event.now); break;
      case 'returned': returned(work, event.id, event.body, event.now); break;
      case 'lost': returned(work, event.id, null, event.now); break;
      case 'beat': blankIfReplaced(work); if (!isVoter(work.state)) rejoin(work, event.now); sweep(work, event.now); break;
    }
    return { state: work.state, effects: work.effects };
  },
} as const;
