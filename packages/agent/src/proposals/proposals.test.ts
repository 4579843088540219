import test from 'ava';
import { compareProposalNumbers, type ProposalNumber } from '@reedyard/consensus';
import {
  proposalPhaseTimeoutMs,
  type ReplicaOperation,
  type ReplicaReply,
} from '@reedyard/replica';
import { Schemas } from '@reedyard/schemas';
import { learnRegister } from '../control/polling.js';
import type { AgentEffect, AgentEvent, ApiAction } from '../messages.js';
import { openAgent } from '../open-agent.js';
import { reduceAgent } from '../reducer.js';
import type { AgentState } from '../state.js';
import type { Transition } from '../transition.js';
import { resendMs } from './proposal-state.js';

const replicas = ['a', 'b', 'c'];
const self = { id: 'n', zone: 'west', region: 'r', address: 'n/agent', proxy: null, replica: null };

/** A call of the agent to a replica that has not been answered yet. */
type Call = { readonly id: number; readonly to: string; readonly call: ReplicaOperation };

/** An agent whose replicas are played by the test. */
class Bench {
  state: AgentState;
  now = 0;
  calls: Call[] = [];
  readonly answers = new Map<number, { readonly status: number; readonly body: unknown }>();
  readonly wakes: number[] = [];
  #caller = 0;

  constructor(life = 'l') {
    const founders = Object.fromEntries(replicas.map((name) => [name, name]));
    const opened = openAgent({
      self,
      incarnation: life,
      seeds: [],
      founders,
      randomSeed: 1,
      now: 0,
    });
    const transition: Transition = { state: opened, effects: [] };
    const disks = Object.fromEntries(replicas.map((name) => [name, `disk-${name}`]));
    learnRegister(transition, 'members', { counter: 1, proposerId: 'x' }, { epoch: 1, disks });
    this.state = transition.state;
  }

  step(event: AgentEvent): void {
    const { state, effects } = reduceAgent(this.state, event);
    this.state = state;
    for (const effect of effects) this.#take(effect);
  }

  #take(effect: AgentEffect): void {
    if (effect.kind === 'send-request' && effect.path === '/replica') {
      this.calls.push({ id: effect.requestId, to: effect.to, call: effect.request.operation });
    }
    if (effect.kind === 'send-answer') this.answers.set(effect.requestId, effect);
    if (effect.kind === 'schedule-wake-up') this.wakes.push(this.now + effect.delayMs);
  }

  order(action: ApiAction): number {
    this.#caller += 1;
    this.step({ kind: 'action-received', requestId: this.#caller, action, now: this.now });
    return this.#caller;
  }

  /** Answers every call of one kind that waits. */
  vote(
    kind: 'prepare' | 'accept',
    accepted: { readonly proposalNumber: ProposalNumber; readonly value: unknown } | null = null,
  ): void {
    const due = this.calls.filter(({ call }) => call.kind === kind);
    this.calls = this.calls.filter(({ call }) => call.kind !== kind);
    for (const { id, to } of due) {
      const body: ReplicaReply = {
        kind: 'vote',
        diskId: `disk-${to}`,
        vote: { kind: 'yes', accepted },
      };
      this.step({ kind: 'reply-received', requestId: id, reply: body, now: this.now });
    }
  }

  refuse(kind: 'prepare' | 'accept', promised: ProposalNumber): void {
    const due = this.calls.filter(({ call }) => call.kind === kind);
    this.calls = this.calls.filter(({ call }) => call.kind !== kind);
    for (const { id, to } of due) {
      const body: ReplicaReply = {
        kind: 'vote',
        diskId: `disk-${to}`,
        vote: { kind: 'no', promised },
      };
      this.step({ kind: 'reply-received', requestId: id, reply: body, now: this.now });
    }
  }

  /** Proposals of the calls of one kind that wait. */
  ballots(kind: 'prepare' | 'accept'): readonly ProposalNumber[] {
    const all = this.calls.flatMap(({ call }) =>
      call.kind === 'prepare' || call.kind === 'accept' ? [call] : [],
    );
    const mine = all.filter((call) => call.kind === kind).map((call) => call.proposalNumber);
    return mine.filter(
      (proposalNumber, at) =>
        mine.findIndex((each) => compareProposalNumbers(each, proposalNumber) === 0) === at,
    );
  }

  statusOf(id: number): number | undefined {
    return this.answers.get(id)?.status;
  }
}

const zoneOrder = (zone: string, order: 'empty' | 'take-back', changeId: string): ApiAction => ({
  kind: 'zone',
  zone,
  order,
  of: 'origins',
  changeId,
});
const put = (version: number, changeId: string, note = ''): ApiAction => ({
  kind: 'put-policy',
  ifMatch: null,
  changeId,
  document: Schemas.policy({ version, services: {}, routes: [], notes: { note } }),
});
const closedIn = (body: unknown): readonly string[] =>
  (body as { readonly closedOrigins: readonly string[] }).closedOrigins;

test('eight orders at once on one register take two ballots, one after the other', (t) => {
  const bench = new Bench();
  const orders = Array.from({ length: 8 }, (_, index) =>
    bench.order(zoneOrder(`zone-${index}`, 'empty', `id-${index}`)),
  );
  t.is(bench.ballots('prepare').length, 1);
  bench.vote('prepare');
  t.deepEqual(
    bench.calls.map(({ call }) => call.kind),
    ['accept', 'accept', 'accept'],
  );
  const [first] = bench.calls;
  const accepted =
    first?.call.kind === 'accept'
      ? { proposalNumber: first.call.proposalNumber, value: first.call.value }
      : null;
  bench.vote('accept');
  t.is(bench.statusOf(orders[0] ?? 0), 200);
  t.deepEqual(
    orders.slice(1).map((id) => bench.statusOf(id)),
    Array.from({ length: 7 }, () => undefined),
  );
  const [second] = bench.ballots('prepare');
  t.true(
    second !== undefined &&
      accepted !== null &&
      compareProposalNumbers(second, accepted.proposalNumber) > 0,
  );
  bench.vote('prepare', accepted);
  bench.vote('accept');
  t.deepEqual(
    orders.map((id) => bench.statusOf(id)),
    orders.map(() => 200),
  );
  const revisions = orders.map(
    (id) => (bench.answers.get(id)?.body as { readonly revision: number }).revision,
  );
  t.deepEqual(revisions, [1, 2, 3, 4, 5, 6, 7, 8]);
  t.deepEqual(bench.state.activeProposals, {});
  t.deepEqual(bench.state.pendingChanges, {});
});

test('changes of one ballot are made in the order in which they came, and each is told its own end', (t) => {
  const bench = new Bench();
  const held = bench.order(put(7, 'a', 'x'));
  const [same, other, older, newer] = [
    put(7, 'b', 'x'),
    put(7, 'c', 'y'),
    put(3, 'd'),
    put(9, 'e'),
  ].map((each) => bench.order(each));
  const read = bench.order({ kind: 'get-policy' });
  bench.vote('prepare');
  const [first] = bench.calls;
  const accepted =
    first?.call.kind === 'accept'
      ? { proposalNumber: first.call.proposalNumber, value: first.call.value }
      : null;
  bench.vote('accept');
  bench.vote('prepare', accepted);
  bench.vote('accept');
  const ends = [held, same, other, older, newer].map((id) => bench.statusOf(id ?? 0));
  t.deepEqual(ends, [200, 200, 412, 200, 200]);
  const policy = (
    bench.answers.get(read)?.body as { readonly policy: { readonly version: number } }
  ).policy;
  t.is(policy.version, 9);
});

test('a read that comes while a ballot is under way joins none whose promises may be older than it', (t) => {
  const bench = new Bench();
  bench.order({ kind: 'get-policy' });
  const second = bench.order({ kind: 'get-policy' });
  bench.vote('prepare');
  t.is(bench.statusOf(second), undefined);
  t.is(bench.ballots('prepare').length, 1);
  bench.vote('prepare');
  t.is(bench.statusOf(second), 200);
});

test('an order whose caller is gone before its second phase is proposed no further; the others of its ballot are', (t) => {
  const bench = new Bench();
  const [gone, stays] = [
    bench.order(zoneOrder('west', 'empty', '1')),
    bench.order(zoneOrder('east', 'empty', '2')),
  ];
  bench.step({ kind: 'caller-disconnected', requestId: gone, now: 0 });
  bench.vote('prepare');
  bench.vote('accept');
  bench.vote('prepare');
  bench.vote('accept');
  t.is(bench.statusOf(gone), undefined);
  t.deepEqual(closedIn(bench.answers.get(stays)?.body), ['east']);
});

test('an order whose caller is gone in its second phase gets no further ballot', (t) => {
  const bench = new Bench();
  const gone = bench.order(zoneOrder('west', 'empty', '1'));
  bench.vote('prepare');
  bench.step({ kind: 'caller-disconnected', requestId: gone, now: 0 });
  bench.refuse('accept', { counter: 9, proposerId: 'z' });
  bench.now = 5_000;
  bench.step({ kind: 'wake-up-due', now: bench.now });
  t.deepEqual(bench.ballots('prepare'), []);
  t.deepEqual([bench.state.activeProposals, bench.state.pendingChanges], [{}, {}]);
});

test('an order that was outvoted by a later one for its zone is not made after it', (t) => {
  const bench = new Bench();
  const late = bench.order(zoneOrder('west', 'empty', '1'));
  bench.vote('prepare');
  bench.refuse('accept', { counter: 9, proposerId: 'z' });
  bench.now = 300;
  bench.step({ kind: 'wake-up-due', now: bench.now });
  const value = {
    revision: 5,
    emptied: [],
    closedOrigins: [],
    reopened: {},
    lastOrders: { west: 5 },
    changes: [],
  };
  bench.vote('prepare', { proposalNumber: { counter: 9, proposerId: 'z' }, value });
  t.is(bench.statusOf(late), 503);
  t.deepEqual(bench.ballots('accept'), []);
});

test('an order that was taken though its node saw no majority of votes is acknowledged again, not refused', (t) => {
  const bench = new Bench();
  const order = bench.order(zoneOrder('west', 'empty', '1'));
  bench.vote('prepare');
  const [first] = bench.calls;
  const accepted =
    first?.call.kind === 'accept'
      ? { proposalNumber: first.call.proposalNumber, value: first.call.value }
      : null;
  bench.calls = [];
  bench.now = proposalPhaseTimeoutMs + 1;
  bench.step({ kind: 'wake-up-due', now: bench.now });
  bench.vote('prepare', accepted);
  t.is(bench.statusOf(order), 200);
  t.deepEqual(closedIn(bench.answers.get(order)?.body), ['west']);
});

test('accepts are sent again to replicas that have not answered, in the same ballot', (t) => {
  const bench = new Bench();
  bench.order(zoneOrder('west', 'empty', '1'));
  bench.vote('prepare');
  const [proposalNumber] = bench.ballots('accept');
  bench.calls = [];
  t.deepEqual(bench.wakes, [resendMs, resendMs]);
  bench.now = resendMs;
  bench.step({ kind: 'wake-up-due', now: bench.now });
  t.deepEqual(bench.ballots('accept'), proposalNumber === undefined ? [] : [proposalNumber]);
  t.deepEqual(bench.ballots('prepare'), []);
});

test('prepares are sent again to replicas that have not answered, in the same ballot; promises are kept', (t) => {
  const bench = new Bench();
  bench.order(zoneOrder('west', 'empty', '1'));
  const [proposalNumber] = bench.ballots('prepare');
  bench.calls = bench.calls.filter(({ to }) => to === 'a');
  bench.vote('prepare');
  bench.now = resendMs;
  bench.step({ kind: 'wake-up-due', now: bench.now });
  t.deepEqual(
    bench.calls.map(({ to, call }) => [to, call.kind]),
    [
      ['b', 'prepare'],
      ['c', 'prepare'],
    ],
  );
  t.deepEqual(bench.ballots('prepare'), proposalNumber === undefined ? [] : [proposalNumber]);
  bench.calls = bench.calls.filter(({ to }) => to === 'b');
  bench.vote('prepare');
  t.deepEqual(
    bench.calls.map(({ to, call }) => [to, call.kind]),
    [
      ['a', 'accept'],
      ['b', 'accept'],
    ],
  );
});

test('no two lives of an agent open the same ballot', (t) => {
  const ballots = ['l', 'm'].map((life) => {
    const bench = new Bench(life);
    bench.order({ kind: 'get-policy' });
    return bench.ballots('prepare')[0];
  });
  t.notDeepEqual(ballots[0], ballots[1]);
});

test('an outvoted proposer waits for a time that grows with each further try', (t) => {
  const bench = new Bench();
  bench.order(zoneOrder('west', 'empty', '1'));
  const waits: number[] = [];
  for (let round = 2; round < 12; round += 1) {
    bench.refuse('prepare', { counter: 10 * round, proposerId: 'z' });
    const wake = bench.wakes.at(-1) ?? 0;
    waits.push(wake - bench.now);
    bench.now = wake;
    bench.step({ kind: 'wake-up-due', now: bench.now });
  }
  t.true(Math.max(...waits.slice(0, 2)) < Math.max(...waits.slice(4)));
  t.true(
    waits.every((wait) => wait <= 128),
    waits.join(),
  );
});
