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
type Call = { readonly id: number; readonly to: string; readonly operation: ReplicaOperation };

/** An agent whose replicas are simulated by the test. */
class TestAgent {
  state: AgentState;
  now = 0;
  calls: Call[] = [];
  readonly answers = new Map<number, { readonly status: number; readonly body: unknown }>();
  readonly wakeUps: number[] = [];
  #lastRequestId = 0;

  constructor(incarnation = 'l') {
    const founders = Object.fromEntries(replicas.map((name) => [name, name]));
    const opened = openAgent({
      self,
      incarnation,
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
    for (const effect of effects) this.#handleEffect(effect);
  }

  #handleEffect(effect: AgentEffect): void {
    if (effect.kind === 'send-request' && effect.path === '/replica') {
      this.calls.push({ id: effect.requestId, to: effect.to, operation: effect.request.operation });
    }
    if (effect.kind === 'send-answer') this.answers.set(effect.requestId, effect);
    if (effect.kind === 'schedule-wake-up') this.wakeUps.push(this.now + effect.delayMs);
  }

  request(action: ApiAction): number {
    this.#lastRequestId += 1;
    this.step({ kind: 'action-received', requestId: this.#lastRequestId, action, now: this.now });
    return this.#lastRequestId;
  }

  /** Answers every pending call of one kind with a vote. */
  vote(
    kind: 'prepare' | 'accept',
    accepted: { readonly proposalNumber: ProposalNumber; readonly value: unknown } | null = null,
  ): void {
    const due = this.calls.filter(({ operation }) => operation.kind === kind);
    this.calls = this.calls.filter(({ operation }) => operation.kind !== kind);
    for (const { id, to } of due) {
      const body: ReplicaReply = {
        kind: 'vote',
        diskId: `disk-${to}`,
        vote: { kind: 'yes', accepted },
      };
      this.step({ kind: 'reply-received', requestId: id, reply: body, now: this.now });
    }
  }

  /** Rejects every pending call of one kind, as replicas that promised a higher proposal do. */
  reject(kind: 'prepare' | 'accept', promised: ProposalNumber): void {
    const due = this.calls.filter(({ operation }) => operation.kind === kind);
    this.calls = this.calls.filter(({ operation }) => operation.kind !== kind);
    for (const { id, to } of due) {
      const body: ReplicaReply = {
        kind: 'vote',
        diskId: `disk-${to}`,
        vote: { kind: 'no', promised },
      };
      this.step({ kind: 'reply-received', requestId: id, reply: body, now: this.now });
    }
  }

  /** The distinct proposal numbers of the pending calls of one kind. */
  proposalNumbers(kind: 'prepare' | 'accept'): readonly ProposalNumber[] {
    const operations = this.calls.flatMap(({ operation }) =>
      operation.kind === 'prepare' || operation.kind === 'accept' ? [operation] : [],
    );
    const proposalNumbers = operations
      .filter((operation) => operation.kind === kind)
      .map((operation) => operation.proposalNumber);
    return proposalNumbers.filter(
      (proposalNumber, index) =>
        proposalNumbers.findIndex(
          (other) => compareProposalNumbers(other, proposalNumber) === 0,
        ) === index,
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

test('eight simultaneous orders for one register take two proposals, one after the other', (t) => {
  const agent = new TestAgent();
  const orders = Array.from({ length: 8 }, (_, index) =>
    agent.request(zoneOrder(`zone-${index}`, 'empty', `id-${index}`)),
  );
  t.is(agent.proposalNumbers('prepare').length, 1);
  agent.vote('prepare');
  t.deepEqual(
    agent.calls.map(({ operation }) => operation.kind),
    ['accept', 'accept', 'accept'],
  );
  const [first] = agent.calls;
  const accepted =
    first?.operation.kind === 'accept'
      ? { proposalNumber: first.operation.proposalNumber, value: first.operation.value }
      : null;
  agent.vote('accept');
  t.is(agent.statusOf(orders[0] ?? 0), 200);
  t.deepEqual(
    orders.slice(1).map((id) => agent.statusOf(id)),
    Array.from({ length: 7 }, () => undefined),
  );
  const [second] = agent.proposalNumbers('prepare');
  t.true(
    second !== undefined &&
      accepted !== null &&
      compareProposalNumbers(second, accepted.proposalNumber) > 0,
  );
  agent.vote('prepare', accepted);
  agent.vote('accept');
  t.deepEqual(
    orders.map((id) => agent.statusOf(id)),
    orders.map(() => 200),
  );
  const revisions = orders.map(
    (id) => (agent.answers.get(id)?.body as { readonly revision: number }).revision,
  );
  t.deepEqual(revisions, [1, 2, 3, 4, 5, 6, 7, 8]);
  t.deepEqual(agent.state.activeProposals, {});
  t.deepEqual(agent.state.pendingChanges, {});
});

test('changes of one proposal are applied in the order of their requests, and each gets its own response', (t) => {
  const agent = new TestAgent();
  const original = agent.request(put(7, 'a', 'x'));
  const [same, other, older, newer] = [
    put(7, 'b', 'x'),
    put(7, 'c', 'y'),
    put(3, 'd'),
    put(9, 'e'),
  ].map((action) => agent.request(action));
  const read = agent.request({ kind: 'get-policy' });
  agent.vote('prepare');
  const [firstCall] = agent.calls;
  const accepted =
    firstCall?.operation.kind === 'accept'
      ? { proposalNumber: firstCall.operation.proposalNumber, value: firstCall.operation.value }
      : null;
  agent.vote('accept');
  agent.vote('prepare', accepted);
  agent.vote('accept');
  const statuses = [original, same, other, older, newer].map((id) => agent.statusOf(id ?? 0));
  t.deepEqual(statuses, [200, 200, 412, 200, 200]);
  const policy = (
    agent.answers.get(read)?.body as { readonly policy: { readonly version: number } }
  ).policy;
  t.is(policy.version, 9);
});

test('a read that is requested while a proposal is in flight joins no proposal whose promises may be older', (t) => {
  const agent = new TestAgent();
  agent.request({ kind: 'get-policy' });
  const second = agent.request({ kind: 'get-policy' });
  agent.vote('prepare');
  t.is(agent.statusOf(second), undefined);
  t.is(agent.proposalNumbers('prepare').length, 1);
  agent.vote('prepare');
  t.is(agent.statusOf(second), 200);
});

test('an order whose client disconnects before the second phase is not proposed; the others of its proposal are', (t) => {
  const agent = new TestAgent();
  const [abandoned, remaining] = [
    agent.request(zoneOrder('west', 'empty', '1')),
    agent.request(zoneOrder('east', 'empty', '2')),
  ];
  agent.step({ kind: 'caller-disconnected', requestId: abandoned, now: 0 });
  agent.vote('prepare');
  agent.vote('accept');
  agent.vote('prepare');
  agent.vote('accept');
  t.is(agent.statusOf(abandoned), undefined);
  t.deepEqual(closedIn(agent.answers.get(remaining)?.body), ['east']);
});

test('an order whose client disconnects in the second phase is included in no further proposal', (t) => {
  const agent = new TestAgent();
  const abandoned = agent.request(zoneOrder('west', 'empty', '1'));
  agent.vote('prepare');
  agent.step({ kind: 'caller-disconnected', requestId: abandoned, now: 0 });
  agent.reject('accept', { counter: 9, proposerId: 'z' });
  agent.now = 5_000;
  agent.step({ kind: 'wake-up-due', now: agent.now });
  t.deepEqual(agent.proposalNumbers('prepare'), []);
  t.deepEqual([agent.state.activeProposals, agent.state.pendingChanges], [{}, {}]);
});

test('an order that was preempted by a later one for its zone is not applied after it', (t) => {
  const agent = new TestAgent();
  const order = agent.request(zoneOrder('west', 'empty', '1'));
  agent.vote('prepare');
  agent.reject('accept', { counter: 9, proposerId: 'z' });
  agent.now = 300;
  agent.step({ kind: 'wake-up-due', now: agent.now });
  const value = {
    revision: 5,
    emptied: [],
    closedOrigins: [],
    reopened: {},
    lastOrders: { west: 5 },
    changes: [],
  };
  agent.vote('prepare', { proposalNumber: { counter: 9, proposerId: 'z' }, value });
  t.is(agent.statusOf(order), 503);
  t.deepEqual(agent.proposalNumbers('accept'), []);
});

test('an order that was chosen although its node saw no majority of votes is acknowledged, not refused', (t) => {
  const agent = new TestAgent();
  const order = agent.request(zoneOrder('west', 'empty', '1'));
  agent.vote('prepare');
  const [first] = agent.calls;
  const accepted =
    first?.operation.kind === 'accept'
      ? { proposalNumber: first.operation.proposalNumber, value: first.operation.value }
      : null;
  agent.calls = [];
  agent.now = proposalPhaseTimeoutMs + 1;
  agent.step({ kind: 'wake-up-due', now: agent.now });
  agent.vote('prepare', accepted);
  t.is(agent.statusOf(order), 200);
  t.deepEqual(closedIn(agent.answers.get(order)?.body), ['west']);
});

test('accepts are sent again to replicas that have not replied, under the same proposal number', (t) => {
  const agent = new TestAgent();
  agent.request(zoneOrder('west', 'empty', '1'));
  agent.vote('prepare');
  const [proposalNumber] = agent.proposalNumbers('accept');
  agent.calls = [];
  t.deepEqual(agent.wakeUps, [resendMs, resendMs]);
  agent.now = resendMs;
  agent.step({ kind: 'wake-up-due', now: agent.now });
  t.deepEqual(
    agent.proposalNumbers('accept'),
    proposalNumber === undefined ? [] : [proposalNumber],
  );
  t.deepEqual(agent.proposalNumbers('prepare'), []);
});

test('prepares are sent again to replicas that have not replied, under the same proposal number; earlier promises count', (t) => {
  const agent = new TestAgent();
  agent.request(zoneOrder('west', 'empty', '1'));
  const [proposalNumber] = agent.proposalNumbers('prepare');
  agent.calls = agent.calls.filter(({ to }) => to === 'a');
  agent.vote('prepare');
  agent.now = resendMs;
  agent.step({ kind: 'wake-up-due', now: agent.now });
  t.deepEqual(
    agent.calls.map(({ to, operation }) => [to, operation.kind]),
    [
      ['b', 'prepare'],
      ['c', 'prepare'],
    ],
  );
  t.deepEqual(
    agent.proposalNumbers('prepare'),
    proposalNumber === undefined ? [] : [proposalNumber],
  );
  agent.calls = agent.calls.filter(({ to }) => to === 'b');
  agent.vote('prepare');
  t.deepEqual(
    agent.calls.map(({ to, operation }) => [to, operation.kind]),
    [
      ['a', 'accept'],
      ['b', 'accept'],
    ],
  );
});

test('no two incarnations of an agent use the same proposal number', (t) => {
  const proposalNumbers = ['l', 'm'].map((incarnation) => {
    const agent = new TestAgent(incarnation);
    agent.request({ kind: 'get-policy' });
    return agent.proposalNumbers('prepare')[0];
  });
  t.notDeepEqual(proposalNumbers[0], proposalNumbers[1]);
});

test('a preempted proposer waits for a time that grows with each further preemption', (t) => {
  const agent = new TestAgent();
  agent.request(zoneOrder('west', 'empty', '1'));
  const waits: number[] = [];
  for (let round = 2; round < 12; round += 1) {
    agent.reject('prepare', { counter: 10 * round, proposerId: 'z' });
    const wakeUpAt = agent.wakeUps.at(-1) ?? 0;
    waits.push(wakeUpAt - agent.now);
    agent.now = wakeUpAt;
    agent.step({ kind: 'wake-up-due', now: agent.now });
  }
  t.true(Math.max(...waits.slice(0, 2)) < Math.max(...waits.slice(4)));
  t.true(
    waits.every((wait) => wait <= 128),
    waits.join(),
  );
});
