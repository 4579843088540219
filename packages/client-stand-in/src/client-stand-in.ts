/** Clients for tests. */

import http from 'node:http';
import { createHash, randomUUID } from 'node:crypto';

/** One request as a caller saw it. */
export type Seen = {
  readonly method: string;
  readonly target: string;
  readonly status: number;
  readonly outcome: string;
  readonly served: string;
  readonly stamp: string;
  readonly durationMs: number;
  readonly retryAfter: boolean;
  readonly aged: boolean;
  readonly job: string;
  readonly body: string;
  readonly detail: string;
  /** What was wrong with a success, if anything. */
  readonly fault: string | null;
};

export type Ask = {
  readonly at: string;
  readonly method: string;
  readonly host: string;
  readonly target: string;
  /** The service that must have answered; left out, any. */ readonly service?: string;
  readonly job?: string;
  readonly body?: string;
  readonly key?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly timeoutMs?: number;
};

const agent = new http.Agent({ keepAlive: true, maxSockets: 512 });

const faultOf = (
  ask: Ask,
  status: number,
  headers: http.IncomingHttpHeaders,
  body: Buffer,
  complete: boolean,
): string | null => {
  if (status < 200 || status > 299 || status === 206) return null;
  if (!complete) return 'not whole';
  const stamp = String(headers['reedyard-stamp'] ?? '');
  const service = ask.service ?? stamp.split('/', 1)[0] ?? '';
  if (service === '' || !stamp.startsWith(`${service}/`)) return `stamp "${stamp}"`;
  if (ask.method !== 'HEAD' && Number(headers['content-length']) !== body.length) return 'length';
  const digest = /sha-256=:([^:]+):/.exec(String(headers['content-digest'] ?? ''))?.[1];
  if (ask.method !== 'HEAD' && digest !== createHash('sha256').update(body).digest('base64'))
    return 'digest';
  const text = body.toString('utf8');
  if (ask.method === 'GET' && !text.startsWith(`${service} ${ask.target} `))
    return "another request's body";
  if (
    ask.method === 'POST' &&
    ask.job !== undefined &&
    (JSON.parse(text) as { ran?: string }).ran !== ask.job
  )
    return "another request's body";
  return null;
};

/**
 * Sends one request and checks its answer: stamp, length, digest, and that it is the one asked for.
 *
 * @example
 * const seen = await feel({ at: '127.0.0.1:8080', method: 'GET', host: 'a.example', target: '/sheets/1', service: 'store' });
 */
export const feel = (ask: Ask): Promise<Seen> =>
  new Promise((resolve) => {
    const began = performance.now();
    const job = ask.job ?? randomUUID();
    const cut = ask.at.lastIndexOf(':');
    const done = (part: Partial<Seen>): void =>
      resolve({
        method: ask.method,
        target: ask.target,
        status: 0,
        outcome: '',
        served: '',
        stamp: '',
        retryAfter: false,
        aged: false,
        detail: '',
        fault: null,
        body: '',
        ...part,
        job,
        durationMs: performance.now() - began,
      });
    const body = ask.body ?? (ask.method === 'POST' ? JSON.stringify({ job }) : '');
    const request = http.request(
      {
        agent,
        host: ask.at.slice(0, cut),
        port: Number(ask.at.slice(cut + 1)),
        method: ask.method,
        path: ask.target,
        timeout: ask.timeoutMs ?? 15_000,
        headers: {
          host: ask.host,
          'x-job': job,
          ...(body === '' ? {} : { 'content-length': Buffer.byteLength(body) }),
          ...(ask.key === undefined ? {} : { 'idempotency-key': ask.key }),
          ...ask.headers,
        },
      },
      (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', () => done({ status: 0, outcome: 'cut' }));
        response.on('end', () => {
          const whole = Buffer.concat(chunks);
          const status = response.statusCode ?? 0;
          done({
            status,
            outcome: String(response.headers['reedyard-outcome'] ?? ''),
            served: String(response.headers['reedyard-served'] ?? ''),
            stamp: String(response.headers['reedyard-stamp'] ?? ''),
            retryAfter: response.headers['retry-after'] !== undefined,
            aged: response.headers.age !== undefined,
            body: whole.toString('utf8'),
            fault: faultOf({ ...ask, job }, status, response.headers, whole, response.complete),
          });
        });
      },
    );
    request.on('timeout', () => request.destroy());
    request.on('error', () => done({ status: 0, outcome: 'no answer' }));
    request.end(body);
  });

/** A sum over what callers saw. */
export type Felt = {
  readonly all: number;
  readonly countByStatus: Readonly<Record<string, number>>;
  readonly served: Readonly<Record<string, number>>;
  readonly faults: readonly string[];
  readonly missingRetryAfterCount: number;
};

/** @example sumUp([]).all // 0 */
export const sumUp = (seen: readonly Seen[]): Felt => {
  const countBy = (key: (each: Seen) => string): Record<string, number> =>
    seen.reduce<Record<string, number>>(
      (all, each) => ({ ...all, [key(each)]: (all[key(each)] ?? 0) + 1 }),
      {},
    );
  return {
    all: seen.length,
    countByStatus: countBy((each) => String(each.status)),
    served: countBy((each) => each.served || 'none'),
    faults: seen.flatMap((each) =>
      each.fault === null ? [] : [`${each.method} ${each.target}: ${each.fault}`],
    ),
    missingRetryAfterCount: seen.filter(
      (each) => [502, 503, 504].includes(each.status) && !each.retryAfter,
    ).length,
  };
};

/** Load by one weighted kind of request. */
export type Kind = {
  readonly weight: number;
  readonly createRequest: (chance: () => number) => Omit<Ask, 'at'>;
};

/**
 * Calls at a steady rate until told to stop; each call goes to a node that the caller's platform
 * chose.
 *
 * @example
 * const load = startLoad({ rate: 50, kinds, choose: () => '127.0.0.1:8080', chance: Math.random });
 * await load.stop(); // all that was seen
 */
export const startLoad = (options: {
  readonly rate: number;
  readonly kinds: readonly Kind[];
  readonly chooseAddress: () => string | undefined;
  readonly random: () => number;
}): { readonly results: readonly Seen[]; readonly stop: () => Promise<readonly Seen[]> } => {
  const seen: Seen[] = [];
  const underWay = new Set<Promise<void>>();
  const total = options.kinds.reduce((sum, kind) => sum + kind.weight, 0);
  let owed = 0;
  let last = performance.now();
  const beat = setInterval(() => {
    const now = performance.now();
    owed = Math.min(owed + (options.rate * (now - last)) / 1_000, options.rate);
    last = now;
    for (; owed >= 1; owed -= 1) {
      let left = options.random() * total;
      const kind = options.kinds.find((each) => {
        left -= each.weight;
        return left < 0;
      });
      const at = options.chooseAddress();
      if (kind === undefined || at === undefined) continue;
      const one = feel({ ...kind.createRequest(options.random), at }).then((result) => {
        seen.push(result);
        underWay.delete(one);
      });
      underWay.add(one);
    }
  }, 10);
  return {
    results: seen,
    stop: async () => {
      clearInterval(beat);
      await Promise.all(underWay);
      return seen;
    },
  };
};
