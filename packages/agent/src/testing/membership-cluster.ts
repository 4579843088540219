/**
 * Test support: replicas with their disks, clients, and the messages between them.
 *
 * The replicas are the product's reducer, opened from the records that their disks kept. A cluster
 * holds only immutable values, so `fork` costs nothing and a search can try every next step.
 */
import {
  openReplica,
  reduceReplica,
  type ReplicaEffect,
  type ReplicaEvent,
  type ReplicaRecord,
  type ReplicaState,
} from '@reedyard/replica';
import type { Client, ClientEffect, ClientEvent } from './membership-client-types.js';
import { openClient, reduceClient } from './membership-client.js';
import { foundReplicas } from './membership-founding.js';
import {
  beginHistory,
  checkLease,
  checkQuorums,
  type History,
  noteAccept,
  noteAppended,
  noteBegun,
  noteChosen,
  noteLivesMixed,
  notePosted,
  noteRead,
  noteTold,
  noteVoting,
} from './membership-history.js';
import type { Mutation } from './membership-mutations.js';
import type { Caller, Message, ModelReplica, Told } from './membership-network.js';

/** How writes reach the disk: with each step, or only when the model says so. */
export type Syncing = 'at-once' | 'later';

/** Replicas, clients and messages, and the history that an observer makes of them. */
export class Cluster {
  replicas: Readonly<Record<string, ModelReplica>> = {};
  clients: Readonly<Record<string, Client>> = {};
  messages: readonly Message[] = [];
  history: History;
  now = 0;
  step = 0;
  lives = 0;

  private constructor(
    readonly mutation: Mutation,
    readonly syncing: Syncing,
    history: History,
  ) {
    this.history = history;
  }

  /**
   * Founders that came to their members by the product's own founding, blank spares, and clients
   * that know the founders.
   *
   * @example
   * Cluster.found({ founders: ['a', 'b', 'c'], spares: ['d'], clients: ['p'], mutation: none, syncing: 'at-once' })
   */
  static found(parts: {
    readonly founders: readonly string[];
    readonly spares: readonly string[];
    readonly clients: readonly string[];
    readonly mutation: Mutation;
    readonly syncing: Syncing;
  }): Cluster {
    const { replicas, members, lives } = foundReplicas(parts.founders);
    const cluster = new Cluster(parts.mutation, parts.syncing, beginHistory(members.value));
    cluster.replicas = replicas;
    cluster.lives = lives;
    for (const address of parts.spares) cluster.plugIn(address, []);
    cluster.clients = Object.fromEntries(
      parts.clients.map((name) => [name, openClient(name, members)]),
    );
    return cluster;
  }

  /** A copy that can go another way. */
  fork(): Cluster {
    return Object.assign(new Cluster(this.mutation, this.syncing, this.history), this);
  }

  /** Tells a client something; its calls go under way. */
  tellClient(name: string, event: ClientEvent): void {
    const client = this.clients[name];
    if (client === undefined) return;
    const done = reduceClient(client, event, this.step, this.mutation.client ?? {});
    this.clients = { ...this.clients, [name]: done.client };
    done.effects.forEach((effect) => this.#performClient(name, effect));
  }

  /** Tells a running replica something. */
  tellReplica(address: string, event: ReplicaEvent): void {
    const replica = this.replicas[address];
    if (replica?.running === true) this.#reduce(replica, event, null);
  }

  /** Takes a message off the network; `keep` leaves a copy of it there. */
  deliver(index: number, keep = false): void {
    const message = this.messages[index];
    if (message === undefined) return;
    if (!keep) this.drop(index);
    if (message.kind === 'reply') {
      this.#deliverReply(message);
      return;
    }
    const replica = this.replicas[message.to];
    if (replica?.running !== true) return;
    const body = this.mutation.hears?.(replica.state, message.body) ?? message.body;
    this.#reduce(
      replica,
      { kind: 'request-received', requestId: 0, request: body, now: this.now },
      message,
    );
  }

  drop(index: number): void {
    this.messages = this.messages.filter((_, at) => at !== index);
  }

  /** The caller gives a call up, though its message may still be under way. */
  timeOut({ caller }: Message): void {
    if (caller.kind !== 'replica') return;
    this.tellReplica(caller.read.from, {
      kind: 'request-failed',
      requestId: caller.read.id,
      now: this.now,
    });
  }

  /** What was appended is on disk now; answers that waited for it go out. */
  sync(address: string): void {
    const replica = this.replicas[address];
    if (replica === undefined) return;
    this.#put({
      ...replica,
      durable: [...replica.durable, ...replica.unsynced],
      unsynced: [],
      waiting: [],
    });
    replica.waiting.forEach((told) => this.#answer(replica, told));
  }

  /** The process ends; of what was not synced only the first records reached the disk. */
  stop(address: string, kept = 0): void {
    const replica = this.replicas[address];
    if (replica?.running !== true) return;
    const durable = [...replica.durable, ...replica.unsynced.slice(0, kept)];
    const state = this.#open(address, durable, replica.state.diskId).state;
    this.#put({ ...replica, durable, state, running: false, unsynced: [], waiting: [] });
  }

  start(address: string): void {
    const replica = this.replicas[address];
    if (replica === undefined || replica.running) return;
    this.plugIn(address, replica.durable, replica.life);
  }

  /** The disk is lost, and the process starts with a blank one. */
  wipe(address: string): void {
    const old = this.replicas[address]?.state.diskId ?? '';
    this.plugIn(address, [], undefined, this.mutation.wipedDisk?.(old));
  }

  /** Starts a process on a disk with these records. */
  plugIn(
    address: string,
    records: readonly ReplicaRecord[],
    life: number = (this.lives += 1),
    newDiskId = `disk-${life}`,
  ): void {
    const opened = this.#open(address, records, newDiskId);
    const appended = opened.effects.flatMap((effect) =>
      effect.kind === 'append-records' ? effect.records : [],
    );
    const { committedMembership: told, diskId: disk } = opened.state;
    if (told !== null) this.history = noteTold(this.history, disk, told.value);
    this.#put({
      address,
      life,
      state: opened.state,
      running: true,
      durable: [...records, ...appended],
      unsynced: [],
      waiting: [],
    });
  }

  #open(
    address: string,
    records: readonly ReplicaRecord[],
    newDiskId: string,
  ): ReturnType<typeof openReplica> {
    const bootstrap = { address, seeds: [], isFirstStart: false };
    const kept = this.mutation.replays?.(records) ?? records;
    const parts = {
      name: address,
      otherFounders: {},
      bootstrap,
      records: kept,
      newDiskId,
      now: this.now,
    };
    return openReplica(parts);
  }

  #put(replica: ModelReplica): void {
    this.replicas = { ...this.replicas, [replica.address]: replica };
  }

  #reduce(
    replica: ModelReplica,
    event: ReplicaEvent,
    request: Extract<Message, { kind: 'request' }> | null,
  ): void {
    const done = reduceReplica(replica.state, event);
    const after = this.mutation.after?.(replica.state, done) ?? done;
    if (after.state === replica.state && after.effects.length === 0) return;
    const appended = after.effects.flatMap((effect) =>
      effect.kind === 'append-records' ? effect.records : [],
    );
    const told = after.effects.flatMap((effect) =>
      effect.kind === 'send-reply' && request !== null
        ? [{ request, body: effect.reply, by: after.state.committedMembership }]
        : [],
    );
    const early = this.mutation.answersBeforeSync === true;
    const unsynced = [...replica.unsynced, ...appended];
    const waiting = early ? [] : [...replica.waiting, ...told];
    this.#put({ ...replica, state: after.state, unsynced, waiting });
    if (early) told.forEach((each) => this.#answer(replica, each));
    after.effects.forEach((effect) => this.#call(replica, effect));
    if (this.syncing === 'at-once') this.sync(replica.address);
    const hasChanged =
      appended.length > 0 || after.state.hasBegunVoting !== replica.state.hasBegunVoting;
    this.#noteBegun(replica.state, after.state);
    if (hasChanged) this.checkQuorums();
  }

  #noteBegun(
    before: ReplicaState,
    { hasBegunVoting: voting, votingEpoch, diskId: disk, committedMembership: told }: ReplicaState,
  ): void {
    if (told !== null && told !== before.committedMembership) {
      this.history = noteTold(this.history, disk, told.value);
    }
    const hasBegun = voting && (!before.hasBegunVoting || votingEpoch !== before.votingEpoch);
    if (!hasBegun || told === null) return;
    this.history = noteBegun(this.history, disk, told.value);
  }

  #call(replica: ModelReplica, effect: ReplicaEffect): void {
    if (effect.kind !== 'send-request') return;
    const read = { from: replica.address, to: effect.to, id: effect.requestId };
    const body = this.mutation.reads?.(effect.request, effect.to) ?? effect.request;
    this.#send({ kind: 'request', caller: { kind: 'replica', read }, to: effect.to, body });
  }

  #send(message: Message): void {
    this.messages = [...this.messages, message];
  }

  /** Sends an answer, and notes what it commits its replica to. */
  #answer(replica: ModelReplica, told: Told): void {
    const { request, body } = told;
    const { caller } = request;
    const { life } = replica;
    this.#noteAnswer(told);
    this.#send({ kind: 'reply', caller, from: replica.address, body, life });
  }

  #noteAnswer({ request, body, by }: Told): void {
    const { caller } = request;
    const { membership: members, operation: call } = request.body;
    const commits = ['vote', 'posted', 'pulled', 'fetched'].includes(body.kind);
    if (commits) this.history = noteVoting(this.history, body.diskId, by?.value);
    if (caller.kind === 'replica' && body.kind === 'page-read' && body.nextPage === null) {
      const reader = this.replicas[caller.read.from]?.state.diskId ?? '';
      const epoch = body.membership?.value.epoch ?? 0;
      this.history = noteRead(this.history, reader, body.diskId, epoch);
    }
    const accepts = call.kind === 'accept' && body.kind === 'vote' && body.vote.kind === 'yes';
    if (!accepts || members === null) return;
    const { key, proposalNumber, value } = call;
    this.history = noteAccept(this.history, body.diskId, members.value, {
      key,
      proposalNumber,
      value,
    });
  }

  #deliverReply(message: Extract<Message, { kind: 'reply' }>): void {
    const { caller, body, life } = message;
    if (caller.kind === 'client') {
      this.tellClient(caller.name, { kind: 'replied', call: caller.call, body, life });
      return;
    }
    const { from, id } = caller.read;
    const shown = this.mutation.shows?.(body) ?? body;
    this.tellReplica(from, {
      kind: 'reply-received',
      requestId: id,
      reply: shown,
      now: this.now,
    });
  }

  #performClient(name: string, effect: ClientEffect): void {
    const { history, step } = this;
    switch (effect.kind) {
      case 'call': {
        const caller: Caller = { kind: 'client', name, call: effect.call };
        this.#send({ kind: 'request', caller, to: effect.call.to, body: effect.call.body });
        return;
      }
      case 'chosen':
        this.history = noteChosen(history, effect);
        this.checkQuorums();
        return;
      case 'appended':
        this.history = noteAppended(history, effect.id, step);
        return;
      case 'posted':
        this.history = notePosted(history, effect.fact, step);
        this.checkQuorums();
        return;
      case 'lives-mixed':
        this.history = noteLivesMixed(history, effect.place, effect.proposalNumber);
        return;
      case 'lease':
        this.history = checkLease(history, effect);
        return;
    }
  }

  checkQuorums(): void {
    this.history = checkQuorums(
      this.history,
      Object.values(this.replicas).map(({ state }) => state),
    );
  }
}
