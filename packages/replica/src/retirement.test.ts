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

// A replica whose slot was assigned to another disk, or whose process was requested to stop.

const membership = (
  epoch: number,
  disks: Readonly<Record<string, string>>,
  extraFields: Partial<CommittedMembership['value']> = {},
): CommittedMembership => {
  const proposalNumber: ProposalNumber = {
    counter: epoch,
    proposerId: epoch === 1 ? 'founding' : 'agent',
  };
  const addresses = Object.fromEntries(Object.keys(disks).map((member) => [member, member]));
  return { proposalNumber, value: { epoch, disks, addresses, ...extraFields } };
};
const firstMembership = membership(1, { a: 'A', b: 'B', c: 'C' });
const predecessors = { d: { disk: 'A', address: 'a' } };
const secondMembership = membership(2, { b: 'B', c: 'C', d: 'D' }, { predecessors });
const thirdMembership = membership(
  3,
  { b: 'B', c: 'C', e: 'E' },
  {
    predecessors: { e: { disk: 'D', address: 'd' } },
  },
);

const poll: ReplicaOperation = { kind: 'poll', cursor: null, keys: [] };
const readPage: ReplicaOperation = { kind: 'read-page', after: null };
const prepare: ReplicaOperation = {
  kind: 'prepare',
  key: 'config',
  proposalNumber: { counter: 9, proposerId: 'agent' },
};
const appendEntry: ReplicaOperation = {
  kind: 'append-entries',
  entries: [{ key: 'purge/1', value: 1 }],
};

/** Records of a replica that votes in the first epoch. */
const recordsOf = (disk: string): readonly ReplicaRecord[] => [
  { kind: 'disk-named', diskId: disk },
  {
    kind: 'register-written',
    key: membershipKey,
    register: { promised: firstMembership.proposalNumber, accepted: firstMembership },
  },
  { kind: 'membership-committed', membership: firstMembership },
  { kind: 'voting-begun' },
];

/** A replica's reducer with its records, sent requests and a clock that the test sets. */
class ReplicaUnderTest {
  state: ReplicaState;
  readonly records: ReplicaRecord[];
  sent: Extract<ReplicaEffect, { kind: 'send-request' }>[] = [];
  hasExited = false;
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
    this.#apply(opened.effects);
  }

  #apply(effects: readonly ReplicaEffect[]): readonly ReplicaReply[] {
    const replies: ReplicaReply[] = [];
    for (const effect of effects) {
      if (effect.kind === 'append-records') this.records.push(...effect.records);
      if (effect.kind === 'send-request') this.sent.push(effect);
      if (effect.kind === 'exit') this.hasExited = true;
      if (effect.kind === 'send-reply') replies.push(effect.reply);
    }
    return replies;
  }

  step(event: ReplicaEvent): readonly ReplicaReply[] {
    const outcome = reduceReplica(this.state, event);
    this.state = outcome.state;
    return this.#apply(outcome.effects);
  }

  sendRequest(
    membership: CommittedMembership,
    operation: ReplicaOperation,
    extraFields: Partial<ReplicaRequest> = {},
  ): ReplicaReply | undefined {
    return this.step({
      kind: 'request-received',
      requestId: 1,
      request: { membership, operation, ...extraFields },
      now: this.now,
    })[0];
  }

  tickAfter(ms = 200): void {
    this.now += ms;
    this.step({ kind: 'tick', now: this.now });
  }

  /** Replies to the last request that was sent to an address. */
  receiveReplyFrom(from: string, reply: ReplicaReply): void {
    const request = this.sent.filter((each) => each.to === from).at(-1);
    if (request === undefined) throw new Error(`no request was sent to ${from}`);
    this.step({ kind: 'reply-received', requestId: request.requestId, reply, now: this.now });
  }
}

const registerReadBy = (diskId: string): ReplicaReply => ({
  kind: 'register-read',
  diskId,
  accepted: null,
});

test('a retired replica no longer votes, and keeps its data readable until its successor votes', (t) => {
  const replica = new ReplicaUnderTest('a', recordsOf('A'));
  replica.sendRequest(firstMembership, appendEntry);
  t.deepEqual(replica.sendRequest(secondMembership, poll), {
    kind: 'not-a-member',
    diskId: 'A',
    isBlank: false,
    knowsMembership: true,
  });
  t.is(replica.sendRequest(secondMembership, prepare)?.kind, 'not-a-member');
  t.is(replica.sendRequest(firstMembership, prepare)?.kind, 'newer-membership');
  for (const retired of [replica, new ReplicaUnderTest('a', replica.records)]) {
    retired.tickAfter();
    const read = retired.sendRequest(secondMembership, readPage);
    t.is(read?.kind === 'page-read' ? read.entries.length : 0, 1);
    t.is(read?.kind === 'page-read' ? read.membership?.value.epoch : 0, 2);
    retired.receiveReplyFrom('b', registerReadBy('B'));
    retired.receiveReplyFrom('c', registerReadBy('C'));
    t.is(retired.sendRequest(secondMembership, poll)?.kind, 'not-a-member');
    t.is(
      retired.state.diskId,
      'A',
      'erased its data because a majority votes, although the successor may still read it',
    );
    retired.receiveReplyFrom('d', registerReadBy('D'));
    const blank = { kind: 'not-a-member', diskId: 'A/2', isBlank: true, knowsMembership: true };
    t.deepEqual(retired.sendRequest(secondMembership, poll), blank);
    for (const records of [retired.records, [...snapshotRecords(retired.state)]]) {
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

test('a retired replica keeps its data while its successor replies as a blank disk', (t) => {
  const replica = new ReplicaUnderTest('a', recordsOf('A'));
  replica.sendRequest(secondMembership, poll);
  replica.tickAfter();
  replica.receiveReplyFrom('d', {
    kind: 'not-a-member',
    diskId: 'D',
    isBlank: true,
    knowsMembership: true,
  });
  replica.receiveReplyFrom('b', registerReadBy('D'));
  t.is(replica.state.diskId, 'A');
});

test('without a voting successor a retired replica keeps its data until a majority votes without it', (t) => {
  const replica = new ReplicaUnderTest('a', recordsOf('A'));
  replica.sendRequest(secondMembership, poll);
  replica.tickAfter(retiredDataRetentionMs + 200);
  replica.receiveReplyFrom('b', registerReadBy('B'));
  t.is(replica.state.diskId, 'A', 'erased its data although only one of three members votes');
  replica.tickAfter(votingEvidenceMaxAgeMs + 200);
  replica.receiveReplyFrom('c', registerReadBy('C'));
  t.is(
    replica.state.diskId,
    'A',
    'erased its data although two of three members did not vote at the same time',
  );
  replica.receiveReplyFrom('b', registerReadBy('B'));
  t.is(replica.state.diskId, 'A/2');
});

test('a retired replica does not wait for a successor that was itself replaced', (t) => {
  const replica = new ReplicaUnderTest('a', recordsOf('A'));
  replica.sendRequest(secondMembership, poll);
  replica.tickAfter();
  replica.receiveReplyFrom('b', {
    kind: 'newer-membership',
    diskId: 'B',
    membership: thirdMembership,
  });
  t.is(replica.state.diskId, 'A');
  replica.tickAfter();
  replica.receiveReplyFrom('b', registerReadBy('B'));
  replica.receiveReplyFrom('e', registerReadBy('E'));
  t.is(replica.state.diskId, 'A/3');
});

const pageReadBy = (diskId: string, committed: CommittedMembership): ReplicaReply => ({
  kind: 'page-read',
  diskId,
  membership: committed,
  registers: [],
  entries: [],
  nextPage: null,
});

test('a successor votes once it has read its predecessor or enough other members', (t) => {
  const joiningReplica = (): ReplicaUnderTest => {
    const replica = new ReplicaUnderTest('d', [], 'D');
    replica.sendRequest(secondMembership, poll);
    t.deepEqual(replica.sent.map((each) => each.to).sort(), ['a', 'b', 'c']);
    t.true(replica.sent.every((each) => each.request.membership?.value.epoch === 2));
    return replica;
  };
  const fromPredecessor = joiningReplica();
  fromPredecessor.receiveReplyFrom('a', pageReadBy('A', secondMembership));
  t.true(fromPredecessor.state.hasBegunVoting);

  const fromOthers = joiningReplica();
  fromOthers.receiveReplyFrom('b', pageReadBy('B', secondMembership));
  t.false(fromOthers.state.hasBegunVoting, 'votes after reading only one of two other members');
  fromOthers.receiveReplyFrom('c', pageReadBy('C', secondMembership));
  t.true(fromOthers.state.hasBegunVoting);

  const fromOtherDisk = joiningReplica();
  fromOtherDisk.receiveReplyFrom('a', pageReadBy('X', secondMembership));
  t.false(
    fromOtherDisk.state.hasBegunVoting,
    'votes after reading another disk at the address of its predecessor',
  );
});

test('a stopping member exits immediately without a spare; with a spare it reports that it is stopping and waits for a limited time', (t) => {
  const withoutSpare = new ReplicaUnderTest('a', recordsOf('A'));
  withoutSpare.step({ kind: 'stop-requested', now: withoutSpare.now });
  t.true(withoutSpare.hasExited);

  const replica = new ReplicaUnderTest('a', recordsOf('A'));
  replica.sendRequest(firstMembership, poll, { hasLiveSpare: true });
  replica.step({ kind: 'stop-requested', now: replica.now });
  const reply = replica.sendRequest(firstMembership, poll, { hasLiveSpare: true });
  t.true(reply?.kind === 'polled' && reply.isStopping === true);
  replica.tickAfter();
  t.false(replica.hasExited);
  t.is(
    replica.sendRequest(firstMembership, prepare)?.kind,
    'vote',
    'a stopping member does not vote while it waits',
  );
  replica.tickAfter(handoverTimeoutMs);
  t.true(replica.hasExited);
});

test('a stopping replica that was replaced exits once its successor votes or has taken too long', (t) => {
  const stoppingRetired = (): ReplicaUnderTest => {
    const replica = new ReplicaUnderTest('a', recordsOf('A'));
    replica.sendRequest(firstMembership, poll, { hasLiveSpare: true });
    replica.step({ kind: 'stop-requested', now: replica.now });
    replica.sendRequest(secondMembership, poll);
    replica.tickAfter();
    t.false(replica.hasExited);
    return replica;
  };
  const withVotingSuccessor = stoppingRetired();
  withVotingSuccessor.receiveReplyFrom('d', registerReadBy('D'));
  withVotingSuccessor.tickAfter();
  t.true(withVotingSuccessor.hasExited);

  const withoutSuccessor = stoppingRetired();
  withoutSuccessor.tickAfter(retiredDataRetentionMs);
  t.true(withoutSuccessor.hasExited);
  t.is(withoutSuccessor.state.diskId, 'A', 'erased its data at exit');
});
