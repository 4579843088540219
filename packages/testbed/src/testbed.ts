/** Runs a fleet of real processes on one machine. */

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

/** Thrown when a testbed cannot be set up, or when an expected condition is not reached. */
export class TestbedError extends CodedError {}

/** The programs of the fleet that the testbed starts as processes. */
export type Program = 'agent' | 'proxy' | 'replica';

/** Simulated one-way delay between two regions, in milliseconds. */
const interRegionDelayMs = 6;
const packages = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');

/**
 * The ports for feeds, which all testbeds of this machine share: below those that the system gives
 * to outgoing connections, and apart for testbeds that run at the same time.
 */
const firstFeedPort = 10_000;
const feedPortsPerTestbed = 110;
const feedPortBlocks = 200;

/** Ports that fleets of this process have, whether their agents listen yet or not. */
const assignedFeedPorts = new Set<number>();

const isPortFree = (port: number): Promise<boolean> =>
  new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });

/**
 * The first free port for the feed of a node, from its own place among the testbed's ports on.
 *
 * @throws TestbedError if none is free
 */
export const findFeedPort = async (nodeIndex: number): Promise<number> => {
  const block = process.pid % feedPortBlocks;
  for (let offset = 0; offset < feedPortBlocks; offset += 1) {
    const nextBlock = (block + offset) % feedPortBlocks;
    const port = firstFeedPort + nextBlock * feedPortsPerTestbed + nodeIndex;
    if (assignedFeedPorts.has(port)) continue;
    assignedFeedPorts.add(port);
    if (await isPortFree(port)) return port;
  }
  throw new TestbedError('in use', `no port for the feed of node ${nodeIndex} is free`);
};

const ownerFileName = 'bench.pid';
/** Process id of another running testbed that uses a folder, or null. */
const otherOwnerOf = (folder: string): number | null => {
  try {
    const ownerPid = Number(readFileSync(path.join(folder, ownerFileName), 'utf8'));
    process.kill(ownerPid, 0);
    return ownerPid === process.pid ? null : ownerPid;
  } catch {
    return null;
  }
};

/** A response of an agent's API. */
export type ApiResponse = {
  readonly status: number;
  readonly body: never;
  readonly headers: http.IncomingHttpHeaders;
};

/**
 * Sends a request to an agent's API and parses the JSON response.
 *
 * @example
 * await api('127.0.0.1:7080', 'GET', '/v1/status');
 */
export const api = (
  address: string,
  method: string,
  target: string,
  payload?: unknown,
  headers: Readonly<Record<string, string>> = {},
): Promise<ApiResponse> =>
  new Promise((resolve, reject) => {
    const text =
      payload === undefined ? '' : typeof payload === 'string' ? payload : JSON.stringify(payload);
    const request = http.request(
      `http://${address}${target}`,
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
    request.on('timeout', () => request.destroy(new Error('no response within 10 s')));
    request.on('error', reject);
    request.end(text);
  });

type FleetNode = {
  readonly machine: Machine;
  readonly host: string;
  /**
   * Address on which the node's programs listen; differs from `host` if relays are in front of
   * them.
   */
  readonly programHost: string;
  readonly relays: Relay[];
  readonly settingsFile: string;
  readonly folder: string;
  readonly processes: Map<Program, ChildProcess>;
};

/**
 * Forwards connections from a node's address to its programs, so that a test can block or delay
 * them.
 */
class Relay {
  readonly #connections = new Set<{
    readonly from: string;
    readonly sockets: readonly net.Socket[];
  }>();
  #server: net.Server | null = null;
  constructor(
    readonly host: string,
    readonly targetHost: string,
    readonly isBlocked: (from: string) => boolean,
    readonly delayMsOf: (from: string) => number,
  ) {}

  open(port: number): Promise<void> {
    this.#server = net.createServer((inbound) => {
      const from = inbound.remoteAddress ?? '';
      inbound.on('error', () => undefined);
      // A network partition returns nothing, not even a refused connection.
      if (this.isBlocked(from)) {
        inbound.pause();
        return;
      }
      const outbound = net.connect({ host: this.targetHost, port });
      const connection = { from, sockets: [inbound, outbound] };
      this.#connections.add(connection);
      for (const socket of connection.sockets) {
        socket.on('error', () => connection.sockets.forEach((paired) => paired.destroy()));
        socket.on('close', () => {
          this.#connections.delete(connection);
          connection.sockets.forEach((paired) => paired.destroy());
        });
      }
      const delayMs = this.delayMsOf(from);
      if (delayMs === 0) {
        inbound.pipe(outbound);
        outbound.pipe(inbound);
        return;
      }
      // Between regions, delays every chunk and the end of the stream, and preserves their order.
      for (const [readable, writable] of [
        [inbound, outbound],
        [outbound, inbound],
      ] as const) {
        readable.on('data', (chunk: Buffer) =>
          setTimeout(() => {
            if (!writable.destroyed) writable.write(chunk);
          }, delayMs),
        );
        readable.on('end', () =>
          setTimeout(() => {
            if (!writable.destroyed) writable.end();
          }, delayMs),
        );
      }
    });
    const server = this.#server;
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, this.host, resolve);
    });
  }

  /** Pauses the open connections from blocked addresses, without closing them. */
  pauseBlockedConnections(): void {
    for (const { from, sockets } of this.#connections)
      if (this.isBlocked(from))
        for (const socket of sockets) {
          socket.unpipe();
          socket.pause();
        }
  }
  /** Destroys the paused connections: once a partition heals, they do not resume. */
  dropPausedConnections(): void {
    for (const { sockets } of this.#connections)
      for (const socket of sockets) if (socket.isPaused()) socket.destroy();
  }
  close(): void {
    this.#server?.close();
    for (const { sockets } of this.#connections) sockets.forEach((socket) => socket.destroy());
  }
}

/**
 * A complete fleet on this machine, in which each simulated machine has its own loopback address.
 */
export class Fleet {
  /** Called when a process ends with an error, or without having been sent a signal. */
  onUnexpectedExit: (name: string, program: Program, how: string) => void = () => undefined;
  readonly #signalled = new WeakSet<ChildProcess>();
  readonly #nodes = new Map<string, FleetNode>();
  readonly originStandIns = new Map<string, OriginStandIn>();
  /** Blocked directions, as `FROM>TO` addresses. */
  readonly #cuts = new Set<string>();

  private constructor(
    readonly deployment: Deployment,
    readonly folder: string,
    readonly network: string,
    readonly preload: readonly string[],
    readonly servesOn: boolean,
  ) {}

  /**
   * Writes the settings of every node and opens the relays; starts no program.
   *
   * @example
   * const fleet = await Fleet.create(deployment, '.run/small');
   */
  static async create(
    deployment: Deployment,
    folder: string,
    options: {
      readonly relays?: boolean;
      readonly trace?: boolean;
      /** Whether nodes keep serving while they are isolated. */
      readonly servesOn?: boolean;
      /** Modules that each program loads before its main module. */
      readonly preload?: readonly string[];
    } = {},
  ): Promise<Fleet> {
    // A separate loopback network, so that several testbeds can run at the same time.
    const network = `127.${10 + (process.pid % 200)}.${1 + Math.floor(Math.random() * 250)}`;
    const fleet = new Fleet(
      deployment,
      path.resolve(folder),
      network,
      options.preload ?? [],
      options.servesOn === true,
    );
    const ownerPid = otherOwnerOf(fleet.folder);
    if (ownerPid !== null)
      throw new TestbedError(
        'in use',
        `${fleet.folder}: in use by the testbed of process ${ownerPid}; choose another --folder`,
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
   * Adds a node at the next address: a machine of the deployment, or a second node that runs under
   * the name of such a machine.
   */
  async addNode(
    machine: Machine,
    hasRelays: boolean,
    tracesRequests: boolean,
    nodeName: string = machine.name,
  ): Promise<void> {
    const index = this.#nodes.size;
    const host = this.#hostOf(index);
    const listeningHost = hasRelays ? `${this.network}.${index + 101}` : host;
    const { machines } = this.deployment;
    const replicaMachines = machines.filter((each) => each.kind !== 'front');
    const founders = Object.fromEntries(
      replicaMachines.map((each) => [each.name, `${this.#hostOf(machines.indexOf(each))}:7101`]),
    );
    const nodeFolder = path.join(this.folder, nodeName);
    mkdirSync(nodeFolder, { recursive: true });
    const settings = {
      name: machine.name,
      host,
      ...(hasRelays ? { listen: listeningHost } : {}),
      zone: machine.zone,
      region: machine.region,
      seeds: replicaMachines
        .slice(0, 3)
        .map((each) => `${this.#hostOf(machines.indexOf(each))}:7001`),
      founders,
      dataFolder: path.join(nodeFolder, 'data'),
      ...(this.servesOn ? { cutOff: 'serve' } : {}),
      agent: { port: 7001, apiPort: 7080, feedPort: await findFeedPort(index) },
      ...(machine.kind === 'front'
        ? {
            proxy: {
              port: 8080,
              peerPort: 8081,
              capacityBps: machine.capacityBps ?? 80_000_000,
              ...(tracesRequests ? { trace: tracesRequests } : {}),
            },
          }
        : { replica: { port: 7101 } }),
    };
    const settingsFile = path.join(nodeFolder, 'settings.json');
    writeFileSync(settingsFile, `${JSON.stringify(settings, null, 2)}\n`);
    const relays: Relay[] = [];
    if (hasRelays) {
      const sourceRegionOf = (from: string): string =>
        machines.find((each) => this.#nodes.get(each.name)?.host === from)?.region ??
        machine.region;
      // Partitions are between machines only: clients, operators and origins connect to the
      // programs directly, without relays.
      for (const port of machine.kind === 'front' ? [7001, 8081] : [7001, 7101]) {
        const relay = new Relay(
          host,
          listeningHost,
          (from) => this.#cuts.has(`${from}>${host}`),
          (from) => (sourceRegionOf(from) === machine.region ? 0 : interRegionDelayMs),
        );
        await relay.open(port);
        relays.push(relay);
      }
    }
    this.#nodes.set(nodeName, {
      machine,
      host,
      programHost: listeningHost,
      relays,
      settingsFile,
      folder: nodeFolder,
      processes: new Map(),
    });
  }

  /**
   * Writes other seeds, given by node name, to the settings that programs read at their next start.
   */
  setSeeds(names: readonly string[]): void {
    const seeds = names.map((name) => `${this.#nodeOf(name).host}:7001`);
    for (const { settingsFile } of this.#nodes.values())
      writeFileSync(
        settingsFile,
        `${JSON.stringify({ ...(JSON.parse(readFileSync(settingsFile, 'utf8')) as object), seeds }, null, 2)}\n`,
      );
  }
  /** Path of the log file of a node's program. */
  logFileOf(name: string, program: Program): string {
    return path.join(this.#nodeOf(name).folder, `${program}.log`);
  }
  isRunning(name: string, program: Program): boolean {
    return this.#nodeOf(name).processes.has(program);
  }
  nodeNames(): readonly string[] {
    return [...this.#nodes.keys()];
  }

  #nodeOf(name: string): FleetNode {
    const node = this.#nodes.get(name);
    if (node === undefined) throw new TestbedError('unknown', `unknown node ${name}`);
    return node;
  }

  programsOf(name: string): readonly Program[] {
    return this.#nodeOf(name).machine.kind === 'front' ? ['agent', 'proxy'] : ['replica', 'agent'];
  }
  apiAddressOf(name: string): string {
    return `${this.#nodeOf(name).programHost}:7080`;
  }
  /** The address at which a node's agent or replica serves calls of other processes. */
  callAddressOf(name: string, program: 'agent' | 'replica'): string {
    return `${this.#nodeOf(name).programHost}:${program === 'agent' ? 7001 : 7101}`;
  }
  clientAddressOf(name: string): string {
    return `${this.#nodeOf(name).programHost}:8080`;
  }
  names(kind?: Machine['kind']): readonly string[] {
    return this.deployment.machines
      .filter((machine) => kind === undefined || machine.kind === kind)
      .map((machine) => machine.name);
  }

  /** Starts those of a node's programs that are not running, or only the given program. */
  start(name: string, only?: Program): void {
    const node = this.#nodeOf(name);
    for (const program of this.programsOf(name)) {
      if ((only !== undefined && only !== program) || node.processes.has(program)) continue;
      this.#startProgram(node, program);
    }
  }

  /**
   * Starts a node's programs although their predecessors still run. Returns a function that sends
   * the predecessors a signal, and resolves once they have ended.
   */
  startSuccessors(name: string): (signal: NodeJS.Signals) => Promise<void> {
    const node = this.#nodeOf(name);
    const predecessors = [...node.processes.values()];
    for (const program of this.programsOf(name)) this.#startProgram(node, program);
    return async (signal) => {
      await Promise.all(predecessors.map((child) => this.#signalChild(child, signal)));
    };
  }

  #startProgram(node: FleetNode, program: Program): void {
    const logFile = openSync(path.join(node.folder, `${program}.log`), 'a');
    const child = spawn(
      process.execPath,
      [
        ...this.preload.flatMap((module) => ['--import', module]),
        path.join(packages, program, 'dist/main.js'),
        '--settings',
        node.settingsFile,
      ],
      { stdio: ['ignore', logFile, logFile] },
    );
    closeSync(logFile);
    child.on('exit', (code, signal) => {
      if (node.processes.get(program) === child) node.processes.delete(program);
      const isError = code !== null && code !== 0;
      if (isError || !this.#signalled.has(child))
        this.onUnexpectedExit(node.machine.name, program, `code ${code}, signal ${signal}`);
    });
    node.processes.set(program, child);
  }

  /** Sends a signal to a process; resolves once the process has ended. */
  #signalChild(child: ChildProcess, signal: NodeJS.Signals): Promise<void> {
    const exit = new Promise<void>((resolve) => {
      if (child.exitCode !== null || child.signalCode !== null) resolve();
      else child.once('exit', () => resolve());
    });
    if (signal === 'SIGTERM' || signal === 'SIGKILL') this.#signalled.add(child);
    child.kill(signal);
    return exit;
  }

  #signal(name: string, signal: NodeJS.Signals, only?: Program): Promise<void> {
    const exits = [...this.#nodeOf(name).processes].flatMap(([program, child]) =>
      only === undefined || only === program ? [this.#signalChild(child, signal)] : [],
    );
    return Promise.all(exits).then(() => undefined);
  }

  /** Sends a signal to a node's programs, for example to a preloaded module. */
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
   * Isolates a node from all others: in both directions, or only for the connections that it opens
   * (`out`) or accepts (`in`). Has no effect without relays.
   */
  cut(name: string, direction: 'both' | 'out' | 'in' = 'both'): void {
    const { host } = this.#nodeOf(name);
    for (const other of this.#nodes.values()) {
      if (other.host === host) continue;
      if (direction !== 'in') this.#cuts.add(`${host}>${other.host}`);
      if (direction !== 'out') this.#cuts.add(`${other.host}>${host}`);
    }
    for (const node of this.#nodes.values())
      node.relays.forEach((relay) => relay.pauseBlockedConnections());
  }
  /** Blocks connections from one node to another. Has no effect without relays. */
  blockDirection(from: string, to: string): void {
    this.#cuts.add(`${this.#nodeOf(from).host}>${this.#nodeOf(to).host}`);
    this.#nodeOf(to).relays.forEach((relay) => relay.pauseBlockedConnections());
  }
  /** Ends all network partitions and drops the connections that they paused. */
  heal(): void {
    this.#cuts.clear();
    for (const node of this.#nodes.values())
      node.relays.forEach((relay) => relay.dropPausedConnections());
  }
  /** Deletes the data folder of a stopped node. */
  wipe(name: string): void {
    rmSync(path.join(this.#nodeOf(name).folder, 'data'), { recursive: true, force: true });
  }

  startAll(): void {
    for (const name of this.names()) this.start(name);
  }

  async startOrigins(onRequest?: OriginStandInOptions['onRequest']): Promise<void> {
    const apiAddresses = this.names().map((name) => this.apiAddressOf(name));
    for (const [index, origin] of this.deployment.origins.entries()) {
      this.originStandIns.set(
        origin.instance,
        await startOriginStandIn({
          ...origin,
          incarnation: 1,
          host: `${this.network}.${200 + index}`,
          port: 9000,
          agentApis: [
            ...apiAddresses.slice(index % apiAddresses.length),
            ...apiAddresses.slice(0, index % apiAddresses.length),
          ],
          announceIntervalMs: 1_000,
          maxAge: origin.maxAge ?? 60,
          ...(onRequest === undefined ? {} : { onRequest: onRequest }),
        }),
      );
    }
  }

  /** Polls a condition every 50 ms until it holds; throws a TestbedError after the timeout. */
  async waitUntil(
    condition: string,
    isMet: () => Promise<boolean>,
    timeoutMs = 30_000,
  ): Promise<void> {
    const deadline = performance.now() + timeoutMs;
    for (;;) {
      if (await isMet().catch(() => false)) return;
      if (performance.now() > deadline)
        throw new TestbedError(
          'limit',
          `${condition}: not reached within ${timeoutMs} ms; logs are in ${this.folder}`,
        );
      await new Promise((resolve) => {
        setTimeout(resolve, 50);
      });
    }
  }

  async waitUntilReady(
    names: readonly string[] = this.names('front'),
    timeoutMs = 30_000,
  ): Promise<void> {
    await this.waitUntil(
      'readiness of the proxies',
      async () =>
        (
          await Promise.all(
            names.map((name) =>
              api(this.clientAddressOf(name), 'GET', '/.well-known/reedyard/ready'),
            ),
          )
        ).every((response) => response.status === 200),
      timeoutMs,
    );
  }

  async stopAll(): Promise<void> {
    for (const name of this.nodeNames()) this.thaw(name);
    await Promise.all([
      ...this.nodeNames().map((name) => this.kill(name)),
      ...[...this.originStandIns.values()].map((originStandIn) => originStandIn.stop()),
    ]);
    for (const node of this.#nodes.values()) node.relays.forEach((relay) => relay.close());
  }
}
