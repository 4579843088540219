/** Plays a scenario of the simulator on real processes, and reads its history from their logs. */
import { readFileSync } from 'node:fs';
import http from 'node:http';
import { sendRequest } from '@reedyard/client-stand-in';
import type { Policy } from '@reedyard/schemas';
import {
  availability,
  type Entry,
  findViolations,
  type FleetUnderLoad,
  randomRequest,
  type ScenarioOrigin,
  scenarios,
  type SimulatedBody,
  startClients,
  type Violation,
  VirtualClock,
} from '@reedyard/simulator';
import type { Deployment } from '@reedyard/topology';
import { api, Fleet, TestbedError } from './index.js';

/** One line of a log as its pairs. @example pairsOf('time=… event="a b" n=1').event // 'a b' */
export const logFieldsOf = (line: string): Readonly<Record<string, string>> =>
  Object.fromEntries(
    [...line.matchAll(/([\w-]+)=("(?:[^"\\]|\\.)*"|\S*)/g)].map(([, key = '', value = '']) => [
      key,
      value.startsWith('"') ? (JSON.parse(value) as string) : value,
    ]),
  );

/** A report's body, read back from what a stand-in origin sends. */
const responseBodyOf = (
  method: string,
  target: string,
  text: string,
  startedAt: number,
): SimulatedBody | null => {
  const tags = [...target.matchAll(/tag-(\w+)/g)].map((found) => found[1] ?? '');
  if (method === 'POST') {
    const { ran = '', by = '' } = JSON.parse(text) as { ran?: string; by?: string };
    return {
      service: by.split('/', 1)[0] ?? '',
      target,
      job: ran,
      tags,
      madeAt: 0,
      sentAt: 0,
      maxAgeMs: Infinity,
    };
  }
  const found = /^(\S+) (\S+) generation=\d+ made=(\d+) sent=(\d+) life=(\d+) /.exec(text);
  return found === null
    ? null
    : {
        service: found[1] ?? '',
        target: found[2] ?? '',
        job: '',
        tags,
        madeAt: Number(found[3]) - startedAt,
        sentAt: Number(found[4]) - startedAt,
        maxAgeMs: Number(found[5]),
      };
};

/** A fleet of real processes that a scenario plays on, and that writes what the checkers judge. */
export class TrialFleet implements FleetUnderLoad {
  readonly clock: VirtualClock;
  readonly history: Entry[] = [];
  readonly ready = new Map<string, boolean>();
  readonly origins: readonly ScenarioOrigin[];
  readonly refused: string[] = [];
  readonly #startedAt = Date.now();
  readonly #began = performance.now();
  readonly #applied = new Map<ScenarioOrigin, string>();
  readonly #carries = new Map<string, number>();
  #holder: string | undefined;
  #seeds: readonly string[] = [];
  #submission = 0;
  #changes = 0;
  readonly #beats: NodeJS.Timeout[] = [];

  constructor(
    readonly fleet: Fleet,
    seed: number,
  ) {
    this.clock = new VirtualClock(seed);
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
      mode: { slowMs: 5, lose: 0, garbage: 0, short: 0, foreign: 0, aged: 0, large: 0 },
    }));
    // Virtual time follows the true one; what is due runs in its own order.
    this.#beats.push(setInterval(() => this.clock.runUntil(performance.now() - this.#began), 2));
    this.#beats.push(setInterval(() => this.origins.forEach((origin) => this.#apply(origin)), 50));
    this.#beats.push(setInterval(() => this.#watch(), 500));
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
    return performance.now() - this.#began;
  }
  /** A moment of the wall clock, in ms since the trial began. */
  at(wallMs: number): number {
    return wallMs - this.#startedAt;
  }
  stopTimers(): void {
    this.#beats.forEach((beat) => clearInterval(beat));
  }

  /** What an origin heard, as it heard it. */
  readonly recordAttempt = (
    request: http.IncomingMessage,
    by: {
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
    const { service, instance, incarnation, zone, cold } = by;
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
    if (by.unsafe)
      this.history.push({
        kind: 'ran',
        at: this.#now(),
        submission,
        job: String(request.headers['x-job'] ?? ''),
        key: String(request.headers['idempotency-key'] ?? '') || null,
      });
  };

  /** Makes a stand-in origin what the scenario wants it to be. */
  #apply(origin: ScenarioOrigin): void {
    const blank = this.fleet.originStandIns.get(origin.spec.instance);
    if (blank === undefined) return;
    const wanted = JSON.stringify([
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
    const before = this.#applied.get(origin);
    if (before === wanted) return;
    this.#applied.set(origin, wanted);
    const [wasAlive, service, instance, incarnation] = JSON.parse(before ?? '[true]') as [
      boolean,
      string?,
      string?,
      number?,
    ];
    if (wasAlive && !origin.alive) blank.crash();
    if (
      before !== undefined &&
      (service !== origin.service ||
        instance !== origin.instance ||
        incarnation !== origin.incarnation)
    )
      blank.rename({
        service: origin.service,
        instance: origin.instance,
        incarnation: origin.incarnation,
      });
    const { foreign, ...mode } = origin.mode;
    blank.setMode(
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
    if (!wasAlive && origin.alive) blank.restart();
    this.#carry(origin, this.#now());
  }
  #carry(origin: ScenarioOrigin, sentAt: number): void {
    const { service, instance, incarnation, capacity } = origin;
    const name = `${service}/${instance}/${incarnation}`;
    if (this.#carries.get(name) === capacity) return;
    this.#carries.set(name, capacity);
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

  /** Asks as the platform does who is ready, and who has the quotaLeadership. */
  #watch(): void {
    for (const name of this.fleet.names('front')) {
      const box = this.fleet.clientAddressOf(name);
      const request = http.request(
        `http://${box}/.well-known/reedyard/ready`,
        { timeout: 400 },
        (response) => {
          response.resume();
          this.ready.set(name, response.statusCode === 200);
        },
      );
      request.on('timeout', () => request.destroy(new Error('late')));
      request.on('error', () => this.ready.set(name, false));
      request.end();
    }
    const asked = this.clock.pick(this.machineNames().filter((name) => this.isRunning(name)));
    if (asked !== undefined)
      api(this.fleet.apiAddressOf(asked), 'GET', '/v1/shares').then(
        (answer) => {
          if (answer.status === 200)
            this.#holder = (answer.body as { holder: string | null }).holder ?? undefined;
        },
        () => undefined,
      );
  }

  machineNames(): readonly string[] {
    return this.fleet.nodeNames();
  }
  isRunning(name: string): boolean {
    return this.fleet.runs(name, 'agent');
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
    this.fleet.blockDirection(from, to);
  }
  isolate(name: string, way: 'both' | 'out' | 'in' = 'both'): void {
    this.fleet.cut(name, way);
  }
  heal(): void {
    this.fleet.heal();
  }
  startDuplicate(name: string): string {
    const place = `${name}~2`;
    const machine = this.deployment.machines.find((each) => each.name === name);
    if (machine !== undefined)
      void this.fleet.addNode(machine, true, true, place).then(() => this.fleet.start(place));
    return place;
  }
  fault(what: string): void {
    this.history.push({ kind: 'fault', at: this.#now(), label: what });
  }

  /** Sends an operator's call to some node until it is acknowledged. */
  #operate(
    method: string,
    target: string,
    document: unknown,
    changeId: string,
    tries: number,
    done: (body: never) => void,
    node?: string,
  ): void {
    const chosenNode =
      node ?? this.clock.pick(this.machineNames().filter((name) => this.isRunning(name)));
    const again = (): void => {
      if (tries > 0)
        this.clock.schedule(500, () =>
          this.#operate(method, target, document, changeId, tries - 1, done),
        );
    };
    if (chosenNode === undefined) {
      again();
      return;
    }
    api(this.fleet.apiAddressOf(chosenNode), method, target, document, {
      'reedyard-change-id': changeId,
    }).then((answer) => {
      if (answer.status === 200) done(answer.body);
      else if (answer.status === 422 || answer.status === 400)
        this.refused.push(`${method} ${target}: ${JSON.stringify(answer.body).slice(0, 200)}`);
      else again();
    }, again);
  }
  #change(): string {
    this.#changes += 1;
    return `trial-${this.#changes}`;
  }
  put(document: Policy, done: () => void = () => undefined, node?: string): void {
    const changeId = this.#change();
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
        done();
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
      this.#change(),
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
    const turned = this.#now();
    this.#operate('POST', '/v1/purges', { objects, tags }, this.#change(), 10, () => {
      this.history.push({ kind: 'purged', at: this.#now(), objects, tags, purgedFrom: turned });
      done();
    });
  }
  zone(zone: string, order: 'empty' | 'take-back', done: () => void = () => undefined): void {
    const sentAt = this.#now();
    this.#operate(
      'PUT',
      `/v1/zones/${zone}`,
      { order },
      this.#change(),
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
  describe(origin: ScenarioOrigin, noticed: () => void = () => undefined, node?: string): void {
    this.#apply(origin);
    const { instance, incarnation, draining } = origin;
    const chosenNode =
      node ?? this.clock.pick(this.machineNames().filter((name) => this.isRunning(name)));
    const blank = this.fleet.originStandIns.get(origin.spec.instance);
    if (chosenNode === undefined || blank === undefined || !origin.alive) return;
    blank.announceTo(this.fleet.apiAddressOf(chosenNode)).then(
      (taken) => {
        if (
          !taken ||
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
        noticed();
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
  ): void {
    this.#submission += 1;
    const submission = this.#submission;
    const { method, host, target, job, key } = request;
    const machine = this.deployment.machines.find((each) => each.name === node);
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
      headers: { 'x-submission': String(submission) },
    }).then((seen) => {
      const good = seen.status >= 200 && seen.status < 300;
      const problem =
        good || seen.body === ''
          ? ''
          : (() => {
              try {
                return (JSON.parse(seen.body) as { detail?: string }).detail ?? '';
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
        status: seen.status,
        outcome: seen.outcome,
        served: seen.served,
        retryAfter: seen.retryAfter,
        why: problem,
        stamp: seen.stamp,
        body: good ? responseBodyOf(method, target, seen.body, this.#startedAt) : null,
        hasCompleteBody: seen.fault === null,
        method,
        host,
        target,
        copied: seen.aged && seen.served !== 'origin',
      });
      done(seen.status, seen.outcome);
    });
  }

  /** What the proxies' logs tell of their moves. */
  readProxyLogs(): void {
    const machines = new Map(this.deployment.machines.map((machine) => [machine.name, machine]));
    for (const place of this.fleet.names('front')) {
      for (const line of readFileSync(this.fleet.logFileOf(place, 'proxy'), 'utf8').split('\n')) {
        if (!line.includes('event=trace.')) continue;
        const pairs = logFieldsOf(line);
        const at = this.at(Date.parse(pairs['time'] ?? ''));
        const { zone = '', region = '' } = machines.get(place) ?? {};
        if (pairs['event'] === 'trace.attempt' || pairs['event'] === 'trace.copy')
          this.history.push({
            kind: 'acted',
            at,
            node: place,
            revision: Number(pairs['revision']),
          });
        if (pairs['event'] === 'trace.attempt' && Number(pairs['attempt']) > 0)
          this.history.push({ kind: 'repeat', at });
        if (pairs['event'] === 'trace.relay')
          this.history.push({
            kind: 'relay',
            at,
            from: pairs['from'] ?? '',
            to: place,
            zone,
            target: pairs['target'] ?? '',
          });
        if (pairs['event'] === 'trace.stored')
          for (const key of (pairs['keys'] ?? '').split(' '))
            if (key !== '') {
              const cut = key.indexOf('/');
              this.history.push({
                kind: 'stored',
                at,
                node: place,
                region,
                host: key.slice(0, cut),
                target: key.slice(cut),
              });
            }
      }
    }
    this.history.sort((a, b) => a.at - b.at);
  }
}

export type TrialOptions = {
  readonly example: string;
  readonly deployment: Deployment;
  readonly policy: Policy;
  readonly scenario: string;
  readonly seed: number;
  readonly folder: string;
  readonly seconds?: number;
  readonly rate?: number;
  /** Which rules judge it; all where left out. */ readonly rules?: readonly number[];
};
export type TrialReport = {
  readonly asked: number;
  readonly share: number;
  readonly rest: Readonly<Record<string, number>>;
  readonly wrongs: readonly Violation[];
  readonly refused: readonly string[];
  readonly attempts: number;
  readonly repeats: number;
  readonly faults: readonly { readonly at: number; readonly what: string }[];
};

/**
 * Plays a scenario of the simulator on a whole fleet of real processes, and has the same checkers
 * judge it.
 *
 * @example
 * const report = await trial({ example: 'brandlhuber', deployment, policy, scenario: 'calm', seed: 1, folder: '.run' });
 */
export const playTrial = async (options: TrialOptions): Promise<TrialReport> => {
  const scenario = scenarios[options.scenario];
  if (scenario === undefined)
    throw new TestbedError(
      'unknown',
      `no scenario is named ${options.scenario}; there are ${Object.keys(scenarios).join(', ')}`,
    );
  const used = scenario.policy?.(options.policy) ?? options.policy;
  const laid = await Fleet.create(options.deployment, options.folder, {
    relays: true,
    trace: true,
  });
  const fleet = new TrialFleet(laid, options.seed);
  try {
    laid.startAll();
    await laid.startOrigins(fleet.recordAttempt);
    // Some scenarios wipe disks while the fleet is founded: their time runs from the start, as callers' does.
    fleet.put(used);
    const end = 1_000 * (options.seconds ?? scenario.seconds);
    const factor = {
      rate: options.rate ?? scenario.rate ?? 120,
      crowdedZone: null as string | null,
    };
    fleet.clock.schedule(6_000, () =>
      startClients(
        fleet,
        options.example,
        used,
        () => factor.rate,
        end - 2_000,
        () => factor.crowdedZone,
      ),
    );
    scenario.play({
      fleet,
      policy: used,
      traffic: factor,
      endMs: end,
      sample: () => randomRequest(options.example, fleet.clock),
    });
    await new Promise<void>((resolve) => {
      fleet.clock.schedule(end + 13_000, resolve);
    });
  } finally {
    fleet.stopTimers();
    await laid.stopAll();
  }
  fleet.readProxyLogs();
  return {
    ...availability(fleet.history, 8_000),
    wrongs: findViolations(fleet.history, options.rules),
    refused: fleet.refused,
    attempts: fleet.history.filter((entry) => entry.kind === 'acted').length,
    repeats: fleet.history.filter((entry) => entry.kind === 'repeat').length,
    faults: fleet.history.flatMap((entry) =>
      entry.kind === 'fault' ? [{ at: entry.at, what: entry.label }] : [],
    ),
  };
};
