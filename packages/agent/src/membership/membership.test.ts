import test from 'ava';
import { type CommittedMembership, leaseDurationMs, type ReplicaReply } from '@reedyard/replica';
import { pollIntervalAtRestMs } from '../control/lease.js';
import type { AgentEffect, AgentEvent, NodeRecord } from '../messages.js';
import { openAgent } from '../open-agent.js';
import { reduceAgent } from '../reducer.js';
import { agentTickIntervalMs } from '../tick-delay.js';
import { joinBudgetMs } from './membership.js';

// Which change of the membership an agent opens, and when: its reducer alone, answered by hand.

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
 * How a replica answers: at once, not at all, as a member that was asked to stop, or as a blank
 * one.
 */
type Manner = 'answers' | 'silent' | 'leaving' | 'blank';

class AgentUnderTest {
  now = 0;
  readonly manners: Record<string, Manner> = { a: 'answers', b: 'answers', c: 'answers' };
  /** How many of the next calls to an address are lost. */
  readonly drops: Record<string, number> = {};
  /** Addresses that a proposal on the membership was opened at, and when. */
  readonly prepared: { readonly at: number; readonly to: string }[] = [];
  readonly proposals: string[] = [];
  #state;
  #calls = 0;

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

  #take(effects: readonly AgentEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === 'log' && effect.event === 'membership.proposed') {
        this.proposals.push(`${String(effect.fields.instead)} by ${String(effect.fields.member)}`);
      }
      if (effect.kind !== 'send-request' || effect.path !== '/replica') continue;
      const { operation: call, membership: members } = effect.request;
      const isBallot = call.kind === 'prepare' && call.key === 'members';
      if (isBallot) this.prepared.push({ at: this.now, to: effect.to });
      const reply = isBallot ? null : this.#replyOf(effect.to, members);
      if (reply !== null)
        this.step({
          kind: 'reply-received',
          requestId: effect.requestId,
          reply: reply,
          now: this.now,
        });
    }
  }

  #replyOf(address: string, members: CommittedMembership | null): ReplicaReply | null {
    const manner = this.manners[address] ?? 'silent';
    const drops = this.drops[address] ?? 0;
    if (drops > 0) {
      this.drops[address] = drops - 1;
      return null;
    }
    const disk = `disk-${address}`;
    if (manner === 'silent') return null;
    if (manner === 'blank')
      return { kind: 'not-a-member', diskId: spareDisk, isBlank: true, knowsMembership: true };
    if (members === null) return { kind: 'newer-membership', diskId: disk, membership: committed };
    const more = manner === 'leaving' ? { isStopping: true as const } : {};
    const ballots = { members: committed.proposalNumber };
    return {
      kind: 'polled',
      diskId: disk,
      sequence: 0,
      isReset: false,
      hasMore: false,
      entries: [],
      acceptedNumbers: ballots,
      ...more,
    };
  }

  step(event: AgentEvent): void {
    const done = reduceAgent(this.#state, event);
    this.#state = done.state;
    this.#take(done.effects);
  }

  /** Gossip tells of a machine with a replica. */
  hear(id: string, address: string, disk: string, fresh: boolean): void {
    const record: NodeRecord = {
      id,
      zone: 'zone-1',
      region: 'home',
      address: `${address}/agent`,
      proxy: null,
      replica: { address, disk, fresh },
      ready: false,
      staying: false,
      proxyLife: '',
      wants: {},
    };
    this.#calls += 1;
    const tellings = { [`node/${id}`]: { revision: this.#calls, value: record } };
    const body = { kind: 'push', tellings } as const;
    this.step({
      kind: 'agent-request-received',
      requestId: this.#calls,
      request: body,
      now: this.now,
    });
  }

  /**
   * Runs the agent's intervals; meanwhile gossip goes on to tell of a live spare, if one is there.
   */
  runFor(ms: number, spare = this.manners[spareAddress] !== undefined): void {
    for (const end = this.now + ms; this.now < end;) {
      this.now += agentTickIntervalMs;
      if (spare) this.hear('core-s', spareAddress, spareDisk, true);
      this.step({ kind: 'tick', now: this.now });
    }
  }
}

/** An agent that has had a lease for a while, with or without a spare that answers it. */
const settled = (spare: boolean, catchUpMs?: number): AgentUnderTest => {
  const agent = catchUpMs === undefined ? new AgentUnderTest() : new AgentUnderTest(catchUpMs);
  agent.runFor(3_000);
  if (spare) agent.manners[spareAddress] = 'blank';
  agent.runFor(3_000);
  return agent;
};

test('a spare is live: a member that answers nothing is replaced after half of the time to catch up less the join', (t) => {
  const agent = settled(true);
  t.deepEqual(agent.proposals, []);
  agent.manners.c = 'silent';
  const lostAt = agent.now;
  agent.runFor(2_000);
  t.is(agent.proposals[0], 'c by s');
  const after = (agent.prepared[0]?.at ?? 0) - lostAt;
  const suspicion = 4_000 / 2 - joinBudgetMs;
  t.true(
    after >= suspicion - pollIntervalAtRestMs && after <= suspicion + 5 * agentTickIntervalMs,
    `${after} ms`,
  );
});

test('a longer time to catch up gives a member more time to answer', (t) => {
  const agent = settled(true, 6_000);
  agent.manners.c = 'silent';
  agent.runFor(1_400);
  t.deepEqual(agent.proposals, []);
  agent.runFor(1_600);
  t.is(agent.proposals[0], 'c by s');
});

test('without a spare, or with one that gossip tells of but that does not answer, nobody is suspected', (t) => {
  const alone = settled(false);
  alone.manners.c = 'silent';
  alone.runFor(20_000);
  t.deepEqual(alone.proposals, []);

  const mute = settled(true);
  mute.manners[spareAddress] = 'silent';
  mute.runFor(1_000, true);
  mute.manners.c = 'silent';
  mute.runFor(6_000, true);
  t.deepEqual(mute.proposals, []);
});

test('an agent that is not told how long a successor may take waits 8 s, also with a spare', (t) => {
  const agent = new AgentUnderTest(Infinity);
  agent.runFor(3_000);
  agent.manners[spareAddress] = 'blank';
  agent.runFor(3_000);
  agent.manners.c = 'silent';
  agent.runFor(7_000);
  t.deepEqual(agent.proposals, []);
  agent.runFor(3_000);
  t.is(agent.proposals[0], 'c by s');
});

test('three messages lost in a row are no silence', (t) => {
  const agent = settled(true);
  for (let round = 0; round < 20; round += 1) {
    agent.drops.c = 3;
    agent.runFor(2_000);
    t.is(agent.drops.c, 0);
  }
  t.deepEqual(agent.proposals, []);
});

test('a spare that comes while two messages were just lost makes no silence of them', (t) => {
  for (let offset = 0; offset < pollIntervalAtRestMs; offset += agentTickIntervalMs) {
    const agent = settled(false);
    agent.runFor(offset);
    agent.drops.c = 2;
    agent.runFor(1_000);
    agent.manners[spareAddress] = 'blank';
    agent.runFor(1_000);
    t.deepEqual(agent.proposals, [], `offset ${offset}`);
  }
});

test('an agent that was itself held up suspects nobody until it has run in time for as long as a suspicion takes', (t) => {
  const agent = settled(true);
  agent.manners.c = 'silent';
  agent.now += 3_000;
  agent.runFor(900);
  t.deepEqual(agent.proposals, []);
  agent.manners.c = 'answers';
  agent.runFor(3_000);
  t.deepEqual(agent.proposals, []);
});

test('an agent without a lease proposes nothing', (t) => {
  const agent = settled(true);
  agent.manners.b = 'silent';
  agent.manners.c = 'silent';
  agent.runFor(leaseDurationMs);
  const before = agent.proposals.length;
  agent.runFor(6_000);
  t.is(agent.proposals.length, before);
});

test('a member that says it is leaving is replaced at once, if a spare is live', (t) => {
  const alone = settled(false);
  alone.manners.b = 'leaving';
  alone.runFor(4_000);
  t.deepEqual(alone.proposals, []);

  const agent = settled(true);
  agent.manners.b = 'leaving';
  agent.runFor(pollIntervalAtRestMs + 5 * agentTickIntervalMs);
  t.is(agent.proposals[0], 'b by s');
});

test("a blank disk at a member's own address gets its place at once, though its dead disk was heard of just now", (t) => {
  const agent = settled(false);
  agent.hear('core-c', 'c', 'disk-c', false);
  agent.manners.c = 'blank';
  agent.runFor(2 * pollIntervalAtRestMs);
  t.true(agent.prepared.length > 0);
});

test("an agent that has just begun gives no place to a blank disk at a member's address", (t) => {
  const young = new AgentUnderTest();
  young.manners.c = 'blank';
  young.runFor(800);
  t.deepEqual(young.prepared, []);
  young.runFor(1_000);
  t.true(young.prepared.length > 0);
});
