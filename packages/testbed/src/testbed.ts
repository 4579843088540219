/** A fleet of real processes on one machine. */

import { spawn, type ChildProcess } from 'node:child_process';
import { closeSync, mkdirSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import {
  startOriginStandIn,
  type OriginStandIn,
  type OriginStandInOptions,
} from '@reedyard/origin-stand-in';
import type { Deployment, Machine } from '@reedyard/topology';
import { CodedError } from '@reedyard/logging';

/** A bench that can't be set up. */
export class TestbedError extends CodedError {}

export type Program = 'agent' | 'proxy' | 'replica';

/** ms one way between two regions. */
const interRegionDelayMs = 6;
const packages = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');
const findFreePort = (): Promise<number> =>
  new Promise((resolve, reject) => {
    const server = net.createServer();
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as net.AddressInfo;
      server.close(() => resolve(port));
    });
  });

const ownerFileName = 'bench.pid';
/** The running bench that a folder belongs to, if any. */
const otherOwnerOf = (folder: string): number | null => {
  try {
    const owner = Number(readFileSync(path.join(folder, ownerFileName), 'utf8'));
    process.kill(owner, 0);
    return owner === process.pid ? null : owner;
  } catch {
    return null;
  }
};

/** An answer of the API. */
export type ApiResponse = {
  readonly status: number;
  readonly body: never;
  readonly headers: http.IncomingHttpHeaders;
};

/**
 * Asks an agent's API.
 *
 * @example
 * await api('127.0.0.1:7080', 'GET', '/v1/status');
 */
export const api = (
  at: string,
  method: string,
  target: string,
  document?: unknown,
  headers: Readonly<Record<string, string>> = {},
): Promise<ApiResponse> =>
  new Promise((resolve, reject) => {
    const text =
      document === undefined
        ? ''
        : typeof document === 'string'
          ? document
          : JSON.stringify(document);
    const request = http.request(
      `http://${at}${target}`,
      {
        method,
        timeout: 10_000,
        headers: {
          ...(text === ''
            ? {}
            : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }),
          ...headers,
        },
      },
      (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', reject);
        response.on('end', () =>
          resolve({
            status: response.statusCode ?? 0,
            headers: response.headers,
            body: JSON.parse(Buffer.concat(chunks).toString('utf8') || 'null') as never,
          }),
        );
      },
    );
    request.on('timeout', () => request.destroy(new Error('no answer')));
    request.on('error', reject);
    request.end(text);
  });

type FleetNode = {
  readonly machine: Machine;
  readonly host: string;
  /** Where its programs listen: another address than the host's where relays stand before them. */
  readonly programHost: string;
  readonly relays: Relay[];
  readonly settingsFile: string;
  readonly folder: string;
  readonly processes: Map<Program, ChildProcess>;
};

/** Stands between a machine's address and its processes, so that its conns can be cut. */
class Relay {
  readonly #pairs = new Set<{ readonly from: string; readonly ends: readonly net.Socket[] }>();
  #server: net.Server | null = null;
  constructor(
    readonly host: string,
    readonly targetHost: string,
    readonly isBlocked: (from: string) => boolean,
    readonly delayOf: (from: string) => number,
  ) {}

  open(port: number): Promise<void> {
    this.#server = net.createServer((outer) => {
      const from = outer.remoteAddress ?? '';
      outer.on('error', () => undefined);
      // Over a cut nothing comes back, not even a refusal.
      if (this.isBlocked(from)) {
        outer.pause();
        return;
      }
      const inner = net.connect({ host: this.targetHost, port });
      const pair = { from, ends: [outer, inner] };
      this.#pairs.add(pair);
      for (const end of pair.ends) {
        end.on('error', () => pair.ends.forEach((each) => each.destroy()));
        end.on('close', () => {
          this.#pairs.delete(pair);
          pair.ends.forEach((each) => each.destroy());
        });
      }
      const delay = this.delayOf(from);
      if (delay === 0) {
        outer.pipe(inner);
        inner.pipe(outer);
        return;
      }
      // Between regions: every piece, and the end, a little later and in order.
      for (const [source, sink] of [
        [outer, inner],
        [inner, outer],
      ] as const) {
        source.on('data', (chunk: Buffer) =>
          setTimeout(() => {
            if (!sink.destroyed) sink.write(chunk);
          }, delay),
        );
        source.on('end', () =>
          setTimeout(() => {
            if (!sink.destroyed) sink.end();
          }, delay),
        );
      }
    });
    const server = this.#server;
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, this.host, resolve);
    });
  }

  /** What is under way over a new cut stops without a word. */
  pauseBlockedConnections(): void {
    for (const { from, ends } of this.#pairs)
      if (this.isBlocked(from))
        for (const end of ends) {
          end.unpipe();
          end.pause();
        }
  }
  /** Conns that a cut has silenced are gone for good once it heals. */
  dropPausedConnections(): void {
    for (const { ends } of this.#pairs) for (const end of ends) if (end.isPaused()) end.destroy();
  }
  close(): void {
    this.#server?.close();
    for (const { ends } of this.#pairs) ends.forEach((end) => end.destroy());
  }
}

/** A whole fleet on this machine; each of its machines has a loopback address of its own. */
export class Fleet {
  readonly #members = new Map<string, FleetNode>();
  readonly originStandIns = new Map<string, OriginStandIn>();
  /** Pairs of addresses between which nothing passes, one way each. */
  readonly #cuts = new Set<string>();

  private constructor(
    readonly deployment: Deployment,
    readonly folder: string,
    readonly network: string,
    readonly preload: readonly string[],
  ) {}

  /** Lays out settings; starts nothing. @example const fleet = await Fleet.lay(deployment, '.run/small') */
  static async create(
    deployment: Deployment,
    folder: string,
    options: {
      readonly relays?: boolean;
      readonly trace?: boolean;
      /** Modules that each program loads first. */ readonly preload?: readonly string[];
    } = {},
  ): Promise<Fleet> {
    // A network of its own, so that several benches may run at once.
    const network = `127.${10 + (process.pid % 200)}.${1 + Math.floor(Math.random() * 250)}`;
    const fleet = new Fleet(deployment, path.resolve(folder), network, options.preload ?? []);
    const owner = otherOwnerOf(fleet.folder);
    if (owner !== null)
      throw new TestbedError(
        'in use',
        `${fleet.folder}: in use by the bench of process ${owner}; wanted another --folder`,
      );
    rmSync(fleet.folder, { recursive: true, force: true });
    mkdirSync(fleet.folder, { recursive: true });
    writeFileSync(path.join(fleet.folder, ownerFileName), String(process.pid));
    for (const machine of deployment.machines)
      await fleet.addNode(machine, options.relays === true, options.trace === true);
    return fleet;
  }

  #hostOf(index: number): string {
    return `${this.network}.${index + 1}`;
  }

  /**
   * Lays out one machine at the next address: one of the deployment, or another that goes by the
   * name of one.
   */
  async addNode(
    machine: Machine,
    relayed: boolean,
    trace: boolean,
    place: string = machine.name,
  ): Promise<void> {
    const index = this.#members.size;
    const host = this.#hostOf(index);
    const listeningHost = relayed ? `${this.network}.${index + 101}` : host;
    const { machines } = this.deployment;
    const disks = machines.filter((each) => each.kind !== 'front');
    const founders = Object.fromEntries(
      disks.map((each) => [each.name, `${this.#hostOf(machines.indexOf(each))}:7101`]),
    );
    const home = path.join(this.folder, place);
    mkdirSync(home, { recursive: true });
    const settings = {
      name: machine.name,
      host,
      ...(relayed ? { listen: listeningHost } : {}),
      zone: machine.zone,
      region: machine.region,
      seeds: disks.slice(0, 3).map((each) => `${this.#hostOf(machines.indexOf(each))}:7001`),
      founders,
      dataFolder: path.join(home, 'data'),
      agent: { port: 7001, apiPort: 7080, feedPort: await findFreePort() },
      ...(machine.kind === 'front'
        ? {
            proxy: {
              port: 8080,
              peerPort: 8081,
              capacityBps: machine.capacityBps ?? 80_000_000,
              ...(trace ? { trace } : {}),
            },
          }
        : { replica: { port: 7101 } }),
    };
    const settingsFile = path.join(home, 'settings.json');
    writeFileSync(settingsFile, `${JSON.stringify(settings, null, 2)}\n`);
    const relays: Relay[] = [];
    if (relayed) {
      const regionOf = (from: string): string =>
        machines.find((each) => this.#members.get(each.name)?.host === from)?.region ??
        machine.region;
      // Cuts are between machines: callers, operators and origins come from outside, past the
      // relays.
      for (const port of machine.kind === 'front' ? [7001, 8081] : [7001, 7101]) {
        const relay = new Relay(
          host,
          listeningHost,
          (from) => this.#cuts.has(`${from}>${host}`),
          (from) => (regionOf(from) === machine.region ? 0 : interRegionDelayMs),
        );
        await relay.open(port);
        relays.push(relay);
      }
    }
    this.#members.set(place, {
      machine,
      host,
      programHost: listeningHost,
      relays,
      settingsFile,
      folder: home,
      processes: new Map(),
    });
  }

  /** Names other seeds, by machine, in the settings of all that start from now on. */
  setSeeds(names: readonly string[]): void {
    const seeds = names.map((name) => `${this.#member(name).host}:7001`);
    for (const { settingsFile } of this.#members.values())
      writeFileSync(
        settingsFile,
        `${JSON.stringify({ ...(JSON.parse(readFileSync(settingsFile, 'utf8')) as object), seeds }, null, 2)}\n`,
      );
  }
  /** Files of a kind that a machine's programs wrote. */
  logFileOf(name: string, program: Program): string {
    return path.join(this.#member(name).folder, `${program}.log`);
  }
  runs(name: string, program: Program): boolean {
    return this.#member(name).processes.has(program);
  }
  nodeNames(): readonly string[] {
    return [...this.#members.keys()];
  }

  #member(name: string): FleetNode {
    const member = this.#members.get(name);
    if (member === undefined) throw new TestbedError('unknown', `no machine is named ${name}`);
    return member;
  }

  programsOf(name: string): readonly Program[] {
    return this.#member(name).machine.kind === 'front' ? ['agent', 'proxy'] : ['replica', 'agent'];
  }
  apiAddressOf(name: string): string {
    return `${this.#member(name).programHost}:7080`;
  }
  clientAddressOf(name: string): string {
    return `${this.#member(name).programHost}:8080`;
  }
  names(kind?: Machine['kind']): readonly string[] {
    return this.deployment.machines
      .filter((machine) => kind === undefined || machine.kind === kind)
      .map((machine) => machine.name);
  }

  /** Starts a machine's programs, or one of them. */
  start(name: string, only?: Program): void {
    const member = this.#member(name);
    for (const program of this.programsOf(name)) {
      if ((only !== undefined && only !== program) || member.processes.has(program)) continue;
      const out = openSync(path.join(member.folder, `${program}.log`), 'a');
      const child = spawn(
        process.execPath,
        [
          ...this.preload.flatMap((module) => ['--import', module]),
          path.join(packages, program, 'dist/main.js'),
          '--settings',
          member.settingsFile,
        ],
        { stdio: ['ignore', out, out] },
      );
      closeSync(out);
      child.on('exit', () => {
        if (member.processes.get(program) === child) member.processes.delete(program);
      });
      member.processes.set(program, child);
    }
  }

  #signal(name: string, signal: NodeJS.Signals, only?: Program): Promise<void> {
    const ends = [...this.#member(name).processes].flatMap(([program, child]) => {
      if (only !== undefined && only !== program) return [];
      const end = new Promise<void>((resolve) => {
        if (child.exitCode !== null || child.signalCode !== null) resolve();
        else child.once('exit', () => resolve());
      });
      child.kill(signal);
      return [end];
    });
    return Promise.all(ends).then(() => undefined);
  }

  /** Any signal, such as one that a preloaded module waits for. */
  sendSignal(name: string, signal: NodeJS.Signals): void {
    void this.#signal(name, signal);
  }
  kill(name: string, only?: Program): Promise<void> {
    return this.#signal(name, 'SIGKILL', only);
  }
  stop(name: string, only?: Program): Promise<void> {
    return this.#signal(name, 'SIGTERM', only);
  }
  freeze(name: string, only?: Program): void {
    void this.#signal(name, 'SIGSTOP', only);
  }
  thaw(name: string, only?: Program): void {
    void this.#signal(name, 'SIGCONT', only);
  }
  /**
   * Cuts a machine off from all others, both ways, or only what it sends or hears. Needs relays.
   */
  cut(name: string, way: 'both' | 'out' | 'in' = 'both'): void {
    const { host } = this.#member(name);
    for (const other of this.#members.values()) {
      if (other.host === host) continue;
      if (way !== 'in') this.#cuts.add(`${host}>${other.host}`);
      if (way !== 'out') this.#cuts.add(`${other.host}>${host}`);
    }
    for (const member of this.#members.values())
      member.relays.forEach((relay) => relay.pauseBlockedConnections());
  }
  /** Cuts one machine's way to another. */
  blockDirection(from: string, to: string): void {
    this.#cuts.add(`${this.#member(from).host}>${this.#member(to).host}`);
    this.#member(to).relays.forEach((relay) => relay.pauseBlockedConnections());
  }
  heal(): void {
    this.#cuts.clear();
    for (const member of this.#members.values())
      member.relays.forEach((relay) => relay.dropPausedConnections());
  }
  /** Takes a dead machine's disk away. */
  wipe(name: string): void {
    rmSync(path.join(this.#member(name).folder, 'data'), { recursive: true, force: true });
  }

  startAll(): void {
    for (const name of this.names()) this.start(name);
  }

  async startOrigins(heard?: OriginStandInOptions['onRequest']): Promise<void> {
    const apis = this.names().map((name) => this.apiAddressOf(name));
    for (const [index, origin] of this.deployment.origins.entries()) {
      this.originStandIns.set(
        origin.instance,
        await startOriginStandIn({
          ...origin,
          incarnation: 1,
          host: `${this.network}.${200 + index}`,
          port: 9000,
          agentApis: [...apis.slice(index % apis.length), ...apis.slice(0, index % apis.length)],
          announceIntervalMs: 1_000,
          maxAge: origin.maxAge ?? 60,
          ...(heard === undefined ? {} : { onRequest: heard }),
        }),
      );
    }
  }

  /** Waits for something to become true, asking every 50 ms; throws once the limit has passed. */
  async waitUntil(what: string, holds: () => Promise<boolean>, limitMs = 30_000): Promise<void> {
    const end = performance.now() + limitMs;
    for (;;) {
      if (await holds().catch(() => false)) return;
      if (performance.now() > end)
        throw new TestbedError(
          'limit',
          `${what}: not within ${limitMs} ms; logs are in ${this.folder}`,
        );
      await new Promise((resolve) => {
        setTimeout(resolve, 50);
      });
    }
  }

  async waitUntilReady(
    names: readonly string[] = this.names('front'),
    limitMs = 30_000,
  ): Promise<void> {
    await this.waitUntil(
      'all ready',
      async () =>
        (
          await Promise.all(
            names.map((name) =>
              api(this.clientAddressOf(name), 'GET', '/.well-known/reedyard/ready'),
            ),
          )
        ).every((answer) => answer.status === 200),
      limitMs,
    );
  }

  async stopAll(): Promise<void> {
    for (const name of this.nodeNames()) this.thaw(name);
    await Promise.all([
      ...this.nodeNames().map((name) => this.kill(name)),
      ...[...this.originStandIns.values()].map((blank) => blank.stop()),
    ]);
    for (const member of this.#members.values()) member.relays.forEach((relay) => relay.close());
  }
}
