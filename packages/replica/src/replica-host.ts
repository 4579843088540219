/**
 * Runs the replica's reducer on a log. The host owns the state and the order of events, and
 * guarantees that no reply reveals anything that is not on disk:
 *
 * - a reply that depends on unsynced records is delayed until they are synced,
 * - polls and register reads get an immediate reply, from the state that is on disk,
 * - after a failed write or sync, the state is rolled back to what is on disk; until the log has
 *   recovered, only requests that change nothing are carried out, and all others are refused
 *   immediately,
 * - while a sync hangs, requests that need a sync are refused as well, so that no client waits for
 *   this disk.
 *
 * Time, calls and logging are injected.
 */
import { errorMessage } from '@reedyard/logging';
import { callTimeoutMs } from '@reedyard/rpc';
import type { Step } from '@reedyard/task-loop';
import type { ReplicaEffect, ReplicaEvent } from './events.js';
import type { ReplicaReply, ReplicaRequest } from './messages.js';
import { snapshotRecords } from './open-replica.js';
import { proposalPhaseTimeoutMs } from './protocol/timing.js';
import { reduceReplica } from './reducer.js';
import { snapshotAfterBytes } from './snapshot-threshold.js';
import type { ReplicaState } from './state.js';
import type { ReplicaRecord } from './storage/records.js';
import type { ReplicaLog } from './storage/replica-log.js';

/** The clock, calls, process and log that the host works with. */
export type ReplicaEnvironment = {
  readonly now: () => number;
  readonly call: (address: string, request: ReplicaRequest) => Promise<ReplicaReply>;
  /** Ends the process; called once it was requested to stop and no other replica still needs it. */
  readonly exitProcess: () => void;
  readonly log: (
    level: 'info' | 'warn' | 'error',
    event: string,
    fields?: Readonly<Record<string, string | number | boolean>>,
  ) => void;
};

/** Replies that may wait for a sync concurrently; further requests are refused. */
const maxPendingReplies = 4_096;
/**
 * Time in milliseconds after which a sync counts as stalled. It equals the time for a phase of a
 * proposal, after which a vote is of no use to the proposer.
 */
const stallTimeoutMs = proposalPhaseTimeoutMs;
/** First and longest delay between two attempts to recover a failed disk, in milliseconds. */
const minRecoveryDelayMs = 250;
const maxRecoveryDelayMs = 1_000;
/**
 * After this time without a failure, in milliseconds, the recovery delay starts again at its
 * minimum.
 */
const recoveryDelayResetMs = 10_000;
/** Delay before the next snapshot after one that could not be written, in milliseconds. */
const snapshotRetryDelayMs = 2_000;

/** A reply that waits for a sync. */
type PendingReply = {
  readonly requestedAt: number;
  readonly reply: ReplicaReply;
  readonly resolve: (reply: ReplicaReply) => void;
};

/** An append in flight, and the replies and the state that depend on it. */
type PendingAppend = {
  readonly startedAt: number;
  /** The state that is on disk once these records are synced. */
  state: ReplicaState;
  readonly replies: PendingReply[];
};

type RequestReceived = Extract<ReplicaEvent, { kind: 'request-received' }>;
type SendReply = Extract<ReplicaEffect, { kind: 'send-reply' }>;

const recordsIn = (effects: readonly ReplicaEffect[]): readonly ReplicaRecord[] =>
  effects.flatMap((effect) => (effect.kind === 'append-records' ? effect.records : []));

const replyIn = (effects: readonly ReplicaEffect[]): SendReply | undefined =>
  effects.find((effect): effect is SendReply => effect.kind === 'send-reply');

/** A replica with its state, its sequence of events and its log. */
export class ReplicaHost {
  readonly #log: ReplicaLog;
  readonly #environment: ReplicaEnvironment;
  readonly #openingRecords: readonly ReplicaRecord[];
  /** The state after all events, including changes that are not on disk yet. */
  #state: ReplicaState;
  /** The state that is on disk. */
  #durableState: ReplicaState;
  /** Whether the log is usable and the opening records are durable. */
  #isOpen = false;
  #pendingAppends: PendingAppend[] = [];
  #pendingReplyCount = 0;
  #hasFailed = false;
  #isRecovering = false;
  #nextRecoveryAt = 0;
  #recoveryDelayMs = minRecoveryDelayMs;
  #recoveredAt = -Infinity;
  #isStallLogged = false;
  #isCompacting = false;
  #nextCompactionAt = -Infinity;
  #isSnapshotFailureLogged = false;
  #nextRequestId = 1;

  constructor(
    opened: Step<ReplicaState, ReplicaEffect>,
    log: ReplicaLog,
    environment: ReplicaEnvironment,
  ) {
    this.#log = log;
    this.#environment = environment;
    this.#state = opened.state;
    this.#durableState = opened.state;
    this.#openingRecords = recordsIn(opened.effects);
    if (log.available()) this.#appendOpeningRecords();
    else this.#handleDiskFailure();
  }

  /** The state after all events, including changes that are not on disk yet. */
  get state(): ReplicaState {
    return this.#state;
  }

  /** The state that is on disk. */
  get durableState(): ReplicaState {
    return this.#durableState;
  }

  /** Whether requests of every kind can be carried out. */
  get isAvailable(): boolean {
    return this.#isOpen && !this.#hasFailed && !this.#isStalled();
  }

  /** Handles a request. The reply is a refusal if the disk is not available or not in time. */
  handleRequest(request: ReplicaRequest): Promise<ReplicaReply> {
    if (!this.#isOpen) return Promise.resolve(this.#refusal());
    const requestId = this.#nextRequestId;
    this.#nextRequestId += 1;
    const event: RequestReceived = {
      kind: 'request-received',
      requestId,
      request,
      now: this.#environment.now(),
    };
    const durableReply = this.#replyFromDurableState(event);
    if (durableReply !== null) {
      this.#recordSpare(event);
      return Promise.resolve(durableReply);
    }
    return new Promise((resolve) => {
      if (!this.#apply(event, resolve)) resolve(this.#refusal());
    });
  }

  /** Requests the replica to stop. The process ends once no other replica still needs this one. */
  stop(): void {
    const isAccepted =
      this.#isOpen && this.#apply({ kind: 'stop-requested', now: this.#environment.now() });
    if (!isAccepted) this.#environment.exitProcess();
  }

  /** Does periodic work; to be called a few times a second. */
  tick(): void {
    this.#logStallChange();
    this.#refuseExpiredRequests();
    this.#recoverIfDue();
    if (!this.#isOpen) return;
    this.#apply({ kind: 'tick', now: this.#environment.now() });
    this.#compactIfDue();
  }

  /**
   * Returns the reply to a poll or register read that changes nothing, as if the request had
   * arrived before the changes that are not on disk yet; null for other requests.
   */
  #replyFromDurableState(event: RequestReceived): ReplicaReply | null {
    const { kind } = event.request.operation;
    if (kind !== 'poll' && kind !== 'read-register') return null;
    const { effects } = reduceReplica(this.#durableState, event);
    if (recordsIn(effects).length > 0) return null;
    const reply = replyIn(effects)?.reply ?? null;
    return reply?.kind === 'polled' && !this.isAvailable ? { ...reply, isReadOnly: true } : reply;
  }

  /**
   * Records that a request reported a blank replica, also if its reply was made from the state on
   * disk.
   */
  #recordSpare({ request, now }: RequestReceived): void {
    if (request.hasLiveSpare !== true) return;
    this.#state = { ...this.#state, spareSeenAt: now };
    this.#updateLastPendingState();
  }

  /**
   * Handles an event. Returns false, as if the event had never arrived, if it needs a write but the
   * disk is not available, or if too many replies are waiting.
   */
  #apply(event: ReplicaEvent, resolve?: (reply: ReplicaReply) => void): boolean {
    const outcome = reduceReplica(this.#state, event);
    const records = recordsIn(outcome.effects);
    if (records.length > 0 && !this.isAvailable) return false;
    if (resolve !== undefined && this.#pendingReplyCount >= maxPendingReplies) return false;
    this.#state = outcome.state;
    if (records.length > 0) this.#append(records);
    else this.#updateLastPendingState();
    for (const effect of outcome.effects) this.#perform(effect, resolve);
    return true;
  }

  #updateLastPendingState(): void {
    const last = this.#pendingAppends.at(-1);
    if (last === undefined) this.#durableState = this.#state;
    else last.state = this.#state;
  }

  #perform(effect: ReplicaEffect, resolve?: (reply: ReplicaReply) => void): void {
    switch (effect.kind) {
      case 'append-records':
        return;
      case 'send-reply':
        if (resolve !== undefined) this.#replyOnceSynced(effect.reply, resolve);
        return;
      case 'send-request':
        this.#call(effect.requestId, effect.to, effect.request);
        return;
      case 'exit':
        this.#environment.exitProcess();
        return;
      case 'log':
        this.#environment.log('info', effect.event, effect.fields);
        return;
    }
  }

  #call(requestId: number, address: string, request: ReplicaRequest): void {
    const { now, log } = this.#environment;
    const fail = (): void => void this.#apply({ kind: 'request-failed', requestId, now: now() });
    this.#environment.call(address, request).then((reply) => {
      try {
        this.#apply({ kind: 'reply-received', requestId, reply, now: now() });
      } catch (thrown) {
        // The reply is of an unforeseen form; the state is still the one before it.
        log('error', 'message.error', { event: 'reply-received', why: errorMessage(thrown) });
        fail();
      }
    }, fail);
  }

  #replyOnceSynced(reply: ReplicaReply, resolve: (reply: ReplicaReply) => void): void {
    const last = this.#pendingAppends.at(-1);
    if (last === undefined) {
      resolve(reply);
      return;
    }
    this.#pendingReplyCount += 1;
    last.replies.push({ requestedAt: this.#environment.now(), reply, resolve });
  }

  #append(records: readonly ReplicaRecord[]): void {
    const pendingAppend: PendingAppend = {
      startedAt: this.#environment.now(),
      state: this.#state,
      replies: [],
    };
    this.#pendingAppends.push(pendingAppend);
    this.#log.append(records).then(
      () => this.#handleSynced(pendingAppend),
      () => this.#handleDiskFailure(),
    );
    this.#compactIfDue();
  }

  /** Delivers the replies that waited for this append. Appends are acknowledged in order. */
  #handleSynced(pendingAppend: PendingAppend): void {
    if (this.#pendingAppends[0] !== pendingAppend) return;
    this.#pendingAppends.shift();
    this.#durableState = pendingAppend.state;
    this.#pendingReplyCount -= pendingAppend.replies.length;
    for (const pendingReply of pendingAppend.replies)
      pendingReply.resolve(this.#refuseIfExpired(pendingReply));
    this.#logStallChange();
  }

  #refuseIfExpired({ requestedAt, reply }: PendingReply): ReplicaReply {
    return this.#environment.now() - requestedAt > callTimeoutMs ? this.#refusal() : reply;
  }

  /** Refuses requests that are so old that their clients no longer wait. */
  #refuseExpiredRequests(): void {
    const earliestRequestedAt = this.#environment.now() - callTimeoutMs;
    for (const { replies } of this.#pendingAppends) {
      const expired = replies.filter(
        (pendingReply) => pendingReply.requestedAt < earliestRequestedAt,
      );
      if (expired.length === 0) continue;
      this.#pendingReplyCount -= expired.length;
      for (const pendingReply of expired) pendingReply.resolve(this.#refusal());
      const stillPending = replies.filter(
        (pendingReply) => pendingReply.requestedAt >= earliestRequestedAt,
      );
      replies.splice(0, replies.length, ...stillPending);
    }
  }

  /**
   * Returns to the state on disk. Request ids are not reused, although the state is rolled back.
   */
  #rollBack(): void {
    this.#state = { ...this.#durableState, nextRequestId: this.#state.nextRequestId };
    this.#durableState = this.#state;
    const refusal = this.#refusal();
    const pendingReplies = this.#pendingAppends.flatMap((pendingAppend) => pendingAppend.replies);
    this.#pendingAppends = [];
    this.#pendingReplyCount = 0;
    for (const { resolve } of pendingReplies) resolve(refusal);
  }

  #handleDiskFailure(): void {
    if (this.#hasFailed) return;
    this.#hasFailed = true;
    this.#rollBack();
    const now = this.#environment.now();
    if (now - this.#recoveredAt > recoveryDelayResetMs) this.#recoveryDelayMs = minRecoveryDelayMs;
    this.#nextRecoveryAt = now + this.#recoveryDelayMs;
    this.#environment.log('error', 'disk.unavailable', {
      text: this.#log.failure()?.message ?? '',
    });
  }

  #recoverIfDue(): void {
    if (!this.#hasFailed || this.#isRecovering || this.#environment.now() < this.#nextRecoveryAt)
      return;
    this.#isRecovering = true;
    this.#log.recover().then(
      () => this.#handleRecovered(),
      () => this.#scheduleRecovery(),
    );
  }

  #scheduleRecovery(): void {
    this.#isRecovering = false;
    this.#recoveryDelayMs = Math.min(this.#recoveryDelayMs * 2, maxRecoveryDelayMs);
    this.#nextRecoveryAt = this.#environment.now() + this.#recoveryDelayMs;
  }

  #handleRecovered(): void {
    this.#isRecovering = false;
    this.#hasFailed = false;
    this.#recoveredAt = this.#environment.now();
    this.#recoveryDelayMs = Math.min(this.#recoveryDelayMs * 2, maxRecoveryDelayMs);
    this.#environment.log('info', 'disk.available');
    if (!this.#isOpen) this.#appendOpeningRecords();
  }

  #appendOpeningRecords(): void {
    if (this.#openingRecords.length === 0) {
      this.#isOpen = true;
      return;
    }
    this.#log.append(this.#openingRecords).then(
      () => {
        this.#isOpen = true;
      },
      () => this.#handleDiskFailure(),
    );
  }

  #isStalled(): boolean {
    const oldest = this.#pendingAppends[0];
    return oldest !== undefined && this.#environment.now() - oldest.startedAt > stallTimeoutMs;
  }

  #logStallChange(): void {
    const hasStalled = this.#isStalled();
    if (hasStalled === this.#isStallLogged) return;
    this.#isStallLogged = hasStalled;
    if (hasStalled)
      this.#environment.log('warn', 'disk.stalled', { pending: this.#pendingAppends.length });
    else this.#environment.log('info', 'disk.resumed');
  }

  /**
   * Starts a snapshot if one is due. The larger the last snapshot, the later the next one is due.
   */
  #compactIfDue(): void {
    if (this.#isCompacting || !this.isAvailable || this.#environment.now() < this.#nextCompactionAt)
      return;
    const thresholdBytes = Math.max(snapshotAfterBytes, this.#log.snapshotBytes() / 2);
    if (this.#log.segmentBytes() <= thresholdBytes && !this.#log.fragmented()) return;
    this.#isCompacting = true;
    this.#log
      .compact(() => snapshotRecords(this.#durableState))
      .then(
        () => this.#handleCompacted(),
        (error: unknown) => this.#handleCompactionFailure(error),
      );
  }

  #handleCompacted(): void {
    this.#isCompacting = false;
    this.#isSnapshotFailureLogged = false;
    this.#environment.log('info', 'disk.compacted', { bytes: this.#log.snapshotBytes() });
  }

  #handleCompactionFailure(error: unknown): void {
    this.#isCompacting = false;
    this.#nextCompactionAt = this.#environment.now() + snapshotRetryDelayMs;
    if (!this.#log.available()) this.#handleDiskFailure();
    if (this.#isSnapshotFailureLogged) return;
    this.#isSnapshotFailureLogged = true;
    const text = error instanceof Error ? error.message : String(error);
    this.#environment.log('warn', 'snapshot.failed', { text });
  }

  #refusal(): ReplicaReply {
    return { kind: 'unavailable', diskId: this.#durableState.diskId };
  }
}
