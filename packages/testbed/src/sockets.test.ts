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

/** Bytes sent as they are; what comes back until the other side closes or the limit passes. */
const raw = (at: string, text: string): Promise<string> =>
  new Promise((resolve) => {
    const cut = at.lastIndexOf(':');
    let got = '';
    const socket = net.connect({ host: at.slice(0, cut), port: Number(at.slice(cut + 1)) }, () =>
      socket.write(text),
    );
    socket.on('data', (chunk) => {
      got += String(chunk);
    });
    socket.on('error', () => resolve(got));
    socket.on('close', () => resolve(got));
    socket.setTimeout(3_000, () => {
      socket.destroy();
    });
  });

test('over real sockets: origins that lie, lose, cut short or change who they are; callers that misbehave; a freeze and a cut', async (t) => {
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
    'the policy',
    async () =>
      (await api(fleet.apiAddressOf('core-1'), 'PUT', '/v1/policy', policy)).status === 200,
  );
  await fleet.waitUntilReady();
  const [store, app] = [fleet.originStandIns.get('content-1'), fleet.originStandIns.get('app-1')];
  if (store === undefined || app === undefined) {
    t.fail('no origins');
    return;
  }
  let number = 0;
  const next = (): number => {
    number += 1;
    return number;
  };
  const get = (
    target: string,
    more: { headers?: Record<string, string>; method?: string } = {},
    node = 'front-1',
  ): Promise<RequestResult> =>
    sendRequest({
      at: fleet.clientAddressOf(node),
      method: more.method ?? 'GET',
      host,
      target,
      service: 'store',
      ...(more.headers === undefined ? {} : { headers: more.headers }),
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
    'both services',
    async () =>
      (await get('/live/0')).status === 200 && (await post(`warm-${next()}`)).status === 200,
  );
  const settle = (blank: typeof store, target: () => Promise<RequestResult>): Promise<void> => {
    blank.setMode({
      short: false,
      garbage: false,
      leftover: false,
      corrupt: false,
      lose: false,
      slowMs: 0,
    });
    return fleet.waitUntil('sound again', async () => (await target()).status === 200);
  };

  // No success out of a short, garbled or corrupted answer; each is told at once, with a time to
  // come back.
  for (const mode of [{ short: true }, { garbage: true }, { corrupt: true }]) {
    store.setMode(mode);
    const seen = await get(`/live/${next()}`);
    t.true(seen.status >= 500, JSON.stringify(mode));
    t.true(seen.retryAfter, JSON.stringify(mode));
    await settle(store, () => get(`/live/${next()}`));
  }

  // An answer that nobody asked for is never taken for the next one.
  store.setMode({ leftover: true });
  for (let each = 0; each < 30; each += 1) t.is((await get(`/live/${next()}`)).fault, null);
  await settle(store, () => get(`/live/${next()}`));

  // Run and lost: told as unknown, and run once.
  app.setMode({ lose: true });
  const lost = await post('lost-1');
  t.is(lost.status, 502);
  t.is(lost.outcome, 'unknown');
  t.is(app.ran().filter((each) => each.id === 'lost-1').length, 1);
  await settle(app, () => post(`after-${next()}`));

  // Another service at the address: nothing of a request reaches it. (Where the old conn closed
  // under a request, that is told as unknown; the next one learns that it was not run.)
  const before = app.ran().length;
  const got = app.requestCount();
  app.rename({ service: 'stranger', instance: 'app-1', incarnation: 2 });
  t.true([502, 503].includes((await post('stray-0')).status));
  const refused = await post('stray-1');
  t.is(refused.status, 503);
  t.is(refused.outcome, 'not-run');
  t.is(app.ran().length, before);
  t.is(app.requestCount(), got);
  app.rename({ service: 'application', instance: 'app-1', incarnation: 3 });
  await fleet.waitUntil(
    'the new incarnation',
    async () => (await post(`again-${next()}`)).status === 200,
  );

  // Conditional, range and head requests, from an answer kept whole.
  const whole = await get('/sheets/7?size=3000');
  t.is(whole.status, 200);
  const part = await get('/sheets/7?size=3000', { headers: { range: 'bytes=10-19' } });
  t.is(part.status, 206);
  t.is(part.body, whole.body.slice(10, 20));
  t.is((await get('/sheets/7?size=3000', { headers: { range: 'bytes=9000-' } })).status, 416);
  t.is(
    (await get('/sheets/7?size=3000', { headers: { 'if-none-match': '"store-0-3000"' } })).status,
    304,
  );
  const head = await get('/sheets/7?size=3000', { method: 'HEAD' });
  t.is(head.status, 200);
  t.is(head.body, '');

  // Many at once for one object: one fetch.
  store.setMode({ slowMs: 100 });
  const fetches = store.requestCount();
  const many = await Promise.all(Array.from({ length: 20 }, () => get('/sheets/collapsed')));
  t.true(many.every((each) => each.status === 200 && each.fault === null));
  t.true(store.requestCount() - fetches <= 2);
  await settle(store, () => get(`/live/${next()}`));

  // A large answer streams whole.
  const large = await get('/live/big?size=5000000');
  t.is(large.status, 200);
  t.is(large.fault, null);
  t.is(large.body.length, 5_000_000);

  // Callers that misbehave.
  const at = fleet.clientAddressOf('front-1');
  t.regex(await raw(at, 'nonsense\r\n\r\n'), /^HTTP\/1\.1 400/);
  t.regex(
    await raw(at, `GET /a/../sheets/1 HTTP/1.1\r\nhost: ${host}\r\nconnection: close\r\n\r\n`),
    /^HTTP\/1\.1 400/,
  );
  t.regex(
    await raw(at, `GET /sheets/1 HTTP/1.1\r\nhost: ${host}\r\nx: ${'y'.repeat(20_000)}\r\n\r\n`),
    /^HTTP\/1\.1 431/,
  );
  t.is(
    (
      await sendRequest({
        at,
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
    (await sendRequest({ at, method: 'POST', host, target: '/sheets/1', service: 'store' })).status,
    405,
  );
  t.is(
    (
      await sendRequest({
        at,
        method: 'GET',
        host: 'nobody.example',
        target: '/',
        service: 'store',
      })
    ).status,
    404,
  );
  // A caller can't pass itself off as a peer or set the project's own fields.
  t.is(
    (
      await get(`/live/${next()}`, {
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
  const heard = store.lastRequestHeaders();
  t.is(heard.host, host);
  t.regex(String(heard['x-forwarded-for']), /^192\.0\.2\.1, 127\./);
  t.regex(String(heard.via), /^1\.1 front-1 \(reedyard\)/);
  t.is(heard['reedyard-via'], undefined);
  t.is(heard['x-hop'], undefined);
  t.is(heard['x-end'], '2');

  // Frozen through a purge, a proxy serves no old copy when it thaws.
  const old = await get('/sheets/frozen');
  t.is(old.status, 200);
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
  const leaseOver = performance.now() + 2_200;
  await fleet.waitUntil('the lease to run out', () =>
    Promise.resolve(performance.now() > leaseOver),
  );
  const asked = get('/sheets/frozen');
  fleet.thaw('front-1');
  const thawed = await asked;
  t.true(
    thawed.status === 503 || thawed.body.includes('generation=1'),
    `${thawed.status} ${thawed.body.slice(0, 40)}`,
  );
  await fleet.waitUntil('served anew', async () =>
    (await get('/sheets/frozen')).body.includes('generation=1'),
  );

  // Cut off, a node says so; healed, it serves.
  fleet.cut('front-2');
  await fleet.waitUntil(
    'the cut noticed',
    async () => (await get('/sheets/7?size=3000', {}, 'front-2')).status === 503,
    5_000,
  );
  fleet.heal();
  await fleet.waitUntilReady(['front-2']);
  await fleet.waitUntil(
    'serving after the cut',
    async () => (await get('/sheets/7?size=3000', {}, 'front-2')).status === 200,
  );

  // Stopped with a warning: not ready first, and what is under way ends well.
  store.setMode({ slowMs: 600 });
  const sofar = store.requestCount();
  const underWay = get(`/live/${next()}`);
  await fleet.waitUntil('an attempt under way', () =>
    Promise.resolve(store.requestCount() > sofar),
  );
  const stopped = fleet.stop('front-1', 'proxy');
  t.is((await underWay).status, 200);
  await stopped;
});
