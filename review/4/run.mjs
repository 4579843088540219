// A front machine gets SIGTERM while an origin is at work on requests that it finishes well inside graceS.
import { Buffer } from 'node:buffer';
import { configOf, openClient, openFleet, openOrigin, runCase, sleep } from '../lib-2/fleet.mjs';

const host = 'portal.example';
/** The origin's work on a small answer, and the time in which it hands out a large one. */
const workMs = 2_200;
const largeParts = 28;
const partMs = 100;

await runCase(import.meta.dirname, async ({ record, trouble, onClose }) => {
  const fleet = await openFleet({
    record,
    machines: [
      { name: 'front-west-1', kind: 'front', zone: 'west' },
      { name: 'front-west-2', kind: 'front', zone: 'west' },
      { name: 'core-west-1', kind: 'core', zone: 'west' },
      { name: 'core-north-1', kind: 'core', zone: 'north' },
      { name: 'core-south-1', kind: 'core', zone: 'south' },
    ],
  });
  onClose(fleet.close);
  const origin = await openOrigin({
    fleet,
    record,
    service: 'alarms',
    id: 'i-alarms-1',
    zone: 'west',
    index: 1,
    work: async ({ response, run, base }) => {
      if (run.target.includes('large')) {
        const part = Buffer.alloc(100_000, 'x');
        response.writeHead(200, {
          ...base,
          'server-seal': `i-alarms-1.${run.requestId}`,
          'content-length': largeParts * part.length,
        });
        for (let sent = 0; sent < largeParts && !response.destroyed; sent += 1) {
          response.write(part);
          await sleep(partMs);
        }
        response.end();
        return null;
      }
      await sleep(run.target.includes('slow') ? workMs : 5);
      run.answeredAt = Date.now();
      return { body: 'no alarm' };
    },
  });
  onClose(origin.close);
  const route = { host, timeoutMs: 5_000, targetMs: 400, priority: 1, tries: 2 };
  await fleet.order(
    'PUT',
    '/api/config',
    configOf(
      3,
      [
        {
          ...route,
          name: 'r-alarms',
          pathStart: '/alarms/',
          kind: 'retry_safe',
          service: 'alarms',
        },
      ],
      [{ name: 'alarms', healthPath: '/health', maxConns: 130 }],
    ),
  );
  const [front] = fleet.fronts;
  for (const node of fleet.fronts) await fleet.ready(node);
  await sleep(5_000);
  const clients = Array.from({ length: 10 }, () => openClient(fleet.clientAddress(front)));
  onClose(() => clients.forEach((client) => client.close()));
  let stoppedAt = Infinity;
  const send = async (client, target, requestId) => {
    record(`client sends GET ${target} ${requestId}`);
    const reply = await client.send('GET', target, {
      requestId,
      hostName: host,
      timeLeftMs: 5_000,
    });
    const at = Date.now() - stoppedAt;
    const how = reply.cut === true ? ` (cut: ${reply.text})` : '';
    record(
      `client gets ${reply.status}${how} for ${requestId} after ${reply.ms} ms${at > 0 ? `, ${at} ms after SIGTERM` : ''}${reply.status >= 500 ? `: ${reply.text}` : ''}`,
    );
    return reply;
  };
  for (const [index, client] of clients.entries())
    await send(client, '/alarms/plain', `plain-${index}`);
  const pending = clients.map((client, index) =>
    index < 8
      ? send(client, `/alarms/slow-${index}`, `slow-${index}`)
      : send(client, `/alarms/large-${index}`, `large-${index}`),
  );
  await sleep(300);
  if (trouble) {
    stoppedAt = Date.now();
    fleet.signal(front, 'SIGTERM');
  }
  const replies = await Promise.all(pending);
  const isOwn = (reply) => reply.status >= 500 && reply.headers['server-seal'] === undefined;
  const isUnsealed = (reply) => reply.status !== 200 || reply.headers['server-seal'] === undefined;
  const brokenOff = replies.filter(
    (reply, index) =>
      isOwn(reply) && origin.runs.some((run) => run.target === `/alarms/large-${index}` && run.cut),
  );
  record(
    `requests under way at SIGTERM: ${replies.length}; without the origin's answer: ${replies.filter(isUnsealed).length}; broken off while the origin was sending, with an answer of the system's own in its place: ${brokenOff.length}`,
  );
  return brokenOff.length > 0;
});
