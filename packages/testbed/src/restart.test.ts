import { mkdtempSync, readFileSync } from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import test from 'ava';
import { sendRequest } from '@reedyard/client-stand-in';
import { api, Fleet } from './index.js';
import { smallDeployment, smallHost as host, smallPolicy } from './small-deployment.js';

// Guards against a program ending with code 4 when it is started while its predecessor drains.
test('programs started beside their predecessors wait for the ports and then serve', async (t) => {
  const folder = mkdtempSync(path.join(os.tmpdir(), 'reedyard-'));
  const fleet = await Fleet.create(smallDeployment, folder);
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
  const restarted = ['front-1', 'core-1'];
  const signalPredecessors = restarted.map((name) => {
    fleet.freeze(name);
    return fleet.startSuccessors(name);
  });
  await fleet.waitUntil('the successors waiting for their ports', async () => {
    const logs = restarted.flatMap((name) =>
      fleet.programsOf(name).map((program) => readFileSync(fleet.logFileOf(name, program), 'utf8')),
    );
    return unexpectedExits.length > 0 || logs.every((log) => log.includes('event=start.waiting'));
  });
  t.deepEqual(unexpectedExits, []);
  await Promise.all(
    signalPredecessors.map((signal) => {
      const stopped = signal('SIGTERM');
      void signal('SIGCONT');
      return stopped;
    }),
  );
  await fleet.waitUntilReady();
  await fleet.waitUntil('the start of the second replica', async () => {
    const log = readFileSync(fleet.logFileOf('core-1', 'replica'), 'utf8');
    return log.split('event=started').length === 3;
  });
  // A node that is ready may still wait for its quota.
  await fleet.waitUntil('an answer of the restarted node', async () => {
    const { status } = await sendRequest({
      at: fleet.clientAddressOf('front-1'),
      method: 'GET',
      host,
      target: '/sheets/1',
      timeoutMs: 10_000,
    });
    return status === 200;
  });
  t.deepEqual(unexpectedExits, []);
});
