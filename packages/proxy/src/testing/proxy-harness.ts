/** A proxy on the loopback with a feed of the test's own, and a caller that writes raw bytes. */
import http from 'node:http';
import net from 'node:net';
import type { AddressInfo } from 'node:net';
import { performance } from 'node:perf_hooks';
import type { Feed, ProxyQuery, OriginEndpoint, PeerEndpoint } from '@reedyard/agent';
import type { Policy } from '@reedyard/schemas';
import { SettingsReader } from '@reedyard/settings';
import { ProxyCore } from '../core.js';
import { reedyardWireFormat, type WireFormat } from '../wire-format.js';
import { openProxy, type ProxyHost, type ProxySettings } from '../proxy-host.js';

const HOST = '127.0.0.1';
const SERVICE = 'store';

/** A dialect in which each request names its origin, and answers echo the request's id. */
export const testWireFormat: WireFormat = {
  ...reedyardWireFormat,
  identity: 'named',
  deadlineMs: (headers) => Number(headers['x-left-ms'] ?? Infinity),
  originRequestFields: ({ origin }) => ({ 'x-intended': origin.instance }),
  readOriginResponse: (status, headers, { headers: asked }) => {
    const echoed = headers['x-request'];
    const misdirected = status === 421;
    const notRun = headers['x-not-run'] !== undefined || misdirected;
    const marked = echoed === asked['x-request'];
    const unmarked = notRun ? null : 'unmarked';
    const unsound = echoed === undefined ? unmarked : marked ? null : 'foreign';
    const anonymous = echoed === undefined;
    return {
      mismatch: unsound,
      notRun,
      isMisdirected: misdirected,
      load: null,
      coldMs: null,
      anonymous,
    };
  },
  stamps: ['x-stamp'],
};

const routeOf = (name: string, more: object): Policy['routes'][number] => ({
  name,
  host: 'a.example',
  path: `/${name}/`,
  service: SERVICE,
  methods: ['GET', 'POST'],
  cache: { keep: 'never' },
  limits: {},
  tagsHeader: 'tags',
  ...more,
});

/** A config with routes that may be repeated, that may not, and whose objects are kept. */
export const policyOf = (callers: Policy['callers'] = {}, limits: object = {}): Policy => ({
  services: { [SERVICE]: {} },
  routes: [
    routeOf('read', { repeat: 'safe', limits }),
    routeOf('order', { repeat: 'never', limits }),
    routeOf('kept', { repeat: 'safe', cache: { keep: 'always', mostSeconds: 60 }, limits }),
  ],
  callers,
});

/** An origin at a port. */
export const originEndpoint = (port: number, instance = 'i1'): OriginEndpoint => ({
  service: SERVICE,
  instance,
  incarnation: 0,
  address: `${HOST}:${port}`,
  zone: 'h',
  region: 'r',
  capacity: 100,
  cold: false,
  slots: null,
  conns: null,
  rate: Infinity,
});

/** What the proxy is fed; tests change it as they go. */
export type FeedParts = {
  policy: { readonly revision: number; readonly document: Policy };
  origins: readonly OriginEndpoint[];
  peers: readonly PeerEndpoint[];
  split: Feed['split'];
};

/** A running proxy with what it was told. */
export type Harness = {
  readonly proxy: ProxyHost;
  readonly feed: FeedParts;
  readonly server: http.Server;
  readonly port: number;
  readonly peerPort: number;
  /** Names of what it logged. */
  readonly logged: string[];
  readonly close: () => void;
};

const nextTurn = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/** Waits for a condition; the verdict is the test's own, which times out if it never holds. */
export const waitUntil = async (holds: () => boolean): Promise<void> => {
  while (!holds()) await nextTurn();
};

const settingsOf = (name: string): ProxySettings =>
  SettingsReader.check(
    {
      name,
      host: HOST,
      zone: 'h',
      region: 'r',
      seeds: [`${HOST}:1`],
      founders: { c: `${HOST}:2` },
      agent: { port: 0, apiPort: 0, feedPort: 0 },
      proxy: { port: 0, peerPort: 0, capacityBps: 1e8, readyPort: 0 },
    },
    'test',
  ) as ProxySettings;

const feedOf = (parts: FeedParts): Feed => ({
  leaseMs: 600_000,
  life: 'life',
  flushes: 0,
  policy: parts.policy,
  policyRevision: parts.policy.revision,
  origins: parts.origins,
  peers: parts.peers,
  emptied: [],
  split: parts.split,
  slices: { [SERVICE]: Infinity },
  seated: true,
  purges: [],
  purgeSeq: 0,
});

const revisions = { origins: 1, peers: 1, emptied: 1, split: 1, slices: 1 };

/**
 * Starts a proxy and waits until it is ready.
 *
 * @example
 * const harness = await startHarness({ origins: [originRow(origin.port)] });
 */
export const startHarness = async (parts: Partial<FeedParts>, name = 'a'): Promise<Harness> => {
  const policy = { revision: 1, document: policyOf() };
  const feed: FeedParts = { policy, origins: [], peers: [], split: {}, ...parts };
  const logged: string[] = [];
  const log = (event: string, fields: unknown): void => {
    logged.push(`${event} ${JSON.stringify(fields)}`);
  };
  const askAgent = (call: ProxyQuery): Promise<unknown> =>
    Promise.resolve(call.kind === 'feed' ? { ...feedOf(feed), revisions } : { kind: 'granted' });
  const logger = { info: log, warn: log, error: log };
  const proxy = openProxy(settingsOf(name), testWireFormat, { logger, queryAgent: askAgent });
  const server = await proxy.serve(false, 0);
  const peers = await proxy.serve(true, 0);
  await waitUntil(() => ProxyCore.ready(proxy.task.peek(), performance.now()));
  return {
    proxy,
    feed,
    server,
    port: (server.address() as AddressInfo).port,
    peerPort: (peers.address() as AddressInfo).port,
    logged,
    close: () => {
      proxy.close();
      for (const each of [server, peers]) {
        each.close();
        each.closeAllConnections();
      }
    },
  };
};

/** An answer as a caller read it. */
export type RawResponse = {
  readonly status: number;
  readonly head: string;
  readonly body: string;
};

/** A caller that writes raw bytes over one connection and keeps all that it reads. */
export class RawClient {
  text = '';
  ended = false;
  closed = false;

  private constructor(readonly socket: net.Socket) {
    socket.on('data', (chunk) => {
      this.text += chunk.toString('latin1');
    });
    socket.on('end', () => {
      this.ended = true;
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.closed = true;
    });
  }

  static async connect(port: number): Promise<RawClient> {
    const socket = net.connect({ host: HOST, port, allowHalfOpen: true });
    await new Promise<void>((resolve, reject) => {
      socket.once('connect', resolve);
      socket.once('error', reject);
    });
    return new RawClient(socket);
  }

  send(method: string, path: string, id: string, body = '', more = ''): void {
    const length = body === '' ? '' : `content-length: ${Buffer.byteLength(body)}\r\n`;
    const head = `${method} ${path} HTTP/1.1\r\nhost: a.example\r\nx-request: ${id}\r\n`;
    this.socket.write(`${head}${length}${more}\r\n${body}`);
  }

  /** All answers that were read whole, in their order. */
  responses(): readonly RawResponse[] {
    const found: RawResponse[] = [];
    let rest = this.text;
    for (;;) {
      const end = rest.indexOf('\r\n\r\n');
      if (end < 0) return found;
      const head = rest.slice(0, end);
      const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
      const body = rest.slice(end + 4, end + 4 + length);
      if (body.length < length) return found;
      found.push({ status: Number(head.slice(9, 12)), head, body });
      rest = rest.slice(end + 4 + length);
    }
  }

  /** The first answers, once there are that many. */
  async waitForResponses(count: number): Promise<readonly RawResponse[]> {
    await waitUntil(() => this.responses().length >= count || this.ended || this.closed);
    return this.responses();
  }
}
