import test from 'ava';
import { emptyBody } from '@reedyard/rpc';
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { performance } from 'node:perf_hooks';
import { OriginConnections } from './origin-connections.js';
import { reedyardWireFormat } from './wire-format.js';

test('an attempt is not sent if its connection opens after the send deadline', async (t) => {
  const paths: string[] = [];
  const server = http.createServer((request, response) => {
    paths.push(request.url ?? '');
    const text = JSON.stringify({ service: 's', instance: 'i', incarnation: 1 });
    response.writeHead(200, { 'content-length': text.length, 'reedyard-stamp': 's/i/1' });
    response.end(text);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const origin = {
    service: 's',
    instance: 'i',
    incarnation: 1,
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    zone: 'h',
    region: 'r',
    capacity: 1,
    cold: false,
    slots: null,
    conns: null,
    rate: 1,
  };
  const send = (sendBy: number): Promise<string> =>
    new Promise((resolve) => {
      new OriginConnections('127.0.0.1', reedyardWireFormat).sendToOrigin(
        origin,
        {
          method: 'GET',
          path: '/x',
          headers: { host: 'a.example' },
          body: emptyBody,
          safe: true,
        },
        { origin, correlationId: 'm', remainingMs: 1_000, headers: {} },
        { sendBy, fresh: false },
        { done: () => resolve('answered'), fail: (error) => resolve(`${error.why} ${error.sent}`) },
      );
    });
  t.is(await send(performance.now() + 60_000), 'answered');
  t.is(await send(performance.now()), 'lease nothing');
  t.is(paths.filter((path) => path === '/x').length, 1);
});
