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
 * Test support: an agent among replicas whose replies a test scripts, for tests of leases and of
 * reachability.
 */

/** A request to a replica that is in flight. */
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

/** A proposal number with the given counter, by a fixed proposer. */
export const proposalNumberOf = (counter: number): ProposalNumber => ({
  counter: counter,
  proposerId: 'p',
});

/** The reply of a voting member to a poll, with the proposal numbers that it accepted. */
export const polledReply = (
  replica: string,
  acceptedNumbers: Readonly<Record<string, ProposalNumber>> = {},
): ReplicaReply => ({
  kind: 'polled',
  diskId: `disk-${replica}`,
  sequence: 0,
  isReset: false,
  hasMore: false,
  entries: [],
  acceptedNumbers: { members: proposalNumberOf(1), ...acceptedNumbers },
});

/** An agent with three replicas whose ticks run on time. */
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

  /** Makes the agent learn that a value is chosen. */
  learn(key: WatchedRegister, counter: number, value: unknown): void {
    const transition: Transition = { state: this.state, effects: [] };
    learnRegister(transition, key, proposalNumberOf(counter), value);
    this.state = transition.state;
  }

  /** Runs a tick at the given time, and returns the requests that it sends to replicas. */
  beat(now: number): readonly ReplicaCall[] {
    return this.#applyStep(reduceAgent(this.state, { kind: 'tick', now }));
  }

  /**
   * Runs ticks on time until the given time; `replyTo` gives the reply of each replica, or null for
   * none.
   */
  run(until: number, replyTo: (call: ReplicaCall) => ReplicaReply | null): void {
    for (let now = this.state.now + agentTickIntervalMs; now <= until; now += agentTickIntervalMs) {
      for (const call of this.beat(now)) this.answer(call, replyTo(call), now);
    }
  }

  /** Delivers a reply to the agent; null delivers nothing. */
  answer(call: ReplicaCall, reply: ReplicaReply | null, now: number): readonly ReplicaCall[] {
    if (reply === null) return [];
    return this.#applyStep(
      reduceAgent(this.state, { kind: 'reply-received', requestId: call.id, reply: reply, now }),
    );
  }

  /** Sends an API action to the agent, as an operator does. */
  sendAction(action: ApiAction, now: number): readonly ReplicaCall[] {
    return this.#applyStep(
      reduceAgent(this.state, { kind: 'action-received', requestId: 1, action, now }),
    );
  }

  /** Returns the statuses of the API answers in the last step. */
  answerStatuses(): readonly number[] {
    return this.effects.flatMap((effect) => (effect.kind === 'send-answer' ? [effect.status] : []));
  }

  #applyStep(step: {
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
