import { mkdtempSync } from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import test from 'ava';
import { sendRequest } from '@reedyard/client-stand-in';
import { call } from '@reedyard/rpc';
import { api, Fleet } from './index.js';
import { smallDeployment, smallHost as host, smallPolicy } from './small-deployment.js';

const record = { revision: 1e9, value: { id: 'front-1' } };

/** Messages that no version of an agent or a replica sends. */
const foreignMessages: readonly unknown[] = [
  null,
  undefined,
  5,
  'text',
  [],
  {},
  { kind: 'unknown' },
  { kind: 'push' },
  { kind: 'push', tellings: { 'node/x': record, 'origin/x': record, 'vector/x': record } },
  { kind: 'push', tellings: { 'node/front-1': record, 'vector/front-1': null } },
  { kind: 'exchange', exchange: {} },
  { kind: 'exchange', exchange: { from: {}, digest: { a: 'b' }, sample: [null] } },
  { kind: 'feed', report: null, held: null },
  { kind: 'claim' },
  { members: null, call: { kind: 'accept', key: 'policy', ballot: null } },
  { members: 5, call: { kind: 'prepare', key: null, ballot: ['x'] } },
  { members: null, call: { kind: 'restore', cells: [[1]], facts: [null] } },
];

// Guards against a process ending with code 1 at a message that its reducer can't handle.
test('messages of an unknown form fail alone, the processes that get them go on', async (t) => {
  const fleet = await Fleet.create(
    smallDeployment,
    mkdtempSync(path.join(os.tmpdir(), 'reedyard-')),
  );
  t.teardown(() => fleet.stopAll());
  const unexpectedExits: string[] = [];
  fleet.onUnexpectedExit = (name, program, how) =>
    unexpectedExits.push(`${name} ${program}: ${how}`);
  fleet.startAll();
  await fleet.startOrigins();
  await fleet.waitUntil(
    'acceptance of the policy by a majority of replicas',
    async () =>
      (await api(fleet.apiAddressOf('front-2'), 'PUT', '/v1/policy', smallPolicy)).status === 200,
  );
  await fleet.waitUntilReady();
  const targets = [
    [fleet.callAddressOf('front-1', 'agent'), '/agent'],
    [fleet.callAddressOf('core-1', 'agent'), '/agent'],
    [fleet.callAddressOf('core-1', 'replica'), '/replica'],
  ] as const;
  for (const message of foreignMessages)
    for (const [address, callPath] of targets)
      await call(address, callPath, message).catch(() => undefined);
  const send = (): ReturnType<typeof sendRequest> =>
    sendRequest({
      at: fleet.clientAddressOf('front-1'),
      method: 'GET',
      host,
      target: `/sheets/${Math.random()}`,
      timeoutMs: 10_000,
    });
  await fleet.waitUntil(
    'an answer after the messages',
    async () => unexpectedExits.length > 0 || (await send()).status === 200,
  );
  t.deepEqual(unexpectedExits, []);
});
