/**
 * Reads one HTTP answer of an origin or a peer: whole where it is small, and handed on as it comes
 * where it is large. An answer whose end can't be told from a connection that broke is no answer.
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

const isOwn = (name: string): boolean => name.startsWith('reedyard-');

/**
 * Header fields that may be passed on: without those of one hop, those that `connection` names, and
 * the project's own, which only its processes may set.
 *
 * @example
 * passable({ connection: 'x-a', 'x-a': '1', accept: '*' }) // { accept: '*' }
 */
export const forwardableHeaders = (
  headers: http.IncomingHttpHeaders,
  own = false,
): Record<string, string | string[]> => {
  const names = String(headers.connection ?? '').split(',');
  const named = new Set(names.map((name) => name.trim().toLowerCase()));
  const passed: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    const dropped = hopByHop.has(name) || named.has(name) || (!own && isOwn(name));
    if (value !== undefined && !dropped) passed[name] = value;
  }
  return passed;
};

/** An answer that can be passed on, whole or at its begin. */
export type ReadResponse = {
  readonly status: number;
  readonly headers: Record<string, string | string[]>;
  /** A buffer where it is whole, or else the stream of all its bytes. */
  readonly body: Buffer | http.IncomingMessage;
  readonly size: number;
  readonly isComplete: boolean;
};

/** Told once, of the first that happens. */
export type ResponseCallbacks = {
  readonly ready: (answer: ReadResponse) => void;
  readonly unusable: (why: string, message: string, cause?: unknown) => void;
};

const lengthKnown = (method: string, response: http.IncomingMessage): boolean =>
  method === 'HEAD' ||
  response.statusCode === 204 ||
  response.statusCode === 304 ||
  response.headers['content-length'] !== undefined ||
  response.headers['transfer-encoding'] !== undefined;

const digestHolds = (response: http.IncomingMessage, body: Buffer): boolean => {
  const given = response.headers['content-digest'];
  if (typeof given !== 'string') return true;
  const found = /(?:^|,)\s*sha-256=:([A-Za-z0-9+/=]+):/.exec(given);
  return found === null || createHash('sha256').update(body).digest('base64') === found[1];
};

/**
 * Reads an answer whole, or hands it on as a stream once it is too large for that.
 *
 * @example
 * readAnswer('GET', response, { ready: pass, unusable: fail });
 */
export const readResponse = (
  method: string,
  response: http.IncomingMessage,
  { ready, unusable }: ResponseCallbacks,
): void => {
  if (!lengthKnown(method, response)) {
    response.on('error', () => undefined);
    unusable('no-length', 'the answer tells neither its length nor its end');
    return;
  }
  const status = response.statusCode ?? 0;
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
      unusable('short', 'the answer ended before its announced length');
      return;
    }
    if (!digestHolds(response, body)) {
      unusable('digest', 'the answer does not match its digest');
      return;
    }
    ready({ status, headers, body, size, isComplete: true });
  };
  response.on('data', onData);
  response.on('end', onEnd);
  response.on('error', (error) => unusable('cut', errorMessage(error), error));
};
