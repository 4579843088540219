/**
 * Test support: long random runs of a cluster. Each number of a schedule seeds one step; the same
 * numbers give the same run.
 */
import { majorityOf } from '@reedyard/consensus';
import { type Membership, openReplica } from '@reedyard/replica';
import { Cluster, type SyncMode } from './membership-cluster.js';
import type { Goal } from './membership-goals.js';
import type { Invariant, Violation } from './membership-history.js';
import type { Mutation } from './membership-mutations.js';
import type { ModelReplica } from './membership-network.js';

/**
 * Which blank disks clients may assign a slot to: disks that no membership ever named, disks that
 * are blank now even if a membership has named them, or also disks that were blank earlier, as
 * outdated gossip reports them.
 */
export type OfferedDisks = 'never-named' | 'blank-now' | 'blank-once';

export type RunOptions = {
  readonly founders: readonly string[];
  readonly spares: readonly string[];
  readonly members: number;
  readonly mutation: Mutation;
  readonly syncMode: SyncMode;
  /** Which blank disks clients propose for a slot. */
  readonly offeredDisks: OfferedDisks;
  /** The run stops at the first violation of one of these invariants; of any if left out. */
  readonly watched?: readonly Invariant[];
};

export type RunFigures = {
  readonly violations: readonly Violation[];
  readonly steps: number;
  readonly epochs: number;
  readonly appended: number;
  readonly posted: number;
  readonly leases: number;
  readonly wipes: number;
  readonly crashes: number;
  /** Voting disks that were started again after their slot had been assigned to another disk. */
  readonly returns: number;
};

/**
 * The time that passes with each step, in milliseconds; a run ends long before a journal entry
 * expires.
 */
const stepMs = 20;
/** Number of steps in a calm or a rough phase. */
const phaseSteps = 100;
/** Maximum number of messages in flight; beyond it the oldest message is dropped. */
const maxMessages = 80;
/** Maximum number of rounds by which a client's proposal number may jump. */
const maxOutpaceRounds = 6;
/** Probability that the unsynced writes of a replica reach its disk after a step. */
const syncProbability = 0.5;
/** Probability that a selected running replica crashes. */
const crashProbability = 0.4;
const clientNames = ['p', 'q', 'r'];

/** A pseudorandom generator seeded with one number of the schedule. */
class Draw {
  #state: number;
  constructor(seed: number) {
    this.#state = Math.imul(seed ^ 0x9e3779b9, 0x85ebca6b) >>> 0;
  }
  next(): number {
    this.#state = (this.#state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(this.#state ^ (this.#state >>> 15), 1 | this.#state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  }
  index(length: number): number {
    return Math.floor(this.next() * length);
  }
  /**
   * Returns a random index, low ones more often, because messages tend to arrive in the order in
   * which they were sent.
   */
  lowIndex(length: number): number {
    return Math.floor(this.next() ** 2 * length);
  }
  pick<T>(items: readonly T[]): T | undefined {
    return items[this.index(items.length)];
  }
}

type BlankDisk = { readonly address: string; readonly disk: string };

class Run {
  readonly cluster: Cluster;
  readonly #options: RunOptions;
  readonly #blankDisksSeen: BlankDisk[] = [];
  #counter = 0;
  wipes = 0;
  crashes = 0;
  returns = 0;

  constructor(options: RunOptions) {
    this.#options = options;
    this.cluster = Cluster.createFounded({ ...options, clients: clientNames });
  }

  step(seed: number): void {
    const { cluster } = this;
    cluster.step += 1;
    cluster.now += stepMs;
    const draw = new Draw(seed);
    const kind = draw.next();
    const action = actions.find(({ upTo }) => kind < upTo);
    if (action?.isRough === true && this.#isCalm(draw)) deliverMessage(this, draw, false);
    else action?.perform(this, draw);
    if (cluster.messages.length > maxMessages) cluster.drop(0);
    if (cluster.syncMode === 'later') this.#syncSome(draw);
  }

  /**
   * Whether the run is in a calm phase; calm and rough phases alternate. In a calm phase, each call
   * may also start one stopped replica.
   */
  #isCalm(draw: Draw): boolean {
    if (Math.floor(this.cluster.step / phaseSteps) % 2 === 1) return false;
    const { replicas } = this.cluster;
    const stopped = Object.values(replicas).filter(({ isRunning }) => !isRunning);
    const address = draw.pick(stopped)?.address;
    if (address !== undefined && draw.next() < 0.1) this.cluster.start(address);
    return true;
  }

  get options(): RunOptions {
    return this.#options;
  }

  id(prefix: string): string {
    this.#counter += 1;
    return `${prefix}${this.#counter}`;
  }

  /** Syncs the writes of a random part of the replicas, so that most writes reach the disk soon. */
  #syncSome(draw: Draw): void {
    for (const { address, unsynced } of Object.values(this.cluster.replicas)) {
      if (unsynced.length > 0 && draw.next() < syncProbability) this.cluster.sync(address);
    }
  }

  /** Returns disks without a slot, as gossip would report them. */
  blankDisks(draw: Draw): readonly BlankDisk[] {
    const currentlyBlank = Object.values(this.cluster.replicas)
      .filter(({ isRunning, state }) => isRunning && !state.hasBegunVoting)
      .map(({ address, state }) => ({ address, disk: state.diskId }));
    if (this.#options.offeredDisks === 'never-named')
      return currentlyBlank.filter((blankDisk) => !this.#wasNamed(blankDisk));
    if (this.#options.offeredDisks === 'blank-now') return currentlyBlank;
    this.#blankDisksSeen.push(...currentlyBlank.filter(({ disk }) => !this.#wasSeen(disk)));
    return draw.next() < 0.5 ? this.#blankDisksSeen : currentlyBlank;
  }

  #wasNamed({ disk }: BlankDisk): boolean {
    const epochs = Object.values(this.cluster.history.epochs);
    return epochs.some(({ disks }) => Object.values(disks).includes(disk));
  }

  #wasSeen(disk: string): boolean {
    return this.#blankDisksSeen.some((blankDisk) => blankDisk.disk === disk);
  }

  newestMembers(): Membership {
    const epochs = Object.values(this.cluster.history.epochs);
    return epochs.reduce((newest, members) => (members.epoch > newest.epoch ? members : newest));
  }

  /**
   * Whether the disk of a replica would hold a slot of this membership as a voting member if its
   * process crashed now.
   */
  holdsSlot({ address, durable }: ModelReplica, members: Membership): boolean {
    const bootstrap = { address, seeds: [], isFirstStart: false };
    const parts = {
      name: address,
      otherFounders: {},
      bootstrap,
      records: durable,
      newDiskId: '',
      now: 0,
    };
    const { state } = openReplica(parts);
    const slot = Object.keys(members.disks).find((name) => members.disks[name] === state.diskId);
    return (
      state.hasBegunVoting &&
      slot !== undefined &&
      (members.joinedIn?.[slot] ?? 0) <= state.votingEpoch
    );
  }

  /**
   * Whether a wipe would leave at least a majority of disks that hold their slots: the protocol
   * tolerates the loss of a minority of the disks at the same time.
   */
  mayWipe(address: string): boolean {
    const members = this.newestMembers();
    const others = Object.values(this.cluster.replicas).filter(
      (replica) => replica.address !== address,
    );
    const remainingCount = others.filter((replica) => this.holdsSlot(replica, members)).length;
    return remainingCount >= majorityOf(Object.keys(members.disks).length);
  }
}

const deliverMessage = (run: Run, draw: Draw, keepsCopy: boolean): void => {
  const { cluster } = run;
  const index = draw.lowIndex(cluster.messages.length);
  if (cluster.messages[index]?.isFrozen === true) return;
  cluster.deliver(index, keepsCopy);
};

const freeze = (run: Run, draw: Draw): void => {
  const { cluster } = run;
  const frozenIndex = draw.index(cluster.messages.length);
  const thawsAll = draw.next() < 0.5;
  cluster.messages = cluster.messages.map((message, index) =>
    thawsAll || index === frozenIndex ? { ...message, isFrozen: !thawsAll } : message,
  );
};

const loseOrTimeOut = (run: Run, draw: Draw): void => {
  const { cluster } = run;
  const index = draw.index(cluster.messages.length);
  const message = cluster.messages[index];
  if (message === undefined) return;
  if (draw.next() < 0.7) cluster.drop(index);
  cluster.timeOut(message);
};

const tickReplica = (run: Run, draw: Draw): void => {
  const { cluster } = run;
  const running = Object.values(cluster.replicas).filter((candidate) => candidate.isRunning);
  const notVoting = running.filter(({ state }) => !state.hasBegunVoting);
  const replica = draw.pick(notVoting.length > 0 && draw.next() < 0.8 ? notVoting : running);
  if (replica === undefined) return;
  cluster.dispatchToReplica(replica.address, { kind: 'tick', now: cluster.now });
};

const crashOrStart = (run: Run, draw: Draw): void => {
  const { cluster } = run;
  const replicas = Object.values(cluster.replicas);
  const stopped = replicas.filter(({ isRunning }) => !isRunning);
  const withUnsyncedRecords = replicas.filter(({ unsynced }) => unsynced.length > 0);
  const preferred =
    stopped.length > 0 ? stopped : withUnsyncedRecords.length > 0 ? withUnsyncedRecords : replicas;
  const replica = draw.pick(draw.next() < 0.6 ? preferred : replicas);
  if (replica === undefined) return;
  if (!replica.isRunning) {
    cluster.start(replica.address);
    const isMember = Object.values(run.newestMembers().disks).includes(replica.state.diskId);
    if (replica.state.hasBegunVoting && !isMember) run.returns += 1;
  } else if (draw.next() < crashProbability) {
    cluster.stop(replica.address, draw.index(replica.unsynced.length + 1));
    run.crashes += 1;
  }
};

const wipe = (run: Run, draw: Draw): void => {
  const replica = draw.pick(Object.values(run.cluster.replicas));
  if (replica === undefined || !run.mayWipe(replica.address)) return;
  run.cluster.wipe(replica.address);
  run.wipes += 1;
};

const append = (run: Run, draw: Draw): void => {
  const name = draw.pick(clientNames) ?? '';
  run.cluster.dispatchToClient(name, {
    kind: 'propose',
    goal: { kind: 'append', id: run.id(name) },
  });
};

const membershipGoal = (run: Run, draw: Draw, known: Membership): Goal | null => {
  const slots = Object.keys(known.disks);
  const members = Object.values(known.disks);
  const blank = draw.pick(run.blankDisks(draw).filter(({ disk }) => !members.includes(disk)));
  if (blank === undefined) return null;
  const { address, disk } = blank;
  const slotAtAddress = slots.find((slot) => known.addresses?.[slot] === address);
  if (slotAtAddress !== undefined) return { kind: 'join', known, slot: slotAtAddress, disk };
  const slot = slots.includes(address) ? `${address}/${known.epoch + 1}` : address;
  if (slots.length < run.options.members) return { kind: 'join', known, slot, disk, address };
  const replacedSlot = draw.pick(slots) ?? '';
  return { kind: 'replace', known, replacedSlot, slot, disk, address };
};

const changeMembers = (run: Run, draw: Draw): void => {
  const name = draw.pick(clientNames) ?? '';
  const known = run.cluster.clients[name]?.members?.value;
  const goal = known === undefined ? null : membershipGoal(run, draw, known);
  if (goal !== null) run.cluster.dispatchToClient(name, { kind: 'propose', goal });
};

const retryOrRepair = (run: Run, draw: Draw): void => {
  const name = draw.pick(clientNames) ?? '';
  const client = run.cluster.clients[name];
  const attempt = draw.pick(Object.keys(client?.attempts ?? {}));
  if (attempt !== undefined) {
    run.cluster.dispatchToClient(name, { kind: 'retry', attempt: Number(attempt) });
    return;
  }
  const key = draw.pick(client?.minorityKeys ?? []);
  if (key === undefined) return;
  run.cluster.dispatchToClient(name, { kind: 'propose', goal: { kind: 'repair', key } });
};

const pollMembersOrReplica = (run: Run, draw: Draw): void => {
  const name = draw.pick(clientNames) ?? '';
  if (draw.next() < 0.8) {
    run.cluster.dispatchToClient(name, { kind: 'pull' });
    return;
  }
  const address = draw.pick(Object.keys(run.cluster.replicas)) ?? '';
  run.cluster.dispatchToClient(name, { kind: 'look', address });
};

const postEntry = (run: Run, draw: Draw): void => {
  const name = draw.pick(clientNames) ?? '';
  run.cluster.dispatchToClient(name, { kind: 'post', entryKey: run.id(`fact-${name}`) });
};

const outpace = (run: Run, draw: Draw): void => {
  const rounds = 1 + draw.index(maxOutpaceRounds);
  run.cluster.dispatchToClient(draw.pick(clientNames) ?? '', { kind: 'outpaced', rounds });
};

const restartClient = (run: Run, draw: Draw): void => {
  run.cluster.dispatchToClient(draw.pick(clientNames) ?? '', { kind: 'restart' });
};

type PerformAction = (run: Run, draw: Draw) => void;
/**
 * An action and its probability. A rough action runs only in rough phases; in calm phases a message
 * is delivered instead.
 */
type Action = {
  readonly weight: number;
  readonly perform: PerformAction;
  readonly isRough?: boolean;
};

const weightedActions: readonly Action[] = [
  { weight: 0.72, perform: (run, draw) => deliverMessage(run, draw, false) },
  { weight: 0.01, perform: (run, draw) => deliverMessage(run, draw, true), isRough: true },
  { weight: 0.01, perform: freeze, isRough: true },
  { weight: 0.02, perform: loseOrTimeOut, isRough: true },
  { weight: 0.12, perform: tickReplica },
  { weight: 0.03, perform: crashOrStart, isRough: true },
  { weight: 0.008, perform: wipe, isRough: true },
  { weight: 0.015, perform: append },
  { weight: 0.015, perform: changeMembers },
  { weight: 0.02, perform: retryOrRepair },
  { weight: 0.02, perform: pollMembersOrReplica },
  { weight: 0.007, perform: postEntry },
  { weight: 0.003, perform: restartClient, isRough: true },
  { weight: 0.002, perform: outpace, isRough: true },
];

const actions = weightedActions.map(({ perform, isRough }, index) => ({
  perform,
  isRough: isRough === true,
  upTo: weightedActions.slice(0, index + 1).reduce((sum, { weight }) => sum + weight, 0),
}));

/**
 * Runs a schedule until an invariant is violated.
 *
 * @example
 * playRun(options, [1, 2, 3]).violations // []
 */
export const playRun = (options: RunOptions, schedule: readonly number[]): RunFigures => {
  const run = new Run(options);
  let steps = 0;
  const watchedViolations = (): readonly Violation[] =>
    run.cluster.history.violations.filter(
      ({ invariant }) => options.watched?.includes(invariant) ?? true,
    );
  for (const seed of schedule) {
    run.step(seed);
    steps += 1;
    if (watchedViolations().length > 0) break;
  }
  const { history } = run.cluster;
  return {
    violations: watchedViolations(),
    steps,
    epochs: Object.keys(history.epochs).length,
    appended: history.appended.length,
    posted: history.posted.length,
    leases: history.leases,
    wipes: run.wipes,
    crashes: run.crashes,
    returns: run.returns,
  };
};

/**
 * Returns a much shorter schedule that violates the same invariant, to make the run easier to read.
 *
 * @example
 * shortenSchedule(options, schedule).length // a few dozen steps, of a thousand
 */
export const shortenSchedule = (
  options: RunOptions,
  schedule: readonly number[],
): readonly number[] => {
  const [firstViolation] = playRun(options, schedule).violations;
  if (firstViolation === undefined) return schedule;
  const watching = { ...options, watched: [firstViolation.invariant] };
  let shortest = schedule;
  for (let chunkLength = schedule.length >> 1; chunkLength >= 1; chunkLength >>= 1) {
    for (let from = shortest.length - chunkLength; from >= 0; from -= chunkLength) {
      const candidate = [...shortest.slice(0, from), ...shortest.slice(from + chunkLength)];
      if (playRun(watching, candidate).violations.length > 0) shortest = candidate;
    }
  }
  return shortest;
};
