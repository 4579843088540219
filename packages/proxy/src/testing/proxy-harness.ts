/** A proxy on the loopback interface with a feed from the test, and a client that writes raw bytes. */
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

/** A wire format in which each request names its origin, and responses echo the request's id. */
export const testWireFormat: WireFormat = {
  ...reedyardWireFormat,
  identity: 'named',
  deadlineMs: (headers) => Number(headers['x-left-ms'] ?? Infinity),
  originRequestFields: ({ origin }) => ({ 'x-intended': origin.instance }),
  readOriginResponse: (status, headers, { headers: requestHeaders }) => {
    const echoed = headers['x-request'];
    const isMisdirected = status === 421;
    const notRun = headers['x-not-run'] !== undefined || isMisdirected;
    const isSameRequest = echoed === requestHeaders['x-request'];
    const missingId = notRun ? null : 'unmarked';
    const mismatch = echoed === undefined ? missingId : isSameRequest ? null : 'foreign';
    const anonymous = echoed === undefined;
    return {
      mismatch,
      notRun,
      isMisdirected,
      load: null,
      coldMs: null,
      anonymous,
    };
  },
  stamps: ['x-stamp'],
};

const routeOf = (name: string, options: object): Policy['routes'][number] => ({
  name,
  host: 'a.example',
  path: `/${name}/`,
  service: SERVICE,
  methods: ['GET', 'POST'],
  cache: { keep: 'never' },
  limits: {},
  tagsHeader: 'tags',
  ...options,
});

/** A configuration with an idempotent route, one that is not idempotent, and a cached one. */
export const policyOf = (clientLimits: Policy['callers'] = {}, limits: object = {}): Policy => ({
  services: { [SERVICE]: {} },
  routes: [
    routeOf('read', { repeat: 'safe', limits }),
    routeOf('order', { repeat: 'never', limits }),
    routeOf('kept', { repeat: 'safe', cache: { keep: 'always', mostSeconds: 60 }, limits }),
  ],
  callers: clientLimits,
});

/** The feed's entry of an origin at a port. */
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

/** The parts of the feed that tests set and may change while the proxy runs. */
export type FeedParts = {
  policy: { readonly revision: number; readonly document: Policy };
  origins: readonly OriginEndpoint[];
  peers: readonly PeerEndpoint[];
  split: Feed['split'];
  /** The proven part of the lease in milliseconds; undefined for all of it. */
  provenLeaseMs?: number;
};

/** A running proxy with its feed, its ports and its log. */
export type Harness = {
  readonly proxy: ProxyHost;
  readonly feed: FeedParts;
  readonly server: http.Server;
  readonly port: number;
  readonly peerPort: number;
  /** The logged events, each followed by its fields in JSON. */
  readonly logged: string[];
  readonly close: () => void;
};

const nextEventLoopTurn = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/** Waits for a condition; if it is never met, the test that waits times out. */
export const waitUntil = async (isMet: () => boolean): Promise<void> => {
  while (!isMet()) await nextEventLoopTurn();
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
  ...(parts.provenLeaseMs === undefined ? {} : { provenLeaseMs: parts.provenLeaseMs }),
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
 * const harness = await startHarness({ origins: [originEndpoint(origin.port)] });
 */
export const startHarness = async (
  parts: Partial<FeedParts>,
  name = 'a',
  wireFormat = testWireFormat,
): Promise<Harness> => {
  const policy = { revision: 1, document: policyOf() };
  const feed: FeedParts = { policy, origins: [], peers: [], split: {}, ...parts };
  const logged: string[] = [];
  const log = (event: string, fields: unknown): void => {
    logged.push(`${event} ${JSON.stringify(fields)}`);
  };
  const queryAgent = (query: ProxyQuery): Promise<unknown> =>
    Promise.resolve(query.kind === 'feed' ? { ...feedOf(feed), revisions } : { kind: 'granted' });
  const logger = { info: log, warn: log, error: log };
  const proxy = openProxy(settingsOf(name), wireFormat, { logger, queryAgent });
  const server = await proxy.serve(false, 0);
  const peerServer = await proxy.serve(true, 0);
  await waitUntil(() => ProxyCore.ready(proxy.task.peek(), performance.now()));
  return {
    proxy,
    feed,
    server,
    port: (server.address() as AddressInfo).port,
    peerPort: (peerServer.address() as AddressInfo).port,
    logged,
    close: () => {
      proxy.close();
      for (const openServer of [server, peerServer]) {
        openServer.close();
        openServer.closeAllConnections();
      }
    },
  };
};

/** A response as a client read it. */
export type RawResponse = {
  readonly status: number;
  readonly head: string;
  readonly body: string;
};

/** A client that writes raw bytes over one connection and records everything that it reads. */
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

  send(method: string, path: string, id: string, body = '', extraFields = ''): void {
    const length = body === '' ? '' : `content-length: ${Buffer.byteLength(body)}\r\n`;
    const head = `${method} ${path} HTTP/1.1\r\nhost: a.example\r\nx-request: ${id}\r\n`;
    this.socket.write(`${head}${length}${extraFields}\r\n${body}`);
  }

  /** All responses that were received completely, in order. */
  responses(): readonly RawResponse[] {
    const responses: RawResponse[] = [];
    let rest = this.text;
    for (;;) {
      const end = rest.indexOf('\r\n\r\n');
      if (end < 0) return responses;
      const head = rest.slice(0, end);
      const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
      const body = rest.slice(end + 4, end + 4 + length);
      if (body.length < length) return responses;
      responses.push({ status: Number(head.slice(9, 12)), head, body });
      rest = rest.slice(end + 4 + length);
    }
  }

  /** Waits for a number of responses, or the end of the connection; returns all responses. */
  async waitForResponses(count: number): Promise<readonly RawResponse[]> {
    await waitUntil(() => this.responses().length >= count || this.ended || this.closed);
    return this.responses();
  }
}
