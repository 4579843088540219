/**
 * Safeguards of the replica, each at the border of its reducer: red without the one that it names.
 */
import test from 'ava';
import {
  type CommittedMembership,
  membershipKey,
  type ReplicaOperation,
  type ReplicaRecord,
  type ReplicaReply,
  type ReplicaState,
} from './index.js';
import { openReplica } from './open-replica.js';
import { reduceReplica } from './reducer.js';

const membership: CommittedMembership = {
  proposalNumber: { counter: 1, proposerId: 'founding' },
  value: {
    epoch: 1,
    disks: { a: 'disk-a', b: 'disk-b', c: 'disk-c' },
    addresses: { a: 'a', b: 'b', c: 'c' },
  },
};
const memberRecords: readonly ReplicaRecord[] = [
  { kind: 'disk-named', diskId: 'disk-a' },
  {
    kind: 'register-written',
    key: membershipKey,
    register: { promised: membership.proposalNumber, accepted: membership },
  },
  { kind: 'membership-committed', membership: membership },
  { kind: 'voting-begun' },
];

const opened = (records: readonly ReplicaRecord[]): ReplicaState => {
  const bootstrap = { address: 'a', seeds: ['a', 'b', 'c'], isFirstStart: false };
  return openReplica({
    name: 'a',
    otherFounders: {},
    bootstrap,
    records,
    newDiskId: 'never',
    now: 0,
  }).state;
};

type Answered = {
  readonly state: ReplicaState;
  readonly reply: ReplicaReply | undefined;
  readonly records: readonly ReplicaRecord[];
};

const asked = (state: ReplicaState, call: ReplicaOperation): Answered => {
  const body = { membership, operation: call };
  const done = reduceReplica(state, {
    kind: 'request-received',
    requestId: 1,
    request: body,
    now: 1,
  });
  const replies = done.effects.flatMap((effect) =>
    effect.kind === 'send-reply' ? [effect.reply] : [],
  );
  const records = done.effects.flatMap((effect) =>
    effect.kind === 'append-records' ? effect.records : [],
  );
  return { state: done.state, reply: replies[0], records };
};

const acceptBy = (disk: string): ReplicaOperation => ({
  kind: 'accept',
  key: 'policy',
  proposalNumber: { counter: 2, proposerId: 'p' },
  value: 'new',
  diskId: disk,
});

test('an accept that rests on the promise of another disk is refused, and leaves nothing on this one', (t) => {
  const foreign = asked(opened(memberRecords), acceptBy('disk-of-another-life'));
  t.is(foreign.reply?.kind, 'not-a-member');
  t.deepEqual(foreign.records, []);
  const own = asked(opened(memberRecords), acceptBy('disk-a'));
  t.is(own.reply?.kind, 'vote');
  t.is(own.records.length, 1);
});

const pull = (disk: string, sequence: number): ReplicaOperation => ({
  kind: 'poll',
  cursor: { diskId: disk, sequence },
  keys: [],
});

test('a reader with the cursor of another disk is given the journal from its beginning', (t) => {
  const entries = [1, 2, 3].map((sequence) => ({
    kind: 'entry-appended' as const,
    sequence: 10 + sequence,
    entry: { key: `purge/${sequence}`, value: sequence },
  }));
  const state = opened([...memberRecords, ...entries]);
  const given = (disk: string, sequence: number): readonly unknown[] => {
    const { reply } = asked(state, pull(disk, sequence));
    return reply?.kind === 'polled' ? reply.entries.map((entry) => entry.value) : [];
  };
  t.deepEqual(given('disk-a', 12), [3]);
  t.deepEqual(given('disk-of-another-life', 12), [1, 2, 3]);
});
