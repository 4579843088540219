import type { AnvilCall, AnvilReply, Voters } from '@reedyard/anvil';
import type { Ballot } from '@reedyard/latch';
import { Beats } from '@reedyard/gauge';
import { Jig } from './core.js';
import { learnRegister } from './pulls.js';
import type { JigState, Watched, Work } from './state.js';
import type { Action, JigEffect } from './terms.js';

/**
 * An agent beside replicas whose answers a test makes up: for tests of leases and of reachability.
 */

/** A call to a replica that is under way. */
export type ReplicaCall = {
  readonly id: number;
  readonly replica: string;
  readonly call: AnvilCall;
};

const addresses: Readonly<Record<string, string>> = {
  a: '10.0.0.1:1',
  b: '10.0.0.2:1',
  c: '10.0.0.3:1',
};
const voters: Voters = { epoch: 1, disks: { a: 'disk-a', b: 'disk-b', c: 'disk-c' } };
const self = {
  id: 'n',
  hall: 'west',
  region: 'r',
  address: '127.0.0.1:1',
  lathe: null,
  anvil: null,
};

/** A ballot of some proposer. */
export const ballotOf = (round: number): Ballot => [round, 'p'];

/** What a replica that counts answers a pull: the ballots that it accepted. */
export const pulledReply = (
  replica: string,
  ballots: Readonly<Record<string, Ballot>> = {},
): AnvilReply => ({
  kind: 'pulled',
  disk: `disk-${replica}`,
  seq: 0,
  reset: false,
  more: false,
  facts: [],
  ballots: { voters: ballotOf(1), ...ballots },
});

/** An agent that beats on time and asks three replicas. */
export class AgentUnderTest {
  state: JigState;
  effects: readonly JigEffect[] = [];

  constructor(servesOn = false) {
    this.state = Jig.open({
      self: { ...self, servesOn },
      life: 'l',
      seeds: [],
      founders: addresses,
      seed: 1,
      now: 0,
    });
    this.learn('voters', 1, voters);
    this.learn('policy', 1, { serial: 1, document: { services: {}, routes: [] }, changes: [] });
  }

  /** Lets it know a value as chosen. */
  learn(key: Watched, round: number, value: unknown): void {
    const work: Work = { state: this.state, effects: [] };
    learnRegister(work, key, ballotOf(round), value);
    this.state = work.state;
  }

  /** Lets a beat come at a moment, and tells what was asked of replicas in it. */
  beat(now: number): readonly ReplicaCall[] {
    return this.#take(Jig.reduce(this.state, { kind: 'beat', now }));
  }

  /**
   * Lets beats come on time until a moment; `answer` makes up what each replica answers, if
   * anything.
   */
  run(until: number, answer: (call: ReplicaCall) => AnvilReply | null): void {
    for (let now = this.state.now + Beats.jig; now <= until; now += Beats.jig) {
      for (const call of this.beat(now)) this.answer(call, answer(call), now);
    }
  }

  /** Gives an answer, or none. */
  answer(call: ReplicaCall, body: AnvilReply | null, now: number): readonly ReplicaCall[] {
    if (body === null) return [];
    return this.#take(Jig.reduce(this.state, { kind: 'returned', id: call.id, body, now }));
  }

  /** Asks for something as an operator does. */
  operate(action: Action, now: number): readonly ReplicaCall[] {
    return this.#take(Jig.reduce(this.state, { kind: 'operator', id: 1, action, now }));
  }

  /** The statuses that the last step answered with. */
  answers(): readonly number[] {
    return this.effects.flatMap((effect) => (effect.kind === 'answer' ? [effect.status] : []));
  }

  #take(step: {
    readonly state: JigState;
    readonly effects: readonly JigEffect[];
  }): readonly ReplicaCall[] {
    this.state = step.state;
    this.effects = step.effects;
    return step.effects.flatMap((effect) => {
      if (effect.kind !== 'call' || effect.path !== '/anvil') return [];
      const replica = Object.keys(addresses).find((name) => addresses[name] === effect.to);
      return replica === undefined ? [] : [{ id: effect.id, replica, call: effect.body.call }];
    });
  }
}
