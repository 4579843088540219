import test from 'ava';
import os from 'node:os';
import path from 'node:path';
import { mkdtempSync, readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { sendRequest, type RequestResult } from '@reedyard/client-stand-in';
import { api, Fleet } from './index.js';
import { smallDeployment, smallHost as host, smallPolicy as policy } from './small-deployment.js';
import { logFieldsOf } from './trial.js';

test('jumps of the wall clock by hours in every process affect neither copies, leases, keys nor purges', async (t) => {
  const fleet = await Fleet.create(
    smallDeployment,
    mkdtempSync(path.join(os.tmpdir(), 'reedyard-')),
    {
      preload: [fileURLToPath(new URL('./clock-jump.js', import.meta.url))],
    },
  );
  t.teardown(() => fleet.stopAll());
  fleet.startAll();
  await fleet.startOrigins();
  await fleet.waitUntil(
    'acceptance of the policy',
    async () =>
      (await api(fleet.apiAddressOf('front-2'), 'PUT', '/v1/policy', policy)).status === 200,
  );
  await fleet.waitUntilReady();
  const get = (): Promise<RequestResult> =>
    sendRequest({
      at: fleet.clientAddressOf('front-1'),
      method: 'GET',
      host,
      target: '/sheets/1',
      service: 'store',
    });
  const post = (key: string): Promise<RequestResult> =>
    sendRequest({
      at: fleet.clientAddressOf('front-2'),
      method: 'POST',
      host,
      target: '/handovers',
      service: 'application',
      key,
      job: key,
    });
  await fleet.waitUntil(
    'a response from a cached copy',
    async () => (await get()).served === 'copy',
  );
  await fleet.waitUntil(
    'rejection of a repeated key',
    async () => (await post('parcel-1')).status === 409,
  );
  const firstBody = (await get()).body;
  const hoursOff = (name: string): number => {
    const lastLine =
      readFileSync(fleet.logFileOf(name, 'agent'), 'utf8').trim().split('\n').at(-1) ?? '';
    return Math.round((Date.parse(logFieldsOf(lastLine)['time'] ?? '') - Date.now()) / 3_600_000);
  };
  for (const [index, hours] of [5, -5, 0].entries()) {
    for (const name of fleet.names()) fleet.sendSignal(name, 'SIGUSR2');
    // The copy has a lifetime of 60 s. It is still served although the wall clock moves by five
    // hours, and the leases remain valid.
    for (let requests = 0; requests < 20; requests += 1) {
      const response = await get();
      t.is(response.status, 200);
      t.is(response.served, 'copy');
      t.is(response.body, firstBody);
    }
    t.is((await post('parcel-1')).status, 409);
    t.is((await post(`later-${index}`)).status, 200);
    await fleet.waitUntil(
      'acceptance of a policy at that hour',
      async () =>
        (
          await api(
            fleet.apiAddressOf('front-1'),
            'PUT',
            '/v1/policy',
            {
              ...policy,
              routes: [
                ...policy.routes,
                { name: `extra-${index}`, host, path: `/extra-${index}/`, service: 'store' },
              ],
            },
            { 'reedyard-change-id': `jump-${index}` },
          )
        ).status === 200,
    );
    // Log lines carry the time of the wall clock, and so confirm that the jump took place.
    await fleet.waitUntil('a log line at that hour', () =>
      Promise.resolve(hoursOff('front-1') === hours),
    );
  }
  fleet.originStandIns.get('content-1')?.startNewGeneration();
  t.is(
    (
      await api(fleet.apiAddressOf('core-2'), 'POST', '/v1/purges', {
        objects: [`${host}/sheets/1`],
      })
    ).status,
    200,
  );
  await fleet.waitUntil('effect of the purge', async () =>
    (await get()).body.includes('generation=1'),
  );
});
