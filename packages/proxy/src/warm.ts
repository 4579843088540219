/** Warms up a proxy: it sends requests to itself until the code that serves them is compiled. */
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { performance } from 'node:perf_hooks';
import {
  type Feed,
  leaseDurationMs,
  noLeasePollIntervalMs,
  type ProxyQuery,
} from '@reedyard/agent';
import type { Policy } from '@reedyard/schemas';
import type { WireFormat } from './wire-format.js';
import { openProxy, type ProxySettings } from './proxy-host.js';

/** The maximum duration of the warm-up, in milliseconds; with a share of a core it takes some seconds. */
const maxWarmUpMs = 4_000;

/** The number of concurrent warm-up requests. */
export const warmUpConcurrency = 4;

/** The size of the warm-up responses, in bytes. */
const warmUpBodyBytes = 6_000;

/** The number of warm-up requests; after some hundred, the code of each step is compiled. */
export const warmUpRequests = 600;

const host = '127.0.0.1';
const name = 'warm';
const silentLogger = { info: () => undefined, warn: () => undefined, error: () => undefined };
const paths = ['/kept/', '/read/', '/order/'] as const;

const routeFor = (path: string, options: object): Policy['routes'][number] => ({
  name: path,
  host: name,
  path,
  service: name,
  methods: ['GET', 'POST'],
  cache: { keep: 'never' },
  limits: {},
  tagsHeader: 'tags',
  ...options,
});
const policy: Policy = {
  services: { [name]: {} },
  routes: [
    routeFor('/kept/', { repeat: 'safe', cache: { keep: 'always', mostSeconds: 1 } }),
    routeFor('/read/', { repeat: 'safe' }),
    routeFor('/order/', { repeat: 'never' }),
  ],
};

const feedOf = (originPort: number, peerPort: number): Feed => ({
  leaseMs: leaseDurationMs,
  life: name,
  flushes: 0,
  policy: { revision: 1, document: policy },
  policyRevision: 1,
  emptied: [],
  slices: { [name]: Infinity },
  seated: true,
  purges: [],
  purgeSeq: 0,
  origins: [0, 1].map((number) => ({
    service: name,
    instance: `${name}-${number}`,
    incarnation: 0,
    address: `${host}:${originPort}`,
    zone: name,
    region: name,
    capacity: 64,
    slots: 64,
    conns: 64,
    cold: false,
    rate: Infinity,
  })),
  peers: [{ id: 'peer', zone: name, region: name, address: `${host}:${peerPort}`, delay: 0.001 }],
  split: { '/kept/ @peer': [['peer', 1]], [`/kept/ @${name}`]: [[name, 1]] },
});

const portOf = (server: http.Server): number => (server.address() as AddressInfo).port;

/**
 * Sends some hundred requests through a second proxy in this process, with an origin and a peer on
 * the loopback interface, so that the code that serves clients is compiled before they connect.
 * Otherwise requests cost several times as much CPU in the first seconds after a start as later.
 * Ends early once `until` returns true. Returns how many requests it sent, and how many were served.
 *
 * @example
 * await warmUp(wireFormat, settings, () => hasClients);
 */
export const warmUp = async (
  wireFormat: WireFormat,
  settings: ProxySettings,
  until: () => boolean,
): Promise<{ readonly played: number; readonly served: number }> => {
  const { sample } = wireFormat;
  if (sample === undefined) return { played: 0, served: 0 };
  const body = Buffer.alloc(warmUpBodyBytes, 'x');
  const origin = http.createServer((request, response) => {
    request.resume();
    request.on('end', () => {
      response.writeHead(200, {
        ...sample.answered(request.headers),
        'content-length': String(body.length),
      });
      response.end(body);
    });
  });
  await new Promise<void>((resolve, reject) => {
    origin.once('error', reject);
    origin.listen(0, host, resolve);
  });
  const originPort = portOf(origin);
  let peerPort = 0;
  const proxy = openProxy(
    {
      ...settings,
      name,
      host,
      zone: name,
      region: name,
      proxy: { port: 0, peerPort: 0, capacityBps: settings.proxy.capacityBps, readyPort: 0 },
    },
    wireFormat,
    {
      logger: silentLogger,
      queryAgent: (query: ProxyQuery) =>
        Promise.resolve(
          query.kind === 'feed'
            ? {
                ...feedOf(originPort, peerPort),
                revisions: { origins: 1, peers: 1, emptied: 1, split: 1, slices: 1 },
              }
            : { kind: 'granted' },
        ),
    },
  );
  const servers = [await proxy.serve(false, 0), await proxy.serve(true, 0)] as const;
  peerPort = portOf(servers[1]);
  const agent = new http.Agent({ keepAlive: true, maxSockets: warmUpConcurrency });
  let played = 0;
  let served = 0;
  const sendRequest = (number: number): Promise<void> =>
    new Promise((resolve) => {
      const path = paths[number % paths.length] ?? paths[0];
      const isOrder = path === '/order/';
      const request = http.request(
        {
          agent,
          host,
          port: portOf(servers[0]),
          method: isOrder ? 'POST' : 'GET',
          path: `${path}${number % 50}`,
          headers: {
            ...sample.asked(number),
            host: name,
            ...(isOrder ? { 'content-length': '4' } : {}),
          },
        },
        (response) => {
          response.resume();
          if (response.statusCode === 200) served += 1;
          response.on('end', resolve);
          response.on('error', () => resolve());
        },
      );
      request.on('error', () => resolve());
      request.end(isOrder ? 'warm' : undefined);
    });
  const startedAt = performance.now();
  const isOver = (): boolean =>
    until() || played >= warmUpRequests || performance.now() - startedAt > maxWarmUpMs;
  await new Promise((resolve) => {
    setTimeout(resolve, 2 * noLeasePollIntervalMs);
  });
  await Promise.all(
    Array.from({ length: warmUpConcurrency }, async () => {
      while (!isOver()) {
        played += 1;
        await sendRequest(played);
      }
    }),
  );
  agent.destroy();
  proxy.close();
  for (const server of [origin, ...servers]) {
    server.close();
    server.closeAllConnections();
  }
  return { played, served };
};
