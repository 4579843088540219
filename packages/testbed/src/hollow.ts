/** The hollow fleet: what each role of a large fleet sends and does. */
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

/** What a hollow fleet is made of. */
export type HollowOptions = {
  /** Machines in all, with those of the replicas. */
  readonly nodes: number;
  readonly replicas: number;
  readonly zones: number;
  readonly regions: number;
  readonly origins: number;
  readonly services: number;
  readonly routes: number;
  /** Purges a second. */
  readonly purges: number;
  /**
   * Machines that run a proxy; the others run an agent alone, which is neither pinged nor given
   * shares.
   */
  readonly proxies: number;
  /**
   * Objects that each proxy measures one by one; without any no vector is told and no split
   * computed.
   */
  readonly objects: number;
  /** s of the fleet's clock before anything is counted, and s that are counted. */
  readonly warm: number;
  readonly seconds: number;
  readonly seed: number;
  /** Processes that the agents are spread over; 0: everything in this one. */
  readonly processes: number;
  /**
   * Times a config change, a purge, a drain notice and a new member are sent and timed, after the
   * counting.
   */
  readonly probes: number;
};

/** What one role sends and does, a node and a second of the fleet's clock. */
export type RoleFigures = {
  readonly nodes: number;
  readonly callsOut: number;
  readonly callsIn: number;
  readonly bytesOut: number;
  readonly bytesIn: number;
  /** ms of a core inside its reducer, a second. */
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
 * What one process used: ms of a core a second, and bytes in use after a collection; with what it
 * used before it had nodes.
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
export type DelayDistribution = {
  readonly nodes: number;
  readonly median: number;
  readonly p99: number;
  readonly most: number;
  readonly missing: number;
};
export type HollowResult = {
  readonly options: HollowOptions;
  readonly roles: Readonly<Partial<Record<HollowRole, RoleFigures>>>;
  readonly processes: readonly ProcessFigures[];
  /** ms of the fleet's clock from sending it to each node. */
  readonly times: Readonly<Record<ArrivalWatch['what'], DelayDistribution>>;
  /**
   * Calls and bytes by kind that one probe of each sort brought, over all nodes: what was sent
   * while the probes ran, less as much of the steady traffic.
   */
  readonly probeBytes: Readonly<Record<string, number>>;
  readonly probeSeconds: number;
  readonly stateBytes: Readonly<Record<string, Readonly<Record<string, number>>>>;
  readonly policyBytes: number;
  /** Calls without an answer since the counting began. */
  readonly lost: number;
  readonly faults: readonly string[];
  readonly logs: Readonly<Record<string, number>>;
};

type FleetProcess = {
  readonly name: string;
  readonly host: HostOperations;
  readonly end: () => Promise<void>;
};

/** A host in a process of its own. */
const forkHost = (name: string, heapMb: number): FleetProcess => {
  const child = fork(fileURLToPath(new URL('./hollow-child.js', import.meta.url)), {
    execArgv: ['--expose-gc', `--max-old-space-size=${heapMb}`],
    serialization: 'advanced',
    stdio: ['ignore', 'inherit', 'inherit', 'ipc'],
  });
  const waiting = new Map<
    number,
    { readonly resolve: (value: never) => void; readonly reject: (error: Error) => void }
  >();
  let next = 1;
  let gone = false;
  const ended = new Promise<void>((resolve) =>
    child.once('exit', (code, signal) => {
      gone = true;
      waiting.forEach(({ reject }) =>
        reject(
          new HollowError(
            'ended',
            `the process of ${name} ended by itself: ${signal ?? `code ${code}`}`,
          ),
        ),
      );
      resolve();
    }),
  );
  child.on(
    'message',
    (message: { readonly id: number; readonly value?: never; readonly fault?: string }) => {
      const asked = waiting.get(message.id);
      waiting.delete(message.id);
      if (message.fault === undefined) asked?.resolve(message.value as never);
      else asked?.reject(new HollowError('failed', `${name}: ${message.fault}`));
    },
  );
  const ask =
    (method: string) =>
    (...words: readonly unknown[]): Promise<never> =>
      new Promise((resolve, reject) => {
        if (gone) {
          reject(new HollowError('ended', `the process of ${name} has ended`));
          return;
        }
        waiting.set(next, { resolve, reject });
        child.send({ id: next, method, words });
        next += 1;
      });
  const host = new Proxy(
    {},
    { get: (_, method) => (method === 'then' ? undefined : ask(String(method))) },
  ) as HostOperations;
  return {
    name,
    host,
    end: async () => {
      if (!gone) child.disconnect();
      await ended;
    },
  };
};

const here = (name: string): FleetProcess => {
  const host = new HollowHost();
  return { name, host, end: () => host.close() };
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

const distributionOf = (times: readonly number[], expected: number): DelayDistribution => {
  const sorted = [...times].sort((a, b) => a - b);
  const at = (share: number): number =>
    sorted[Math.min(sorted.length - 1, Math.ceil(share * sorted.length) - 1)] ?? NaN;
  return {
    nodes: expected,
    median: at(0.5),
    p99: at(0.99),
    most: sorted.at(-1) ?? NaN,
    missing: expected - sorted.length,
  };
};

/**
 * Runs a hollow fleet and counts what each role sends and does.
 *
 * @example
 * const result = await hollow({ nodes: 16, replicas: 3, zones: 4, regions: 2, origins: 7, services: 1, routes: 10, purges: 1, proxies: 13, objects: 0, warm: 4, seconds: 4, seed: 1, processes: 0, probes: 1 });
 * result.roles.agent?.callsOut // calls that one agent makes in a second
 */
export const runHollowFleet = async (
  options: HollowOptions,
  tell: (text: string) => void = () => undefined,
): Promise<HollowResult> => {
  const { nodes, replicas } = options;
  const parts: FleetProcess[] =
    options.processes === 0
      ? ['replicas', 'holder', 'agents-1', 'proxies'].map(here)
      : [
          forkHost('replicas', 2_048),
          forkHost('holder', 3_072),
          ...Array.from({ length: options.processes }, (_, index) =>
            forkHost(`agents-${index + 1}`, Math.floor(12_288 / options.processes)),
          ),
          forkHost('proxies', 2_048),
        ];
  const [replicaPart, holderPart, proxyPart, ...agentParts] = [
    parts[0],
    parts[1],
    parts.at(-1),
    ...parts.slice(2, -1),
  ] as [FleetProcess, FleetProcess, FleetProcess, ...FleetProcess[]];
  try {
    const ports = new Map(
      await Promise.all(parts.map(async (part) => [part, await part.host.listen()] as const)),
    );
    const machine = (index: number): NodeIdentity => {
      const ip = `10.${Math.floor(index / 62_500)}.${Math.floor(index / 250) % 250}.${(index % 250) + 1}`;
      const zone = index % options.zones;
      const core = index < replicas;
      return {
        id: core ? `core-${index + 1}` : `front-${String(index + 1).padStart(4, '0')}`,
        zone: `zone-${zone}`,
        region: `region-${zone % options.regions}`,
        address: `${ip}:7001`,
        proxy:
          core || (index >= replicas + options.proxies && index < nodes)
            ? null
            : { callers: `${ip}:8080`, peers: `${ip}:8081`, capacityBps: 1_000_000_000 },
        replica: core ? { address: `${ip}:7101` } : null,
      };
    };
    // The newcomers of the probes are machines beyond the fleet's own.
    const machines = Array.from({ length: nodes + options.probes }, (_, index) => machine(index));
    const members = machines.slice(0, nodes);
    const holder = machines[replicas];
    const founders = Object.fromEntries(
      machines.slice(0, replicas).map((self) => [self.id, self.replica?.address ?? '']),
    );
    const seeds = machines.slice(0, Math.min(3, replicas)).map((self) => self.address);
    const partOf = (index: number): FleetProcess =>
      machines[index] === holder ? holderPart : agentParts[index % agentParts.length];
    const roleOf = (index: number): HollowRole =>
      machines[index] === holder
        ? 'holder'
        : seeds.includes(machines[index]?.address ?? '')
          ? 'seed'
          : 'agent';
    const directory: AddressDirectory = Object.fromEntries([
      ...machines.map(
        (self, index) =>
          [self.address, { port: ports.get(partOf(index)) ?? 0, role: roleOf(index) }] as const,
      ),
      ...Object.values(founders).map(
        (address) =>
          [address, { port: ports.get(replicaPart) ?? 0, role: 'replica' as const }] as const,
      ),
    ]);
    await Promise.all(parts.map(({ host }) => host.directory(directory)));

    let now = 0;
    const step = async (orders: readonly NodeAction[] = []): Promise<void> => {
      now += hollowStepMs;
      let before = await Promise.all(parts.map(({ host }) => host.step(now, orders)));
      // Nothing is under way any more once all say so twice and none asked anything in between.
      for (;;) {
        const after = await Promise.all(parts.map(({ host }) => host.settled()));
        if (after.every((count, index) => count === before[index])) return;
        before = after;
      }
    };
    const reports = (whole: boolean): Promise<readonly HostReport[]> =>
      Promise.all(parts.map(({ host }) => host.report(whole)));
    const answerOf = async (tag: string): Promise<{ readonly status: number } | undefined> =>
      (await reports(false))
        .map((report) => report.answers[tag])
        .find((answer) => answer !== undefined);
    const until = async (what: string, holds: () => Promise<boolean>): Promise<void> => {
      const end = now + hollowMaxWaitMs;
      while (!(await holds())) {
        if (now > end)
          throw new HollowError(
            'limit',
            `${what}: not within ${hollowMaxWaitMs} ms of the fleet's clock`,
          );
        for (let each = 0; each < 10; each += 1) await step();
      }
    };
    const logged = async (event: string): Promise<number> =>
      (await reports(false)).reduce((sum, report) => sum + (report.logs[event] ?? 0), 0);

    // What the processes cost before they have nodes: steps of an empty fleet.
    const emptyFrom = await reports(true);
    for (let each = 0; each < 1_000 / hollowStepMs; each += 1) await step();
    const empty = await reports(true);

    await replicaPart.host.replicas(
      machines.slice(0, replicas).map((self) => ({
        name: self.id,
        address: self.replica?.address ?? '',
        others: Object.fromEntries(Object.entries(founders).filter(([name]) => name !== self.id)),
      })),
    );
    await until('the replicas vote', async () => (await logged('replica.votes')) >= replicas);
    tell('the replicas vote');

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
    await holderPart.host.agents([agentSpec(holderIndex, [], now)]);
    await proxyPart.host.proxies([proxySpec(holderIndex, now)]);
    // The first one alone takes the quota leadership, so that its process shows what the holder costs.
    let tries = 0;
    await until('the first policy', async () => {
      if ((await answerOf(`first-${tries}`))?.status === 200) return true;
      tries += 1;
      await step([
        {
          node: holder.address,
          tag: `first-${tries}`,
          action: {
            kind: 'put-policy',
            document: policyOf(options, 0),
            ifMatch: null,
            changeId: 'first',
          },
        },
      ]);
      await until('an answer', async () => (await answerOf(`first-${tries}`)) !== undefined);
      return (await answerOf(`first-${tries}`))?.status === 200;
    });
    await until('the quotaLeadership', async () => (await logged('quota-leadership.won')) > 0);
    tell('the quotaLeadership is held');

    const known: readonly NodeRecord[] = members.map((self) => ({
      ...self,
      ready: false,
      staying: false,
      proxyLife: '',
      wants: {},
    }));
    // One message a process, so that what all know is sent once.
    const others = members.flatMap((self, index) =>
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
      agentParts.map((part) =>
        part.host.agents(
          others
            .filter(({ index }) => partOf(index) === part)
            .map(({ index, startAt }) => agentSpec(index, known, startAt)),
        ),
      ),
    );
    await proxyPart.host.proxies(
      others
        .filter(({ self }) => self.proxy !== null)
        .map(({ index, startAt }) => proxySpec(index, startAt)),
    );
    await Promise.all(
      [holderPart, ...agentParts].map((part) =>
        part.host.origins(
          Array.from({ length: options.origins }, (_, index): OriginSpec => {
            const at = index % nodes;
            return {
              node: machines[at]?.address ?? '',
              startAt:
                now + hollowDescribeIntervalMs * randomFraction(options.seed, 2_000_000 + index),
              description: {
                service: `service-${index % options.services}`,
                instance: `origin-${index}`,
                incarnation: 1,
                address: `10.200.${Math.floor(index / 250)}.${(index % 250) + 1}:9000`,
                region: machines[at]?.region ?? '',
                zone: machines[at]?.zone ?? '',
                capacity: hollowOriginCapacityPerSecond,
                state: 'warm',
                draining: false,
              },
            };
          }).filter(
            (spec) => partOf(machines.findIndex((self) => self.address === spec.node)) === part,
          ),
        ),
      ),
    );
    const someNode = (place: number): string =>
      members[Math.floor(randomFraction(options.seed, place) * nodes)]?.address ?? '';
    const purge = (node: string, tag: string): NodeAction => ({
      node,
      tag,
      action: { kind: 'purge', purge: { objects: [], tags: [tag] }, changeId: tag },
    });
    tell('all are there');
    for (let end = now + 1_000 * options.warm; now < end;) await step();
    // A board that runs long holds a minute of purges: they are put on it at once.
    const boarded = Math.round(options.purges * 60);
    await step(
      Array.from({ length: boarded }, (_, index) =>
        purge(someNode(3_000_000 + index), `boarded-${index}`),
      ),
    );
    for (let end = now + (boarded > 0 ? 1_000 : 0); now < end;) await step();
    tell('warm');

    const before = await reports(true);
    const from = now;
    let purged = 0;
    while (now < from + 1_000 * options.seconds) {
      const due = Math.floor(((now - from) / 1_000) * options.purges) - purged;
      await step(
        Array.from({ length: due }, (_, index) =>
          purge(someNode(4_000_000 + purged + index), `steady-${purged + index}`),
        ),
      );
      purged += due;
      if ((now - from) % 1_000 === 0) tell(`${(now - from) / 1_000} s counted`);
    }
    const seconds = (now - from) / 1_000;
    const after = await reports(true);

    const sent: Record<ArrivalWatch['what'], number[]> = {
      config: [],
      purge: [],
      drain: [],
      member: [],
    };
    const expected: Record<ArrivalWatch['what'], number> = {
      config: 0,
      purge: 0,
      drain: 0,
      member: 0,
    };
    const probesFrom = now;
    for (let probe = 0; probe < options.probes; probe += 1) {
      const draining = options.origins - 1 - probe;
      const revision = 2 + probe;
      const watches: readonly ArrivalWatch[] = [
        { tag: `config-${probe}`, what: 'config', key: String(revision) },
        { tag: `purge-${probe}`, what: 'purge', key: `probe-${probe}` },
        ...(draining < 0
          ? []
          : [{ tag: `drain-${probe}`, what: 'drain', key: `origin-${draining}` } as const]),
        { tag: `member-${probe}`, what: 'member', key: machines[nodes + probe]?.id ?? '' },
      ];
      await Promise.all(parts.map(({ host }) => host.watch(watches)));
      const newcomer = nodes + probe;
      await partOf(newcomer).host.agents([agentSpec(newcomer, [], now)]);
      await proxyPart.host.proxies([proxySpec(newcomer, now)]);
      const begun = now;
      const leaving: readonly OriginSpec[] = [
        {
          node: machines[draining % nodes]?.address ?? '',
          startAt: now,
          description: {
            service: `service-${draining % options.services}`,
            instance: `origin-${draining}`,
            incarnation: 1,
            address: `10.200.${Math.floor(draining / 250)}.${(draining % 250) + 1}:9000`,
            region: machines[draining % nodes]?.region ?? '',
            zone: machines[draining % nodes]?.zone ?? '',
            capacity: hollowOriginCapacityPerSecond,
            state: 'warm',
            draining: true,
          },
        },
      ];
      if (draining >= 0) await partOf(draining % nodes).host.origins(leaving);
      await step([
        {
          node: someNode(5_000_000 + probe),
          tag: `config-${probe}`,
          action: {
            kind: 'put-policy',
            document: policyOf(options, 1 + probe),
            ifMatch: null,
            changeId: `change-${probe}`,
          },
        },
        purge(someNode(6_000_000 + probe), `probe-${probe}`),
      ]);
      // Those that were there before this newcomer.
      const there = nodes + probe;
      const all = { config: there, purge: there, drain: draining < 0 ? 0 : there, member: there };
      const arrivedOf = async (what: ArrivalWatch['what']): Promise<readonly number[]> =>
        (await reports(false)).flatMap((report) => report.arrivals[`${what}-${probe}`] ?? []);
      const end = now + hollowMaxWaitMs;
      const whats = ['config', 'purge', 'drain', 'member'] as const;
      for (;;) {
        for (let each = 0; each < 10; each += 1) await step();
        const counts = await Promise.all(whats.map(async (what) => (await arrivedOf(what)).length));
        if (now >= end || whats.every((what, index) => (counts[index] ?? 0) >= all[what])) break;
      }
      for (const what of whats) {
        sent[what].push(...(await arrivedOf(what)).map((at) => at - begun));
        expected[what] += all[what];
      }
      tell(
        `probe ${probe + 1} of ${options.probes} has reached ${sent.config.length} of ${expected.config}`,
      );
    }
    const last = await reports(false);
    const probeSeconds = (now - probesFrom) / 1_000;

    const countOf = (role: HollowRole): number =>
      machines
        .slice(0, nodes)
        .filter((self, index) =>
          role === 'replica'
            ? self.replica !== null
            : role === 'proxy'
              ? self.proxy !== null
              : roleOf(index) === role,
        ).length;
    const sumFlows = (list: readonly HostReport[]): ReadonlyMap<string, CallTraffic> => {
      const sums = new Map<string, CallTraffic>();
      for (const flow of list.flatMap((report) => report.flows)) {
        const key = `${flow.from} ${flow.to} ${flow.kind}`;
        const old = sums.get(key);
        sums.set(
          key,
          old === undefined
            ? flow
            : {
                ...flow,
                calls: old.calls + flow.calls,
                askedBytes: old.askedBytes + flow.askedBytes,
                answeredBytes: old.answeredBytes + flow.answeredBytes,
              },
        );
      }
      return sums;
    };
    const less = (
      late: readonly HostReport[],
      early: readonly HostReport[],
    ): readonly CallTraffic[] => {
      const old = sumFlows(early);
      return [...sumFlows(late)].map(([key, flow]) => {
        const was = old.get(key);
        return was === undefined
          ? flow
          : {
              ...flow,
              calls: flow.calls - was.calls,
              askedBytes: flow.askedBytes - was.askedBytes,
              answeredBytes: flow.answeredBytes - was.answeredBytes,
            };
      });
    };
    const steady = less(after, before);
    const reducedOf = (
      list: readonly HostReport[],
      role: HollowRole,
    ): ReadonlyMap<string, { readonly ms: number; readonly events: number }> => {
      const sums = new Map<string, { ms: number; events: number }>();
      for (const each of list.flatMap((report) => report.reduced))
        if (each.role === role) {
          const old = sums.get(each.event) ?? { ms: 0, events: 0 };
          sums.set(each.event, { ms: old.ms + each.ms, events: old.events + each.events });
        }
      return sums;
    };
    const figuresOf = (role: HollowRole): RoleFigures => {
      const count = Math.max(1, countOf(role));
      const each = (total: number): number => total / count / seconds;
      const kinds = [
        ...new Set(
          steady.filter((flow) => flow.from === role || flow.to === role).map((flow) => flow.kind),
        ),
      ].sort();
      const byKind = Object.fromEntries(
        kinds.map((kind) => {
          const [out, into] = [
            steady.filter((flow) => flow.kind === kind && flow.from === role),
            steady.filter((flow) => flow.kind === kind && flow.to === role),
          ];
          const sum = (
            list: readonly CallTraffic[],
            field: 'calls' | 'askedBytes' | 'answeredBytes',
          ): number => list.reduce((total, flow) => total + flow[field], 0);
          return [
            kind,
            {
              callsOut: each(sum(out, 'calls')),
              callsIn: each(sum(into, 'calls')),
              bytesOut: each(sum(out, 'askedBytes') + sum(into, 'answeredBytes')),
              bytesIn: each(sum(out, 'answeredBytes') + sum(into, 'askedBytes')),
            },
          ];
        }),
      );
      const total = (field: 'callsOut' | 'callsIn' | 'bytesOut' | 'bytesIn'): number =>
        Object.values(byKind).reduce((sum, kind) => sum + kind[field], 0);
      const [late, early] = [reducedOf(after, role), reducedOf(before, role)];
      const byEvent = Object.fromEntries(
        [...late].map(([event, sum]) => [
          event,
          {
            ms: each(sum.ms - (early.get(event)?.ms ?? 0)),
            events: each(sum.events - (early.get(event)?.events ?? 0)),
          },
        ]),
      );
      return {
        nodes: countOf(role),
        callsOut: total('callsOut'),
        callsIn: total('callsIn'),
        bytesOut: total('bytesOut'),
        bytesIn: total('bytesIn'),
        reducerMs: Object.values(byEvent).reduce((sum, event) => sum + event.ms, 0),
        byKind,
        byEvent,
      };
    };
    const nodesIn = (part: FleetProcess): number =>
      part === replicaPart
        ? replicas
        : part === holderPart
          ? 1
          : part === proxyPart
            ? options.proxies
            : members.filter((_, index) => partOf(index) === part).length;
    const probeFlows = less(last, after);
    const steadyBytes = new Map<string, number>();
    for (const flow of steady)
      steadyBytes.set(
        flow.kind,
        (steadyBytes.get(flow.kind) ?? 0) + flow.askedBytes + flow.answeredBytes,
      );
    const probeBytes: Record<string, number> = {};
    for (const flow of probeFlows)
      probeBytes[flow.kind] = (probeBytes[flow.kind] ?? 0) + flow.askedBytes + flow.answeredBytes;
    return {
      options,
      roles: Object.fromEntries(
        (['replica', 'holder', 'seed', 'agent', 'proxy'] as const).flatMap((role) =>
          countOf(role) === 0 ? [] : [[role, figuresOf(role)]],
        ),
      ),
      processes: parts.map((part, index) => ({
        part: part.name,
        nodes: nodesIn(part),
        cpuMs: ((after[index]?.cpuMs ?? 0) - (before[index]?.cpuMs ?? 0)) / seconds,
        floorCpuMs: (empty[index]?.cpuMs ?? 0) - (emptyFrom[index]?.cpuMs ?? 0),
        heap: after[index]?.heap ?? 0,
        floorHeap: empty[index]?.heap ?? 0,
        rss: after[index]?.rss ?? 0,
      })),
      times: {
        config: distributionOf(sent.config, expected.config),
        purge: distributionOf(sent.purge, expected.purge),
        drain: distributionOf(sent.drain, expected.drain),
        member: distributionOf(sent.member, expected.member),
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
        ...after.map((report) => report.stateBytes),
      ) as HollowResult['stateBytes'],
      policyBytes: JSON.stringify(policyOf(options, 0)).length,
      lost:
        last.reduce((sum, report) => sum + report.lost, 0) -
        before.reduce((sum, report) => sum + report.lost, 0),
      faults: last.flatMap((report) => report.faults).slice(0, 20),
      logs: last.reduce<Record<string, number>>((sums, report) => {
        for (const [event, count] of Object.entries(report.logs))
          sums[event] = (sums[event] ?? 0) + count;
        return sums;
      }, {}),
    };
  } finally {
    await Promise.allSettled(parts.map((part) => part.end()));
  }
};

const help = `testbed hollow --nodes N [--replicas A] [--zones Z] [--regions R] [--origins O] [--routes T] [--purges P]
                 [--services S] [--proxies L] [--objects D] [--warm W] [--seconds S] [--probes K] [--processes J] [--seed X] [--json FILE]

  --nodes N      machines in all, those of the replicas among them
  --proxies L     machines with a proxy (all but those of the replicas); each pings each other
  --purges P     purges a second           --objects D    objects that each proxy measures (0: no vectors)
  --seconds S    s of the fleet's clock that are counted, after --warm W; --probes K changes are timed after them
  --processes J  processes that the agents are spread over; three more hold the replicas, the quota leader, the proxies
`;

const parseFlags = (
  argv: readonly string[],
): { readonly options: HollowOptions; readonly json: string | undefined } | null => {
  const text = { type: 'string' } as const;
  const { values, positionals } = ((): {
    readonly values: Readonly<Record<string, string | boolean | undefined>>;
    readonly positionals: readonly string[];
  } => {
    try {
      return parseArgs({
        args: [...argv],
        allowPositionals: true,
        options: {
          nodes: text,
          replicas: text,
          zones: text,
          regions: text,
          origins: text,
          services: text,
          routes: text,
          purges: text,
          proxies: text,
          objects: text,
          warm: text,
          seconds: text,
          probes: text,
          processes: text,
          seed: text,
          json: text,
          help: { type: 'boolean' },
        },
      });
    } catch (thrown) {
      throw new HollowError('usage', errorMessage(thrown));
    }
  })();
  if (values['help'] === true) return null;
  if (positionals.length > 0)
    throw new HollowError('usage', `found "${positionals.join(' ')}"; wanted nothing but flags`);
  const read = (
    name: string,
    otherwise: number | null,
    least: number,
    most: number,
    whole = true,
  ): number => {
    const given = values[name];
    if (given === undefined && otherwise !== null) return otherwise;
    const number = Number(given);
    if (
      typeof given !== 'string' ||
      given.trim() === '' ||
      !Number.isFinite(number) ||
      (whole && !Number.isInteger(number)) ||
      number < least ||
      number > most
    )
      throw new HollowError(
        'usage',
        `--${name}: found ${given === undefined ? 'nothing' : `"${String(given)}"`}; wanted a ${whole ? 'whole ' : ''}number from ${least} to ${most}`,
      );
    return number;
  };
  const replicas = read('replicas', 3, 1, 99);
  const nodes = read('nodes', null, 2, 20_000);
  if (nodes <= replicas)
    throw new HollowError(
      'usage',
      `--nodes: found "${nodes}"; wanted more than the ${replicas} of the replicas`,
    );
  const zones = read('zones', 4, 1, 1_000);
  const origins = read('origins', 7, 0, 10_000);
  const options: HollowOptions = {
    nodes,
    replicas,
    zones,
    regions: read('regions', 1, 1, zones),
    origins,
    services: read(
      'services',
      Math.max(1, Math.round(origins / hollowOriginsPerService)),
      1,
      5_000,
    ),
    routes: read('routes', 20, 1, 50_000),
    purges: read('purges', 1, 0, 1_000, false),
    proxies: read('proxies', nodes - replicas, 1, nodes - replicas),
    objects: read('objects', 0, 0, 1_000),
    warm: read('warm', hollowWarmUpMs / 1_000, 1, 3_600),
    seconds: read('seconds', 4, 1, 3_600),
    seed: read('seed', 1, 0, 2 ** 31 - 1),
    processes: read('processes', 1, 1, 24),
    probes: read('probes', 2, 0, 100),
  };
  // Each node holds a vector of each, and each vector a delay to each.
  const wanted =
    nodes ** 2 * (heapBytesPerNode + (options.objects > 0 ? nodes * heapBytesPerDelay : 0));
  const most = os.totalmem() * hollowMemoryShare;
  if (wanted > most)
    throw new HollowError(
      'usage',
      `--nodes ${nodes}${options.objects > 0 ? ` --objects ${options.objects}` : ''}: would take some ${(wanted / 2 ** 30).toFixed(1)} GB; wanted at most ${(most / 2 ** 30).toFixed(1)} GB${options.objects > 0 ? ' (--objects 0 leaves the vectors out)' : ''}`,
    );
  return { options, json: values['json'] as string | undefined };
};

const round = (value: number): string =>
  Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3);

/** What is printed of a run. */
export const summaryLinesOf = (result: HollowResult): readonly string[] => [
  `hollow ${Object.entries(result.options)
    .map(([name, value]) => `${name}=${value}`)
    .join(' ')} lost=${result.lost}`,
  ...Object.entries(result.roles).map(
    ([role, each]) =>
      `  ${role.padEnd(7)} nodes=${each.nodes} a node and second: calls out=${round(each.callsOut)} in=${round(each.callsIn)} bytes out=${round(each.bytesOut)} in=${round(each.bytesIn)} reducer=${round(each.reducerMs)}ms`,
  ),
  ...Object.entries(result.roles).flatMap(([role, each]) =>
    Object.entries(each.byKind)
      .sort(([, a], [, b]) => b.bytesOut + b.bytesIn - a.bytesOut - a.bytesIn)
      .slice(0, 5)
      .map(
        ([kind, sum]) =>
          `    ${role.padEnd(7)} ${kind.padEnd(16)} calls out=${round(sum.callsOut)} in=${round(sum.callsIn)} bytes out=${round(sum.bytesOut)} in=${round(sum.bytesIn)}`,
      ),
  ),
  ...result.processes.map(
    (each) =>
      `  process ${each.part.padEnd(8)} nodes=${each.nodes} cpu a node and second=${round((each.cpuMs - each.floorCpuMs) / Math.max(1, each.nodes))}ms (floor ${round(each.floorCpuMs)}ms) resident a node=${round((each.heap - each.floorHeap) / 1_024 / Math.max(1, each.nodes))}KB (floor ${round(each.floorHeap / 1_048_576)}MB)`,
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

/** The command. Exit codes: 0 done, 1 the run failed, 2 the words. */
export const runHollowCommand = async (argv: readonly string[]): Promise<number> => {
  const words = ((): ReturnType<typeof parseFlags> | string => {
    try {
      return parseFlags(argv);
    } catch (thrown) {
      return errorMessage(thrown);
    }
  })();
  if (typeof words === 'string') {
    process.stderr.write(`${words}\n`);
    return 2;
  }
  if (words === null) {
    process.stdout.write(help);
    return 0;
  }
  try {
    const result = await runHollowFleet(words.options, (text) => process.stderr.write(`${text}\n`));
    for (const line of summaryLinesOf(result)) process.stdout.write(`${line}\n`);
    if (words.json !== undefined)
      writeFileSync(
        words.json,
        `${JSON.stringify({ command: `npm run -s testbed -- hollow ${argv.join(' ')}`, ...result }, (_, value: unknown) => (typeof value === 'number' && !Number.isInteger(value) ? Number(value.toPrecision(6)) : value), 1)}\n`,
      );
    return 0;
  } catch (thrown) {
    process.stderr.write(`${errorMessage(thrown)}\n`);
    return 1;
  }
};
