import test from 'ava';
import os from 'node:os';
import path from 'node:path';
import { mkdtempSync } from 'node:fs';
import { sendRequest } from '@reedyard/client-stand-in';
import { api, Fleet } from './index.js';
import { smallDeployment, smallHost as host, smallPolicy as policy } from './small-deployment.js';

test('a fleet of real processes applies policies and purges, runs a keyed request once and survives killed replicas', async (t) => {
  const fleet = await Fleet.create(
    smallDeployment,
    mkdtempSync(path.join(os.tmpdir(), 'reedyard-')),
  );
  t.teardown(() => fleet.stopAll());
  fleet.startAll();
  await fleet.startOrigins();
  await fleet.waitUntil(
    'acceptance of the policy by a majority of replicas',
    async () =>
      (
        await api(fleet.apiAddressOf('front-2'), 'PUT', '/v1/policy', policy, {
          'reedyard-change-id': 'first',
        })
      ).status === 200,
  );
  await fleet.waitUntilReady();

  // A repeat under the same change id is accepted without a new revision; a stale If-Match and an
  // invalid policy are rejected without a change.
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
    'a first response',
    async () => (await get('front-1', '/sheets/1')).status === 200,
  );
  const secondResponse = await get('front-1', '/sheets/1');
  t.is(secondResponse.status, 200);
  t.is(secondResponse.fault, null);
  t.is(secondResponse.served, 'copy');
  t.is((await get('front-1', '/elsewhere')).status, 404);

  // After a purge takes effect, responses are of the new generation.
  fleet.originStandIns.get('content-1')?.startNewGeneration();
  t.is(
    (
      await api(fleet.apiAddressOf('core-2'), 'POST', '/v1/purges', {
        objects: [`http://${host}/sheets/1`],
      })
    ).status,
    200,
  );
  await fleet.waitUntil('effect of the purge', async () =>
    (await get('front-1', '/sheets/1')).body.includes('generation=1'),
  );

  // Three concurrent requests with one key on two nodes run at most once.
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
    'a quota for the application service',
    async () => (await post('front-1', `warm-${Math.random()}`)).status === 200,
  );
  const runsBeforeFirst = fleet.originStandIns.get('app-1')?.ran().length ?? 0;
  const results = await Promise.all([
    post('front-1', 'parcel-7'),
    post('front-2', 'parcel-7'),
    post('front-2', 'parcel-7'),
  ]);
  t.true((fleet.originStandIns.get('app-1')?.ran().length ?? 0) - runsBeforeFirst <= 1);
  t.true(results.filter((each) => each.status === 200).length <= 1);
  t.true(
    results.every((each) => each.status === 200 || each.status === 409 || each.status === 503),
  );

  // A reused key with another body is rejected with 422, and a request without a key with 400.
  // Neither runs.
  const runsBefore = fleet.originStandIns.get('app-1')?.ran().length ?? 0;
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
  t.is(fleet.originStandIns.get('app-1')?.ran().length ?? 0, runsBefore);

  // A policy with several thousand routes is accepted by one node and takes effect on another.
  const manyRoutesPolicy = {
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
    'acceptance of thousands of routes',
    async () =>
      (
        await api(fleet.apiAddressOf('front-1'), 'PUT', '/v1/policy', manyRoutesPolicy, {
          'reedyard-change-id': 'many',
        })
      ).status === 200,
  );
  await fleet.waitUntil(
    'effect of thousands of routes',
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

  // With one of three replicas killed, policies are still accepted. With two killed, they are
  // rejected with Retry-After, and clients get 503.
  await fleet.kill('core-1');
  await fleet.waitUntil(
    'acceptance of a policy without one replica',
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
    'effect of the newer policy',
    async () => (await post('front-2', 'x')).status === 404,
  );
  await fleet.kill('core-2');
  await fleet.waitUntil(
    'status 503 without a majority of replicas',
    async () => (await get('front-1', '/sheets/1')).status === 503,
  );
  const refusedPut = await api(fleet.apiAddressOf('front-1'), 'PUT', '/v1/policy', policy);
  t.is(refusedPut.status, 503);
  t.truthy(refusedPut.headers['retry-after']);

  // After the replicas restart with their disks, the newer policy is still stored.
  fleet.start('core-1');
  fleet.start('core-2');
  await fleet.waitUntilReady();
  // The front machines may be ready, by the other replicas, before the agent of this one listens.
  let revision = 0;
  await fleet.waitUntil('a read of the policy from a restarted machine', async () => {
    const response = await api(fleet.apiAddressOf('core-1'), 'GET', '/v1/policy');
    revision = (response.body as { revision?: number }).revision ?? 0;
    return response.status === 200;
  });
  t.true(revision >= 2);
});
