/** Remote procedure calls between the processes of the project. */

import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { parse, stringify } from 'devalue';
import { CodedError, errorMessage } from '@reedyard/logging';
import { callTimeoutMs, maxCallBytes } from './limits.js';
import { listen, type ListenAddress, noPortWait, type PortWait } from './listen.js';

/** Thrown for a call that got no reply or a refusal, and for a server that can't listen. */
export class RpcError extends CodedError {}

/** Address of a process: an IP address and a port, as `127.0.0.1:7001`. */
export type Address = string;

const readBody = (stream: http.IncomingMessage, maxBytes: number): Promise<string> =>
  new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    stream.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBytes) {
        stream.destroy();
        reject(new RpcError('too-large', `the body exceeds ${maxBytes} bytes`));
      } else chunks.push(chunk);
    });
    stream.on('end', () => resolve(Buffer.concat(chunks).toString('utf8')));
    stream.on('error', reject);
    stream.on('close', () => reject(new RpcError('cut', 'the connection closed during a call')));
  });

let agent = new http.Agent({ keepAlive: true, maxSockets: 32, keepAliveMsecs: 5_000 });

/**
 * Sets the local address of outgoing calls: on a machine with several addresses, the address that
 * other processes know.
 *
 * @example
 * setLocalAddress('10.0.0.7');
 */
export const setLocalAddress = (host: string): void => {
  agent.destroy();
  agent = new http.Agent({
    keepAlive: true,
    maxSockets: 32,
    keepAliveMsecs: 5_000,
    localAddress: host,
  });
};

/**
 * Calls another process of the project and waits for its reply.
 *
 * @example
 * const reply = await call('127.0.0.1:7101', '/replica', { kind: 'pull' });
 */
export const call = (
  address: Address,
  path: string,
  body: unknown,
  timeoutMs: number = callTimeoutMs,
): Promise<unknown> =>
  new Promise((resolve, reject) => {
    const [host, port] = [
      address.slice(0, address.lastIndexOf(':')),
      address.slice(address.lastIndexOf(':') + 1),
    ];
    const payload = stringify(body);
    const fail = (thrown: unknown): void =>
      reject(
        new RpcError('lost', `call to ${address}${path}: ${errorMessage(thrown)}`, {
          cause: thrown,
        }),
      );
    const request = http.request(
      {
        host,
        port,
        path,
        agent,
        method: 'POST',
        headers: {
          'content-type': 'application/x-devalue',
          'content-length': Buffer.byteLength(payload),
        },
      },
      (response) => {
        readBody(response, maxCallBytes)
          .then((text) => {
            clearTimeout(timeout);
            if (response.statusCode === 200) resolve(parse(text));
            else fail(new Error(`status ${response.statusCode}`));
          })
          .catch(fail);
      },
    );
    const timeout = setTimeout(
      () => request.destroy(new Error(`no reply in ${timeoutMs} ms`)),
      timeoutMs,
    );
    request.on('error', (error) => {
      clearTimeout(timeout);
      fail(error);
    });
    request.end(payload);
  });

/** A server that listens for calls. */
export type RpcServer = { readonly port: number; readonly close: () => Promise<void> };

/** Handles the calls of one path: maps the body of a call to that of its reply. */
export type CallHandler = (body: unknown) => Promise<unknown>;

const callServer = (handlers: Readonly<Record<string, CallHandler>>): http.Server =>
  http.createServer((request, response) => {
    const sendReply = (status: number, text: string): void => {
      if (!response.headersSent)
        response.writeHead(status, { 'content-length': Buffer.byteLength(text) });
      response.end(text);
    };
    const handler = handlers[request.url ?? ''];
    if (handler === undefined) {
      request.resume();
      sendReply(404, '');
      return;
    }
    readBody(request, maxCallBytes)
      .then((text) => handler(parse(text)))
      .then((reply) => sendReply(200, stringify(reply)))
      .catch((thrown: unknown) => sendReply(500, errorMessage(thrown)));
  });

const closeServer = (server: http.Server): Promise<void> =>
  new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });

/**
 * Serves calls of other processes of the project. Waits for a port that is in use, if `wait` is given.
 *
 * @example
 * const server = await serveCalls({ host: '127.0.0.1', port: 0 }, { '/echo': async (body) => body });
 */
export const serveCalls = async (
  address: ListenAddress,
  handlers: Readonly<Record<string, CallHandler>>,
  wait: PortWait = noPortWait,
): Promise<RpcServer> => {
  const server = callServer(handlers);
  server.keepAliveTimeout = 30_000;
  try {
    await listen(server, address, wait);
  } catch (thrown) {
    const text = `${address.host}:${address.port}: ${errorMessage(thrown)}`;
    throw new RpcError('listen', text, { cause: thrown });
  }
  const { port } = server.address() as AddressInfo;
  return { port, close: () => closeServer(server) };
};
