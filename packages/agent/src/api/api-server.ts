/**
 * The HTTP API for operators and origins: reads a request, passes its action to the handler and
 * writes the response.
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

/** A request to the API for operators and origins that is refused before it becomes an action. */
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

/** The status, body and optional Retry-After of a response. */
export type ActionResponse = {
  readonly status: number;
  readonly body: unknown;
  readonly retryAfter?: number;
};

/** Performs an action; the signal is aborted when the client disconnects. */
export type ActionHandler = (action: ApiAction, signal?: AbortSignal) => Promise<ActionResponse>;

/** A signal that is aborted when the client closes the connection before the response is written. */
const disconnectSignalOf = (response: http.ServerResponse): AbortSignal => {
  const controller = new AbortController();
  response.once('close', () => {
    if (!response.writableFinished) controller.abort();
  });
  return controller.signal;
};

const readBytes = (request: http.IncomingMessage, maxBytes: number): Promise<Buffer> =>
  new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBytes) {
        reject(
          new ApiError(
            413,
            'Document too large',
            `A document at this path may have at most ${maxBytes} bytes.`,
          ),
        );
        request.pause();
      } else chunks.push(chunk);
    });
    request.on('end', () => resolve(Buffer.concat(chunks)));
    request.on('error', reject);
  });

const readBody = async (request: http.IncomingMessage, maxBytes: number): Promise<unknown> => {
  const bytes = await readBytes(request, maxBytes);
  try {
    return JSON.parse(bytes.toString('utf8'));
  } catch (thrown) {
    throw new ApiError(400, 'Not JSON', errorMessage(thrown));
  }
};

const changeIdOf = (request: http.IncomingMessage): string => {
  const changeId = request.headers['reedyard-change-id'];
  if (changeId === undefined) return randomUUID();
  if (typeof changeId !== 'string' || !/^[\w.:-]{1,128}$/.test(changeId))
    throw new ApiError(
      400,
      'Bad change id',
      'Reedyard-Change-Id must consist of 1 to 128 letters, digits, dots, colons, dashes and underscores.',
    );
  return changeId;
};

const ifMatchOf = (request: http.IncomingMessage): number | null => {
  const header = request.headers['if-match'];
  if (header === undefined) return null;
  const match = /^"?(\d{1,15})"?$/.exec(header);
  if (match === null)
    throw new ApiError(400, 'Bad If-Match', 'If-Match must be the revision of a policy.');
  return Number(match[1]);
};

const readActionsByPath: Readonly<Record<string, ApiAction['kind']>> = {
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
  const requireMethod = (allowedMethods: readonly string[]): void => {
    if (!allowedMethods.includes(method))
      throw new ApiError(405, 'Method not allowed', `${path} allows ${allowedMethods.join(', ')}.`);
  };
  const zone = /^\/v1\/zones\/([a-z0-9][a-z0-9-]{0,62})$/.exec(path)?.[1];
  if (zone !== undefined) {
    requireMethod(['PUT']);
    return {
      kind: 'zone',
      zone,
      ...Schemas.zoneOrder(await readBody(request, maxDocumentBytes)),
      changeId: changeIdOf(request),
    };
  }
  const instance = /^\/v1\/origins\/([a-z0-9][a-z0-9._-]{0,62})$/i.exec(path)?.[1];
  if (instance !== undefined) {
    requireMethod(['DELETE']);
    return { kind: 'withdraw', instance };
  }
  if (path === '/v1/origins') {
    requireMethod(['POST']);
    return {
      kind: 'describe',
      description: Schemas.description(await readBody(request, maxDocumentBytes)),
    };
  }
  if (path === '/v1/purges') {
    requireMethod(['POST']);
    return {
      kind: 'purge',
      purge: Schemas.purge(await readBody(request, maxDocumentBytes)),
      changeId: changeIdOf(request),
    };
  }
  const readAction = readActionsByPath[path];
  if (readAction === undefined)
    throw new ApiError(404, 'No such place', `${path} is not part of this API.`);
  requireMethod(path === '/v1/policy' ? ['GET', 'PUT'] : ['GET']);
  if (method === 'PUT')
    return {
      kind: 'put-policy',
      document: Schemas.policy(await readBody(request, maxPolicyBytes)),
      ifMatch: ifMatchOf(request),
      changeId: changeIdOf(request),
    };
  return { kind: readAction } as ApiAction;
};

const problemOf = (thrown: unknown): ActionResponse => {
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
 * An HTTP server for the API. It passes every action to the handler, and writes the response.
 *
 * @example
 * const server = apiServer((action) => perform(action));
 */
export const apiServer = (handleAction: ActionHandler): http.Server => {
  const server = http.createServer(
    {
      maxHeaderSize: maxRequestHeadBytes,
      headersTimeout: requestHeadTimeoutMs,
      requestTimeout: 30_000,
    },
    (request, response) => {
      const signal = disconnectSignalOf(response);
      void actionOf(request)
        .then((action) => handleAction(action, signal))
        .catch(problemOf)
        .then((result) => {
          const text = JSON.stringify(result.body);
          const revision = (result.body as { readonly revision?: unknown }).revision;
          response.writeHead(result.status, {
            'content-type': result.status >= 400 ? 'application/problem+json' : 'application/json',
            'content-length': Buffer.byteLength(text),
            ...(result.retryAfter === undefined
              ? {}
              : { 'retry-after': String(result.retryAfter) }),
            ...(typeof revision === 'number' && result.status === 200
              ? { etag: `"${revision}"` }
              : {}),
            ...(result.status === 413 ? { connection: 'close' } : {}),
          });
          response.end(text);
        });
    },
  );
  server.keepAliveTimeout = 30_000;
  return server;
};

/** A complete HTTP request to an adapter. */
export type ApiRequest = {
  readonly method: string;
  readonly target: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Buffer;
  /** Aborted when the client disconnects. */ readonly signal?: AbortSignal;
};
/** The complete HTTP response of an adapter. */
export type ApiResponse = {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
};
/** An adapter that offers the API in another HTTP form, and translates each request to an action. */
export type ApiAdapter = {
  /** The maximum size of a request's body in bytes; the response to a larger one is 413. */
  readonly maxBodyBytes: (method: string, target: string) => number;
  readonly answer: (request: ApiRequest) => Promise<ApiResponse>;
};

/**
 * An HTTP server for an adapter: it reads complete requests, and writes the adapter's responses.
 *
 * @example
 * apiAdapterServer({ maxBodyBytes: () => 1_024, answer: async () => ({ status: 204, headers: {}, body: '' }) }).listen(8080);
 */
export const apiAdapterServer = (adapter: ApiAdapter): http.Server => {
  const server = http.createServer(
    {
      maxHeaderSize: maxRequestHeadBytes,
      headersTimeout: requestHeadTimeoutMs,
      requestTimeout: 30_000,
    },
    (request, response) => {
      const [method, target] = [request.method ?? 'GET', request.url ?? '/'];
      const signal = disconnectSignalOf(response);
      const failureResponse = (thrown: unknown): ApiResponse => {
        const { status, body } = problemOf(thrown);
        return {
          status,
          headers: { 'content-type': 'application/problem+json' },
          body: JSON.stringify(body),
        };
      };
      void readBytes(request, adapter.maxBodyBytes(method, target))
        .then((body) => adapter.answer({ method, target, headers: request.headers, body, signal }))
        .catch(failureResponse)
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
