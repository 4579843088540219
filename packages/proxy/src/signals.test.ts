import { type ChildProcess, spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import net from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { serveCalls } from '@reedyard/rpc';
import { maxBufferedBodyBytes } from './buffering.js';
import { originEndpoint, policyOf, RawClient, waitUntil } from './testing/proxy-harness.js';
import {
  responseBytes,
  type Script,
  type ScriptedOrigin,
  type ReceivedRequest,
  startScriptedOrigin,
} from './testing/scripted-origin.js';

const HOST = '127.0.0.1';
const program = fileURLToPath(new URL('./main.js', import.meta.url));

const identity = { service: 'store', instance: 'i1', incarnation: 0 };
const stamp = 'store/i1/0';

const sound = (request: ReceivedRequest, body = request.path): string => {
  const correlation = request.headers['reedyard-attempt'] ?? '';
  return responseBytes(200, { 'reedyard-stamp': stamp, 'reedyard-attempt': correlation }, body);
};

/** An origin that proves who it is and holds back all else until the test lets it go. */
class HeldOrigin {
  readonly #held: (() => void)[] = [];

  readonly script: Script = (request, socket) => {
    if (request.path === '/.well-known/reedyard-identity') {
      socket.write(responseBytes(200, {}, JSON.stringify(identity)));
    } else if (request.path === '/read/large') {
      const whole = sound(request, 'x'.repeat(maxBufferedBodyBytes + 1_000_000));
      socket.write(whole.slice(0, -1_000));
      this.#held.push(() => socket.write(whole.slice(-1_000)));
    } else {
      this.#held.push(() => socket.write(sound(request)));
    }
  };

  get size(): number {
    return this.#held.length;
  }

  releaseAll(): void {
    this.#held.splice(0).forEach((release) => release());
  }
}

/** Ports that nothing listens on at the moment. */
const freePorts = async (count: number): Promise<readonly number[]> => {
  const servers = await Promise.all(
    Array.from({ length: count }, async () => {
      const server = net.createServer();
      await new Promise<void>((resolve) => {
        server.listen(0, HOST, resolve);
      });
      return server;
    }),
  );
  const ports = servers.map((server) => (server.address() as net.AddressInfo).port);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
};

const feedOf = (origin: ScriptedOrigin): object => ({
  leaseMs: 600_000,
  life: 'life',
  flushes: 0,
  policy: { revision: 1, document: policyOf({}, { requestMs: 600_000, attemptMs: 600_000 }) },
  policyRevision: 1,
  origins: [originEndpoint(origin.port)],
  peers: [],
  emptied: [],
  split: {},
  slices: { store: 1e9 },
  seated: true,
  purges: [],
  purgeSeq: 0,
  revisions: { origins: 1, peers: 1, emptied: 1, split: 1, slices: 1 },
});

type Running = {
  readonly child: ChildProcess;
  readonly port: number;
  readonly output: () => string;
};

const startProgram = async (t: ExecutionContext, origin: ScriptedOrigin): Promise<Running> => {
  const feed = await serveCalls(
    { host: HOST, port: 0 },
    { '/feed': () => Promise.resolve(feedOf(origin)) },
  );
  const [port = 0, peerPort = 0] = await freePorts(2);
  const folder = mkdtempSync(path.join(tmpdir(), 'reedyard-signals-'));
  const file = path.join(folder, 'settings.json');
  const leave = { graceMs: 300, mostMs: 600_000 };
  const settings = {
    name: 'a',
    host: HOST,
    zone: 'h',
    region: 'r',
    seeds: [`${HOST}:1`],
    founders: { c: `${HOST}:2` },
    agent: { port: 0, apiPort: 0, feedPort: feed.port },
    proxy: { port, peerPort, capacityBps: 1e8, leave },
  };
  writeFileSync(file, JSON.stringify(settings));
  const child = spawn(process.execPath, [program, '--settings', file]);
  let output = '';
  child.stdout.on('data', (chunk: Buffer) => {
    output += chunk.toString();
  });
  child.stderr.on('data', (chunk: Buffer) => {
    output += chunk.toString();
  });
  t.teardown(async () => {
    child.kill('SIGKILL');
    await feed.close();
    rmSync(folder, { recursive: true });
  });
  await waitUntil(() => output.includes('policy.in-force') || child.exitCode !== null);
  return { child, port, output: () => output };
};

/** Pipelined requests on one connection, one that may not be repeated, and a streamed answer. */
const sendRequests = async (port: number): Promise<readonly RawClient[]> => {
  const [pipelined, ordering, streaming] = await Promise.all([
    RawClient.connect(port),
    RawClient.connect(port),
    RawClient.connect(port),
  ]);
  for (const number of [1, 2, 3]) pipelined.send('GET', `/read/${number}`, `r${number}`);
  ordering.send('POST', '/order/1', 'r4', 'pay');
  streaming.send('GET', '/read/large', 'r5');
  return [pipelined, ordering, streaming];
};

const served = (callers: readonly RawClient[]): readonly (readonly number[])[] =>
  callers.map((caller) => caller.responses().map(({ status }) => status));

test('SIGHUP and SIGTERM in the middle of requests: each is answered whole, and run once', async (t) => {
  const held = new HeldOrigin();
  const origin = await startScriptedOrigin(held.script);
  t.teardown(() => origin.close());
  const { child, port, output } = await startProgram(t, origin);
  const callers = await sendRequests(port);
  await waitUntil(() => held.size === 5 && (callers[2]?.text.length ?? 0) > maxBufferedBodyBytes);
  child.kill('SIGHUP');
  await waitUntil(() => output().includes('hangup') || child.exitCode !== null);
  child.kill('SIGTERM');
  await waitUntil(() => output().includes('stopping') || child.exitCode !== null);
  held.releaseAll();
  await waitUntil(() => callers.every((caller) => caller.ended || caller.closed));
  t.deepEqual(served(callers), [[200, 200, 200], [200], [200]]);
  await waitUntil(() => child.exitCode !== null || child.signalCode !== null);
  t.is(child.exitCode, 0);
  const targets = origin.requests.map(({ path: target }) => target);
  const runs = targets.filter((target) => !target.startsWith('/.')).sort();
  t.deepEqual(runs, ['/order/1', '/read/1', '/read/2', '/read/3', '/read/large']);
  t.true(output().includes('cutOff=0'), output());
});
