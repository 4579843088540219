/** Reads a request of a client or a peer: its body up to a limit, and the parts for the reducer. */
import { createHash } from 'node:crypto';
import type http from 'node:http';
import type { WireFormat } from './wire-format.js';
import { readPeerRequestFields } from './peer-request-fields.js';
import { forwardableHeaders } from './response-reader.js';
import type { ClientRequest } from './state.js';

/** Reads a body; calls `onEnd` with the complete body, or `onTooLarge` once it exceeds the limit. */
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

/** Distinguishes requests with the same idempotency key. */
const digestOf = (method: string, target: string, body: Buffer): string =>
  createHash('sha256')
    .update(JSON.stringify([method, target]))
    .update(body)
    .digest('base64');

/** A request in the form that the reducer decides on; a peer's request was forwarded by that peer. */
export const clientRequestOf = (
  request: http.IncomingMessage,
  body: Buffer,
  isFromPeer: boolean,
  wireFormat: WireFormat,
): ClientRequest => {
  const { headers, method = 'GET', url: target = '/' } = request;
  const hasDigest = !isFromPeer && headers['idempotency-key'] !== undefined;
  const peerParts = isFromPeer ? readPeerRequestFields(headers) : { via: null, attempts: null };
  return {
    method,
    target,
    host: headers.host ?? '',
    headers: forwardableHeaders(headers),
    bodyBytes: body.length,
    digest: hasDigest ? digestOf(method, target, body) : null,
    deadlineMs: wireFormat.deadlineMs(headers),
    ...peerParts,
  };
};
