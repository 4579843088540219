/**
 * Runs the replica's reducer on a log. It owns the state and its order, and guarantees that no
 * answer tells of anything that is not on disk:
 *
 * - an answer that follows from unsynced records is held until they are synced,
 * - polls and fetches are answered at once, from the state that is on disk,
 * - after a write or sync that failed, the state goes back to what is on disk; until the log has
 *   recovered, only calls that change nothing are answered, and all others are refused at once,
 * - while a sync hangs, calls that need one are refused as well, so that nobody waits for this
 *   disk.
 *
 * Time, calls and logging are handed in.
 */
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

/** What the host does outside. */
export type ReplicaEnvironment = {
  readonly now: () => number;
  readonly call: (address: string, body: ReplicaRequest) => Promise<ReplicaReply>;
  /** Ends the process: it was asked to stop, and nothing waits for it any more. */
  readonly exitProcess: () => void;
  readonly log: (
    level: 'info' | 'warn' | 'error',
    event: string,
    fields?: Readonly<Record<string, string | number | boolean>>,
  ) => void;
};

/** Answers that wait for a sync at once; more are refused. */
const maxPendingReplies = 4_096;
/**
 * ms. A sync that takes this long is of no use to who waits for it: as long as a phase of a
 * proposal.
 */
const stallMs = proposalPhaseTimeoutMs;
/** ms. First and longest pause between two tries to recover a disk that refuses. */
const firstRecoveryPause = 250;
const longestRecoveryPause = 1_000;
/** ms. A disk that was well for this long is tried again soon after its next failure. */
const calmAfterRecovery = 10_000;
/** ms. After a snapshot that could not be written. */
const snapshotPause = 2_000;

type PendingReply = {
  readonly requestedAt: number;
  readonly reply: ReplicaReply;
  readonly resolve: (reply: ReplicaReply) => void;
};

/** Records on their way to the disk, and what follows once they are there. */
type PendingAppend = {
  readonly startedAt: number;
  /** The state that is on disk once these records are. */
  state: ReplicaState;
  readonly answers: PendingReply[];
};

type RequestReceived = Extract<ReplicaEvent, { kind: 'request-received' }>;
type SendReply = Extract<ReplicaEffect, { kind: 'send-reply' }>;

const recordsIn = (effects: readonly ReplicaEffect[]): readonly ReplicaRecord[] =>
  effects.flatMap((effect) => (effect.kind === 'append-records' ? effect.records : []));

const replyIn = (effects: readonly ReplicaEffect[]): SendReply | undefined =>
  effects.find((effect): effect is SendReply => effect.kind === 'send-reply');

/** One replica: its state, its order of events, and its log. */
export class ReplicaHost {
  readonly #log: ReplicaLog;
  readonly #shell: ReplicaEnvironment;
  readonly #openingRecords: readonly ReplicaRecord[];
  /** With all that was decided, also what is not on disk yet. */
  #state: ReplicaState;
  /** As it is on disk. */
  #durable: ReplicaState;
  /** Whether what the disk held at the start, and the opening records, are durable. */
  #opened = false;
  #pending: PendingAppend[] = [];
  #heldAnswers = 0;
  #failed = false;
  #recovering = false;
  #recoverAt = 0;
  #recoveryPause = firstRecoveryPause;
  #recoveredAt = -Infinity;
  #stallLogged = false;
  #compacting = false;
  #compactAt = -Infinity;
  #snapshotFailureLogged = false;
  #nextAsk = 1;

  constructor(
    opened: Step<ReplicaState, ReplicaEffect>,
    log: ReplicaLog,
    shell: ReplicaEnvironment,
  ) {
    this.#log = log;
    this.#shell = shell;
    this.#state = opened.state;
    this.#durable = opened.state;
    this.#openingRecords = recordsIn(opened.effects);
    if (log.available()) this.#appendOpeningRecords();
    else this.#fail();
  }

  /** The state with all that was decided. */
  get state(): ReplicaState {
    return this.#state;
  }

  /** The state that is on disk. */
  get durableState(): ReplicaState {
    return this.#durable;
  }

  /** Whether it takes part: everything that it is asked may be answered. */
  get isAvailable(): boolean {
    return this.#opened && !this.#failed && !this.#stalled();
  }

  /** Answers a call, perhaps with a refusal; late answers are given to nobody. */
  handleRequest(body: ReplicaRequest): Promise<ReplicaReply> {
    if (!this.#opened) return Promise.resolve(this.#refusal());
    const id = this.#nextAsk;
    this.#nextAsk += 1;
    const event: RequestReceived = {
      kind: 'request-received',
      requestId: id,
      request: body,
      now: this.#shell.now(),
    };
    const read = this.#readDurable(event);
    if (read !== null) {
      this.#noteSpare(event);
      return Promise.resolve(read);
    }
    return new Promise((resolve) => {
      if (!this.#apply(event, resolve)) resolve(this.#refusal());
    });
  }

  /** The process was asked to stop: it ends once nothing waits for this replica. */
  stop(): void {
    const isTaken = this.#opened && this.#apply({ kind: 'stop-requested', now: this.#shell.now() });
    if (!isTaken) this.#shell.exitProcess();
  }

  /** What falls due: to be called a few times a second. */
  tick(): void {
    this.#reportStall();
    this.#dropLateAnswers();
    this.#recoverIfDue();
    if (!this.#opened) return;
    this.#apply({ kind: 'tick', now: this.#shell.now() });
    this.#compactIfDue();
  }

  /**
   * A poll or fetch that changes nothing, answered as if it had come before what is not on disk
   * yet.
   */
  #readDurable(event: RequestReceived): ReplicaReply | null {
    const { kind } = event.request.operation;
    if (kind !== 'poll' && kind !== 'read-register') return null;
    const { effects } = reduceReplica(this.#durable, event);
    if (recordsIn(effects).length > 0) return null;
    const reply = replyIn(effects)?.reply ?? null;
    return reply?.kind === 'polled' && !this.isAvailable ? { ...reply, isReadOnly: true } : reply;
  }

  /**
   * What a caller told of blank replicas counts also where it was answered from the disk's state.
   */
  #noteSpare({ request: body, now }: RequestReceived): void {
    if (body.hasLiveSpare !== true) return;
    this.#state = { ...this.#state, spareSeenAt: now };
    this.#followPending();
  }

  /**
   * Takes an event, or refuses it as if it had never come: if it needs a disk that takes nothing.
   */
  #apply(event: ReplicaEvent, resolve?: (reply: ReplicaReply) => void): boolean {
    const step = reduceReplica(this.#state, event);
    const records = recordsIn(step.effects);
    if (records.length > 0 && !this.isAvailable) return false;
    if (resolve !== undefined && this.#heldAnswers >= maxPendingReplies) return false;
    this.#state = step.state;
    if (records.length > 0) this.#append(records);
    else this.#followPending();
    for (const effect of step.effects) this.#perform(effect, resolve);
    return true;
  }

  #followPending(): void {
    const last = this.#pending.at(-1);
    if (last === undefined) this.#durable = this.#state;
    else last.state = this.#state;
  }

  #perform(effect: ReplicaEffect, resolve?: (reply: ReplicaReply) => void): void {
    switch (effect.kind) {
      case 'append-records':
        return;
      case 'send-reply':
        if (resolve !== undefined) this.#answerOnceSynced(effect.reply, resolve);
        return;
      case 'send-request':
        this.#call(effect.requestId, effect.to, effect.request);
        return;
      case 'exit':
        this.#shell.exitProcess();
        return;
      case 'log':
        this.#shell.log('info', effect.event, effect.fields);
        return;
    }
  }

  #call(id: number, to: string, body: ReplicaRequest): void {
    this.#shell.call(to, body).then(
      (reply) =>
        this.#apply({
          kind: 'reply-received',
          requestId: id,
          reply: reply,
          now: this.#shell.now(),
        }),
      () => this.#apply({ kind: 'request-failed', requestId: id, now: this.#shell.now() }),
    );
  }

  #answerOnceSynced(reply: ReplicaReply, resolve: (reply: ReplicaReply) => void): void {
    const last = this.#pending.at(-1);
    if (last === undefined) {
      resolve(reply);
      return;
    }
    this.#heldAnswers += 1;
    last.answers.push({ requestedAt: this.#shell.now(), reply, resolve });
  }

  #append(records: readonly ReplicaRecord[]): void {
    const pending: PendingAppend = {
      startedAt: this.#shell.now(),
      state: this.#state,
      answers: [],
    };
    this.#pending.push(pending);
    this.#log.append(records).then(
      () => this.#synced(pending),
      () => this.#fail(),
    );
    this.#compactIfDue();
  }

  /** Appends are acknowledged in order, so this is the oldest. */
  #synced(pending: PendingAppend): void {
    if (this.#pending[0] !== pending) return;
    this.#pending.shift();
    this.#durable = pending.state;
    this.#heldAnswers -= pending.answers.length;
    for (const answer of pending.answers) answer.resolve(this.#unlessLate(answer));
    this.#reportStall();
  }

  #unlessLate({ requestedAt, reply }: PendingReply): ReplicaReply {
    return this.#shell.now() - requestedAt > callTimeoutMs ? this.#refusal() : reply;
  }

  /** Whoever asked so long ago waits no more. */
  #dropLateAnswers(): void {
    const since = this.#shell.now() - callTimeoutMs;
    for (const { answers } of this.#pending) {
      const late = answers.filter((answer) => answer.requestedAt < since);
      if (late.length === 0) continue;
      this.#heldAnswers -= late.length;
      for (const answer of late) answer.resolve(this.#refusal());
      const stillPending = answers.filter((answer) => answer.requestedAt >= since);
      answers.splice(0, answers.length, ...stillPending);
    }
  }

  /** Ids of calls are not used twice, also where the state goes back. */
  #rollBack(): void {
    this.#state = { ...this.#durable, nextRequestId: this.#state.nextRequestId };
    this.#durable = this.#state;
    const refusal = this.#refusal();
    const answers = this.#pending.flatMap((pending) => pending.answers);
    this.#pending = [];
    this.#heldAnswers = 0;
    for (const { resolve } of answers) resolve(refusal);
  }

  #fail(): void {
    if (this.#failed) return;
    this.#failed = true;
    this.#rollBack();
    const now = this.#shell.now();
    if (now - this.#recoveredAt > calmAfterRecovery) this.#recoveryPause = firstRecoveryPause;
    this.#recoverAt = now + this.#recoveryPause;
    this.#shell.log('error', 'disk.unavailable', { text: this.#log.failure()?.message ?? '' });
  }

  #recoverIfDue(): void {
    if (!this.#failed || this.#recovering || this.#shell.now() < this.#recoverAt) return;
    this.#recovering = true;
    this.#log.recover().then(
      () => this.#recovered(),
      () => this.#recoverLater(),
    );
  }

  #recoverLater(): void {
    this.#recovering = false;
    this.#recoveryPause = Math.min(this.#recoveryPause * 2, longestRecoveryPause);
    this.#recoverAt = this.#shell.now() + this.#recoveryPause;
  }

  #recovered(): void {
    this.#recovering = false;
    this.#failed = false;
    this.#recoveredAt = this.#shell.now();
    this.#recoveryPause = Math.min(this.#recoveryPause * 2, longestRecoveryPause);
    this.#shell.log('info', 'disk.available');
    if (!this.#opened) this.#appendOpeningRecords();
  }

  #appendOpeningRecords(): void {
    if (this.#openingRecords.length === 0) {
      this.#opened = true;
      return;
    }
    this.#log.append(this.#openingRecords).then(
      () => {
        this.#opened = true;
      },
      () => this.#fail(),
    );
  }

  #stalled(): boolean {
    const oldest = this.#pending[0];
    return oldest !== undefined && this.#shell.now() - oldest.startedAt > stallMs;
  }

  #reportStall(): void {
    const stalled = this.#stalled();
    if (stalled === this.#stallLogged) return;
    this.#stallLogged = stalled;
    if (stalled) this.#shell.log('warn', 'disk.stalled', { pending: this.#pending.length });
    else this.#shell.log('info', 'disk.resumed');
  }

  /** Snapshots cost as much as they are large: the larger the last one, the later the next. */
  #compactIfDue(): void {
    if (this.#compacting || !this.isAvailable || this.#shell.now() < this.#compactAt) return;
    const most = Math.max(snapshotAfterBytes, this.#log.snapshotBytes() / 2);
    if (this.#log.segmentBytes() <= most && !this.#log.fragmented()) return;
    this.#compacting = true;
    this.#log
      .compact(() => snapshotRecords(this.#durable))
      .then(
        () => this.#compacted(),
        (thrown: unknown) => this.#compactionFailed(thrown),
      );
  }

  #compacted(): void {
    this.#compacting = false;
    this.#snapshotFailureLogged = false;
    this.#shell.log('info', 'disk.compacted', { bytes: this.#log.snapshotBytes() });
  }

  #compactionFailed(thrown: unknown): void {
    this.#compacting = false;
    this.#compactAt = this.#shell.now() + snapshotPause;
    if (!this.#log.available()) this.#fail();
    if (this.#snapshotFailureLogged) return;
    this.#snapshotFailureLogged = true;
    const text = thrown instanceof Error ? thrown.message : String(thrown);
    this.#shell.log('warn', 'snapshot.failed', { text });
  }

  #refusal(): ReplicaReply {
    return { kind: 'unavailable', diskId: this.#durable.diskId };
  }
}
