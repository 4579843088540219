import test from 'ava';
import type { ProposalNumber } from '@reedyard/consensus';
import type { ReplicaEffect, ReplicaEvent } from './events.js';
import { type CommittedMembership, membershipKey } from './membership.js';
import type { ReplicaOperation, ReplicaReply, ReplicaRequest } from './messages.js';
import { openReplica, snapshotRecords } from './open-replica.js';
import { reduceReplica } from './reducer.js';
import { retiredDataRetentionMs, votingEvidenceMaxAgeMs } from './retirement.js';
import { handoverTimeoutMs } from './shutdown.js';
import type { ReplicaState } from './state.js';
import type { ReplicaRecord } from './storage/records.js';

// What a replica does once its slot was given to another disk, or its process was asked to stop.

const membership = (
  epoch: number,
  disks: Readonly<Record<string, string>>,
  more: Partial<CommittedMembership['value']> = {},
): CommittedMembership => {
  const proposalNumber: ProposalNumber = {
    counter: epoch,
    proposerId: epoch === 1 ? 'founding' : 'agent',
  };
  const addresses = Object.fromEntries(Object.keys(disks).map((member) => [member, member]));
  return { proposalNumber, value: { epoch, disks, addresses, ...more } };
};
const first = membership(1, { a: 'A', b: 'B', c: 'C' });
const predecessors = { d: { disk: 'A', address: 'a' } };
const second = membership(2, { b: 'B', c: 'C', d: 'D' }, { predecessors });
const third = membership(
  3,
  { b: 'B', c: 'C', e: 'E' },
  {
    predecessors: { e: { disk: 'D', address: 'd' } },
  },
);

const pull: ReplicaOperation = { kind: 'poll', cursor: null, keys: [] };
const dump: ReplicaOperation = { kind: 'read-page', after: null };
const prepare: ReplicaOperation = {
  kind: 'prepare',
  key: 'config',
  proposalNumber: { counter: 9, proposerId: 'agent' },
};
const entry: ReplicaOperation = { kind: 'append-entries', entries: [{ key: 'purge/1', value: 1 }] };

/** Records of a replica that voted in the first epoch. */
const recordsOf = (disk: string): readonly ReplicaRecord[] => [
  { kind: 'disk-named', diskId: disk },
  {
    kind: 'register-written',
    key: membershipKey,
    register: { promised: first.proposalNumber, accepted: first },
  },
  { kind: 'membership-committed', membership: first },
  { kind: 'voting-begun' },
];

class ReplicaUnderTest {
  state: ReplicaState;
  readonly records: ReplicaRecord[];
  sent: Extract<ReplicaEffect, { kind: 'send-request' }>[] = [];
  ended = false;
  now = 0;

  constructor(
    readonly address: string,
    records: readonly ReplicaRecord[],
    newDiskId = 'never',
  ) {
    this.records = [...records];
    const bootstrap = { address, seeds: [address], isFirstStart: true };
    const opened = openReplica({
      name: address,
      otherFounders: {},
      bootstrap,
      records,
      newDiskId,
      now: 0,
    });
    this.state = opened.state;
    this.#take(opened.effects);
  }

  #take(effects: readonly ReplicaEffect[]): readonly ReplicaReply[] {
    const replies: ReplicaReply[] = [];
    for (const effect of effects) {
      if (effect.kind === 'append-records') this.records.push(...effect.records);
      if (effect.kind === 'send-request') this.sent.push(effect);
      if (effect.kind === 'exit') this.ended = true;
      if (effect.kind === 'send-reply') replies.push(effect.reply);
    }
    return replies;
  }

  step(event: ReplicaEvent): readonly ReplicaReply[] {
    const done = reduceReplica(this.state, event);
    this.state = done.state;
    return this.#take(done.effects);
  }

  ask(
    members: CommittedMembership,
    call: ReplicaOperation,
    more: Partial<ReplicaRequest> = {},
  ): ReplicaReply | undefined {
    return this.step({
      kind: 'request-received',
      requestId: 1,
      request: { membership: members, operation: call, ...more },
      now: this.now,
    })[0];
  }

  interval(ms = 200): void {
    this.now += ms;
    this.step({ kind: 'tick', now: this.now });
  }

  /** Answers what was asked of a machine last. */
  answer(from: string, reply: ReplicaReply): void {
    const call = this.sent.filter((each) => each.to === from).at(-1);
    if (call === undefined) throw new Error(`nothing was asked of ${from}`);
    this.step({ kind: 'reply-received', requestId: call.requestId, reply: reply, now: this.now });
  }
}

const fetched = (disk: string): ReplicaReply => ({
  kind: 'register-read',
  diskId: disk,
  accepted: null,
});

test('a replaced replica votes no more, and keeps its data, readable, until its successor votes', (t) => {
  const replica = new ReplicaUnderTest('a', recordsOf('A'));
  replica.ask(first, entry);
  t.deepEqual(replica.ask(second, pull), {
    kind: 'not-a-member',
    diskId: 'A',
    isBlank: false,
    knowsMembership: true,
  });
  t.is(replica.ask(second, prepare)?.kind, 'not-a-member');
  t.is(replica.ask(first, prepare)?.kind, 'newer-membership');
  for (const holder of [replica, new ReplicaUnderTest('a', replica.records)]) {
    holder.interval();
    const read = holder.ask(second, dump);
    t.is(read?.kind === 'page-read' ? read.entries.length : 0, 1);
    t.is(read?.kind === 'page-read' ? read.membership?.value.epoch : 0, 2);
    holder.answer('b', fetched('B'));
    holder.answer('c', fetched('C'));
    t.is(holder.ask(second, pull)?.kind, 'not-a-member');
    t.is(
      holder.state.diskId,
      'A',
      'a majority that votes is not enough while the successor may still read',
    );
    holder.answer('d', fetched('D'));
    const blank = { kind: 'not-a-member', diskId: 'A/2', isBlank: true, knowsMembership: true };
    t.deepEqual(holder.ask(second, pull), blank);
    for (const records of [holder.records, [...snapshotRecords(holder.state)]]) {
      const { state } = new ReplicaUnderTest('a', records);
      t.deepEqual(
        [state.diskId, state.hasBegunVoting, state.registers.size, state.entries.length],
        ['A/2', false, 0, 0],
      );
      t.is(state.committedMembership?.value.epoch, 2);
      t.false(reduceReplica(state, { kind: 'tick', now: 5_000 }).state.hasBegunVoting);
    }
  }
});

test('a successor that answers as a blank disk does not vote: the data is kept', (t) => {
  const replica = new ReplicaUnderTest('a', recordsOf('A'));
  replica.ask(second, pull);
  replica.interval();
  replica.answer('d', { kind: 'not-a-member', diskId: 'D', isBlank: true, knowsMembership: true });
  replica.answer('b', fetched('D'));
  t.is(replica.state.diskId, 'A');
});

test('without a successor that votes the data is kept until a majority votes without it', (t) => {
  const replica = new ReplicaUnderTest('a', recordsOf('A'));
  replica.ask(second, pull);
  replica.interval(retiredDataRetentionMs + 200);
  replica.answer('b', fetched('B'));
  t.is(replica.state.diskId, 'A', 'one of three');
  replica.interval(votingEvidenceMaxAgeMs + 200);
  replica.answer('c', fetched('C'));
  t.is(replica.state.diskId, 'A', 'two of three, but not at one time');
  replica.answer('b', fetched('B'));
  t.is(replica.state.diskId, 'A/2');
});

test('a successor that was replaced in its turn is not waited for', (t) => {
  const replica = new ReplicaUnderTest('a', recordsOf('A'));
  replica.ask(second, pull);
  replica.interval();
  replica.answer('b', { kind: 'newer-membership', diskId: 'B', membership: third });
  t.is(replica.state.diskId, 'A');
  replica.interval();
  replica.answer('b', fetched('B'));
  replica.answer('e', fetched('E'));
  t.is(replica.state.diskId, 'A/3');
});

const dumped = (disk: string, members: CommittedMembership): ReplicaReply => ({
  kind: 'page-read',
  diskId: disk,
  membership: members,
  registers: [],
  entries: [],
  nextPage: null,
});

test('a successor votes once it has read its predecessor, or enough other members', (t) => {
  const joining = (): ReplicaUnderTest => {
    const replica = new ReplicaUnderTest('d', [], 'D');
    replica.ask(second, pull);
    t.deepEqual(replica.sent.map((each) => each.to).sort(), ['a', 'b', 'c']);
    t.true(replica.sent.every((each) => each.request.membership?.value.epoch === 2));
    return replica;
  };
  const fromPredecessor = joining();
  fromPredecessor.answer('a', dumped('A', second));
  t.true(fromPredecessor.state.hasBegunVoting);

  const fromOthers = joining();
  fromOthers.answer('b', dumped('B', second));
  t.false(fromOthers.state.hasBegunVoting, 'one of two others');
  fromOthers.answer('c', dumped('C', second));
  t.true(fromOthers.state.hasBegunVoting);

  const fromAnother = joining();
  fromAnother.answer('a', dumped('X', second));
  t.false(fromAnother.state.hasBegunVoting, 'another disk at the address of its predecessor');
});

test('told to stop, a member without a spare ends at once; with one it says so and waits a while', (t) => {
  const alone = new ReplicaUnderTest('a', recordsOf('A'));
  alone.step({ kind: 'stop-requested', now: alone.now });
  t.true(alone.ended);

  const replica = new ReplicaUnderTest('a', recordsOf('A'));
  replica.ask(first, pull, { hasLiveSpare: true });
  replica.step({ kind: 'stop-requested', now: replica.now });
  const answer = replica.ask(first, pull, { hasLiveSpare: true });
  t.true(answer?.kind === 'polled' && answer.isStopping === true);
  replica.interval();
  t.false(replica.ended);
  t.is(replica.ask(first, prepare)?.kind, 'vote', 'it votes on meanwhile');
  replica.interval(handoverTimeoutMs);
  t.true(replica.ended);
});

test('told to stop, a replaced member ends once its successor votes, or has taken too long', (t) => {
  const leaving = (): ReplicaUnderTest => {
    const replica = new ReplicaUnderTest('a', recordsOf('A'));
    replica.ask(first, pull, { hasLiveSpare: true });
    replica.step({ kind: 'stop-requested', now: replica.now });
    replica.ask(second, pull);
    replica.interval();
    t.false(replica.ended);
    return replica;
  };
  const done = leaving();
  done.answer('d', fetched('D'));
  done.interval();
  t.true(done.ended);

  const late = leaving();
  late.interval(retiredDataRetentionMs);
  t.true(late.ended);
  t.is(late.state.diskId, 'A', 'with its data');
});
