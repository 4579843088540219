/** Test clients: they send single requests or a steady load, and check each response. */

import http from 'node:http';
import { createHash, randomUUID } from 'node:crypto';

/** A request and its response as the client saw it. */
export type RequestResult = {
  readonly method: string;
  readonly target: string;
  /** HTTP status; 0 without a complete response. */
  readonly status: number;
  /** `reedyard-outcome` of the response; `cut` or `no answer` without a complete response. */
  readonly outcome: string;
  /** `reedyard-served` of the response. */
  readonly served: string;
  /** `reedyard-stamp` of the response: service, instance and incarnation of the origin. */
  readonly stamp: string;
  readonly durationMs: number;
  /** Whether the response has a `retry-after` field. */
  readonly retryAfter: boolean;
  /** Whether the response has an `age` field. */
  readonly aged: boolean;
  readonly job: string;
  readonly body: string;
  readonly detail: string;
  /** Why a successful response is unsound; null if it is sound or not a success. */
  readonly fault: string | null;
};

/** A request to send. */
export type RequestSpec = {
  /** Address to connect to, `IP:PORT`. */
  readonly at: string;
  readonly method: string;
  readonly host: string;
  readonly target: string;
  /** The service whose origin must have responded. Any service is accepted if omitted. */
  readonly service?: string;
  /** Job id, sent as `x-job`; random if omitted. */
  readonly job?: string;
  readonly body?: string;
  /** Idempotency key. */
  readonly key?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly timeoutMs?: number;
  /** The connections to use; those that all requests share if omitted. */
  readonly agent?: http.Agent;
};

const sharedAgent = new http.Agent({ keepAlive: true, maxSockets: 512 });

/** Why a successful response is unsound, or null. Partial content isn't checked. */
const faultOf = (
  spec: RequestSpec,
  status: number,
  headers: http.IncomingHttpHeaders,
  body: Buffer,
  isComplete: boolean,
): string | null => {
  if (status < 200 || status > 299 || status === 206) return null;
  if (!isComplete) return 'incomplete body';
  const stamp = String(headers['reedyard-stamp'] ?? '');
  const service = spec.service ?? stamp.split('/', 1)[0] ?? '';
  if (service === '' || !stamp.startsWith(`${service}/`)) return `unexpected stamp "${stamp}"`;
  if (spec.method !== 'HEAD' && Number(headers['content-length']) !== body.length)
    return 'content-length differs from the body';
  const digest = /sha-256=:([^:]+):/.exec(String(headers['content-digest'] ?? ''))?.[1];
  if (spec.method !== 'HEAD' && digest !== createHash('sha256').update(body).digest('base64'))
    return 'content-digest differs from the body';
  const text = body.toString('utf8');
  if (spec.method === 'GET' && !text.startsWith(`${service} ${spec.target} `))
    return 'body of another request';
  if (
    spec.method === 'POST' &&
    spec.job !== undefined &&
    (JSON.parse(text) as { ran?: string }).ran !== spec.job
  )
    return 'body of another request';
  return null;
};

/**
 * Sends one request and checks a successful response: its stamp, length and digest, and that its
 * body belongs to this request.
 *
 * @example
 * const result = await sendRequest({ at: '127.0.0.1:8080', method: 'GET', host: 'a.example', target: '/sheets/1', service: 'store' });
 */
export const sendRequest = (spec: RequestSpec): Promise<RequestResult> =>
  new Promise((resolve) => {
    const startedAt = performance.now();
    const job = spec.job ?? randomUUID();
    const colonIndex = spec.at.lastIndexOf(':');
    const finish = (fields: Partial<RequestResult>): void =>
      resolve({
        method: spec.method,
        target: spec.target,
        status: 0,
        outcome: '',
        served: '',
        stamp: '',
        retryAfter: false,
        aged: false,
        detail: '',
        fault: null,
        body: '',
        ...fields,
        job,
        durationMs: performance.now() - startedAt,
      });
    const body = spec.body ?? (spec.method === 'POST' ? JSON.stringify({ job }) : '');
    const request = http.request(
      {
        agent: spec.agent ?? sharedAgent,
        host: spec.at.slice(0, colonIndex),
        port: Number(spec.at.slice(colonIndex + 1)),
        method: spec.method,
        path: spec.target,
        timeout: spec.timeoutMs ?? 15_000,
        headers: {
          host: spec.host,
          'x-job': job,
          ...(body === '' ? {} : { 'content-length': Buffer.byteLength(body) }),
          ...(spec.key === undefined ? {} : { 'idempotency-key': spec.key }),
          ...spec.headers,
        },
      },
      (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', () => finish({ status: 0, outcome: 'cut' }));
        response.on('end', () => {
          const responseBody = Buffer.concat(chunks);
          const status = response.statusCode ?? 0;
          finish({
            status,
            outcome: String(response.headers['reedyard-outcome'] ?? ''),
            served: String(response.headers['reedyard-served'] ?? ''),
            stamp: String(response.headers['reedyard-stamp'] ?? ''),
            retryAfter: response.headers['retry-after'] !== undefined,
            aged: response.headers.age !== undefined,
            body: responseBody.toString('utf8'),
            fault: faultOf(
              { ...spec, job },
              status,
              response.headers,
              responseBody,
              response.complete,
            ),
          });
        });
      },
    );
    request.on('timeout', () => request.destroy());
    request.on('error', () => finish({ status: 0, outcome: 'no answer' }));
    request.end(body);
  });

/** Counts over the results of many requests. */
export type LoadSummary = {
  /** Number of requests. */
  readonly all: number;
  readonly countByStatus: Readonly<Record<string, number>>;
  /** Counts by `reedyard-served`; `none` without the field. */
  readonly served: Readonly<Record<string, number>>;
  readonly faults: readonly string[];
  /** Number of responses with status 502, 503 or 504 and without `retry-after`. */
  readonly missingRetryAfterCount: number;
};

/**
 * Counts results by status and by server, and lists faults.
 *
 * @example
 * summarizeResults([]).all // 0
 */
export const summarizeResults = (results: readonly RequestResult[]): LoadSummary => {
  const countBy = (keyOf: (result: RequestResult) => string): Record<string, number> =>
    results.reduce<Record<string, number>>(
      (counts, result) => ({ ...counts, [keyOf(result)]: (counts[keyOf(result)] ?? 0) + 1 }),
      {},
    );
  return {
    all: results.length,
    countByStatus: countBy((result) => String(result.status)),
    served: countBy((result) => result.served || 'none'),
    faults: results.flatMap((result) =>
      result.fault === null ? [] : [`${result.method} ${result.target}: ${result.fault}`],
    ),
    missingRetryAfterCount: results.filter(
      (result) => [502, 503, 504].includes(result.status) && !result.retryAfter,
    ).length,
  };
};

/** A kind of request in a load, drawn in proportion to its weight. */
export type RequestKind = {
  readonly weight: number;
  readonly createRequest: (random: () => number) => Omit<RequestSpec, 'at'>;
};

/**
 * Sends requests at a steady rate, in requests per second, until `stop` is called. Each request
 * goes to the address that `chooseAddress` returns; without an address it is skipped.
 *
 * @example
 * const load = startLoad({ rate: 50, kinds, chooseAddress: () => '127.0.0.1:8080', random: Math.random });
 * await load.stop(); // the results of all requests
 */
export const startLoad = (options: {
  readonly rate: number;
  readonly kinds: readonly RequestKind[];
  readonly chooseAddress: () => string | undefined;
  readonly random: () => number;
}): {
  readonly results: readonly RequestResult[];
  readonly stop: () => Promise<readonly RequestResult[]>;
} => {
  const results: RequestResult[] = [];
  const inFlight = new Set<Promise<void>>();
  const totalWeight = options.kinds.reduce((sum, kind) => sum + kind.weight, 0);
  let dueRequests = 0;
  let lastTickAt = performance.now();
  const timer = setInterval(() => {
    const now = performance.now();
    dueRequests = Math.min(dueRequests + (options.rate * (now - lastTickAt)) / 1_000, options.rate);
    lastTickAt = now;
    for (; dueRequests >= 1; dueRequests -= 1) {
      let remainingWeight = options.random() * totalWeight;
      const kind = options.kinds.find((candidate) => {
        remainingWeight -= candidate.weight;
        return remainingWeight < 0;
      });
      const at = options.chooseAddress();
      if (kind === undefined || at === undefined) continue;
      const pending = sendRequest({ ...kind.createRequest(options.random), at }).then((result) => {
        results.push(result);
        inFlight.delete(pending);
      });
      inFlight.add(pending);
    }
  }, 10);
  return {
    results,
    stop: async () => {
      clearInterval(timer);
      await Promise.all(inFlight);
      return results;
    },
  };
};
