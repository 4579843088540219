/** Origins for tests. */

import http from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { createHash } from 'node:crypto';

/** How a stand-in origin behaves; a number is the share of its answers that are so. */
export type Mode = {
  /** ms before each answer. */
  readonly slowMs: number;
  /** Runs unsafe requests, then cuts the conn. */
  readonly lose: boolean | number;
  /** Answers with bytes that are no HTTP. */
  readonly garbage: boolean | number;
  /** Announces a longer body than it sends. */
  readonly short: boolean | number;
  /** Sends a second answer that nobody asked for after each one. */
  readonly leftover: boolean | number;
  /** Sends a body that does not match its digest. */
  readonly corrupt: boolean;
  /** s that its answers are already old. */
  readonly aged: number;
  /** Share of answers too large to be read whole. */
  readonly large: number;
  /** Describes itself no more. */
  readonly silent: boolean;
  readonly capacity: number;
  readonly state: 'cold' | 'warm';
  readonly draining: boolean;
};

export type OriginStandInOptions = {
  readonly service: string;
  readonly instance: string;
  readonly incarnation: number;
  readonly host: string;
  readonly port: number;
  readonly zone: string;
  readonly region: string;
  readonly capacity: number;
  /** APIs of agents to describe itself to, in turn. */
  readonly agentApis: readonly string[];
  readonly announceIntervalMs: number;
  readonly mode?: Partial<Mode>;
  /** s. How long its reports may be kept. */
  readonly maxAge: number;
  /** Told of each request that it takes, and whether it ran. */
  readonly onRequest?: (
    request: http.IncomingMessage,
    by: {
      readonly service: string;
      readonly instance: string;
      readonly incarnation: number;
      readonly zone: string;
      readonly cold: boolean;
      readonly unsafe: boolean;
    },
  ) => void;
};

/** A run of an unsafe request, by the id that its caller gave it. */
export type Ran = { readonly id: string; readonly at: number };

/** A running stand-in origin. */
export type OriginStandIn = {
  readonly address: string;
  readonly mode: () => Mode;
  /** Changes its ways; describes itself at once unless told not to. */
  readonly setMode: (mode: Partial<Mode>, tell?: boolean) => void;
  /** Takes another identity at the same address. */
  readonly rename: (
    identity: Partial<Pick<OriginStandInOptions, 'service' | 'instance' | 'incarnation'>>,
  ) => void;
  readonly ran: () => readonly Ran[];
  readonly requestCount: () => number;
  /** Header fields of the request heard last. */
  readonly lastRequestHeaders: () => http.IncomingHttpHeaders;
  /** A new generation of every report. */
  readonly startNewGeneration: () => number;
  readonly announce: () => Promise<void>;
  /** Describes itself to one node; whether it was taken. */
  readonly announceTo: (api: string) => Promise<boolean>;
  /** Goes down as it stands, and comes back at the same address. */
  readonly crash: () => void;
  readonly restart: () => void;
  readonly stop: () => Promise<void>;
};

const describe = (api: string, document: unknown): Promise<boolean> =>
  new Promise((resolve) => {
    const text = JSON.stringify(document);
    const request = http.request(
      `http://${api}/v1/origins`,
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
 * The body of a report: anyone can tell from it whose it is and of which generation.
 *
 * @example
 * bodyOf('store', '/sheets/1', 0, 200).startsWith('store /sheets/1 generation=0 ') // true
 */
export const bodyOf = (
  service: string,
  target: string,
  generation: number,
  size: number,
  times = { madeAt: 0, sentAt: 0, maxAgeMs: 0 },
): string => {
  const head = `${service} ${target} generation=${generation} made=${times.madeAt} sent=${times.sentAt} life=${times.maxAgeMs} `;
  return head + 'x'.repeat(Math.max(0, size - head.length));
};

const happens = (share: boolean | number): boolean =>
  share === true || (typeof share === 'number' && share > 0 && Math.random() < share);

/** Starts a stand-in origin in this process. */
export const startOriginStandIn = async (options: OriginStandInOptions): Promise<OriginStandIn> => {
  let identity = {
    service: options.service,
    instance: options.instance,
    incarnation: options.incarnation,
  };
  let mode: Mode = {
    slowMs: 0,
    lose: false,
    garbage: false,
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
  let got = 0;
  let heard: http.IncomingHttpHeaders = {};
  const ran: Ran[] = [];

  const answer = (
    request: http.IncomingMessage,
    response: http.ServerResponse,
    body: Buffer,
  ): void => {
    const target = request.url ?? '/';
    const stamp = `${identity.service}/${identity.instance}/${identity.incarnation}`;
    if (target === '/.well-known/reedyard-identity') {
      const text = JSON.stringify(identity);
      response.writeHead(200, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
      });
      response.end(text);
      return;
    }
    const marks = {
      'reedyard-stamp': stamp,
      'reedyard-attempt': String(request.headers['reedyard-attempt'] ?? ''),
    };
    if (request.headers['reedyard-expect'] !== stamp) {
      response.writeHead(503, { ...marks, 'reedyard-outcome': 'not-run', 'content-length': 0 });
      response.end();
      return;
    }
    const unsafe = request.method !== 'GET' && request.method !== 'HEAD';
    options.onRequest?.(request, {
      ...identity,
      zone: options.zone,
      cold: mode.state === 'cold',
      unsafe,
    });
    if (unsafe)
      ran.push({
        id: String(request.headers['x-job'] ?? body.toString('utf8').slice(0, 100)),
        at: Date.now(),
      });
    if (unsafe && happens(mode.lose)) {
      request.socket.destroy();
      return;
    }
    if (happens(mode.garbage)) {
      request.socket.end('\u0000\u0001 not an answer\r\n\r\n');
      return;
    }
    const short = happens(mode.short);
    const sentAt = Date.now();
    const size = happens(mode.large) ? 3_000_000 : Number(/size=(\d+)/.exec(target)?.[1] ?? 2_000);
    const text = unsafe
      ? JSON.stringify({ ran: String(request.headers['x-job'] ?? ''), by: stamp })
      : bodyOf(identity.service, target, generation, size, {
          madeAt: sentAt - 1_000 * mode.aged,
          sentAt,
          maxAgeMs: 1_000 * options.maxAge,
        });
    const tags = [...target.matchAll(/tag-(\w+)/g)].map((found) => found[1]).join(' ');
    const headers: Record<string, string | number> = {
      ...marks,
      'content-type': unsafe ? 'application/json' : 'text/plain',
      'content-length': Buffer.byteLength(text) + (short ? 10 : 0),
      'content-digest': `sha-256=:${createHash('sha256')
        .update(mode.corrupt ? `${text}!` : text)
        .digest('base64')}:`,
      ...(mode.aged > 0 ? { age: mode.aged } : {}),
      ...(unsafe
        ? { 'cache-control': 'no-store' }
        : {
            'cache-control': `max-age=${options.maxAge}`,
            etag: `"${identity.service}-${generation}-${size}"`,
          }),
      ...(tags === '' ? {} : { 'surrogate-key': tags }),
    };
    response.writeHead(200, headers);
    if (short) {
      response.write(text);
      setTimeout(() => request.socket.destroy(), 5);
      return;
    }
    response.end(request.method === 'HEAD' ? undefined : text, () => {
      if (happens(mode.leftover))
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
      if (request.url !== '/.well-known/reedyard-identity') {
        got += 1;
        heard = request.headers;
      }
      const act = (): void => {
        if (!response.destroyed) answer(request, response, Buffer.concat(chunks));
      };
      if (mode.slowMs > 0) setTimeout(act, mode.slowMs);
      else act();
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

  let which = 0;
  let up = true;
  const description = (): object => ({
    ...identity,
    address,
    region: options.region,
    zone: options.zone,
    capacity: mode.capacity,
    state: mode.state,
    draining: mode.draining,
  });
  const announce = async (): Promise<void> => {
    for (let tries = 0; tries < options.agentApis.length; tries += 1) {
      const api = options.agentApis[which % options.agentApis.length] ?? '';
      which += 1;
      if (await describe(api, description())) return;
    }
  };
  const beat = setInterval(() => {
    if (!mode.silent && up) void announce();
  }, options.announceIntervalMs);
  void announce();
  return {
    address,
    mode: () => mode,
    setMode: (change, tell = true) => {
      mode = { ...mode, ...change };
      if (tell) void announce();
    },
    // Whoever takes an address over begins with no conns of the one before.
    rename: (change) => {
      identity = { ...identity, ...change };
      sockets.forEach((socket) => socket.destroy());
      if (up && !mode.silent) void announce();
    },
    crash: () => {
      up = false;
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
    restart: () => {
      up = true;
      server.listen(Number(address.slice(address.lastIndexOf(':') + 1)), options.host);
      void announce();
    },
    announceTo: async (api) => describe(api, description()),
    ran: () => ran,
    requestCount: () => got,
    lastRequestHeaders: () => heard,
    startNewGeneration: () => {
      generation += 1;
      return generation;
    },
    announce,
    stop: () =>
      new Promise((resolve) => {
        clearInterval(beat);
        server.close(() => resolve());
        sockets.forEach((socket) => socket.destroy());
      }),
  };
};
