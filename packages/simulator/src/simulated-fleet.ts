/**
 * A whole fleet in virtual time: machines, disks, network, origins and clients around the
 * product's own reducers.
 */
import {
  type AgentEffect,
  type AgentEvent,
  type AgentState,
  agentTickIntervalMs,
  type ApiAction,
  type ClaimReply,
  type Feed,
  type FeedReply,
  openAgent,
  proposalTimeoutMs,
  reduceAgent,
} from '@reedyard/agent';
import { Cache } from '@reedyard/cache';
import {
  type ClientResponse,
  type AttemptResponse,
  type ClientRequest,
  connectTimeoutMs,
  feedIntervalMs,
  Feeds,
  type ProxyFeedSnapshot,
  ProxyCore,
  type ProxyEffect,
  type ProxyEvent,
  type ProxyState,
  proxyTickIntervalMs,
  type AttemptTarget,
} from '@reedyard/proxy';
import {
  openReplica,
  reduceReplica,
  type ReplicaEffect,
  type ReplicaEvent,
  type ReplicaRecord,
  type ReplicaRequest,
  type ReplicaState,
  replicaTickIntervalMs,
  snapshotRecords,
} from '@reedyard/replica';
import { callTimeoutMs } from '@reedyard/rpc';
import type { OriginDescription, Policy } from '@reedyard/schemas';
import type { Deployment, Machine } from '@reedyard/topology';
import { VirtualClock } from './virtual-clock.js';
import type { Entry, SimBody } from './history.js';
import {
  isClaimGrantedByFault,
  feedWithFault,
  type InjectedFault,
  agentStateWithFault,
  withUncountedGrant,
  replyWithFault,
  feedWithSelection,
  type Selection,
} from './injected-faults.js';
import { SimulatedNetwork } from './simulated-network.js';
import type { RequestedFleet, ScenarioOrigin } from './scenarios/environment.js';

type Program = 'agent' | 'proxy' | 'replica';
type Reducers = {
  agent: { state: AgentState; event: AgentEvent; effect: AgentEffect };
  proxy: { state: ProxyState; event: ProxyEvent; effect: ProxyEffect };
  replica: { state: ReplicaState; event: ReplicaEvent; effect: ReplicaEffect };
};

/** One life of one process. Its monotonic clock starts anywhere and runs on while it is frozen. */
type Process<P extends Program> = {
  readonly program: P;
  readonly machine: Machine;
  readonly clockFrom: number;
  readonly clockRate: number;
  state: Reducers[P]['state'];
  alive: boolean;
  frozen: boolean;
  readonly waiting: (() => void)[];
  readonly asking: Map<number, (reply: unknown) => void>;
  nextAsk: number;
};

/** A disk: what is synced survives; what is not may be lost. */
type Disk = {
  synced: ReplicaRecord[];
  unsynced: ReplicaRecord[];
  syncing: boolean;
  count: number;
  waiters: { readonly need: number; readonly act: () => void }[];
};
const blankDisk = (synced: ReplicaRecord[] = []): Disk => ({
  synced,
  unsynced: [],
  syncing: false,
  count: 0,
  waiters: [],
});

type SimulatedMachine = {
  readonly machine: Machine;
  /** Name that it goes by; two machines may claim one. */ readonly memberName: string;
  agent: Process<'agent'> | null;
  proxy: Process<'proxy'> | null;
  replica: Process<'replica'> | null;
  disk: Disk;
  isPowered: boolean;
  identityRecords: readonly ReplicaRecord[];
};

/** A stand-in origin: an identity at an address. */
export type SimulatedOrigin = ScenarioOrigin & {
  readonly address: string;
  previous: AttemptResponse | null;
};

/** A field of an answer as text; empty where there is none. */
const fieldOf = (headers: Readonly<Record<string, unknown>>, name: string): string => {
  const value = headers[name];
  return typeof value === 'string' ? value : '';
};

/** What a submission is to become: an answer to the caller. */
type Caller = {
  readonly submission: number;
  readonly done: (
    got: {
      status: number;
      headers: Record<string, unknown>;
      body: SimBody | null;
      whole: boolean;
      retryAfter: boolean;
      why: string;
    } | null,
  ) => void;
};
/** Callers of one process that wait for an answer, by the process's number for each. */
type CallerTable = Map<number, Caller & { readonly mark: string | null }>;
/** Submissions of one process, by its number for each request. */
type SubmissionTable = Map<number, { readonly submission: number; readonly job: string }>;

export type Tuning = {
  readonly loss: number;
  readonly plant: InjectedFault;
  readonly regionsMs: number;
  readonly selection?: Selection;
  /** ms that a message may wait more. */
  readonly busyMs?: number;
  /** How far the clocks of machines may run from the true rate: a share of it, either way. */
  readonly drift?: number;
  /** Nodes serve on while they are cut off. */
  readonly servesOn?: boolean;
  /** Members found themselves from the seeds' replicas, instead of being named by the settings. */
  readonly voting?: { readonly losses: number; readonly catchUpMs?: number };
};

/** A whole fleet in virtual time. */
export class SimulatedFleet implements RequestedFleet {
  readonly clock: VirtualClock;
  readonly history: Entry[] = [];
  readonly machines = new Map<string, SimulatedMachine>();
  readonly origins: SimulatedOrigin[] = [];
  readonly #reach: SimulatedNetwork;
  readonly #drained = new Map<string, Feed['origins'][number]>();
  /** What settings name as seeds to those that start from now on. */
  seeds: readonly string[] = [];
  /**
   * What settings say where members found themselves: whether the whole system starts for the very
   * first time.
   */
  firstStart = true;
  readonly counts = { messages: 0, events: 0 };
  /** Time to the last byte of each answer that callers got, ms. */
  readonly waits: { readonly at: number; readonly ms: number }[] = [];
  /** When each proxy's link is free again: replies leave one after another at its capacity. */
  readonly #busyUntil = new Map<string, number>();
  #lives = 0;
  readonly #clockRates = new Map<string, number>();
  #marks = 0;

  constructor(
    readonly deployment: Deployment,
    seed: number,
    readonly tuning: Tuning,
  ) {
    this.clock = new VirtualClock(seed);
    this.#reach = new SimulatedNetwork(
      Object.keys(this.founders()),
      () => this.clock.now(),
      (entry) => this.history.push(entry),
    );
    this.seeds = deployment.machines
      .filter((each) => each.kind !== 'front')
      .slice(0, 3)
      .map((each) => `${each.name}/agent`);
    for (const machine of deployment.machines) {
      this.machines.set(machine.name, {
        machine,
        memberName: machine.name,
        agent: null,
        proxy: null,
        replica: null,
        isPowered: false,
        disk: blankDisk(),
        identityRecords: [],
      });
      const drift = tuning.plant === 'wild-clocks' ? 0.45 : (tuning.drift ?? 0);
      if (drift > 0) this.#clockRates.set(machine.name, this.clock.between(1 - drift, 1 + drift));
    }
    for (const [index, spec] of deployment.origins.entries()) {
      this.origins.push({
        spec,
        address: `10.9.0.${index + 1}:9000`,
        incarnation: 1,
        service: spec.service,
        instance: spec.instance,
        alive: true,
        cold: false,
        draining: false,
        capacity: spec.capacity,
        silent: false,
        mode: { slowMs: 5, lose: 0, garbage: 0, short: 0, foreign: 0, aged: 0, large: 0 },
        previous: null,
      });
    }
    for (const origin of this.origins)
      this.clock.schedule(this.clock.between(0, 1_000), () => this.#announce(origin));
  }

  machineNames(): readonly string[] {
    return [...this.machines.keys()];
  }
  isRunning(name: string): boolean {
    return this.machines.get(name)?.agent?.alive === true;
  }
  /** The machine that has the quotaLeadership. */
  holder(): string | undefined {
    return [...this.machines.values()].find(
      (box) => box.agent !== null && box.agent.state.quotaLeadership !== null,
    )?.machine.name;
  }

  #machineAt(place: string): Machine | undefined {
    return this.machines.get(place)?.machine;
  }

  /** Another machine, with a blank disk, that goes by the name of one which may still run. */
  startDuplicate(name: string): string {
    const box = this.machines.get(name);
    const place = `${name}~2`;
    if (box !== undefined)
      this.machines.set(place, {
        machine: { ...box.machine, name: place },
        memberName: name,
        agent: null,
        proxy: null,
        replica: null,
        isPowered: false,
        disk: blankDisk(),
        identityRecords: [],
      });
    this.start(place);
    return place;
  }
  #where(place: string): { zone: string; region: string } {
    const machine = this.#machineAt(place);
    if (machine !== undefined) return machine;
    return (
      this.origins.find((origin) => origin.address === place)?.spec ?? {
        zone: 'outside',
        region: 'outside',
      }
    );
  }

  /** ms one way between two places. */
  delay(from: string, to: string): number {
    const [a, b] = [this.#where(from), this.#where(to)];
    const base =
      from === to
        ? 0.05
        : a.region !== b.region && a.region !== 'outside' && b.region !== 'outside'
          ? this.tuning.regionsMs / 2
          : a.zone !== b.zone
            ? 0.4
            : 0.2;
    return base + this.clock.random() * (0.3 + (from === to ? 0 : (this.tuning.busyMs ?? 0)));
  }

  cut(from: string, to: string): void {
    this.#reach.cut(from, to);
  }
  /** Cuts a machine off, both ways or only what it sends or only what it hears. */
  isolate(name: string, way: 'both' | 'out' | 'in' = 'both'): void {
    for (const other of [
      ...this.machines.keys(),
      ...this.origins.map((origin) => origin.address),
    ]) {
      if (other === name) continue;
      if (way !== 'in') this.cut(name, other);
      if (way !== 'out') this.cut(other, name);
    }
  }
  heal(): void {
    this.#reach.heal();
  }

  /** Carries something to another place, or loses it. */
  #carry(from: string, to: string, act: () => void): void {
    this.counts.messages += 1;
    if (this.#reach.isCut(from, to)) return;
    if (from !== to && this.clock.random() < this.tuning.loss) return;
    this.clock.schedule(this.delay(from, to), act);
  }

  #now(process: Process<Program>): number {
    return (this.clock.now() - process.clockFrom) * process.clockRate;
  }

  /** Does something inside a process: now, when it thaws, or never if it is dead by then. */
  #inside(process: Process<Program>, act: () => void): void {
    if (!process.alive) return;
    if (process.frozen) {
      process.waiting.push(() => this.#inside(process, act));
      return;
    }
    act();
  }

  #step<P extends Program>(process: Process<P>, event: Reducers[P]['event']): void {
    if (!process.alive) return;
    this.counts.events += 1;
    const reduce = (
      process.program === 'agent'
        ? reduceAgent
        : process.program === 'proxy'
          ? ProxyCore.reduce
          : reduceReplica
    ) as (
      state: unknown,
      event: unknown,
    ) => { state: Reducers[P]['state']; effects: readonly Reducers[P]['effect'][] };
    if (process.program === 'agent')
      process.state = agentStateWithFault(
        this.tuning.plant,
        process.state as AgentState,
        event.now,
      );
    const step = reduce(process.state, event);
    process.state = step.state;
    if (process.program === 'replica' && this.tuning.plant === 'forget-when-replaced')
      this.#forgetWhenReplaced(process as unknown as Process<'replica'>);
    if (process.program === 'agent') this.#tookStep(process as unknown as Process<'agent'>);
    for (const effect of step.effects) {
      if (!process.alive) return;
      if (process.program === 'agent')
        this.#agentEffect(process as unknown as Process<'agent'>, effect as AgentEffect);
      else if (process.program === 'proxy')
        this.#proxyEffect(process as unknown as Process<'proxy'>, effect as ProxyEffect);
      else this.#replicaEffect(process as unknown as Process<'replica'>, effect as ReplicaEffect);
    }
  }

  /**
   * A planted fault: a replica whose place was given away has nothing that its successor could
   * read.
   */
  #forgetWhenReplaced(process: Process<'replica'>): void {
    const { state } = process;
    const disk = `${state.diskId}/forgotten`;
    if (state.retirement !== null)
      process.state = { ...state, hasBegunVoting: false, diskId: disk, retirement: null };
  }

  #tookStep(process: Process<'agent'>): void {
    if (process.state.leaseUntil > this.#now(process))
      this.#reach.leaseAcquired(process.machine.name);
  }

  #make<P extends Program>(
    program: P,
    machine: Machine,
    state: (now: number) => Reducers[P]['state'],
  ): Process<P> {
    const clockFrom = this.clock.now() - this.clock.between(0, 1e6);
    const clockRate = this.#clockRates.get(machine.name) ?? 1;
    return {
      program,
      machine,
      clockFrom,
      clockRate,
      state: state((this.clock.now() - clockFrom) * clockRate),
      alive: true,
      frozen: false,
      waiting: [],
      asking: new Map(),
      nextAsk: 1,
    };
  }

  #every(process: Process<Program>, ms: number, act: () => void): void {
    this.clock.schedule((ms / process.clockRate) * this.clock.between(0.9, 1.1), () =>
      this.#inside(process, () => {
        act();
        this.#every(process, ms, act);
      }),
    );
  }

  /** The replicas of the machines that settings name as seeds. */
  #replicaSeeds(): readonly string[] {
    return this.seeds.map((seed) => seed.replace(/\/agent$/, '/replica'));
  }

  founders(): Record<string, string> {
    return Object.fromEntries(
      this.deployment.machines
        .filter((machine) => machine.kind !== 'front')
        .map((machine) => [machine.name, `${machine.name}/replica`]),
    );
  }

  /** Starts a machine's programs, each a little after the other. */
  start(name: string): void {
    const box = this.machines.get(name);
    if (box === undefined) return;
    box.isPowered = true;
    this.#reach.changed(name);
    const { machine } = box;
    if (machine.kind !== 'front' && box.replica === null)
      this.clock.schedule(this.clock.between(50, 400), () => {
        if (box.isPowered && box.replica === null) this.#startReplica(box);
      });
    if (box.agent === null)
      this.clock.schedule(this.clock.between(50, 400), () => {
        if (box.isPowered && box.agent === null) this.#startAgent(box);
      });
    if (machine.kind === 'front' && box.proxy === null)
      this.clock.schedule(this.clock.between(50, 400), () => {
        if (box.isPowered && box.proxy === null) this.#startProxy(box);
      });
  }

  #startReplica(box: SimulatedMachine): void {
    this.#lives += 1;
    const { machine } = box;
    const others = Object.fromEntries(
      Object.entries(this.founders()).filter(([name]) => name !== box.memberName),
    );
    // A wiped disk that still goes by its old name votes as if it knew all that it promised.
    const records =
      this.tuning.plant === 'wiped-votes' && box.disk.synced.length === 0
        ? box.identityRecords
        : box.disk.synced;
    let effects: readonly ReplicaEffect[] = [];
    const process = this.#make('replica', machine, (now) => {
      const bootstrap =
        this.tuning.voting === undefined
          ? null
          : {
              address: `${machine.name}/replica`,
              seeds: this.#replicaSeeds(),
              isFirstStart: this.firstStart,
            };
      const opened = openReplica({
        name: box.memberName,
        otherFounders: others,
        bootstrap,
        records,
        newDiskId: `disk-${this.#lives}`,
        now,
      });
      effects = opened.effects;
      return opened.state;
    });
    box.replica = process;
    effects.forEach((effect) => this.#replicaEffect(process, effect));
    this.#every(process, replicaTickIntervalMs, () => {
      this.#step(process, { kind: 'tick', now: this.#now(process) });
      this.#compact(box, process);
    });
  }

  /** Compaction rewrites the disk from the state, as the real log does. */
  #compact(box: SimulatedMachine, process: Process<'replica'>): void {
    if (box.disk.synced.length > 4_000 && box.disk.unsynced.length === 0)
      box.disk.synced = [...snapshotRecords(process.state)];
  }

  #startAgent(box: SimulatedMachine): void {
    this.#lives += 1;
    const { machine } = box;
    const fronts = machine.kind === 'front';
    const process = this.#make('agent', machine, (now) =>
      openAgent({
        self: {
          id: box.memberName,
          servesOn: this.tuning.servesOn === true,
          zone: machine.zone,
          region: machine.region,
          address: `${machine.name}/agent`,
          proxy: fronts
            ? {
                callers: `${machine.name}/proxy`,
                peers: `${machine.name}/peers`,
                capacityBps: machine.capacityBps ?? 8e6,
              }
            : null,
          replica: fronts ? null : { address: `${machine.name}/replica` },
        },
        incarnation: `life-${this.#lives}`,
        seeds: this.seeds,
        founders: this.founders(),
        bootstrap:
          this.tuning.voting === undefined
            ? null
            : { ...this.tuning.voting, seeds: this.#replicaSeeds() },
        randomSeed: Math.floor(this.clock.random() * 2 ** 31),
        now,
      }),
    );
    box.agent = process;
    this.#every(process, agentTickIntervalMs, () =>
      this.#step(process, { kind: 'tick', now: this.#now(process) }),
    );
  }

  #startProxy(box: SimulatedMachine): void {
    this.#lives += 1;
    const { machine } = box;
    const process = this.#make('proxy', machine, (now) =>
      ProxyCore.open(
        {
          id: machine.name,
          zone: machine.zone,
          region: machine.region,
          capacityBps: machine.capacityBps ?? 8e6,
          life: `proxy-${this.#lives}`,
        },
        now,
      ),
    );
    box.proxy = process;
    this.#every(process, proxyTickIntervalMs, () =>
      this.#step(process, { kind: 'tick', now: this.#now(process) }),
    );
    this.#step(process, { kind: 'feed-due', now: this.#now(process) });
  }

  #end(process: Process<Program> | null): void {
    if (process === null) return;
    process.alive = false;
    process.asking.clear();
  }

  /** Kills a machine's processes at once. Unsynced writes are lost, or some of them are. */
  kill(name: string): void {
    const box = this.machines.get(name);
    if (box === undefined) return;
    this.#reach.changed(name);
    this.#end(box.agent);
    this.#end(box.proxy);
    this.#end(box.replica);
    const proxy = box.proxy;
    if (proxy !== null) for (const id of this.#callersOf(proxy)) id.done(null);
    box.agent = null;
    box.proxy = null;
    box.replica = null;
    box.isPowered = false;
    const kept = Math.floor(this.clock.random() * (box.disk.unsynced.length + 1));
    if (this.tuning.plant === 'forgetful-disks') {
      box.disk = blankDisk();
      return;
    }
    box.disk = blankDisk([...box.disk.synced, ...box.disk.unsynced.slice(0, kept)]);
  }
  /** The warning before a stop: the proxy leaves, the rest goes on until it is killed. */
  warn(name: string): void {
    const proxy = this.machines.get(name)?.proxy ?? null;
    if (proxy !== null)
      this.#inside(proxy, () =>
        this.#step(proxy, { kind: 'stop-requested', now: this.#now(proxy) }),
      );
  }
  /** Tells a machine's replica to stop; it ends by itself, as soon as nothing waits for it. */
  stopReplica(name: string): void {
    const replica = this.machines.get(name)?.replica ?? null;
    if (replica === null) return;
    this.#inside(replica, () =>
      this.#step(replica, { kind: 'stop-requested', now: this.#now(replica) }),
    );
  }
  /** Takes a dead machine's disk away. */
  wipe(name: string): void {
    const box = this.machines.get(name);
    if (box === undefined || box.isPowered) return;
    box.identityRecords = box.disk.synced.filter(
      (record) =>
        record.kind === 'disk-named' ||
        record.kind === 'voting-begun' ||
        (record.kind === 'register-written' && record.key === 'members'),
    );
    box.disk = blankDisk();
  }
  freeze(name: string): void {
    this.#reach.changed(name);
    const box = this.machines.get(name);
    for (const process of [box?.agent, box?.proxy, box?.replica])
      if (process) process.frozen = true;
  }
  thaw(name: string): void {
    this.#reach.changed(name);
    const box = this.machines.get(name);
    for (const process of [box?.agent, box?.proxy, box?.replica]) {
      if (!process || !process.frozen) continue;
      process.frozen = false;
      for (const act of process.waiting.splice(0)) act();
    }
  }
  fault(what: string): void {
    this.history.push({ kind: 'fault', at: this.clock.now(), label: what });
  }

  // Calls between processes -----------------------------------------------------------------------

  /** Asks a process of another machine; `lost` once the limit has passed without an answer. */
  #call(
    from: Process<Program>,
    to: string,
    deliver: (target: SimulatedMachine, reply: (body: unknown) => void) => void,
    returned: (body: unknown) => void,
    lost: () => void,
    limitMs: number = callTimeoutMs,
  ): void {
    let over = false;
    const name = to.split('/', 1)[0] ?? to;
    this.clock.schedule(limitMs, () =>
      this.#inside(from, () => {
        if (!over) {
          over = true;
          lost();
        }
      }),
    );
    this.#carry(from.machine.name, name, () => {
      const box = this.machines.get(name);
      if (box === undefined) return;
      deliver(box, (body) =>
        this.#carry(name, from.machine.name, () =>
          this.#inside(from, () => {
            if (!over) {
              over = true;
              returned(body);
            }
          }),
        ),
      );
    });
  }

  #askAgent(
    process: Process<'agent'>,
    event: (id: number) => AgentEvent,
    reply: (body: unknown) => void,
  ): void {
    this.#inside(process, () => {
      const id = process.nextAsk;
      process.nextAsk += 1;
      process.asking.set(id, reply);
      this.#step(process, event(id));
    });
  }

  #agentEffect(process: Process<'agent'>, effect: AgentEffect): void {
    switch (effect.kind) {
      case 'send-request':
        this.#call(
          process,
          effect.to,
          (box, reply) => {
            if (effect.path === '/agent') {
              const { request: body } = effect;
              const target = box.agent;
              if (target !== null)
                this.#askAgent(
                  target,
                  (id) => ({
                    kind: 'agent-request-received',
                    requestId: id,
                    request: body,
                    now: this.#now(target),
                  }),
                  reply,
                );
              return;
            }
            const target = box.replica;
            if (target !== null) this.#askReplica(target, effect.request, reply);
          },
          (body) =>
            this.#step(process, {
              kind: 'reply-received',
              requestId: effect.requestId,
              reply: body as never,
              now: this.#now(process),
            }),
          () =>
            this.#step(process, {
              kind: 'request-failed',
              requestId: effect.requestId,
              now: this.#now(process),
            }),
        );
        return;
      case 'send-reply':
        process.asking.get(effect.requestId)?.(effect.reply);
        process.asking.delete(effect.requestId);
        return;
      case 'send-answer':
        process.asking.get(effect.requestId)?.(effect);
        process.asking.delete(effect.requestId);
        return;
      case 'schedule-wake-up':
        this.clock.schedule(effect.delayMs / process.clockRate, () =>
          this.#inside(process, () =>
            this.#step(process, { kind: 'wake-up-due', now: this.#now(process) }),
          ),
        );
        return;
      case 'log':
        return;
    }
  }

  #askReplica(
    target: Process<'replica'>,
    body: ReplicaRequest,
    reply: (body: unknown) => void,
  ): void {
    this.#inside(target, () => {
      const id = target.nextAsk;
      target.nextAsk += 1;
      target.asking.set(id, reply);
      const { committedMembership: told } = target.state;
      const heard =
        this.tuning.plant === 'deaf-members' &&
        target.state.hasBegunVoting &&
        told !== null &&
        body.membership !== null
          ? { ...body, membership: told }
          : body;
      this.#step(target, {
        kind: 'request-received',
        requestId: id,
        request: heard,
        now: this.#now(target),
      });
    });
  }

  #replicaEffect(process: Process<'replica'>, effect: ReplicaEffect): void {
    const box = this.machines.get(process.machine.name);
    if (box === undefined) return;
    const { disk } = box;
    switch (effect.kind) {
      case 'append-records':
        disk.unsynced.push(...effect.records);
        this.#sync(box, disk);
        return;
      case 'send-reply': {
        const tell = (): void => {
          process.asking.get(effect.requestId)?.(effect.reply);
          process.asking.delete(effect.requestId);
        };
        if (disk.unsynced.length === 0 || this.tuning.plant === 'tell-unsynced') tell();
        else
          disk.waiters.push({
            need: disk.count + disk.unsynced.length,
            act: () => {
              if (process.alive) this.#inside(process, tell);
            },
          });
        return;
      }
      case 'send-request':
        this.#call(
          process,
          effect.to,
          (target, reply) => {
            if (target.replica !== null) this.#askReplica(target.replica, effect.request, reply);
          },
          (body) =>
            this.#step(process, {
              kind: 'reply-received',
              requestId: effect.requestId,
              reply: body as never,
              now: this.#now(process),
            }),
          () =>
            this.#step(process, {
              kind: 'request-failed',
              requestId: effect.requestId,
              now: this.#now(process),
            }),
        );
        return;
      case 'exit':
        if (box.replica === process) {
          this.#end(process);
          box.replica = null;
        }
        return;
      case 'log':
        return;
    }
  }

  #sync(box: SimulatedMachine, disk: Disk): void {
    if (disk.syncing) return;
    disk.syncing = true;
    const batch = disk.unsynced.length;
    const slow = this.tuning.plant === 'tell-unsynced' ? 400 : 1;
    this.clock.schedule(this.clock.between(1, 6) * slow, () => {
      if (box.disk !== disk) return;
      // What was appended while this sync ran waits for the next one; so do those who wait on it.
      disk.synced.push(...disk.unsynced.splice(0, batch));
      disk.count += batch;
      disk.syncing = false;
      const due = disk.waiters.filter((waiter) => waiter.need <= disk.count);
      disk.waiters = disk.waiters.filter((waiter) => waiter.need > disk.count);
      if (disk.unsynced.length > 0) this.#sync(box, disk);
      for (const waiter of due) waiter.act();
    });
  }

  // Proxies
  // ----------------------------------------------------------------------------------------

  readonly #callers = new Map<Process<'proxy'>, CallerTable>();
  readonly #attempts = new Map<string, { aborted: boolean }>();
  readonly #submissions = new Map<Process<'proxy'>, SubmissionTable>();
  #callersOf(process: Process<'proxy'>): readonly Caller[] {
    const list = [...(this.#callers.get(process)?.values() ?? [])];
    this.#callers.delete(process);
    return list;
  }

  /** Hands a request to a proxy. */
  #arrive(
    process: Process<'proxy'>,
    asked: ClientRequest,
    about: { submission: number; job: string },
    caller: Caller & { mark: string | null },
  ): void {
    this.#inside(process, () => {
      const id = process.nextAsk;
      process.nextAsk += 1;
      const callers = this.#callers.get(process) ?? (new Map() as CallerTable);
      callers.set(id, caller);
      this.#callers.set(process, callers);
      const submissions = this.#submissions.get(process) ?? (new Map() as SubmissionTable);
      submissions.set(id, about);
      this.#submissions.set(process, submissions);
      this.#marks += 1;
      if (this.tuning.plant === 'earn-twice' && asked.via !== null)
        process.state = {
          ...process.state,
          retryTokens: Object.fromEntries(
            Object.entries(process.state.retryTokens).map(([service, saved]) => [
              service,
              Math.min(3, saved + 0.15),
            ]),
          ),
        };
      this.#step(process, {
        kind: 'request-arrived',
        requestId: id,
        clientRequest: asked,
        randomNumbers: [0, 1, 2, 3, 4].map(() => this.clock.random()),
        token: `mark-${this.#marks}`,
        now: this.#now(process),
      });
    });
  }

  #proxyEffect(process: Process<'proxy'>, effect: ProxyEffect): void {
    const name = process.machine.name;
    const acted = (): void => {
      this.history.push({
        kind: 'acted',
        at: this.clock.now(),
        node: name,
        revision: process.state.policy?.revision ?? 0,
      });
    };
    switch (effect.kind) {
      case 'request-feed': {
        const askedAt = this.#now(process);
        const box = this.machines.get(name);
        const again = (): void => {
          this.clock.schedule(feedIntervalMs * this.clock.between(0.9, 1.1), () =>
            this.#inside(process, () =>
              this.#step(process, { kind: 'feed-due', now: this.#now(process) }),
            ),
          );
        };
        this.#call(
          process,
          name,
          (_target, reply) => {
            if (box?.agent) {
              const agent = box.agent;
              this.#askAgent(
                agent,
                (id) => ({
                  kind: 'proxy-request-received',
                  requestId: id,
                  request: {
                    kind: 'feed',
                    report: effect.report,
                    held: Feeds.heldParts(this.#held.get(process) ?? null),
                  },
                  now: this.#now(agent),
                }),
                reply,
              );
            }
          },
          (body) => {
            const held = Feeds.merge(this.#held.get(process) ?? null, body as FeedReply);
            const agent = box?.agent;
            if (agent && held.feed.leaseMs > 0 && agent.state.leaseUntil <= this.#now(agent))
              this.history.push({
                kind: 'served-on',
                at: this.clock.now(),
                node: name,
                majorityReachableMs: this.#reach.majorityReachableForMs(name),
              });
            this.#held.set(process, held);
            this.#everPeers(held.feed);
            const feed =
              this.tuning.plant === 'old-rates' ? this.#oldRates(name, held.feed) : held.feed;
            for (const row of feed.origins) this.#drained.set(row.address, row);
            this.#step(process, {
              kind: 'feed-received',
              feed: this.#select(
                feedWithFault(
                  this.tuning.plant,
                  feed,
                  [...this.#drained.values()],
                  [...this.#peers.values()].filter((row) => row.id !== name),
                ),
                process,
              ),
              askedAt,
              now: this.#now(process),
            });
            if (this.tuning.plant === 'route-at-arrival')
              process.state = {
                ...process.state,
                requests: Object.fromEntries(
                  Object.entries(process.state.requests).map(([id, each]) => [
                    id,
                    { ...each, revision: process.state.policy?.revision ?? 0 },
                  ]),
                ),
              };
            if (this.tuning.plant === 'free-repeats')
              process.state = {
                ...process.state,
                retryTokens: Object.fromEntries(
                  Object.keys(process.state.policy?.document.services ?? {}).map((service) => [
                    service,
                    1e6,
                  ]),
                ),
                ejectedUntil: {},
              };
            this.#watchCopies(process);
            again();
          },
          again,
        );
        return;
      }
      case 'query-agent': {
        const done = (reply: ClaimReply): void => {
          const told: ClaimReply =
            this.tuning.plant === 'claims-of-any-content' && reply.kind === 'other'
              ? { kind: 'granted' }
              : reply;
          if (effect.query.kind === 'claim')
            this.#step(process, {
              kind: 'claim-answered',
              requestId: effect.requestId,
              reply: told,
              now: this.#now(process),
            });
        };
        if (isClaimGrantedByFault(this.tuning.plant, effect.query)) {
          this.clock.schedule(1, () => this.#inside(process, () => done({ kind: 'granted' })));
          return;
        }
        const box = this.machines.get(name);
        this.#call(
          process,
          name,
          (_target, reply) => {
            if (box?.agent) {
              const agent = box.agent;
              this.#askAgent(
                agent,
                (id) => ({
                  kind: 'proxy-request-received',
                  requestId: id,
                  request: effect.query,
                  now: this.#now(agent),
                }),
                reply,
              );
            }
          },
          (body) => done(body as ClaimReply),
          () => done({ kind: 'unreached' }),
          proposalTimeoutMs + callTimeoutMs,
        );
        return;
      }
      case 'send-attempt': {
        acted();
        if (effect.attempt > 0) this.history.push({ kind: 'repeat', at: this.clock.now() });
        const about = this.#submissions.get(process)?.get(effect.requestId) ?? {
          submission: -1,
          job: '',
        };
        const state = { aborted: false };
        this.#attempts.set(
          `${name}/${process.clockFrom}/${effect.requestId}/${effect.attempt}`,
          state,
        );
        const done = (answer: AttemptResponse): void =>
          this.#inside(process, () => {
            if (!state.aborted)
              this.#step(process, {
                kind: 'attempt-answered',
                requestId: effect.requestId,
                attempt: effect.attempt,
                answer,
                now: this.#now(process),
              });
          });
        const fail = (sent: 'nothing' | 'maybe', why: string): void =>
          this.#inside(process, () => {
            if (!state.aborted)
              this.#step(process, {
                kind: 'attempt-failed',
                requestId: effect.requestId,
                attempt: effect.attempt,
                sent: this.tuning.plant === 'repeat-unsafe' ? 'nothing' : sent,
                why,
                now: this.#now(process),
              });
          });
        if (effect.to.kind === 'origin')
          this.#toOrigin(
            process,
            effect.to,
            effect.clientRequest,
            effect.attemptId,
            effect.sendBy,
            about,
            done,
            fail,
          );
        else
          this.#toPeer(
            process,
            effect.to,
            this.#granted(process, effect),
            effect.attemptId,
            about,
            done,
            fail,
          );
        return;
      }
      case 'close-request':
        this.#submissions.get(process)?.delete(effect.requestId);
        return;
      case 'abort-attempt': {
        const attempt = this.#attempts.get(
          `${name}/${process.clockFrom}/${effect.requestId}/${effect.attempt}`,
        );
        if (attempt !== undefined) attempt.aborted = true;
        return;
      }
      case 'send-answer': {
        const caller = this.#callers.get(process)?.get(effect.requestId);
        this.#callers.get(process)?.delete(effect.requestId);
        if (
          this.tuning.plant === 'keep-relayed' &&
          effect.answer.body.kind === 'attempt' &&
          effect.answer.headers['reedyard-served'] === 'peer'
        )
          this.#keepRelayed(process, effect.answer.body.answer);
        // An attempt's answer was decided when the attempt was made; a copy is decided on here and
        // now.
        if (effect.answer.body.kind === 'copy') acted();
        if (caller !== undefined) {
          const shown = this.#shown(effect.answer, caller.mark);
          this.clock.schedule(
            this.#leave(name, process.machine.capacityBps ?? 8e6, effect.answer),
            () => caller.done(process.alive ? shown : null),
          );
        }
        return;
      }
      case 'log':
        return;
    }
  }

  /** The request as a peer is handed it, with the attempts at origins that it is granted. */
  #granted(
    process: Process<'proxy'>,
    effect: Extract<ProxyEffect, { kind: 'send-attempt' }>,
  ): ClientRequest {
    if (this.tuning.plant !== 'uncounted-grants')
      return { ...effect.clientRequest, attempts: effect.delegatedAttempts };
    process.state = withUncountedGrant(process.state, effect.requestId, effect.attempt);
    return effect.clientRequest;
  }

  /** What each proxy's shell holds of its feed. */
  readonly #held = new WeakMap<Process<'proxy'>, ProxyFeedSnapshot>();
  readonly #peers = new Map<string, Feed['peers'][number]>();
  #everPeers(feed: Feed): void {
    for (const row of feed.peers) this.#peers.set(row.id, row);
  }

  readonly #highest = new Map<string, Readonly<Record<string, number>>>();
  /**
   * The rates of the highest ceiling that a node ever knew: what a division in rates would leave in
   * force.
   */
  #oldRates(node: string, feed: Feed): Feed {
    const known = this.#highest.get(node) ?? {};
    const slices = Object.fromEntries(
      Object.entries(feed.slices).map(([service, rate]) => [
        service,
        Math.max(rate, known[service] ?? 0),
      ]),
    );
    this.#highest.set(node, slices);
    return { ...feed, slices };
  }

  #selectedRoutes = new Map<string, Feed['policy']>();
  #select(feed: Feed, process: Process<'proxy'>): Feed {
    const { selection = 'paper' } = this.tuning;
    if (feed.policy !== null) this.#selectedRoutes.set(process.machine.name, feed.policy);
    return {
      ...feedWithSelection(
        selection,
        { ...feed, policy: this.#selectedRoutes.get(process.machine.name) ?? null },
        process.machine.name,
      ),
      policy: feed.policy,
    };
  }

  /** A planted fault: an answer that came through a peer is kept all the same. */
  #keepRelayed(process: Process<'proxy'>, answer: AttemptResponse): void {
    const body = answer.body as SimBody | null;
    if (body === null || body.maxAgeMs === Infinity) return;
    const now = this.#now(process);
    const host = [...process.state.routes.keys()][0] ?? '';
    process.state = {
      ...process.state,
      cache: Cache.keep(process.state.cache, {
        key: Cache.key(host, body.target),
        service: body.service,
        status: 200,
        headers: answer.headers,
        body,
        sizeBytes: answer.size,
        tags: body.tags,
        vary: {},
        storedAt: now,
        freshUntil: now + body.maxAgeMs,
        initialAgeSeconds: 0,
      }),
    };
  }

  /** ms until a reply has left a proxy. A relayed one costs a fifth: no look-up, no making. */
  #leave(name: string, capacityBps: number, answer: ClientResponse): number {
    if (answer.body.kind === 'problem') return 0;
    // A large one streams beside the others; what counts is when it begins.
    if (answer.body.kind === 'attempt' && !answer.body.answer.isComplete) return 0;
    const size = answer.body.kind === 'copy' ? answer.body.copy.sizeBytes : answer.body.answer.size;
    const relayed = answer.headers['reedyard-served'] === 'peer';
    const work = ((8 * (size + 300)) / capacityBps) * 1_000 * (relayed ? 0.2 : 1);
    const until = Math.max(this.clock.now(), this.#busyUntil.get(name) ?? 0) + work;
    this.#busyUntil.set(name, until);
    return until - this.clock.now();
  }

  #shown(answer: ClientResponse, mark: string | null): Parameters<Caller['done']>[0] {
    const body =
      answer.body.kind === 'copy'
        ? (answer.body.copy.body as SimBody)
        : answer.body.kind === 'attempt'
          ? (answer.body.answer.body as SimBody)
          : null;
    const headers = {
      ...answer.headers,
      ...(answer.body.kind === 'copy' ? { 'sim-copied': 'yes' } : {}),
      ...(mark === null ? {} : { 'reedyard-attempt': mark }),
    };
    return {
      status: answer.status,
      headers,
      body,
      whole: true,
      retryAfter: answer.headers['retry-after'] !== undefined,
      why: answer.body.kind === 'problem' ? answer.body.detail : '',
    };
  }

  readonly #watchedAt = new Map<string, number>();
  /** Copies held, told a few times a second to the checker of rule 12. */
  #watchCopies(process: Process<'proxy'>): void {
    const { name } = process.machine;
    if (this.clock.now() - (this.#watchedAt.get(name) ?? -Infinity) < 400) return;
    this.#watchedAt.set(name, this.clock.now());
    for (const copy of process.state.cache.copies.values()) {
      const { target } = copy.body as SimBody;
      this.history.push({
        kind: 'stored',
        at: this.clock.now(),
        node: process.machine.name,
        region: process.machine.region,
        host: copy.key.slice(0, copy.key.indexOf('/')),
        target,
      });
    }
  }

  #toOrigin(
    process: Process<'proxy'>,
    to: Extract<AttemptTarget, { kind: 'origin' }>,
    asked: ClientRequest,
    mark: string,
    sendBy: number,
    about: { submission: number; job: string },
    done: (answer: AttemptResponse) => void,
    fail: (sent: 'nothing' | 'maybe', why: string) => void,
  ): void {
    const from = process.machine;
    const { row } = to;
    const expected = `${row.service}/${row.instance}/${row.incarnation}`;
    const origin = this.origins.find((each) => each.address === row.address);
    if (
      origin === undefined ||
      !origin.alive ||
      this.#reach.isCut(from.name, row.address) ||
      this.#reach.isCut(row.address, from.name)
    ) {
      // A refused conn answers at once; a cut one only by its limit.
      this.clock.schedule(origin !== undefined && !origin.alive ? 1 : connectTimeoutMs, () =>
        fail('nothing', 'connect'),
      );
      return;
    }
    const identity = (): string => `${origin.service}/${origin.instance}/${origin.incarnation}`;
    // The proof of identity comes first; nothing of the request is sent before, nor while this
    // process is frozen.
    this.clock.schedule(2 * this.delay(from.name, row.address), () =>
      this.#inside(process, () => {
        if (this.#now(process) >= sendBy) {
          fail('nothing', 'lease');
          return;
        }
        const life = origin.incarnation;
        if (!origin.alive) {
          fail('nothing', 'connect');
          return;
        }
        if (identity() !== expected && this.tuning.plant !== 'no-identity') {
          fail('nothing', 'identity');
          return;
        }
        this.#carry(from.name, row.address, () => {
          if (
            !origin.alive ||
            (origin.incarnation !== life && this.tuning.plant !== 'no-identity')
          ) {
            fail('maybe', 'cut');
            return;
          }
          const unsafe = asked.method !== 'GET' && asked.method !== 'HEAD';
          this.history.push({
            kind: 'attempt',
            at: this.clock.now(),
            from: from.name,
            region: from.region,
            service: origin.service,
            instance: origin.instance,
            incarnation: origin.incarnation,
            zone: origin.spec.zone,
            cold: origin.cold,
            expected,
            host: asked.host,
            target: asked.target,
            method: asked.method,
            submission: about.submission,
          });
          if (unsafe)
            this.history.push({
              kind: 'ran',
              at: this.clock.now(),
              submission: about.submission,
              job: about.job,
              key: String(asked.headers['idempotency-key'] ?? '') || null,
            });
          const sentAt = this.clock.now();
          const madeAt = sentAt - 1_000 * origin.mode.aged;
          const large = !unsafe && this.clock.random() < origin.mode.large;
          this.clock.schedule(origin.mode.slowMs * this.clock.between(0.5, 1.5), () => {
            if (!origin.alive || (unsafe && this.clock.random() < origin.mode.lose)) {
              this.clock.schedule(1, () => fail('maybe', 'cut'));
              return;
            }
            if (this.clock.random() < origin.mode.garbage) {
              fail('maybe', 'garbled');
              return;
            }
            if (this.clock.random() < origin.mode.short) {
              if (this.tuning.plant === 'short-as-whole')
                done({
                  status: 200,
                  size: 10,
                  isComplete: true,
                  body: null,
                  headers: { 'reedyard-stamp': identity(), 'reedyard-attempt': mark },
                });
              else fail('maybe', 'short');
              return;
            }
            const tags = [...asked.target.matchAll(/tag-(\w+)/g)].map((found) => found[1] ?? '');
            const maxAgeMs = 1_000 * (origin.spec.maxAge ?? 60);
            const body: SimBody = {
              service: origin.service,
              target: asked.target,
              job: about.job,
              tags,
              madeAt,
              sentAt,
              maxAgeMs,
            };
            const answer: AttemptResponse = {
              status: 200,
              size: large ? 3_000_000 : 2_000,
              isComplete: !large,
              body,
              headers: {
                'reedyard-stamp': identity(),
                'reedyard-attempt': mark,
                'content-length': large ? '3000000' : '2000',
                ...(origin.mode.aged > 0 ? { age: String(origin.mode.aged) } : {}),
                ...(unsafe
                  ? { 'cache-control': 'no-store' }
                  : { 'cache-control': `max-age=${maxAgeMs / 1_000}` }),
                ...(tags.length === 0 ? {} : { 'surrogate-key': tags.join(' ') }),
              },
            };
            const foreign = this.clock.random() < origin.mode.foreign ? origin.previous : null;
            origin.previous = answer;
            const sent =
              foreign === null
                ? answer
                : this.tuning.plant === 'no-marks'
                  ? { ...foreign, headers: { ...foreign.headers, 'reedyard-attempt': mark } }
                  : foreign;
            this.#carry(row.address, from.name, () => done(sent));
          });
        });
      }),
    );
  }

  #toPeer(
    process: Process<'proxy'>,
    to: Extract<AttemptTarget, { kind: 'peer' }>,
    asked: ClientRequest,
    mark: string,
    about: { submission: number; job: string },
    done: (answer: AttemptResponse) => void,
    fail: (sent: 'nothing' | 'maybe', why: string) => void,
  ): void {
    const from = process.machine.name;
    const box = this.machines.get(to.row.id);
    if (
      box === undefined ||
      box.proxy === null ||
      this.#reach.isCut(from, to.row.id) ||
      this.#reach.isCut(to.row.id, from)
    ) {
      this.clock.schedule(box !== undefined && box.proxy === null ? 1 : connectTimeoutMs, () =>
        fail('nothing', 'connect'),
      );
      return;
    }
    this.#carry(from, to.row.id, () => {
      if (box.proxy === null) {
        fail('maybe', 'cut');
        return;
      }
      this.history.push({
        kind: 'relay',
        at: this.clock.now(),
        from,
        to: to.row.id,
        zone: box.machine.zone,
        target: asked.target,
      });
      this.#arrive(box.proxy, { ...asked, via: from }, about, {
        submission: about.submission,
        mark,
        done: (got) => {
          if (got === null) {
            this.#carry(to.row.id, from, () => fail('maybe', 'cut'));
            return;
          }
          this.#carry(to.row.id, from, () =>
            done({
              status: got.status,
              headers: got.headers as AttemptResponse['headers'],
              body: got.body,
              size: 2_000,
              isComplete: true,
            }),
          );
        },
      });
    });
  }

  // What the outside does -------------------------------------------------------------------------

  #announce(origin: SimulatedOrigin): void {
    this.clock.schedule(this.clock.between(900, 1_100), () => this.#announce(origin));
    if (origin.alive && !origin.silent) this.describe(origin);
  }

  readonly #carries = new Map<string, number>();
  /** An origin describes itself to some node. */
  describe(origin: ScenarioOrigin, noticed: () => void = () => undefined, node?: string): void {
    const description = {
      service: origin.service,
      instance: origin.instance,
      incarnation: origin.incarnation,
      address: this.#addressOf(origin),
      region: origin.spec.region,
      zone: origin.spec.zone,
      capacity: origin.capacity,
      state: origin.cold ? 'cold' : 'warm',
      draining: origin.draining,
    } satisfies OriginDescription;
    const { draining } = origin;
    const sentAt = this.clock.now();
    this.operate(
      { kind: 'describe', description },
      (reply) => {
        const { service, instance, incarnation, capacity } = description;
        const told = `${service}/${instance}/${incarnation}`;
        if (reply.status === 200 && this.#carries.get(told) !== capacity) {
          this.#carries.set(told, capacity);
          this.history.push({
            kind: 'carries',
            at: this.clock.now(),
            sentAt,
            service,
            instance,
            incarnation,
            capacity,
          });
        }
        if (
          draining &&
          reply.status === 200 &&
          !this.history.some(
            (entry) =>
              entry.kind === 'drained' &&
              entry.instance === description.instance &&
              entry.incarnation === description.incarnation,
          )
        ) {
          this.history.push({
            kind: 'drained',
            at: this.clock.now(),
            instance: description.instance,
            incarnation: description.incarnation,
          });
          noticed();
        }
      },
      this.#addressOf(origin),
      node,
    );
  }
  #addressOf(origin: ScenarioOrigin): string {
    return this.origins.find((each) => each === origin)?.address ?? '';
  }

  /**
   * A planted fault: an agent goes on for 4 s with an order that it has not acknowledged, though
   * its caller is gone.
   */
  #goOn(agent: Process<'agent'>, action: ApiAction): void {
    for (let ms = 500; ms < proposalTimeoutMs; ms += 500) {
      this.clock.schedule(ms, () => {
        if (agent.alive)
          this.#askAgent(
            agent,
            (id) => ({ kind: 'action-received', requestId: id, action, now: this.#now(agent) }),
            () => undefined,
          );
      });
    }
  }

  /** Sends an action to the API of some live node. The caller may leave before it is answered. */
  operate(
    action: ApiAction,
    done: (reply: { status: number; body: unknown }) => void,
    from = 'outside',
    node?: string,
  ): () => void {
    const live = [...this.machines.values()].filter(
      (box) => box.agent !== null && !box.agent.frozen,
    );
    const box = node === undefined ? this.clock.pick(live) : this.machines.get(node);
    if (box?.agent === undefined || box.agent === null) {
      done({ status: 0, body: null });
      return () => undefined;
    }
    const { agent } = box;
    let over = false;
    const [sentAt, cutOff] = [this.clock.now(), !this.#reach.reachesMajority(box.machine.name)];
    const end = (reply: { status: number; body: unknown }): void => {
      if (over) return;
      over = true;
      const { name } = box.machine;
      const steady =
        box.agent === agent && !agent.frozen && this.#reach.isSteadySince(name, sentAt);
      if (action.kind !== 'describe')
        this.history.push({
          kind: 'called',
          at: this.clock.now(),
          sentAt,
          node: name,
          action: action.kind,
          status: reply.status,
          cutOff,
          isSteady: steady,
        });
      done(reply);
    };
    const known = agent.state.registers.policy?.value as
      { revision: number; document: unknown } | undefined;
    if (
      this.tuning.plant === 'local-reads' &&
      action.kind === 'get-policy' &&
      known !== undefined
    ) {
      this.clock.schedule(2, () =>
        end({ status: 200, body: { revision: known.revision, policy: known.document } }),
      );
      return () => undefined;
    }
    this.clock.schedule(8_000, () => end({ status: 0, body: null }));
    let askedAs: number | null = null;
    let isGone = false;
    const drop = (): void =>
      this.#inside(agent, () => {
        if (askedAs !== null && agent.asking.delete(askedAs))
          this.#step(agent, {
            kind: 'caller-disconnected',
            requestId: askedAs,
            now: this.#now(agent),
          });
      });
    this.#carry(from, box.machine.name, () => {
      this.#askAgent(
        agent,
        (id) => {
          askedAs = id;
          return { kind: 'action-received', requestId: id, action, now: this.#now(agent) };
        },
        (reply) => {
          const told = replyWithFault(
            this.tuning.plant,
            reply as { status: number; body: unknown },
          );
          if (this.tuning.plant === 'callers-unheeded' && told.status === 503)
            this.#goOn(agent, action);
          this.#carry(box.machine.name, from, () => end(told));
        },
      );
      if (isGone) drop();
    });
    return () => {
      if (over) return;
      over = true;
      isGone = true;
      if (this.tuning.plant === 'callers-unheeded') this.#goOn(agent, action);
      else this.#carry(from, box.machine.name, drop);
    };
  }

  #changes = 0;
  /** An operator sends a policy until it is acknowledged; the same change id each time. */
  put(document: Policy, done: () => void = () => undefined, node?: string): void {
    this.#changes += 1;
    const changeId = `change-${this.#changes}`;
    this.history.push({ kind: 'proposed', at: this.clock.now(), changeId, document });
    const attempt = (left: number): unknown =>
      this.operate(
        { kind: 'put-policy', document, ifMatch: null, changeId },
        (reply) => {
          if (reply.status === 200) {
            this.history.push({
              kind: 'put',
              at: this.clock.now(),
              changeId,
              revision:
                this.tuning.plant === 'same-revisions'
                  ? 1
                  : (reply.body as { revision: number }).revision,
              document,
            });
            done();
          } else if (left > 0) this.clock.schedule(500, () => attempt(left - 1));
        },
        'outside',
        left === 20 ? node : undefined,
      );
    attempt(20);
  }
  read(node?: string): void {
    const askedAt = this.clock.now();
    this.operate(
      { kind: 'get-policy' },
      (reply) => {
        if (reply.status === 200)
          this.history.push({
            kind: 'read',
            at: this.clock.now(),
            askedAt,
            revision: (reply.body as { revision: number }).revision,
          });
      },
      'outside',
      node,
    );
  }
  purge(
    objects: readonly string[],
    tags: readonly string[],
    done: () => void = () => undefined,
    node?: string,
  ): void {
    const turned = this.clock.now();
    this.#changes += 1;
    const changeId = `change-${this.#changes}`;
    const attempt = (left: number): unknown =>
      this.operate(
        { kind: 'purge', purge: { objects: [...objects], tags: [...tags] }, changeId },
        (reply) => {
          if (reply.status === 200) {
            this.history.push({
              kind: 'purged',
              at: this.clock.now(),
              objects,
              tags,
              purgedFrom: turned,
            });
            done();
          } else if (left > 0) this.clock.schedule(500, () => attempt(left - 1));
        },
        'outside',
        left === 10 ? node : undefined,
      );
    attempt(10);
  }
  zone(
    zone: string,
    order: 'empty' | 'take-back',
    done: () => void = () => undefined,
    node?: string,
  ): void {
    this.#changes += 1;
    const changeId = `change-${this.#changes}`;
    const sentAt = this.clock.now();
    const attempt = (left: number): unknown =>
      this.operate(
        { kind: 'zone', zone, order, of: 'all', changeId },
        (reply) => {
          if (reply.status === 200) {
            this.history.push({
              kind: 'zone',
              at: this.clock.now(),
              sentAt,
              revision: (reply.body as { revision: number }).revision,
              zone,
              order,
            });
            done();
          } else if (left > 0) this.clock.schedule(500, () => attempt(left - 1));
        },
        'outside',
        left === 10 ? node : undefined,
      );
    attempt(10);
  }

  /** What the platform knows: nodes that said they were ready when it last asked. */
  readonly ready = new Map<string, boolean>();
  watchReady(): void {
    for (const box of this.machines.values()) {
      if (box.machine.kind !== 'front') continue;
      const { proxy } = box;
      const answers =
        proxy !== null &&
        proxy.alive &&
        !proxy.frozen &&
        !this.#reach.isCut(box.machine.name, 'outside');
      this.ready.set(box.machine.name, answers && ProxyCore.ready(proxy.state, this.#now(proxy)));
    }
    this.clock.schedule(500, () => this.watchReady());
  }

  #submission = 0;
  /** A caller's request to a node. */
  submit(
    node: string,
    request: {
      method: string;
      host: string;
      target: string;
      job: string;
      key: string | null;
      /** What its body holds; the job's name where it is left out. */ content?: string;
    },
    done: (status: number, outcome: string) => void,
  ): void {
    this.#submission += 1;
    const submission = this.#submission;
    const box = this.machines.get(node);
    if (box === undefined) return;
    const { proxy } = box;
    const askedAt = this.clock.now();
    let over = false;
    const end = (
      status: number,
      outcome: string,
      more: Partial<Extract<Entry, { kind: 'got' }>> = {},
    ): void => {
      if (over) return;
      over = true;
      if (status >= 200 && status < 300)
        this.waits.push({ at: this.clock.now(), ms: this.clock.now() - askedAt });
      this.history.push({
        kind: 'got',
        at: this.clock.now(),
        submission,
        job: request.job,
        node,
        status,
        outcome,
        served: '',
        retryAfter: false,
        why: '',
        stamp: '',
        body: null,
        hasCompleteBody: false,
        method: request.method,
        host: request.host,
        target: request.target,
        copied: false,
        ...more,
      });
      done(status, outcome);
    };
    this.history.push({
      kind: 'asked',
      at: this.clock.now(),
      submission,
      job: request.job,
      node,
      zone: box.machine.zone,
      method: request.method,
      target: request.target,
      key: request.key,
    });
    this.clock.schedule(12_000, () => end(0, 'no answer'));
    if (proxy === null) {
      this.clock.schedule(1, () => end(0, 'refused'));
      return;
    }
    const headers = { ...(request.key === null ? {} : { 'idempotency-key': request.key }) };
    this.clock.schedule(this.delay('outside', node), () =>
      this.#arrive(
        proxy,
        {
          method: request.method,
          target: request.target,
          host: request.host,
          headers,
          via: null,
          bodyBytes: 0,
          digest:
            request.key === null
              ? null
              : `${request.method} ${request.target} ${request.content ?? request.job}`,
        },
        { submission, job: request.job },
        {
          submission,
          mark: null,
          done: (got) => {
            if (got === null) {
              end(0, 'cut');
              return;
            }
            end(got.status, fieldOf(got.headers, 'reedyard-outcome'), {
              served: fieldOf(got.headers, 'reedyard-served'),
              stamp: fieldOf(got.headers, 'reedyard-stamp'),
              retryAfter: got.retryAfter,
              why: got.why,
              body: got.body,
              hasCompleteBody: got.whole,
              copied: got.headers['sim-copied'] !== undefined,
            });
          },
        },
      ),
    );
  }
}
