import test from 'ava';
import {
  originEndpoint,
  policyOf,
  RawClient,
  startHarness,
  waitUntil,
} from './testing/proxy-harness.js';
import { startScriptedOrigin, validResponse } from './testing/scripted-origin.js';

// Guards against large bodies that take a proxy over its memory with the orders of others (review case 8).
test('a body beyond the memory for all bodies is refused as not run, and others are served', async (t) => {
  const origin = await startScriptedOrigin((request, socket) =>
    socket.write(validResponse(request)),
  );
  const document = policyOf({ bodyBytes: 64 * 1024 * 1024 });
  const harness = await startHarness({
    policy: { revision: 1, document },
    origins: [originEndpoint(origin.port)],
  });
  t.teardown(async () => {
    harness.close();
    await origin.close();
  });
  const largeBytes = 60 * 1024 * 1024;
  const sendPart = async (id: string): Promise<RawClient> => {
    const client = await RawClient.connect(harness.port);
    client.send('POST', '/order/large', id, '', `content-length: ${largeBytes}\r\n`);
    return client;
  };
  const first = await sendPart('first');
  await waitUntil(() => harness.proxy.begunCount() === 1);
  const second = await sendPart('second');
  t.is((await second.waitForResponses(1))[0]?.status, 503);
  t.regex(second.responses()[0]?.head ?? '', /reedyard-outcome: not-run/i);
  const small = await RawClient.connect(harness.port);
  small.send('POST', '/order/small', 'small', 'pay');
  t.is((await small.waitForResponses(1))[0]?.status, 200);
  first.socket.destroy();
  // The first client leaves: its part of the memory is free again, so that a body is read further.
  for (let number = 0; number < 100; number += 1) {
    const later = await sendPart(`later-${number}`);
    const other = await RawClient.connect(harness.port);
    other.send('POST', '/order/small', `small-${number}`, 'pay');
    t.is((await other.waitForResponses(1))[0]?.status, 200);
    const isRefused = later.responses().length > 0;
    later.socket.destroy();
    if (!isRefused) return;
  }
  t.fail('the memory of a client that left is never free again');
});

// Guards against memory that is never free again, since a response behind another one emits no close.
test('the bodies of requests sent ahead are released when their connection closes', async (t) => {
  const origin = await startScriptedOrigin(() => undefined);
  const document = policyOf({ bodyBytes: 64 * 1024 * 1024 });
  const harness = await startHarness({
    policy: { revision: 1, document },
    origins: [originEndpoint(origin.port)],
  });
  t.teardown(async () => {
    harness.close();
    await origin.close();
  });
  const largeBody = 'x'.repeat(60 * 1024 * 1024);
  const leaving = await RawClient.connect(harness.port);
  leaving.send('GET', '/read/silent', 'first');
  leaving.send('POST', '/nowhere', 'second', largeBody);
  await waitUntil(() => harness.proxy.inFlightCount() === 2);
  leaving.socket.destroy();
  await waitUntil(() => harness.proxy.inFlightCount() === 0);
  const later = await RawClient.connect(harness.port);
  later.send('POST', '/nowhere', 'later', largeBody);
  t.is((await later.waitForResponses(1))[0]?.status, 404);
});

// Guards against reads being refused while bodies that still arrive fill the memory.
test('a request without a body is served while bodies take all memory', async (t) => {
  const origin = await startScriptedOrigin((request, socket) =>
    socket.write(validResponse(request)),
  );
  const document = policyOf({ bodyBytes: 64 * 1024 * 1024 });
  const harness = await startHarness({
    policy: { revision: 1, document },
    origins: [originEndpoint(origin.port)],
  });
  t.teardown(async () => {
    harness.close();
    await origin.close();
  });
  // Together with what each request takes beside its body, a quarter of 350,000,000 but some bytes.
  for (const [index, bodyBytes] of [62_914_560, 24_560_000, 100].entries()) {
    const client = await RawClient.connect(harness.port);
    client.send('POST', '/order/part', 'part', '', `content-length: ${bodyBytes}\r\n`);
    await waitUntil(() => harness.proxy.begunCount() === index + 1);
  }
  const reader = await RawClient.connect(harness.port);
  reader.send('GET', '/read/1', 'read');
  const writer = await RawClient.connect(harness.port);
  writer.send('POST', '/order/1', 'order', 'pay');
  t.is((await reader.waitForResponses(1))[0]?.status, 200);
  t.is((await writer.waitForResponses(1))[0]?.status, 503);
});
