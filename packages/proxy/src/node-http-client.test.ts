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
 * What the proxy relies on: Node's HTTP client and its agent send a request once, or not at all.
 */
const start = async (
  t: ExecutionContext,
  script: Script,
): Promise<{
  readonly origin: ScriptedOrigin;
  readonly ask: (path: string) => Promise<string>;
}> => {
  const origin = await startScriptedOrigin(script);
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  t.teardown(async () => {
    agent.destroy();
    await origin.close();
  });
  const ask = (path: string): Promise<string> =>
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
  return { origin, ask };
};

const paths = (origin: ScriptedOrigin): readonly string[] =>
  origin.requests.map(({ path }) => path);

const answerPaths: Script = (request, socket) => {
  socket.write(responseBytes(200, {}, request.path));
};

test('Node repeats nothing: a reset, a close or a half-close after the request', async (t) => {
  const ends: readonly Script[] = [
    (_request, socket) => socket.resetAndDestroy(),
    (_request, socket) => socket.destroy(),
    (_request, socket) => socket.end(),
  ];
  for (const script of ends) {
    const { origin, ask } = await start(t, script);
    t.is(await ask('/1'), 'ECONNRESET');
    t.deepEqual(paths(origin), ['/1']);
    t.is(origin.sockets.length, 1);
  }
});

test('Node repeats nothing: a resting connection that is reset as the next request is sent', async (t) => {
  const { origin, ask } = await start(t, answerPaths);
  t.is(await ask('/1'), '200');
  // The reset is on its way when the request is handed to the socket: this process reads it later.
  const [resting] = origin.sockets;
  resting?.removeAllListeners('data');
  resting?.resetAndDestroy();
  const outcome = await ask('/2');
  t.true(['ECONNRESET', 'EPIPE', '200'].includes(outcome), outcome);
  t.deepEqual(paths(origin), outcome === '200' ? ['/1', '/2'] : ['/1']);
});

test('Node repeats nothing: after `Connection: close` the next request gets a new connection', async (t) => {
  const { origin, ask } = await start(t, (request, socket) => {
    socket.end(responseBytes(200, { connection: 'close' }, request.path));
  });
  t.deepEqual([await ask('/1'), await ask('/2')], ['200', '200']);
  t.deepEqual(
    origin.requests.map(({ path, connection }) => [path, connection]),
    [
      ['/1', 0],
      ['/2', 1],
    ],
  );
});

test('Node repeats nothing: of two requests the one that waits is sent once, over a new connection', async (t) => {
  const { origin, ask } = await start(t, (request, socket) => {
    if (request.path === '/1') socket.resetAndDestroy();
    else answerPaths(request, socket);
  });
  t.deepEqual(await Promise.all([ask('/1'), ask('/2')]), ['ECONNRESET', '200']);
  t.deepEqual(paths(origin), ['/1', '/2']);
});

test('Node takes bytes behind a whole answer for no answer', async (t) => {
  const { origin, ask } = await start(t, (request, socket) => {
    const own = responseBytes(200, {}, request.path);
    socket.write(request.path === '/1' ? own + responseBytes(500, {}, 'surplus') : own);
  });
  t.is(await ask('/1'), '200');
  await waitUntil(() => origin.sockets[0]?.closed === true);
  t.is(await ask('/2'), '200');
  t.deepEqual(paths(origin), ['/1', '/2']);
});
