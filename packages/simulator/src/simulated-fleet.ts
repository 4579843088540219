/**
 * Simulates a complete fleet in virtual time: machines, disks, network, origins and clients around
 * the reducers of agent, proxy and replica.
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
  type FeedSnapshot,
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
import type { Entry, SimulatedBody } from './history.js';
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
import type { FleetUnderLoad, ScenarioOrigin } from './scenarios/environment.js';

type Program = 'agent' | 'proxy' | 'replica';
type Reducers = {
  agent: { state: AgentState; event: AgentEvent; effect: AgentEffect };
  proxy: { state: ProxyState; event: ProxyEvent; effect: ProxyEffect };
  replica: { state: ReplicaState; event: ReplicaEvent; effect: ReplicaEffect };
};

/**
 * One incarnation of a process. Its monotonic clock starts at a random value and continues to run
 * while the process is frozen.
 */
type Process<P extends Program> = {
  readonly program: P;
  readonly machine: Machine;
  /** Virtual time at which the process's clock reads zero. */ readonly clockZeroAt: number;
  readonly clockRate: number;
  state: Reducers[P]['state'];
  alive: boolean;
  frozen: boolean;
  readonly deferredActions: (() => void)[];
  readonly pendingReplies: Map<number, (reply: unknown) => void>;
  nextRequestId: number;
};

/** A disk. Synced records survive a kill; unsynced records may be lost. */
type Disk = {
  synced: ReplicaRecord[];
  unsynced: ReplicaRecord[];
  isSyncing: boolean;
  syncedTotal: number;
  waiters: { readonly requiredTotal: number; readonly act: () => void }[];
};
const blankDisk = (synced: ReplicaRecord[] = []): Disk => ({
  synced,
  unsynced: [],
  isSyncing: false,
  syncedTotal: 0,
  waiters: [],
});

type SimulatedMachine = {
  readonly machine: Machine;
  /** Name of its processes; two machines may use the same. */ readonly memberName: string;
  agent: Process<'agent'> | null;
  proxy: Process<'proxy'> | null;
  replica: Process<'replica'> | null;
  disk: Disk;
  isPowered: boolean;
  /** Records of the last wiped disk that the injected fault `wiped-votes` restores. */
  identityRecords: readonly ReplicaRecord[];
};

/** A simulated origin with its address and its previous response. */
export type SimulatedOrigin = ScenarioOrigin & {
  readonly address: string;
  previous: AttemptResponse | null;
};

/** Returns a response header as text, or an empty string if the header is missing. */
const headerText = (headers: Readonly<Record<string, unknown>>, name: string): string => {
  const value = headers[name];
  return typeof value === 'string' ? value : '';
};

/**
 * A client, or a forwarding proxy, that waits for the response to a submission. `respond` is called
 * with null if the proxy dies first.
 */
type WaitingClient = {
  readonly submission: number;
  readonly respond: (
    result: {
      status: number;
      headers: Record<string, unknown>;
      body: SimulatedBody | null;
      isComplete: boolean;
      retryAfter: boolean;
      reason: string;
    } | null,
  ) => void;
};
/** Waiting clients of one proxy process, by its request ids. */
type WaitingClientTable = Map<number, WaitingClient & { readonly attemptId: string | null }>;
/** Submissions to one proxy process, by its request ids. */
type SubmissionTable = Map<number, { readonly submission: number; readonly job: string }>;

/** Network, clocks, injected fault and agent settings of a simulated fleet. */
export type Tuning = {
  /** Probability that a message between two endpoints is lost. */
  readonly loss: number;
  readonly plant: InjectedFault;
  /** Round-trip time between two regions, in milliseconds. */
  readonly regionsMs: number;
  readonly selection?: Selection;
  /** Maximum additional random delay of a message between two endpoints, in milliseconds. */
  readonly busyMs?: number;
  /** Maximum deviation of machine clocks from the true rate, as a fraction in either direction. */
  readonly drift?: number;
  /** Whether isolated nodes continue to serve without a lease. */
  readonly servesOn?: boolean;
  /** If set, the seeds' replicas found the membership; otherwise the settings name the founders. */
  readonly voting?: { readonly losses: number; readonly catchUpMs?: number };
};

/** How long a machine that is asked to stop takes until it is down, in milliseconds. */
const stopDurationMs = 4_000;

/**
 * Feeds the reducers of all processes with events and carries out their effects in virtual time.
 */
export class SimulatedFleet implements FleetUnderLoad {
  readonly clock: VirtualClock;
  readonly history: Entry[] = [];
  readonly machines = new Map<string, SimulatedMachine>();
  readonly origins: SimulatedOrigin[] = [];
  readonly #network: SimulatedNetwork;
  readonly #originRows = new Map<string, Feed['origins'][number]>();
  /** Agent addresses that the settings of processes started from now on name as seeds. */
  seeds: readonly string[] = [];
  /**
   * Whether the settings declare the very first start of the complete system. Used only if the
   * seeds' replicas found the membership.
   */
  firstStart = true;
  readonly counts = { messages: 0, events: 0 };
  /**
   * Time from each client request to its successful response, in milliseconds: to the last byte, or
   * to the start of a large response.
   */
  readonly waits: { readonly at: number; readonly ms: number }[] = [];
  /**
   * Virtual time at which each proxy's link is free again. Responses leave one after another at the
   * link's capacity.
   */
  readonly #linkFreeAt = new Map<string, number>();
  #startCount = 0;
  readonly #clockRates = new Map<string, number>();
  #tokenCount = 0;

  constructor(
    readonly deployment: Deployment,
    seed: number,
    readonly tuning: Tuning,
  ) {
    this.clock = new VirtualClock(seed);
    this.#network = new SimulatedNetwork(
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
        mode: {
          slowMs: 5,
          lose: 0,
          garbage: 0,
          garbledStatus: 0,
          short: 0,
          foreign: 0,
          aged: 0,
          large: 0,
        },
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
  /** Returns the name of the machine whose agent has the quota leadership. */
  holder(): string | undefined {
    return [...this.machines.values()].find(
      (simulatedMachine) =>
        simulatedMachine.agent !== null && simulatedMachine.agent.state.quotaLeadership !== null,
    )?.machine.name;
  }

  #machineNamed(name: string): Machine | undefined {
    return this.machines.get(name)?.machine;
  }

  /** Starts another machine, with a blank disk, under the name of a machine that may still run. */
  startDuplicate(name: string): string {
    const simulatedMachine = this.machines.get(name);
    const duplicateName = `${name}~2`;
    if (simulatedMachine !== undefined)
      this.machines.set(duplicateName, {
        machine: { ...simulatedMachine.machine, name: duplicateName },
        memberName: name,
        agent: null,
        proxy: null,
        replica: null,
        isPowered: false,
        disk: blankDisk(),
        identityRecords: [],
      });
    this.start(duplicateName);
    return duplicateName;
  }
  #locationOf(endpoint: string): { zone: string; region: string } {
    const machine = this.#machineNamed(endpoint);
    if (machine !== undefined) return machine;
    return (
      this.origins.find((origin) => origin.address === endpoint)?.spec ?? {
        zone: 'outside',
        region: 'outside',
      }
    );
  }

  /** Returns a random one-way delay between two machines or origins, in milliseconds. */
  delay(from: string, to: string): number {
    const [source, destination] = [this.#locationOf(from), this.#locationOf(to)];
    const baseMs =
      from === to
        ? 0.05
        : source.region !== destination.region &&
            source.region !== 'outside' &&
            destination.region !== 'outside'
          ? this.tuning.regionsMs / 2
          : source.zone !== destination.zone
            ? 0.4
            : 0.2;
    return baseMs + this.clock.random() * (0.3 + (from === to ? 0 : (this.tuning.busyMs ?? 0)));
  }

  cut(from: string, to: string): void {
    this.#network.cut(from, to);
  }
  /** Isolates a machine in both directions, or only its outgoing or only its incoming messages. */
  isolate(name: string, direction: 'both' | 'out' | 'in' = 'both'): void {
    for (const other of [
      ...this.machines.keys(),
      ...this.origins.map((origin) => origin.address),
    ]) {
      if (other === name) continue;
      if (direction !== 'in') this.cut(name, other);
      if (direction !== 'out') this.cut(other, name);
    }
  }
  heal(): void {
    this.#network.heal();
  }

  /** Delivers a message after a delay, unless the path is cut or the message is lost. */
  #transmit(from: string, to: string, act: () => void): void {
    this.counts.messages += 1;
    if (this.#network.isCut(from, to)) return;
    if (from !== to && this.clock.random() < this.tuning.loss) return;
    this.clock.schedule(this.delay(from, to), act);
  }

  #processTime(process: Process<Program>): number {
    return (this.clock.now() - process.clockZeroAt) * process.clockRate;
  }

  /** Runs an action in a process: now, when the process thaws, or never if it is dead by then. */
  #runInProcess(process: Process<Program>, act: () => void): void {
    if (!process.alive) return;
    if (process.frozen) {
      process.deferredActions.push(() => this.#runInProcess(process, act));
      return;
    }
    act();
  }

  #dispatch<P extends Program>(process: Process<P>, event: Reducers[P]['event']): void {
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
    if (process.program === 'agent') this.#recordLease(process as unknown as Process<'agent'>);
    for (const effect of step.effects) {
      if (!process.alive) return;
      if (process.program === 'agent')
        this.#applyAgentEffect(process as unknown as Process<'agent'>, effect as AgentEffect);
      else if (process.program === 'proxy')
        this.#applyProxyEffect(process as unknown as Process<'proxy'>, effect as ProxyEffect);
      else
        this.#applyReplicaEffect(process as unknown as Process<'replica'>, effect as ReplicaEffect);
    }
  }

  /**
   * Injected fault: a replica whose slot was given to a successor has no data that the successor
   * could read.
   */
  #forgetWhenReplaced(process: Process<'replica'>): void {
    const { state } = process;
    const forgottenDiskId = `${state.diskId}/forgotten`;
    if (state.retirement !== null)
      process.state = {
        ...state,
        hasBegunVoting: false,
        diskId: forgottenDiskId,
        retirement: null,
      };
  }

  #recordLease(process: Process<'agent'>): void {
    if (process.state.leaseUntil > this.#processTime(process))
      this.#network.leaseAcquired(process.machine.name);
  }

  #createProcess<P extends Program>(
    program: P,
    machine: Machine,
    openState: (now: number) => Reducers[P]['state'],
  ): Process<P> {
    const clockZeroAt = this.clock.now() - this.clock.between(0, 1e6);
    const clockRate = this.#clockRates.get(machine.name) ?? 1;
    return {
      program,
      machine,
      clockZeroAt,
      clockRate,
      state: openState((this.clock.now() - clockZeroAt) * clockRate),
      alive: true,
      frozen: false,
      deferredActions: [],
      pendingReplies: new Map(),
      nextRequestId: 1,
    };
  }

  #scheduleTicks(process: Process<Program>, intervalMs: number, act: () => void): void {
    this.clock.schedule((intervalMs / process.clockRate) * this.clock.between(0.9, 1.1), () =>
      this.#runInProcess(process, () => {
        act();
        this.#scheduleTicks(process, intervalMs, act);
      }),
    );
  }

  /** Returns the replica addresses of the machines that the settings name as seeds. */
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

  /** Powers a machine on and starts its processes, each after its own random delay. */
  start(name: string): void {
    const simulatedMachine = this.machines.get(name);
    if (simulatedMachine === undefined) return;
    simulatedMachine.isPowered = true;
    this.#network.changed(name);
    const { machine } = simulatedMachine;
    if (machine.kind !== 'front' && simulatedMachine.replica === null)
      this.clock.schedule(this.clock.between(50, 400), () => {
        if (simulatedMachine.isPowered && simulatedMachine.replica === null)
          this.#startReplica(simulatedMachine);
      });
    if (simulatedMachine.agent === null)
      this.clock.schedule(this.clock.between(50, 400), () => {
        if (simulatedMachine.isPowered && simulatedMachine.agent === null)
          this.#startAgent(simulatedMachine);
      });
    if (machine.kind === 'front' && simulatedMachine.proxy === null)
      this.clock.schedule(this.clock.between(50, 400), () => {
        if (simulatedMachine.isPowered && simulatedMachine.proxy === null)
          this.#startProxy(simulatedMachine);
      });
  }

  #startReplica(simulatedMachine: SimulatedMachine): void {
    this.#startCount += 1;
    const { machine } = simulatedMachine;
    const others = Object.fromEntries(
      Object.entries(this.founders()).filter(([name]) => name !== simulatedMachine.memberName),
    );
    // Injected fault: a wiped disk keeps its old disk id and votes as if it still knew all its
    // promises.
    const records =
      this.tuning.plant === 'wiped-votes' && simulatedMachine.disk.synced.length === 0
        ? simulatedMachine.identityRecords
        : simulatedMachine.disk.synced;
    let effects: readonly ReplicaEffect[] = [];
    const process = this.#createProcess('replica', machine, (now) => {
      const bootstrap =
        this.tuning.voting === undefined
          ? null
          : {
              address: `${machine.name}/replica`,
              seeds: this.#replicaSeeds(),
              isFirstStart: this.firstStart,
            };
      const opened = openReplica({
        name: simulatedMachine.memberName,
        otherFounders: others,
        bootstrap,
        records,
        newDiskId: `disk-${this.#startCount}`,
        now,
      });
      effects = opened.effects;
      return opened.state;
    });
    simulatedMachine.replica = process;
    effects.forEach((effect) => this.#applyReplicaEffect(process, effect));
    this.#scheduleTicks(process, replicaTickIntervalMs, () => {
      this.#dispatch(process, { kind: 'tick', now: this.#processTime(process) });
      this.#compact(simulatedMachine, process);
    });
  }

  /** Rewrites a long log on disk from the replica's state, as the real log's compaction does. */
  #compact(simulatedMachine: SimulatedMachine, process: Process<'replica'>): void {
    if (simulatedMachine.disk.synced.length > 4_000 && simulatedMachine.disk.unsynced.length === 0)
      simulatedMachine.disk.synced = [...snapshotRecords(process.state)];
  }

  #startAgent(simulatedMachine: SimulatedMachine): void {
    this.#startCount += 1;
    const { machine } = simulatedMachine;
    const isFront = machine.kind === 'front';
    const process = this.#createProcess('agent', machine, (now) =>
      openAgent({
        self: {
          id: simulatedMachine.memberName,
          servesOn: this.tuning.servesOn === true,
          zone: machine.zone,
          region: machine.region,
          address: `${machine.name}/agent`,
          proxy: isFront
            ? {
                callers: `${machine.name}/proxy`,
                peers: `${machine.name}/peers`,
                capacityBps: machine.capacityBps ?? 8e6,
              }
            : null,
          replica: isFront ? null : { address: `${machine.name}/replica` },
        },
        incarnation: `life-${this.#startCount}`,
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
    simulatedMachine.agent = process;
    this.#scheduleTicks(process, agentTickIntervalMs, () =>
      this.#dispatch(process, { kind: 'tick', now: this.#processTime(process) }),
    );
  }

  #startProxy(simulatedMachine: SimulatedMachine): void {
    this.#startCount += 1;
    const { machine } = simulatedMachine;
    const process = this.#createProcess('proxy', machine, (now) =>
      ProxyCore.open(
        {
          id: machine.name,
          zone: machine.zone,
          region: machine.region,
          capacityBps: machine.capacityBps ?? 8e6,
          life: `proxy-${this.#startCount}`,
        },
        now,
      ),
    );
    simulatedMachine.proxy = process;
    this.#scheduleTicks(process, proxyTickIntervalMs, () =>
      this.#dispatch(process, { kind: 'tick', now: this.#processTime(process) }),
    );
    this.#dispatch(process, { kind: 'feed-due', now: this.#processTime(process) });
  }

  #terminate(process: Process<Program> | null): void {
    if (process === null) return;
    process.alive = false;
    process.pendingReplies.clear();
  }

  /**
   * Kills a machine's processes immediately. A random number of its unsynced records, the oldest
   * ones, survives; the rest is lost.
   */
  kill(name: string): void {
    const simulatedMachine = this.machines.get(name);
    if (simulatedMachine === undefined) return;
    this.#network.changed(name);
    this.#terminate(simulatedMachine.agent);
    this.#terminate(simulatedMachine.proxy);
    this.#terminate(simulatedMachine.replica);
    const proxy = simulatedMachine.proxy;
    if (proxy !== null)
      for (const client of this.#removeWaitingClients(proxy)) client.respond(null);
    simulatedMachine.agent = null;
    simulatedMachine.proxy = null;
    simulatedMachine.replica = null;
    simulatedMachine.isPowered = false;
    const keptCount = Math.floor(this.clock.random() * (simulatedMachine.disk.unsynced.length + 1));
    if (this.tuning.plant === 'forgetful-disks') {
      simulatedMachine.disk = blankDisk();
      return;
    }
    simulatedMachine.disk = blankDisk([
      ...simulatedMachine.disk.synced,
      ...simulatedMachine.disk.unsynced.slice(0, keptCount),
    ]);
  }
  /** Requests a graceful shutdown of the proxy; the other processes run until they are killed. */
  warn(name: string): void {
    const proxy = this.machines.get(name)?.proxy ?? null;
    if (proxy !== null)
      this.#runInProcess(proxy, () =>
        this.#dispatch(proxy, { kind: 'stop-requested', now: this.#processTime(proxy) }),
      );
  }
  /** Requests a graceful shutdown of the proxy, kills the machine, and starts it after `downMs`. */
  stop(name: string, downMs: number): void {
    this.history.push({ kind: 'stopped', at: this.clock.now(), node: name });
    this.warn(name);
    this.clock.schedule(stopDurationMs, () => {
      this.kill(name);
      this.clock.schedule(downMs, () => this.start(name));
    });
  }
  /** Requests a graceful shutdown of a replica, which exits as soon as it is no longer needed. */
  stopReplica(name: string): void {
    const replica = this.machines.get(name)?.replica ?? null;
    if (replica === null) return;
    this.#runInProcess(replica, () =>
      this.#dispatch(replica, { kind: 'stop-requested', now: this.#processTime(replica) }),
    );
  }
  /** Replaces the disk of a machine that is switched off with a blank disk. */
  wipe(name: string): void {
    const simulatedMachine = this.machines.get(name);
    if (simulatedMachine === undefined || simulatedMachine.isPowered) return;
    simulatedMachine.identityRecords = simulatedMachine.disk.synced.filter(
      (record) =>
        record.kind === 'disk-named' ||
        record.kind === 'voting-begun' ||
        (record.kind === 'register-written' && record.key === 'members'),
    );
    simulatedMachine.disk = blankDisk();
  }
  freeze(name: string): void {
    this.#network.changed(name);
    const simulatedMachine = this.machines.get(name);
    for (const process of [
      simulatedMachine?.agent,
      simulatedMachine?.proxy,
      simulatedMachine?.replica,
    ])
      if (process) process.frozen = true;
  }
  thaw(name: string): void {
    this.#network.changed(name);
    const simulatedMachine = this.machines.get(name);
    for (const process of [
      simulatedMachine?.agent,
      simulatedMachine?.proxy,
      simulatedMachine?.replica,
    ]) {
      if (!process || !process.frozen) continue;
      process.frozen = false;
      for (const act of process.deferredActions.splice(0)) act();
    }
  }
  fault(label: string): void {
    this.history.push({ kind: 'fault', at: this.clock.now(), label });
  }

  // Calls between processes -----------------------------------------------------------------------

  /** Sends a request to a machine; calls `onTimeout` if no reply arrives within the timeout. */
  #call(
    from: Process<Program>,
    to: string,
    deliver: (target: SimulatedMachine, reply: (body: unknown) => void) => void,
    onReply: (body: unknown) => void,
    onTimeout: () => void,
    timeoutMs: number = callTimeoutMs,
  ): void {
    let isSettled = false;
    const machineName = to.split('/', 1)[0] ?? to;
    this.clock.schedule(timeoutMs, () =>
      this.#runInProcess(from, () => {
        if (!isSettled) {
          isSettled = true;
          onTimeout();
        }
      }),
    );
    this.#transmit(from.machine.name, machineName, () => {
      const simulatedMachine = this.machines.get(machineName);
      if (simulatedMachine === undefined) return;
      deliver(simulatedMachine, (body) =>
        this.#transmit(machineName, from.machine.name, () =>
          this.#runInProcess(from, () => {
            if (!isSettled) {
              isSettled = true;
              onReply(body);
            }
          }),
        ),
      );
    });
  }

  #requestAgent(
    target: Process<'agent'>,
    event: (id: number) => AgentEvent,
    reply: (body: unknown) => void,
  ): void {
    this.#runInProcess(target, () => {
      const id = target.nextRequestId;
      target.nextRequestId += 1;
      target.pendingReplies.set(id, reply);
      this.#dispatch(target, event(id));
    });
  }

  #applyAgentEffect(process: Process<'agent'>, effect: AgentEffect): void {
    switch (effect.kind) {
      case 'send-request':
        this.#call(
          process,
          effect.to,
          (simulatedMachine, reply) => {
            if (effect.path === '/agent') {
              const { request: body } = effect;
              const target = simulatedMachine.agent;
              if (target !== null)
                this.#requestAgent(
                  target,
                  (id) => ({
                    kind: 'agent-request-received',
                    requestId: id,
                    request: body,
                    now: this.#processTime(target),
                  }),
                  reply,
                );
              return;
            }
            const target = simulatedMachine.replica;
            if (target !== null) this.#requestReplica(target, effect.request, reply);
          },
          (body) =>
            this.#dispatch(process, {
              kind: 'reply-received',
              requestId: effect.requestId,
              reply: body as never,
              now: this.#processTime(process),
            }),
          () =>
            this.#dispatch(process, {
              kind: 'request-failed',
              requestId: effect.requestId,
              now: this.#processTime(process),
            }),
        );
        return;
      case 'send-reply':
        process.pendingReplies.get(effect.requestId)?.(effect.reply);
        process.pendingReplies.delete(effect.requestId);
        return;
      case 'send-answer':
        process.pendingReplies.get(effect.requestId)?.(effect);
        process.pendingReplies.delete(effect.requestId);
        return;
      case 'schedule-wake-up':
        this.clock.schedule(effect.delayMs / process.clockRate, () =>
          this.#runInProcess(process, () =>
            this.#dispatch(process, { kind: 'wake-up-due', now: this.#processTime(process) }),
          ),
        );
        return;
      case 'log':
        return;
    }
  }

  #requestReplica(
    target: Process<'replica'>,
    request: ReplicaRequest,
    reply: (body: unknown) => void,
  ): void {
    this.#runInProcess(target, () => {
      const id = target.nextRequestId;
      target.nextRequestId += 1;
      target.pendingReplies.set(id, reply);
      const { committedMembership: knownMembership } = target.state;
      const deliveredRequest =
        this.tuning.plant === 'deaf-members' &&
        target.state.hasBegunVoting &&
        knownMembership !== null &&
        request.membership !== null
          ? { ...request, membership: knownMembership }
          : request;
      this.#dispatch(target, {
        kind: 'request-received',
        requestId: id,
        request: deliveredRequest,
        now: this.#processTime(target),
      });
    });
  }

  #applyReplicaEffect(process: Process<'replica'>, effect: ReplicaEffect): void {
    const simulatedMachine = this.machines.get(process.machine.name);
    if (simulatedMachine === undefined) return;
    const { disk } = simulatedMachine;
    switch (effect.kind) {
      case 'append-records':
        disk.unsynced.push(...effect.records);
        this.#sync(simulatedMachine, disk);
        return;
      case 'send-reply': {
        const sendReply = (): void => {
          process.pendingReplies.get(effect.requestId)?.(effect.reply);
          process.pendingReplies.delete(effect.requestId);
        };
        if (disk.unsynced.length === 0 || this.tuning.plant === 'tell-unsynced') sendReply();
        else
          disk.waiters.push({
            requiredTotal: disk.syncedTotal + disk.unsynced.length,
            act: () => {
              if (process.alive) this.#runInProcess(process, sendReply);
            },
          });
        return;
      }
      case 'send-request':
        this.#call(
          process,
          effect.to,
          (target, reply) => {
            if (target.replica !== null)
              this.#requestReplica(target.replica, effect.request, reply);
          },
          (body) =>
            this.#dispatch(process, {
              kind: 'reply-received',
              requestId: effect.requestId,
              reply: body as never,
              now: this.#processTime(process),
            }),
          () =>
            this.#dispatch(process, {
              kind: 'request-failed',
              requestId: effect.requestId,
              now: this.#processTime(process),
            }),
        );
        return;
      case 'exit':
        if (simulatedMachine.replica === process) {
          this.#terminate(process);
          simulatedMachine.replica = null;
        }
        return;
      case 'log':
        return;
    }
  }

  #sync(simulatedMachine: SimulatedMachine, disk: Disk): void {
    if (disk.isSyncing) return;
    disk.isSyncing = true;
    const batchSize = disk.unsynced.length;
    const slowdown = this.tuning.plant === 'tell-unsynced' ? 400 : 1;
    this.clock.schedule(this.clock.between(1, 6) * slowdown, () => {
      if (simulatedMachine.disk !== disk) return;
      // Records appended while this sync ran, and replies that depend on them, wait for the next
      // sync.
      disk.synced.push(...disk.unsynced.splice(0, batchSize));
      disk.syncedTotal += batchSize;
      disk.isSyncing = false;
      const dueWaiters = disk.waiters.filter((waiter) => waiter.requiredTotal <= disk.syncedTotal);
      disk.waiters = disk.waiters.filter((waiter) => waiter.requiredTotal > disk.syncedTotal);
      if (disk.unsynced.length > 0) this.#sync(simulatedMachine, disk);
      for (const waiter of dueWaiters) waiter.act();
    });
  }

  // Proxies ---------------------------------------------------------------------------------------

  readonly #waitingClients = new Map<Process<'proxy'>, WaitingClientTable>();
  readonly #attempts = new Map<string, { isAborted: boolean }>();
  readonly #submissions = new Map<Process<'proxy'>, SubmissionTable>();
  #removeWaitingClients(process: Process<'proxy'>): readonly WaitingClient[] {
    const clients = [...(this.#waitingClients.get(process)?.values() ?? [])];
    this.#waitingClients.delete(process);
    return clients;
  }

  /** Delivers a request from a client or a peer to a proxy. */
  #deliverRequest(
    process: Process<'proxy'>,
    request: ClientRequest,
    submissionInfo: { submission: number; job: string },
    client: WaitingClient & { attemptId: string | null },
  ): void {
    this.#runInProcess(process, () => {
      const id = process.nextRequestId;
      process.nextRequestId += 1;
      const clients = this.#waitingClients.get(process) ?? (new Map() as WaitingClientTable);
      clients.set(id, client);
      this.#waitingClients.set(process, clients);
      const submissions = this.#submissions.get(process) ?? (new Map() as SubmissionTable);
      submissions.set(id, submissionInfo);
      this.#submissions.set(process, submissions);
      this.#tokenCount += 1;
      if (this.tuning.plant === 'earn-twice' && request.via !== null)
        process.state = {
          ...process.state,
          retryTokens: Object.fromEntries(
            Object.entries(process.state.retryTokens).map(([service, tokens]) => [
              service,
              Math.min(3, tokens + 0.15),
            ]),
          ),
        };
      this.#dispatch(process, {
        kind: 'request-arrived',
        requestId: id,
        clientRequest: request,
        randomNumbers: [0, 1, 2, 3, 4].map(() => this.clock.random()),
        token: `mark-${this.#tokenCount}`,
        now: this.#processTime(process),
      });
    });
  }

  #applyProxyEffect(process: Process<'proxy'>, effect: ProxyEffect): void {
    const name = process.machine.name;
    const recordAction = (): void => {
      this.history.push({
        kind: 'acted',
        at: this.clock.now(),
        node: name,
        revision: process.state.policy?.revision ?? 0,
      });
    };
    switch (effect.kind) {
      case 'request-feed': {
        const askedAt = this.#processTime(process);
        const simulatedMachine = this.machines.get(name);
        const scheduleNextFeed = (): void => {
          this.clock.schedule(feedIntervalMs * this.clock.between(0.9, 1.1), () =>
            this.#runInProcess(process, () =>
              this.#dispatch(process, { kind: 'feed-due', now: this.#processTime(process) }),
            ),
          );
        };
        this.#call(
          process,
          name,
          (_target, reply) => {
            if (simulatedMachine?.agent) {
              const agent = simulatedMachine.agent;
              this.#requestAgent(
                agent,
                (id) => ({
                  kind: 'proxy-request-received',
                  requestId: id,
                  request: {
                    kind: 'feed',
                    report: effect.report,
                    held: Feeds.heldParts(this.#feedSnapshots.get(process) ?? null),
                  },
                  now: this.#processTime(agent),
                }),
                reply,
              );
            }
          },
          (body) => {
            const snapshot = Feeds.merge(
              this.#feedSnapshots.get(process) ?? null,
              body as FeedReply,
            );
            const agent = simulatedMachine?.agent;
            if (
              agent &&
              snapshot.feed.leaseMs > 0 &&
              agent.state.leaseUntil <= this.#processTime(agent)
            )
              this.history.push({
                kind: 'served-on',
                at: this.clock.now(),
                node: name,
                majorityReachableMs: this.#network.majorityReachableForMs(name),
              });
            this.#feedSnapshots.set(process, snapshot);
            this.#recordPeerRows(snapshot.feed);
            const feed =
              this.tuning.plant === 'old-rates'
                ? this.#feedWithOldRates(name, snapshot.feed)
                : snapshot.feed;
            for (const row of feed.origins) this.#originRows.set(row.address, row);
            this.#dispatch(process, {
              kind: 'feed-received',
              feed: this.#feedForProxy(
                feedWithFault(
                  this.tuning.plant,
                  feed,
                  [...this.#originRows.values()],
                  [...this.#peerRows.values()].filter((row) => row.id !== name),
                ),
                process,
              ),
              askedAt,
              now: this.#processTime(process),
            });
            if (this.tuning.plant === 'route-at-arrival')
              process.state = {
                ...process.state,
                requests: Object.fromEntries(
                  Object.entries(process.state.requests).map(([id, request]) => [
                    id,
                    { ...request, revision: process.state.policy?.revision ?? 0 },
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
            this.#recordCachedCopies(process);
            scheduleNextFeed();
          },
          scheduleNextFeed,
        );
        return;
      }
      case 'query-agent': {
        const settleClaim = (reply: ClaimReply): void => {
          const effectiveReply: ClaimReply =
            this.tuning.plant === 'claims-of-any-content' && reply.kind === 'other'
              ? { kind: 'granted' }
              : reply;
          if (effect.query.kind === 'claim')
            this.#dispatch(process, {
              kind: 'claim-answered',
              requestId: effect.requestId,
              reply: effectiveReply,
              now: this.#processTime(process),
            });
        };
        if (isClaimGrantedByFault(this.tuning.plant, effect.query)) {
          this.clock.schedule(1, () =>
            this.#runInProcess(process, () => settleClaim({ kind: 'granted' })),
          );
          return;
        }
        const simulatedMachine = this.machines.get(name);
        this.#call(
          process,
          name,
          (_target, reply) => {
            if (simulatedMachine?.agent) {
              const agent = simulatedMachine.agent;
              this.#requestAgent(
                agent,
                (id) => ({
                  kind: 'proxy-request-received',
                  requestId: id,
                  request: effect.query,
                  now: this.#processTime(agent),
                }),
                reply,
              );
            }
          },
          (body) => settleClaim(body as ClaimReply),
          () => settleClaim({ kind: 'unreached' }),
          proposalTimeoutMs + callTimeoutMs,
        );
        return;
      }
      case 'send-attempt': {
        recordAction();
        if (effect.attempt > 0) this.history.push({ kind: 'repeat', at: this.clock.now() });
        const submissionInfo = this.#submissions.get(process)?.get(effect.requestId) ?? {
          submission: -1,
          job: '',
        };
        const attemptState = { isAborted: false };
        this.#attempts.set(
          `${name}/${process.clockZeroAt}/${effect.requestId}/${effect.attempt}`,
          attemptState,
        );
        const onResponse = (answer: AttemptResponse): void =>
          this.#runInProcess(process, () => {
            if (!attemptState.isAborted)
              this.#dispatch(process, {
                kind: 'attempt-answered',
                requestId: effect.requestId,
                attempt: effect.attempt,
                answer,
                now: this.#processTime(process),
              });
          });
        const onFailure = (sent: 'nothing' | 'maybe', reason: string): void =>
          this.#runInProcess(process, () => {
            if (!attemptState.isAborted)
              this.#dispatch(process, {
                kind: 'attempt-failed',
                requestId: effect.requestId,
                attempt: effect.attempt,
                sent: this.tuning.plant === 'repeat-unsafe' ? 'nothing' : sent,
                why: reason,
                now: this.#processTime(process),
              });
          });
        if (effect.to.kind === 'origin')
          this.#sendToOrigin(
            process,
            effect.to,
            effect.clientRequest,
            effect.attemptId,
            effect.sendBy,
            submissionInfo,
            onResponse,
            onFailure,
          );
        else
          this.#sendToPeer(
            process,
            effect.to,
            this.#requestForPeer(process, effect),
            effect.attemptId,
            submissionInfo,
            onResponse,
            onFailure,
          );
        return;
      }
      case 'close-request':
        this.#submissions.get(process)?.delete(effect.requestId);
        return;
      case 'abort-attempt': {
        const attempt = this.#attempts.get(
          `${name}/${process.clockZeroAt}/${effect.requestId}/${effect.attempt}`,
        );
        if (attempt !== undefined) attempt.isAborted = true;
        return;
      }
      case 'send-answer': {
        const client = this.#waitingClients.get(process)?.get(effect.requestId);
        this.#waitingClients.get(process)?.delete(effect.requestId);
        if (
          this.tuning.plant === 'keep-relayed' &&
          effect.answer.body.kind === 'attempt' &&
          effect.answer.headers['reedyard-served'] === 'peer'
        )
          this.#cacheForwardedResponse(process, effect.answer.body.answer);
        // For a response to an attempt, the policy in use was recorded when the attempt was sent; a
        // cached copy is served under the policy of this moment.
        if (effect.answer.body.kind === 'copy') recordAction();
        if (client !== undefined) {
          const result = this.#resultOf(effect.answer, client.attemptId);
          this.clock.schedule(
            this.#reserveLinkMs(name, process.machine.capacityBps ?? 8e6, effect.answer),
            () => client.respond(process.alive ? result : null),
          );
        }
        return;
      }
      case 'log':
        return;
    }
  }

  /** Returns the request for a peer, with the number of origin attempts delegated to the peer. */
  #requestForPeer(
    process: Process<'proxy'>,
    effect: Extract<ProxyEffect, { kind: 'send-attempt' }>,
  ): ClientRequest {
    const { service, requiresLease, delegatedAttempts } = effect;
    const request = { ...effect.clientRequest, service, requiresLease };
    if (this.tuning.plant !== 'uncounted-grants')
      return { ...request, attempts: delegatedAttempts };
    process.state = withUncountedGrant(process.state, effect.requestId, effect.attempt);
    return request;
  }

  /** Last feed of each proxy process, merged from its agent's replies. */
  readonly #feedSnapshots = new WeakMap<Process<'proxy'>, FeedSnapshot>();
  readonly #peerRows = new Map<string, Feed['peers'][number]>();
  #recordPeerRows(feed: Feed): void {
    for (const row of feed.peers) this.#peerRows.set(row.id, row);
  }

  readonly #highestQuotas = new Map<string, Readonly<Record<string, number>>>();
  /**
   * Injected fault: replaces each service's quota by the highest rate that the node ever received.
   * A quota allocation in absolute rates would leave that rate in force.
   */
  #feedWithOldRates(node: string, feed: Feed): Feed {
    const highestSoFar = this.#highestQuotas.get(node) ?? {};
    const highestRates = Object.fromEntries(
      Object.entries(feed.slices).map(([service, rate]) => [
        service,
        Math.max(rate, highestSoFar[service] ?? 0),
      ]),
    );
    this.#highestQuotas.set(node, highestRates);
    return { ...feed, slices: highestRates };
  }

  #lastPolicies = new Map<string, Feed['policy']>();
  #feedForProxy(feed: Feed, process: Process<'proxy'>): Feed {
    const { selection = 'paper' } = this.tuning;
    if (feed.policy !== null) this.#lastPolicies.set(process.machine.name, feed.policy);
    return {
      ...feedWithSelection(
        selection,
        { ...feed, policy: this.#lastPolicies.get(process.machine.name) ?? null },
        process.machine.name,
      ),
      policy: feed.policy,
    };
  }

  /** Injected fault: caches a response although it was received through a peer. */
  #cacheForwardedResponse(process: Process<'proxy'>, response: AttemptResponse): void {
    const body = response.body as SimulatedBody | null;
    if (body === null || body.maxAgeMs === Infinity) return;
    const now = this.#processTime(process);
    const host = [...process.state.routes.keys()][0] ?? '';
    process.state = {
      ...process.state,
      cache: Cache.keep(process.state.cache, {
        key: Cache.key(host, body.target),
        service: body.service,
        status: 200,
        headers: response.headers,
        body,
        sizeBytes: response.size,
        tags: body.tags,
        vary: {},
        storedAt: now,
        freshUntil: now + body.maxAgeMs,
        initialAgeSeconds: 0,
      }),
    };
  }

  /**
   * Reserves a proxy's link for a response and returns the time until the response has left, in
   * milliseconds. A forwarded response takes a fifth of the time, because the proxy neither looks
   * it up nor creates it.
   */
  #reserveLinkMs(name: string, capacityBps: number, response: ClientResponse): number {
    if (response.body.kind === 'problem') return 0;
    // A large response is streamed in parallel with the others; only its start counts.
    if (response.body.kind === 'attempt' && !response.body.answer.isComplete) return 0;
    const sizeBytes =
      response.body.kind === 'copy' ? response.body.copy.sizeBytes : response.body.answer.size;
    const isForwarded = response.headers['reedyard-served'] === 'peer';
    const transmitMs = ((8 * (sizeBytes + 300)) / capacityBps) * 1_000 * (isForwarded ? 0.2 : 1);
    const freeAt = Math.max(this.clock.now(), this.#linkFreeAt.get(name) ?? 0) + transmitMs;
    this.#linkFreeAt.set(name, freeAt);
    return freeAt - this.clock.now();
  }

  #resultOf(
    response: ClientResponse,
    attemptId: string | null,
  ): Parameters<WaitingClient['respond']>[0] {
    const body =
      response.body.kind === 'copy'
        ? (response.body.copy.body as SimulatedBody)
        : response.body.kind === 'attempt'
          ? (response.body.answer.body as SimulatedBody)
          : null;
    const headers = {
      ...response.headers,
      ...(response.body.kind === 'copy' ? { 'sim-copied': 'yes' } : {}),
      ...(attemptId === null ? {} : { 'reedyard-attempt': attemptId }),
    };
    return {
      status: response.status,
      headers,
      body,
      isComplete: true,
      retryAfter: response.headers['retry-after'] !== undefined,
      reason: response.body.kind === 'problem' ? response.body.detail : '',
    };
  }

  readonly #copiesRecordedAt = new Map<string, number>();
  /** Records a proxy's cached copies a few times a second, for the check of rule 12. */
  #recordCachedCopies(process: Process<'proxy'>): void {
    const { name } = process.machine;
    if (this.clock.now() - (this.#copiesRecordedAt.get(name) ?? -Infinity) < 400) return;
    this.#copiesRecordedAt.set(name, this.clock.now());
    for (const copy of process.state.cache.copies.values()) {
      const { target } = copy.body as SimulatedBody;
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

  #sendToOrigin(
    process: Process<'proxy'>,
    to: Extract<AttemptTarget, { kind: 'origin' }>,
    request: ClientRequest,
    attemptId: string,
    sendBy: number,
    submissionInfo: { submission: number; job: string },
    onResponse: (response: AttemptResponse) => void,
    onFailure: (sent: 'nothing' | 'maybe', reason: string) => void,
  ): void {
    const from = process.machine;
    const { row } = to;
    const expected = `${row.service}/${row.instance}/${row.incarnation}`;
    const origin = this.origins.find((each) => each.address === row.address);
    if (
      origin === undefined ||
      !origin.alive ||
      this.#network.isCut(from.name, row.address) ||
      this.#network.isCut(row.address, from.name)
    ) {
      // A refused connection fails immediately; over a cut path it fails after the connect timeout.
      this.clock.schedule(origin !== undefined && !origin.alive ? 1 : connectTimeoutMs, () =>
        onFailure('nothing', 'connect'),
      );
      return;
    }
    const currentIdentity = (): string =>
      `${origin.service}/${origin.instance}/${origin.incarnation}`;
    // The origin's identity is verified first. Nothing of the request is sent before that, nor
    // while this process is frozen.
    this.clock.schedule(2 * this.delay(from.name, row.address), () =>
      this.#runInProcess(process, () => {
        if (this.#processTime(process) >= sendBy) {
          onFailure('nothing', 'lease');
          return;
        }
        const checkedIncarnation = origin.incarnation;
        if (!origin.alive) {
          onFailure('nothing', 'connect');
          return;
        }
        if (currentIdentity() !== expected && this.tuning.plant !== 'no-identity') {
          onFailure('nothing', 'identity');
          return;
        }
        this.#transmit(from.name, row.address, () => {
          if (
            !origin.alive ||
            (origin.incarnation !== checkedIncarnation && this.tuning.plant !== 'no-identity')
          ) {
            onFailure('maybe', 'cut');
            return;
          }
          const isUnsafe = request.method !== 'GET' && request.method !== 'HEAD';
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
            host: request.host,
            target: request.target,
            method: request.method,
            submission: submissionInfo.submission,
          });
          if (isUnsafe)
            this.history.push({
              kind: 'ran',
              at: this.clock.now(),
              submission: submissionInfo.submission,
              job: submissionInfo.job,
              key: String(request.headers['idempotency-key'] ?? '') || null,
            });
          const sentAt = this.clock.now();
          const madeAt = sentAt - 1_000 * origin.mode.aged;
          const isLarge = !isUnsafe && this.clock.random() < origin.mode.large;
          this.clock.schedule(origin.mode.slowMs * this.clock.between(0.5, 1.5), () => {
            if (!origin.alive || (isUnsafe && this.clock.random() < origin.mode.lose)) {
              this.clock.schedule(1, () => onFailure('maybe', 'cut'));
              return;
            }
            if (this.clock.random() < origin.mode.garbage) {
              onFailure('maybe', 'garbled');
              return;
            }
            if (origin.mode.garbledStatus > 0 && this.clock.random() < origin.mode.garbledStatus) {
              onFailure('maybe', 'status');
              return;
            }
            if (this.clock.random() < origin.mode.short) {
              if (this.tuning.plant === 'short-as-whole')
                onResponse({
                  status: 200,
                  size: 10,
                  isComplete: true,
                  body: null,
                  headers: { 'reedyard-stamp': currentIdentity(), 'reedyard-attempt': attemptId },
                });
              else onFailure('maybe', 'short');
              return;
            }
            const tags = [...request.target.matchAll(/tag-(\w+)/g)].map((match) => match[1] ?? '');
            const maxAgeMs = 1_000 * (origin.spec.maxAge ?? 60);
            const body: SimulatedBody = {
              service: origin.service,
              target: request.target,
              job: submissionInfo.job,
              tags,
              madeAt,
              sentAt,
              maxAgeMs,
            };
            const response: AttemptResponse = {
              status: 200,
              size: isLarge ? 3_000_000 : 2_000,
              isComplete: !isLarge,
              body,
              headers: {
                'reedyard-stamp': currentIdentity(),
                'reedyard-attempt': attemptId,
                'content-length': isLarge ? '3000000' : '2000',
                ...(origin.mode.aged > 0 ? { age: String(origin.mode.aged) } : {}),
                ...(isUnsafe
                  ? { 'cache-control': 'no-store' }
                  : { 'cache-control': `max-age=${maxAgeMs / 1_000}` }),
                ...(tags.length === 0 ? {} : { 'surrogate-key': tags.join(' ') }),
              },
            };
            const foreignResponse =
              this.clock.random() < origin.mode.foreign ? origin.previous : null;
            origin.previous = response;
            const deliveredResponse =
              foreignResponse === null
                ? response
                : this.tuning.plant === 'no-marks'
                  ? {
                      ...foreignResponse,
                      headers: { ...foreignResponse.headers, 'reedyard-attempt': attemptId },
                    }
                  : foreignResponse;
            this.#transmit(row.address, from.name, () => onResponse(deliveredResponse));
          });
        });
      }),
    );
  }

  #sendToPeer(
    process: Process<'proxy'>,
    to: Extract<AttemptTarget, { kind: 'peer' }>,
    request: ClientRequest,
    attemptId: string,
    submissionInfo: { submission: number; job: string },
    onResponse: (response: AttemptResponse) => void,
    onFailure: (sent: 'nothing' | 'maybe', reason: string) => void,
  ): void {
    const from = process.machine.name;
    const simulatedMachine = this.machines.get(to.row.id);
    if (
      simulatedMachine === undefined ||
      simulatedMachine.proxy === null ||
      this.#network.isCut(from, to.row.id) ||
      this.#network.isCut(to.row.id, from)
    ) {
      this.clock.schedule(
        simulatedMachine !== undefined && simulatedMachine.proxy === null ? 1 : connectTimeoutMs,
        () => onFailure('nothing', 'connect'),
      );
      return;
    }
    this.#transmit(from, to.row.id, () => {
      if (simulatedMachine.proxy === null) {
        onFailure('maybe', 'cut');
        return;
      }
      this.history.push({
        kind: 'relay',
        at: this.clock.now(),
        from,
        to: to.row.id,
        zone: simulatedMachine.machine.zone,
        target: request.target,
      });
      this.#deliverRequest(simulatedMachine.proxy, { ...request, via: from }, submissionInfo, {
        submission: submissionInfo.submission,
        attemptId,
        respond: (result) => {
          if (result === null) {
            this.#transmit(to.row.id, from, () => onFailure('maybe', 'cut'));
            return;
          }
          this.#transmit(to.row.id, from, () =>
            onResponse({
              status: result.status,
              headers: result.headers as AttemptResponse['headers'],
              body: result.body,
              size: 2_000,
              isComplete: true,
            }),
          );
        },
      });
    });
  }

  // Origins, operators and clients ----------------------------------------------------------------

  #announce(origin: SimulatedOrigin): void {
    this.clock.schedule(this.clock.between(900, 1_100), () => this.#announce(origin));
    if (origin.alive && !origin.silent) this.describe(origin);
  }

  readonly #recordedCapacities = new Map<string, number>();
  /**
   * Sends an origin's description to the given node, or to a random one. `acknowledged` is called
   * when a node first acknowledges that this incarnation is draining.
   */
  describe(
    origin: ScenarioOrigin,
    acknowledged: () => void = () => undefined,
    node?: string,
  ): void {
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
        const incarnationKey = `${service}/${instance}/${incarnation}`;
        if (reply.status === 200 && this.#recordedCapacities.get(incarnationKey) !== capacity) {
          this.#recordedCapacities.set(incarnationKey, capacity);
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
          acknowledged();
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
   * Injected fault: an agent repeats a command that it has not acknowledged for up to 4 s, although
   * its client no longer waits.
   */
  #repeatAction(agent: Process<'agent'>, action: ApiAction): void {
    for (let delayMs = 500; delayMs < proposalTimeoutMs; delayMs += 500) {
      this.clock.schedule(delayMs, () => {
        if (agent.alive)
          this.#requestAgent(
            agent,
            (id) => ({
              kind: 'action-received',
              requestId: id,
              action,
              now: this.#processTime(agent),
            }),
            () => undefined,
          );
      });
    }
  }

  /**
   * Sends an action to the API of the given node, or of a random running one. The returned function
   * disconnects the client before the reply arrives.
   */
  operate(
    action: ApiAction,
    done: (reply: { status: number; body: unknown }) => void,
    from = 'outside',
    node?: string,
  ): () => void {
    const runningMachines = [...this.machines.values()].filter(
      (simulatedMachine) => simulatedMachine.agent !== null && !simulatedMachine.agent.frozen,
    );
    const simulatedMachine =
      node === undefined ? this.clock.pick(runningMachines) : this.machines.get(node);
    if (simulatedMachine?.agent === undefined || simulatedMachine.agent === null) {
      done({ status: 0, body: null });
      return () => undefined;
    }
    const { agent } = simulatedMachine;
    let isOver = false;
    const [sentAt, isIsolated] = [
      this.clock.now(),
      !this.#network.reachesMajority(simulatedMachine.machine.name),
    ];
    const finish = (reply: { status: number; body: unknown }): void => {
      if (isOver) return;
      isOver = true;
      const { name } = simulatedMachine.machine;
      const isSteady =
        simulatedMachine.agent === agent &&
        !agent.frozen &&
        this.#network.isSteadySince(name, sentAt);
      if (action.kind !== 'describe')
        this.history.push({
          kind: 'called',
          at: this.clock.now(),
          sentAt,
          node: name,
          action: action.kind,
          status: reply.status,
          cutOff: isIsolated,
          isSteady,
        });
      done(reply);
    };
    const storedPolicy = agent.state.registers.policy?.value as
      { revision: number; document: unknown } | undefined;
    if (
      this.tuning.plant === 'local-reads' &&
      action.kind === 'get-policy' &&
      storedPolicy !== undefined
    ) {
      this.clock.schedule(2, () =>
        finish({
          status: 200,
          body: { revision: storedPolicy.revision, policy: storedPolicy.document },
        }),
      );
      return () => undefined;
    }
    this.clock.schedule(8_000, () => finish({ status: 0, body: null }));
    let apiRequestId: number | null = null;
    let hasLeft = false;
    const disconnect = (): void =>
      this.#runInProcess(agent, () => {
        if (apiRequestId !== null && agent.pendingReplies.delete(apiRequestId))
          this.#dispatch(agent, {
            kind: 'caller-disconnected',
            requestId: apiRequestId,
            now: this.#processTime(agent),
          });
      });
    this.#transmit(from, simulatedMachine.machine.name, () => {
      this.#requestAgent(
        agent,
        (id) => {
          apiRequestId = id;
          return { kind: 'action-received', requestId: id, action, now: this.#processTime(agent) };
        },
        (reply) => {
          const shownReply = replyWithFault(
            this.tuning.plant,
            reply as { status: number; body: unknown },
          );
          if (this.tuning.plant === 'callers-unheeded' && shownReply.status === 503)
            this.#repeatAction(agent, action);
          this.#transmit(simulatedMachine.machine.name, from, () => finish(shownReply));
        },
      );
      if (hasLeft) disconnect();
    });
    return () => {
      if (isOver) return;
      isOver = true;
      hasLeft = true;
      if (this.tuning.plant === 'callers-unheeded') this.#repeatAction(agent, action);
      else this.#transmit(from, simulatedMachine.machine.name, disconnect);
    };
  }

  #changeCount = 0;
  /** Sends a policy until it is acknowledged, with the same change id in each attempt. */
  put(document: Policy, done: () => void = () => undefined, node?: string): void {
    this.#changeCount += 1;
    const changeId = `change-${this.#changeCount}`;
    this.history.push({ kind: 'proposed', at: this.clock.now(), changeId, document });
    const attempt = (attemptsLeft: number): unknown =>
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
          } else if (attemptsLeft > 0) this.clock.schedule(500, () => attempt(attemptsLeft - 1));
        },
        'outside',
        attemptsLeft === 20 ? node : undefined,
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
    const purgedFrom = this.clock.now();
    this.#changeCount += 1;
    const changeId = `change-${this.#changeCount}`;
    const attempt = (attemptsLeft: number): unknown =>
      this.operate(
        { kind: 'purge', purge: { objects: [...objects], tags: [...tags] }, changeId },
        (reply) => {
          if (reply.status === 200) {
            this.history.push({
              kind: 'purged',
              at: this.clock.now(),
              objects,
              tags,
              purgedFrom,
            });
            done();
          } else if (attemptsLeft > 0) this.clock.schedule(500, () => attempt(attemptsLeft - 1));
        },
        'outside',
        attemptsLeft === 10 ? node : undefined,
      );
    attempt(10);
  }
  zone(
    zone: string,
    order: 'empty' | 'take-back',
    done: () => void = () => undefined,
    node?: string,
  ): void {
    this.#changeCount += 1;
    const changeId = `change-${this.#changeCount}`;
    const sentAt = this.clock.now();
    const attempt = (attemptsLeft: number): unknown =>
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
          } else if (attemptsLeft > 0) this.clock.schedule(500, () => attempt(attemptsLeft - 1));
        },
        'outside',
        attemptsLeft === 10 ? node : undefined,
      );
    attempt(10);
  }

  /** Readiness of each front node, as the platform saw it at its last poll. */
  readonly ready = new Map<string, boolean>();
  watchReady(): void {
    for (const simulatedMachine of this.machines.values()) {
      if (simulatedMachine.machine.kind !== 'front') continue;
      const { proxy } = simulatedMachine;
      const isReachable =
        proxy !== null &&
        proxy.alive &&
        !proxy.frozen &&
        !this.#network.isCut(simulatedMachine.machine.name, 'outside');
      this.ready.set(
        simulatedMachine.machine.name,
        isReachable && ProxyCore.ready(proxy.state, this.#processTime(proxy)),
      );
    }
    this.clock.schedule(500, () => this.watchReady());
  }

  #submissionCount = 0;
  /** Sends a client's request to a node. */
  submit(
    node: string,
    request: {
      method: string;
      host: string;
      target: string;
      job: string;
      key: string | null;
      /** Content of the request body; the job's name if omitted. */ content?: string;
    },
    done: (status: number, outcome: string) => void,
  ): void {
    this.#submissionCount += 1;
    const submission = this.#submissionCount;
    const simulatedMachine = this.machines.get(node);
    if (simulatedMachine === undefined) return;
    const { proxy } = simulatedMachine;
    const submittedAt = this.clock.now();
    let isOver = false;
    const finish = (
      status: number,
      outcome: string,
      details: Partial<Extract<Entry, { kind: 'got' }>> = {},
    ): void => {
      if (isOver) return;
      isOver = true;
      if (status >= 200 && status < 300)
        this.waits.push({ at: this.clock.now(), ms: this.clock.now() - submittedAt });
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
        ...details,
      });
      done(status, outcome);
    };
    this.history.push({
      kind: 'asked',
      at: this.clock.now(),
      submission,
      job: request.job,
      node,
      zone: simulatedMachine.machine.zone,
      method: request.method,
      target: request.target,
      key: request.key,
    });
    this.clock.schedule(12_000, () => finish(0, 'no answer'));
    if (proxy === null) {
      this.clock.schedule(1, () => finish(0, 'refused'));
      return;
    }
    const headers = { ...(request.key === null ? {} : { 'idempotency-key': request.key }) };
    this.clock.schedule(this.delay('outside', node), () =>
      this.#deliverRequest(
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
          attemptId: null,
          respond: (result) => {
            if (result === null) {
              finish(0, 'cut');
              return;
            }
            finish(result.status, headerText(result.headers, 'reedyard-outcome'), {
              served: headerText(result.headers, 'reedyard-served'),
              stamp: headerText(result.headers, 'reedyard-stamp'),
              retryAfter: result.retryAfter,
              why: result.reason,
              body: result.body,
              hasCompleteBody: result.isComplete,
              copied: result.headers['sim-copied'] !== undefined,
            });
          },
        },
      ),
    );
  }
}
