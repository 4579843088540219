/**
 * A front machine is cut off from the core while a configuration adds a route whose home is its region. A
 * front machine of another region, which stays in touch, is asked on that route after the configuration has
 * to be in force (CONFIG: no request is refused with 404 though the route is there).
 */
import path from 'node:path';
import process from 'node:process';
import { setTimeout } from 'node:timers';
import { ask, configOf, Fleet, sleep } from '../lib/fleet.mjs';
import { Origin, plainAnswer } from '../lib/origin.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const workMs = 30;
const cutMs = 5_500;
const applyMs = 2_000;
const goBackMs = 250;
const inTouchMs = 3_000;

const zones = { 'zone-a': 'region-a', 'zone-b': 'region-b' };
const fleet = new Fleet({
  fronts: 6,
  zones,
  frontZones: ['zone-a', 'zone-b', 'zone-b', 'zone-b', 'zone-b', 'zone-b'],
  recordFile: path.join(import.meta.dirname, 'record.txt'),
});
/** The machines that are asked are in the other region: the home machine serves the route for them. */
const askers = fleet.fronts.slice(3);

const answer = ({ socket, request, id, run }) => {
  run.via = request.headers.via ?? '';
  setTimeout(() => {
    fleet.note(`origin ran ${run.target} ${id} (via ${run.via})`);
    socket.write(plainAnswer(id, `whole body of ${run.target}`));
  }, workMs);
};

const finish = async (code, text) => {
  fleet.note(text);
  process.stdout.write(`${text}\n`);
  await fleet.stop();
  process.exit(code);
};

const send = async (asked, target) => {
  const outcome = await ask(asked, { target });
  fleet.note(
    `sent at ${outcome.sentAt - fleet.startedAt}: GET ${target} ${outcome.id} to ${asked.name}: ${outcome.status || outcome.why}`,
  );
  return { ...outcome, asked: asked.name };
};
const sendToAll = (target) => Promise.all(askers.map((asked) => send(asked, target)));

const routes = ['first', 'later'].map((name) => ({
  name,
  pathStart: `/${name}/`,
  kind: 'retry_safe',
  homeRegions: ['region-a'],
  service: 'store',
}));
/** Added together with the route `later`; the asked machine may serve it itself. */
const plainRoute = { name: 'plain', pathStart: '/plain/', kind: 'retry_safe', service: 'store' };
const services = [{ name: 'store' }];

try {
  await fleet.start();
  if ((await fleet.order('PUT', '/api/config', configOf(1, routes.slice(0, 1), services))) !== 200)
    await finish(2, 'the first configuration was not taken');
  const origin = new Origin({
    fleet,
    id: 'i-store',
    service: 'store',
    host: fleet.originHost(0),
    port: 9_000,
    zone: 'zone-a',
    answer,
  });
  await origin.start();
  if (!(await fleet.waitReady())) await finish(2, 'the machines did not get ready');
  // All machines are in touch from here on.
  await sleep(inTouchMs);
  // The home machine serves the homed route for the asked machines.
  const [other] = fleet.fronts;
  for (let number = 0; number < 5; number += 1) await sendToAll(`/first/${number}`);
  if (!origin.runs.at(-1)?.via.includes(`${other.name} `))
    await finish(2, 'the home machine does not serve the requests');

  if (hasTrouble) fleet.cutHosts.add(other.host);
  const cutAt = Date.now();
  fleet.note(hasTrouble ? `${other.name} is cut off from the core` : 'no trouble (TROUBLE=0)');
  await sleep(300);
  if (
    (await fleet.order('PUT', '/api/config', configOf(2, [...routes, plainRoute], services))) !==
    200
  )
    await finish(2, 'the second configuration was not taken');
  const acknowledgedAt = Date.now();
  // Each asked machine shows the effect of the new configuration.
  const shownAt = new Map();
  while (shownAt.size < askers.length && Date.now() < acknowledgedAt + applyMs) {
    for (const { asked, id, status } of await sendToAll('/plain/0')) {
      const run = origin.runs.find((each) => each.id === id);
      if (status === 200 && run !== undefined && !shownAt.has(asked)) shownAt.set(asked, run.at);
    }
    await sleep(50);
  }

  const outcomes = [];
  for (let number = 0; Date.now() < cutAt + cutMs; number += 1) {
    outcomes.push(...(await sendToAll(`/later/${number}`)));
    await sleep(50);
  }
  fleet.cutHosts.clear();
  fleet.note(`${other.name} is no longer cut off`);
  for (let number = 0; number < 40; number += 1) {
    outcomes.push(...(await sendToAll(`/later/again-${number}`)));
    await sleep(50);
  }
  origin.stop();

  const due = outcomes.filter(({ sentAt }) => sentAt > acknowledgedAt + applyMs);
  const refused = due.filter(({ status }) => status === 404);
  const isBack = refused.every(
    ({ asked, sentAt }) => sentAt > (shownAt.get(asked) ?? Infinity) + goBackMs,
  );
  const text =
    `CONFIG: ${due.length} requests to three machines in touch were sent on the added route more than ${applyMs} ms after its configuration was acknowledged; ` +
    `${refused.length} of them were refused with 404 (${isBack ? `all` : `not all`} of them more than ${goBackMs} ms after an origin had seen the same machine serve by the new configuration)`;
  await finish(refused.length > 0 ? 1 : 0, text);
} catch (error) {
  await finish(2, `the case could not run: ${error.stack}`);
}
