/** Warms a proxy up: it plays requests to itself until the code of each step is compiled. */
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

/** ms. Warming up ends after this at the latest: a share of a core takes some seconds for it. */
const maxWarmUpMs = 4_000;

/**  */
export const warmUpConcurrency = 4;

/**  */
const warmUpBodyBytes = 6_000;

/**
 * requests that a proxy warms itself up with, at once, and bytes of an answer: after some
 * hundred the code of each step is compiled.
 */
export const warmUpRequests = 600;

const host = '127.0.0.1';
const name = 'warm';
const quiet = { info: () => undefined, warn: () => undefined, error: () => undefined };
const places = ['/kept/', '/read/', '/order/'] as const;

const route = (path: string, more: object): Policy['routes'][number] => ({
  name: path,
  host: name,
  path,
  service: name,
  methods: ['GET', 'POST'],
  cache: { keep: 'never' },
  limits: {},
  tagsHeader: 'tags',
  ...more,
});
const policy: Policy = {
  services: { [name]: {} },
  routes: [
    route('/kept/', { repeat: 'safe', cache: { keep: 'always', mostSeconds: 1 } }),
    route('/read/', { repeat: 'safe' }),
    route('/order/', { repeat: 'never' }),
  ],
};

const feedOf = (origin: number, peers: number): Feed => ({
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
  origins: [0, 1].map((which) => ({
    service: name,
    instance: `${name}-${which}`,
    incarnation: 0,
    address: `${host}:${origin}`,
    zone: name,
    region: name,
    capacity: 64,
    slots: 64,
    conns: 64,
    cold: false,
    rate: Infinity,
  })),
  peers: [{ id: 'peer', zone: name, region: name, address: `${host}:${peers}`, delay: 0.001 }],
  split: { '/kept/ @peer': [['peer', 1]], [`/kept/ @${name}`]: [[name, 1]] },
});

const portOf = (server: http.Server): number => (server.address() as AddressInfo).port;

/**
 * Plays some hundred requests through a second proxy in this process, with an origin and a peer on
 * the loopback, so that the code which serves callers is compiled before they come: the first
 * seconds after a start are otherwise several times as dear as later ones. Ends early once `until`
 * says so. Gives how many requests it played, and how many of them were served.
 *
 * @example
 * await warmUp(dialect, settings, () => callersCame);
 */
export const warmUp = async (
  dialect: WireFormat,
  settings: ProxySettings,
  until: () => boolean,
): Promise<{ readonly played: number; readonly served: number }> => {
  const { sample } = dialect;
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
  let peers = 0;
  const proxy = openProxy(
    {
      ...settings,
      name,
      host,
      zone: name,
      region: name,
      proxy: { port: 0, peerPort: 0, capacityBps: settings.proxy.capacityBps, readyPort: 0 },
    },
    dialect,
    {
      logger: quiet,
      queryAgent: (asked: ProxyQuery) =>
        Promise.resolve(
          asked.kind === 'feed'
            ? {
                ...feedOf(originPort, peers),
                revisions: { origins: 1, peers: 1, emptied: 1, split: 1, slices: 1 },
              }
            : { kind: 'granted' },
        ),
    },
  );
  const servers = [await proxy.serve(false, 0), await proxy.serve(true, 0)] as const;
  peers = portOf(servers[1]);
  const agent = new http.Agent({ keepAlive: true, maxSockets: warmUpConcurrency });
  let played = 0;
  let served = 0;
  const one = (number: number): Promise<void> =>
    new Promise((resolve) => {
      const place = places[number % places.length] ?? places[0];
      const order = place === '/order/';
      const request = http.request(
        {
          agent,
          host,
          port: portOf(servers[0]),
          method: order ? 'POST' : 'GET',
          path: `${place}${number % 50}`,
          headers: {
            ...sample.asked(number),
            host: name,
            ...(order ? { 'content-length': '4' } : {}),
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
      request.end(order ? 'warm' : undefined);
    });
  const begunAt = performance.now();
  const over = (): boolean =>
    until() || played >= warmUpRequests || performance.now() - begunAt > maxWarmUpMs;
  await new Promise((resolve) => {
    setTimeout(resolve, 2 * noLeasePollIntervalMs);
  });
  await Promise.all(
    Array.from({ length: warmUpConcurrency }, async () => {
      while (!over()) {
        played += 1;
        await one(played);
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
