/** Reads a request of a client or a peer into the form that the reducer decides on. */
import { createHash } from 'node:crypto';
import type http from 'node:http';
import type { RequestBody } from '@reedyard/rpc';
import type { WireFormat } from './wire-format.js';
import { readPeerRequestFields } from './peer-request-fields.js';
import { forwardableHeaders } from './response-reader.js';
import type { ClientRequest } from './state.js';

/** Whether the target is an absolute path without dot segments. */
export const isPlainTarget = (target: string): boolean => {
  const path = target.split('?', 1)[0] ?? '/';
  return target.startsWith('/') && !/\/(?:\.|%2e){1,2}(?:\/|$)/i.test(path);
};

/** Distinguishes requests with the same idempotency key. */
const digestOf = (method: string, target: string, { parts }: RequestBody): string => {
  const hash = createHash('sha256').update(JSON.stringify([method, target]));
  for (const part of parts) hash.update(part);
  return hash.digest('base64');
};

/** A request in the form that the reducer decides on; a peer's request was forwarded by that peer. */
export const clientRequestOf = (
  request: http.IncomingMessage,
  body: RequestBody,
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
    bodyBytes: body.sizeBytes,
    digest: hasDigest ? digestOf(method, target, body) : null,
    deadlineMs: wireFormat.deadlineMs(headers),
    ...peerParts,
  };
};
