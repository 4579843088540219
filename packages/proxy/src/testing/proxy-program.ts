/** A proxy as a process of its own, with a feed and an origin from the test. */
import { type ChildProcess, spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import net from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import type { ExecutionContext } from 'ava';
import { serveCalls } from '@reedyard/rpc';
import { originEndpoint, policyOf, waitUntil } from './proxy-harness.js';

const HOST = '127.0.0.1';
const program = fileURLToPath(new URL('../main.js', import.meta.url));

type ClientLimits = Parameters<typeof policyOf>[0];

/** Ports on which nothing currently listens. */
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

const feedOf = (originPort: number, clientLimits: ClientLimits): object => ({
  leaseMs: 600_000,
  life: 'life',
  flushes: 0,
  policy: {
    revision: 1,
    document: policyOf(clientLimits, { requestMs: 600_000, attemptMs: 600_000 }),
  },
  policyRevision: 1,
  origins: [originEndpoint(originPort)],
  peers: [],
  emptied: [],
  split: {},
  slices: { store: 1e9 },
  seated: true,
  purges: [],
  purgeSeq: 0,
  revisions: { origins: 1, peers: 1, emptied: 1, split: 1, slices: 1 },
});

/** A proxy that runs as a process of its own. */
export type ProxyProgram = {
  readonly child: ChildProcess;
  readonly port: number;
  readonly output: () => string;
};

/** How a proxy is started. */
export type ProxyProgramOptions = {
  /** Flags of Node, such as the limit of the heap. */
  readonly nodeFlags?: readonly string[];
  /** The limits on clients in the policy in force. */
  readonly clientLimits?: ClientLimits;
};

/** Starts a proxy as a process with one origin; resolves once its policy is in force. */
export const startProxyProgram = async (
  t: ExecutionContext,
  originPort: number,
  { nodeFlags = [], clientLimits = {} }: ProxyProgramOptions = {},
): Promise<ProxyProgram> => {
  const feed = await serveCalls(
    { host: HOST, port: 0 },
    { '/feed': () => Promise.resolve(feedOf(originPort, clientLimits)) },
  );
  const [port = 0, peerPort = 0] = await freePorts(2);
  const folder = mkdtempSync(path.join(tmpdir(), 'reedyard-proxy-'));
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
  const child = spawn(process.execPath, [...nodeFlags, program, '--settings', file]);
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
