import { Beats, Limits, Sizes } from '@reedyard/gauge';
import { Ballots, majorityOf, type Ballot } from '@reedyard/latch';
import { newerVoters, type AnvilReply, type Voters, type VotersTold } from '@reedyard/anvil';
import type { Plan } from '@reedyard/ladle';
import { countAnew, pursue } from './ballots.js';
import { Changes } from './changes.js';
import { hasAccepted, isLow, isOverdue, renewLease, stackPull } from './lease.js';
import { isProbeDue, isProbing } from './reachability.js';
import type { HallsValue } from './terms.js';
import { anvilsHeard, nodesOf } from './network.js';
import { replicaAnswer } from './status.js';
import { anvilView, bearsLosses, chance, counts, hallsValueOf, log, sendToAnvil, set, votersOf, watched, without, type AnvilView, type JigState, type Told, type Watched, type Work } from './state.js';

const change = (work: Work, name: string, part: Partial<AnvilView>): void => {
  const view = work.state.anvils[name];
  if (view !== undefined) set(work, { anvils: { ...work.state.anvils, [name]: { ...view, ...part } } });
};

const pull = (work: Work, name: string, view: AnvilView): void => {
  const pending = { kind: 'pull', anvil: name, sentAt: work.state.now } as const;
  const call = sendToAnvil(work, view.address, { kind: 'pull', cursor: view.cursor, keys: watched }, pending);
  change(work, name, { call, askedAt: work.state.now });
};

/** Asks every anvil for what is new; several times a second. */
export const pullAll = (work: Work): void => {
  for (const [name, view] of Object.entries(work.state.anvils)) {
    if (view.call !== null && work.state.now - view.askedAt < Limits.pull) continue;
    pull(work, name, view);
  }
  lookAround(work);
};

/** Asks replicas before their turn: those that do not carry a lease that runs low, and all while an order hangs. */
export const pullOverdue = (work: Work): void => {
  const [low, probing] = [isLow(work.state), isProbing(work.state)];
  if (!low && !probing) return;
  for (const [name, view] of Object.entries(work.state.anvils)) {
    const isDue = (low && isOverdue(work.state, view)) || (probing && isProbeDue(work.state, view));
    if (isDue) pull(work, name, view);
  }
};

/**
 * Where voters found themselves from seeds: a jig without a lease asks the seeds' anvils, and those it heard of,
 * for the voters. Its own it asks always, to tell by gossip which disk waits for a place.
 */
const lookAround = (work: Work): void => {
  const { state } = work;
  if (state.voting === null) return;
  const own = state.self.anvil?.address;
  const heard = nodesOf(state).flatMap(({ record }) => (record.anvil === null ? [] : [record.anvil.address]));
  const known = Object.values(state.anvils).map((view) => view.address);
  const wanted = state.now < state.lease ? [] : [...state.voting.seeds, ...heard];
  const addresses = new Set([...wanted.filter((each) => !known.includes(each)), ...(own === undefined ? [] : [own])]);
  for (const address of addresses) sendToAnvil(work, address, { kind: 'pull', cursor: null, keys: [] }, { kind: 'look', address });
};

/** What an anvil tells of itself and of the voters, wherever it was asked from. */
export const tookLook = (work: Work, address: string, reply: AnvilReply): void => {
  if (reply.kind === 'stale' && reply.voters !== null) learnTold(work, reply.voters);
  if (address === work.state.self.anvil?.address && reply.kind !== 'stale') {
    set(work, { ownAnvil: { disk: reply.disk, fresh: reply.kind === 'away' && reply.fresh, at: work.state.now } });
  }
};

/** Voters that an anvil was told are chosen. */
const learnTold = (work: Work, told: VotersTold): void => {
  if (newerVoters(told, votersOf(work.state))) learnRegister(work, 'voters', told.ballot, told.value);
};

/** The places that are asked and counted are those of the voters; what is known of a place's disk is kept. */
const takePlaces = (work: Work, before: Voters | undefined, voters: Voters): void => {
  if (work.state.voting === null) return;
  const { anvils, now } = work.state;
  set(work, { anvils: Object.fromEntries(Object.entries(voters.addresses ?? {}).map(([place, address]) => {
    const view = anvils[place];
    const same = before?.disks[place] === voters.disks[place] && (before?.addresses?.[place] === address || view?.address === address);
    return [place, view !== undefined && same ? view : anvilView(address, now)];
  })) });
};

/** Halls taken back since the orders known before: what their origins said until now is not trusted. */
const noteReopened = (work: Work, before: HallsValue, now: HallsValue): void => {
  const opened = Object.entries(now.reopened).filter(([, serial]) => serial > before.serial);
  if (opened.length > 0) set(work, { reopened: { ...work.state.reopened, ...Object.fromEntries(opened.map(([hall]) => [hall, work.state.now])) } });
};

/** Takes in a value that is known to be chosen. A lower ballot than the known one is old news. */
export const learnRegister = (work: Work, key: Watched, ballot: Ballot, value: unknown): void => {
  const known = work.state.registers[key];
  // A ballot may write an epoch again after the next one was chosen.
  if (known !== undefined && (key === 'voters' ? !newerVoters({ ballot, value: value as Voters }, votersOf(work.state)) : Ballots.compare(ballot, known.ballot) <= 0)) return;
  set(work, { registers: { ...work.state.registers, [key]: { ballot, value, at: work.state.now } } });
  // The split rests on the policy's routes; which nodes serve is looked at each time.
  if (key === 'policy') set(work, { splitStale: true });
  if (Ballots.compare(ballot, work.state.highestBallot) > 0) set(work, { highestBallot: ballot });
  if (key === 'plan') {
    const plan = value as Plan;
    const { planSeen } = work.state;
    if (plan.term !== planSeen.term || plan.beat !== planSeen.beat) set(work, { planSeen: { term: plan.term, beat: plan.beat, at: work.state.now } });
  } else if (key === 'voters') {
    const voters = value as Voters;
    log(work, 'voters.in-force', { epoch: voters.epoch, voters: Object.keys(voters.disks).length });
    takePlaces(work, known?.value as Voters | undefined, voters);
    countAnew(work);
  } else log(work, `${key}.in-force`, { serial: (value as { serial: number }).serial });
  if (key === 'halls') noteReopened(work, hallsValueOf(known?.value), hallsValueOf(value));
  renewLease(work);
};

/** The newest ballot of a register that any replica shows, and the replicas that show it now. */
const highestShown = (state: JigState, key: Watched): { readonly ballot: Ballot; readonly at: readonly string[] } => {
  const shown = Object.entries(state.anvils).flatMap(([name, view]) =>
    view.pulled === null ? [] : [{ name, ballot: view.pulled.ballots[key] ?? Ballots.none }],
  );
  const ballot = shown.reduce<Ballot>(
    (best, each) => (Ballots.compare(each.ballot, best) > 0 ? each.ballot : best),
    Ballots.none,
  );
  const at = shown.filter((each) => Ballots.compare(each.ballot, ballot) === 0);
  return { ballot, at: at.map(({ name }) => name) };
};

/** Whether a majority of replicas is known to have accepted a ballot: then it is chosen. */
const isChosen = (state: JigState, key: Watched, ballot: Ballot): boolean => {
  const views = Object.values(state.anvils);
  return views.filter((view) => hasAccepted(view, key, ballot)).length >= majorityOf(views.length);
};

/** Learns a value that was fetched earlier, if it turns out to be chosen. */
const learnCandidate = (work: Work, key: Watched): void => {
  const candidate = work.state.candidates[key];
  if (candidate === undefined || !isChosen(work.state, key, candidate.ballot)) return;
  set(work, { candidates: without(work.state.candidates, key) });
  learnRegister(work, key, candidate.ballot, candidate.value);
};

const isFetching = (state: JigState, key: Watched): boolean =>
  Object.values(state.pending).some(
    (each) => each.kind === 'fetch' && each.key === key && state.now - each.sentAt < Beats.pull,
  );

/** Fetches a value from one of the replicas that show its ballot. */
const fetchFrom = (work: Work, key: Watched, replicas: readonly string[]): void => {
  const chosenHolder = replicas[Math.floor(chance(work) * replicas.length)];
  const view = chosenHolder === undefined ? undefined : work.state.anvils[chosenHolder];
  if (isFetching(work.state, key) || view === undefined) return;
  sendToAnvil(work, view.address, { kind: 'fetch', key }, { kind: 'fetch', key, sentAt: work.state.now });
};

/** Writes a value again that only a minority shows for long: its writer may be gone. */
const repairHanging = (work: Work, key: Watched, ballot: Ballot): void => {
  const { state } = work;
  const seen = state.hanging[key];
  if (seen === undefined || Ballots.compare(seen.ballot, ballot) !== 0) {
    set(work, { hanging: { ...state.hanging, [key]: { ballot, since: state.now } } });
    return;
  }
  const repairing = Object.values(state.pursuits).some((pursuit) => pursuit.key === key);
  if (state.now - seen.since <= Limits.hanging || repairing || chance(work) >= 0.1) return;
  pursue(work, key, () => ({ kind: 'keep' }), { kind: 'repair' });
};

/** What the last pulls show of each register: fetch what is chosen, repair what hangs. */
const watchRegisters = (work: Work): void => {
  for (const key of watched) {
    learnCandidate(work, key);
    const { ballot, at } = highestShown(work.state, key);
    if (Ballots.compare(ballot, work.state.registers[key]?.ballot ?? Ballots.none) <= 0) continue;
    if (isChosen(work.state, key, ballot)) fetchFrom(work, key, at);
    else repairHanging(work, key, ballot);
  }
};

/** All that this node knows to have been chosen. Nothing of it changes while an anvil settles. */
const toldBefore = (state: JigState): Told => ({
  cells: [
    ...watched.flatMap((key) => { const known = state.registers[key]; return key === 'voters' || known === undefined ? [] : [[key, { ballot: known.ballot, value: known.value }] as const]; }),
    ...[...state.claims].reverse().flatMap((span) => [...span]),
  ],
  facts: state.facts.map(({ key, value }) => ({ key, value })),
});

/** Tells an anvil that founded the state anew the next page of what is known here. */
const retell = (work: Work, name: string, epoch: number): void => {
  const view = work.state.anvils[name];
  if (view === undefined) return;
  const begun = view.retold !== null && view.retold.epoch === epoch ? view.retold : { epoch, told: toldBefore(work.state), count: 0, sentAt: -Infinity };
  if (work.state.now - begun.sentAt < Limits.pull) return;
  const { cells, facts } = begun.told;
  const [from, to] = [begun.count, begun.count + Sizes.retellPage];
  const page = { cells: cells.slice(from, to), facts: facts.slice(Math.max(0, from - cells.length), Math.max(0, to - cells.length)) };
  if (page.cells.length + page.facts.length === 0) return;
  if (from === 0) log(work, 'register.retold', { anvil: name, registers: cells.length, facts: facts.length });
  change(work, name, { retold: { ...begun, sentAt: work.state.now } });
  sendToAnvil(work, view.address, { kind: 'retell', ...page }, { kind: 'retell', anvil: name, epoch, upTo: from + page.cells.length + page.facts.length });
};

/** The page was taken: the next one follows. */
export const tookRetold = (work: Work, name: string, epoch: number, upTo: number, reply: AnvilReply): void => {
  const retold = work.state.anvils[name]?.retold;
  if (reply.kind !== 'retold' || !retold || retold.epoch !== epoch) return;
  change(work, name, { retold: { ...retold, count: upTo, sentAt: -Infinity } });
  retell(work, name, epoch);
};

/**
 * An anvil names only voters that it was told are chosen: one such word is enough. Where the state was founded
 * anew after a loss, those who did so apart may differ, and a majority of places must name the same.
 */
const learnVoters = (work: Work, told: VotersTold | null): void => {
  if (told !== null && (told.value.refounded ?? 0) === (votersOf(work.state)?.value.refounded ?? 0) && votersOf(work.state) !== null) { learnTold(work, told); return; }
  const named = Object.values(work.state.anvils).flatMap((view) => (view.named === null ? [] : [view.named]));
  const majority = majorityOf(Object.keys(work.state.anvils).length);
  for (const each of named) {
    if (named.filter((other) => Ballots.compare(other.ballot, each.ballot) === 0).length >= majority) learnRegister(work, 'voters', each.ballot, each.value);
  }
};

/** Whether a place's disk lives at another address, or may do so unheard of, since this jig has only just begun to hear. */
const movedAway = (state: JigState, disk: string): boolean => state.voting !== null
  && (state.now - state.openedAt < Limits.voterSilence || anvilsHeard(state).some((each) => each.disk === disk && state.now - each.seenAt < Limits.partnerSilence));

/** A fresh disk at an anvil's place asks for it; some jig opens the ballot. */
const seat = (work: Work, anvil: string, disk: string): void => {
  const voters = votersOf(work.state);
  const busy = Object.values(work.state.pursuits).some((pursuit) => pursuit.purpose.kind === 'seat');
  if (voters === null || voters.value.disks[anvil] === disk || busy || movedAway(work.state, voters.value.disks[anvil] ?? '') || chance(work) > 0.2) return;
  pursue(work, 'voters', Changes.seat(voters.value, anvil, disk), { kind: 'seat', anvil, disk });
};

/**
 * Where voters found themselves from seeds: opens the next change of the voters that is due, if any. A place's disk
 * that moved has its address noted; while too few vote, a blank disk gets a place of its own; else it gets
 * that of a machine that is gone. One at a time, and only by a jig with a lease.
 */
export const tendVoters = (work: Work): void => {
  const { state } = work;
  const voters = votersOf(state)?.value;
  if (state.voting === null || voters?.addresses === undefined || state.now >= state.lease) return;
  if (Object.values(state.pursuits).some((pursuit) => pursuit.purpose.kind === 'seat') || chance(work) > 0.2) return;
  const live = anvilsHeard(state).filter((each) => each.id === state.self.id || state.now - each.seenAt < Limits.partnerSilence);
  const places = Object.keys(voters.disks);
  const addresses = voters.addresses;
  const moved = live.find((each) => places.some((place) => voters.disks[place] === each.disk && addresses[place] !== each.address));
  if (moved !== undefined) {
    const place = places.find((each) => voters.disks[each] === moved.disk) ?? '';
    pursue(work, 'voters', Changes.seat(voters, place, moved.disk, moved.address), { kind: 'seat', anvil: place, disk: moved.disk });
    return;
  }
  const hallOf = new Map(live.map((each) => [each.disk, each.hall]));
  const inHall = (hall: string): number => places.filter((place) => hallOf.get(voters.disks[place] ?? '') === hall).length;
  const spares = live.filter((each) => each.fresh && !places.some((place) => voters.disks[place] === each.disk || addresses[place] === each.address));
  // Every jig takes the same one, in the hall where fewest vote, so that they don't outvote each other.
  const [spare] = [...spares].sort((a, b) => inHall(a.hall) - inHall(b.hall) || (a.id < b.id ? -1 : 1));
  if (spare === undefined) return;
  const name = places.includes(spare.address) ? `${spare.address}/${voters.epoch + 1}` : spare.address;
  if (!bearsLosses(state)) {
    pursue(work, 'voters', Changes.seat(voters, name, spare.disk, spare.address), { kind: 'seat', anvil: name, disk: spare.disk });
    return;
  }
  const gone = places.find((place) => isGone(state, place, voters.disks[place] ?? '', addresses[place] ?? ''));
  if (gone !== undefined) pursue(work, 'voters', Changes.replace(voters, gone, name, spare.disk, spare.address), { kind: 'seat', anvil: name, disk: spare.disk, instead: gone });
};

/**
 * Whether neither gossip nor any answer has told of a place's machine for long. Another place's disk that came to
 * its address is no word of it; a blank one is, and gets the place by itself.
 */
const isGone = (state: JigState, place: string, disk: string, address: string): boolean => {
  const heard = nodesOf(state).flatMap(({ record, seenAt }) => (record.anvil !== null && (record.anvil.disk === disk || (record.anvil.address === address && (record.anvil.disk === undefined || record.anvil.fresh === true))) ? [record.id === state.self.id ? state.now : seenAt] : []));
  return state.now - Math.max(state.anvils[place]?.heardAt ?? state.now, ...heard) > Limits.voterSilence;
};

export const tookPull = (work: Work, name: string, sentAt: number, reply: AnvilReply): void => {
  change(work, name, { answered: replicaAnswer(work.state, name, reply) });
  if (counts(work.state, name, reply.disk) || (reply.kind === 'away' && reply.fresh)) change(work, name, { heardAt: work.state.now });
  if (reply.kind === 'stale') {
    change(work, name, { call: null, pulled: null, named: reply.voters });
    learnVoters(work, reply.voters);
    return;
  }
  if (reply.kind === 'settling' && counts(work.state, name, reply.disk)) {
    change(work, name, { call: null, pulled: null });
    retell(work, name, reply.epoch);
    return;
  }
  if (reply.kind !== 'pulled' || !counts(work.state, name, reply.disk)) {
    change(work, name, { call: null, pulled: null });
    if (reply.kind === 'away' && reply.fresh) seat(work, name, reply.disk);
    return;
  }
  const newest = work.state.anvils[name]?.pulled;
  if (newest && newest.sentAt > sentAt) return;
  let { factSeq } = work.state;
  const added = reply.facts.filter((fact) => work.state.factKeys[fact.key] === undefined)
    .map((fact) => { factSeq += 1; return { ...fact, seq: factSeq, at: work.state.now }; });
  if (added.length > 0) {
    set(work, {
      factSeq, facts: [...work.state.facts, ...added],
      factKeys: { ...work.state.factKeys, ...Object.fromEntries(added.map((fact) => [fact.key, true as const])) },
    });
  }
  const pulled = stackPull(work.state, newest ?? null, { sentAt, more: reply.more, ballots: reply.ballots });
  change(work, name, { call: null, cursor: { disk: reply.disk, seq: reply.seq }, pulled });
  watchRegisters(work);
  renewLease(work);
  if (reply.more) set(work, { due: { ...work.state.due, pull: work.state.now } });
};

/** Learns a fetched value if it is known to be chosen; else it is kept until pulls show that it is. */
export const tookFetch = (work: Work, key: Watched, reply: AnvilReply): void => {
  if (reply.kind !== 'fetched' || reply.accepted === null) return;
  const { ballot } = reply.accepted;
  const kept = work.state.candidates[key];
  if (kept !== undefined && Ballots.compare(ballot, kept.ballot) < 0) return;
  set(work, { candidates: { ...work.state.candidates, [key]: reply.accepted } });
  learnCandidate(work, key);
};

export const lostPull = (work: Work, name: string): void => change(work, name, { call: null });
