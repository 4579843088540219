import { mkdtempSync } from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import test from 'ava';
import { type RequestResult, sendRequest } from '@reedyard/client-stand-in';
import { api, Fleet } from './index.js';
import { smallDeployment, smallHost as host, smallPolicy } from './small-deployment.js';

/** How long the origins work on a request: longer than a lease, and within a shutdown. */
const workMs = 2_500;

/** How long the requests are in flight before their node is stopped, in milliseconds. */
const headStartMs = 300;

const policy = {
  ...smallPolicy,
  routes: [
    ...smallPolicy.routes,
    { name: 'alarms', host, path: '/alarms/', service: 'store', cache: { keep: 'never' } },
  ],
};

// Guards against a stopped node dropping answers of origins at work, since its agent left (review case 4).
test('requests in flight at a SIGTERM of their machine get the answers of their origins', async (t) => {
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
      (await api(fleet.apiAddressOf('front-2'), 'PUT', '/v1/policy', policy)).status === 200,
  );
  await fleet.waitUntilReady();
  const send = (method: string, target: string, key?: string): Promise<RequestResult> =>
    sendRequest({
      at: fleet.clientAddressOf('front-1'),
      method,
      host,
      target,
      timeoutMs: 10_000,
      ...(key === undefined ? {} : { key, job: key }),
    });
  await fleet.waitUntil(
    'quotas of both services',
    async () =>
      (await send('GET', '/alarms/first')).status === 200 &&
      (await send('POST', '/handovers', `first-${Math.random()}`)).status === 200,
  );
  for (const standIn of fleet.originStandIns.values()) standIn.setMode({ slowMs: workMs });
  const pending = [
    send('GET', '/alarms/1'),
    send('GET', '/alarms/size=3000000'),
    send('GET', '/sheets/1'),
    send('GET', '/sheets/1'),
    send('POST', '/handovers', 'parcel-1'),
  ];
  await new Promise((resolve) => {
    setTimeout(resolve, headStartMs);
  });
  const stopped = fleet.stop('front-1');
  const results = await Promise.all(pending);
  t.deepEqual(
    results.map(({ status, fault, detail }) => [status, fault, detail]),
    pending.map(() => [200, null, '']),
  );
  t.is(
    fleet.originStandIns
      .get('app-1')
      ?.ran()
      .filter(({ id }) => id === 'parcel-1').length,
    1,
  );
  await stopped;
});
