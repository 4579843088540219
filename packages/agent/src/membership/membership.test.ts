import test from 'ava';
import { type CommittedMembership, leaseDurationMs, type ReplicaReply } from '@reedyard/replica';
import { pollIntervalAtRestMs } from '../control/lease.js';
import type { AgentEffect, AgentEvent, NodeRecord } from '../messages.js';
import { openAgent } from '../open-agent.js';
import { reduceAgent } from '../reducer.js';
import { agentTickIntervalMs } from '../tick-delay.js';
import { joinBudgetMs } from './membership.js';

// Tests which membership changes an agent proposes, and when. The agent's reducer runs alone; the
// test gives the replies.

const committed: CommittedMembership = {
  proposalNumber: { counter: 1, proposerId: 'founding' },
  value: {
    epoch: 1,
    disks: { a: 'disk-a', b: 'disk-b', c: 'disk-c' },
    addresses: { a: 'a', b: 'b', c: 'c' },
  },
};
const spareAddress = 's';
const spareDisk = 'disk-s';

/**
 * How a replica replies: immediately, not at all, as a member that is stopping, or as a blank disk.
 */
type ReplicaBehavior = 'answers' | 'silent' | 'leaving' | 'blank';

class AgentUnderTest {
  now = 0;
  readonly behaviors: Record<string, ReplicaBehavior> = {
    a: 'answers',
    b: 'answers',
    c: 'answers',
  };
  /** How many of the next requests to an address are lost. */
  readonly droppedCalls: Record<string, number> = {};
  /** The addresses to which membership proposals were sent, with the time of each. */
  readonly membershipPrepares: { readonly at: number; readonly to: string }[] = [];
  readonly proposals: string[] = [];
  #state;
  #gossipCount = 0;

  constructor(catchUpMs: number | undefined = 4_000) {
    this.#state = openAgent({
      self: {
        id: 'core-a',
        zone: 'zone-1',
        region: 'home',
        address: 'a/agent',
        proxy: null,
        replica: { address: 'a' },
      },
      incarnation: 'life-1',
      seeds: ['b/agent'],
      founders: {},
      bootstrap: { losses: 1, seeds: ['a', 'b', 'c'], catchUpMs },
      randomSeed: 7,
      now: 0,
    });
  }

  #performEffects(effects: readonly AgentEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === 'log' && effect.event === 'membership.proposed') {
        this.proposals.push(`${String(effect.fields.instead)} by ${String(effect.fields.member)}`);
      }
      if (effect.kind !== 'send-request' || effect.path !== '/replica') continue;
      const { operation, membership: requestMembership } = effect.request;
      const isMembershipPrepare = operation.kind === 'prepare' && operation.key === 'members';
      if (isMembershipPrepare) this.membershipPrepares.push({ at: this.now, to: effect.to });
      const reply = isMembershipPrepare ? null : this.#replyOf(effect.to, requestMembership);
      if (reply !== null)
        this.step({
          kind: 'reply-received',
          requestId: effect.requestId,
          reply: reply,
          now: this.now,
        });
    }
  }

  #replyOf(address: string, requestMembership: CommittedMembership | null): ReplicaReply | null {
    const behavior = this.behaviors[address] ?? 'silent';
    const droppedCalls = this.droppedCalls[address] ?? 0;
    if (droppedCalls > 0) {
      this.droppedCalls[address] = droppedCalls - 1;
      return null;
    }
    const diskId = `disk-${address}`;
    if (behavior === 'silent') return null;
    if (behavior === 'blank')
      return { kind: 'not-a-member', diskId: spareDisk, isBlank: true, knowsMembership: true };
    if (requestMembership === null)
      return { kind: 'newer-membership', diskId: diskId, membership: committed };
    const stoppingFlag = behavior === 'leaving' ? { isStopping: true as const } : {};
    const acceptedNumbers = { members: committed.proposalNumber };
    return {
      kind: 'polled',
      diskId: diskId,
      sequence: 0,
      isReset: false,
      hasMore: false,
      entries: [],
      acceptedNumbers: acceptedNumbers,
      ...stoppingFlag,
    };
  }

  step(event: AgentEvent): void {
    const transition = reduceAgent(this.#state, event);
    this.#state = transition.state;
    this.#performEffects(transition.effects);
  }

  /** Delivers a gossip record of a machine with a replica. */
  receiveGossip(id: string, address: string, diskId: string, isBlank: boolean): void {
    const record: NodeRecord = {
      id,
      zone: 'zone-1',
      region: 'home',
      address: `${address}/agent`,
      proxy: null,
      replica: { address, disk: diskId, fresh: isBlank },
      ready: false,
      staying: false,
      proxyLife: '',
      wants: {},
    };
    this.#gossipCount += 1;
    const tellings = { [`node/${id}`]: { revision: this.#gossipCount, value: record } };
    const body = { kind: 'push', tellings } as const;
    this.step({
      kind: 'agent-request-received',
      requestId: this.#gossipCount,
      request: body,
      now: this.now,
    });
  }

  /**
   * Runs the agent's ticks for the given time; with `hasSpare`, gossip keeps reporting a live
   * spare.
   */
  runFor(durationMs: number, hasSpare = this.behaviors[spareAddress] !== undefined): void {
    for (const end = this.now + durationMs; this.now < end;) {
      this.now += agentTickIntervalMs;
      if (hasSpare) this.receiveGossip('core-s', spareAddress, spareDisk, true);
      this.step({ kind: 'tick', now: this.now });
    }
  }
}

/**
 * Creates an agent that has had a lease for a while, with or without a spare that replies to it.
 */
const agentWithLease = (hasSpare: boolean, catchUpMs?: number): AgentUnderTest => {
  const agent = catchUpMs === undefined ? new AgentUnderTest() : new AgentUnderTest(catchUpMs);
  agent.runFor(3_000);
  if (hasSpare) agent.behaviors[spareAddress] = 'blank';
  agent.runFor(3_000);
  return agent;
};

test('with a live spare, an unresponsive member is replaced after half of the catch-up time less the join budget', (t) => {
  const agent = agentWithLease(true);
  t.deepEqual(agent.proposals, []);
  agent.behaviors.c = 'silent';
  const unresponsiveSince = agent.now;
  agent.runFor(2_000);
  t.is(agent.proposals[0], 'c by s');
  const elapsedMs = (agent.membershipPrepares[0]?.at ?? 0) - unresponsiveSince;
  const expectedTimeoutMs = 4_000 / 2 - joinBudgetMs;
  t.true(
    elapsedMs >= expectedTimeoutMs - pollIntervalAtRestMs &&
      elapsedMs <= expectedTimeoutMs + 5 * agentTickIntervalMs,
    `${elapsedMs} ms`,
  );
});

test('a longer catch-up time gives a member more time to reply', (t) => {
  const agent = agentWithLease(true, 6_000);
  agent.behaviors.c = 'silent';
  agent.runFor(1_400);
  t.deepEqual(agent.proposals, []);
  agent.runFor(1_600);
  t.is(agent.proposals[0], 'c by s');
});

test('without a spare, or with a spare that gossip reports but that does not reply, no member is suspected', (t) => {
  const withoutSpare = agentWithLease(false);
  withoutSpare.behaviors.c = 'silent';
  withoutSpare.runFor(20_000);
  t.deepEqual(withoutSpare.proposals, []);

  const withUnresponsiveSpare = agentWithLease(true);
  withUnresponsiveSpare.behaviors[spareAddress] = 'silent';
  withUnresponsiveSpare.runFor(1_000, true);
  withUnresponsiveSpare.behaviors.c = 'silent';
  withUnresponsiveSpare.runFor(6_000, true);
  t.deepEqual(withUnresponsiveSpare.proposals, []);
});

test('an agent with an unlimited catch-up time waits 8 s before it replaces a member, even with a spare', (t) => {
  const agent = new AgentUnderTest(Infinity);
  agent.runFor(3_000);
  agent.behaviors[spareAddress] = 'blank';
  agent.runFor(3_000);
  agent.behaviors.c = 'silent';
  agent.runFor(7_000);
  t.deepEqual(agent.proposals, []);
  agent.runFor(3_000);
  t.is(agent.proposals[0], 'c by s');
});

test('three consecutive lost messages do not make a member a suspect', (t) => {
  const agent = agentWithLease(true);
  for (let round = 0; round < 20; round += 1) {
    agent.droppedCalls.c = 3;
    agent.runFor(2_000);
    t.is(agent.droppedCalls.c, 0);
  }
  t.deepEqual(agent.proposals, []);
});

test('a spare that appears just after two lost messages does not make the member a suspect', (t) => {
  for (let offset = 0; offset < pollIntervalAtRestMs; offset += agentTickIntervalMs) {
    const agent = agentWithLease(false);
    agent.runFor(offset);
    agent.droppedCalls.c = 2;
    agent.runFor(1_000);
    agent.behaviors[spareAddress] = 'blank';
    agent.runFor(1_000);
    t.deepEqual(agent.proposals, [], `offset ${offset}`);
  }
});

test('an agent whose own ticks were delayed suspects no member until its ticks were on time for the suspicion timeout', (t) => {
  const agent = agentWithLease(true);
  agent.behaviors.c = 'silent';
  agent.now += 3_000;
  agent.runFor(900);
  t.deepEqual(agent.proposals, []);
  agent.behaviors.c = 'answers';
  agent.runFor(3_000);
  t.deepEqual(agent.proposals, []);
});

test('an agent without a lease proposes no membership change', (t) => {
  const agent = agentWithLease(true);
  agent.behaviors.b = 'silent';
  agent.behaviors.c = 'silent';
  agent.runFor(leaseDurationMs);
  const proposalsBefore = agent.proposals.length;
  agent.runFor(6_000);
  t.is(agent.proposals.length, proposalsBefore);
});

test('a member that reports that it is stopping is replaced immediately if a spare is live', (t) => {
  const withoutSpare = agentWithLease(false);
  withoutSpare.behaviors.b = 'leaving';
  withoutSpare.runFor(4_000);
  t.deepEqual(withoutSpare.proposals, []);

  const agent = agentWithLease(true);
  agent.behaviors.b = 'leaving';
  agent.runFor(pollIntervalAtRestMs + 5 * agentTickIntervalMs);
  t.is(agent.proposals[0], 'b by s');
});

test("a blank disk at a member's own address is proposed for its slot immediately, even if gossip just reported the lost disk", (t) => {
  const agent = agentWithLease(false);
  agent.receiveGossip('core-c', 'c', 'disk-c', false);
  agent.behaviors.c = 'blank';
  agent.runFor(2 * pollIntervalAtRestMs);
  t.true(agent.membershipPrepares.length > 0);
});

test("an agent that has just started proposes no slot for a blank disk at a member's address", (t) => {
  const justStarted = new AgentUnderTest();
  justStarted.behaviors.c = 'blank';
  justStarted.runFor(800);
  t.deepEqual(justStarted.membershipPrepares, []);
  justStarted.runFor(1_000);
  t.true(justStarted.membershipPrepares.length > 0);
});
