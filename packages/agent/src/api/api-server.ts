/**
 * The HTTP API of operators and origins: reads a request, hands its action on, writes the reply.
 */
import { randomUUID } from 'node:crypto';
import http from 'node:http';
import { CodedError, errorMessage } from '@reedyard/logging';
import { SchemaError, Schemas } from '@reedyard/schemas';
import type { ApiAction } from '../messages.js';
import {
  maxDocumentBytes,
  maxPolicyBytes,
  maxRequestHeadBytes,
  requestHeadTimeoutMs,
} from './http-limits.js';

/** A request to the operators' and origins' API that can't be taken. */
export class ApiError extends CodedError {
  constructor(
    readonly status: number,
    title: string,
    readonly detail: string,
    readonly more: Readonly<Record<string, unknown>> = {},
  ) {
    super(String(status), title);
  }
}

/** What is to be answered. */
export type ApiReply = {
  readonly status: number;
  readonly body: unknown;
  readonly retryAfter?: number;
};

/** Performs an action; the signal tells that its caller is gone. */
export type PerformAction = (action: ApiAction, signal?: AbortSignal) => Promise<ApiReply>;

/**
 * A signal for the connection of a request: it is aborted where the caller closes before the answer
 * is written.
 */
const signalOf = (response: http.ServerResponse): AbortSignal => {
  const controller = new AbortController();
  response.once('close', () => {
    if (!response.writableFinished) controller.abort();
  });
  return controller.signal;
};

const readBytes = (request: http.IncomingMessage, most: number): Promise<Buffer> =>
  new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > most) {
        reject(
          new ApiError(413, 'Document too large', `Documents here have at most ${most} bytes.`),
        );
        request.pause();
      } else chunks.push(chunk);
    });
    request.on('end', () => resolve(Buffer.concat(chunks)));
    request.on('error', reject);
  });

const readBody = async (request: http.IncomingMessage, most: number): Promise<unknown> => {
  const bytes = await readBytes(request, most);
  try {
    return JSON.parse(bytes.toString('utf8'));
  } catch (thrown) {
    throw new ApiError(400, 'Not JSON', errorMessage(thrown));
  }
};

const changeIdOf = (request: http.IncomingMessage): string => {
  const given = request.headers['reedyard-change-id'];
  if (given === undefined) return randomUUID();
  if (typeof given !== 'string' || !/^[\w.:-]{1,128}$/.test(given))
    throw new ApiError(
      400,
      'Bad change id',
      'Reedyard-Change-Id takes 1 to 128 letters, digits, dots, colons, dashes and underscores.',
    );
  return given;
};

const ifMatchOf = (request: http.IncomingMessage): number | null => {
  const given = request.headers['if-match'];
  if (given === undefined) return null;
  const found = /^"?(\d{1,15})"?$/.exec(given);
  if (found === null)
    throw new ApiError(400, 'Bad If-Match', 'If-Match takes the revision of a policy.');
  return Number(found[1]);
};

const gets: Readonly<Record<string, ApiAction['kind']>> = {
  '/v1/policy': 'get-policy',
  '/v1/status': 'status',
  '/v1/shares': 'shares',
  '/v1/peers': 'peers',
  '/ready': 'ready',
  '/live': 'live',
};

const actionOf = async (request: http.IncomingMessage): Promise<ApiAction> => {
  const path = (request.url ?? '/').split('?', 1)[0] ?? '/';
  const method = request.method ?? 'GET';
  const wanted = (allowed: readonly string[]): void => {
    if (!allowed.includes(method))
      throw new ApiError(405, 'Method not allowed', `${path} takes ${allowed.join(', ')}.`);
  };
  const zone = /^\/v1\/zones\/([a-z0-9][a-z0-9-]{0,62})$/.exec(path)?.[1];
  if (zone !== undefined) {
    wanted(['PUT']);
    return {
      kind: 'zone',
      zone,
      ...Schemas.zoneOrder(await readBody(request, maxDocumentBytes)),
      changeId: changeIdOf(request),
    };
  }
  const instance = /^\/v1\/origins\/([a-z0-9][a-z0-9._-]{0,62})$/i.exec(path)?.[1];
  if (instance !== undefined) {
    wanted(['DELETE']);
    return { kind: 'withdraw', instance };
  }
  if (path === '/v1/origins') {
    wanted(['POST']);
    return {
      kind: 'describe',
      description: Schemas.description(await readBody(request, maxDocumentBytes)),
    };
  }
  if (path === '/v1/purges') {
    wanted(['POST']);
    return {
      kind: 'purge',
      purge: Schemas.purge(await readBody(request, maxDocumentBytes)),
      changeId: changeIdOf(request),
    };
  }
  const read = gets[path];
  if (read === undefined)
    throw new ApiError(404, 'No such place', `${path} is not part of this API.`);
  wanted(path === '/v1/policy' ? ['GET', 'PUT'] : ['GET']);
  if (method === 'PUT')
    return {
      kind: 'put-policy',
      document: Schemas.policy(await readBody(request, maxPolicyBytes)),
      ifMatch: ifMatchOf(request),
      changeId: changeIdOf(request),
    };
  return { kind: read } as ApiAction;
};

const problemOf = (thrown: unknown): ApiReply => {
  if (thrown instanceof ApiError)
    return {
      status: thrown.status,
      body: {
        type: 'about:blank',
        title: thrown.message,
        status: thrown.status,
        detail: thrown.detail,
        ...thrown.more,
      },
    };
  if (thrown instanceof SchemaError)
    return {
      status: 422,
      body: {
        type: 'about:blank',
        title: 'Document not accepted',
        status: 422,
        detail: `${thrown.faults.length} fault(s); nothing was changed.`,
        faults: thrown.faults.slice(0, 50),
      },
    };
  return {
    status: 500,
    body: {
      type: 'about:blank',
      title: 'Unexpected fault',
      status: 500,
      detail: errorMessage(thrown),
    },
  };
};

/**
 * The HTTP side of the API. Every action is handed on, and its reply written.
 *
 * @example
 * const server = apiServer((action) => perform(action));
 */
export const apiServer = (act: PerformAction): http.Server => {
  const server = http.createServer(
    {
      maxHeaderSize: maxRequestHeadBytes,
      headersTimeout: requestHeadTimeoutMs,
      requestTimeout: 30_000,
    },
    (request, response) => {
      const signal = signalOf(response);
      void actionOf(request)
        .then((action) => act(action, signal))
        .catch(problemOf)
        .then((reply) => {
          const text = JSON.stringify(reply.body);
          const revision = (reply.body as { readonly revision?: unknown }).revision;
          response.writeHead(reply.status, {
            'content-type': reply.status >= 400 ? 'application/problem+json' : 'application/json',
            'content-length': Buffer.byteLength(text),
            ...(reply.retryAfter === undefined ? {} : { 'retry-after': String(reply.retryAfter) }),
            ...(typeof revision === 'number' && reply.status === 200
              ? { etag: `"${revision}"` }
              : {}),
            ...(reply.status === 413 ? { connection: 'close' } : {}),
          });
          response.end(text);
        });
    },
  );
  server.keepAliveTimeout = 30_000;
  return server;
};

/** A request and an answer of an API in another form. */
export type ApiRequest = {
  readonly method: string;
  readonly target: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Buffer;
  /** Aborted where the caller is gone. */ readonly signal?: AbortSignal;
};
/** The response of an API in another form. */
export type ApiResponse = {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
};
/** An API in another form, which hands each action on. */
export type TranslatedApi = {
  /** Bytes that the body of a request may have; a larger one is answered with 413. */
  readonly maxBodyBytes: (method: string, target: string) => number;
  readonly answer: (request: ApiRequest) => Promise<ApiResponse>;
};

/**
 * Serves an API in another form: it reads requests whole, and writes what they are answered.
 *
 * @example
 * translatedServer({ mostBytes: () => 1_024, answer: async () => ({ status: 204, headers: {}, body: '' }) }).listen(8080);
 */
export const translatedServer = (api: TranslatedApi): http.Server => {
  const server = http.createServer(
    {
      maxHeaderSize: maxRequestHeadBytes,
      headersTimeout: requestHeadTimeoutMs,
      requestTimeout: 30_000,
    },
    (request, response) => {
      const [method, target] = [request.method ?? 'GET', request.url ?? '/'];
      const signal = signalOf(response);
      const failed = (thrown: unknown): ApiResponse => {
        const { status, body } = problemOf(thrown);
        return {
          status,
          headers: { 'content-type': 'application/problem+json' },
          body: JSON.stringify(body),
        };
      };
      void readBytes(request, api.maxBodyBytes(method, target))
        .then((body) => api.answer({ method, target, headers: request.headers, body, signal }))
        .catch(failed)
        .then(({ status, headers, body }) => {
          response.writeHead(status, {
            ...headers,
            'content-length': String(Buffer.byteLength(body)),
            ...(status === 413 ? { connection: 'close' } : {}),
          });
          response.end(body);
        });
    },
  );
  server.keepAliveTimeout = 30_000;
  return server;
};
