/** Reads a client's or a peer's request: its body up to a bound, and what the reducer needs of it. */
import { createHash } from 'node:crypto';
import type http from 'node:http';
import type { WireFormat } from './wire-format.js';
import { forwardableHeaders } from './response-reader.js';
import type { ClientRequest } from './state.js';

/** Reads a body; calls `onEnd` with all of it, or `onTooLarge` once it passes the bound. */
export const readBody = (
  request: http.IncomingMessage,
  maxBytes: number,
  onEnd: (body: Buffer) => void,
  onTooLarge: () => void,
): void => {
  const chunks: Buffer[] = [];
  let size = 0;
  request.on('data', (chunk: Buffer) => {
    size += chunk.length;
    if (size <= maxBytes) {
      chunks.push(chunk);
      return;
    }
    request.removeAllListeners('data');
    request.removeAllListeners('end');
    request.resume();
    onTooLarge();
  });
  request.on('end', () => onEnd(Buffer.concat(chunks)));
};

/** Whether the target is an absolute path without dot segments. */
export const isPlainTarget = (target: string): boolean => {
  const path = target.split('?', 1)[0] ?? '/';
  return target.startsWith('/') && !/\/(?:\.|%2e){1,2}(?:\/|$)/i.test(path);
};

/** A whole number in a field, or null. */
const countOf = (field: string | string[] | undefined): number | null =>
  typeof field === 'string' && /^\d{1,4}$/.test(field) ? Number(field) : null;

/** Tells apart requests that bear the same idempotency key. */
const digestOf = (method: string, target: string, body: Buffer): string =>
  createHash('sha256')
    .update(JSON.stringify([method, target]))
    .update(body)
    .digest('base64');

/** A request as the reducer decides on it. Peers hand on what they were asked for. */
export const clientRequestOf = (
  request: http.IncomingMessage,
  body: Buffer,
  isFromPeer: boolean,
  wireFormat: WireFormat,
): ClientRequest => {
  const { headers, method = 'GET', url: target = '/' } = request;
  const hasDigest = !isFromPeer && headers['idempotency-key'] !== undefined;
  const peer = headers['reedyard-via'];
  return {
    method,
    target,
    host: headers.host ?? '',
    headers: forwardableHeaders(headers),
    via: isFromPeer ? String(peer ?? 'unnamed') : null,
    bodyBytes: body.length,
    digest: hasDigest ? digestOf(method, target, body) : null,
    deadlineMs: wireFormat.deadlineMs(headers),
    attempts: isFromPeer ? countOf(headers['reedyard-attempts-left']) : null,
  };
};
