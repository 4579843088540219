import test from 'ava';
import type { ExecutionContext } from 'ava';
import http from 'node:http';
import { errorMessage } from '@reedyard/logging';
import {
  responseBytes,
  startScriptedOrigin,
  type Script,
  type ScriptedOrigin,
} from './testing/scripted-origin.js';
import { waitUntil } from './testing/proxy-harness.js';

/**
 * Starts an origin and a client of Node. These tests verify what the proxy relies on: Node's HTTP
 * client and its agent send a request at most once.
 */
const startOrigin = async (
  t: ExecutionContext,
  script: Script,
): Promise<{
  readonly origin: ScriptedOrigin;
  readonly send: (path: string) => Promise<string>;
}> => {
  const origin = await startScriptedOrigin(script);
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  t.teardown(async () => {
    agent.destroy();
    await origin.close();
  });
  const send = (path: string): Promise<string> =>
    new Promise((resolve) => {
      const options = { agent, host: '127.0.0.1', port: origin.port, method: 'POST', path };
      const request = http.request(options, (response) => {
        response.resume();
        response.on('error', () => resolve('cut'));
        response.on('end', () => resolve(String(response.statusCode)));
      });
      request.on('error', (error: NodeJS.ErrnoException) =>
        resolve(error.code ?? errorMessage(error)),
      );
      request.end('pay');
    });
  return { origin, send };
};

const paths = (origin: ScriptedOrigin): readonly string[] =>
  origin.requests.map(({ path }) => path);

const respondWithPath: Script = (request, socket) => {
  socket.write(responseBytes(200, {}, request.path));
};

test('Node does not retry a request after which the connection is reset, closed or half-closed', async (t) => {
  const closures: readonly Script[] = [
    (_request, socket) => socket.resetAndDestroy(),
    (_request, socket) => socket.destroy(),
    (_request, socket) => socket.end(),
  ];
  for (const script of closures) {
    const { origin, send } = await startOrigin(t, script);
    t.is(await send('/1'), 'ECONNRESET');
    t.deepEqual(paths(origin), ['/1']);
    t.is(origin.sockets.length, 1);
  }
});

test('Node does not retry a request if its idle connection is reset while it is sent', async (t) => {
  const { origin, send } = await startOrigin(t, respondWithPath);
  t.is(await send('/1'), '200');
  // The reset is in transit when the request is handed to the socket: this process reads it later.
  const [idle] = origin.sockets;
  idle?.removeAllListeners('data');
  idle?.resetAndDestroy();
  const outcome = await send('/2');
  t.true(['ECONNRESET', 'EPIPE', '200'].includes(outcome), outcome);
  t.deepEqual(paths(origin), outcome === '200' ? ['/1', '/2'] : ['/1']);
});

test('Node sends the next request over a new connection after `Connection: close`', async (t) => {
  const { origin, send } = await startOrigin(t, (request, socket) => {
    socket.end(responseBytes(200, { connection: 'close' }, request.path));
  });
  t.deepEqual([await send('/1'), await send('/2')], ['200', '200']);
  t.deepEqual(
    origin.requests.map(({ path, connection }) => [path, connection]),
    [
      ['/1', 0],
      ['/2', 1],
    ],
  );
});

test('Node sends a waiting request once, over a new connection, if the connection is reset', async (t) => {
  const { origin, send } = await startOrigin(t, (request, socket) => {
    if (request.path === '/1') socket.resetAndDestroy();
    else respondWithPath(request, socket);
  });
  t.deepEqual(await Promise.all([send('/1'), send('/2')]), ['ECONNRESET', '200']);
  t.deepEqual(paths(origin), ['/1', '/2']);
});

test('Node ignores surplus bytes after a complete response', async (t) => {
  const { origin, send } = await startOrigin(t, (request, socket) => {
    const response = responseBytes(200, {}, request.path);
    socket.write(request.path === '/1' ? response + responseBytes(500, {}, 'surplus') : response);
  });
  t.is(await send('/1'), '200');
  await waitUntil(() => origin.sockets[0]?.closed === true);
  t.is(await send('/2'), '200');
  t.deepEqual(paths(origin), ['/1', '/2']);
});
