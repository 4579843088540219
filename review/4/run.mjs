// One origin in trouble spoils the status line of one answer while other requests are under way.
import { configOf, openClient, openFleet, openOrigin, runCase, sleep } from '../lib-2/fleet.mjs';

const host = 'portal.example';

await runCase(import.meta.dirname, async ({ record, trouble, onClose }) => {
  const fleet = await openFleet({
    record,
    machines: [
      { name: 'front-west-1', kind: 'front', zone: 'west' },
      { name: 'core-west-1', kind: 'core', zone: 'west' },
      { name: 'core-north-1', kind: 'core', zone: 'north' },
      { name: 'core-south-1', kind: 'core', zone: 'south' },
    ],
  });
  onClose(fleet.close);
  const sound = await openOrigin({
    fleet,
    record,
    service: 'orders',
    id: 'i-orders-1',
    zone: 'west',
    index: 1,
    work: async () => {
      await sleep(1_500);
      return { body: 'the order is filed' };
    },
  });
  onClose(sound.close);
  const ill = await openOrigin({
    fleet,
    record,
    service: 'reports',
    id: 'i-reports-1',
    zone: 'west',
    index: 2,
    work: ({ request, response, base, run }) => {
      if (!trouble || run.target !== '/reports/spoilt') return { body: 'a report' };
      // The answer that it would give, with one byte of its status line spoilt.
      const text = `HTTP/1.1 000 OK\r\nRequest-Id: ${base['request-id']}\r\nServer-Seal: s\r\nContent-Length: 8\r\n\r\na report`;
      record(`origin i-reports-1 spoils the answer to ${request.url}`);
      response.socket.end(text);
      return null;
    },
  });
  onClose(ill.close);
  const route = { host, timeoutMs: 5_000, targetMs: 500, priority: 1, tries: 2, cacheForS: null };
  await fleet.order(
    'PUT',
    '/api/config',
    configOf(
      3,
      [
        { ...route, name: 'r-orders', pathStart: '/orders/', kind: 'no_retry', service: 'orders' },
        {
          ...route,
          name: 'r-reports',
          pathStart: '/reports/',
          kind: 'retry_safe',
          service: 'reports',
        },
      ],
      [
        { name: 'orders', healthPath: '/health', maxConns: 130 },
        { name: 'reports', healthPath: '/health', maxConns: 130 },
      ],
    ),
  );
  const [front] = fleet.fronts;
  await fleet.ready(front);
  await sleep(5_000);
  const clients = Array.from({ length: 8 }, () => openClient(fleet.clientAddress(front)));
  onClose(() => clients.forEach((client) => client.close()));
  const send = async (client, method, target, requestId, body) => {
    record(`client sends ${method} ${target} ${requestId}`);
    const reply = await client.send(method, target, {
      requestId,
      body,
      hostName: host,
      timeLeftMs: 5_000,
    });
    record(
      `client gets ${reply.status}${reply.cut === true ? ` (cut: ${reply.text})` : ''} for ${requestId} after ${reply.ms} ms`,
    );
    return reply;
  };
  // Each connection has carried requests before, so it is a kept one. One answer of some seventy is
  // spoilt later, which is under 0.02 of the origin's answers.
  for (let round = 0; round < 8; round += 1)
    for (const [index, client] of clients.entries())
      await send(client, 'GET', '/reports/plain', `plain-${round}-${index}`);
  const orders = clients
    .slice(0, 6)
    .map((client, index) =>
      send(client, 'POST', '/orders/new', `order-${index}`, `order ${index}`),
    );
  await sleep(500);
  const spoilt = await send(clients[7], 'GET', '/reports/spoilt', 'spoilt');
  const replies = await Promise.all(orders);
  const lost = replies.filter(
    (reply, index) =>
      reply.cut === true && sound.runs.some((run) => run.requestId === `order-${index}`),
  );
  await sleep(300);
  const { ended } = front.processes.proxy;
  record(
    `orders that the sound origin ran and whose connection ended without an answer: ${lost.length}; the spoilt one got ${spoilt.status}`,
  );
  record(
    ended === null
      ? 'the proxy still runs'
      : `the proxy ended by itself (code ${ended.code}, signal ${ended.signal}): ${fleet
          .logOf(front, 'proxy')
          .split('\n')
          .filter((line) => /Error/.test(line))
          .slice(0, 2)
          .join(' | ')}`,
  );
  return lost.length > 3;
});
