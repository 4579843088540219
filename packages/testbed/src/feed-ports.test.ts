import net from 'node:net';
import test from 'ava';
import { findFeedPort } from './testbed.js';

/** The lowest port that Linux gives to outgoing connections by default. */
const firstEphemeralPort = 32_768;

// Guards against a proxy that talks to the agent of another testbed, which took the port of its own.
test('feed ports are never assigned twice, are not in use, and are none of outgoing connections', async (t) => {
  const first = await findFeedPort(3);
  const server = net.createServer();
  await new Promise<void>((resolve) => {
    server.listen(first, '127.0.0.1', resolve);
  });
  t.teardown(() => server.close());
  const ports = [first, await findFeedPort(3), await findFeedPort(3), await findFeedPort(4)];
  t.is(new Set(ports).size, ports.length);
  for (const port of ports) t.true(port < firstEphemeralPort);
});
