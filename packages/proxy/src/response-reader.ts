/**
 * Reads one HTTP response of an origin or a peer: buffers a small one completely and streams a large
 * one. A response without a length ends with its connection: it is complete if the other end closed
 * the connection in order, and cut short if it was reset.
 */
import { createHash } from 'node:crypto';
import type http from 'node:http';
import { errorMessage } from '@reedyard/logging';
import { maxBufferedBodyBytes } from './buffering.js';

const hopByHop = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

const isReedyardField = (name: string): boolean => name.startsWith('reedyard-');

/**
 * Header fields that may be forwarded: without hop-by-hop fields, the fields that `connection` names,
 * and the project's own fields, which only its processes may set.
 *
 * @example
 * forwardableHeaders({ connection: 'x-a', 'x-a': '1', accept: '*' }) // { accept: '*' }
 */
export const forwardableHeaders = (
  headers: http.IncomingHttpHeaders,
  allowsReedyardFields = false,
): Record<string, string | string[]> => {
  const names = String(headers.connection ?? '').split(',');
  const connectionOptions = new Set(names.map((name) => name.trim().toLowerCase()));
  const forwarded: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    const isDropped =
      hopByHop.has(name) ||
      connectionOptions.has(name) ||
      (!allowsReedyardFields && isReedyardField(name));
    if (value !== undefined && !isDropped) forwarded[name] = value;
  }
  return forwarded;
};

/** A response that can be forwarded: completely, or from its start as a stream. */
export type ReadResponse = {
  readonly status: number;
  readonly headers: Record<string, string | string[]>;
  /** A buffer if the body is complete, otherwise the stream of all its bytes. */
  readonly body: Buffer | http.IncomingMessage;
  readonly size: number;
  readonly isComplete: boolean;
};

/**
 * Receives the outcome. A stream that breaks after `ready` is reported to `unusable` as well.
 */
export type ResponseCallbacks = {
  readonly ready: (response: ReadResponse) => void;
  readonly unusable: (why: string, message: string, cause?: unknown) => void;
};

/** The lowest and the highest status of a final response (RFC 9110, section 15). */
const minFinalStatus = 200;
const maxFinalStatus = 599;

/**
 * Whether a status is one of a final response. Node's parser accepts any three digits, and reports a
 * 101 without an upgrade as a response.
 */
const isFinalStatus = (status: number): boolean =>
  status >= minFinalStatus && status <= maxFinalStatus;

/** Whether the end of a response can be told without the end of its connection. */
export const isLengthKnown = (method: string, response: http.IncomingMessage): boolean =>
  method === 'HEAD' ||
  response.statusCode === 204 ||
  response.statusCode === 304 ||
  response.headers['content-length'] !== undefined ||
  response.headers['transfer-encoding'] !== undefined;

const matchesDigest = (response: http.IncomingMessage, body: Buffer): boolean => {
  const field = response.headers['content-digest'];
  if (typeof field !== 'string') return true;
  const match = /(?:^|,)\s*sha-256=:([A-Za-z0-9+/=]+):/.exec(field);
  return match === null || createHash('sha256').update(body).digest('base64') === match[1];
};

/**
 * Reads a response completely, or provides it as a stream once it is too large to buffer. Only
 * origins send responses without a length (`mayBeUnbounded`); a peer frames all of its own.
 *
 * @example
 * readResponse('GET', response, true, { ready: forward, unusable: fail });
 */
export const readResponse = (
  method: string,
  response: http.IncomingMessage,
  mayBeUnbounded: boolean,
  { ready, unusable }: ResponseCallbacks,
): void => {
  const status = response.statusCode ?? 0;
  if (!isFinalStatus(status)) {
    response.on('error', () => undefined);
    unusable('status', `${status} is not the status of a final response`);
    return;
  }
  if (!mayBeUnbounded && !isLengthKnown(method, response)) {
    response.on('error', () => undefined);
    unusable('no-length', 'the response has neither a content-length nor a transfer-encoding');
    return;
  }
  const headers = forwardableHeaders(response.headers, true);
  const chunks: Buffer[] = [];
  let size = 0;
  const onData = (chunk: Buffer): void => {
    chunks.push(chunk);
    size += chunk.length;
    if (size <= maxBufferedBodyBytes) return;
    response.pause();
    response.off('data', onData);
    response.off('end', onEnd);
    response.unshift(Buffer.concat(chunks));
    ready({ status, headers, body: response, size, isComplete: false });
  };
  const onEnd = (): void => {
    const body = Buffer.concat(chunks);
    if (!response.complete) {
      unusable('short', 'the response ended before its announced length');
      return;
    }
    if (!matchesDigest(response, body)) {
      unusable('digest', 'the response body does not match its content-digest');
      return;
    }
    ready({ status, headers, body, size, isComplete: true });
  };
  response.on('data', onData);
  response.on('end', onEnd);
  response.on('error', (error) => unusable('cut', errorMessage(error), error));
};
