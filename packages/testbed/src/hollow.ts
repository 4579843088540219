/**
 * Runs a hollow fleet: real reducers without real machines, to measure what each role sends and
 * costs.
 */
import { fork } from 'node:child_process';
import { writeFileSync } from 'node:fs';
import os from 'node:os';
import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';
import type { NodeIdentity, NodeRecord } from '@reedyard/agent';
import { errorMessage } from '@reedyard/logging';
import type { Policy } from '@reedyard/schemas';
import {
  heapBytesPerDelay,
  heapBytesPerNode,
  hollowDescribeIntervalMs,
  hollowMemoryShare,
  hollowOriginCapacityPerSecond,
  hollowOriginsPerService,
  hollowStartSpreadMs,
  hollowStepMs,
  hollowMaxWaitMs,
  hollowWarmUpMs,
} from './hollow-constants.js';
import {
  type AgentSpec,
  type AddressDirectory,
  randomFraction,
  type CallTraffic,
  HollowError,
  HollowHost,
  type HostOperations,
  type HostReport,
  type NodeAction,
  type OriginSpec,
  type ProxySpec,
  type HollowRole,
  type ArrivalWatch,
} from './hollow-host.js';

/** Size and contents of a hollow fleet, and the length of its run. */
export type HollowOptions = {
  /** Number of machines, including those of the replicas. */
  readonly nodes: number;
  readonly replicas: number;
  readonly zones: number;
  readonly regions: number;
  readonly origins: number;
  readonly services: number;
  readonly routes: number;
  /** Purges per second. */
  readonly purges: number;
  /**
   * Number of machines that run a proxy. The others run only an agent, which is neither pinged nor
   * allocated a quota.
   */
  readonly proxies: number;
  /**
   * Number of objects that each proxy measures. With 0, no load vector is published and no routing
   * table computed.
   */
  readonly objects: number;
  /** Seconds of the fleet's clock before counting begins. */
  readonly warm: number;
  /** Seconds of the fleet's clock that are counted. */
  readonly seconds: number;
  readonly seed: number;
  /** Number of processes that share the agents; with 0, all nodes run in this process. */
  readonly processes: number;
  /**
   * Number of probes after the counting. Each probe sends a config change, a purge, a drain notice
   * and a new member, and times their arrival.
   */
  readonly probes: number;
};

/** Traffic and cost of one role, per node and per second of the fleet's clock. */
export type RoleFigures = {
  readonly nodes: number;
  readonly callsOut: number;
  readonly callsIn: number;
  readonly bytesOut: number;
  readonly bytesIn: number;
  /** Processor milliseconds spent in the reducer. */
  readonly reducerMs: number;
  readonly byKind: Readonly<
    Record<
      string,
      {
        readonly callsOut: number;
        readonly callsIn: number;
        readonly bytesOut: number;
        readonly bytesIn: number;
      }
    >
  >;
  readonly byEvent: Readonly<Record<string, { readonly ms: number; readonly events: number }>>;
};
/**
 * Resources used by one process: processor milliseconds per second, and bytes of heap after a
 * garbage collection. The `floor` figures are those of the process before it has nodes.
 */
export type ProcessFigures = {
  readonly part: string;
  readonly nodes: number;
  readonly cpuMs: number;
  readonly floorCpuMs: number;
  readonly heap: number;
  readonly floorHeap: number;
  readonly rss: number;
};
/**
 * Distribution of the delays at the nodes that a change reached, in milliseconds. `missing` is the
 * number of the other nodes.
 */
export type DelayDistribution = {
  readonly nodes: number;
  readonly median: number;
  readonly p99: number;
  readonly most: number;
  readonly missing: number;
};
/** Figures of a run of a hollow fleet. */
export type HollowResult = {
  readonly options: HollowOptions;
  readonly roles: Readonly<Partial<Record<HollowRole, RoleFigures>>>;
  readonly processes: readonly ProcessFigures[];
  /**
   * Delay from sending each sort of change to its arrival at the nodes, in milliseconds of the
   * fleet's clock.
   */
  readonly times: Readonly<Record<ArrivalWatch['what'], DelayDistribution>>;
  /**
   * Bytes that one probe adds over all nodes, by kind of call: the traffic while the probes ran,
   * less the steady traffic of that time.
   */
  readonly probeBytes: Readonly<Record<string, number>>;
  readonly probeSeconds: number;
  readonly stateBytes: Readonly<Record<string, Readonly<Record<string, number>>>>;
  readonly policyBytes: number;
  /** Number of calls that failed since the counting began. */
  readonly lost: number;
  readonly faults: readonly string[];
  readonly logs: Readonly<Record<string, number>>;
};

type FleetProcess = {
  readonly name: string;
  readonly host: HostOperations;
  readonly close: () => Promise<void>;
};

/** Starts a host in a child process and forwards its operations over IPC. */
const forkHost = (name: string, heapMb: number): FleetProcess => {
  const child = fork(fileURLToPath(new URL('./hollow-child.js', import.meta.url)), {
    execArgv: ['--expose-gc', `--max-old-space-size=${heapMb}`],
    serialization: 'advanced',
    stdio: ['ignore', 'inherit', 'inherit', 'ipc'],
  });
  const pendingCalls = new Map<
    number,
    { readonly resolve: (value: never) => void; readonly reject: (error: Error) => void }
  >();
  let nextCallId = 1;
  let hasExited = false;
  const exited = new Promise<void>((resolve) =>
    child.once('exit', (code, signal) => {
      hasExited = true;
      pendingCalls.forEach(({ reject }) =>
        reject(
          new HollowError(
            'ended',
            `the process of ${name} exited unexpectedly: ${signal ?? `code ${code}`}`,
          ),
        ),
      );
      resolve();
    }),
  );
  child.on(
    'message',
    (message: { readonly id: number; readonly value?: never; readonly fault?: string }) => {
      const pendingCall = pendingCalls.get(message.id);
      pendingCalls.delete(message.id);
      if (message.fault === undefined) pendingCall?.resolve(message.value as never);
      else pendingCall?.reject(new HollowError('failed', `${name}: ${message.fault}`));
    },
  );
  const forwardCall =
    (method: string) =>
    (...args: readonly unknown[]): Promise<never> =>
      new Promise((resolve, reject) => {
        if (hasExited) {
          reject(new HollowError('ended', `the process of ${name} has exited`));
          return;
        }
        pendingCalls.set(nextCallId, { resolve, reject });
        child.send({ id: nextCallId, method, words: args });
        nextCallId += 1;
      });
  const host = new Proxy(
    {},
    { get: (_, method) => (method === 'then' ? undefined : forwardCall(String(method))) },
  ) as HostOperations;
  return {
    name,
    host,
    close: async () => {
      if (!hasExited) child.disconnect();
      await exited;
    },
  };
};

const openHost = (name: string): FleetProcess => {
  const host = new HollowHost();
  return { name, host, close: () => host.close() };
};

const policyOf = (options: HollowOptions, change: number): Policy => ({
  services: Object.fromEntries(
    Array.from({ length: options.services }, (_, index) => [
      `service-${index}`,
      { ceiling: 100_000 + (index === 0 ? change : 0), coldRate: 20 },
    ]),
  ),
  routes: Array.from({ length: options.routes }, (_, index) => ({
    name: `route-${index}`,
    host: `h${index % 50}.example`,
    path: `/s${index}/`,
    service: `service-${index % options.services}`,
    methods: ['GET', 'HEAD'],
    cache: { keep: 'origin' },
    limits: {},
    tagsHeader: 'surrogate-key',
  })),
});

const distributionOf = (delays: readonly number[], nodeCount: number): DelayDistribution => {
  const sorted = [...delays].sort((a, b) => a - b);
  const quantile = (share: number): number =>
    sorted[Math.min(sorted.length - 1, Math.ceil(share * sorted.length) - 1)] ?? NaN;
  return {
    nodes: nodeCount,
    median: quantile(0.5),
    p99: quantile(0.99),
    most: sorted.at(-1) ?? NaN,
    missing: nodeCount - sorted.length,
  };
};

/**
 * Runs a hollow fleet and measures the traffic and cost of each role.
 *
 * @example
 * const result = await runHollowFleet({ nodes: 16, replicas: 3, zones: 4, regions: 2, origins: 7, services: 1, routes: 10, purges: 1, proxies: 13, objects: 0, warm: 4, seconds: 4, seed: 1, processes: 0, probes: 1 });
 * result.roles.agent?.callsOut // calls that one agent sends per second
 */
export const runHollowFleet = async (
  options: HollowOptions,
  reportProgress: (text: string) => void = () => undefined,
): Promise<HollowResult> => {
  const { nodes, replicas } = options;
  const fleetProcesses: FleetProcess[] =
    options.processes === 0
      ? ['replicas', 'holder', 'agents-1', 'proxies'].map(openHost)
      : [
          forkHost('replicas', 2_048),
          forkHost('holder', 3_072),
          ...Array.from({ length: options.processes }, (_, index) =>
            forkHost(`agents-${index + 1}`, Math.floor(12_288 / options.processes)),
          ),
          forkHost('proxies', 2_048),
        ];
  const [replicaProcess, holderProcess, proxyProcess, ...agentProcesses] = [
    fleetProcesses[0],
    fleetProcesses[1],
    fleetProcesses.at(-1),
    ...fleetProcesses.slice(2, -1),
  ] as [FleetProcess, FleetProcess, FleetProcess, ...FleetProcess[]];
  try {
    const ports = new Map(
      await Promise.all(
        fleetProcesses.map(
          async (fleetProcess) => [fleetProcess, await fleetProcess.host.listen()] as const,
        ),
      ),
    );
    const machineAt = (index: number): NodeIdentity => {
      const ip = `10.${Math.floor(index / 62_500)}.${Math.floor(index / 250) % 250}.${(index % 250) + 1}`;
      const zone = index % options.zones;
      const isCore = index < replicas;
      return {
        id: isCore ? `core-${index + 1}` : `front-${String(index + 1).padStart(4, '0')}`,
        zone: `zone-${zone}`,
        region: `region-${zone % options.regions}`,
        address: `${ip}:7001`,
        proxy:
          isCore || (index >= replicas + options.proxies && index < nodes)
            ? null
            : { callers: `${ip}:8080`, peers: `${ip}:8081`, capacityBps: 1_000_000_000 },
        replica: isCore ? { address: `${ip}:7101` } : null,
      };
    };
    // Each probe adds one machine, numbered after those of the fleet.
    const machines = Array.from({ length: nodes + options.probes }, (_, index) => machineAt(index));
    const members = machines.slice(0, nodes);
    const holder = machines[replicas];
    const founders = Object.fromEntries(
      machines.slice(0, replicas).map((self) => [self.id, self.replica?.address ?? '']),
    );
    const seeds = machines.slice(0, Math.min(3, replicas)).map((self) => self.address);
    const processOf = (index: number): FleetProcess =>
      machines[index] === holder ? holderProcess : agentProcesses[index % agentProcesses.length];
    const roleOf = (index: number): HollowRole =>
      machines[index] === holder
        ? 'holder'
        : seeds.includes(machines[index]?.address ?? '')
          ? 'seed'
          : 'agent';
    const directory: AddressDirectory = Object.fromEntries([
      ...machines.map(
        (self, index) =>
          [self.address, { port: ports.get(processOf(index)) ?? 0, role: roleOf(index) }] as const,
      ),
      ...Object.values(founders).map(
        (address) =>
          [address, { port: ports.get(replicaProcess) ?? 0, role: 'replica' as const }] as const,
      ),
    ]);
    await Promise.all(fleetProcesses.map(({ host }) => host.directory(directory)));

    let now = 0;
    const step = async (actions: readonly NodeAction[] = []): Promise<void> => {
      now += hollowStepMs;
      let startedBefore = await Promise.all(
        fleetProcesses.map(({ host }) => host.step(now, actions)),
      );
      // The step is complete once two rounds in a row find no host with operations in flight and no
      // host has started an operation in between.
      for (;;) {
        const startedAfter = await Promise.all(fleetProcesses.map(({ host }) => host.settled()));
        if (startedAfter.every((count, index) => count === startedBefore[index])) return;
        startedBefore = startedAfter;
      }
    };
    const collectReports = (withMemory: boolean): Promise<readonly HostReport[]> =>
      Promise.all(fleetProcesses.map(({ host }) => host.report(withMemory)));
    const actionReplyOf = async (tag: string): Promise<{ readonly status: number } | undefined> =>
      (await collectReports(false))
        .map((report) => report.answers[tag])
        .find((reply) => reply !== undefined);
    const waitUntil = async (condition: string, isMet: () => Promise<boolean>): Promise<void> => {
      const deadline = now + hollowMaxWaitMs;
      while (!(await isMet())) {
        if (now > deadline)
          throw new HollowError(
            'limit',
            `${condition}: not reached within ${hollowMaxWaitMs} ms of the fleet's clock`,
          );
        for (let index = 0; index < 10; index += 1) await step();
      }
    };
    const loggedCountOf = async (event: string): Promise<number> =>
      (await collectReports(false)).reduce((sum, report) => sum + (report.logs[event] ?? 0), 0);

    // Measures the cost of the processes before they have nodes, over steps of an empty fleet.
    const emptyBefore = await collectReports(true);
    for (let index = 0; index < 1_000 / hollowStepMs; index += 1) await step();
    const emptyAfter = await collectReports(true);

    await replicaProcess.host.replicas(
      machines.slice(0, replicas).map((self) => ({
        name: self.id,
        address: self.replica?.address ?? '',
        others: Object.fromEntries(Object.entries(founders).filter(([name]) => name !== self.id)),
      })),
    );
    await waitUntil(
      'a vote of every replica',
      async () => (await loggedCountOf('replica.votes')) >= replicas,
    );
    reportProgress('all replicas vote');

    const agentSpec = (
      index: number,
      known: readonly NodeRecord[],
      startAt: number,
    ): AgentSpec => ({
      self: machines[index],
      role: roleOf(index),
      seeds,
      founders,
      seed: Math.floor(randomFraction(options.seed, index) * 2 ** 31),
      startAt,
      known,
    });
    const proxySpec = (index: number, startAt: number): ProxySpec => ({
      id: machines[index]?.id ?? '',
      address: machines[index]?.address ?? '',
      startAt,
      seed: options.seed * 10_007 + index,
      services: options.services,
      objects: options.objects,
    });
    const holderIndex = replicas;
    await holderProcess.host.agents([agentSpec(holderIndex, [], now)]);
    await proxyProcess.host.proxies([proxySpec(holderIndex, now)]);
    // The first agent starts alone and wins the quota leadership, so that the figures of its
    // process are those of the holder.
    let attemptCount = 0;
    await waitUntil('acceptance of the first policy', async () => {
      if ((await actionReplyOf(`first-${attemptCount}`))?.status === 200) return true;
      attemptCount += 1;
      await step([
        {
          node: holder.address,
          tag: `first-${attemptCount}`,
          action: {
            kind: 'put-policy',
            document: policyOf(options, 0),
            ifMatch: null,
            changeId: 'first',
          },
        },
      ]);
      await waitUntil(
        'a reply to the first policy',
        async () => (await actionReplyOf(`first-${attemptCount}`)) !== undefined,
      );
      return (await actionReplyOf(`first-${attemptCount}`))?.status === 200;
    });
    await waitUntil(
      'election of a quota leader',
      async () => (await loggedCountOf('quota-leadership.won')) > 0,
    );
    reportProgress('a quota leader is elected');

    const knownRecords: readonly NodeRecord[] = members.map((self) => ({
      ...self,
      ready: false,
      staying: false,
      proxyLife: '',
      wants: {},
    }));
    // One message per process, so that the records known to all agents are sent once to each
    // process.
    const otherMembers = members.flatMap((self, index) =>
      index === holderIndex
        ? []
        : [
            {
              self,
              index,
              startAt: now + hollowStartSpreadMs * randomFraction(options.seed, 1_000_000 + index),
            },
          ],
    );
    await Promise.all(
      agentProcesses.map((fleetProcess) =>
        fleetProcess.host.agents(
          otherMembers
            .filter(({ index }) => processOf(index) === fleetProcess)
            .map(({ index, startAt }) => agentSpec(index, knownRecords, startAt)),
        ),
      ),
    );
    await proxyProcess.host.proxies(
      otherMembers
        .filter(({ self }) => self.proxy !== null)
        .map(({ index, startAt }) => proxySpec(index, startAt)),
    );
    await Promise.all(
      [holderProcess, ...agentProcesses].map((fleetProcess) =>
        fleetProcess.host.origins(
          Array.from({ length: options.origins }, (_, index): OriginSpec => {
            const machineIndex = index % nodes;
            return {
              node: machines[machineIndex]?.address ?? '',
              startAt:
                now + hollowDescribeIntervalMs * randomFraction(options.seed, 2_000_000 + index),
              description: {
                service: `service-${index % options.services}`,
                instance: `origin-${index}`,
                incarnation: 1,
                address: `10.200.${Math.floor(index / 250)}.${(index % 250) + 1}:9000`,
                region: machines[machineIndex]?.region ?? '',
                zone: machines[machineIndex]?.zone ?? '',
                capacity: hollowOriginCapacityPerSecond,
                state: 'warm',
                draining: false,
              },
            };
          }).filter(
            (spec) =>
              processOf(machines.findIndex((self) => self.address === spec.node)) === fleetProcess,
          ),
        ),
      ),
    );
    const randomNodeAddress = (index: number): string =>
      members[Math.floor(randomFraction(options.seed, index) * nodes)]?.address ?? '';
    const purgeAction = (node: string, tag: string): NodeAction => ({
      node,
      tag,
      action: { kind: 'purge', purge: { objects: [], tags: [tag] }, changeId: tag },
    });
    reportProgress('all nodes are started');
    for (let end = now + 1_000 * options.warm; now < end;) await step();
    // In steady operation, the gossiped entries include the purges of the last minute. They are
    // sent in one step, so that the warm-up need not last a minute.
    const initialPurges = Math.round(options.purges * 60);
    await step(
      Array.from({ length: initialPurges }, (_, index) =>
        purgeAction(randomNodeAddress(3_000_000 + index), `boarded-${index}`),
      ),
    );
    for (let end = now + (initialPurges > 0 ? 1_000 : 0); now < end;) await step();
    reportProgress('warm-up is complete');

    const reportsBefore = await collectReports(true);
    const countingFrom = now;
    let sentPurges = 0;
    while (now < countingFrom + 1_000 * options.seconds) {
      const duePurges = Math.floor(((now - countingFrom) / 1_000) * options.purges) - sentPurges;
      await step(
        Array.from({ length: duePurges }, (_, index) =>
          purgeAction(
            randomNodeAddress(4_000_000 + sentPurges + index),
            `steady-${sentPurges + index}`,
          ),
        ),
      );
      sentPurges += duePurges;
      if ((now - countingFrom) % 1_000 === 0)
        reportProgress(`${(now - countingFrom) / 1_000} s counted`);
    }
    const seconds = (now - countingFrom) / 1_000;
    const reportsAfter = await collectReports(true);

    const arrivalDelays: Record<ArrivalWatch['what'], number[]> = {
      config: [],
      purge: [],
      drain: [],
      member: [],
    };
    const expectedArrivals: Record<ArrivalWatch['what'], number> = {
      config: 0,
      purge: 0,
      drain: 0,
      member: 0,
    };
    const probesFrom = now;
    for (let probe = 0; probe < options.probes; probe += 1) {
      const drainingOrigin = options.origins - 1 - probe;
      const revision = 2 + probe;
      const watches: readonly ArrivalWatch[] = [
        { tag: `config-${probe}`, what: 'config', key: String(revision) },
        { tag: `purge-${probe}`, what: 'purge', key: `probe-${probe}` },
        ...(drainingOrigin < 0
          ? []
          : [{ tag: `drain-${probe}`, what: 'drain', key: `origin-${drainingOrigin}` } as const]),
        { tag: `member-${probe}`, what: 'member', key: machines[nodes + probe]?.id ?? '' },
      ];
      await Promise.all(fleetProcesses.map(({ host }) => host.watch(watches)));
      const newcomer = nodes + probe;
      await processOf(newcomer).host.agents([agentSpec(newcomer, [], now)]);
      await proxyProcess.host.proxies([proxySpec(newcomer, now)]);
      const sentAt = now;
      const drainingSpecs: readonly OriginSpec[] = [
        {
          node: machines[drainingOrigin % nodes]?.address ?? '',
          startAt: now,
          description: {
            service: `service-${drainingOrigin % options.services}`,
            instance: `origin-${drainingOrigin}`,
            incarnation: 1,
            address: `10.200.${Math.floor(drainingOrigin / 250)}.${(drainingOrigin % 250) + 1}:9000`,
            region: machines[drainingOrigin % nodes]?.region ?? '',
            zone: machines[drainingOrigin % nodes]?.zone ?? '',
            capacity: hollowOriginCapacityPerSecond,
            state: 'warm',
            draining: true,
          },
        },
      ];
      if (drainingOrigin >= 0) await processOf(drainingOrigin % nodes).host.origins(drainingSpecs);
      await step([
        {
          node: randomNodeAddress(5_000_000 + probe),
          tag: `config-${probe}`,
          action: {
            kind: 'put-policy',
            document: policyOf(options, 1 + probe),
            ifMatch: null,
            changeId: `change-${probe}`,
          },
        },
        purgeAction(randomNodeAddress(6_000_000 + probe), `probe-${probe}`),
      ]);
      // The nodes that were members before this newcomer.
      const memberCount = nodes + probe;
      const expectedCounts = {
        config: memberCount,
        purge: memberCount,
        drain: drainingOrigin < 0 ? 0 : memberCount,
        member: memberCount,
      };
      const arrivalsOf = async (what: ArrivalWatch['what']): Promise<readonly number[]> =>
        (await collectReports(false)).flatMap(
          (report) => report.arrivals[`${what}-${probe}`] ?? [],
        );
      const deadline = now + hollowMaxWaitMs;
      const watchedKinds = ['config', 'purge', 'drain', 'member'] as const;
      for (;;) {
        for (let index = 0; index < 10; index += 1) await step();
        const counts = await Promise.all(
          watchedKinds.map(async (what) => (await arrivalsOf(what)).length),
        );
        if (
          now >= deadline ||
          watchedKinds.every((what, index) => (counts[index] ?? 0) >= expectedCounts[what])
        )
          break;
      }
      for (const what of watchedKinds) {
        arrivalDelays[what].push(...(await arrivalsOf(what)).map((at) => at - sentAt));
        expectedArrivals[what] += expectedCounts[what];
      }
      reportProgress(
        `probe ${probe + 1} of ${options.probes} has reached ${arrivalDelays.config.length} of ${expectedArrivals.config}`,
      );
    }
    const finalReports = await collectReports(false);
    const probeSeconds = (now - probesFrom) / 1_000;

    const roleNodeCount = (role: HollowRole): number =>
      machines
        .slice(0, nodes)
        .filter((self, index) =>
          role === 'replica'
            ? self.replica !== null
            : role === 'proxy'
              ? self.proxy !== null
              : roleOf(index) === role,
        ).length;
    const sumTraffic = (reports: readonly HostReport[]): ReadonlyMap<string, CallTraffic> => {
      const sums = new Map<string, CallTraffic>();
      for (const flow of reports.flatMap((report) => report.flows)) {
        const key = `${flow.from} ${flow.to} ${flow.kind}`;
        const sum = sums.get(key);
        sums.set(
          key,
          sum === undefined
            ? flow
            : {
                ...flow,
                calls: sum.calls + flow.calls,
                askedBytes: sum.askedBytes + flow.askedBytes,
                answeredBytes: sum.answeredBytes + flow.answeredBytes,
              },
        );
      }
      return sums;
    };
    const subtractTraffic = (
      later: readonly HostReport[],
      earlier: readonly HostReport[],
    ): readonly CallTraffic[] => {
      const earlierTraffic = sumTraffic(earlier);
      return [...sumTraffic(later)].map(([key, flow]) => {
        const earlierFlow = earlierTraffic.get(key);
        return earlierFlow === undefined
          ? flow
          : {
              ...flow,
              calls: flow.calls - earlierFlow.calls,
              askedBytes: flow.askedBytes - earlierFlow.askedBytes,
              answeredBytes: flow.answeredBytes - earlierFlow.answeredBytes,
            };
      });
    };
    const steadyTraffic = subtractTraffic(reportsAfter, reportsBefore);
    const reducerCostsOf = (
      reports: readonly HostReport[],
      role: HollowRole,
    ): ReadonlyMap<string, { readonly ms: number; readonly events: number }> => {
      const sums = new Map<string, { ms: number; events: number }>();
      for (const cost of reports.flatMap((report) => report.reduced))
        if (cost.role === role) {
          const sum = sums.get(cost.event) ?? { ms: 0, events: 0 };
          sums.set(cost.event, { ms: sum.ms + cost.ms, events: sum.events + cost.events });
        }
      return sums;
    };
    const figuresOf = (role: HollowRole): RoleFigures => {
      const nodeCount = Math.max(1, roleNodeCount(role));
      const perNodeSecond = (total: number): number => total / nodeCount / seconds;
      const kinds = [
        ...new Set(
          steadyTraffic
            .filter((flow) => flow.from === role || flow.to === role)
            .map((flow) => flow.kind),
        ),
      ].sort();
      const byKind = Object.fromEntries(
        kinds.map((kind) => {
          const [outbound, inbound] = [
            steadyTraffic.filter((flow) => flow.kind === kind && flow.from === role),
            steadyTraffic.filter((flow) => flow.kind === kind && flow.to === role),
          ];
          const sum = (
            flows: readonly CallTraffic[],
            field: 'calls' | 'askedBytes' | 'answeredBytes',
          ): number => flows.reduce((total, flow) => total + flow[field], 0);
          return [
            kind,
            {
              callsOut: perNodeSecond(sum(outbound, 'calls')),
              callsIn: perNodeSecond(sum(inbound, 'calls')),
              bytesOut: perNodeSecond(sum(outbound, 'askedBytes') + sum(inbound, 'answeredBytes')),
              bytesIn: perNodeSecond(sum(outbound, 'answeredBytes') + sum(inbound, 'askedBytes')),
            },
          ];
        }),
      );
      const total = (field: 'callsOut' | 'callsIn' | 'bytesOut' | 'bytesIn'): number =>
        Object.values(byKind).reduce((sum, kind) => sum + kind[field], 0);
      const [costsAfter, costsBefore] = [
        reducerCostsOf(reportsAfter, role),
        reducerCostsOf(reportsBefore, role),
      ];
      const byEvent = Object.fromEntries(
        [...costsAfter].map(([event, sum]) => [
          event,
          {
            ms: perNodeSecond(sum.ms - (costsBefore.get(event)?.ms ?? 0)),
            events: perNodeSecond(sum.events - (costsBefore.get(event)?.events ?? 0)),
          },
        ]),
      );
      return {
        nodes: roleNodeCount(role),
        callsOut: total('callsOut'),
        callsIn: total('callsIn'),
        bytesOut: total('bytesOut'),
        bytesIn: total('bytesIn'),
        reducerMs: Object.values(byEvent).reduce((sum, event) => sum + event.ms, 0),
        byKind,
        byEvent,
      };
    };
    const nodeCountOf = (fleetProcess: FleetProcess): number =>
      fleetProcess === replicaProcess
        ? replicas
        : fleetProcess === holderProcess
          ? 1
          : fleetProcess === proxyProcess
            ? options.proxies
            : members.filter((_, index) => processOf(index) === fleetProcess).length;
    const probeTraffic = subtractTraffic(finalReports, reportsAfter);
    const steadyBytes = new Map<string, number>();
    for (const flow of steadyTraffic)
      steadyBytes.set(
        flow.kind,
        (steadyBytes.get(flow.kind) ?? 0) + flow.askedBytes + flow.answeredBytes,
      );
    const probeBytes: Record<string, number> = {};
    for (const flow of probeTraffic)
      probeBytes[flow.kind] = (probeBytes[flow.kind] ?? 0) + flow.askedBytes + flow.answeredBytes;
    return {
      options,
      roles: Object.fromEntries(
        (['replica', 'holder', 'seed', 'agent', 'proxy'] as const).flatMap((role) =>
          roleNodeCount(role) === 0 ? [] : [[role, figuresOf(role)]],
        ),
      ),
      processes: fleetProcesses.map((fleetProcess, index) => ({
        part: fleetProcess.name,
        nodes: nodeCountOf(fleetProcess),
        cpuMs: ((reportsAfter[index]?.cpuMs ?? 0) - (reportsBefore[index]?.cpuMs ?? 0)) / seconds,
        floorCpuMs: (emptyAfter[index]?.cpuMs ?? 0) - (emptyBefore[index]?.cpuMs ?? 0),
        heap: reportsAfter[index]?.heap ?? 0,
        floorHeap: emptyAfter[index]?.heap ?? 0,
        rss: reportsAfter[index]?.rss ?? 0,
      })),
      times: {
        config: distributionOf(arrivalDelays.config, expectedArrivals.config),
        purge: distributionOf(arrivalDelays.purge, expectedArrivals.purge),
        drain: distributionOf(arrivalDelays.drain, expectedArrivals.drain),
        member: distributionOf(arrivalDelays.member, expectedArrivals.member),
      },
      probeBytes: Object.fromEntries(
        Object.entries(probeBytes).map(([kind, bytes]) => [
          kind,
          Math.max(
            0,
            Math.round(
              (bytes - (steadyBytes.get(kind) ?? 0) * (probeSeconds / seconds)) /
                Math.max(1, options.probes),
            ),
          ),
        ]),
      ),
      probeSeconds,
      stateBytes: Object.assign(
        {},
        ...reportsAfter.map((report) => report.stateBytes),
      ) as HollowResult['stateBytes'],
      policyBytes: JSON.stringify(policyOf(options, 0)).length,
      lost:
        finalReports.reduce((sum, report) => sum + report.lost, 0) -
        reportsBefore.reduce((sum, report) => sum + report.lost, 0),
      faults: finalReports.flatMap((report) => report.faults).slice(0, 20),
      logs: finalReports.reduce<Record<string, number>>((sums, report) => {
        for (const [event, count] of Object.entries(report.logs))
          sums[event] = (sums[event] ?? 0) + count;
        return sums;
      }, {}),
    };
  } finally {
    await Promise.allSettled(fleetProcesses.map((fleetProcess) => fleetProcess.close()));
  }
};

const help = `testbed hollow --nodes N [--replicas A] [--zones Z] [--regions R] [--origins O] [--routes T] [--purges P]
                 [--services S] [--proxies L] [--objects D] [--warm W] [--seconds S] [--probes K] [--processes J] [--seed X] [--json FILE]

  --nodes N      number of machines, including those of the replicas
  --proxies L    machines with a proxy (default: all but those of the replicas); each pings every other
  --purges P     purges per second         --objects D    objects that each proxy measures (0: no load vectors)
  --seconds S    seconds of the fleet's clock that are counted, after --warm W; then --probes K changes are timed
  --processes J  processes that share the agents; three more run the replicas, the quota leader and the proxies
`;

const parseFlags = (
  argv: readonly string[],
): { readonly options: HollowOptions; readonly json: string | undefined } | null => {
  const stringFlag = { type: 'string' } as const;
  const { values, positionals } = ((): {
    readonly values: Readonly<Record<string, string | boolean | undefined>>;
    readonly positionals: readonly string[];
  } => {
    try {
      return parseArgs({
        args: [...argv],
        allowPositionals: true,
        options: {
          nodes: stringFlag,
          replicas: stringFlag,
          zones: stringFlag,
          regions: stringFlag,
          origins: stringFlag,
          services: stringFlag,
          routes: stringFlag,
          purges: stringFlag,
          proxies: stringFlag,
          objects: stringFlag,
          warm: stringFlag,
          seconds: stringFlag,
          probes: stringFlag,
          processes: stringFlag,
          seed: stringFlag,
          json: stringFlag,
          help: { type: 'boolean' },
        },
      });
    } catch (thrown) {
      throw new HollowError('usage', errorMessage(thrown));
    }
  })();
  if (values['help'] === true) return null;
  if (positionals.length > 0)
    throw new HollowError(
      'usage',
      `unexpected argument "${positionals.join(' ')}": expected only flags`,
    );
  const readNumber = (
    name: string,
    defaultValue: number | null,
    min: number,
    max: number,
    isInteger = true,
  ): number => {
    const text = values[name];
    if (text === undefined && defaultValue !== null) return defaultValue;
    const number = Number(text);
    if (
      typeof text !== 'string' ||
      text.trim() === '' ||
      !Number.isFinite(number) ||
      (isInteger && !Number.isInteger(number)) ||
      number < min ||
      number > max
    )
      throw new HollowError(
        'usage',
        `--${name}: found ${text === undefined ? 'nothing' : `"${String(text)}"`}; expected a ${isInteger ? 'whole ' : ''}number from ${min} to ${max}`,
      );
    return number;
  };
  const replicas = readNumber('replicas', 3, 1, 99);
  const nodes = readNumber('nodes', null, 2, 20_000);
  if (nodes <= replicas)
    throw new HollowError(
      'usage',
      `--nodes: found "${nodes}"; expected more than the ${replicas} of the replicas`,
    );
  const zones = readNumber('zones', 4, 1, 1_000);
  const origins = readNumber('origins', 7, 0, 10_000);
  const options: HollowOptions = {
    nodes,
    replicas,
    zones,
    regions: readNumber('regions', 1, 1, zones),
    origins,
    services: readNumber(
      'services',
      Math.max(1, Math.round(origins / hollowOriginsPerService)),
      1,
      5_000,
    ),
    routes: readNumber('routes', 20, 1, 50_000),
    purges: readNumber('purges', 1, 0, 1_000, false),
    proxies: readNumber('proxies', nodes - replicas, 1, nodes - replicas),
    objects: readNumber('objects', 0, 0, 1_000),
    warm: readNumber('warm', hollowWarmUpMs / 1_000, 1, 3_600),
    seconds: readNumber('seconds', 4, 1, 3_600),
    seed: readNumber('seed', 1, 0, 2 ** 31 - 1),
    processes: readNumber('processes', 1, 1, 24),
    probes: readNumber('probes', 2, 0, 100),
  };
  // Each node keeps a load vector of every node, and each vector has a delay to every node.
  const requiredBytes =
    nodes ** 2 * (heapBytesPerNode + (options.objects > 0 ? nodes * heapBytesPerDelay : 0));
  const availableBytes = os.totalmem() * hollowMemoryShare;
  if (requiredBytes > availableBytes)
    throw new HollowError(
      'usage',
      `--nodes ${nodes}${options.objects > 0 ? ` --objects ${options.objects}` : ''}: would need about ${(requiredBytes / 2 ** 30).toFixed(1)} GB; at most ${(availableBytes / 2 ** 30).toFixed(1)} GB may be used${options.objects > 0 ? ' (--objects 0 omits the load vectors)' : ''}`,
    );
  return { options, json: values['json'] as string | undefined };
};

const formatNumber = (value: number): string =>
  Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3);

/** The lines that summarize a run on standard output. */
export const summaryLinesOf = (result: HollowResult): readonly string[] => [
  `hollow ${Object.entries(result.options)
    .map(([name, value]) => `${name}=${value}`)
    .join(' ')} lost=${result.lost}`,
  ...Object.entries(result.roles).map(
    ([role, figures]) =>
      `  ${role.padEnd(7)} nodes=${figures.nodes} a node and second: calls out=${formatNumber(figures.callsOut)} in=${formatNumber(figures.callsIn)} bytes out=${formatNumber(figures.bytesOut)} in=${formatNumber(figures.bytesIn)} reducer=${formatNumber(figures.reducerMs)}ms`,
  ),
  ...Object.entries(result.roles).flatMap(([role, figures]) =>
    Object.entries(figures.byKind)
      .sort(([, a], [, b]) => b.bytesOut + b.bytesIn - a.bytesOut - a.bytesIn)
      .slice(0, 5)
      .map(
        ([kind, sum]) =>
          `    ${role.padEnd(7)} ${kind.padEnd(16)} calls out=${formatNumber(sum.callsOut)} in=${formatNumber(sum.callsIn)} bytes out=${formatNumber(sum.bytesOut)} in=${formatNumber(sum.bytesIn)}`,
      ),
  ),
  ...result.processes.map(
    (processFigures) =>
      `  process ${processFigures.part.padEnd(8)} nodes=${processFigures.nodes} cpu a node and second=${formatNumber((processFigures.cpuMs - processFigures.floorCpuMs) / Math.max(1, processFigures.nodes))}ms (floor ${formatNumber(processFigures.floorCpuMs)}ms) resident a node=${formatNumber((processFigures.heap - processFigures.floorHeap) / 1_024 / Math.max(1, processFigures.nodes))}KB (floor ${formatNumber(processFigures.floorHeap / 1_048_576)}MB)`,
  ),
  ...Object.entries(result.times).map(
    ([what, spread]) =>
      `  ${what.padEnd(7)} to ${spread.nodes} nodes: median=${spread.median} p99=${spread.p99} most=${spread.most} ms${spread.missing > 0 ? ` missing=${spread.missing}` : ''}`,
  ),
  ...Object.entries(result.stateBytes).map(
    ([role, fields]) =>
      `  state of one ${role}: ${Object.entries(fields)
        .sort(([, a], [, b]) => b - a)
        .slice(0, 6)
        .map(([field, bytes]) => `${field}=${bytes}`)
        .join(' ')} bytes`,
  ),
];

/** Runs the `hollow` command. Exit codes: 0 success, 1 the run failed, 2 invalid arguments. */
export const runHollowCommand = async (argv: readonly string[]): Promise<number> => {
  const flags = ((): ReturnType<typeof parseFlags> | string => {
    try {
      return parseFlags(argv);
    } catch (thrown) {
      return errorMessage(thrown);
    }
  })();
  if (typeof flags === 'string') {
    process.stderr.write(`${flags}\n`);
    return 2;
  }
  if (flags === null) {
    process.stdout.write(help);
    return 0;
  }
  try {
    const result = await runHollowFleet(flags.options, (text) => process.stderr.write(`${text}\n`));
    for (const line of summaryLinesOf(result)) process.stdout.write(`${line}\n`);
    if (flags.json !== undefined)
      writeFileSync(
        flags.json,
        `${JSON.stringify({ command: `npm run -s testbed -- hollow ${argv.join(' ')}`, ...result }, (_, value: unknown) => (typeof value === 'number' && !Number.isInteger(value) ? Number(value.toPrecision(6)) : value), 1)}\n`,
      );
    return 0;
  } catch (thrown) {
    process.stderr.write(`${errorMessage(thrown)}\n`);
    return 1;
  }
};
