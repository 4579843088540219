/** Hosts many hollow nodes in one process on a stepped clock, and counts their calls and costs. */
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
  type FeedSnapshot,
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

/** Thrown when a hollow fleet cannot be set up or a run of it fails. */
export class HollowError extends CodedError {}

/**
 * The role under which a hollow node's calls and costs are counted. The `holder` is the agent that
 * holds the quota leadership; it and the seeds have more work than the other agents.
 */
export type HollowRole = 'replica' | 'holder' | 'seed' | 'agent' | 'proxy';

/** For each address, the port of the process that serves it and the role of the node there. */
export type AddressDirectory = Readonly<
  Record<string, { readonly port: number; readonly role: HollowRole }>
>;

/** A replica that the host opens. */
export type ReplicaSpec = {
  readonly name: string;
  readonly address: string;
  readonly others: Readonly<Record<string, string>>;
};
/** An agent that the host opens. */
export type AgentSpec = {
  readonly self: NodeIdentity;
  readonly role: HollowRole;
  readonly seeds: readonly string[];
  readonly founders: Readonly<Record<string, string>>;
  readonly seed: number;
  readonly startAt: number;
  /**
   * Node records pushed to the agent when it opens, so that a run does not start with discovery.
   */
  readonly known: readonly NodeRecord[];
};
/** A proxy that the host simulates: a client of its agent's feed. */
export type ProxySpec = {
  readonly id: string;
  readonly address: string;
  readonly startAt: number;
  readonly seed: number;
  readonly services: number;
  readonly objects: number;
};
/** An origin that announces itself to a node at regular intervals. */
export type OriginSpec = {
  readonly node: string;
  readonly description: Extract<ApiAction, { kind: 'describe' }>['description'];
  readonly startAt: number;
};

/** An API action that a node performs in a step; its reply is stored under the tag. */
export type NodeAction = {
  readonly node: string;
  readonly tag: string;
  readonly action: ApiAction;
};
/** A change whose arrival time at every node is recorded under the tag. */
export type ArrivalWatch = {
  readonly tag: string;
  readonly what: 'config' | 'purge' | 'drain' | 'member';
  readonly key: string;
};

/** Calls of one kind and their bytes with headers: `from` sends requests, `to` sends replies. */
export type CallTraffic = {
  readonly from: HollowRole;
  readonly to: HollowRole;
  readonly kind: string;
  readonly calls: number;
  /** Bytes of the requests, with their headers. */
  readonly askedBytes: number;
  /** Bytes of the replies, with their headers. */
  readonly answeredBytes: number;
};

/** Traffic, costs and arrivals that a host has counted so far. */
export type HostReport = {
  readonly flows: readonly CallTraffic[];
  /** Processor milliseconds spent in the reducers, and the number of events, by role and event. */
  readonly reduced: readonly {
    readonly role: HollowRole;
    readonly event: string;
    readonly ms: number;
    readonly events: number;
  }[];
  /** Processor milliseconds used by the process so far. */
  readonly cpuMs: number;
  /** Bytes of heap in use after a full garbage collection; 0 when none could be forced. */
  readonly heap: number;
  readonly rss: number;
  /** Number of calls that failed. */
  readonly lost: number;
  /** Descriptions of the first failed calls, with their errors. */
  readonly faults: readonly string[];
  /** Replies to API actions by tag; `at` is in milliseconds of the fleet's clock. */
  readonly answers: Readonly<
    Record<string, { readonly status: number; readonly at: number; readonly body: unknown }>
  >;
  /**
   * Times at which nodes received each watched change, by tag, in milliseconds of the fleet's
   * clock.
   */
  readonly arrivals: Readonly<Record<string, readonly number[]>>;
  /** Number of log lines by event. */
  readonly logs: Readonly<Record<string, number>>;
  /** Serialized size of one node's state in bytes, by role and field. */
  readonly stateBytes: Readonly<Record<string, Readonly<Record<string, number>>>>;
};

/** Operations of a host, which runs in this process or in a child process. */
export type HostOperations = {
  listen: () => Promise<number>;
  directory: (directory: AddressDirectory) => Promise<void>;
  replicas: (specs: readonly ReplicaSpec[]) => Promise<void>;
  agents: (specs: readonly AgentSpec[]) => Promise<void>;
  proxies: (specs: readonly ProxySpec[]) => Promise<void>;
  origins: (specs: readonly OriginSpec[]) => Promise<void>;
  watch: (watches: readonly ArrivalWatch[]) => Promise<void>;
  /**
   * Advances the clock and runs the ticks and actions that are due. Resolves once no operation of
   * this host is in flight, with the number of operations started so far.
   */
  step: (now: number, actions: readonly NodeAction[]) => Promise<number>;
  /** Resolves once no operation of this host is in flight, with the number started so far. */
  settled: () => Promise<number>;
  report: (withMemory: boolean) => Promise<HostReport>;
  close: () => Promise<void>;
};

/**
 * Deterministic pseudorandom number in [0, 1) for a seed and an index.
 *
 * @example
 * randomFraction(1, 7);
 */
export const randomFraction = (seed: number, index: number): number => {
  let hash = Math.imul((seed ^ 0x9e3779b9) + Math.imul(index + 1, 0x85ebca6b), 0xc2b2ae35);
  hash ^= hash >>> 15;
  hash = Math.imul(hash, 0x27d4eb2f);
  hash ^= hash >>> 13;
  return (hash >>> 0) / 4_294_967_296;
};

/** Kind of a call by its body. Calls on a register carry its key in the kind, except claims. */
const callKindOf = (body: unknown): string => {
  const innerCall = ((body as { readonly call?: unknown }).call ?? body) as {
    readonly kind?: string;
    readonly key?: string;
  };
  const kind = innerCall.kind ?? 'other';
  return typeof innerCall.key === 'string' && !innerCall.key.startsWith('claim/')
    ? `${kind}.${innerCall.key}`
    : kind;
};

/** Size in bytes of a start line and headers as sent over the socket. */
const headBytes = (startLine: string, headers: readonly (readonly [string, unknown])[]): number =>
  headers.reduce(
    (sum, [name, value]) => sum + name.length + String(value).length + 4,
    startLine.length + 4,
  );

type AgentNode = {
  readonly spec: AgentSpec;
  state: AgentState;
  nextTickAt: number;
  /** Earliest wake-up that the agent has scheduled. */
  wakeUpAt: number;
  nextRequestId: number;
  readonly pendingReplies: Map<number, (reply: unknown) => void>;
  readonly actionTags: Map<number, string>;
};
type ReplicaNode = {
  readonly spec: ReplicaSpec;
  state: ReplicaState;
  readonly log: ReplicaLog;
  nextTickAt: number;
  nextRequestId: number;
  isCompacting: boolean;
  readonly pendingReplies: Map<number, (reply: ReplicaReply) => void>;
};
type ProxyNode = {
  readonly spec: ProxySpec;
  nextFeedAt: number;
  isFetchingFeed: boolean;
  measuredAt: number;
  feedSnapshot: FeedSnapshot | null;
  policy: unknown;
  demand: Readonly<Record<string, number>>;
  demandAt: number;
  drawCount: number;
};

let hostCount = 0;

/**
 * Runs many hollow nodes in one process: the production reducers, calls over loopback sockets and
 * the log on disk, under a clock that the fleet advances step by step. The clock stands still until
 * a step has completed, so neither the machine's speed nor its load affects the counts.
 */
export class HollowHost implements HostOperations {
  readonly #name: string;
  readonly #folder = mkdtempSync(path.join(os.tmpdir(), 'reedyard-hollow-'));
  readonly #agents = new Map<string, AgentNode>();
  readonly #replicas = new Map<string, ReplicaNode>();
  readonly #proxies = new Map<string, ProxyNode>();
  #origins: { readonly spec: OriginSpec; nextDescriptionAt: number }[] = [];
  #directory: AddressDirectory = {};
  #server: RpcServer | null = null;
  #now = 0;
  #inFlight = 0;
  #startedOperations = 0;
  #failedCalls = 0;
  readonly #failureTexts: string[] = [];
  #fatalError: unknown = null;
  #idleWaiters: (() => void)[] = [];
  readonly #traffic = new Map<
    string,
    { calls: number; requestBytes: number; replyBytes: number }
  >();
  readonly #reducerCosts = new Map<string, { ms: number; events: number }>();
  readonly #actionReplies: Record<
    string,
    { readonly status: number; readonly at: number; readonly body: unknown }
  > = {};
  readonly #arrivals: Record<string, number[]> = {};
  readonly #logCounts: Record<string, number> = {};
  #watches: { readonly watch: ArrivalWatch; readonly remaining: Set<string> }[] = [];

  constructor() {
    hostCount += 1;
    this.#name = `${process.pid}-${hostCount}`;
    subscribe('http.client.response.finish', (message) =>
      this.#countCall(
        message as { readonly request: ClientRequest; readonly response: IncomingMessage },
      ),
    );
  }

  #countCall({
    request,
    response,
  }: {
    readonly request: ClientRequest;
    readonly response: IncomingMessage;
  }): void {
    const [urlPath = '', query = ''] = request.path.split('?');
    const [hostName, sender, kind] = query.split(';');
    if (hostName !== this.#name) return;
    const receiver = this.#directory[urlPath.split('/')[1] ?? '']?.role ?? '?';
    const key = `${sender} ${receiver} ${kind}`;
    const traffic = this.#traffic.get(key) ?? { calls: 0, requestBytes: 0, replyBytes: 0 };
    // Only the hollow fleet appends a query to the path; a real call sends the path alone.
    traffic.calls += 1;
    traffic.requestBytes +=
      headBytes(`POST /${urlPath.split('/')[2] ?? ''} HTTP/1.1`, [
        ...Object.entries(request.getHeaders()),
        ['Connection', 'keep-alive'],
      ]) + Number(request.getHeader('content-length') ?? 0);
    traffic.replyBytes +=
      headBytes('HTTP/1.1 200 OK', Object.entries(response.headers)) +
      Number(response.headers['content-length'] ?? 0);
    this.#traffic.set(key, traffic);
  }

  #measureReducer<T>(role: HollowRole, event: string, reduce: () => T): T {
    // Processor time rather than elapsed time, so that other processes on a busy machine don't
    // count.
    const usageBefore = process.cpuUsage();
    const result = reduce();
    const usage = process.cpuUsage(usageBefore);
    const key = `${role} ${event}`;
    const cost = this.#reducerCosts.get(key) ?? { ms: 0, events: 0 };
    cost.ms += (usage.user + usage.system) / 1_000;
    cost.events += 1;
    this.#reducerCosts.set(key, cost);
    return result;
  }

  #beginOperation(): void {
    this.#inFlight += 1;
    this.#startedOperations += 1;
  }
  #endOperation(): void {
    this.#inFlight -= 1;
    if (this.#inFlight > 0) return;
    const waiters = this.#idleWaiters;
    this.#idleWaiters = [];
    waiters.forEach((resolve) => resolve());
  }
  /**
   * Counts work as in flight until its handler has run, so that operations that the handler
   * starts are counted before this one ends.
   */
  #trackOperation<T>(
    work: Promise<T>,
    onSuccess: (result: T) => void,
    onFailure: (thrown: unknown) => void,
  ): void {
    this.#beginOperation();
    work
      .then(onSuccess, onFailure)
      .catch((thrown: unknown) => {
        this.#fatalError = thrown;
      })
      .finally(() => this.#endOperation());
  }

  #call(
    role: HollowRole,
    to: string,
    callPath: string,
    body: unknown,
    onReply: (reply: unknown) => void,
    onFailure: () => void,
  ): void {
    const endpoint = this.#directory[to];
    const reply =
      endpoint === undefined
        ? Promise.reject(new HollowError('unknown', `no node is registered at address ${to}`))
        : call(
            `127.0.0.1:${endpoint.port}`,
            `/${to}${callPath}?${this.#name};${role};${callKindOf(body)}`,
            body,
            hollowCallTimeoutMs,
          );
    this.#trackOperation(reply, onReply, (thrown) => {
      this.#failedCalls += 1;
      if (this.#failureTexts.length < 10)
        this.#failureTexts.push(
          `${(this.#now / 1_000).toFixed(2)} s ${role} ${callKindOf(body)}: ${errorMessage(thrown)}`,
        );
      onFailure();
    });
  }

  async listen(): Promise<number> {
    const handlers = new Proxy<Record<string, (body: unknown) => Promise<unknown>>>(
      {},
      {
        get: (_, url) => (body: unknown) =>
          this.#handleCall(String(url).split('?', 1)[0] ?? '', body),
      },
    );
    this.#server = await serveCalls({ host: '127.0.0.1', port: 0 }, handlers);
    return this.#server.port;
  }

  async directory(directory: AddressDirectory): Promise<void> {
    this.#directory = directory;
  }

  #handleCall(urlPath: string, body: unknown): Promise<unknown> {
    const [, address = '', service] = urlPath.split('/');
    return new Promise((resolve, reject) => {
      const agent = this.#agents.get(address);
      const replica = this.#replicas.get(address);
      if (service === 'replica' && replica !== undefined) {
        const id = replica.nextRequestId;
        replica.nextRequestId += 1;
        replica.pendingReplies.set(id, (reply) => resolve(encodeReplicaReply(reply)));
        this.#reduceReplica(replica, {
          kind: 'request-received',
          requestId: id,
          request: decodeReplicaRequest(body),
          now: this.#now,
        });
      } else if (agent !== undefined) {
        const id = agent.nextRequestId;
        agent.nextRequestId += 1;
        agent.pendingReplies.set(id, resolve);
        this.#reduceAgent(
          agent,
          service === 'feed'
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
      } else reject(new HollowError('unknown', `no node is served at address ${address}`));
    });
  }

  #reduceAgent(node: AgentNode, event: AgentEvent): void {
    const label =
      event.kind === 'reply-received'
        ? `returned.${node.state.pendingRequests[event.requestId]?.kind ?? 'late'}`
        : event.kind === 'agent-request-received' || event.kind === 'proxy-request-received'
          ? `${event.kind}.${event.request.kind}`
          : event.kind;
    const result = this.#measureReducer(node.spec.role, label, () =>
      reduceAgent(node.state, event),
    );
    node.state = result.state;
    for (const effect of result.effects) this.#performAgent(node, effect);
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
        node.pendingReplies.get(effect.requestId)?.(effect.reply);
        node.pendingReplies.delete(effect.requestId);
        return;
      case 'send-answer': {
        const tag = node.actionTags.get(effect.requestId);
        node.actionTags.delete(effect.requestId);
        if (tag !== undefined && tag !== '')
          this.#actionReplies[tag] = { status: effect.status, at: this.#now, body: effect.body };
        return;
      }
      case 'schedule-wake-up':
        node.wakeUpAt = Math.min(node.wakeUpAt, this.#now + effect.delayMs);
        return;
      case 'log':
        this.#logCounts[effect.event] = (this.#logCounts[effect.event] ?? 0) + 1;
        return;
    }
  }

  #reduceReplica(node: ReplicaNode, event: ReplicaEvent): void {
    const label =
      event.kind === 'request-received'
        ? `asked.${callKindOf(encodeReplicaRequest(event.request))}`
        : event.kind;
    const result = this.#measureReducer('replica', label, () => reduceReplica(node.state, event));
    node.state = result.state;
    for (const effect of result.effects) this.#performReplica(node, effect);
  }

  #performReplica(node: ReplicaNode, effect: ReplicaEffect): void {
    const recordFailure = (thrown: unknown): void => {
      this.#fatalError = thrown;
    };
    switch (effect.kind) {
      case 'append-records':
        this.#trackOperation(node.log.append(effect.records), () => undefined, recordFailure);
        if (
          node.log.segmentBytes() > Math.max(snapshotAfterBytes, node.log.snapshotBytes() / 2) &&
          !node.isCompacting
        ) {
          node.isCompacting = true;
          this.#trackOperation(
            node.log.compact(() => snapshotRecords(node.state)),
            () => {
              node.isCompacting = false;
            },
            recordFailure,
          );
        }
        return;
      case 'send-reply':
        this.#trackOperation(
          node.log.settled(),
          () => {
            node.pendingReplies.get(effect.requestId)?.(effect.reply);
            node.pendingReplies.delete(effect.requestId);
          },
          recordFailure,
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
        this.#logCounts[effect.event] = (this.#logCounts[effect.event] ?? 0) + 1;
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
        nextTickAt: this.#now,
        nextRequestId: 1,
        isCompacting: false,
        pendingReplies: new Map(),
      };
      this.#replicas.set(spec.address, node);
      for (const effect of opened.effects) this.#performReplica(node, effect);
    }
  }

  async agents(specs: readonly AgentSpec[]): Promise<void> {
    for (const spec of specs) {
      const node: AgentNode = {
        spec,
        nextTickAt: spec.startAt,
        wakeUpAt: Infinity,
        nextRequestId: 1,
        pendingReplies: new Map(),
        actionTags: new Map(),
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
        nextFeedAt: spec.startAt,
        isFetchingFeed: false,
        measuredAt: spec.startAt,
        feedSnapshot: null,
        policy: null,
        demand: {},
        demandAt: -Infinity,
        drawCount: 0,
      });
    }
  }

  async origins(specs: readonly OriginSpec[]): Promise<void> {
    const replacedInstances = new Set(specs.map(({ description }) => description.instance));
    this.#origins = [
      ...this.#origins.filter(({ spec }) => !replacedInstances.has(spec.description.instance)),
      ...specs.map((spec) => ({ spec, nextDescriptionAt: spec.startAt })),
    ];
  }

  async watch(watches: readonly ArrivalWatch[]): Promise<void> {
    this.#watches = watches.map((watch) => {
      this.#arrivals[watch.tag] ??= [];
      return {
        watch,
        remaining: new Set(
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

  /** A proxy's report: demand that varies a little, and at intervals a traffic measurement. */
  #buildReport(node: ProxyNode): ProxyReport {
    const { spec } = node;
    const draw = (): number => {
      node.drawCount += 1;
      return randomFraction(spec.seed, node.drawCount);
    };
    if (this.#now - node.demandAt >= demandIntervalMs) {
      node.demandAt = this.#now;
      // Varies as much as randomly arriving requests do over the interval in which a proxy measures
      // demand.
      const rate = hollowProxyDemandPerSecond / spec.services;
      const variation = Math.min(0.9, 1 / Math.sqrt((rate * demandIntervalMs) / 1_000));
      node.demand = Object.fromEntries(
        Array.from({ length: spec.services }, (_, index) => [
          `service-${index}`,
          rate * (1 + variation * (2 * draw() - 1)),
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
      policyRevision: node.feedSnapshot?.feed.policyRevision ?? 0,
      life: node.feedSnapshot?.feed.life ?? '',
      proxyLife: `proxy-of-${spec.id}`,
      purgeSeq: node.feedSnapshot?.feed.purgeSeq ?? 0,
      stopping: false,
      wants: node.demand,
      measure,
      counters: {
        requests: node.drawCount,
        attempts: node.drawCount,
        fetched: node.drawCount,
        forwarded: 0,
        repeats: 0,
        underWay: 0,
        copies: 0,
        copyBytes: 0,
      },
    };
  }

  #fetchFeed(node: ProxyNode): void {
    node.isFetchingFeed = true;
    node.nextFeedAt = this.#now + feedIntervalMs;
    this.#call(
      'proxy',
      node.spec.address,
      '/feed',
      {
        kind: 'feed',
        report: this.#buildReport(node),
        held: Feeds.heldParts(node.feedSnapshot),
      } satisfies ProxyQuery,
      (body) => {
        node.feedSnapshot = Feeds.merge(node.feedSnapshot, body as FeedReply);
        const { feed } = node.feedSnapshot;
        node.isFetchingFeed = false;
        if (feed.policy !== null) node.policy = feed.policy.document;
        for (const { watch, remaining } of this.#watches) {
          if (!remaining.has(node.spec.id)) continue;
          const hasArrived =
            watch.what === 'config'
              ? feed.policyRevision >= Number(watch.key)
              : watch.what === 'purge'
                ? feed.purges.some(({ purge }) => purge.tags.includes(watch.key))
                : watch.what === 'drain' && !feed.origins.some((row) => row.instance === watch.key);
          if (hasArrived) {
            remaining.delete(node.spec.id);
            this.#arrivals[watch.tag]?.push(this.#now);
          }
        }
      },
      () => {
        node.isFetchingFeed = false;
      },
    );
  }

  /**
   * Records arrivals at agents after each step: at nodes without a proxy, and at every node for a
   * new member. Arrivals at proxies are recorded with their feeds.
   */
  #recordArrivals(): void {
    for (const { watch, remaining } of this.#watches) {
      for (const address of remaining) {
        const node = this.#agents.get(address);
        if (node === undefined) continue;
        const { state } = node;
        const hasArrived =
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
        if (hasArrived) {
          remaining.delete(address);
          this.#arrivals[watch.tag]?.push(this.#now);
        }
      }
    }
  }

  async step(now: number, actions: readonly NodeAction[]): Promise<number> {
    this.#now = now;
    this.#beginOperation();
    for (const node of this.#replicas.values()) {
      if (now < node.nextTickAt) continue;
      node.nextTickAt += replicaTickIntervalMs;
      this.#reduceReplica(node, { kind: 'tick', now });
    }
    for (const node of this.#agents.values()) {
      if (now >= node.wakeUpAt) {
        node.wakeUpAt = Infinity;
        this.#reduceAgent(node, { kind: 'wake-up-due', now });
      }
      if (now < node.nextTickAt) continue;
      node.nextTickAt += agentTickIntervalMs;
      this.#reduceAgent(node, { kind: 'tick', now });
    }
    for (const node of this.#proxies.values())
      if (now >= node.nextFeedAt && !node.isFetchingFeed) this.#fetchFeed(node);
    const perform = (to: string, tag: string, action: ApiAction): void => {
      const node = this.#agents.get(to);
      if (node === undefined) return;
      const id = node.nextRequestId;
      node.nextRequestId += 1;
      node.actionTags.set(id, tag);
      this.#reduceAgent(node, { kind: 'action-received', requestId: id, action, now });
    };
    for (const origin of this.#origins) {
      if (now < origin.nextDescriptionAt) continue;
      origin.nextDescriptionAt += hollowDescribeIntervalMs;
      perform(origin.spec.node, '', { kind: 'describe', description: origin.spec.description });
    }
    for (const { node, tag, action } of actions) perform(node, tag, action);
    this.#endOperation();
    return this.settled();
  }

  async settled(): Promise<number> {
    // Waits at least one turn of the event loop, so that calls that have just arrived are counted.
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    while (this.#inFlight > 0)
      await new Promise<void>((resolve) => {
        this.#idleWaiters.push(resolve);
      });
    if (this.#fatalError !== null)
      throw new HollowError('failed', errorMessage(this.#fatalError), { cause: this.#fatalError });
    this.#recordArrivals();
    return this.#startedOperations;
  }

  async report(withMemory: boolean): Promise<HostReport> {
    const usage = process.cpuUsage();
    const collectGarbage = (globalThis as { readonly gc?: () => void }).gc;
    if (withMemory) collectGarbage?.();
    const memory = process.memoryUsage();
    const fieldSizesOf = (state: object): Readonly<Record<string, number>> =>
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
      flows: [...this.#traffic].map(([key, { calls, requestBytes, replyBytes }]) => {
        const [from, to, kind] = key.split(' ');
        return {
          from: from as HollowRole,
          to: to as HollowRole,
          kind: kind ?? '',
          calls,
          askedBytes: requestBytes,
          answeredBytes: replyBytes,
        };
      }),
      reduced: [...this.#reducerCosts].map(([key, sum]) => {
        const [role, event] = key.split(' ');
        return { role: role as HollowRole, event: event ?? '', ...sum };
      }),
      cpuMs: (usage.user + usage.system) / 1_000,
      heap: withMemory && collectGarbage !== undefined ? memory.heapUsed + memory.external : 0,
      rss: memory.rss,
      lost: this.#failedCalls,
      faults: [...this.#failureTexts],
      answers: { ...this.#actionReplies },
      arrivals: Object.fromEntries(
        Object.entries(this.#arrivals).map(([tag, times]) => [tag, [...times]]),
      ),
      logs: { ...this.#logCounts },
      stateBytes: !withMemory
        ? {}
        : {
            ...(agent === undefined ? {} : { [agent.spec.role]: fieldSizesOf(agent.state) }),
            ...(replica === undefined ? {} : { replica: fieldSizesOf(replica.state) }),
          },
    };
  }

  async close(): Promise<void> {
    await this.#server?.close();
    await Promise.all([...this.#replicas.values()].map(({ log }) => log.close()));
    rmSync(this.#folder, { recursive: true, force: true });
  }
}
