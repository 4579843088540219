/**
 * Writes the core's response to one request onto its client connection: a problem document of the
 * proxy, a cached or buffered response as the request's conditions select it, or a large response
 * as a stream.
 */
import type http from 'node:http';
import type { Readable } from 'node:stream';
import type { Headers } from '@reedyard/cache';
import type { WireFormat } from './wire-format.js';
import { conditionalResponseOf, stripOriginIdFields } from './conditional-response.js';
import type { ClientResponse, ClientRequest } from './state.js';

/** Where a response is written, and what its fields depend on. */
export type ResponseTarget = {
  readonly response: http.ServerResponse;
  readonly clientRequest: ClientRequest;
  readonly wireFormat: WireFormat;
  /** Fields of this hop. */
  readonly hopFields: Readonly<Record<string, string>>;
};

type Problem = Extract<ClientResponse['body'], { kind: 'problem' }>;
type ResponseBody = { readonly body: unknown; readonly size: number; readonly isComplete: boolean };

const originStatusOf = ({ body }: ClientResponse): number | null => {
  if (body.kind === 'problem') return null;
  return body.kind === 'copy' ? body.copy.status : body.answer.status;
};

const bodyOf = (body: Exclude<ClientResponse['body'], Problem>): ResponseBody =>
  body.kind === 'copy'
    ? { body: body.copy.body, size: body.copy.sizeBytes, isComplete: true }
    : body.answer;

/**
 * The header fields sent with a status: a peer gets all of them, a client those of the wire format.
 */
const responseFields = (
  { clientRequest, wireFormat, hopFields }: ResponseTarget,
  clientResponse: ClientResponse,
  status: number,
  headers: Headers,
): http.OutgoingHttpHeaders => {
  const vouched = stripOriginIdFields(
    status,
    originStatusOf(clientResponse),
    headers,
    wireFormat.stamps,
  );
  const { 'reedyard-attempt': _correlation, connection: _connection, ...peerFields } = vouched;
  const { 'reedyard-spent': _spent, ...clientFields } = peerFields;
  const retryMs = clientResponse.retryMs ?? null;
  const fields =
    clientRequest.via === null
      ? wireFormat.clientResponseHeaders({
          status,
          headers: clientFields,
          asked: clientRequest.headers,
          retryMs,
        })
      : peerFields;
  return { ...fields, ...hopFields } as http.OutgoingHttpHeaders;
};

const writeProblem = (
  target: ResponseTarget,
  clientResponse: ClientResponse,
  problem: Problem,
): void => {
  const { response, clientRequest } = target;
  const { status } = clientResponse;
  const { title, detail, outcome } = problem;
  const text = JSON.stringify({ type: 'about:blank', title, status, detail, outcome });
  const fields = {
    ...clientResponse.headers,
    'content-type': 'application/problem+json',
    'content-length': String(Buffer.byteLength(text)),
  };
  response.writeHead(status, responseFields(target, clientResponse, status, fields));
  response.end(clientRequest.method === 'HEAD' ? undefined : text);
};

const writeBuffered = (
  target: ResponseTarget,
  clientResponse: ClientResponse,
  buffered: ResponseBody,
): void => {
  const { response, clientRequest } = target;
  const { status, headers } = clientResponse;
  const hasNoBody = clientRequest.method === 'HEAD' && clientResponse.body.kind === 'attempt';
  if (hasNoBody || status === 204 || status === 304) {
    response.writeHead(status, responseFields(target, clientResponse, status, headers));
    response.end();
    return;
  }
  const selected = conditionalResponseOf(
    clientRequest.method,
    clientRequest.headers,
    status,
    headers,
    buffered.size,
  );
  response.writeHead(
    selected.status,
    responseFields(target, clientResponse, selected.status, selected.headers),
  );
  const body = (buffered.body as Buffer).subarray(selected.from, selected.to);
  response.end(clientRequest.method === 'HEAD' ? undefined : body);
};

/**
 * Forwards a response as it is received. If the stream breaks, the client connection is destroyed,
 * so that a truncated response can't look complete.
 */
const writeStream = (
  target: ResponseTarget,
  clientResponse: ClientResponse,
  body: Readable,
): void => {
  const { response } = target;
  const { status, headers } = clientResponse;
  response.writeHead(status, responseFields(target, clientResponse, status, headers));
  body.on('error', () => response.destroy());
  body.on('aborted', () => response.destroy());
  if (body.destroyed) response.destroy();
  else body.pipe(response);
};

/**
 * Writes a response. Returns the stream that it is forwarded from, or null if it was written
 * completely.
 *
 * @example
 * const stream = writeClientResponse({ response, clientRequest, wireFormat, hopFields: { via } }, clientResponse);
 */
export const writeClientResponse = (
  target: ResponseTarget,
  clientResponse: ClientResponse,
): Readable | null => {
  const { response } = target;
  const content = clientResponse.body.kind === 'problem' ? null : bodyOf(clientResponse.body);
  const stream = content === null || content.isComplete ? null : (content.body as Readable);
  if (response.destroyed || response.headersSent) {
    stream?.destroy();
    return null;
  }
  if (clientResponse.body.kind === 'problem')
    writeProblem(target, clientResponse, clientResponse.body);
  else if (content !== null && stream === null) writeBuffered(target, clientResponse, content);
  if (stream !== null) writeStream(target, clientResponse, stream);
  return stream;
};
