/** Hosts many hollow nodes in one process, on a stepped clock, and counts what they do. */
import { subscribe } from 'node:diagnostics_channel';
import { mkdtempSync, rmSync } from 'node:fs';
import type { ClientRequest, IncomingMessage } from 'node:http';
import os from 'node:os';
import path from 'node:path';
import { serialize } from 'node:v8';
import {
  type AgentEffect,
  type AgentEvent,
  type AgentReply,
  type AgentRequest,
  type AgentState,
  agentTickIntervalMs,
  type ApiAction,
  type FeedReply,
  type NodeIdentity,
  type NodeRecord,
  openAgent,
  type ProxyQuery,
  type ProxyReport,
  reduceAgent,
  type TrafficMeasurement,
} from '@reedyard/agent';
import { CodedError, errorMessage } from '@reedyard/logging';
import {
  demandIntervalMs,
  feedIntervalMs,
  Feeds,
  type ProxyFeedSnapshot,
  measurementIntervalMs,
} from '@reedyard/proxy';
import {
  decodeReplicaReply,
  decodeReplicaRequest,
  encodeReplicaReply,
  encodeReplicaRequest,
  openReplica,
  openReplicaLog,
  reduceReplica,
  type ReplicaEffect,
  type ReplicaEvent,
  type ReplicaLog,
  type ReplicaReply,
  type ReplicaState,
  replicaTickIntervalMs,
  snapshotAfterBytes,
  snapshotRecords,
} from '@reedyard/replica';
import { call, type RpcServer, serveCalls } from '@reedyard/rpc';
import {
  hollowCallTimeoutMs,
  hollowDescribeIntervalMs,
  hollowObjectDemandBps,
  hollowProxyDemandPerSecond,
} from './hollow-constants.js';

/** A hollow fleet that can't be run. */
export class HollowError extends CodedError {}

/**
 * What a hollow node is counted as. The one that holds the quota leadership and the seeds are
 * agents with more to do.
 */
export type HollowRole = 'replica' | 'holder' | 'seed' | 'agent' | 'proxy';

/** Where each address is served: by which process, as which role. */
export type AddressDirectory = Readonly<
  Record<string, { readonly port: number; readonly role: HollowRole }>
>;

export type ReplicaSpec = {
  readonly name: string;
  readonly address: string;
  readonly others: Readonly<Record<string, string>>;
};
export type AgentSpec = {
  readonly self: NodeIdentity;
  readonly role: HollowRole;
  readonly seeds: readonly string[];
  readonly founders: Readonly<Record<string, string>>;
  readonly seed: number;
  readonly startAt: number;
  /** Records that it is told at once, so that a run need not begin with finding everybody. */
  readonly known: readonly NodeRecord[];
};
export type ProxySpec = {
  readonly id: string;
  readonly address: string;
  readonly startAt: number;
  readonly seed: number;
  readonly services: number;
  readonly objects: number;
};
export type OriginSpec = {
  readonly node: string;
  readonly description: Extract<ApiAction, { kind: 'describe' }>['description'];
  readonly startAt: number;
};

/** What is to be done at a node's API in a step. */
export type NodeAction = {
  readonly node: string;
  readonly tag: string;
  readonly action: ApiAction;
};
/** Something whose arrival at every node is looked for. */
export type ArrivalWatch = {
  readonly tag: string;
  readonly what: 'config' | 'purge' | 'drain' | 'member';
  readonly key: string;
};

/** Messages and their bytes, heads and all; `from` asks, `to` answers. */
export type CallTraffic = {
  readonly from: HollowRole;
  readonly to: HollowRole;
  readonly kind: string;
  readonly calls: number;
  readonly askedBytes: number;
  readonly answeredBytes: number;
};

export type HostReport = {
  readonly flows: readonly CallTraffic[];
  /** ms of a core inside the reducers, by role and event, and how many events there were. */
  readonly reduced: readonly {
    readonly role: HollowRole;
    readonly event: string;
    readonly ms: number;
    readonly events: number;
  }[];
  /** ms of a core of the whole process. */
  readonly cpuMs: number;
  /** bytes of the heap that are in use after a full collection; 0 where none could be forced. */
  readonly heap: number;
  readonly rss: number;
  readonly lost: number;
  /** What the first lost calls were, and why. */
  readonly faults: readonly string[];
  readonly answers: Readonly<
    Record<string, { readonly status: number; readonly at: number; readonly body: unknown }>
  >;
  /** ms of the fleet's clock at which each node had what was looked for. */
  readonly arrivals: Readonly<Record<string, readonly number[]>>;
  readonly logs: Readonly<Record<string, number>>;
  /** bytes of one node's state, by its fields. */
  readonly stateBytes: Readonly<Record<string, Readonly<Record<string, number>>>>;
};

/** A host as its fleet sees it, in this process or another. */
export type HostOperations = {
  listen: () => Promise<number>;
  directory: (known: AddressDirectory) => Promise<void>;
  replicas: (specs: readonly ReplicaSpec[]) => Promise<void>;
  agents: (specs: readonly AgentSpec[]) => Promise<void>;
  proxies: (specs: readonly ProxySpec[]) => Promise<void>;
  origins: (specs: readonly OriginSpec[]) => Promise<void>;
  watch: (watches: readonly ArrivalWatch[]) => Promise<void>;
  /** One step of the common clock; resolves once nothing asked here is under way. */
  step: (now: number, orders: readonly NodeAction[]) => Promise<number>;
  /** Resolves once nothing asked here is under way, with how many calls were ever asked. */
  settled: () => Promise<number>;
  report: (whole: boolean) => Promise<HostReport>;
  close: () => Promise<void>;
};

/** A number in [0, 1) for a seed and a place. @example drawn(1, 7) */
export const randomFraction = (seed: number, place: number): number => {
  let mixed = Math.imul((seed ^ 0x9e3779b9) + Math.imul(place + 1, 0x85ebca6b), 0xc2b2ae35);
  mixed ^= mixed >>> 15;
  mixed = Math.imul(mixed, 0x27d4eb2f);
  mixed ^= mixed >>> 13;
  return (mixed >>> 0) / 4_294_967_296;
};

/** What kind of call a body is. Registers that are fetched are told apart by their keys. */
const callKindOf = (body: unknown): string => {
  const inner = ((body as { readonly call?: unknown }).call ?? body) as {
    readonly kind?: string;
    readonly key?: string;
  };
  const kind = inner.kind ?? 'other';
  return typeof inner.key === 'string' && !inner.key.startsWith('claim/')
    ? `${kind}.${inner.key}`
    : kind;
};

/** Bytes of a head as they go over the socket. */
const headBytes = (first: string, headers: readonly (readonly [string, unknown])[]): number =>
  headers.reduce(
    (sum, [name, value]) => sum + name.length + String(value).length + 4,
    first.length + 4,
  );

type AgentNode = {
  readonly spec: AgentSpec;
  state: AgentState;
  beatAt: number;
  /** When it wants to be woken, at the latest. */ wakeAt: number;
  next: number;
  readonly asking: Map<number, (reply: unknown) => void>;
  readonly orders: Map<number, string>;
};
type ReplicaNode = {
  readonly spec: ReplicaSpec;
  state: ReplicaState;
  readonly log: ReplicaLog;
  beatAt: number;
  next: number;
  compacting: boolean;
  readonly asking: Map<number, (reply: ReplicaReply) => void>;
};
type ProxyNode = {
  readonly spec: ProxySpec;
  askAt: number;
  asking: boolean;
  measuredAt: number;
  held: ProxyFeedSnapshot | null;
  policy: unknown;
  wants: Readonly<Record<string, number>>;
  wantsAt: number;
  draws: number;
};

let hosts = 0;

/**
 * Many hollow nodes in one process: the product's reducers, its calls over loopback sockets and its
 * log on disk, under a clock that the fleet advances step by step. A step takes what it takes, so
 * neither the machine's speed nor its load is in what is counted.
 */
export class HollowHost implements HostOperations {
  readonly #name: string;
  readonly #folder = mkdtempSync(path.join(os.tmpdir(), 'reedyard-hollow-'));
  readonly #agents = new Map<string, AgentNode>();
  readonly #replicas = new Map<string, ReplicaNode>();
  readonly #proxies = new Map<string, ProxyNode>();
  #origins: { readonly spec: OriginSpec; at: number }[] = [];
  #directory: AddressDirectory = {};
  #listening: RpcServer | null = null;
  #now = 0;
  #open = 0;
  #started = 0;
  #lost = 0;
  readonly #faults: string[] = [];
  #failed: unknown = null;
  #waiting: (() => void)[] = [];
  readonly #flows = new Map<string, { calls: number; asked: number; answered: number }>();
  readonly #reduced = new Map<string, { ms: number; events: number }>();
  readonly #answers: Record<
    string,
    { readonly status: number; readonly at: number; readonly body: unknown }
  > = {};
  readonly #arrivals: Record<string, number[]> = {};
  readonly #logs: Record<string, number> = {};
  #watches: { readonly watch: ArrivalWatch; readonly left: Set<string> }[] = [];

  constructor() {
    hosts += 1;
    this.#name = `${process.pid}-${hosts}`;
    subscribe('http.client.response.finish', (message) =>
      this.#count(
        message as { readonly request: ClientRequest; readonly response: IncomingMessage },
      ),
    );
  }

  #count({
    request,
    response,
  }: {
    readonly request: ClientRequest;
    readonly response: IncomingMessage;
  }): void {
    const [place = '', tag = ''] = request.path.split('?');
    const [host, from, kind] = tag.split(';');
    if (host !== this.#name) return;
    const to = this.#directory[place.split('/')[1] ?? '']?.role ?? '?';
    const key = `${from} ${to} ${kind}`;
    const flow = this.#flows.get(key) ?? { calls: 0, asked: 0, answered: 0 };
    // The tag is the test's own; a real call names the path alone.
    flow.calls += 1;
    flow.asked +=
      headBytes(`POST /${place.split('/')[2] ?? ''} HTTP/1.1`, [
        ...Object.entries(request.getHeaders()),
        ['Connection', 'keep-alive'],
      ]) + Number(request.getHeader('content-length') ?? 0);
    flow.answered +=
      headBytes('HTTP/1.1 200 OK', Object.entries(response.headers)) +
      Number(response.headers['content-length'] ?? 0);
    this.#flows.set(key, flow);
  }

  #timed<T>(role: HollowRole, event: string, act: () => T): T {
    // Processor time, not time passed: other processes of a busy machine take none of it.
    const from = process.cpuUsage();
    const result = act();
    const used = process.cpuUsage(from);
    const key = `${role} ${event}`;
    const sum = this.#reduced.get(key) ?? { ms: 0, events: 0 };
    sum.ms += (used.user + used.system) / 1_000;
    sum.events += 1;
    this.#reduced.set(key, sum);
    return result;
  }

  #begin(): void {
    this.#open += 1;
    this.#started += 1;
  }
  #end(): void {
    this.#open -= 1;
    if (this.#open > 0) return;
    const waiting = this.#waiting;
    this.#waiting = [];
    waiting.forEach((each) => each());
  }
  /** Does something that others wait for; what it brings about is begun before it ends. */
  #during<T>(
    work: Promise<T>,
    then: (result: T) => void,
    otherwise: (thrown: unknown) => void,
  ): void {
    this.#begin();
    work
      .then(then, otherwise)
      .catch((thrown: unknown) => {
        this.#failed = thrown;
      })
      .finally(() => this.#end());
  }

  #call(
    role: HollowRole,
    to: string,
    where: string,
    body: unknown,
    took: (reply: unknown) => void,
    lost: () => void,
  ): void {
    const place = this.#directory[to];
    const sent =
      place === undefined
        ? Promise.reject(new HollowError('unknown', `nobody is at ${to}`))
        : call(
            `127.0.0.1:${place.port}`,
            `/${to}${where}?${this.#name};${role};${callKindOf(body)}`,
            body,
            hollowCallTimeoutMs,
          );
    this.#during(sent, took, (thrown) => {
      this.#lost += 1;
      if (this.#faults.length < 10)
        this.#faults.push(
          `${(this.#now / 1_000).toFixed(2)} s ${role} ${callKindOf(body)}: ${errorMessage(thrown)}`,
        );
      lost();
    });
  }

  async listen(): Promise<number> {
    const handlers = new Proxy<Record<string, (body: unknown) => Promise<unknown>>>(
      {},
      {
        get: (_, url) => (body: unknown) => this.#asked(String(url).split('?', 1)[0] ?? '', body),
      },
    );
    this.#listening = await serveCalls({ host: '127.0.0.1', port: 0 }, handlers);
    return this.#listening.port;
  }

  async directory(known: AddressDirectory): Promise<void> {
    this.#directory = known;
  }

  #asked(place: string, body: unknown): Promise<unknown> {
    const [, address = '', where] = place.split('/');
    return new Promise((resolve, reject) => {
      const agent = this.#agents.get(address);
      const replica = this.#replicas.get(address);
      if (where === 'replica' && replica !== undefined) {
        const id = replica.next;
        replica.next += 1;
        replica.asking.set(id, (reply) => resolve(encodeReplicaReply(reply)));
        this.#reduceReplica(replica, {
          kind: 'request-received',
          requestId: id,
          request: decodeReplicaRequest(body),
          now: this.#now,
        });
      } else if (agent !== undefined) {
        const id = agent.next;
        agent.next += 1;
        agent.asking.set(id, resolve);
        this.#reduceAgent(
          agent,
          where === 'feed'
            ? {
                kind: 'proxy-request-received',
                requestId: id,
                request: body as ProxyQuery,
                now: this.#now,
              }
            : {
                kind: 'agent-request-received',
                requestId: id,
                request: body as AgentRequest,
                now: this.#now,
              },
        );
      } else reject(new HollowError('unknown', `nobody is at ${address}`));
    });
  }

  #reduceAgent(node: AgentNode, event: AgentEvent): void {
    const label =
      event.kind === 'reply-received'
        ? `returned.${node.state.pendingRequests[event.requestId]?.kind ?? 'late'}`
        : event.kind === 'agent-request-received' || event.kind === 'proxy-request-received'
          ? `${event.kind}.${event.request.kind}`
          : event.kind;
    const step = this.#timed(node.spec.role, label, () => reduceAgent(node.state, event));
    node.state = step.state;
    for (const effect of step.effects) this.#performAgent(node, effect);
  }

  #performAgent(node: AgentNode, effect: AgentEffect): void {
    switch (effect.kind) {
      case 'send-request':
        this.#call(
          node.spec.role,
          effect.to,
          effect.path,
          effect.path === '/replica' ? encodeReplicaRequest(effect.request) : effect.request,
          (body) =>
            this.#reduceAgent(node, {
              kind: 'reply-received',
              requestId: effect.requestId,
              reply: effect.path === '/replica' ? decodeReplicaReply(body) : (body as AgentReply),
              now: this.#now,
            }),
          () =>
            this.#reduceAgent(node, {
              kind: 'request-failed',
              requestId: effect.requestId,
              now: this.#now,
            }),
        );
        return;
      case 'send-reply':
        node.asking.get(effect.requestId)?.(effect.reply);
        node.asking.delete(effect.requestId);
        return;
      case 'send-answer': {
        const tag = node.orders.get(effect.requestId);
        node.orders.delete(effect.requestId);
        if (tag !== undefined && tag !== '')
          this.#answers[tag] = { status: effect.status, at: this.#now, body: effect.body };
        return;
      }
      case 'schedule-wake-up':
        node.wakeAt = Math.min(node.wakeAt, this.#now + effect.delayMs);
        return;
      case 'log':
        this.#logs[effect.event] = (this.#logs[effect.event] ?? 0) + 1;
        return;
    }
  }

  #reduceReplica(node: ReplicaNode, event: ReplicaEvent): void {
    const label =
      event.kind === 'request-received'
        ? `asked.${callKindOf(encodeReplicaRequest(event.request))}`
        : event.kind;
    const step = this.#timed('replica', label, () => reduceReplica(node.state, event));
    node.state = step.state;
    for (const effect of step.effects) this.#performReplica(node, effect);
  }

  #performReplica(node: ReplicaNode, effect: ReplicaEffect): void {
    const failed = (thrown: unknown): void => {
      this.#failed = thrown;
    };
    switch (effect.kind) {
      case 'append-records':
        this.#during(node.log.append(effect.records), () => undefined, failed);
        if (
          node.log.segmentBytes() > Math.max(snapshotAfterBytes, node.log.snapshotBytes() / 2) &&
          !node.compacting
        ) {
          node.compacting = true;
          this.#during(
            node.log.compact(() => snapshotRecords(node.state)),
            () => {
              node.compacting = false;
            },
            failed,
          );
        }
        return;
      case 'send-reply':
        this.#during(
          node.log.settled(),
          () => {
            node.asking.get(effect.requestId)?.(effect.reply);
            node.asking.delete(effect.requestId);
          },
          failed,
        );
        return;
      case 'send-request':
        this.#call(
          'replica',
          effect.to,
          '/replica',
          encodeReplicaRequest(effect.request),
          (body) =>
            this.#reduceReplica(node, {
              kind: 'reply-received',
              requestId: effect.requestId,
              reply: decodeReplicaReply(body),
              now: this.#now,
            }),
          () =>
            this.#reduceReplica(node, {
              kind: 'request-failed',
              requestId: effect.requestId,
              now: this.#now,
            }),
        );
        return;
      case 'log':
        this.#logs[effect.event] = (this.#logs[effect.event] ?? 0) + 1;
        return;
    }
  }

  async replicas(specs: readonly ReplicaSpec[]): Promise<void> {
    for (const spec of specs) {
      const log = await openReplicaLog(path.join(this.#folder, spec.name));
      const opened = openReplica({
        name: spec.name,
        otherFounders: spec.others,
        records: log.takeRecords(),
        newDiskId: `disk-of-${spec.name}`,
        now: this.#now,
      });
      const node: ReplicaNode = {
        spec,
        state: opened.state,
        log,
        beatAt: this.#now,
        next: 1,
        compacting: false,
        asking: new Map(),
      };
      this.#replicas.set(spec.address, node);
      for (const effect of opened.effects) this.#performReplica(node, effect);
    }
  }

  async agents(specs: readonly AgentSpec[]): Promise<void> {
    for (const spec of specs) {
      const node: AgentNode = {
        spec,
        beatAt: spec.startAt,
        wakeAt: Infinity,
        next: 1,
        asking: new Map(),
        orders: new Map(),
        state: openAgent({
          self: spec.self,
          incarnation: `life-of-${spec.self.id}`,
          seeds: spec.seeds,
          founders: spec.founders,
          randomSeed: spec.seed,
          now: this.#now,
        }),
      };
      this.#agents.set(spec.self.address, node);
      if (spec.known.length === 0) continue;
      const tellings = Object.fromEntries(
        spec.known.map((record) => [`node/${record.id}`, { revision: 1, value: record }]),
      );
      this.#reduceAgent(node, {
        kind: 'agent-request-received',
        requestId: 0,
        request: { kind: 'push', tellings },
        now: this.#now,
      });
    }
  }

  async proxies(specs: readonly ProxySpec[]): Promise<void> {
    for (const spec of specs) {
      this.#proxies.set(spec.id, {
        spec,
        askAt: spec.startAt,
        asking: false,
        measuredAt: spec.startAt,
        held: null,
        policy: null,
        wants: {},
        wantsAt: -Infinity,
        draws: 0,
      });
    }
  }

  async origins(specs: readonly OriginSpec[]): Promise<void> {
    const named = new Set(specs.map(({ description }) => description.instance));
    this.#origins = [
      ...this.#origins.filter(({ spec }) => !named.has(spec.description.instance)),
      ...specs.map((spec) => ({ spec, at: spec.startAt })),
    ];
  }

  async watch(watches: readonly ArrivalWatch[]): Promise<void> {
    this.#watches = watches.map((watch) => {
      this.#arrivals[watch.tag] ??= [];
      return {
        watch,
        left: new Set(
          watch.what === 'member'
            ? [...this.#agents.keys()]
            : [
                ...[...this.#agents.values()]
                  .filter(({ spec }) => spec.self.proxy === null)
                  .map(({ spec }) => spec.self.address),
                ...this.#proxies.keys(),
              ],
        ),
      };
    });
  }

  /** What a proxy tells: wants that move a little, and now and then what its callers asked for. */
  #reportOf(node: ProxyNode): ProxyReport {
    const { spec } = node;
    const draw = (): number => {
      node.draws += 1;
      return randomFraction(spec.seed, node.draws);
    };
    if (this.#now - node.wantsAt >= demandIntervalMs) {
      node.wantsAt = this.#now;
      // As uneven as what callers that come by chance ask for in the time that a proxy counts,
      // smoothed as it does.
      const rate = hollowProxyDemandPerSecond / spec.services;
      const uneven = Math.min(0.9, 1 / Math.sqrt((rate * demandIntervalMs) / 1_000));
      node.wants = Object.fromEntries(
        Array.from({ length: spec.services }, (_, index) => [
          `service-${index}`,
          rate * (1 + uneven * (2 * draw() - 1)),
        ]),
      );
    }
    let measure: TrafficMeasurement | null = null;
    if (spec.objects > 0 && this.#now - node.measuredAt >= measurementIntervalMs) {
      node.measuredAt = this.#now;
      const demand = Object.fromEntries(
        Array.from({ length: spec.objects }, (_, index) => [
          `route-${index % spec.services} /s${index % spec.services}/${index}`,
          hollowObjectDemandBps * (0.5 + draw()),
        ]),
      );
      measure = {
        demand,
        copies: Object.keys(demand).slice(0, Math.ceil(spec.objects / 2)),
        servedBps: Object.values(demand).reduce((sum, bps) => sum + bps, 0),
        meanReplyBits: 96_000,
        fetchSeconds: 0.02,
      };
    }
    return {
      policyRevision: node.held?.feed.policyRevision ?? 0,
      life: node.held?.feed.life ?? '',
      proxyLife: `proxy-of-${spec.id}`,
      purgeSeq: node.held?.feed.purgeSeq ?? 0,
      stopping: false,
      wants: node.wants,
      measure,
      counters: {
        requests: node.draws,
        attempts: node.draws,
        fetched: node.draws,
        forwarded: 0,
        repeats: 0,
        underWay: 0,
        copies: 0,
        copyBytes: 0,
      },
    };
  }

  #ask(node: ProxyNode): void {
    node.asking = true;
    node.askAt = this.#now + feedIntervalMs;
    this.#call(
      'proxy',
      node.spec.address,
      '/feed',
      {
        kind: 'feed',
        report: this.#reportOf(node),
        held: Feeds.heldParts(node.held),
      } satisfies ProxyQuery,
      (body) => {
        node.held = Feeds.merge(node.held, body as FeedReply);
        const { feed } = node.held;
        node.asking = false;
        if (feed.policy !== null) node.policy = feed.policy.document;
        for (const { watch, left } of this.#watches) {
          if (!left.has(node.spec.id)) continue;
          const here =
            watch.what === 'config'
              ? feed.policyRevision >= Number(watch.key)
              : watch.what === 'purge'
                ? feed.purges.some(({ purge }) => purge.tags.includes(watch.key))
                : watch.what === 'drain' && !feed.origins.some((row) => row.instance === watch.key);
          if (here) {
            left.delete(node.spec.id);
            this.#arrivals[watch.tag]?.push(this.#now);
          }
        }
      },
      () => {
        node.asking = false;
      },
    );
  }

  /** Nodes without a proxy, and everybody for a new member: looked at after each step. */
  #look(): void {
    for (const { watch, left } of this.#watches) {
      for (const address of left) {
        const node = this.#agents.get(address);
        if (node === undefined) continue;
        const { state } = node;
        const here =
          watch.what === 'config'
            ? ((state.registers.policy?.value as { readonly revision: number } | undefined)
                ?.revision ?? 0) >= Number(watch.key)
            : watch.what === 'purge'
              ? state.entryKeys[`purge/${watch.key}`] !== undefined
              : watch.what === 'drain'
                ? Object.keys(state.entryKeys).some(
                    (key) => key.startsWith('drain/') && key.split('/')[2] === watch.key,
                  )
                : state.gossip.records[`node/${watch.key}`] !== undefined;
        if (here) {
          left.delete(address);
          this.#arrivals[watch.tag]?.push(this.#now);
        }
      }
    }
  }

  async step(now: number, orders: readonly NodeAction[]): Promise<number> {
    this.#now = now;
    this.#begin();
    for (const node of this.#replicas.values()) {
      if (now < node.beatAt) continue;
      node.beatAt += replicaTickIntervalMs;
      this.#reduceReplica(node, { kind: 'tick', now });
    }
    for (const node of this.#agents.values()) {
      if (now >= node.wakeAt) {
        node.wakeAt = Infinity;
        this.#reduceAgent(node, { kind: 'wake-up-due', now });
      }
      if (now < node.beatAt) continue;
      node.beatAt += agentTickIntervalMs;
      this.#reduceAgent(node, { kind: 'tick', now });
    }
    for (const node of this.#proxies.values())
      if (now >= node.askAt && !node.asking) this.#ask(node);
    const order = (to: string, tag: string, action: ApiAction): void => {
      const node = this.#agents.get(to);
      if (node === undefined) return;
      const id = node.next;
      node.next += 1;
      node.orders.set(id, tag);
      this.#reduceAgent(node, { kind: 'action-received', requestId: id, action, now });
    };
    for (const origin of this.#origins) {
      if (now < origin.at) continue;
      origin.at += hollowDescribeIntervalMs;
      order(origin.spec.node, '', { kind: 'describe', description: origin.spec.description });
    }
    for (const { node, tag, action } of orders) order(node, tag, action);
    this.#end();
    return this.settled();
  }

  async settled(): Promise<number> {
    // One turn at the least, so that what came in just now is seen.
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    while (this.#open > 0)
      await new Promise<void>((resolve) => {
        this.#waiting.push(resolve);
      });
    if (this.#failed !== null)
      throw new HollowError('failed', errorMessage(this.#failed), { cause: this.#failed });
    this.#look();
    return this.#started;
  }

  async report(whole: boolean): Promise<HostReport> {
    const usage = process.cpuUsage();
    const collect = (globalThis as { readonly gc?: () => void }).gc;
    if (whole) collect?.();
    const memory = process.memoryUsage();
    const sizes = (state: object): Readonly<Record<string, number>> =>
      Object.fromEntries(
        Object.entries(state).map(([field, value]) => [
          field,
          serialize(JSON.parse(JSON.stringify(value ?? null))).length,
        ]),
      );
    const [agent, replica] = [
      [...this.#agents.values()].at(-1),
      [...this.#replicas.values()].at(-1),
    ];
    return {
      flows: [...this.#flows].map(([key, { calls, asked, answered }]) => {
        const [from, to, kind] = key.split(' ');
        return {
          from: from as HollowRole,
          to: to as HollowRole,
          kind: kind ?? '',
          calls,
          askedBytes: asked,
          answeredBytes: answered,
        };
      }),
      reduced: [...this.#reduced].map(([key, sum]) => {
        const [role, event] = key.split(' ');
        return { role: role as HollowRole, event: event ?? '', ...sum };
      }),
      cpuMs: (usage.user + usage.system) / 1_000,
      heap: whole && collect !== undefined ? memory.heapUsed + memory.external : 0,
      rss: memory.rss,
      lost: this.#lost,
      faults: [...this.#faults],
      answers: { ...this.#answers },
      arrivals: Object.fromEntries(
        Object.entries(this.#arrivals).map(([tag, times]) => [tag, [...times]]),
      ),
      logs: { ...this.#logs },
      stateBytes: !whole
        ? {}
        : {
            ...(agent === undefined ? {} : { [agent.spec.role]: sizes(agent.state) }),
            ...(replica === undefined ? {} : { replica: sizes(replica.state) }),
          },
    };
  }

  async close(): Promise<void> {
    await this.#listening?.close();
    await Promise.all([...this.#replicas.values()].map(({ log }) => log.close()));
    rmSync(this.#folder, { recursive: true, force: true });
  }
}
