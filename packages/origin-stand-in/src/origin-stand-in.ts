/**
 * A test origin: an HTTP server that reports its description to agents and whose faults can be
 * switched on and off.
 */

import http from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { createHash } from 'node:crypto';

/**
 * Faults and reported state of a test origin. A fault given as a number occurs with this
 * probability per response.
 */
export type OriginMode = {
  /** Delay before each response but that to an identity query, in milliseconds. */
  readonly slowMs: number;
  /** Executes unsafe requests, then closes the connection without a response. */
  readonly lose: boolean | number;
  /** Responds with bytes that aren't valid HTTP. */
  readonly garbage: boolean | number;
  /** Responds with a status line that differs in one bit: its status is 000. */
  readonly garbledStatus: boolean | number;
  /** Sends a body shorter than its content-length. */
  readonly short: boolean | number;
  /** Sends a second, unsolicited response after each response. */
  readonly leftover: boolean | number;
  /** Sends a content-digest that doesn't match the body. */
  readonly corrupt: boolean;
  /** Age that responses already have when they are sent, in seconds. */
  readonly aged: number;
  /** Probability of a response body of 3 MB, too large to be buffered completely. */
  readonly large: number;
  /** Stops sending descriptions. */
  readonly silent: boolean;
  readonly capacity: number;
  readonly state: 'cold' | 'warm';
  readonly draining: boolean;
};

/** Identity, address and initial behaviour of a test origin. */
export type OriginStandInOptions = {
  readonly service: string;
  readonly instance: string;
  readonly incarnation: number;
  readonly host: string;
  readonly port: number;
  readonly zone: string;
  readonly region: string;
  readonly capacity: number;
  /** Addresses of agents' APIs; each description goes to the next address in turn. */
  readonly agentApis: readonly string[];
  readonly announceIntervalMs: number;
  readonly mode?: Partial<OriginMode>;
  /** `max-age` of cacheable responses, in seconds. */
  readonly maxAge: number;
  /** Called for each request that names this origin's identity, as soon as it was read. */
  readonly onRequest?: (
    request: http.IncomingMessage,
    context: {
      readonly service: string;
      readonly instance: string;
      readonly incarnation: number;
      readonly zone: string;
      readonly cold: boolean;
      readonly unsafe: boolean;
    },
  ) => void;
};

/** An executed unsafe request: its job id or the start of its body, and the time of execution. */
export type ExecutedRequest = { readonly id: string; readonly at: number };

/** Controls a running test origin. */
export type OriginStandIn = {
  readonly address: string;
  readonly mode: () => OriginMode;
  /** Changes faults and state. Sends a description immediately unless `shouldAnnounce` is false. */
  readonly setMode: (mode: Partial<OriginMode>, shouldAnnounce?: boolean) => void;
  /** Takes another identity at the same address and closes all connections. */
  readonly rename: (
    identity: Partial<Pick<OriginStandInOptions, 'service' | 'instance' | 'incarnation'>>,
  ) => void;
  /** Executed unsafe requests, oldest first. */
  readonly ran: () => readonly ExecutedRequest[];
  /** Number of requests received, apart from requests for the identity. */
  readonly requestCount: () => number;
  /** Header fields of the last request. */
  readonly lastRequestHeaders: () => http.IncomingHttpHeaders;
  /** Starts a new generation of every cacheable response body and returns its number. */
  readonly startNewGeneration: () => number;
  readonly announce: () => Promise<void>;
  /** Sends a description to one node. Resolves to whether the node responded below status 500. */
  readonly announceTo: (apiAddress: string) => Promise<boolean>;
  /** Closes the server and all connections immediately. */
  readonly crash: () => void;
  /** Listens at the same address again after a crash. */
  readonly restart: () => void;
  readonly stop: () => Promise<void>;
};

const postDescription = (apiAddress: string, description: unknown): Promise<boolean> =>
  new Promise((resolve) => {
    const text = JSON.stringify(description);
    const request = http.request(
      `http://${apiAddress}/v1/origins`,
      {
        method: 'POST',
        timeout: 2_000,
        headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) },
      },
      (response) => {
        response.resume();
        response.on('end', () => resolve((response.statusCode ?? 500) < 500));
      },
    );
    request.on('timeout', () => request.destroy());
    request.on('error', () => resolve(false));
    request.end(text);
  });

/**
 * The body of a cacheable response. Its head names the service, target, generation and times, so
 * that tests can check which response a client received.
 *
 * @example
 * responseBodyOf('store', '/sheets/1', 0, 200).startsWith('store /sheets/1 generation=0 ') // true
 */
export const responseBodyOf = (
  service: string,
  target: string,
  generation: number,
  size: number,
  times = { generatedAt: 0, sentAt: 0, maxAgeMs: 0 },
): string => {
  const head = `${service} ${target} generation=${generation} made=${times.generatedAt} sent=${times.sentAt} life=${times.maxAgeMs} `;
  return head + 'x'.repeat(Math.max(0, size - head.length));
};

/** The path at which an origin tells its identity. */
const identityPath = '/.well-known/reedyard-identity';

/** Draws whether a fault occurs; true is always, a number is its probability. */
const isTriggered = (probability: boolean | number): boolean =>
  probability === true ||
  (typeof probability === 'number' && probability > 0 && Math.random() < probability);

/** Starts a test origin in this process. */
export const startOriginStandIn = async (options: OriginStandInOptions): Promise<OriginStandIn> => {
  let identity = {
    service: options.service,
    instance: options.instance,
    incarnation: options.incarnation,
  };
  let mode: OriginMode = {
    slowMs: 0,
    lose: false,
    garbage: false,
    garbledStatus: false,
    short: false,
    leftover: false,
    corrupt: false,
    aged: 0,
    large: 0,
    silent: false,
    capacity: options.capacity,
    state: 'warm',
    draining: false,
    ...options.mode,
  };
  let generation = 0;
  let receivedCount = 0;
  let lastHeaders: http.IncomingHttpHeaders = {};
  const executedRequests: ExecutedRequest[] = [];

  const stampOf = (): string => `${identity.service}/${identity.instance}/${identity.incarnation}`;

  const reportRequest = (request: http.IncomingMessage): void => {
    if (request.headers['reedyard-expect'] !== stampOf()) return;
    options.onRequest?.(request, {
      ...identity,
      zone: options.zone,
      cold: mode.state === 'cold',
      unsafe: request.method !== 'GET' && request.method !== 'HEAD',
    });
  };

  const respond = (
    request: http.IncomingMessage,
    response: http.ServerResponse,
    body: Buffer,
  ): void => {
    const target = request.url ?? '/';
    const stamp = stampOf();
    if (target === identityPath) {
      const text = JSON.stringify(identity);
      response.writeHead(200, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
      });
      response.end(text);
      return;
    }
    const identityHeaders = {
      'reedyard-stamp': stamp,
      'reedyard-attempt': String(request.headers['reedyard-attempt'] ?? ''),
    };
    if (request.headers['reedyard-expect'] !== stamp) {
      response.writeHead(503, {
        ...identityHeaders,
        'reedyard-outcome': 'not-run',
        'content-length': 0,
      });
      response.end();
      return;
    }
    const isUnsafe = request.method !== 'GET' && request.method !== 'HEAD';
    if (isUnsafe)
      executedRequests.push({
        id: String(request.headers['x-job'] ?? body.toString('utf8').slice(0, 100)),
        at: Date.now(),
      });
    if (isUnsafe && isTriggered(mode.lose)) {
      request.socket.destroy();
      return;
    }
    if (isTriggered(mode.garbage)) {
      request.socket.end('\u0000\u0001 not an answer\r\n\r\n');
      return;
    }
    const isShort = isTriggered(mode.short);
    const sentAt = Date.now();
    const size = isTriggered(mode.large)
      ? 3_000_000
      : Number(/size=(\d+)/.exec(target)?.[1] ?? 2_000);
    const text = isUnsafe
      ? JSON.stringify({ ran: String(request.headers['x-job'] ?? ''), by: stamp })
      : responseBodyOf(identity.service, target, generation, size, {
          generatedAt: sentAt - 1_000 * mode.aged,
          sentAt,
          maxAgeMs: 1_000 * options.maxAge,
        });
    const tags = [...target.matchAll(/tag-(\w+)/g)].map((match) => match[1]).join(' ');
    const headers: Record<string, string | number> = {
      ...identityHeaders,
      'content-type': isUnsafe ? 'application/json' : 'text/plain',
      'content-length': Buffer.byteLength(text) + (isShort ? 10 : 0),
      'content-digest': `sha-256=:${createHash('sha256')
        .update(mode.corrupt ? `${text}!` : text)
        .digest('base64')}:`,
      ...(mode.aged > 0 ? { age: mode.aged } : {}),
      ...(isUnsafe
        ? { 'cache-control': 'no-store' }
        : {
            'cache-control': `max-age=${options.maxAge}`,
            etag: `"${identity.service}-${generation}-${size}"`,
          }),
      ...(tags === '' ? {} : { 'surrogate-key': tags }),
    };
    if (isTriggered(mode.garbledStatus)) {
      const fields = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
      request.socket.end(`HTTP/1.1 000 OK\r\n${fields.join('')}\r\n${text}`);
      return;
    }
    response.writeHead(200, headers);
    if (isShort) {
      response.write(text);
      setTimeout(() => request.socket.destroy(), 5);
      return;
    }
    response.end(request.method === 'HEAD' ? undefined : text, () => {
      if (isTriggered(mode.leftover))
        request.socket.write(
          `HTTP/1.1 200 OK\r\nreedyard-stamp: ${stamp}\r\ncontent-length: 7\r\n\r\nforeign`,
        );
    });
  };

  const sockets = new Set<Socket>();
  const server = http.createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('error', () => undefined);
    request.on('end', () => {
      const isIdentityQuery = request.url === identityPath;
      if (!isIdentityQuery) {
        receivedCount += 1;
        lastHeaders = request.headers;
        reportRequest(request);
      }
      const sendResponse = (): void => {
        if (!response.destroyed) respond(request, response, Buffer.concat(chunks));
      };
      if (mode.slowMs > 0 && !isIdentityQuery) setTimeout(sendResponse, mode.slowMs);
      else sendResponse();
    });
  });
  server.keepAliveTimeout = 60_000;
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => undefined);
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.host, resolve);
  });
  const address = `${options.host}:${(server.address() as AddressInfo).port}`;

  let nextApiIndex = 0;
  let isUp = true;
  const currentDescription = (): object => ({
    ...identity,
    address,
    region: options.region,
    zone: options.zone,
    capacity: mode.capacity,
    state: mode.state,
    draining: mode.draining,
  });
  const announce = async (): Promise<void> => {
    for (let attempts = 0; attempts < options.agentApis.length; attempts += 1) {
      const apiAddress = options.agentApis[nextApiIndex % options.agentApis.length] ?? '';
      nextApiIndex += 1;
      if (await postDescription(apiAddress, currentDescription())) return;
    }
  };
  const announceTimer = setInterval(() => {
    if (!mode.silent && isUp) void announce();
  }, options.announceIntervalMs);
  void announce();
  return {
    address,
    mode: () => mode,
    setMode: (change, shouldAnnounce = true) => {
      mode = { ...mode, ...change };
      if (shouldAnnounce) void announce();
    },
    // A new server at an address has no connections of its predecessor.
    rename: (change) => {
      identity = { ...identity, ...change };
      sockets.forEach((socket) => socket.destroy());
      if (isUp && !mode.silent) void announce();
    },
    crash: () => {
      isUp = false;
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
    restart: () => {
      isUp = true;
      server.listen(Number(address.slice(address.lastIndexOf(':') + 1)), options.host);
      void announce();
    },
    announceTo: async (apiAddress) => postDescription(apiAddress, currentDescription()),
    ran: () => executedRequests,
    requestCount: () => receivedCount,
    lastRequestHeaders: () => lastHeaders,
    startNewGeneration: () => {
      generation += 1;
      return generation;
    },
    announce,
    stop: () =>
      new Promise((resolve) => {
        clearInterval(announceTimer);
        server.close(() => resolve());
        sockets.forEach((socket) => socket.destroy());
      }),
  };
};
