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

const seededRandom = (seed: number): (() => number) => {
  let state = seed + 1;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 4_294_967_296;
  };
};
/** A request or a reply in flight. */
type Message = {
  readonly to: string;
  readonly from: string;
  readonly id: number;
  readonly request?: ReplicaRequest;
  readonly reply?: ReplicaReply;
};

/** Replicas in a network where any message may arrive next or get lost. */
class SimulatedNetwork {
  readonly states = new Map<string, ReplicaState>();
  readonly disks = new Map<string, ReplicaRecord[]>();
  inFlight: Message[] = [];
  now = 0;
  readonly #senders = new Map<string, { from: string; id: number }>();
  #requestCount = 0;
  #incarnations = 0;
  constructor(
    readonly names: readonly string[],
    readonly random: () => number,
  ) {
    names.forEach((name) => this.open(name));
  }

  open(name: string): void {
    this.#incarnations += 1;
    const others = Object.fromEntries(
      this.names.filter((each) => each !== name).map((each) => [each, each]),
    );
    const opened = openReplica({
      name,
      otherFounders: others,
      records: this.disks.get(name) ?? [],
      newDiskId: `disk-${this.#incarnations}`,
      now: this.now,
    });
    this.states.set(name, opened.state);
    this.applyEffects(name, opened.effects);
  }
  wipe(name: string): void {
    this.disks.set(name, []);
    this.inFlight = this.inFlight.filter((each) => each.from !== name && each.to !== name);
    this.open(name);
  }

  applyEffects(name: string, effects: readonly ReplicaEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === 'append-records')
        this.disks.set(name, [...(this.disks.get(name) ?? []), ...effect.records]);
      if (effect.kind === 'send-request')
        this.inFlight.push({
          to: effect.to,
          from: name,
          id: effect.requestId,
          request: effect.request,
        });
      if (effect.kind === 'send-reply') {
        const sender = this.#senders.get(`${name}/${effect.requestId}`);
        if (sender !== undefined)
          this.inFlight.push({ to: sender.from, from: name, id: sender.id, reply: effect.reply });
      }
    }
  }
  step(name: string, event: ReplicaEvent): void {
    const state = this.states.get(name);
    if (state === undefined) return;
    const outcome = reduceReplica(state, event);
    this.states.set(name, outcome.state);
    this.applyEffects(name, outcome.effects);
  }
  /** Makes a random replica tick, or delivers or loses a random message. */
  runStep(lossRate: number): void {
    this.now += 20;
    const choice = this.random();
    if (this.inFlight.length === 0 || choice < 0.3) {
      this.step(this.names[Math.floor(this.random() * this.names.length)] ?? '', {
        kind: 'tick',
        now: this.now,
      });
      return;
    }
    const [message] = this.inFlight.splice(Math.floor(this.random() * this.inFlight.length), 1);
    if (message === undefined) return;
    if (this.random() < lossRate) {
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
    this.#requestCount += 1;
    this.#senders.set(`${message.to}/${this.#requestCount}`, {
      from: message.from,
      id: message.id,
    });
    if (message.request !== undefined)
      this.step(message.to, {
        kind: 'request-received',
        requestId: this.#requestCount,
        request: message.request,
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

test('founders agree on the same membership whatever the order of messages and whichever are lost', (t) => {
  for (let seed = 0; seed < 400; seed += 1) {
    const network = new SimulatedNetwork(
      seed % 2 === 0 ? ['a', 'b', 'c'] : ['a', 'b', 'c', 'd', 'e'],
      seededRandom(seed),
    );
    for (let step = 0; step < 900; step += 1) network.runStep(seed % 4 < 2 ? 0 : 0.15);
    const members = network.members();
    t.true(
      [...network.states.values()].every((state) => state.hasBegunVoting),
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

test('a wiped replica does not vote until the membership names its new disk and it has read the others', (t) => {
  const network = new SimulatedNetwork(['a', 'b', 'c'], seededRandom(7));
  for (let step = 0; step < 600; step += 1) network.runStep(0);
  const before = network.members()[0];
  network.wipe('c');
  for (let step = 0; step < 600; step += 1) network.runStep(0.1);
  t.false(network.states.get('c')?.hasBegunVoting);
  const nextMembership = {
    proposalNumber: { counter: 9, proposerId: 'agent' } as const,
    value: {
      epoch: (before?.epoch ?? 0) + 1,
      disks: { ...before?.disks, c: network.states.get('c')?.diskId ?? '' },
    },
  };
  network.step('c', {
    kind: 'request-received',
    requestId: 9_999,
    request: { membership: nextMembership, operation: { kind: 'poll', cursor: null, keys: [] } },
    now: network.now,
  });
  for (let step = 0; step < 600; step += 1) network.runStep(0.1);
  t.true(network.states.get('c')?.hasBegunVoting);
  // The replicas that it read had received the new membership first, so none still has the old
  // epoch.
  t.true(network.members().every((each) => each?.epoch === nextMembership.value.epoch));
});

test('a disk may begin to vote, or found the cluster, only once it has read enough of the others', (t) => {
  const disks = { a: '1', b: '2', c: '3', d: '4', e: '5' };
  const peerRead = (
    state: 'reading' | 'blank' | 'done',
    diskId: string,
    epoch = 2,
  ): { state: 'reading' | 'blank' | 'done'; diskId: string; epoch: number } => ({
    state,
    diskId,
    epoch,
  });
  const decide = (
    diskId: string,
    peers: Parameters<typeof decideVoting>[0]['peers'],
    epoch = 2,
  ): ReturnType<typeof decideVoting> =>
    decideVoting({ slot: 'a', diskId, membership: { epoch, disks }, peers });
  t.is(
    decide('1', {
      b: peerRead('done', '2'),
      c: peerRead('done', '3'),
      d: peerRead('done', '4'),
      e: peerRead('reading', ''),
    }),
    'vote',
  );
  t.is(
    decide('1', {
      b: peerRead('done', '2'),
      c: peerRead('done', '3'),
      d: peerRead('reading', ''),
      e: peerRead('reading', ''),
    }),
    'wait',
  );
  t.is(
    decide('1', {
      b: peerRead('done', '2', 1),
      c: peerRead('done', '3'),
      d: peerRead('done', '4'),
      e: peerRead('reading', ''),
    }),
    'wait',
  );
  t.is(
    decide('1', {
      b: peerRead('done', 'old'),
      c: peerRead('done', '3'),
      d: peerRead('done', '4'),
      e: peerRead('reading', ''),
    }),
    'wait',
  );
  t.is(
    decide('new', {
      b: peerRead('done', '2'),
      c: peerRead('done', '3'),
      d: peerRead('done', '4'),
      e: peerRead('done', '5'),
    }),
    'wait',
  );
  t.is(
    decide('new', {
      b: peerRead('blank', '8'),
      c: peerRead('blank', '9'),
      d: peerRead('done', '4'),
      e: peerRead('done', '5'),
    }),
    'found',
  );
  t.is(
    decide('new', {
      b: peerRead('blank', '8'),
      c: peerRead('reading', ''),
      d: peerRead('done', '4'),
      e: peerRead('done', '5'),
    }),
    'wait',
  );
});

test('a replica that knows a newer membership rejects a client that counts votes by an older one', (t) => {
  const network = new SimulatedNetwork(['a', 'b', 'c'], seededRandom(3));
  for (let step = 0; step < 600; step += 1) network.runStep(0);
  const [members] = network.members();
  const proposalNumber = network.states.get('a')?.registers.get(membershipKey)?.accepted
    ?.proposalNumber ?? { counter: 0, proposerId: '' };
  const replyAtEpoch = (epoch: number): ReplicaReply | undefined => {
    const state = network.states.get('a');
    if (state === undefined || members === undefined) return undefined;
    const { effects } = reduceReplica(state, {
      kind: 'request-received',
      requestId: 1,
      request: {
        membership: { proposalNumber, value: { ...members, epoch } },
        operation: { kind: 'poll', cursor: null, keys: [] },
      },
      now: network.now,
    });
    return effects.flatMap((effect) => (effect.kind === 'send-reply' ? [effect.reply] : []))[0];
  };
  t.is(replyAtEpoch(members?.epoch ?? 0)?.kind, 'polled');
  t.is(replyAtEpoch((members?.epoch ?? 0) - 1)?.kind, 'newer-membership');
});

test('the last journal sequence survives a restart, so that no cursor skips an entry', (t) => {
  const network = new SimulatedNetwork(['a'], seededRandom(1));
  network.step('a', { kind: 'tick', now: 100 });
  const members = {
    proposalNumber: { counter: 1, proposerId: 'founding' } as const,
    value: network.members()[0] as Membership,
  };
  const appendEntry = (key: string, requestId: number): void =>
    network.step('a', {
      kind: 'request-received',
      requestId,
      request: {
        membership: members,
        operation: { kind: 'append-entries', entries: [{ key, value: 1 }] },
      },
      now: network.now,
    });
  appendEntry('purge/1', 1);
  appendEntry('purge/2', 2);
  const state = network.states.get('a');
  if (state === undefined) {
    t.fail();
    return;
  }
  // All entries expire, then a snapshot is written, then the replica restarts.
  const expiredState = reduceReplica(state, { kind: 'tick', now: 1e9 }).state;
  t.is(expiredState.entries.length, 0);
  network.disks.set('a', [...snapshotRecords(expiredState)]);
  network.open('a');
  appendEntry('purge/3', 3);
  t.is(network.states.get('a')?.entries[0]?.sequence, 3);
});

test('many claims are read page by page while more are written, expire after an hour, and are refused beyond the limit', (t) => {
  const network = new SimulatedNetwork(['a'], seededRandom(1));
  network.step('a', { kind: 'tick', now: 100 });
  const members = {
    proposalNumber: { counter: 1, proposerId: 'founding' } as const,
    value: network.members()[0] as Membership,
  };
  const disk = network.states.get('a')?.diskId ?? '';
  let state = network.states.get('a') as ReplicaState;
  const handleEvent = (event: ReplicaEvent): readonly ReplicaReply[] => {
    const step = reduceReplica(state, event);
    state = step.state;
    return step.effects.flatMap((effect) => (effect.kind === 'send-reply' ? [effect.reply] : []));
  };
  const sendRequest = (
    operation: ReplicaRequest['operation'],
    now: number,
  ): ReplicaReply | undefined =>
    handleEvent({
      kind: 'request-received',
      requestId: 1,
      request: { membership: members, operation },
      now,
    })[0];
  const writeClaim = (index: number, now: number): void => {
    sendRequest(
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
  for (let index = 0; index < count; index += 1) writeClaim(index, 1_000);
  const readKeys = new Set<string>();
  let after: string | null = null;
  for (let pages = 0; pages < 10; pages += 1) {
    const reply = sendRequest({ kind: 'read-page', after }, 2_000);
    if (reply?.kind !== 'page-read') {
      t.fail();
      return;
    }
    reply.registers.forEach(([key]) => readKeys.add(key));
    after = reply.nextPage;
    if (after === null) break;
    writeClaim(count + pages, 2_000);
  }
  t.is(after, null);
  for (let index = 0; index < count; index += 1) t.true(readKeys.has(`claim/k${index}`));
  t.deepEqual(state.openPageReads, {});

  // A claim that was written again late in the hour is kept; the others expire over several sweeps.
  writeClaim(0, 3_000_000);
  const afterExpiry = 1_000 + claimRetentionMs + 120_000;
  for (let sweeps = 0; sweeps < 3; sweeps += 1)
    handleEvent({ kind: 'tick', now: afterExpiry + 2_000 * sweeps });
  t.deepEqual(
    [...state.registers.keys()].filter((key) => key.startsWith('claim/')),
    ['claim/k0'],
  );
  t.is(state.claimKeysByMinute.size, 1);

  const fullState = {
    ...state,
    claimMinuteByKey: {
      ...state.claimMinuteByKey,
      size: maxClaims,
    } as ReplicaState['claimMinuteByKey'],
  };
  const replyKindToPrepare = (key: string): string | undefined =>
    reduceReplica(fullState, {
      kind: 'request-received',
      requestId: 1,
      request: {
        membership: members,
        operation: { kind: 'prepare', key, proposalNumber: { counter: 9, proposerId: 'x' } },
      },
      now: afterExpiry,
    }).effects.flatMap((effect) => (effect.kind === 'send-reply' ? [effect.reply.kind] : []))[0];
  t.is(replyKindToPrepare('claim/new'), 'too-many-claims');
  t.is(replyKindToPrepare('policy'), 'vote');
});
