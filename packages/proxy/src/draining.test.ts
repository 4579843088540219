import test from 'ava';
import type { ExecutionContext } from 'ava';
import {
  validResponse,
  startScriptedOrigin,
  type ScriptedOrigin,
} from './testing/scripted-origin.js';
import { originEndpoint, RawClient, startHarness, waitUntil } from './testing/proxy-harness.js';

/** An origin that delays its responses until `release` is called. */
const startDelayingOrigin = async (
  t: ExecutionContext,
): Promise<ScriptedOrigin & { readonly release: () => void }> => {
  const delayed: (() => void)[] = [];
  const origin = await startScriptedOrigin((request, socket) => {
    delayed.push(() => socket.write(validResponse(request)));
  });
  t.teardown(() => origin.close());
  return Object.assign(origin, {
    release: () => delayed.splice(0).forEach((respond) => respond()),
  });
};

test('a draining origin gets no new requests, and its responses are still forwarded', async (t) => {
  const draining = await startDelayingOrigin(t);
  const staying = await startScriptedOrigin((request, socket) => {
    socket.write(validResponse(request));
  });
  t.teardown(() => staying.close());
  const endpoints = {
    draining: originEndpoint(draining.port, 'i1'),
    staying: originEndpoint(staying.port, 'i2'),
  };
  const harness = await startHarness({ origins: [endpoints.draining] });
  t.teardown(() => harness.close());
  const clients: RawClient[] = [];
  // The requests are not idempotent: a slow idempotent request would be hedged at another origin.
  for (const target of ['/order/first', '/order/second']) {
    const client = await RawClient.connect(harness.port);
    client.send('POST', target, target, 'pay');
    clients.push(client);
  }
  await waitUntil(() => draining.requests.length === 2);
  harness.feed.origins = [endpoints.staying];
  const { task } = harness.proxy;
  await waitUntil(() => task.peek().feed?.origins[0]?.instance === 'i2');
  for (let number = 0; number < 20; number += 1) {
    const client = await RawClient.connect(harness.port);
    client.send(number % 2 === 0 ? 'GET' : 'POST', `/order/${number}`, `n${number}`, 'pay');
    await client.waitForResponses(1);
    t.is(client.responses()[0]?.status, 200);
  }
  t.is(staying.requests.length, 20);
  draining.release();
  await Promise.all(clients.map((client) => client.waitForResponses(1)));
  t.deepEqual(
    clients.map((client) => client.responses().map(({ status, body }) => [status, body])),
    [[[200, '/order/first']], [[200, '/order/second']]],
  );
  t.is(draining.requests.length, 2);
  // The connections to the draining origin are not kept for further requests.
  await waitUntil(() => draining.sockets.every((socket) => socket.closed || socket.readableEnded));
  t.true(harness.logged.every((line) => !line.startsWith('attempt.failed')));
});
