import test from 'ava';
import { claimRetentionMs } from './claim-expiry.js';
import type { ReplicaEffect, ReplicaEvent } from './events.js';
import { type Membership, membershipKey } from './membership.js';
import type { ReplicaReply, ReplicaRequest } from './messages.js';
import { openReplica, snapshotRecords } from './open-replica.js';
import { registersPerPage } from './page-read-handler.js';
import { reduceReplica } from './reducer.js';
import { maxClaims } from './registers.js';
import type { ReplicaState } from './state.js';
import type { ReplicaRecord } from './storage/records.js';
import { decideVoting } from './voting-decision.js';

const chanceFrom = (seed: number): (() => number) => {
  let state = seed + 1;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 4_294_967_296;
  };
};
type Flying = {
  readonly to: string;
  readonly from: string;
  readonly id: number;
  readonly ask?: ReplicaRequest;
  readonly reply?: ReplicaReply;
};

/** Replicas that talk over a bench where any message may come next, or get lost. */
class Bench {
  readonly states = new Map<string, ReplicaState>();
  readonly disks = new Map<string, ReplicaRecord[]>();
  flying: Flying[] = [];
  now = 0;
  readonly #asking = new Map<string, { from: string; id: number }>();
  #asks = 0;
  #lives = 0;
  constructor(
    readonly names: readonly string[],
    readonly chance: () => number,
  ) {
    names.forEach((name) => this.open(name));
  }

  open(name: string): void {
    this.#lives += 1;
    const others = Object.fromEntries(
      this.names.filter((each) => each !== name).map((each) => [each, each]),
    );
    const opened = openReplica({
      name,
      otherFounders: others,
      records: this.disks.get(name) ?? [],
      newDiskId: `disk-${this.#lives}`,
      now: this.now,
    });
    this.states.set(name, opened.state);
    this.perform(name, opened.effects);
  }
  wipe(name: string): void {
    this.disks.set(name, []);
    this.flying = this.flying.filter((each) => each.from !== name && each.to !== name);
    this.open(name);
  }

  perform(name: string, effects: readonly ReplicaEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === 'append-records')
        this.disks.set(name, [...(this.disks.get(name) ?? []), ...effect.records]);
      if (effect.kind === 'send-request')
        this.flying.push({ to: effect.to, from: name, id: effect.requestId, ask: effect.request });
      if (effect.kind === 'send-reply') {
        const asker = this.#asking.get(`${name}/${effect.requestId}`);
        if (asker !== undefined)
          this.flying.push({ to: asker.from, from: name, id: asker.id, reply: effect.reply });
      }
    }
  }
  step(name: string, event: ReplicaEvent): void {
    const state = this.states.get(name);
    if (state === undefined) return;
    const done = reduceReplica(state, event);
    this.states.set(name, done.state);
    this.perform(name, done.effects);
  }
  /** One thing happens: a beat somewhere, or a message comes or is lost. */
  tick(loss: number): void {
    this.now += 20;
    const draw = this.chance();
    if (this.flying.length === 0 || draw < 0.3) {
      this.step(this.names[Math.floor(this.chance() * this.names.length)] ?? '', {
        kind: 'tick',
        now: this.now,
      });
      return;
    }
    const [message] = this.flying.splice(Math.floor(this.chance() * this.flying.length), 1);
    if (message === undefined) return;
    if (this.chance() < loss) {
      if (message.reply === undefined)
        this.step(message.from, { kind: 'request-failed', requestId: message.id, now: this.now });
      else this.step(message.to, { kind: 'request-failed', requestId: message.id, now: this.now });
      return;
    }
    if (message.reply !== undefined) {
      this.step(message.to, {
        kind: 'reply-received',
        requestId: message.id,
        reply: message.reply,
        now: this.now,
      });
      return;
    }
    this.#asks += 1;
    this.#asking.set(`${message.to}/${this.#asks}`, { from: message.from, id: message.id });
    if (message.ask !== undefined)
      this.step(message.to, {
        kind: 'request-received',
        requestId: this.#asks,
        request: message.ask,
        now: this.now,
      });
  }
  members(): readonly (Membership | undefined)[] {
    return this.names.map(
      (name) =>
        this.states.get(name)?.registers.get(membershipKey)?.accepted?.value as
          Membership | undefined,
    );
  }
}

test('founding: in whatever order they hear of each other, and whatever is lost, all come to the same members', (t) => {
  for (let seed = 0; seed < 400; seed += 1) {
    const bench = new Bench(
      seed % 2 === 0 ? ['a', 'b', 'c'] : ['a', 'b', 'c', 'd', 'e'],
      chanceFrom(seed),
    );
    for (let each = 0; each < 900; each += 1) bench.tick(seed % 4 < 2 ? 0 : 0.15);
    const members = bench.members();
    t.true(
      [...bench.states.values()].every((state) => state.hasBegunVoting),
      `seed ${seed}`,
    );
    t.is(
      new Set(
        members.map((each) =>
          JSON.stringify([each?.epoch, Object.entries(each?.disks ?? {}).sort()]),
        ),
      ).size,
      1,
      `seed ${seed}`,
    );
  }
});

test('a wiped replica does not vote until the members name its new disk and it has read the others', (t) => {
  const bench = new Bench(['a', 'b', 'c'], chanceFrom(7));
  for (let each = 0; each < 600; each += 1) bench.tick(0);
  const before = bench.members()[0];
  bench.wipe('c');
  for (let each = 0; each < 600; each += 1) bench.tick(0.1);
  t.false(bench.states.get('c')?.hasBegunVoting);
  const told = {
    proposalNumber: { counter: 9, proposerId: 'agent' } as const,
    value: {
      epoch: (before?.epoch ?? 0) + 1,
      disks: { ...before?.disks, c: bench.states.get('c')?.diskId ?? '' },
    },
  };
  bench.step('c', {
    kind: 'request-received',
    requestId: 9_999,
    request: { membership: told, operation: { kind: 'poll', cursor: null, keys: [] } },
    now: bench.now,
  });
  for (let each = 0; each < 600; each += 1) bench.tick(0.1);
  t.true(bench.states.get('c')?.hasBegunVoting);
  // Whom it read was told first: nobody of them goes on in the old epoch.
  t.true(bench.members().every((each) => each?.epoch === told.value.epoch));
});

test('when a disk that does not vote may come to do so', (t) => {
  const disks = { a: '1', b: '2', c: '3', d: '4', e: '5' };
  const other = (
    state: 'reading' | 'blank' | 'done',
    diskId: string,
    epoch = 2,
  ): { state: 'reading' | 'blank' | 'done'; diskId: string; epoch: number } => ({
    state,
    diskId,
    epoch,
  });
  const me = (
    name: string,
    others: Parameters<typeof decideVoting>[0]['peers'],
    epoch = 2,
  ): ReturnType<typeof decideVoting> =>
    decideVoting({ slot: 'a', diskId: name, membership: { epoch, disks }, peers: others });
  t.is(
    me('1', {
      b: other('done', '2'),
      c: other('done', '3'),
      d: other('done', '4'),
      e: other('reading', ''),
    }),
    'vote',
  );
  t.is(
    me('1', {
      b: other('done', '2'),
      c: other('done', '3'),
      d: other('reading', ''),
      e: other('reading', ''),
    }),
    'wait',
  );
  t.is(
    me('1', {
      b: other('done', '2', 1),
      c: other('done', '3'),
      d: other('done', '4'),
      e: other('reading', ''),
    }),
    'wait',
  );
  t.is(
    me('1', {
      b: other('done', 'old'),
      c: other('done', '3'),
      d: other('done', '4'),
      e: other('reading', ''),
    }),
    'wait',
  );
  t.is(
    me('new', {
      b: other('done', '2'),
      c: other('done', '3'),
      d: other('done', '4'),
      e: other('done', '5'),
    }),
    'wait',
  );
  t.is(
    me('new', {
      b: other('blank', '8'),
      c: other('blank', '9'),
      d: other('done', '4'),
      e: other('done', '5'),
    }),
    'found',
  );
  t.is(
    me('new', {
      b: other('blank', '8'),
      c: other('reading', ''),
      d: other('done', '4'),
      e: other('done', '5'),
    }),
    'wait',
  );
});

test('a replica that knows newer members refuses a caller that counts by older ones', (t) => {
  const bench = new Bench(['a', 'b', 'c'], chanceFrom(3));
  for (let each = 0; each < 600; each += 1) bench.tick(0);
  const [members] = bench.members();
  const proposalNumber = bench.states.get('a')?.registers.get(membershipKey)?.accepted
    ?.proposalNumber ?? { counter: 0, proposerId: '' };
  const asked = (epoch: number): ReplicaReply | undefined => {
    const state = bench.states.get('a');
    if (state === undefined || members === undefined) return undefined;
    const { effects } = reduceReplica(state, {
      kind: 'request-received',
      requestId: 1,
      request: {
        membership: { proposalNumber, value: { ...members, epoch } },
        operation: { kind: 'poll', cursor: null, keys: [] },
      },
      now: bench.now,
    });
    return effects.flatMap((effect) => (effect.kind === 'send-reply' ? [effect.reply] : []))[0];
  };
  t.is(asked(members?.epoch ?? 0)?.kind, 'polled');
  t.is(asked((members?.epoch ?? 0) - 1)?.kind, 'newer-membership');
});

test('a place on the board survives a restart, so no cursor skips a fact', (t) => {
  const bench = new Bench(['a'], chanceFrom(1));
  bench.step('a', { kind: 'tick', now: 100 });
  const members = {
    proposalNumber: { counter: 1, proposerId: 'founding' } as const,
    value: bench.members()[0] as Membership,
  };
  const post = (key: string, id: number): void =>
    bench.step('a', {
      kind: 'request-received',
      requestId: id,
      request: {
        membership: members,
        operation: { kind: 'append-entries', entries: [{ key, value: 1 }] },
      },
      now: bench.now,
    });
  post('purge/1', 1);
  post('purge/2', 2);
  const state = bench.states.get('a');
  if (state === undefined) {
    t.fail();
    return;
  }
  // Everything aged away, then a snapshot, then a restart.
  const aged = reduceReplica(state, { kind: 'tick', now: 1e9 }).state;
  t.is(aged.entries.length, 0);
  bench.disks.set('a', [...snapshotRecords(aged)]);
  bench.open('a');
  post('purge/3', 3);
  t.is(bench.states.get('a')?.entries[0]?.sequence, 3);
});

test('many claims: read page by page while more are written, let go after an hour, and refused when there is no room', (t) => {
  const bench = new Bench(['a'], chanceFrom(1));
  bench.step('a', { kind: 'tick', now: 100 });
  const members = {
    proposalNumber: { counter: 1, proposerId: 'founding' } as const,
    value: bench.members()[0] as Membership,
  };
  const disk = bench.states.get('a')?.diskId ?? '';
  let state = bench.states.get('a') as ReplicaState;
  const act = (event: ReplicaEvent): readonly ReplicaReply[] => {
    const step = reduceReplica(state, event);
    state = step.state;
    return step.effects.flatMap((effect) => (effect.kind === 'send-reply' ? [effect.reply] : []));
  };
  const ask = (call: ReplicaRequest['operation'], now: number): ReplicaReply | undefined =>
    act({
      kind: 'request-received',
      requestId: 1,
      request: { membership: members, operation: call },
      now,
    })[0];
  const claim = (index: number, now: number): void => {
    ask(
      {
        kind: 'accept',
        key: `claim/k${index}`,
        proposalNumber: { counter: 1, proposerId: 'x' },
        value: index,
        diskId: disk,
      },
      now,
    );
  };
  const count = Math.floor(2.5 * registersPerPage);
  for (let index = 0; index < count; index += 1) claim(index, 1_000);
  const got = new Set<string>();
  let after: string | null = null;
  for (let pages = 0; pages < 10; pages += 1) {
    const reply = ask({ kind: 'read-page', after }, 2_000);
    if (reply?.kind !== 'page-read') {
      t.fail();
      return;
    }
    reply.registers.forEach(([key]) => got.add(key));
    after = reply.nextPage;
    if (after === null) break;
    claim(count + pages, 2_000);
  }
  t.is(after, null);
  for (let index = 0; index < count; index += 1) t.true(got.has(`claim/k${index}`));
  t.deepEqual(state.openPageReads, {});

  // A claim written again late in the hour stays; the others go, some in each sweep.
  claim(0, 3_000_000);
  const over = 1_000 + claimRetentionMs + 120_000;
  for (let sweeps = 0; sweeps < 3; sweeps += 1) act({ kind: 'tick', now: over + 2_000 * sweeps });
  t.deepEqual(
    [...state.registers.keys()].filter((key) => key.startsWith('claim/')),
    ['claim/k0'],
  );
  t.is(state.claimKeysByMinute.size, 1);

  const full = {
    ...state,
    claimMinuteByKey: {
      ...state.claimMinuteByKey,
      size: maxClaims,
    } as ReplicaState['claimMinuteByKey'],
  };
  const prepared = (key: string): string | undefined =>
    reduceReplica(full, {
      kind: 'request-received',
      requestId: 1,
      request: {
        membership: members,
        operation: { kind: 'prepare', key, proposalNumber: { counter: 9, proposerId: 'x' } },
      },
      now: over,
    }).effects.flatMap((effect) => (effect.kind === 'send-reply' ? [effect.reply.kind] : []))[0];
  t.is(prepared('claim/new'), 'too-many-claims');
  t.is(prepared('policy'), 'vote');
});
