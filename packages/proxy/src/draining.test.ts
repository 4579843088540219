import test from 'ava';
import type { ExecutionContext } from 'ava';
import {
  validResponse,
  startScriptedOrigin,
  type ScriptedOrigin,
} from './testing/scripted-origin.js';
import { originEndpoint, RawClient, startHarness, waitUntil } from './testing/proxy-harness.js';

/** An origin that holds back its answers until it is let go. */
const startHolding = async (
  t: ExecutionContext,
): Promise<ScriptedOrigin & { readonly release: () => void }> => {
  const held: (() => void)[] = [];
  const origin = await startScriptedOrigin((request, socket) => {
    held.push(() => socket.write(validResponse(request)));
  });
  t.teardown(() => origin.close());
  return Object.assign(origin, { release: () => held.splice(0).forEach((each) => each()) });
};

test('an origin that drains gets no new request, and its answers are still taken', async (t) => {
  const draining = await startHolding(t);
  const staying = await startScriptedOrigin((request, socket) => {
    socket.write(validResponse(request));
  });
  t.teardown(() => staying.close());
  const rows = {
    draining: originEndpoint(draining.port, 'i1'),
    staying: originEndpoint(staying.port, 'i2'),
  };
  const harness = await startHarness({ origins: [rows.draining] });
  t.teardown(() => harness.close());
  const callers: RawClient[] = [];
  // What may be repeated would get a second attempt elsewhere beside a slow one.
  for (const target of ['/order/first', '/order/second']) {
    const caller = await RawClient.connect(harness.port);
    caller.send('POST', target, target, 'pay');
    callers.push(caller);
  }
  await waitUntil(() => draining.requests.length === 2);
  harness.feed.origins = [rows.staying];
  const { task } = harness.proxy;
  await waitUntil(() => task.peek().feed?.origins[0]?.instance === 'i2');
  for (let number = 0; number < 20; number += 1) {
    const caller = await RawClient.connect(harness.port);
    caller.send(number % 2 === 0 ? 'GET' : 'POST', `/order/${number}`, `n${number}`, 'pay');
    await caller.waitForResponses(1);
    t.is(caller.responses()[0]?.status, 200);
  }
  t.is(staying.requests.length, 20);
  draining.release();
  await Promise.all(callers.map((caller) => caller.waitForResponses(1)));
  t.deepEqual(
    callers.map((caller) => caller.responses().map(({ status, body }) => [status, body])),
    [[[200, '/order/first']], [[200, '/order/second']]],
  );
  t.is(draining.requests.length, 2);
  // Its connections are not kept for another request.
  await waitUntil(() => draining.sockets.every((socket) => socket.closed || socket.readableEnded));
  t.true(harness.logged.every((line) => !line.startsWith('attempt.failed')));
});
