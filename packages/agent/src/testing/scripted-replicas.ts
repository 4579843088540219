import type { ProposalNumber } from '@reedyard/consensus';
import type { Membership, ReplicaOperation, ReplicaReply } from '@reedyard/replica';
import type { WatchedRegister } from '../control/control-state.js';
import { learnRegister } from '../control/polling.js';
import type { AgentEffect, ApiAction } from '../messages.js';
import { openAgent } from '../open-agent.js';
import { reduceAgent } from '../reducer.js';
import type { AgentState } from '../state.js';
import { agentTickIntervalMs } from '../tick-delay.js';
import type { Transition } from '../transition.js';

/**
 * An agent beside replicas whose answers a test makes up: for tests of leases and of reachability.
 */

/** A call to a replica that is under way. */
export type ReplicaCall = {
  readonly id: number;
  readonly replica: string;
  readonly call: ReplicaOperation;
};

const addresses: Readonly<Record<string, string>> = {
  a: '10.0.0.1:1',
  b: '10.0.0.2:1',
  c: '10.0.0.3:1',
};
const members: Membership = { epoch: 1, disks: { a: 'disk-a', b: 'disk-b', c: 'disk-c' } };
const self = {
  id: 'n',
  zone: 'west',
  region: 'r',
  address: '127.0.0.1:1',
  proxy: null,
  replica: null,
};

/** A proposal of some proposer. */
export const proposalNumberOf = (round: number): ProposalNumber => ({
  counter: round,
  proposerId: 'p',
});

/** What a replica that counts answers a poll: the proposals that it accepted. */
export const polledReply = (
  replica: string,
  ballots: Readonly<Record<string, ProposalNumber>> = {},
): ReplicaReply => ({
  kind: 'polled',
  diskId: `disk-${replica}`,
  sequence: 0,
  isReset: false,
  hasMore: false,
  entries: [],
  acceptedNumbers: { members: proposalNumberOf(1), ...ballots },
});

/** An agent that beats on time and asks three replicas. */
export class AgentUnderTest {
  state: AgentState;
  effects: readonly AgentEffect[] = [];

  constructor(servesOn = false) {
    this.state = openAgent({
      self: { ...self, servesOn },
      incarnation: 'l',
      seeds: [],
      founders: addresses,
      randomSeed: 1,
      now: 0,
    });
    this.learn('members', 1, members);
    this.learn('policy', 1, { revision: 1, document: { services: {}, routes: [] }, changes: [] });
  }

  /** Lets it know a value as chosen. */
  learn(key: WatchedRegister, round: number, value: unknown): void {
    const transition: Transition = { state: this.state, effects: [] };
    learnRegister(transition, key, proposalNumberOf(round), value);
    this.state = transition.state;
  }

  /** Lets a beat come at a moment, and tells what was asked of replicas in it. */
  beat(now: number): readonly ReplicaCall[] {
    return this.#take(reduceAgent(this.state, { kind: 'tick', now }));
  }

  /**
   * Lets beats come on time until a moment; `answer` makes up what each replica answers, if
   * anything.
   */
  run(until: number, answer: (call: ReplicaCall) => ReplicaReply | null): void {
    for (let now = this.state.now + agentTickIntervalMs; now <= until; now += agentTickIntervalMs) {
      for (const call of this.beat(now)) this.answer(call, answer(call), now);
    }
  }

  /** Gives an answer, or none. */
  answer(call: ReplicaCall, body: ReplicaReply | null, now: number): readonly ReplicaCall[] {
    if (body === null) return [];
    return this.#take(
      reduceAgent(this.state, { kind: 'reply-received', requestId: call.id, reply: body, now }),
    );
  }

  /** Asks for something as an operator does. */
  sendAction(action: ApiAction, now: number): readonly ReplicaCall[] {
    return this.#take(
      reduceAgent(this.state, { kind: 'action-received', requestId: 1, action, now }),
    );
  }

  /** The statuses that the last step answered with. */
  answerStatuses(): readonly number[] {
    return this.effects.flatMap((effect) => (effect.kind === 'send-answer' ? [effect.status] : []));
  }

  #take(step: {
    readonly state: AgentState;
    readonly effects: readonly AgentEffect[];
  }): readonly ReplicaCall[] {
    this.state = step.state;
    this.effects = step.effects;
    return step.effects.flatMap((effect) => {
      if (effect.kind !== 'send-request' || effect.path !== '/replica') return [];
      const replica = Object.keys(addresses).find((name) => addresses[name] === effect.to);
      return replica === undefined
        ? []
        : [{ id: effect.requestId, replica, call: effect.request.operation }];
    });
  }
}
