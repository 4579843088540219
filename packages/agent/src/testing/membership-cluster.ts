/**
 * Test support: replicas with their disks, clients, and the messages between them.
 *
 * The replicas run the product's reducer and are opened from the records on their disks. A cluster
 * holds only immutable values, so `fork` is cheap and a search can try every possible next step.
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
  recordAccept,
  recordAppended,
  recordVotingStart,
  recordChosen,
  recordMixedDisks,
  recordPosted,
  recordRead,
  recordMembership,
  checkVoting,
} from './membership-history.js';
import type { Mutation } from './membership-mutations.js';
import type { Requester, Message, ModelReplica, PendingReply } from './membership-network.js';

/** When writes reach the disk: in the same step, or only when the model calls `sync`. */
export type SyncMode = 'at-once' | 'later';

/** Replicas, clients and messages, and the history that an omniscient observer records of them. */
export class Cluster {
  replicas: Readonly<Record<string, ModelReplica>> = {};
  clients: Readonly<Record<string, Client>> = {};
  messages: readonly Message[] = [];
  history: History;
  now = 0;
  step = 0;
  diskCount = 0;

  private constructor(
    readonly mutation: Mutation,
    readonly syncMode: SyncMode,
    history: History,
  ) {
    this.history = history;
  }

  /**
   * Creates a cluster with founders that founded the membership with the product's own code, blank
   * spares, and clients that know the founders.
   *
   * @example
   * Cluster.createFounded({ founders: ['a', 'b', 'c'], spares: ['d'], clients: ['p'], mutation: noMutation, syncMode: 'at-once' })
   */
  static createFounded(parts: {
    readonly founders: readonly string[];
    readonly spares: readonly string[];
    readonly clients: readonly string[];
    readonly mutation: Mutation;
    readonly syncMode: SyncMode;
  }): Cluster {
    const { replicas, members, diskCount } = foundReplicas(parts.founders);
    const cluster = new Cluster(parts.mutation, parts.syncMode, beginHistory(members.value));
    cluster.replicas = replicas;
    cluster.diskCount = diskCount;
    for (const address of parts.spares) cluster.startOnDisk(address, []);
    cluster.clients = Object.fromEntries(
      parts.clients.map((name) => [name, openClient(name, members)]),
    );
    return cluster;
  }

  /** Returns a copy that can take other steps than this cluster. */
  fork(): Cluster {
    return Object.assign(new Cluster(this.mutation, this.syncMode, this.history), this);
  }

  /** Applies an event to a client, and puts its calls onto the network. */
  dispatchToClient(name: string, event: ClientEvent): void {
    const client = this.clients[name];
    if (client === undefined) return;
    const transition = reduceClient(client, event, this.step, this.mutation.client ?? {});
    this.clients = { ...this.clients, [name]: transition.client };
    transition.effects.forEach((effect) => this.#performClient(name, effect));
  }

  /** Applies an event to a replica if it is running. */
  dispatchToReplica(address: string, event: ReplicaEvent): void {
    const replica = this.replicas[address];
    if (replica?.isRunning === true) this.#reduce(replica, event, null);
  }

  /** Delivers a message and removes it from the network; `keepsCopy` leaves a copy of it there. */
  deliver(index: number, keepsCopy = false): void {
    const message = this.messages[index];
    if (message === undefined) return;
    if (!keepsCopy) this.drop(index);
    if (message.kind === 'reply') {
      this.#deliverReply(message);
      return;
    }
    const replica = this.replicas[message.to];
    if (replica?.isRunning !== true) return;
    const body = this.mutation.alterRequest?.(replica.state, message.body) ?? message.body;
    this.#reduce(
      replica,
      { kind: 'request-received', requestId: 0, request: body, now: this.now },
      message,
    );
  }

  drop(index: number): void {
    this.messages = this.messages.filter((_, messageIndex) => messageIndex !== index);
  }

  /**
   * Fails the request of a replica with a timeout, although its message may still be in flight.
   * Requests of clients have no timeout.
   */
  timeOut({ requester }: Message): void {
    if (requester.kind !== 'replica') return;
    this.dispatchToReplica(requester.read.from, {
      kind: 'request-failed',
      requestId: requester.read.id,
      now: this.now,
    });
  }

  /** Makes all appended records durable, and sends the replies that waited for them. */
  sync(address: string): void {
    const replica = this.replicas[address];
    if (replica === undefined) return;
    this.#setReplica({
      ...replica,
      durable: [...replica.durable, ...replica.unsynced],
      unsynced: [],
      pendingReplies: [],
    });
    replica.pendingReplies.forEach((pendingReply) => this.#sendReply(replica, pendingReply));
  }

  /** Ends the process; of the unsynced records only the first `syncedCount` reach the disk. */
  stop(address: string, syncedCount = 0): void {
    const replica = this.replicas[address];
    if (replica?.isRunning !== true) return;
    const durable = [...replica.durable, ...replica.unsynced.slice(0, syncedCount)];
    const state = this.#openReplica(address, durable, replica.state.diskId).state;
    this.#setReplica({
      ...replica,
      durable,
      state,
      isRunning: false,
      unsynced: [],
      pendingReplies: [],
    });
  }

  start(address: string): void {
    const replica = this.replicas[address];
    if (replica === undefined || replica.isRunning) return;
    this.startOnDisk(address, replica.durable, replica.diskNumber);
  }

  /** Replaces the disk of a replica by a blank one, and starts the process on it. */
  wipe(address: string): void {
    const oldDiskId = this.replicas[address]?.state.diskId ?? '';
    this.startOnDisk(address, [], undefined, this.mutation.diskIdAfterWipe?.(oldDiskId));
  }

  /** Starts a process on a disk that contains these records. */
  startOnDisk(
    address: string,
    records: readonly ReplicaRecord[],
    diskNumber: number = (this.diskCount += 1),
    newDiskId = `disk-${diskNumber}`,
  ): void {
    const replica = this.#openReplica(address, records, newDiskId);
    const appendedRecords = replica.effects.flatMap((effect) =>
      effect.kind === 'append-records' ? effect.records : [],
    );
    const { committedMembership: membership, diskId: disk } = replica.state;
    if (membership !== null) this.history = recordMembership(this.history, disk, membership.value);
    this.#setReplica({
      address,
      diskNumber,
      state: replica.state,
      isRunning: true,
      durable: [...records, ...appendedRecords],
      unsynced: [],
      pendingReplies: [],
    });
  }

  #openReplica(
    address: string,
    records: readonly ReplicaRecord[],
    newDiskId: string,
  ): ReturnType<typeof openReplica> {
    const bootstrap = { address, seeds: [], isFirstStart: false };
    const replayedRecords = this.mutation.alterReplayedRecords?.(records) ?? records;
    const parts = {
      name: address,
      otherFounders: {},
      bootstrap,
      records: replayedRecords,
      newDiskId,
      now: this.now,
    };
    return openReplica(parts);
  }

  #setReplica(replica: ModelReplica): void {
    this.replicas = { ...this.replicas, [replica.address]: replica };
  }

  #reduce(
    replica: ModelReplica,
    event: ReplicaEvent,
    request: Extract<Message, { kind: 'request' }> | null,
  ): void {
    const transition = reduceReplica(replica.state, event);
    const finalTransition =
      this.mutation.alterTransition?.(replica.state, transition) ?? transition;
    if (finalTransition.state === replica.state && finalTransition.effects.length === 0) return;
    const appendedRecords = finalTransition.effects.flatMap((effect) =>
      effect.kind === 'append-records' ? effect.records : [],
    );
    const replies = finalTransition.effects.flatMap((effect) =>
      effect.kind === 'send-reply' && request !== null
        ? [{ request, body: effect.reply, membership: finalTransition.state.committedMembership }]
        : [],
    );
    const repliesEarly = this.mutation.repliesBeforeSync === true;
    const unsynced = [...replica.unsynced, ...appendedRecords];
    const pendingReplies = repliesEarly ? [] : [...replica.pendingReplies, ...replies];
    this.#setReplica({ ...replica, state: finalTransition.state, unsynced, pendingReplies });
    if (repliesEarly) replies.forEach((reply) => this.#sendReply(replica, reply));
    finalTransition.effects.forEach((effect) => this.#sendReadRequest(replica, effect));
    if (this.syncMode === 'at-once') this.sync(replica.address);
    const hasChanged =
      appendedRecords.length > 0 ||
      finalTransition.state.hasBegunVoting !== replica.state.hasBegunVoting;
    this.#recordVotingStart(replica.state, finalTransition.state);
    if (hasChanged) this.checkQuorums();
  }

  #recordVotingStart(
    before: ReplicaState,
    { hasBegunVoting, votingEpoch, diskId: disk, committedMembership: membership }: ReplicaState,
  ): void {
    if (membership !== null && membership !== before.committedMembership) {
      this.history = recordMembership(this.history, disk, membership.value);
    }
    const startsVoting =
      hasBegunVoting && (!before.hasBegunVoting || votingEpoch !== before.votingEpoch);
    if (!startsVoting || membership === null) return;
    this.history = recordVotingStart(this.history, disk, membership.value);
  }

  #sendReadRequest(replica: ModelReplica, effect: ReplicaEffect): void {
    if (effect.kind !== 'send-request') return;
    const read = { from: replica.address, to: effect.to, id: effect.requestId };
    const body = this.mutation.alterReadRequest?.(effect.request, effect.to) ?? effect.request;
    this.#send({ kind: 'request', requester: { kind: 'replica', read }, to: effect.to, body });
  }

  #send(message: Message): void {
    this.messages = [...this.messages, message];
  }

  /** Sends a reply, and records in the history what it commits its replica to. */
  #sendReply(replica: ModelReplica, pendingReply: PendingReply): void {
    const { request, body } = pendingReply;
    const { requester } = request;
    const { diskNumber } = replica;
    this.#recordReply(pendingReply);
    this.#send({ kind: 'reply', requester, from: replica.address, body, diskNumber });
  }

  #recordReply({ request, body, membership }: PendingReply): void {
    const { requester } = request;
    const { membership: requesterMembership, operation } = request.body;
    const impliesMembership = ['vote', 'posted', 'pulled', 'fetched'].includes(body.kind);
    if (impliesMembership) this.history = checkVoting(this.history, body.diskId, membership?.value);
    if (requester.kind === 'replica' && body.kind === 'page-read' && body.nextPage === null) {
      const reader = this.replicas[requester.read.from]?.state.diskId ?? '';
      const epoch = body.membership?.value.epoch ?? 0;
      this.history = recordRead(this.history, reader, body.diskId, epoch);
    }
    const isAccept =
      operation.kind === 'accept' && body.kind === 'vote' && body.vote.kind === 'yes';
    if (!isAccept || requesterMembership === null) return;
    const { key, proposalNumber, value } = operation;
    this.history = recordAccept(this.history, body.diskId, requesterMembership.value, {
      key,
      proposalNumber,
      value,
    });
  }

  #deliverReply(message: Extract<Message, { kind: 'reply' }>): void {
    const { requester, body, diskNumber } = message;
    if (requester.kind === 'client') {
      this.dispatchToClient(requester.name, {
        kind: 'replied',
        call: requester.call,
        body,
        diskNumber,
      });
      return;
    }
    const { from, id } = requester.read;
    const alteredReply = this.mutation.alterReadReply?.(body) ?? body;
    this.dispatchToReplica(from, {
      kind: 'reply-received',
      requestId: id,
      reply: alteredReply,
      now: this.now,
    });
  }

  #performClient(name: string, effect: ClientEffect): void {
    const { history, step } = this;
    switch (effect.kind) {
      case 'call': {
        const requester: Requester = { kind: 'client', name, call: effect.call };
        this.#send({ kind: 'request', requester, to: effect.call.to, body: effect.call.body });
        return;
      }
      case 'chosen':
        this.history = recordChosen(history, effect);
        this.checkQuorums();
        return;
      case 'appended':
        this.history = recordAppended(history, effect.id, step);
        return;
      case 'posted':
        this.history = recordPosted(history, effect.entryKey, step);
        this.checkQuorums();
        return;
      case 'lives-mixed':
        this.history = recordMixedDisks(history, effect.slot, effect.proposalNumber);
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
