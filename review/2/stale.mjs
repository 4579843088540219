/**
 * A front machine is cut off from the core while an object that it has a copy of changes and is purged.
 * Another front machine, which stays in touch, is asked for the object after the purge has to be in force
 * (STALE: no version that had been replaced when the purge was sent).
 */
import path from 'node:path';
import process from 'node:process';
import { setTimeout } from 'node:timers';
import { ask, configOf, Fleet, sleep } from '../lib/fleet.mjs';
import { Origin, plainAnswer } from '../lib/origin.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const workMs = 30;
const cacheForS = 20;
const cutMs = 5_500;
const purgeMs = 2_000;
const inTouchMs = 3_000;
/** Seconds of traffic before the disruption at most; the machines announce their load every 30 s. */
const mostWarmRounds = 50;

const fleet = new Fleet({
  fronts: 6,
  frontZones: ['zone-a', 'zone-a', 'zone-a', 'zone-b', 'zone-b', 'zone-b'],
  recordFile: path.join(import.meta.dirname, 'record-stale.txt'),
});
const [asked, other] = fleet.fronts;
const versions = new Map();

const answer = ({ socket, request, id, run }) => {
  run.via = request.headers.via ?? '';
  run.version = versions.get(run.target) ?? 1;
  setTimeout(() => {
    fleet.note(`origin ran ${run.target} ${id} (via ${run.via}): version ${run.version}`);
    const extra = `ETag: "v${run.version}"\r\n`;
    socket.write(plainAnswer(id, `${run.target} version ${run.version}`, { extra }));
  }, workMs);
};

const finish = async (code, text) => {
  fleet.note(text);
  process.stdout.write(`${text}\n`);
  await fleet.stop();
  process.exit(code);
};

const send = async (target) => {
  const outcome = await ask(asked, { target });
  fleet.note(
    `sent at ${outcome.sentAt - fleet.startedAt}: GET ${target} ${outcome.id} to ${asked.name}: ` +
      `${outcome.status || outcome.why} ${outcome.status === 200 ? `"${outcome.text}"` : ''}`,
  );
  return outcome;
};

const routes = [
  { name: 'page', pathStart: '/page/', kind: 'cacheable', cacheForS, service: 'store' },
];

try {
  await fleet.start();
  if ((await fleet.order('PUT', '/api/config', configOf(1, routes, [{ name: 'store' }]))) !== 200)
    await finish(2, 'the configuration was not taken');
  const origin = new Origin({
    fleet,
    id: 'i-store',
    service: 'store',
    host: fleet.originHost(0),
    port: 9_000,
    zone: asked.zone,
    answer,
  });
  await origin.start();
  if (!(await fleet.waitReady())) await finish(2, 'the machines did not get ready');
  // All machines are in touch from here on.
  await sleep(inTouchMs);
  // Traffic until the machines draw by their load who serves an object.
  let target = null;
  for (let round = 0; round < mostWarmRounds && target === null; round += 1) {
    await Promise.all([
      ...Array.from({ length: 8 }, (_, index) => send(`/page/${8 * round + index}`)),
      sleep(1_000),
    ]);
    target = origin.runs.findLast((run) => run.via.includes(other.name))?.target ?? null;
  }
  if (target === null) await finish(2, 'the other machine fetches none of the objects');
  // The object is hot: the other machine has a fresh copy of it.
  await send(target);

  if (hasTrouble) fleet.cutHosts.add(other.host);
  const cutAt = Date.now();
  fleet.note(hasTrouble ? `${other.name} is cut off from the core` : 'no trouble (TROUBLE=0)');
  await sleep(300);
  versions.set(target, 2);
  const purgeSentAt = Date.now();
  const purge = { host: 'site.example', path: target };
  if ((await fleet.order('POST', '/api/purge', purge)) !== 200)
    await finish(2, 'the purge was not acknowledged');
  const acknowledgedAt = Date.now();
  fleet.note(
    `${target} is at version 2; its purge was acknowledged after ${acknowledgedAt - purgeSentAt} ms`,
  );

  const outcomes = [];
  while (Date.now() < cutAt + cutMs + 3_000) {
    if (Date.now() > cutAt + cutMs && fleet.cutHosts.delete(other.host))
      fleet.note(`${other.name} is no longer cut off`);
    outcomes.push(await send(target));
    await sleep(100);
  }
  origin.stop();

  const due = outcomes.filter(({ sentAt }) => sentAt > acknowledgedAt + purgeMs);
  const stale = due.filter(({ status, text }) => status === 200 && text.endsWith('version 1'));
  const text =
    `STALE: ${due.length} requests to ${asked.name}, which was in touch, were sent more than ${purgeMs} ms after the purge was acknowledged; ` +
    `${stale.length} of them got the version that had been replaced before the purge`;
  await finish(stale.length > 0 ? 1 : 0, text);
} catch (error) {
  await finish(2, `the case could not run: ${error.stack}`);
}
