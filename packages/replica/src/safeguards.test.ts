/**
 * Safeguards of the replica, each at the border of its reducer: red without the one that it names.
 */
import test from 'ava';
import {
  Replica,
  membersKey,
  type ReplicaCall,
  type ReplicaRecord,
  type ReplicaReply,
  type ReplicaState,
  type CommittedMembership,
} from './index.js';

const membership: CommittedMembership = {
  ballot: [1, 'founding'],
  value: {
    epoch: 1,
    disks: { a: 'disk-a', b: 'disk-b', c: 'disk-c' },
    addresses: { a: 'a', b: 'b', c: 'c' },
  },
};
const memberRecords: readonly ReplicaRecord[] = [
  { kind: 'disk', disk: 'disk-a' },
  { kind: 'cell', key: membersKey, cell: { promised: membership.ballot, accepted: membership } },
  { kind: 'told', members: membership },
  { kind: 'voting' },
];

const opened = (records: readonly ReplicaRecord[]): ReplicaState => {
  const seeded = { address: 'a', seeds: ['a', 'b', 'c'], firstStart: false };
  return Replica.open({ name: 'a', others: {}, seeded, records, freshDisk: 'never', now: 0 }).state;
};

type Answered = {
  readonly state: ReplicaState;
  readonly reply: ReplicaReply | undefined;
  readonly records: readonly ReplicaRecord[];
};

const asked = (state: ReplicaState, call: ReplicaCall): Answered => {
  const body = { members: membership, call };
  const done = Replica.reduce(state, { kind: 'asked', id: 1, body, now: 1 });
  const replies = done.effects.flatMap((effect) => (effect.kind === 'tell' ? [effect.body] : []));
  const records = done.effects.flatMap((effect) =>
    effect.kind === 'append' ? effect.records : [],
  );
  return { state: done.state, reply: replies[0], records };
};

const acceptBy = (disk: string): ReplicaCall => ({
  kind: 'accept',
  key: 'policy',
  ballot: [2, 'p'],
  value: 'new',
  disk,
});

test('an accept that rests on the promise of another disk is refused, and leaves nothing on this one', (t) => {
  const foreign = asked(opened(memberRecords), acceptBy('disk-of-another-life'));
  t.is(foreign.reply?.kind, 'away');
  t.deepEqual(foreign.records, []);
  const own = asked(opened(memberRecords), acceptBy('disk-a'));
  t.is(own.reply?.kind, 'vote');
  t.is(own.records.length, 1);
});

const pull = (disk: string, seq: number): ReplicaCall => ({
  kind: 'pull',
  cursor: { disk, seq },
  keys: [],
});

test('a reader with the cursor of another disk is given the journal from its beginning', (t) => {
  const entries = [1, 2, 3].map((seq) => ({
    kind: 'fact' as const,
    seq: 10 + seq,
    fact: { key: `purge/${seq}`, value: seq },
  }));
  const state = opened([...memberRecords, ...entries]);
  const given = (disk: string, seq: number): readonly unknown[] => {
    const { reply } = asked(state, pull(disk, seq));
    return reply?.kind === 'pulled' ? reply.facts.map((fact) => fact.value) : [];
  };
  t.deepEqual(given('disk-a', 12), [3]);
  t.deepEqual(given('disk-of-another-life', 12), [1, 2, 3]);
});
