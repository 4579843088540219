import { Limits, Sizes } from '@reedyard/gauge';
import { Ballots, majorityOf, Proposer, type Ballot, type Change, type Turn } from '@reedyard/latch';
import type { AnvilReply, Fact, Voters } from '@reedyard/anvil';
import type { Plan } from '@reedyard/ladle';
import type { HallOrder } from '@reedyard/stencil';
import { chance, counts, hallsValueOf, log, sendToAnvil, set, takeId, watched, without, type Purpose, type Pursuit, type Watched, type Work } from './state.js';
import { Spindle } from '@reedyard/spindle';
import type { ClaimState, ClaimValue, HallsValue, NodeRecord, PolicyValue } from './terms.js';
import { learnRegister } from './pulls.js';

const isWatched = (key: string): key is Watched => (watched as readonly string[]).includes(key);

const play = (work: Work, which: number, pursuit: Pursuit, turn: Turn): void => {
  set(work, { pursuits: { ...work.state.pursuits, [which]: { ...pursuit, proposal: turn.proposal } } });
  const { key } = turn.proposal;
  for (const move of turn.moves) {
    if (move.kind === 'prepare' || move.kind === 'accept') {
      const anvil = work.state.anvils[move.to];
      if (anvil === undefined) continue;
      sendToAnvil(work, anvil.address,
        move.kind === 'prepare' ? { kind: 'prepare', key, ballot: move.ballot } : { kind: 'accept', key, ballot: move.ballot, value: move.value, disk: move.disk },
        { kind: 'vote', pursuit: which, anvil: move.to, phase: move.kind, ballot: move.ballot });
    } else if (move.kind === 'outvoted') {
      again(work, which);
    } else {
      set(work, { pursuits: without(work.state.pursuits, which) });
      if (move.kind === 'chosen') {
        if (isWatched(key) && move.ballot !== null) learnRegister(work, key, move.ballot, move.value);
        else if (move.ballot !== null) set(work, { claims: work.state.claims.map((span, index) => (index === 0 ? span.set(key, { ballot: move.ballot as Ballot, value: move.value }) : span)) });
        finish(work, pursuit.purpose, { kind: 'chosen', value: move.value });
      } else finish(work, pursuit.purpose, { kind: 'refused', reason: move.reason, value: move.value });
    }
  }
};

/** Opens a proposal again a little later, at random, so that two proposers do not outvote each other for ever. */
const again = (work: Work, which: number): void => {
  const pursuit = work.state.pursuits[which];
  if (pursuit === undefined) return;
  const wait = 10 + 120 * chance(work);
  set(work, { pursuits: { ...work.state.pursuits, [which]: { ...pursuit, again: work.state.now + wait } } });
};

/** Opens a proposal; what becomes of it is told by its purpose. */
export const pursue = (work: Work, key: string, change: Change, purpose: Purpose): void => {
  const which = takeId(work);
  const turn = Proposer.open(key, change, Object.keys(work.state.anvils), work.state.highestBallot, work.state.self.id);
  play(work, which, { proposal: turn.proposal, purpose, openedAt: work.state.now, phaseAt: work.state.now, again: null }, turn);
};

export const tookVote = (work: Work, which: number, anvil: string, phase: 'prepare' | 'accept', ballot: Ballot, reply: AnvilReply): void => {
  const pursuit = work.state.pursuits[which];
  // There is no room for another key: told at once, not after its whole limit.
  if (pursuit !== undefined && reply.kind === 'full') { set(work, { pursuits: without(work.state.pursuits, which) }); finish(work, pursuit.purpose, { kind: 'unknown' }); return; }
  if (pursuit === undefined || reply.kind !== 'vote' || !counts(work.state, anvil, reply.disk)) return;
  if (reply.vote.kind === 'no' && Ballots.compare(reply.vote.promised, work.state.highestBallot) > 0) set(work, { highestBallot: reply.vote.promised });
  const before = pursuit.proposal.phase;
  const turn = Proposer.voted(pursuit.proposal, anvil, reply.disk, phase, ballot, reply.vote);
  play(work, which, turn.proposal.phase === before ? pursuit : { ...pursuit, phaseAt: work.state.now }, turn);
};

/** ms that one phase of a ballot may take before it is tried again. */
const phaseLimit = (pursuit: Pursuit, now: number): number => {
  const inHaste = pursuit.purpose.kind === 'seat' && now - pursuit.openedAt < Limits.membershipHaste;
  return inHaste ? Limits.membershipPhase : Limits.ballotPhase;
};

/** Looks after proposals that wait, hang or have taken too long. */
export const tendPursuits = (work: Work): void => {
  const { now } = work.state;
  for (const [name, pursuit] of Object.entries(work.state.pursuits)) {
    const which = Number(name);
    if (now - pursuit.openedAt > Limits.proposal) {
      set(work, { pursuits: without(work.state.pursuits, which) });
      finish(work, pursuit.purpose, { kind: 'unknown' });
    } else if (pursuit.again !== null ? now >= pursuit.again : now - pursuit.phaseAt > phaseLimit(pursuit, now)) {
      const { key, change } = pursuit.proposal;
      const above = Ballots.compare(work.state.highestBallot, pursuit.proposal.highest) > 0 ? work.state.highestBallot : pursuit.proposal.highest;
      const turn = Proposer.open(key, change, Object.keys(work.state.anvils), above, work.state.self.id);
      play(work, which, { ...pursuit, phaseAt: now, again: null }, turn);
    }
  }
};

type End = { readonly kind: 'chosen'; readonly value: unknown } | { readonly kind: 'refused'; readonly reason: string; readonly value: unknown } | { readonly kind: 'unknown' };

export const unreached = (what: string): { readonly status: number; readonly body: unknown; readonly retryAfter: number } => ({
  status: 503, retryAfter: Limits.retryAfterSeconds,
  body: { type: 'about:blank', title: 'No majority reached', status: 503, detail: `${what} was not acknowledged; it may yet take effect. Repeat it with the same change id.` },
});

const finish = (work: Work, purpose: Purpose, end: End): void => {
  switch (purpose.kind) {
    case 'put-policy': {
      if (end.kind === 'unknown') { work.effects.push({ kind: 'answer', id: purpose.id, ...unreached('The policy') }); return; }
      const value = end.value as PolicyValue | null;
      if (end.kind === 'refused') {
        work.effects.push({ kind: 'answer', id: purpose.id, status: 412, body: { type: 'about:blank', title: 'Stale serial', status: 412, detail: end.reason, serial: value?.serial ?? 0 } });
        return;
      }
      const serial = value?.changes.find((change) => change.id === purpose.changeId)?.serial ?? value?.serial ?? 0;
      log(work, 'policy.acknowledged', { serial, change: purpose.changeId });
      work.effects.push({ kind: 'answer', id: purpose.id, status: 200, body: { serial, changeId: purpose.changeId } });
      return;
    }
    case 'get-policy': {
      if (end.kind !== 'chosen') { work.effects.push({ kind: 'answer', id: purpose.id, ...unreached('The read') }); return; }
      const value = end.value as PolicyValue | null;
      work.effects.push({ kind: 'answer', id: purpose.id, status: 200, body: { serial: value?.serial ?? 0, policy: value?.document ?? { services: {}, routes: [] } } });
      return;
    }
    case 'hall': {
      if (end.kind !== 'chosen') { work.effects.push({ kind: 'answer', id: purpose.id, ...unreached('The order') }); return; }
      const value = hallsValueOf(end.value);
      log(work, 'halls.acknowledged', { serial: value.serial, emptied: value.emptied.join(','), closedOrigins: value.closedOrigins.join(',') });
      work.effects.push({ kind: 'answer', id: purpose.id, status: 200, body: { serial: value.changes.find((change) => change.id === purpose.changeId)?.serial ?? value.serial, emptied: value.emptied, closedOrigins: value.closedOrigins } });
      return;
    }
    case 'plan': {
      const { state } = work;
      const own = end.kind === 'chosen' ? (end.value as Plan) : null;
      if (own === null || own.holder !== state.self.id || own.term !== purpose.goal.term || own.beat !== purpose.goal.beat) {
        if (state.duty !== null) log(work, 'duty.lost', { term: purpose.goal.term, how: end.kind });
        set(work, { duty: null });
        return;
      }
      if (state.duty === null || state.duty.term !== own.term) {
        log(work, 'duty.won', { term: own.term });
        set(work, { duty: { term: own.term, held: [] } });
      } else {
        // Chosen now: from here on its forerunners last one lease more, no longer.
        const last = state.now + Limits.regrant;
        set(work, { duty: { ...state.duty, held: state.duty.held.map((each) => ({ ...each, until: Math.min(each.until, last) })) } });
      }
      return;
    }
    case 'claim':
      work.effects.push({ kind: 'tell', id: purpose.id, body: end.kind === 'chosen' ? { kind: 'granted' }
        : end.kind === 'refused' ? end.reason === 'other' ? { kind: 'other' } : { kind: 'taken', state: claimState(work, end.value as ClaimValue) } : { kind: 'unreached' } });
      return;
    case 'settle':
      work.effects.push({ kind: 'tell', id: purpose.id, body: end.kind === 'unknown' ? { kind: 'unreached' } : { kind: 'granted' } });
      return;
    case 'repair': return;
    case 'seat':
      if (end.kind === 'chosen') log(work, purpose.instead === undefined ? 'voters.seated' : 'voters.replaced', { anvil: purpose.anvil, disk: purpose.disk, ...(purpose.instead === undefined ? {} : { instead: purpose.instead }) });
      return;
  }
};

/** A claim that is pending in a life that is over has no known outcome any more. */
const claimState = (work: Work, claim: ClaimValue): ClaimState => {
  if (claim.state !== 'pending') return claim.state;
  const record = Spindle.get(work.state.spindle, `node/${claim.node}`) as NodeRecord | undefined | null;
  return record && record.latheLife === claim.life ? 'pending' : 'unknown';
};

const remember = (changes: PolicyValue['changes'], id: string, serial: number): PolicyValue['changes'] => [...changes, { id, serial }].slice(-Sizes.recentChanges);

/** Predecessors of the members, but for one whose disk is now another; left out where there are none. */
const predecessorsWithout = (voters: Voters, member: string | undefined): Pick<Voters, 'predecessors'> => {
  if (voters.predecessors === undefined) return {};
  return { predecessors: member === undefined ? voters.predecessors : without(voters.predecessors, member) };
};

/** The changes that are made to registers. Each knows its own earlier work by an id in the value. */
export const Changes = {
  policy: (document: PolicyValue['document'], ifMatch: number | null, changeId: string): Change => (current) => {
    const old = current as PolicyValue | null;
    if (old?.changes.some((change) => change.id === changeId) === true) return { kind: 'keep' };
    const serial = old?.serial ?? 0;
    if (ifMatch !== null && ifMatch !== serial) return { kind: 'refuse', reason: `the policy in force has serial ${serial}, not ${ifMatch}` };
    // Compared here, with what the ballot finds, so that of two operators at once the higher version stays.
    const held = old?.document.version;
    if (document.version !== undefined && held !== undefined && document.version <= held) return { kind: 'keep' };
    return { kind: 'write', value: { serial: serial + 1, document, changes: remember(old?.changes ?? [], changeId, serial + 1) } satisfies PolicyValue };
  },
  halls: (hall: string, order: HallOrder['order'], of: HallOrder['of'], changeId: string): Change => (current) => {
    const old = hallsValueOf(current);
    if (old.changes.some((change) => change.id === changeId)) return { kind: 'keep' };
    const serial = old.serial + 1;
    const but = (halls: readonly string[]): readonly string[] => halls.filter((each) => each !== hall);
    const emptied = of === 'origins' ? old.emptied : order === 'empty' ? [...but(old.emptied), hall] : but(old.emptied);
    // While a hall is emptied as a whole, its origins can't be taken back by themselves.
    const wasClosed = old.closedOrigins.includes(hall);
    const closed = order === 'empty' || emptied.includes(hall);
    return {
      kind: 'write',
      value: {
        serial, emptied, closedOrigins: closed ? [...but(old.closedOrigins), hall] : but(old.closedOrigins),
        reopened: wasClosed && !closed ? { ...old.reopened, [hall]: serial } : old.reopened, changes: remember(old.changes, changeId, serial),
      } satisfies HallsValue,
    };
  },
  claim: (token: string, node: string, life: string, digest: string): Change => (current) => {
    const old = current as ClaimValue | null;
    if (old !== null && old.digest !== digest) return { kind: 'refuse', reason: 'other' };
    if (old === null || (old.state === 'not-run' && old.token !== token)) return { kind: 'write', value: { token, state: 'pending', node, life, digest } satisfies ClaimValue };
    return old.token === token && old.state === 'pending' ? { kind: 'keep' } : { kind: 'refuse', reason: old.state };
  },
  settle: (token: string, state: ClaimState): Change => (current) => {
    const old = current as ClaimValue | null;
    return old === null || old.token !== token || old.state === state ? { kind: 'keep' } : { kind: 'write', value: { ...old, state } satisfies ClaimValue };
  },
  /** A holder's next division: fenced by the term. */
  plan: (goal: Plan): Change => (current) => {
    const old = current as Plan | null;
    if (old !== null && old.term === goal.term && old.holder === goal.holder && old.beat === goal.beat) return { kind: 'keep' };
    return old !== null && old.term === goal.term && old.holder === goal.holder && old.beat < goal.beat ? { kind: 'write', value: goal } : { kind: 'refuse', reason: 'fenced' };
  },
  /** A vacant duty: taken only if nothing moved since it was found vacant. */
  takeDuty: (seen: Plan | null, goal: Plan): Change => (current) => {
    const old = current as Plan | null;
    if (old !== null && old.term === goal.term && old.holder === goal.holder) return { kind: 'keep' };
    if ((old?.term ?? 0) !== (seen?.term ?? 0) || (old?.beat ?? 0) !== (seen?.beat ?? 0)) return { kind: 'refuse', reason: 'not vacant' };
    return { kind: 'write', value: { ...goal, slices: old?.slices ?? {}, seated: old?.seated ?? [] } };
  },
  /** Gives an anvil's place to another disk: one at a time, and only by the voters just before. */
  seat: (known: Voters, anvil: string, disk: string, address?: string): Change => (current) => {
    const old = current as Voters | null;
    if (old === null || (old.disks[anvil] === disk && (address === undefined || old.addresses?.[anvil] === address))) return { kind: 'keep' };
    if (old.epoch !== known.epoch) return { kind: 'refuse', reason: 'the voters have changed' };
    return { kind: 'write', value: { ...old, epoch: old.epoch + 1, disks: { ...old.disks, [anvil]: disk }, ...(address === undefined ? {} : { addresses: { ...old.addresses, [anvil]: address } }), ...predecessorsWithout(old, old.disks[anvil] === disk ? undefined : anvil) } satisfies Voters };
  },
  /** Gives a place up, and another, of a disk without one, in its stead. */
  replace: (known: Voters, gone: string, anvil: string, disk: string, address: string): Change => (current) => {
    const old = current as Voters | null;
    if (old === null || old.disks[anvil] === disk) return { kind: 'keep' };
    if (old.epoch !== known.epoch || old.disks[gone] === undefined) return { kind: 'refuse', reason: 'the voters have changed' };
    return { kind: 'write', value: { ...old, epoch: old.epoch + 1, disks: { ...without(old.disks, gone), [anvil]: disk }, addresses: { ...without(old.addresses ?? {}, gone), [anvil]: address }, predecessors: { ...without(old.predecessors ?? {}, gone), [anvil]: { disk: old.disks[gone], address: old.addresses?.[gone] ?? '' } } } satisfies Voters };
  },
} as const;

/** Under new voters nothing counts that was counted by the old ones: all that is under way begins again. */
export const countAnew = (work: Work): void => {
  const { state } = work;
  set(work, {
    pursuits: Object.fromEntries(Object.entries(state.pursuits).map(([which, pursuit]) => [which, { ...pursuit, again: state.now, proposal: { ...pursuit.proposal, phase: 'done' as const } }])),
    postings: Object.fromEntries(Object.entries(state.postings).map(([which, posting]) => [which, { ...posting, acks: [], sentAt: -Infinity }])),
    anvils: Object.fromEntries(Object.entries(state.anvils).map(([name, view]) => [name, { ...view, pulled: null }])),
  });
};

/** Puts facts on the board; the waiting side is answered once a majority has them on disk. */
export const post = (work: Work, facts: readonly Fact[], id: number, done: unknown): void => {
  const which = takeId(work);
  set(work, { postings: { ...work.state.postings, [which]: { facts, acks: [], id, openedAt: work.state.now, sentAt: -Infinity, done } } });
  tendPostings(work);
};

export const tookPost = (work: Work, which: number, anvil: string, reply: AnvilReply): void => {
  const posting = work.state.postings[which];
  if (posting === undefined || reply.kind !== 'posted' || posting.acks.includes(anvil) || !counts(work.state, anvil, reply.disk)) return;
  const acks = [...posting.acks, anvil];
  if (acks.length < majorityOf(Object.keys(work.state.anvils).length)) {
    set(work, { postings: { ...work.state.postings, [which]: { ...posting, acks } } });
    return;
  }
  set(work, { postings: without(work.state.postings, which), posted: { ...work.state.posted, ...Object.fromEntries(posting.facts.map((fact) => [fact.key, true as const])) } });
  work.effects.push({ kind: 'answer', id: posting.id, status: 200, body: posting.done });
};

export const tendPostings = (work: Work): void => {
  const { now } = work.state;
  for (const [name, posting] of Object.entries(work.state.postings)) {
    const which = Number(name);
    if (now - posting.openedAt > Limits.proposal) {
      set(work, { postings: without(work.state.postings, which) });
      work.effects.push({ kind: 'answer', id: posting.id, ...unreached('The order') });
    } else if (now - posting.sentAt > Limits.ballotPhase) {
      set(work, { postings: { ...work.state.postings, [which]: { ...posting, sentAt: now } } });
      for (const [anvil, view] of Object.entries(work.state.anvils)) {
        if (!posting.acks.includes(anvil)) sendToAnvil(work, view.address, { kind: 'post', facts: posting.facts }, { kind: 'post', posting: which, anvil });
      }
    }
  }
};
