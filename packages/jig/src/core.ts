import { Map as Table } from 'immutable';
import { Beats, Limits } from '@reedyard/gauge';
import { Ballots, type Ballot } from '@reedyard/latch';
import type { AnvilReply } from '@reedyard/anvil';
import type { Step } from '@reedyard/chute';
import { rateOf } from '@reedyard/ladle';
import { Spindle } from '@reedyard/spindle';
import type { Description, Purge } from '@reedyard/stencil';
import { Changes, post, pursue, tendPostings, tendPursuits, tookPost, tookVote, unreached } from './ballots.js';
import { tendDuty } from './duty.js';
import { barred, boundsOf, computeSplit, delayTo, drainKey, gossip, heartbeat, inDoubt, isJoining, isOld, learn, nodesOf, originKey, originRows, originsOf, partnerRows, pingAll, tookMeasure, tookPing, withdrawnKey } from './network.js';
import { awaitOwnReplica, tendMembership } from './membership.js';
import { lostPull, pullAll, renewLease, tookFetch, tookLook, tookPull, tookRetold } from './pulls.js';
import { anvilView, bearsLosses, closedOf, hallsOf, mayActFor, noteBeat, planOf, policyOf, send, set, without, type JigState, type Work } from './state.js';
import { feedParts, type Action, type Feed, type FeedPart, type FeedTold, type Holding, type JigCall, type JigEffect, type JigEvent, type JigReply, type JigVoting, type LatheCall, type Report, type Revisions, type Self } from './terms.js';

const purgesAfter = (state: JigState, seq: number): Feed['purges'] =>
  state.facts.flatMap((fact) => (fact.seq > seq && fact.key.startsWith('purge/') ? [{ seq: fact.seq, purge: fact.value as Purge }] : []));

/** Whether the division has given this node most of its slices; without services there is nothing to divide. */
const isSeated = (state: JigState): boolean =>
  Object.keys(policyOf(state)?.document.services ?? {}).length === 0 || planOf(state)?.seated.includes(state.self.id) === true;

const feed = (state: JigState, report: Report): Feed => {
  const policy = policyOf(state);
  const plan = planOf(state);
  return {
    leaseMs: mayActFor(state), life: state.life, flushes: state.flushes,
    policy: policy !== null && policy.serial !== report.policySerial ? { serial: policy.serial, document: policy.document } : null,
    policySerial: policy?.serial ?? 0,
    origins: originRows(state), partners: partnerRows(state), emptied: hallsOf(state)?.emptied ?? [], split: state.split,
    slices: Object.fromEntries(Object.entries(boundsOf(state)).map(([name, bound]) => [name, rateOf(plan?.slices[name] ?? {}, state.self.id, bound)])),
    seated: isSeated(state),
    purges: purgesAfter(state, report.life === state.life ? report.purgeSeq : 0), purgeSeq: state.factSeq,
  };
};

/** The feed without the parts that the lathe holds as they are; a part that changed gets a new revision. */
const feedFor = (work: Work, report: Report, held: Holding | null): FeedTold => {
  const whole = feed(work.state, report);
  const before = work.state.fedParts;
  const now = Object.fromEntries(feedParts.map((part) => {
    const [value, known] = [whole[part], before[part]];
    if (known !== undefined && known.value === value) return [part, known];
    const text = JSON.stringify(value);
    return [part, known !== undefined && known.text === text ? { ...known, value } : { revision: (known?.revision ?? 0) + 1, value, text }];
  })) as Required<JigState['fedParts']>;
  set(work, { fedParts: now });
  const fresh = (part: FeedPart): boolean => held?.life !== work.state.life || held.revisions[part] !== now[part].revision;
  const kept = Object.fromEntries(Object.entries(whole).filter(([name]) => now[name as FeedPart] === undefined || fresh(name as FeedPart))) as Omit<FeedTold, 'revisions'>;
  return { ...kept, revisions: Object.fromEntries(feedParts.map((part) => [part, now[part].revision])) as Revisions };
};

const fed = (work: Work, id: number, body: LatheCall): void => {
  const { state } = work;
  switch (body.kind) {
    case 'feed': {
      const first = state.report === null || state.report.report.latheLife !== body.report.latheLife || state.report.report.stopping !== body.report.stopping;
      set(work, { report: { report: body.report, at: state.now } });
      if (first) heartbeat(work);
      if (body.report.measure !== null) tookMeasure(work, body.report.measure);
      work.effects.push({ kind: 'tell', id, body: feedFor(work, body.report, body.held) });
      return;
    }
    case 'claim':
      if (!bearsLosses(work.state)) { work.effects.push({ kind: 'tell', id, body: { kind: 'unreached' } }); return; }
      pursue(work, `claim/${body.key}`, Changes.claim(body.token, state.self.id, body.life, body.digest), { kind: 'claim', id }); return;
    case 'settle': pursue(work, `claim/${body.key}`, Changes.settle(body.token, body.state), { kind: 'settle', id }); return;
  }
};

const asked = (work: Work, id: number, body: JigCall): void => {
  const tell = (reply: JigReply): void => { work.effects.push({ kind: 'tell', id, body: reply }); };
  switch (body.kind) {
    case 'ping': tell({ kind: 'ok' }); return;
    case 'push': learn(work, body.tellings); tell({ kind: 'ok' }); return;
    case 'exchange': {
      const { from, digest, sample } = body.exchange;
      const mine = Spindle.sample(work.state.spindle.view, { id: work.state.self.id, address: work.state.self.address }, (work.state.now % 97) / 97);
      const compared = Spindle.compare(work.state.spindle, digest);
      set(work, { spindle: { ...work.state.spindle, view: Spindle.shuffle(work.state.spindle.view, work.state.self.id, [...sample, { ...from, age: 0 }], mine) } });
      tell({ kind: 'exchanged', exchanged: { ...compared, sample: mine } });
      return;
    }
  }
};

/** Whether all of a description but its number was told already, lately enough. */
const isTold = (state: JigState, key: string, told: Description): boolean => {
  const held = state.spindle.records[key];
  if (held === undefined || held.forgotten || state.now - held.seenAt >= Beats.originTold || inDoubt(state, told.hall, held.seenAt)) return false;
  const known = held.value as Description;
  return [...new Set([...Object.keys(told), ...Object.keys(known)] as (keyof Description)[])].every((field) => field === 'sequence' || told[field] === known[field]);
};
/** Told while fewer disks vote than are needed to bear the losses that must be borne. */
const tooFew = {
  status: 503, retryAfter: Limits.retryAfterSeconds,
  body: { type: 'about:blank', title: 'Too few voters', status: 503, detail: 'Too few machines with a disk vote as yet; nothing was changed. Repeat it.' },
} as const;

const describe = (work: Work, id: number, description: Description): void => {
  const key = originKey(description);
  const known = Spindle.get(work.state.spindle, key) as Description | null | undefined ?? null;
  if (known !== null && known.incarnation > description.incarnation) {
    work.effects.push({ kind: 'answer', id, status: 409, body: { type: 'about:blank', title: 'Older incarnation', status: 409, detail: `incarnation ${known.incarnation} of this instance has already described itself` } });
    return;
  }
  const late = known !== null && isOld(work.state, description);
  const draining = (late ? false : description.draining) || (known !== null && known.incarnation === description.incarnation && known.draining);
  const told: Description = late ? known : { ...description, draining };
  if (!late) {
    set(work, { spindle: isTold(work.state, key, told) ? Spindle.note(work.state.spindle, key, told) : Spindle.tell(work.state.spindle, key, told, work.state.now, told.sequence) });
  }
  const why = barred(work.state, told);
  const done = { recorded: true, admitted: why === null, ...(why === null ? {} : { reason: why }) };
  if (draining && !bearsLosses(work.state)) work.effects.push({ kind: 'answer', id, ...tooFew });
  else if (draining) postOnce(work, drainKey(told), true, id, done);
  else work.effects.push({ kind: 'answer', id, status: 200, body: done });
};

/** Posts a fact, unless a majority of disks is known to hold it. */
const postOnce = (work: Work, key: string, value: unknown, id: number, done: unknown): void => {
  if (work.state.posted[key] === true) work.effects.push({ kind: 'answer', id, status: 200, body: done });
  else post(work, [{ key, value }], id, done);
};

const status = (state: JigState): unknown => ({
  node: state.self.id, hall: state.self.hall, region: state.self.region,
  leaseMs: Math.max(0, Math.round(state.lease - state.now)),
  policySerial: policyOf(state)?.serial ?? 0,
  emptiedHalls: hallsOf(state)?.emptied ?? [], closedOrigins: closedOf(state),
  anvils: Object.entries(state.anvils).map(([name, view]) => ({ name, address: view.address, answered: view.pulled !== null && state.now - view.pulled.sentAt < Limits.lease })),
  duty: planOf(state) === null ? null : { holder: planOf(state)?.holder, term: planOf(state)?.term },
  origins: originsOf(state).map(({ description, barred: why }) => ({ ...description, admitted: why === null, ...(why === null ? {} : { reason: why }) })),
  lathe: state.report === null ? null : state.report.report.counters,
  notices: state.notices, splits: state.splits, split: state.split,
});

/** Why no callers should come to this node, or null if they may. */
const notReady = (state: JigState): string | null => {
  const policy = policyOf(state);
  if (state.self.lathe === null) return 'this machine has no lathe';
  if (mayActFor(state) <= 0) return 'it is cut off from the control state';
  if (policy === null) return 'no policy is known';
  if (state.report === null || state.now - state.report.at >= Limits.lease) return 'its lathe does not ask for news';
  if (state.report.report.stopping) return 'its lathe is leaving';
  if (hallsOf(state)?.emptied.includes(state.self.hall) === true) return 'its hall is emptied';
  return isSeated(state) ? null : 'the division has not given it its slices yet';
};


const operator = (work: Work, id: number, action: Action): void => {
  const { state } = work;
  const answer = (code: number, body: unknown, retryAfter?: number): void => {
    work.effects.push({ kind: 'answer', id, status: code, body, ...(retryAfter === undefined ? {} : { retryAfter }) });
  };
  if ((action.kind === 'put-policy' || action.kind === 'hall' || action.kind === 'purge' || action.kind === 'withdraw') && !bearsLosses(state)) { answer(tooFew.status, tooFew.body, tooFew.retryAfter); return; }
  switch (action.kind) {
    case 'put-policy': pursue(work, 'policy', Changes.policy(action.document, action.ifMatch, action.changeId), { kind: 'put-policy', id, changeId: action.changeId }); return;
    case 'get-policy': pursue(work, 'policy', () => ({ kind: 'keep' }), { kind: 'get-policy', id }); return;
    case 'hall': pursue(work, 'halls', Changes.halls(action.hall, action.order, action.of, action.changeId), { kind: 'hall', id, changeId: action.changeId }); return;
    case 'purge': post(work, [{ key: `purge/${action.changeId}`, value: action.purge }], id, { changeId: action.changeId }); return;
    case 'withdraw': postOnce(work, withdrawnKey(action.instance), true, id, { withdrawn: action.instance }); return;
    case 'describe': describe(work, id, action.description); return;
    case 'status': answer(200, status(state)); return;
    case 'shares': {
      if (state.now >= state.lease) { const gone = unreached('The read'); answer(gone.status, gone.body, gone.retryAfter); return; }
      const plan = planOf(state);
      answer(200, { holder: plan?.holder ?? null, term: plan?.term ?? 0, beat: plan?.beat ?? 0, services: Object.fromEntries(Object.entries(boundsOf(state)).map(([name, bound]) => {
        const slices = plan?.slices[name] ?? {};
        return [name, { ceiling: policyOf(state)?.document.services[name]?.ceiling ?? null, bound, slices: Object.fromEntries(Object.keys(slices).map((edge) => [edge, rateOf(slices, edge, bound)])) }];
      })) });
      return;
    }
    case 'partners': answer(200, { node: state.self.id, view: state.spindle.view.map((each) => each.id), partners: nodesOf(state).map(({ record, seenAt }) => ({
      ...record, self: record.id === state.self.id, silentMs: Math.round(state.now - seenAt), delaySeconds: delayTo(state, record.id) })) }); return;
    case 'ready': {
      const why = notReady(state);
      if (why === null) answer(200, { ready: true });
      else answer(503, { type: 'about:blank', title: 'Not ready', status: 503, detail: why, ready: false }, Limits.retryAfterSeconds);
      return;
    }
    case 'live': answer(200, { live: true }); return;
  }
};

const returned = (work: Work, id: number, body: AnvilReply | JigReply): void => {
  const pending = work.state.pending[id];
  if (pending === undefined) return;
  set(work, { pending: without(work.state.pending, id) });
  switch (pending.kind) {
    case 'pull': tookPull(work, pending.anvil, pending.sentAt, body as AnvilReply); return;
    case 'look': tookLook(work, pending.address, body as AnvilReply); return;
    case 'fetch': tookFetch(work, pending.key, body as AnvilReply); return;
    case 'vote': tookVote(work, pending.pursuit, pending.anvil, pending.phase, pending.ballot, body as AnvilReply); return;
    case 'post': tookPost(work, pending.posting, pending.anvil, body as AnvilReply); return;
    case 'ping': tookPing(work, pending.edge, (work.state.now - pending.sentAt) / 1_000); return;
    case 'push': return;
    case 'retell': tookRetold(work, pending.anvil, pending.epoch, pending.upTo, body as AnvilReply); return;
    case 'exchange': {
      const reply = body as JigReply;
      if (reply.kind !== 'exchanged') return;
      learn(work, reply.exchanged.newer);
      set(work, { spindle: { ...work.state.spindle, view: Spindle.shuffle(work.state.spindle.view, work.state.self.id, reply.exchanged.sample, []) } });
      const wanted = Spindle.pick(work.state.spindle, reply.exchanged.wants);
      if (Object.keys(wanted).length > 0) send(work, pending.to, { kind: 'push', tellings: wanted }, { kind: 'push' });
      return;
    }
  }
};

const lost = (work: Work, id: number): void => {
  const pending = work.state.pending[id];
  if (pending === undefined) return;
  set(work, { pending: without(work.state.pending, id) });
  if (pending.kind === 'pull') lostPull(work, pending.anvil);
  if (pending.kind === 'exchange' && pending.partner !== null) {
    set(work, { spindle: { ...work.state.spindle, view: work.state.spindle.view.filter((each) => each.id !== pending.partner) } });
  }
};

const sweep = (work: Work): void => {
  const { state } = work;
  const swept = Spindle.sweep(state.spindle, state.now);
  const spanOver = state.now - state.claimsFrom > Limits.claimSpan;
  const facts = state.facts.filter((fact) => state.now - fact.at <= Limits.fact);
  set(work, {
    spindle: swept.state, facts,
    ...(spanOver ? { claims: [Table<string, never>(), ...state.claims.slice(0, -1)], claimsFrom: state.now } : {}),
    factKeys: facts.length === state.facts.length ? state.factKeys : Object.fromEntries(facts.map((fact) => [fact.key, true as const])),
    posted: facts.length === state.facts.length ? state.posted : Object.fromEntries(facts.flatMap((fact) => (state.posted[fact.key] === true ? [[fact.key, true as const]] : []))),
  });
};

const beat = (work: Work): void => {
  const { now } = work.state;
  const due = (name: keyof JigState['due'], every: number, act: () => void): void => {
    if (now < work.state.due[name]) return;
    set(work, { due: { ...work.state.due, [name]: now + every } });
    act();
  };
  noteBeat(work);
  tendPursuits(work);
  tendPostings(work);
  const { lease, openedAt } = work.state;
  const eager = now >= lease && now - Math.max(lease, openedAt) < Limits.eager;
  due('pull', eager ? Beats.lapsed : Beats.pull, () => { pullAll(work); if (work.state.self.anvil === null) tendMembership(work); });
  awaitOwnReplica(work);
  if (work.state.self.anvil !== null) tendMembership(work);
  due('heartbeat', Beats.heartbeat, () => heartbeat(work));
  due('gossip', isJoining(work.state) ? Beats.lapsed : Beats.gossip, () => gossip(work));
  due('ping', Beats.pingDraw, () => pingAll(work));
  due('sweep', Beats.heartbeat, () => sweep(work));
  due('division', Beats.division, () => tendDuty(work));
  computeSplit(work);
  renewLease(work);
};

export const Jig = {
  /**
   * A jig that knows only itself, its seeds and the founding anvils.
   *
   * @example
   * Jig.open({ self, life: 'l1', seeds: [], founders: { 'core-1': '127.0.0.1:7101' }, seed: 1, now: 0 })
   */
  open: (parts: {
    readonly self: Self; readonly life: string; readonly seeds: readonly string[];
    readonly founders: Readonly<Record<string, string>>; readonly seed: number; readonly now: number;
    /** Where voters found themselves from seeds; `founders` is then not looked at. */
    readonly voting?: JigVoting | null;
  }): JigState => ({
    self: parts.self, life: parts.life, seeds: parts.seeds, seed: parts.seed, now: parts.now, nextId: 1, pending: {},
    voting: parts.voting ?? null, openedAt: parts.now, ownAnvil: null, spares: {},
    anvils: parts.voting ? {} : Object.fromEntries(Object.entries(parts.founders).map(([name, address]) => [name, anvilView(address, parts.now)])),
    registers: {}, highestBallot: Ballots.none as Ballot, hanging: {}, lease: 0, beatAt: parts.now, lateAt: parts.now, flushes: 0, facts: [], factKeys: {}, factSeq: 0, posted: {}, reopened: {}, claims: [Table(), Table(), Table()], claimsFrom: parts.now, pursuits: {}, postings: {},
    spindle: Spindle.empty, delays: {}, report: null, fedParts: {}, sent: null, sentAt: 0, notices: 0, split: {}, splitAt: 0, splitStale: true, splitOver: '', splits: 0,
    planSeen: { term: 0, beat: 0, at: parts.now }, duty: null, due: { pull: 0, gossip: 0, heartbeat: 0, division: 0, ping: 0, sweep: 0 },
  }),

  /** @example Jig.reduce(state, { kind: 'beat', now: 50 }).effects */
  reduce: (state: JigState, event: JigEvent): Step<JigState, JigEffect> => {
    const work: Work = { state: { ...state, now: Math.max(state.now, event.now) }, effects: [] };
    switch (event.kind) {
      case 'beat': beat(work); break;
      case 'asked': asked(work, event.id, event.body); break;
      case 'fed': fed(work, event.id, event.body); break;
      case 'operator': operator(work, event.id, event.action); break;
      case 'returned': returned(work, event.id, event.body); break;
      case 'lost': lost(work, event.id); break;
    }
    return { state: work.state, effects: work.effects };
  },
} as const;
