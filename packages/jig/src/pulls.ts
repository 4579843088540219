import { Beats, Limits, Sizes } from '@reedyard/gauge';
import { Ballots, majorityOf, type Ballot } from '@reedyard/latch';
import { newerVoters, type AnvilReply, type Voters, type VotersTold } from '@reedyard/anvil';
import type { Plan } from '@reedyard/ladle';
import { countAnew, pursue } from './ballots.js';
import { discoverMembers, noteOwnReplica, noteSpare, offerOwnPlace } from './membership.js';
import type { HallsValue } from './terms.js';
import { anvilView, chance, counts, hallsValueOf, log, sendToAnvil, set, votersOf, watched, type AnvilView, type JigState, type Told, type Watched, type Work } from './state.js';

const change = (work: Work, name: string, part: Partial<AnvilView>): void => {
  const view = work.state.anvils[name];
  if (view !== undefined) set(work, { anvils: { ...work.state.anvils, [name]: { ...view, ...part } } });
};

const pull = (work: Work, name: string, view: AnvilView): void => {
  const { now } = work.state;
  const call = { kind: 'pull', cursor: view.cursor, keys: watched } as const;
  const id = sendToAnvil(work, view.address, call, { kind: 'pull', anvil: name, sentAt: now });
  change(work, name, { call: id, askedAt: now, unanswered: view.unanswered + 1 });
};

/** Asks one member for what is new, whether or not an earlier call is under way. */
export const pullNow = (work: Work, name: string): void => {
  const view = work.state.anvils[name];
  if (view !== undefined) pull(work, name, view);
};

/** Asks every anvil for what is new; several times a second. */
export const pullAll = (work: Work): void => {
  for (const [name, view] of Object.entries(work.state.anvils)) {
    if (view.call !== null && work.state.now - view.askedAt < Limits.pull) continue;
    pull(work, name, view);
  }
  discoverMembers(work);
};

/** What a replica tells of itself and of the committed membership, wherever it was asked from. */
export const tookLook = (work: Work, address: string, reply: AnvilReply): void => {
  if (reply.kind === 'stale' && reply.voters !== null) learnTold(work, reply.voters);
  noteSpare(work, address, reply);
  if (address === work.state.self.anvil?.address) noteOwnReplica(work, reply);
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
  // A new member learns from this call that it is one.
  for (const [name, view] of Object.entries(work.state.anvils)) {
    if (view.askedAt === -Infinity) pull(work, name, view);
  }
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
    // Those who don't know them yet learn them now, not with the next regular pull.
    set(work, { due: { ...work.state.due, pull: work.state.now } });
  } else log(work, `${key}.in-force`, { serial: (value as { serial: number }).serial });
  if (key === 'halls') noteReopened(work, hallsValueOf(known?.value), hallsValueOf(value));
  renewLease(work);
};

/**
 * The lease runs from the sending of the oldest of a majority of pulls, and counts a pull only if
 * all it showed is known here: whatever was acknowledged before then is then known too.
 */
export const renewLease = (work: Work): void => {
  const { state } = work;
  const views = Object.values(state.anvils);
  const counted = views.flatMap((view) => {
    const { pulled } = view;
    if (pulled === null || pulled.more) return [];
    const known = watched.every((key) => Ballots.compare(pulled.ballots[key] ?? Ballots.none, state.registers[key]?.ballot ?? Ballots.none) <= 0);
    return known ? [pulled.sentAt] : [];
  }).sort((a, b) => b - a);
  const oldest = counted[majorityOf(views.length) - 1];
  if (oldest === undefined) return;
  const lease = oldest + Limits.lease;
  if (lease <= state.lease) return;
  // Purges stay on the board for a minute; a node that was away half that long trusts no copy.
  const missed = state.lease > 0 && lease - state.lease > Limits.fact / 2;
  if (missed) log(work, 'lease.back', { awayMs: Math.round(lease - state.lease) });
  set(work, { lease, flushes: state.flushes + (missed ? 1 : 0) });
};

/** What the last pulls show of each register: fetch what is chosen, repair what hangs. */
const watchRegisters = (work: Work): void => {
  for (const key of watched) {
    const shown = Object.entries(work.state.anvils).flatMap(([name, view]) => {
      const ballot = view.pulled?.ballots[key];
      return view.pulled === null ? [] : [{ name, ballot: ballot ?? Ballots.none }];
    });
    const known = work.state.registers[key]?.ballot ?? Ballots.none;
    const highest = shown.reduce<Ballot>((best, { ballot }) => (Ballots.compare(ballot, best) > 0 ? ballot : best), Ballots.none);
    const majority = majorityOf(Object.keys(work.state.anvils).length);
    if (Ballots.compare(highest, known) > 0) {
      const holders = shown.filter(({ ballot }) => Ballots.compare(ballot, highest) === 0);
      const busy = Object.values(work.state.pending).some((each) => each.kind === 'fetch' && each.key === key && work.state.now - each.sentAt < Beats.pull);
      const repairing = Object.values(work.state.pursuits).some((pursuit) => pursuit.proposal.key === key);
      if (holders.length >= majority) {
        const chosenHolder = holders[Math.floor(chance(work) * holders.length)];
        const address = chosenHolder === undefined ? undefined : work.state.anvils[chosenHolder.name]?.address;
        if (!busy && address !== undefined) sendToAnvil(work, address, { kind: 'fetch', key }, { kind: 'fetch', key, sentAt: work.state.now });
        continue;
      }
      const seen = work.state.hanging[key];
      if (seen === undefined || Ballots.compare(seen.ballot, highest) !== 0) set(work, { hanging: { ...work.state.hanging, [key]: { ballot: highest, since: work.state.now } } });
      else if (work.state.now - seen.since > Limits.hanging && !repairing && chance(work) < 0.1) pursue(work, key, () => ({ kind: 'keep' }), { kind: 'repair' });
    }
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

export const tookPull = (work: Work, name: string, sentAt: number, reply: AnvilReply): void => {
  const isBlank = reply.kind === 'away' && reply.fresh;
  if (counts(work.state, name, reply.disk) || isBlank) {
    change(work, name, { heardAt: work.state.now, unanswered: 0 });
  }
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
    if (isBlank) offerOwnPlace(work, name, reply.disk);
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
  change(work, name, { call: null, cursor: { disk: reply.disk, seq: reply.seq }, pulled: { sentAt, more: reply.more, ballots: reply.ballots }, leaving: reply.leaving === true });
  watchRegisters(work);
  renewLease(work);
  if (reply.more) set(work, { due: { ...work.state.due, pull: work.state.now } });
};

export const tookFetch = (work: Work, key: Watched, reply: AnvilReply): void => {
  if (reply.kind !== 'fetched' || reply.accepted === null) return;
  const { accepted } = reply;
  const holders = Object.values(work.state.anvils).filter((view) => Ballots.compare(view.pulled?.ballots[key] ?? Ballots.none, accepted.ballot) === 0).length;
  if (holders >= majorityOf(Object.keys(work.state.anvils).length)) learnRegister(work, key, accepted.ballot, accepted.value);
};

export const lostPull = (work: Work, name: string): void => change(work, name, { call: null });
