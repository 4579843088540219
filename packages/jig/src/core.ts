/** The agent's reducer: takes each event to the module that it is about. */
import { Map as Table } from 'immutable';
import { Beats } from '@reedyard/gauge';
import { Ballots, type Ballot } from '@reedyard/latch';
import type { AnvilReply } from '@reedyard/anvil';
import type { Step } from '@reedyard/chute';
import { Spindle } from '@reedyard/spindle';
import { dropCaller, tendPursuits, tookVote } from './ballots.js';
import { noteSerials } from './change-ids.js';
import { tendDuty } from './duty.js';
import { fed } from './feed.js';
import { awaitOwnReplica, tendMembership } from './membership.js';
import { computeSplit, gossip, heartbeat, isJoining, learn, pingAll, tookPing } from './network.js';
import { operator } from './operators.js';
import { tendPostings, tookPost } from './postings.js';
import { pullInterval, renewLease } from './lease.js';
import {
  lostPull,
  pullAll,
  pullOverdue,
  tookFetch,
  tookLook,
  tookPull,
  tookRetold,
} from './pulls.js';
import { noteAnswer, noteLeaseLost } from './reachability.js';
import { anvilView, noteBeat, send, set, without, type JigState, type Work } from './state.js';
import { sweep } from './sweep.js';
import type { JigCall, JigEffect, JigEvent, JigReply, JigVoting, Self } from './terms.js';

type ExchangeCall = Extract<JigCall, { kind: 'exchange' }>;

const tookExchange = (work: Work, { exchange }: ExchangeCall): JigReply => {
  const { from, digest, sample } = exchange;
  const { self, spindle, now } = work.state;
  const mine = Spindle.sample(
    spindle.view,
    { id: self.id, address: self.address },
    (now % 97) / 97,
  );
  const compared = Spindle.compare(spindle, digest);
  const view = Spindle.shuffle(spindle.view, self.id, [...sample, { ...from, age: 0 }], mine);
  set(work, { spindle: { ...spindle, view } });
  return { kind: 'exchanged', exchanged: { ...compared, sample: mine } };
};

const asked = (work: Work, id: number, body: JigCall): void => {
  const tell = (reply: JigReply): void => {
    work.effects.push({ kind: 'tell', id, body: reply });
  };
  switch (body.kind) {
    case 'ping':
      tell({ kind: 'ok' });
      return;
    case 'push':
      learn(work, body.tellings);
      tell({ kind: 'ok' });
      return;
    case 'exchange':
      tell(tookExchange(work, body));
      return;
  }
};

const tookExchanged = (work: Work, to: string, reply: JigReply): void => {
  if (reply.kind !== 'exchanged') return;
  learn(work, reply.exchanged.newer);
  const { self, spindle } = work.state;
  const view = Spindle.shuffle(spindle.view, self.id, reply.exchanged.sample, []);
  set(work, { spindle: { ...spindle, view } });
  const wanted = Spindle.pick(work.state.spindle, reply.exchanged.wants);
  if (Object.keys(wanted).length > 0)
    send(work, to, { kind: 'push', tellings: wanted }, { kind: 'push' });
};

const returned = (work: Work, id: number, body: AnvilReply | JigReply): void => {
  const pending = work.state.pending[id];
  if (pending === undefined) return;
  set(work, { pending: without(work.state.pending, id) });
  if ('anvil' in pending) noteAnswer(work, pending.anvil);
  switch (pending.kind) {
    case 'pull':
      tookPull(work, pending.anvil, pending.sentAt, body as AnvilReply);
      return;
    case 'look':
      tookLook(work, pending.address, body as AnvilReply);
      return;
    case 'fetch':
      tookFetch(work, pending.key, body as AnvilReply);
      return;
    case 'vote':
      tookVote(work, pending.key, pending.anvil, pending.phase, pending.ballot, body as AnvilReply);
      return;
    case 'post':
      tookPost(work, pending.posting, pending.anvil, body as AnvilReply);
      return;
    case 'ping':
      tookPing(work, pending.edge, (work.state.now - pending.sentAt) / 1_000);
      return;
    case 'push':
      return;
    case 'retell':
      tookRetold(work, pending.anvil, pending.epoch, pending.upTo, body as AnvilReply);
      return;
    case 'exchange':
      tookExchanged(work, pending.to, body as JigReply);
      return;
  }
};

const lost = (work: Work, id: number): void => {
  const pending = work.state.pending[id];
  if (pending === undefined) return;
  set(work, { pending: without(work.state.pending, id) });
  if (pending.kind === 'pull') lostPull(work, pending.anvil);
  if (pending.kind === 'exchange' && pending.partner !== null) {
    const { spindle } = work.state;
    const view = spindle.view.filter((each) => each.id !== pending.partner);
    set(work, { spindle: { ...spindle, view } });
  }
};

const beat = (work: Work): void => {
  const { now } = work.state;
  const due = (name: keyof JigState['due'], every: number, act: () => void): void => {
    if (now < work.state.due[name]) return;
    set(work, { due: { ...work.state.due, [name]: now + every } });
    act();
  };
  const { beatAt } = work.state;
  noteBeat(work);
  noteLeaseLost(work, beatAt);
  noteSerials(work);
  tendPursuits(work);
  tendPostings(work);
  due('pull', pullInterval(work.state), () => {
    pullAll(work);
    if (work.state.self.anvil === null) tendMembership(work);
  });
  awaitOwnReplica(work);
  if (work.state.self.anvil !== null) tendMembership(work);
  pullOverdue(work);
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
    readonly self: Self;
    readonly life: string;
    readonly seeds: readonly string[];
    readonly founders: Readonly<Record<string, string>>;
    readonly seed: number;
    readonly now: number;
    /** Where voters found themselves from seeds; `founders` is then not looked at. */
    readonly voting?: JigVoting | null;
  }): JigState => {
    const founders = parts.voting ? [] : Object.entries(parts.founders);
    const { self, life, seeds, seed, now } = parts;
    return {
      self,
      life,
      seeds,
      seed,
      now,
      nextId: 1,
      pending: {},
      voting: parts.voting ?? null,
      openedAt: now,
      ownAnvil: null,
      spares: {},
      anvils: Object.fromEntries(
        founders.map(([name, address]) => [name, anvilView(address, now)]),
      ),
      registers: {},
      highestBallot: Ballots.none as Ballot,
      candidates: {},
      hanging: {},
      lease: 0,
      beatAt: now,
      lateAt: now,
      returnedAt: now,
      flushes: 0,
      facts: [],
      factKeys: {},
      factSeq: 0,
      posted: {},
      reopened: {},
      claims: [Table(), Table(), Table()],
      claimsFrom: now,
      pursuits: {},
      runs: {},
      learntSerials: { policy: [], halls: [] },
      postings: {},
      spindle: Spindle.empty,
      delays: {},
      report: null,
      fedParts: {},
      sent: null,
      sentAt: 0,
      notices: 0,
      split: {},
      splitAt: 0,
      splitStale: true,
      splitOver: '',
      splits: 0,
      planSeen: { term: 0, beat: 0, at: now },
      duty: null,
      due: { pull: 0, gossip: 0, heartbeat: 0, division: 0, ping: 0, sweep: 0 },
    };
  },

  /** @example Jig.reduce(state, { kind: 'beat', now: 50 }).effects */
  reduce: (state: JigState, event: JigEvent): Step<JigState, JigEffect> => {
    const work: Work = { state: { ...state, now: Math.max(state.now, event.now) }, effects: [] };
    switch (event.kind) {
      case 'beat':
        beat(work);
        break;
      case 'asked':
        asked(work, event.id, event.body);
        break;
      case 'fed':
        fed(work, event.id, event.body);
        break;
      case 'operator':
        operator(work, event.id, event.action);
        break;
      case 'returned':
        returned(work, event.id, event.body);
        break;
      case 'lost':
        lost(work, event.id);
        break;
      case 'caller-gone':
        dropCaller(work, event.id);
        break;
      case 'woken':
        tendPursuits(work);
        break;
    }
    return { state: work.state, effects: work.effects };
  },
} as const;
