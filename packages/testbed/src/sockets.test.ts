import test from 'ava';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import { mkdtempSync } from 'node:fs';
import { sendRequest, type RequestResult } from '@reedyard/client-stand-in';
import { api, Fleet } from './index.js';
import { smallDeployment } from './small-deployment.js';

const host = 'depot.example';
const policy = {
  services: {
    store: { ceiling: 2_000, coldRate: 50 },
    application: { ceiling: 2_000, coldRate: 50 },
  },
  routes: [
    { name: 'sheets', host, path: '/sheets/', service: 'store' },
    { name: 'live', host, path: '/live/', service: 'store', cache: { keep: 'never' } },
    {
      name: 'handovers',
      host,
      path: '/handovers',
      service: 'application',
      methods: ['POST'],
      cache: { keep: 'never' },
      limits: { bodyBytes: 1_000 },
    },
  ],
};

/**
 * Sends raw bytes; resolves with the bytes received until the server closes the connection or 3 s
 * pass without activity.
 */
const sendRaw = (address: string, text: string): Promise<string> =>
  new Promise((resolve) => {
    const portSeparator = address.lastIndexOf(':');
    let received = '';
    const socket = net.connect(
      { host: address.slice(0, portSeparator), port: Number(address.slice(portSeparator + 1)) },
      () => socket.write(text),
    );
    socket.on('data', (chunk) => {
      received += String(chunk);
    });
    socket.on('error', () => resolve(received));
    socket.on('close', () => resolve(received));
    socket.setTimeout(3_000, () => {
      socket.destroy();
    });
  });

test('proxies over real sockets withstand faulty and renamed origins, faulty clients, a frozen process and a network partition', async (t) => {
  const fleet = await Fleet.create(
    smallDeployment,
    mkdtempSync(path.join(os.tmpdir(), 'reedyard-')),
    {
      relays: true,
    },
  );
  t.teardown(() => fleet.stopAll());
  fleet.startAll();
  await fleet.startOrigins();
  await fleet.waitUntil(
    'acceptance of the policy',
    async () =>
      (await api(fleet.apiAddressOf('core-1'), 'PUT', '/v1/policy', policy)).status === 200,
  );
  await fleet.waitUntilReady();
  const [store, app] = [fleet.originStandIns.get('content-1'), fleet.originStandIns.get('app-1')];
  if (store === undefined || app === undefined) {
    t.fail('the origin stand-ins content-1 and app-1 were not started');
    return;
  }
  let lastNumber = 0;
  const nextNumber = (): number => {
    lastNumber += 1;
    return lastNumber;
  };
  const get = (
    target: string,
    options: { headers?: Record<string, string>; method?: string } = {},
    node = 'front-1',
  ): Promise<RequestResult> =>
    sendRequest({
      at: fleet.clientAddressOf(node),
      method: options.method ?? 'GET',
      host,
      target,
      service: 'store',
      ...(options.headers === undefined ? {} : { headers: options.headers }),
    });
  const post = (job: string): Promise<RequestResult> =>
    sendRequest({
      at: fleet.clientAddressOf('front-1'),
      method: 'POST',
      host,
      target: '/handovers',
      service: 'application',
      job,
    });
  await fleet.waitUntil(
    'responses of both services',
    async () =>
      (await get('/live/0')).status === 200 && (await post(`warm-${nextNumber()}`)).status === 200,
  );
  const restore = (standIn: typeof store, request: () => Promise<RequestResult>): Promise<void> => {
    standIn.setMode({
      short: false,
      garbage: false,
      leftover: false,
      corrupt: false,
      lose: false,
      slowMs: 0,
    });
    return fleet.waitUntil(
      'a valid response after the fault',
      async () => (await request()).status === 200,
    );
  };

  // A truncated, garbled or corrupted origin response never becomes a success; the client gets an
  // error with Retry-After.
  for (const mode of [{ short: true }, { garbage: true }, { corrupt: true }]) {
    store.setMode(mode);
    const response = await get(`/live/${nextNumber()}`);
    t.true(response.status >= 500, JSON.stringify(mode));
    t.true(response.retryAfter, JSON.stringify(mode));
    await restore(store, () => get(`/live/${nextNumber()}`));
  }

  // An unsolicited origin response is never used for the next request.
  store.setMode({ leftover: true });
  for (let index = 0; index < 30; index += 1)
    t.is((await get(`/live/${nextNumber()}`)).fault, null);
  await restore(store, () => get(`/live/${nextNumber()}`));

  // A request that ran and whose response was lost has the outcome unknown, and runs only once.
  app.setMode({ lose: true });
  const lost = await post('lost-1');
  t.is(lost.status, 502);
  t.is(lost.outcome, 'unknown');
  t.is(app.ran().filter((each) => each.id === 'lost-1').length, 1);
  await restore(app, () => post(`after-${nextNumber()}`));

  // If another service answers at the origin's address, no request reaches it. The first request
  // may get an unknown outcome because its open connection closes; the next one gets not-run.
  const runsBefore = app.ran().length;
  const requestsBefore = app.requestCount();
  app.rename({ service: 'stranger', instance: 'app-1', incarnation: 2 });
  t.true([502, 503].includes((await post('stray-0')).status));
  const refused = await post('stray-1');
  t.is(refused.status, 503);
  t.is(refused.outcome, 'not-run');
  t.is(app.ran().length, runsBefore);
  t.is(app.requestCount(), requestsBefore);
  app.rename({ service: 'application', instance: 'app-1', incarnation: 3 });
  await fleet.waitUntil(
    'a response of the new incarnation',
    async () => (await post(`again-${nextNumber()}`)).status === 200,
  );

  // Conditional, range and HEAD requests are served from a cached complete response.
  const fullResponse = await get('/sheets/7?size=3000');
  t.is(fullResponse.status, 200);
  const rangeResponse = await get('/sheets/7?size=3000', { headers: { range: 'bytes=10-19' } });
  t.is(rangeResponse.status, 206);
  t.is(rangeResponse.body, fullResponse.body.slice(10, 20));
  t.is((await get('/sheets/7?size=3000', { headers: { range: 'bytes=9000-' } })).status, 416);
  t.is(
    (await get('/sheets/7?size=3000', { headers: { 'if-none-match': '"store-0-3000"' } })).status,
    304,
  );
  const headResponse = await get('/sheets/7?size=3000', { method: 'HEAD' });
  t.is(headResponse.status, 200);
  t.is(headResponse.body, '');

  // Concurrent requests for one object are collapsed into at most two fetches.
  store.setMode({ slowMs: 100 });
  const fetchesBefore = store.requestCount();
  const concurrentResponses = await Promise.all(
    Array.from({ length: 20 }, () => get('/sheets/collapsed')),
  );
  t.true(concurrentResponses.every((each) => each.status === 200 && each.fault === null));
  t.true(store.requestCount() - fetchesBefore <= 2);
  await restore(store, () => get(`/live/${nextNumber()}`));

  // A large response is streamed completely.
  const largeResponse = await get('/live/big?size=5000000');
  t.is(largeResponse.status, 200);
  t.is(largeResponse.fault, null);
  t.is(largeResponse.body.length, 5_000_000);

  // Malformed, oversized and unroutable client requests are rejected with the matching status.
  const address = fleet.clientAddressOf('front-1');
  t.regex(await sendRaw(address, 'nonsense\r\n\r\n'), /^HTTP\/1\.1 400/);
  t.regex(
    await sendRaw(
      address,
      `GET /a/../sheets/1 HTTP/1.1\r\nhost: ${host}\r\nconnection: close\r\n\r\n`,
    ),
    /^HTTP\/1\.1 400/,
  );
  t.regex(
    await sendRaw(
      address,
      `GET /sheets/1 HTTP/1.1\r\nhost: ${host}\r\nx: ${'y'.repeat(20_000)}\r\n\r\n`,
    ),
    /^HTTP\/1\.1 431/,
  );
  t.is(
    (
      await sendRequest({
        at: address,
        method: 'POST',
        host,
        target: '/handovers',
        service: 'application',
        body: 'z'.repeat(2_000),
      })
    ).status,
    413,
  );
  t.is(
    (
      await sendRequest({
        at: address,
        method: 'POST',
        host,
        target: '/sheets/1',
        service: 'store',
      })
    ).status,
    405,
  );
  t.is(
    (
      await sendRequest({
        at: address,
        method: 'GET',
        host: 'nobody.example',
        target: '/',
        service: 'store',
      })
    ).status,
    404,
  );
  // A client can neither impersonate a peer nor set the project's own header fields.
  t.is(
    (
      await get(`/live/${nextNumber()}`, {
        headers: {
          'reedyard-expect': 'stranger/x/1',
          'reedyard-via': 'front-2',
          'x-forwarded-for': '192.0.2.1',
          connection: 'x-hop',
          'x-hop': '1',
          'x-end': '2',
        },
      })
    ).status,
    200,
  );
  const receivedHeaders = store.lastRequestHeaders();
  t.is(receivedHeaders.host, host);
  t.regex(String(receivedHeaders['x-forwarded-for']), /^192\.0\.2\.1, 127\./);
  t.regex(String(receivedHeaders.via), /^1\.1 front-1 \(reedyard\)/);
  t.is(receivedHeaders['reedyard-via'], undefined);
  t.is(receivedHeaders['x-hop'], undefined);
  t.is(receivedHeaders['x-end'], '2');

  // A proxy that was frozen during a purge does not serve the purged copy after it thaws.
  const responseBefore = await get('/sheets/frozen');
  t.is(responseBefore.status, 200);
  fleet.freeze('front-1');
  store.startNewGeneration();
  t.is(
    (
      await api(fleet.apiAddressOf('core-1'), 'POST', '/v1/purges', {
        objects: [`${host}/sheets/frozen`],
      })
    ).status,
    200,
  );
  const leaseExpiredAt = performance.now() + 2_200;
  await fleet.waitUntil('expiry of the lease', () =>
    Promise.resolve(performance.now() > leaseExpiredAt),
  );
  const pendingResponse = get('/sheets/frozen');
  fleet.thaw('front-1');
  const responseAfterThaw = await pendingResponse;
  t.true(
    responseAfterThaw.status === 503 || responseAfterThaw.body.includes('generation=1'),
    `${responseAfterThaw.status} ${responseAfterThaw.body.slice(0, 40)}`,
  );
  await fleet.waitUntil('a response of the new generation', async () =>
    (await get('/sheets/frozen')).body.includes('generation=1'),
  );

  // An isolated node responds with 503; after the partition heals, it serves again.
  fleet.cut('front-2');
  await fleet.waitUntil(
    'status 503 from the isolated node',
    async () => (await get('/sheets/7?size=3000', {}, 'front-2')).status === 503,
    5_000,
  );
  fleet.heal();
  await fleet.waitUntilReady(['front-2']);
  await fleet.waitUntil(
    'a response after the partition healed',
    async () => (await get('/sheets/7?size=3000', {}, 'front-2')).status === 200,
  );

  // During a graceful shutdown, a request in flight completes.
  store.setMode({ slowMs: 600 });
  const attemptsBefore = store.requestCount();
  const inFlight = get(`/live/${nextNumber()}`);
  await fleet.waitUntil('an attempt in flight', () =>
    Promise.resolve(store.requestCount() > attemptsBefore),
  );
  const stopping = fleet.stop('front-1', 'proxy');
  t.is((await inFlight).status, 200);
  await stopping;
});
