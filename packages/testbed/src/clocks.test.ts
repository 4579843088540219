import test from 'ava';
import os from 'node:os';
import path from 'node:path';
import { mkdtempSync, readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { sendRequest, type RequestResult } from '@reedyard/client-stand-in';
import { api, Fleet } from './index.js';
import { smallDeployment, smallHost as host, smallPolicy as policy } from './small-deployment.js';
import { logFieldsOf } from './trial.js';

test('the wall clock jumps hours ahead and back in every process: copies, leases, keys and purges go on as before', async (t) => {
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
    'the policy',
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
  await fleet.waitUntil('a copy', async () => (await get()).served === 'copy');
  await fleet.waitUntil('a handover', async () => (await post('parcel-1')).status === 409);
  const first = (await get()).body;
  const hoursOff = (name: string): number => {
    const last =
      readFileSync(fleet.logFileOf(name, 'agent'), 'utf8').trim().split('\n').at(-1) ?? '';
    return Math.round((Date.parse(logFieldsOf(last)['time'] ?? '') - Date.now()) / 3_600_000);
  };
  for (const [index, hours] of [5, -5, 0].entries()) {
    for (const name of fleet.names()) fleet.sendSignal(name, 'SIGUSR2');
    // Kept for 60 s by its origin: five hours on by the wall clock it is the same copy, and the
    // leases stand.
    for (let each = 0; each < 20; each += 1) {
      const seen = await get();
      t.is(seen.status, 200);
      t.is(seen.served, 'copy');
      t.is(seen.body, first);
    }
    t.is((await post('parcel-1')).status, 409);
    t.is((await post(`later-${index}`)).status, 200);
    await fleet.waitUntil(
      'a policy at that hour',
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
    // The jump took place: the log, which alone tells the wall clock's time, shows it.
    await fleet.waitUntil('the log at that hour', () =>
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
  await fleet.waitUntil('the purge in force', async () =>
    (await get()).body.includes('generation=1'),
  );
});
