import test from 'ava';
import os from 'node:os';
import path from 'node:path';
import { mkdtempSync } from 'node:fs';
import { sendRequest } from '@reedyard/client-stand-in';
import { api, Fleet } from './index.js';
import { smallDeployment, smallHost as host, smallPolicy as policy } from './small-deployment.js';

test('a fleet of real processes: one policy, callers served, copies purged, a key run once, a kill survived', async (t) => {
  const fleet = await Fleet.create(
    smallDeployment,
    mkdtempSync(path.join(os.tmpdir(), 'reedyard-')),
  );
  t.teardown(() => fleet.stopAll());
  fleet.startAll();
  await fleet.startOrigins();
  await fleet.waitUntil(
    'a majority of disks',
    async () =>
      (
        await api(fleet.apiAddressOf('front-2'), 'PUT', '/v1/policy', policy, {
          'reedyard-change-id': 'first',
        })
      ).status === 200,
  );
  await fleet.waitUntilReady();

  // A repeat under the same change id is harmless; a stale If-Match and a faulty policy change
  // nothing.
  t.is(
    (
      await api(fleet.apiAddressOf('core-1'), 'PUT', '/v1/policy', policy, {
        'reedyard-change-id': 'first',
      })
    ).status,
    200,
  );
  t.is(
    (await api(fleet.apiAddressOf('core-1'), 'PUT', '/v1/policy', policy, { 'if-match': '7' }))
      .status,
    412,
  );
  const refused = await api(fleet.apiAddressOf('front-1'), 'PUT', '/v1/policy', {
    ...policy,
    routes: [{ ...policy.routes[0], service: 'nobody', extra: 1 }],
  });
  t.is(refused.status, 422);
  t.regex(JSON.stringify(refused.body), /\/routes\/0/);
  const read = await api(fleet.apiAddressOf('core-3'), 'GET', '/v1/policy');
  t.is((read.body as { revision: number }).revision, 1);

  const get = (node: string, target: string): ReturnType<typeof sendRequest> =>
    sendRequest({ at: fleet.clientAddressOf(node), method: 'GET', host, target, service: 'store' });
  await fleet.waitUntil(
    'a first answer',
    async () => (await get('front-1', '/sheets/1')).status === 200,
  );
  const again = await get('front-1', '/sheets/1');
  t.is(again.status, 200);
  t.is(again.fault, null);
  t.is(again.served, 'copy');
  t.is((await get('front-1', '/elsewhere')).status, 404);

  // After a purge the next answer is of the new generation.
  fleet.originStandIns.get('content-1')?.startNewGeneration();
  t.is(
    (
      await api(fleet.apiAddressOf('core-2'), 'POST', '/v1/purges', {
        objects: [`http://${host}/sheets/1`],
      })
    ).status,
    200,
  );
  await fleet.waitUntil('the purge in force', async () =>
    (await get('front-1', '/sheets/1')).body.includes('generation=1'),
  );

  // One key, three askers on two nodes: one run.
  const post = (node: string, key: string): ReturnType<typeof sendRequest> =>
    sendRequest({
      at: fleet.clientAddressOf(node),
      method: 'POST',
      host,
      target: '/handovers',
      service: 'application',
      key,
      job: key,
    });
  await fleet.waitUntil(
    'an application share',
    async () => (await post('front-1', `warm-${Math.random()}`)).status === 200,
  );
  const before = fleet.originStandIns.get('app-1')?.ran().length ?? 0;
  const three = await Promise.all([
    post('front-1', 'parcel-7'),
    post('front-2', 'parcel-7'),
    post('front-2', 'parcel-7'),
  ]);
  t.true((fleet.originStandIns.get('app-1')?.ran().length ?? 0) - before <= 1);
  t.true(three.filter((each) => each.status === 200).length <= 1);
  t.true(three.every((each) => each.status === 200 || each.status === 409 || each.status === 503));

  // The same key with another body is another request; a request without a key is refused. Neither
  // is run.
  const ran = fleet.originStandIns.get('app-1')?.ran().length ?? 0;
  t.is(
    (
      await sendRequest({
        at: fleet.clientAddressOf('front-1'),
        method: 'POST',
        host,
        target: '/handovers',
        service: 'application',
        key: 'parcel-7',
        job: 'parcel-8',
      })
    ).status,
    422,
  );
  t.is(
    (
      await sendRequest({
        at: fleet.clientAddressOf('front-1'),
        method: 'POST',
        host,
        target: '/handovers',
        service: 'application',
        job: 'parcel-9',
      })
    ).status,
    400,
  );
  t.is(fleet.originStandIns.get('app-1')?.ran().length ?? 0, ran);

  // Several thousand routes: taken by one node, in force on another.
  const many = {
    ...policy,
    routes: [
      ...policy.routes,
      ...Array.from({ length: 4_000 }, (_, index) => ({
        name: `many-${index}`,
        host: `h${index % 50}.example`,
        path: `/many/${index}/`,
        service: 'store',
      })),
    ],
  };
  await fleet.waitUntil(
    'thousands of routes taken',
    async () =>
      (
        await api(fleet.apiAddressOf('front-1'), 'PUT', '/v1/policy', many, {
          'reedyard-change-id': 'many',
        })
      ).status === 200,
  );
  await fleet.waitUntil(
    'thousands of routes in force',
    async () =>
      (
        await sendRequest({
          at: fleet.clientAddressOf('front-2'),
          method: 'GET',
          host: 'h49.example',
          target: '/many/3999/x',
          service: 'store',
        })
      ).status === 200,
  );
  t.is(
    (await api(fleet.apiAddressOf('front-1'), 'PUT', '/v1/policy', 'x'.repeat(9 * 1024 * 1024)))
      .status,
    413,
  );
  t.is((await api(fleet.apiAddressOf('front-1'), 'PUT', '/v1/policy', '{"services":')).status, 400);

  // One replica killed: still acknowledged. Two: refused with a time to come back, and callers are
  // told not ready.
  await fleet.kill('core-1');
  await fleet.waitUntil(
    'a policy without one replica',
    async () =>
      (
        await api(
          fleet.apiAddressOf('front-1'),
          'PUT',
          '/v1/policy',
          { ...policy, routes: policy.routes.slice(0, 1) },
          { 'reedyard-change-id': 'fewer' },
        )
      ).status === 200,
  );
  await fleet.waitUntil(
    'the newer policy in force',
    async () => (await post('front-2', 'x')).status === 404,
  );
  await fleet.kill('core-2');
  await fleet.waitUntil(
    'not ready without a majority',
    async () => (await get('front-1', '/sheets/1')).status === 503,
  );
  const lost = await api(fleet.apiAddressOf('front-1'), 'PUT', '/v1/policy', policy);
  t.is(lost.status, 503);
  t.truthy(lost.headers['retry-after']);

  // Back with their disks: the newer policy, not the first.
  fleet.start('core-1');
  fleet.start('core-2');
  await fleet.waitUntilReady();
  t.true(
    ((await api(fleet.apiAddressOf('core-1'), 'GET', '/v1/policy')).body as { revision: number })
      .revision >= 2,
  );
});
