/** The agent's reducer: takes each event to the module that it is about. */
import { Map as Table } from 'immutable';
import { zeroProposalNumber } from '@reedyard/consensus';
import { Beats } from '@reedyard/constants';
import { Gossip } from '@reedyard/gossip';
import type { ReplicaReply } from '@reedyard/replica';
import type { Step } from '@reedyard/task-loop';
import { dropCaller, tendProposalRuns, tookVote } from './ballots.js';
import { noteRevisions } from './change-ids.js';
import { fed } from './feed.js';
import { pullInterval, renewLease } from './lease.js';
import { awaitOwnReplica, tendMembership } from './membership.js';
import { computeSplit, gossip, heartbeat, isJoining, learn, pingAll, tookPing } from './network.js';
import { operator } from './operators.js';
import { tendPostings, tookPost } from './postings.js';
import {
  lostPull,
  pullAll,
  pullOverdue,
  tookFetch,
  tookLook,
  tookPull,
  tookRestored,
} from './pulls.js';
import { tendQuotaLeadership } from './quota-leadership.js';
import { noteAnswer, noteLeaseLost } from './reachability.js';
import { type AgentState, noteBeat, replicaView, send, set, without, type Work } from './state.js';
import { sweep } from './sweep.js';
import type { AgentCall, AgentEffect, AgentEvent, AgentReply, AgentVoting, Self } from './terms.js';

type ExchangeCall = Extract<AgentCall, { kind: 'exchange' }>;

const tookExchange = (work: Work, { exchange }: ExchangeCall): AgentReply => {
  const { from, digest, sample } = exchange;
  const { self, gossip, now } = work.state;
  const mine = Gossip.sample(gossip.view, { id: self.id, address: self.address }, (now % 97) / 97);
  const compared = Gossip.compare(gossip, digest);
  const view = Gossip.shuffle(gossip.view, self.id, [...sample, { ...from, age: 0 }], mine);
  set(work, { gossip: { ...gossip, view } });
  return { kind: 'exchanged', exchanged: { ...compared, sample: mine } };
};

const asked = (work: Work, id: number, body: AgentCall): void => {
  const tell = (reply: AgentReply): void => {
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

const tookExchanged = (work: Work, to: string, reply: AgentReply): void => {
  if (reply.kind !== 'exchanged') return;
  learn(work, reply.exchanged.newer);
  const { self, gossip } = work.state;
  const view = Gossip.shuffle(gossip.view, self.id, reply.exchanged.sample, []);
  set(work, { gossip: { ...gossip, view } });
  const wanted = Gossip.pick(work.state.gossip, reply.exchanged.wants);
  if (Object.keys(wanted).length > 0)
    send(work, to, { kind: 'push', tellings: wanted }, { kind: 'push' });
};

const returned = (work: Work, id: number, body: ReplicaReply | AgentReply): void => {
  const pending = work.state.pending[id];
  if (pending === undefined) return;
  set(work, { pending: without(work.state.pending, id) });
  if ('replica' in pending) noteAnswer(work, pending.replica);
  switch (pending.kind) {
    case 'pull':
      tookPull(work, pending.replica, pending.sentAt, body as ReplicaReply);
      return;
    case 'look':
      tookLook(work, pending.address, body as ReplicaReply);
      return;
    case 'fetch':
      tookFetch(work, pending.key, body as ReplicaReply);
      return;
    case 'vote':
      tookVote(
        work,
        pending.key,
        pending.replica,
        pending.phase,
        pending.proposalNumber,
        body as ReplicaReply,
      );
      return;
    case 'post':
      tookPost(work, pending.posting, pending.replica, body as ReplicaReply);
      return;
    case 'ping':
      tookPing(work, pending.edge, (work.state.now - pending.sentAt) / 1_000);
      return;
    case 'push':
      return;
    case 'restore':
      tookRestored(work, pending.replica, pending.epoch, pending.upTo, body as ReplicaReply);
      return;
    case 'exchange':
      tookExchanged(work, pending.to, body as AgentReply);
      return;
  }
};

const lost = (work: Work, id: number): void => {
  const pending = work.state.pending[id];
  if (pending === undefined) return;
  set(work, { pending: without(work.state.pending, id) });
  if (pending.kind === 'pull') lostPull(work, pending.replica);
  if (pending.kind === 'exchange' && pending.peer !== null) {
    const { gossip } = work.state;
    const view = gossip.view.filter((each) => each.id !== pending.peer);
    set(work, { gossip: { ...gossip, view } });
  }
};

const beat = (work: Work): void => {
  const { now } = work.state;
  const due = (name: keyof AgentState['due'], every: number, act: () => void): void => {
    if (now < work.state.due[name]) return;
    set(work, { due: { ...work.state.due, [name]: now + every } });
    act();
  };
  const { beatAt } = work.state;
  noteBeat(work);
  noteLeaseLost(work, beatAt);
  noteRevisions(work);
  tendProposalRuns(work);
  tendPostings(work);
  due('pull', pullInterval(work.state), () => {
    pullAll(work);
    if (work.state.self.replica === null) tendMembership(work);
  });
  awaitOwnReplica(work);
  if (work.state.self.replica !== null) tendMembership(work);
  pullOverdue(work);
  due('heartbeat', Beats.heartbeat, () => heartbeat(work));
  due('gossip', isJoining(work.state) ? Beats.lapsed : Beats.gossip, () => gossip(work));
  due('ping', Beats.pingDraw, () => pingAll(work));
  due('sweep', Beats.heartbeat, () => sweep(work));
  due('division', Beats.division, () => tendQuotaLeadership(work));
  computeSplit(work);
  renewLease(work);
};

export const Agent = {
  /**
   * An agent that knows only itself, its seeds and the founding replicas.
   *
   * @example
   * Agent.open({ self, life: 'l1', seeds: [], founders: { 'core-1': '127.0.0.1:7101' }, seed: 1, now: 0 })
   */
  open: (parts: {
    readonly self: Self;
    readonly life: string;
    readonly seeds: readonly string[];
    readonly founders: Readonly<Record<string, string>>;
    readonly seed: number;
    readonly now: number;
    /** Where members found themselves from seeds; `founders` is then not looked at. */
    readonly voting?: AgentVoting | null;
  }): AgentState => {
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
      ownReplica: null,
      spares: {},
      replicas: Object.fromEntries(
        founders.map(([name, address]) => [name, replicaView(address, now)]),
      ),
      registers: {},
      highestBallot: zeroProposalNumber,
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
      proposalRuns: {},
      runs: {},
      learntRevisions: { policy: [], zones: [] },
      postings: {},
      gossip: Gossip.empty,
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
      quotaLeadership: null,
      due: { pull: 0, gossip: 0, heartbeat: 0, division: 0, ping: 0, sweep: 0 },
    };
  },

  /** @example Agent.reduce(state, { kind: 'beat', now: 50 }).effects */
  reduce: (state: AgentState, event: AgentEvent): Step<AgentState, AgentEffect> => {
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
        tendProposalRuns(work);
        break;
    }
    return { state: work.state, effects: work.effects };
  },
} as const;
