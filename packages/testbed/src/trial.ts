/**
 * Plays a scenario of the simulator on real processes, and completes its history from their logs.
 */
import { readFileSync } from 'node:fs';
import http from 'node:http';
import { sendRequest } from '@reedyard/client-stand-in';
import type { Policy } from '@reedyard/schemas';
import {
  availability,
  connectedHistory,
  type Entry,
  findSoakViolations,
  findViolations,
  type FleetUnderLoad,
  randomRequest,
  type Scenario,
  type ScenarioOrigin,
  scenarios,
  type SimulatedBody,
  startClients,
  type Violation,
  VirtualClock,
} from '@reedyard/simulator';
import type { Deployment } from '@reedyard/topology';
import { api, Fleet, TestbedError } from './index.js';

/** How long the programs of a machine may take to stop before they are killed, in milliseconds. */
const stopTimeoutMs = 6_000;

/** The pauses of a pinned client after a success, and after any other end, in milliseconds. */
const pinnedPauseMs = 200;
const pinnedRetryMs = 250;

/** From how many objects of a route the pinned clients draw. */
const objectsPerRoute = 200;

/**
 * Parses the fields of a log line.
 *
 * @example
 * logFieldsOf('time=… event="a b" n=1').event // 'a b'
 */
export const logFieldsOf = (line: string): Readonly<Record<string, string>> =>
  Object.fromEntries(
    [...line.matchAll(/([\w-]+)=("(?:[^"\\]|\\.)*"|\S*)/g)].map(([, key = '', value = '']) => [
      key,
      value.startsWith('"') ? (JSON.parse(value) as string) : value,
    ]),
  );

/** Parses a response body of an origin stand-in into the form that the checkers expect. */
const responseBodyOf = (
  method: string,
  target: string,
  text: string,
  startedAt: number,
): SimulatedBody | null => {
  const tags = [...target.matchAll(/tag-(\w+)/g)].map((match) => match[1] ?? '');
  if (method === 'POST') {
    const { ran: jobId = '', by: server = '' } = JSON.parse(text) as { ran?: string; by?: string };
    return {
      service: server.split('/', 1)[0] ?? '',
      target,
      job: jobId,
      tags,
      madeAt: 0,
      sentAt: 0,
      maxAgeMs: Infinity,
    };
  }
  const match = /^(\S+) (\S+) generation=\d+ made=(\d+) sent=(\d+) life=(\d+) /.exec(text);
  return match === null
    ? null
    : {
        service: match[1] ?? '',
        target: match[2] ?? '',
        job: '',
        tags,
        madeAt: Number(match[3]) - startedAt,
        sentAt: Number(match[4]) - startedAt,
        maxAgeMs: Number(match[5]),
      };
};

/**
 * A fleet of real processes on which a scenario runs, and which records a history for the checkers.
 */
export class TrialFleet implements FleetUnderLoad {
  readonly clock: VirtualClock;
  readonly history: Entry[] = [];
  readonly ready = new Map<string, boolean>();
  readonly origins: readonly ScenarioOrigin[];
  readonly refused: string[] = [];
  readonly #startedAtWallClock = Date.now();
  readonly #startedAtMonotonic = performance.now();
  readonly #appliedStates = new Map<ScenarioOrigin, string>();
  readonly #recordedCapacities = new Map<string, number>();
  #holder: string | undefined;
  #seeds: readonly string[] = [];
  #lastSubmission = 0;
  #changeCount = 0;
  readonly #timers: NodeJS.Timeout[] = [];
  /** Since when each front machine has had a blocked path. */
  readonly #cutSince = new Map<string, number>();
  #isEnding = false;

  constructor(
    readonly fleet: Fleet,
    seed: number,
  ) {
    this.clock = new VirtualClock(seed);
    fleet.onUnexpectedExit = (node, program, how) =>
      this.history.push({ kind: 'ended', at: this.#now(), node, program, how });
    this.origins = fleet.deployment.origins.map((spec) => ({
      spec,
      service: spec.service,
      instance: spec.instance,
      incarnation: 1,
      alive: true,
      cold: false,
      draining: false,
      silent: false,
      capacity: spec.capacity,
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
    }));
    // Virtual time follows real time; due timers run in the order of the virtual clock.
    this.#timers.push(
      setInterval(() => this.clock.runUntil(performance.now() - this.#startedAtMonotonic), 2),
    );
    this.#timers.push(
      setInterval(() => this.origins.forEach((origin) => this.#applyState(origin)), 50),
    );
    this.#timers.push(setInterval(() => this.#pollFleet(), 500));
  }

  get deployment(): Deployment {
    return this.fleet.deployment;
  }
  get seeds(): readonly string[] {
    return this.#seeds;
  }
  set seeds(names: readonly string[]) {
    this.#seeds = names;
    this.fleet.setSeeds(names.map((name) => name.split('/', 1)[0] ?? name));
  }
  #now(): number {
    return performance.now() - this.#startedAtMonotonic;
  }
  /** Converts wall clock time to milliseconds since the trial began. */
  trialTimeOf(wallClockMs: number): number {
    return wallClockMs - this.#startedAtWallClock;
  }
  stopTimers(): void {
    this.#isEnding = true;
    this.#timers.forEach((timer) => clearInterval(timer));
  }

  /** Records a request that an origin received, as an attempt and, if unsafe, as an execution. */
  readonly recordAttempt = (
    request: http.IncomingMessage,
    origin: {
      readonly service: string;
      readonly instance: string;
      readonly incarnation: number;
      readonly zone: string;
      readonly cold: boolean;
      readonly unsafe: boolean;
    },
  ): void => {
    const from = /.*1\.1 ([\w-]+) \(reedyard\)/.exec(String(request.headers.via ?? ''))?.[1] ?? '';
    const submission = Number(request.headers['x-submission'] ?? -1);
    const { service, instance, incarnation, zone, cold } = origin;
    this.history.push({
      kind: 'attempt',
      at: this.#now(),
      from,
      region: this.deployment.machines.find((machine) => machine.name === from)?.region ?? '',
      service,
      instance,
      incarnation,
      zone,
      cold,
      expected: String(request.headers['reedyard-expect'] ?? ''),
      host: request.headers.host ?? '',
      target: request.url ?? '',
      method: request.method ?? '',
      submission,
    });
    if (origin.unsafe)
      this.history.push({
        kind: 'ran',
        at: this.#now(),
        submission,
        job: String(request.headers['x-job'] ?? ''),
        key: String(request.headers['idempotency-key'] ?? '') || null,
      });
  };

  /** Brings an origin stand-in into the state that the scenario requires. */
  #applyState(origin: ScenarioOrigin): void {
    const standIn = this.fleet.originStandIns.get(origin.spec.instance);
    if (standIn === undefined) return;
    const requiredState = JSON.stringify([
      origin.alive,
      origin.service,
      origin.instance,
      origin.incarnation,
      origin.cold,
      origin.draining,
      origin.silent,
      origin.capacity,
      origin.mode,
    ]);
    const previousState = this.#appliedStates.get(origin);
    if (previousState === requiredState) return;
    this.#appliedStates.set(origin, requiredState);
    const [wasAlive, service, instance, incarnation] = JSON.parse(previousState ?? '[true]') as [
      boolean,
      string?,
      string?,
      number?,
    ];
    if (wasAlive && !origin.alive) standIn.crash();
    if (
      previousState !== undefined &&
      (service !== origin.service ||
        instance !== origin.instance ||
        incarnation !== origin.incarnation)
    )
      standIn.rename({
        service: origin.service,
        instance: origin.instance,
        incarnation: origin.incarnation,
      });
    const { foreign, ...mode } = origin.mode;
    standIn.setMode(
      {
        ...mode,
        leftover: foreign,
        state: origin.cold ? 'cold' : 'warm',
        draining: origin.draining,
        silent: origin.silent,
        capacity: origin.capacity,
      },
      origin.alive && !origin.silent,
    );
    if (!wasAlive && origin.alive) standIn.restart();
    this.#recordCapacity(origin, this.#now());
  }
  #recordCapacity(origin: ScenarioOrigin, sentAt: number): void {
    const { service, instance, incarnation, capacity } = origin;
    const name = `${service}/${instance}/${incarnation}`;
    if (this.#recordedCapacities.get(name) === capacity) return;
    this.#recordedCapacities.set(name, capacity);
    this.history.push({
      kind: 'carries',
      at: this.#now(),
      sentAt,
      service,
      instance,
      incarnation,
      capacity,
    });
  }

  /**
   * Polls which proxies are ready, as the platform does, and which node holds the quota
   * leadership.
   */
  #pollFleet(): void {
    for (const name of this.fleet.names('front')) {
      const clientAddress = this.fleet.clientAddressOf(name);
      const request = http.request(
        `http://${clientAddress}/.well-known/reedyard/ready`,
        { timeout: 400 },
        (response) => {
          response.resume();
          this.ready.set(name, response.statusCode === 200);
        },
      );
      request.on('timeout', () => request.destroy(new Error('timeout')));
      request.on('error', () => this.ready.set(name, false));
      request.end();
    }
    const polledNode = this.clock.pick(this.machineNames().filter((name) => this.isRunning(name)));
    if (polledNode !== undefined)
      api(this.fleet.apiAddressOf(polledNode), 'GET', '/v1/shares').then(
        (response) => {
          if (response.status === 200)
            this.#holder = (response.body as { holder: string | null }).holder ?? undefined;
        },
        () => undefined,
      );
  }

  machineNames(): readonly string[] {
    return this.fleet.nodeNames();
  }
  isRunning(name: string): boolean {
    return this.fleet.isRunning(name, 'agent');
  }
  holder(): string | undefined {
    return this.#holder;
  }
  start(name: string): void {
    this.fleet.start(name);
  }
  kill(name: string): void {
    void this.fleet.kill(name);
  }
  warn(name: string): void {
    void this.fleet.stop(name, 'proxy');
  }
  stop(name: string, downMs: number): void {
    this.history.push({ kind: 'stopped', at: this.#now(), node: name });
    const killTimer = setTimeout(() => void this.fleet.kill(name), stopTimeoutMs);
    void this.fleet.stop(name).then(() => {
      clearTimeout(killTimer);
      if (!this.#isEnding) this.clock.schedule(downMs, () => this.start(name));
    });
  }
  wipe(name: string): void {
    this.fleet.wipe(name);
  }
  freeze(name: string): void {
    this.fleet.freeze(name);
  }
  thaw(name: string): void {
    this.fleet.thaw(name);
  }
  cut(from: string, to: string): void {
    this.#recordCut(from);
    this.#recordCut(to);
    this.fleet.blockDirection(from, to);
  }
  isolate(name: string, direction: 'both' | 'out' | 'in' = 'both'): void {
    this.#recordCut(name);
    this.fleet.cut(name, direction);
  }
  heal(): void {
    for (const [node, from] of this.#cutSince)
      this.history.push({ kind: 'cut-off', at: this.#now(), node, from });
    this.#cutSince.clear();
    this.fleet.heal();
  }
  /** Records that a front machine may be cut off; one with a disk reaches the other disks. */
  #recordCut(name: string): void {
    const isFront = this.fleet.names('front').includes(name);
    if (isFront && !this.#cutSince.has(name)) this.#cutSince.set(name, this.#now());
  }
  startDuplicate(name: string): string {
    const twinName = `${name}~2`;
    const machine = this.deployment.machines.find((candidate) => candidate.name === name);
    if (machine !== undefined)
      void this.fleet.addNode(machine, true, true, twinName).then(() => this.fleet.start(twinName));
    return twinName;
  }
  fault(label: string): void {
    this.history.push({ kind: 'fault', at: this.#now(), label });
  }

  /**
   * Sends an operator request to a node. Retries at most `retries` times, until a response accepts
   * or rejects the request.
   */
  #operate(
    method: string,
    target: string,
    document: unknown,
    changeId: string,
    retries: number,
    onSuccess: (body: never) => void,
    node?: string,
  ): void {
    const chosenNode =
      node ?? this.clock.pick(this.machineNames().filter((name) => this.isRunning(name)));
    const retryLater = (): void => {
      if (retries > 0)
        this.clock.schedule(500, () =>
          this.#operate(method, target, document, changeId, retries - 1, onSuccess),
        );
    };
    if (chosenNode === undefined) {
      retryLater();
      return;
    }
    api(this.fleet.apiAddressOf(chosenNode), method, target, document, {
      'reedyard-change-id': changeId,
    }).then((response) => {
      if (response.status === 200) onSuccess(response.body);
      else if (response.status === 422 || response.status === 400)
        this.refused.push(`${method} ${target}: ${JSON.stringify(response.body).slice(0, 200)}`);
      else retryLater();
    }, retryLater);
  }
  #nextChangeId(): string {
    this.#changeCount += 1;
    return `trial-${this.#changeCount}`;
  }
  put(document: Policy, onSuccess: () => void = () => undefined, node?: string): void {
    const changeId = this.#nextChangeId();
    this.history.push({ kind: 'proposed', at: this.#now(), changeId, document });
    this.#operate(
      'PUT',
      '/v1/policy',
      document,
      changeId,
      20,
      (body: { revision: number }) => {
        this.history.push({
          kind: 'put',
          at: this.#now(),
          changeId,
          revision: body.revision,
          document,
        });
        onSuccess();
      },
      node,
    );
  }
  read(): void {
    const askedAt = this.#now();
    this.#operate(
      'GET',
      '/v1/policy',
      undefined,
      this.#nextChangeId(),
      0,
      (body: { revision: number }) => {
        this.history.push({ kind: 'read', at: this.#now(), askedAt, revision: body.revision });
      },
    );
  }
  purge(
    objects: readonly string[],
    tags: readonly string[],
    done: () => void = () => undefined,
  ): void {
    const sentAt = this.#now();
    this.#operate('POST', '/v1/purges', { objects, tags }, this.#nextChangeId(), 10, () => {
      this.history.push({ kind: 'purged', at: this.#now(), objects, tags, purgedFrom: sentAt });
      done();
    });
  }
  zone(zone: string, order: 'empty' | 'take-back', done: () => void = () => undefined): void {
    const sentAt = this.#now();
    this.#operate(
      'PUT',
      `/v1/zones/${zone}`,
      { order },
      this.#nextChangeId(),
      10,
      (body: { revision: number }) => {
        this.history.push({
          kind: 'zone',
          at: this.#now(),
          sentAt,
          revision: body.revision,
          zone,
          order,
        });
        done();
      },
    );
  }
  describe(origin: ScenarioOrigin, onNoticed: () => void = () => undefined, node?: string): void {
    this.#applyState(origin);
    const { instance, incarnation, draining } = origin;
    const chosenNode =
      node ?? this.clock.pick(this.machineNames().filter((name) => this.isRunning(name)));
    const standIn = this.fleet.originStandIns.get(origin.spec.instance);
    if (chosenNode === undefined || standIn === undefined || !origin.alive) return;
    standIn.announceTo(this.fleet.apiAddressOf(chosenNode)).then(
      (isAccepted) => {
        if (
          !isAccepted ||
          !draining ||
          this.history.some(
            (entry) =>
              entry.kind === 'drained' &&
              entry.instance === instance &&
              entry.incarnation === incarnation,
          )
        )
          return;
        this.history.push({ kind: 'drained', at: this.#now(), instance, incarnation });
        onNoticed();
      },
      () => undefined,
    );
  }

  submit(
    node: string,
    request: {
      method: string;
      host: string;
      target: string;
      job: string;
      key: string | null;
      content?: string;
    },
    done: (status: number, outcome: string) => void,
    agent?: http.Agent,
  ): void {
    this.#lastSubmission += 1;
    const submission = this.#lastSubmission;
    const { method, host, target, job, key } = request;
    const machine = this.deployment.machines.find((candidate) => candidate.name === node);
    this.history.push({
      kind: 'asked',
      at: this.#now(),
      submission,
      job,
      node,
      zone: machine?.zone ?? '',
      method,
      target,
      key,
    });
    void sendRequest({
      at: this.fleet.clientAddressOf(node),
      method,
      host,
      target,
      job,
      timeoutMs: 12_000,
      ...(key === null ? {} : { key }),
      ...(agent === undefined ? {} : { agent }),
      headers: { 'x-submission': String(submission) },
    }).then((result) => {
      const isSuccess = result.status >= 200 && result.status < 300;
      const problemDetail =
        isSuccess || result.body === ''
          ? ''
          : (() => {
              try {
                return (JSON.parse(result.body) as { detail?: string }).detail ?? '';
              } catch {
                return '';
              }
            })();
      this.history.push({
        kind: 'got',
        at: this.#now(),
        submission,
        job,
        node,
        status: result.status,
        outcome: result.outcome,
        served: result.served,
        retryAfter: result.retryAfter,
        why: problemDetail,
        stamp: result.stamp,
        body: isSuccess
          ? responseBodyOf(method, target, result.body, this.#startedAtWallClock)
          : null,
        hasCompleteBody: result.fault === null,
        method,
        host,
        target,
        copied: result.aged && result.served !== 'origin',
      });
      done(result.status, result.outcome);
    });
  }

  /**
   * Starts a client that sends one request after the other to one front machine, over one connection
   * for as long as that lasts, whether the machine is ready or not.
   */
  startPinnedClient(
    node: string,
    until: number,
    nextRequest: () => { readonly method: string; readonly host: string; readonly target: string },
  ): void {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    let count = 0;
    const sendNext = (): void => {
      if (this.#now() > until) {
        agent.destroy();
        return;
      }
      count += 1;
      const request = nextRequest();
      const job = `pinned-${node}-${this.#lastSubmission}-${count}`;
      const key = request.method === 'POST' ? job : null;
      const done = (status: number): void =>
        this.clock.schedule(
          status >= 200 && status < 300 ? pinnedPauseMs : pinnedRetryMs,
          sendNext,
        );
      this.submit(node, { ...request, job, key }, done, agent);
    };
    sendNext();
  }

  /** Adds the events in the proxies' logs to the history, and sorts the history by time. */
  readProxyLogs(): void {
    const machines = new Map(this.deployment.machines.map((machine) => [machine.name, machine]));
    for (const name of this.fleet.names('front')) {
      for (const line of readFileSync(this.fleet.logFileOf(name, 'proxy'), 'utf8').split('\n')) {
        if (!line.includes('event=trace.')) continue;
        const fields = logFieldsOf(line);
        const atMs = this.trialTimeOf(Date.parse(fields['time'] ?? ''));
        const { zone = '', region = '' } = machines.get(name) ?? {};
        if (fields['event'] === 'trace.attempt' || fields['event'] === 'trace.copy')
          this.history.push({
            kind: 'acted',
            at: atMs,
            node: name,
            revision: Number(fields['revision']),
          });
        if (fields['event'] === 'trace.attempt' && Number(fields['attempt']) > 0)
          this.history.push({ kind: 'repeat', at: atMs });
        if (fields['event'] === 'trace.relay')
          this.history.push({
            kind: 'relay',
            at: atMs,
            from: fields['from'] ?? '',
            to: name,
            zone,
            target: fields['target'] ?? '',
          });
        if (fields['event'] === 'trace.stored')
          for (const key of (fields['keys'] ?? '').split(' '))
            if (key !== '') {
              const slashIndex = key.indexOf('/');
              this.history.push({
                kind: 'stored',
                at: atMs,
                node: name,
                region,
                host: key.slice(0, slashIndex),
                target: key.slice(slashIndex),
              });
            }
      }
    }
    this.history.sort((a, b) => a.at - b.at);
  }
}

/** The newest acknowledged policy of a history, or the given one. */
const newestPolicy = (history: readonly Entry[], first: Policy): Policy =>
  history.findLast((entry) => entry.kind === 'put')?.document ?? first;

/** A request on a random route of a policy; the routes take GET, or POST alone. */
const requestOnRandomRoute = (
  policy: Policy,
  clock: VirtualClock,
): { readonly method: string; readonly host: string; readonly target: string } => {
  const route = clock.pick(policy.routes);
  const isPost = route !== undefined && !(route.methods as readonly string[]).includes('GET');
  const number = Math.floor(objectsPerRoute * clock.random());
  const { host = '', path: target = '/' } = route ?? {};
  return isPost
    ? { method: 'POST', host, target }
    : { method: 'GET', host, target: `${target}${number}` };
};

const startPinnedClients = (
  fleet: TrialFleet,
  clientsPerMachine: number,
  policy: Policy,
  until: number,
): void => {
  for (const node of fleet.fleet.names('front'))
    for (let count = 0; count < clientsPerMachine; count += 1)
      fleet.startPinnedClient(node, until, () =>
        requestOnRandomRoute(newestPolicy(fleet.history, policy), fleet.clock),
      );
};

/** The violations of a trial; while nodes serve on, only connected nodes are judged. */
const violationsOf = (
  scenario: Scenario,
  history: readonly Entry[],
  rules?: readonly number[],
): readonly Violation[] => {
  if (scenario.servesOn !== true) return findViolations(history, rules);
  const connected = connectedHistory(history);
  return [...findViolations(connected, rules), ...findSoakViolations(connected, rules)];
};

/** Scenario of a trial and where it runs. */
export type TrialOptions = {
  readonly example: string;
  readonly deployment: Deployment;
  readonly policy: Policy;
  readonly scenario: string;
  readonly seed: number;
  readonly folder: string;
  readonly seconds?: number;
  readonly rate?: number;
  /** Rules to check; all rules if omitted. */
  readonly rules?: readonly number[];
};
/** Outcome of a trial. */
export type TrialReport = {
  /** Number of client requests. */
  readonly asked: number;
  /** Share of the requests that succeeded. */
  readonly share: number;
  /** Number of the other requests by status and outcome. */
  readonly rest: Readonly<Record<string, number>>;
  readonly violations: readonly Violation[];
  readonly refused: readonly string[];
  readonly attempts: number;
  readonly repeats: number;
  readonly faults: readonly { readonly at: number; readonly what: string }[];
};

/**
 * Plays a scenario of the simulator on a complete fleet of real processes, and checks its history
 * against the simulator's rules.
 *
 * @example
 * const report = await playTrial({ example: 'brandlhuber', deployment, policy, scenario: 'calm', seed: 1, folder: '.run' });
 */
export const playTrial = async (options: TrialOptions): Promise<TrialReport> => {
  const scenario = scenarios[options.scenario];
  if (scenario === undefined)
    throw new TestbedError(
      'unknown',
      `unknown scenario ${options.scenario}; known scenarios: ${Object.keys(scenarios).join(', ')}`,
    );
  const scenarioPolicy = scenario.policy?.(options.policy) ?? options.policy;
  const processFleet = await Fleet.create(options.deployment, options.folder, {
    relays: true,
    trace: true,
    ...(scenario.servesOn === true ? { servesOn: true } : {}),
  });
  const fleet = new TrialFleet(processFleet, options.seed);
  try {
    processFleet.startAll();
    await processFleet.startOrigins(fleet.recordAttempt);
    // The times of the scenario and of the clients count from the start of the processes, because
    // some scenarios wipe disks while the fleet is being founded.
    fleet.put(scenarioPolicy);
    const endMs = 1_000 * (options.seconds ?? scenario.seconds);
    const traffic = {
      rate: options.rate ?? scenario.rate ?? 120,
      crowdedZone: null as string | null,
    };
    fleet.clock.schedule(6_000, () =>
      startClients(
        fleet,
        options.example,
        scenarioPolicy,
        () => traffic.rate,
        endMs - 2_000,
        () => traffic.crowdedZone,
      ),
    );
    fleet.clock.schedule(8_000, () =>
      startPinnedClients(fleet, scenario.pinnedClients ?? 0, scenarioPolicy, endMs - 2_000),
    );
    scenario.play({
      fleet,
      policy: scenarioPolicy,
      traffic,
      endMs,
      sample: () => randomRequest(options.example, fleet.clock),
    });
    await new Promise<void>((resolve) => {
      fleet.clock.schedule(endMs + 13_000, resolve);
    });
  } finally {
    fleet.stopTimers();
    await processFleet.stopAll();
  }
  fleet.readProxyLogs();
  return {
    ...availability(fleet.history, 8_000),
    violations: violationsOf(scenario, fleet.history, options.rules),
    refused: fleet.refused,
    attempts: fleet.history.filter((entry) => entry.kind === 'acted').length,
    repeats: fleet.history.filter((entry) => entry.kind === 'repeat').length,
    faults: fleet.history.flatMap((entry) =>
      entry.kind === 'fault' ? [{ at: entry.at, what: entry.label }] : [],
    ),
  };
};
