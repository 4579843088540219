/**
 * Test support: long random runs of a cluster. Each number of a schedule is one step; the same
 * numbers give the same run.
 */
import { majorityOf } from '@reedyard/consensus';
import { type Membership, openReplica } from '@reedyard/replica';
import { Cluster, type Syncing } from './membership-cluster.js';
import type { Goal } from './membership-goals.js';
import type { Invariant, Violation } from './membership-history.js';
import type { Mutation } from './membership-mutations.js';
import type { ModelReplica } from './membership-network.js';

/**
 * OriginStandIn disks that no membership ever named; those that are blank now, though one may have
 * named them; or also such as were blank once, by old news.
 */
export type Offers = 'never-named' | 'blank-now' | 'blank-once';

export type RunOptions = {
  readonly founders: readonly string[];
  readonly spares: readonly string[];
  readonly members: number;
  readonly mutation: Mutation;
  readonly syncing: Syncing;
  /** Which blank disks clients offer a slot to. */
  readonly offers: Offers;
  /** The run ends with the first of these; all if left out. */
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
  /** Disks that came back after their place was given away. */
  readonly returns: number;
};

/** ms that pass with each step; a run stays far under the incarnation of a journal entry. */
const stepMillis = 20;
/** Steps of a calm or a rough time. */
const spellSteps = 100;
/** Messages under way; the oldest get lost beyond it. */
const networkLimit = 80;
/** Rounds by which a client's proposals may jump. */
const farthestRounds = 6;
/** Share of the steps after which a replica's writes reach its disk. */
const syncShare = 0.5;
/** Share of the draws of a running replica that end its process. */
const crashShare = 0.4;
const clientNames = ['p', 'q', 'r'];

/** Draws from one number of the schedule. */
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
  /** Low indexes more often: messages tend to come in the order they were sent. */
  early(length: number): number {
    return Math.floor(this.next() ** 2 * length);
  }
  pick<T>(items: readonly T[]): T | undefined {
    return items[this.index(items.length)];
  }
}

type OriginStandIn = { readonly address: string; readonly disk: string };

class Run {
  readonly cluster: Cluster;
  readonly #options: RunOptions;
  readonly #blanksSeen: OriginStandIn[] = [];
  #counter = 0;
  wipes = 0;
  crashes = 0;
  returns = 0;

  constructor(options: RunOptions) {
    this.#options = options;
    this.cluster = Cluster.found({ ...options, clients: clientNames });
  }

  step(number: number): void {
    const { cluster } = this;
    cluster.step += 1;
    cluster.now += stepMillis;
    const draw = new Draw(number);
    const kind = draw.next();
    const action = actions.find(({ upTo }) => kind < upTo);
    if (action?.rough === true && this.#isCalm(draw)) deliver(this, draw, false);
    else action?.act(this, draw);
    if (cluster.messages.length > networkLimit) cluster.drop(0);
    if (cluster.syncing === 'later') this.#syncSome(draw);
  }

  /** Rough times and calm ones take turns; what stands still is started again in calm ones. */
  #isCalm(draw: Draw): boolean {
    if (Math.floor(this.cluster.step / spellSteps) % 2 === 1) return false;
    const { replicas } = this.cluster;
    const stopped = Object.values(replicas).filter(({ running }) => !running);
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

  /** Most writes reach the disk soon. */
  #syncSome(draw: Draw): void {
    for (const { address, unsynced } of Object.values(this.cluster.replicas)) {
      if (unsynced.length > 0 && draw.next() < syncShare) this.cluster.sync(address);
    }
  }

  /** Disks without a slot, as gossip tells of them. */
  blanks(draw: Draw): readonly OriginStandIn[] {
    const now = Object.values(this.cluster.replicas)
      .filter(({ running, state }) => running && !state.hasBegunVoting)
      .map(({ address, state }) => ({ address, disk: state.diskId }));
    if (this.#options.offers === 'never-named') return now.filter((each) => !this.#named(each));
    if (this.#options.offers === 'blank-now') return now;
    this.#blanksSeen.push(...now.filter(({ disk }) => !this.#seen(disk)));
    return draw.next() < 0.5 ? this.#blanksSeen : now;
  }

  #named({ disk }: OriginStandIn): boolean {
    const epochs = Object.values(this.cluster.history.epochs);
    return epochs.some(({ disks }) => Object.values(disks).includes(disk));
  }

  #seen(disk: string): boolean {
    return this.#blanksSeen.some((blank) => blank.disk === disk);
  }

  newestMembers(): Membership {
    const epochs = Object.values(this.cluster.history.epochs);
    return epochs.reduce((best, each) => (each.epoch > best.epoch ? each : best));
  }

  /** Whether a disk holds its slot in the newest membership, on what it would be after a crash. */
  isSound({ address, durable }: ModelReplica, members: Membership): boolean {
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
    const place = Object.keys(members.disks).find((each) => members.disks[each] === state.diskId);
    return (
      state.hasBegunVoting &&
      place !== undefined &&
      (members.joinedIn?.[place] ?? 0) <= state.votingEpoch
    );
  }

  /** A wipe may leave no fewer than a majority of sound disks: at most f are lost at once. */
  mayWipe(address: string): boolean {
    const members = this.newestMembers();
    const others = Object.values(this.cluster.replicas).filter((each) => each.address !== address);
    const sound = others.filter((each) => this.isSound(each, members)).length;
    return sound >= majorityOf(Object.keys(members.disks).length);
  }
}

const deliver = (run: Run, draw: Draw, keep: boolean): void => {
  const { cluster } = run;
  const index = draw.early(cluster.messages.length);
  if (cluster.messages[index]?.frozen === true) return;
  cluster.deliver(index, keep);
};

const freeze = (run: Run, draw: Draw): void => {
  const { cluster } = run;
  const chosen = draw.index(cluster.messages.length);
  const thaws = draw.next() < 0.5;
  cluster.messages = cluster.messages.map((message, index) =>
    thaws || index === chosen ? { ...message, frozen: !thaws } : message,
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

const beat = (run: Run, draw: Draw): void => {
  const { cluster } = run;
  const running = Object.values(cluster.replicas).filter((each) => each.running);
  const waiting = running.filter(({ state }) => !state.hasBegunVoting);
  const replica = draw.pick(waiting.length > 0 && draw.next() < 0.8 ? waiting : running);
  if (replica === undefined) return;
  cluster.tellReplica(replica.address, { kind: 'tick', now: cluster.now });
};

const crashOrStart = (run: Run, draw: Draw): void => {
  const { cluster } = run;
  const replicas = Object.values(cluster.replicas);
  const stopped = replicas.filter(({ running }) => !running);
  const busy = replicas.filter(({ unsynced }) => unsynced.length > 0);
  const first = stopped.length > 0 ? stopped : busy.length > 0 ? busy : replicas;
  const replica = draw.pick(draw.next() < 0.6 ? first : replicas);
  if (replica === undefined) return;
  if (!replica.running) {
    cluster.start(replica.address);
    const isMember = Object.values(run.newestMembers().disks).includes(replica.state.diskId);
    if (replica.state.hasBegunVoting && !isMember) run.returns += 1;
  } else if (draw.next() < crashShare) {
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
  run.cluster.tellClient(name, {
    kind: 'propose',
    goal: { kind: 'append', id: run.id(name) },
  });
};

const membershipGoal = (run: Run, draw: Draw, known: Membership): Goal | null => {
  const places = Object.keys(known.disks);
  const members = Object.values(known.disks);
  const blank = draw.pick(run.blanks(draw).filter(({ disk }) => !members.includes(disk)));
  if (blank === undefined) return null;
  const { address, disk } = blank;
  const here = places.find((place) => known.addresses?.[place] === address);
  if (here !== undefined) return { kind: 'join', known, place: here, disk };
  const place = places.includes(address) ? `${address}/${known.epoch + 1}` : address;
  if (places.length < run.options.members) return { kind: 'join', known, place, disk, address };
  const gone = draw.pick(places) ?? '';
  return { kind: 'replace', known, gone, place, disk, address };
};

const changeMembers = (run: Run, draw: Draw): void => {
  const name = draw.pick(clientNames) ?? '';
  const known = run.cluster.clients[name]?.members?.value;
  const goal = known === undefined ? null : membershipGoal(run, draw, known);
  if (goal !== null) run.cluster.tellClient(name, { kind: 'propose', goal });
};

const retryOrRepair = (run: Run, draw: Draw): void => {
  const name = draw.pick(clientNames) ?? '';
  const client = run.cluster.clients[name];
  const attempt = draw.pick(Object.keys(client?.attempts ?? {}));
  if (attempt !== undefined) {
    run.cluster.tellClient(name, { kind: 'retry', attempt: Number(attempt) });
    return;
  }
  const key = draw.pick(client?.hanging ?? []);
  if (key === undefined) return;
  run.cluster.tellClient(name, { kind: 'propose', goal: { kind: 'repair', key } });
};

const pullOrLook = (run: Run, draw: Draw): void => {
  const name = draw.pick(clientNames) ?? '';
  if (draw.next() < 0.8) {
    run.cluster.tellClient(name, { kind: 'pull' });
    return;
  }
  const address = draw.pick(Object.keys(run.cluster.replicas)) ?? '';
  run.cluster.tellClient(name, { kind: 'look', address });
};

const post = (run: Run, draw: Draw): void => {
  const name = draw.pick(clientNames) ?? '';
  run.cluster.tellClient(name, { kind: 'post', fact: run.id(`fact-${name}`) });
};

const outpace = (run: Run, draw: Draw): void => {
  const rounds = 1 + draw.index(farthestRounds);
  run.cluster.tellClient(draw.pick(clientNames) ?? '', { kind: 'outpaced', rounds });
};

const restartClient = (run: Run, draw: Draw): void => {
  run.cluster.tellClient(draw.pick(clientNames) ?? '', { kind: 'restart' });
};

type Act = (run: Run, draw: Draw) => void;
/** A rough one comes in rough times alone; in calm ones a message is delivered instead. */
type Action = { readonly share: number; readonly act: Act; readonly rough?: boolean };

const shares: readonly Action[] = [
  { share: 0.72, act: (run, draw) => deliver(run, draw, false) },
  { share: 0.01, act: (run, draw) => deliver(run, draw, true), rough: true },
  { share: 0.01, act: freeze, rough: true },
  { share: 0.02, act: loseOrTimeOut, rough: true },
  { share: 0.12, act: beat },
  { share: 0.03, act: crashOrStart, rough: true },
  { share: 0.008, act: wipe, rough: true },
  { share: 0.015, act: append },
  { share: 0.015, act: changeMembers },
  { share: 0.02, act: retryOrRepair },
  { share: 0.02, act: pullOrLook },
  { share: 0.007, act: post },
  { share: 0.003, act: restartClient, rough: true },
  { share: 0.002, act: outpace, rough: true },
];

const actions = shares.map(({ act, rough }, index) => ({
  act,
  rough: rough === true,
  upTo: shares.slice(0, index + 1).reduce((sum, { share }) => sum + share, 0),
}));

/**
 * Plays a schedule, until an invariant breaks.
 *
 * @example
 * playRun(options, [1, 2, 3]).violations // []
 */
export const playRun = (options: RunOptions, schedule: readonly number[]): RunFigures => {
  const run = new Run(options);
  let steps = 0;
  const broken = (): readonly Violation[] =>
    run.cluster.history.violations.filter(
      ({ invariant }) => options.watched?.includes(invariant) ?? true,
    );
  for (const number of schedule) {
    run.step(number);
    steps += 1;
    if (broken().length > 0) break;
  }
  const { history } = run.cluster;
  return {
    violations: broken(),
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
 * A schedule that breaks the same invariant in far fewer steps, for whoever has to read the run.
 *
 * @example
 * shorten(options, schedule).length // a few dozen steps, of a thousand
 */
export const shorten = (options: RunOptions, schedule: readonly number[]): readonly number[] => {
  const [broken] = playRun(options, schedule).violations;
  if (broken === undefined) return schedule;
  const watching = { ...options, watched: [broken.invariant] };
  let shortest = schedule;
  for (let part = schedule.length >> 1; part >= 1; part >>= 1) {
    for (let from = shortest.length - part; from >= 0; from -= part) {
      const fewer = [...shortest.slice(0, from), ...shortest.slice(from + part)];
      if (playRun(watching, fewer).violations.length > 0) shortest = fewer;
    }
  }
  return shortest;
};
