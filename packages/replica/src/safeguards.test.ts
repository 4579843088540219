/**
 * Safeguards of the replica's reducer: each test fails if the safeguard that it names is removed.
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
  { kind: 'membership-committed', membership },
  { kind: 'voting-begun' },
];

const openState = (records: readonly ReplicaRecord[]): ReplicaState => {
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

/** The outcome of one request. */
type RequestOutcome = {
  readonly state: ReplicaState;
  readonly reply: ReplicaReply | undefined;
  readonly records: readonly ReplicaRecord[];
};

const sendRequest = (state: ReplicaState, operation: ReplicaOperation): RequestOutcome => {
  const request = { membership, operation };
  const step = reduceReplica(state, {
    kind: 'request-received',
    requestId: 1,
    request,
    now: 1,
  });
  const replies = step.effects.flatMap((effect) =>
    effect.kind === 'send-reply' ? [effect.reply] : [],
  );
  const records = step.effects.flatMap((effect) =>
    effect.kind === 'append-records' ? effect.records : [],
  );
  return { state: step.state, reply: replies[0], records };
};

const acceptFor = (diskId: string): ReplicaOperation => ({
  kind: 'accept',
  key: 'policy',
  proposalNumber: { counter: 2, proposerId: 'p' },
  value: 'new',
  diskId,
});

test('an accept for the promise of another disk is rejected, and writes nothing to this disk', (t) => {
  const foreignOutcome = sendRequest(
    openState(memberRecords),
    acceptFor('disk-of-another-incarnation'),
  );
  t.is(foreignOutcome.reply?.kind, 'not-a-member');
  t.deepEqual(foreignOutcome.records, []);
  const ownOutcome = sendRequest(openState(memberRecords), acceptFor('disk-a'));
  t.is(ownOutcome.reply?.kind, 'vote');
  t.is(ownOutcome.records.length, 1);
});

const pollFrom = (diskId: string, sequence: number): ReplicaOperation => ({
  kind: 'poll',
  cursor: { diskId, sequence },
  keys: [],
});

test('a reader with a cursor of another disk receives the journal from its beginning', (t) => {
  const entries = [1, 2, 3].map((sequence) => ({
    kind: 'entry-appended' as const,
    sequence: 10 + sequence,
    entry: { key: `purge/${sequence}`, value: sequence },
  }));
  const state = openState([...memberRecords, ...entries]);
  const valuesAfter = (diskId: string, sequence: number): readonly unknown[] => {
    const { reply } = sendRequest(state, pollFrom(diskId, sequence));
    return reply?.kind === 'polled' ? reply.entries.map((entry) => entry.value) : [];
  };
  t.deepEqual(valuesAfter('disk-a', 12), [3]);
  t.deepEqual(valuesAfter('disk-of-another-incarnation', 12), [1, 2, 3]);
});
