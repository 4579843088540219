import { createHash } from 'node:crypto';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { maxBufferedBodyBytes } from './buffering.js';
import {
  type Harness,
  originEndpoint,
  policyOf,
  RawClient,
  startHarness,
  waitUntil,
} from './testing/proxy-harness.js';
import {
  responseBytes,
  responseFieldsFor,
  type Script,
  type ScriptedOrigin,
  validResponse,
  startScriptedOrigin,
} from './testing/scripted-origin.js';

type TestSetup = { readonly origin: ScriptedOrigin; readonly harness: Harness };

const startSetup = async (
  t: ExecutionContext,
  script: Script,
  limits: object = {},
): Promise<TestSetup> => {
  const origin = await startScriptedOrigin(script);
  const policy = { revision: 1, document: policyOf({}, limits) };
  const harness = await startHarness({ policy, origins: [originEndpoint(origin.port)] });
  t.teardown(async () => {
    harness.close();
    await origin.close();
  });
  return { origin, harness };
};

const send = async (
  { harness }: TestSetup,
  method: string,
  path: string,
  id: string,
  body = '',
  extraFields = '',
): Promise<RawClient> => {
  const client = await RawClient.connect(harness.port);
  client.send(method, path, id, body, extraFields);
  await client.waitForResponses(1);
  return client;
};

/** A response without a length, which ends with its connection. */
const unboundedResponse = (fields: Readonly<Record<string, string>>, body: string): string =>
  responseBytes(200, fields, '').replace(/content-length: 0\r\n/, '') + body;

const statusOf = (client: RawClient): number | undefined => client.responses()[0]?.status;

test('a request whose connection breaks is not retried, and gets a 502 without the origin id field', async (t) => {
  for (const closure of ['reset', 'close', 'half-close'] as const) {
    const setup = await startSetup(t, (_request, socket) => {
      if (closure === 'reset') socket.resetAndDestroy();
      else if (closure === 'close') socket.destroy();
      else socket.end();
    });
    const client = await send(setup, 'POST', '/order/1', 'r1', 'pay');
    t.is(statusOf(client), 502, closure);
    t.false(client.text.includes('x-stamp'), closure);
    t.is(setup.origin.requests.length, 1, closure);
  }
});

test('a request that is not idempotent uses a new connection if the idle one was reset', async (t) => {
  const setup = await startSetup(t, (request, socket) => {
    socket.write(validResponse(request));
  });
  t.is(statusOf(await send(setup, 'POST', '/order/1', 'r1', 'a')), 200);
  const [first] = setup.origin.sockets;
  first?.resetAndDestroy();
  t.is(statusOf(await send(setup, 'POST', '/order/2', 'r2', 'b')), 200);
  t.deepEqual(
    setup.origin.requests.map(({ body }) => body),
    ['a', 'b'],
  );
});

test('a surplus response is discarded, whether it arrives with the last bytes or later', async (t) => {
  const setup = await startSetup(t, (request, socket) => {
    const response = validResponse(request);
    if (request.path === '/read/1')
      socket.write(response + responseBytes(200, responseFieldsFor(request), 'surplus'));
    else socket.write(response);
  });
  for (const number of [1, 2, 3]) {
    const client = await send(setup, 'GET', `/read/${number}`, `r${number}`);
    t.is(client.responses()[0]?.body, `/read/${number}`);
  }
  t.not(setup.origin.requests[0]?.connection, setup.origin.requests[1]?.connection);
  const [, idle] = setup.origin.sockets;
  idle?.write(responseBytes(200, { 'x-request': 'r3', 'x-stamp': 'sealed' }, 'stale'));
  for (const number of [4, 5]) {
    const client = await send(setup, 'GET', `/read/${number}`, `r${number}`);
    t.false(client.text.includes('stale'));
    if (statusOf(client) === 200) t.is(client.responses()[0]?.body, `/read/${number}`);
    else t.is(statusOf(client), 502);
  }
});

test('unparsable bytes after a complete response do not affect it', async (t) => {
  const setup = await startSetup(t, (request, socket) => {
    socket.write(`${validResponse(request)}\0\0 no answer \0\0`);
  });
  const client = await send(setup, 'POST', '/order/1', 'r1', 'pay');
  t.is(statusOf(client), 200);
  t.is(client.responses()[0]?.body, '/order/1');
  t.is(statusOf(await send(setup, 'POST', '/order/2', 'r2', 'pay')), 200);
  t.deepEqual(
    setup.origin.requests.map(({ connection }) => connection),
    [0, 1],
  );
});

test('a response after the timeout is discarded', async (t) => {
  const lateResponses: { write: () => void }[] = [];
  const setup = await startSetup(t, (request, socket) => {
    if (request.path === '/read/1')
      lateResponses.push({ write: () => socket.write(validResponse(request)) });
    else socket.write(validResponse(request));
  });
  const first = await send(setup, 'GET', '/read/1', 'r1', '', 'x-left-ms: 200\r\n');
  t.is(statusOf(first), 504);
  lateResponses.forEach(({ write }) => write());
  const second = await send(setup, 'GET', '/read/2', 'r2');
  t.is(second.responses()[0]?.body, '/read/2');
  t.is(setup.origin.requests.at(-1)?.connection, 1);
});

test('a truncated response never looks complete: small, chunked, unbounded, digested and streamed', async (t) => {
  const large = maxBufferedBodyBytes + 1_000_000;
  const setup = await startSetup(t, (request, socket) => {
    const fields = responseFieldsFor(request);
    if (request.path === '/order/small') {
      socket.end(responseBytes(200, { ...fields, 'content-length': '10' }, 'short'));
    } else if (request.path === '/order/chunked') {
      const head = responseBytes(200, { ...fields, 'transfer-encoding': 'chunked' }, '');
      socket.end(`${head.replace(/content-length: 0\r\n/, '')}5\r\nshort\r\n`);
    } else if (request.path === '/order/unbounded') {
      socket.write(unboundedResponse(fields, 'short'), () => socket.resetAndDestroy());
    } else if (request.path === '/order/digested') {
      const digest = createHash('sha256').update('short and the rest').digest('base64');
      socket.end(
        unboundedResponse({ ...fields, 'content-digest': `sha-256=:${digest}:` }, 'short'),
      );
    } else {
      const head = responseBytes(200, { ...fields, 'content-length': String(large) }, '');
      socket.end(head + 'x'.repeat(large - 10_000));
    }
  });
  for (const kind of ['small', 'chunked', 'unbounded', 'digested']) {
    const client = await send(setup, 'POST', `/order/${kind}`, kind, 'pay');
    t.is(statusOf(client), 502, kind);
    t.false(client.text.includes('x-stamp'), kind);
  }
  const client = await send(setup, 'GET', '/read/streamed', 'streamed');
  t.deepEqual(client.responses(), []);
  t.true((client.ended || client.closed) && client.text.length < large);
});

// Guards against whole answers without a length being thrown away, after they ran (review case 6).
test('a response without a length ends with its connection, whether it is buffered or streamed', async (t) => {
  const large = 'x'.repeat(maxBufferedBodyBytes + 1_000_000);
  const setup = await startSetup(t, (request, socket) => {
    const body = request.path.endsWith('large') ? large : request.path;
    socket.end(unboundedResponse(responseFieldsFor(request), body));
  });
  for (const number of [1, 2]) {
    const order = await send(setup, 'POST', `/order/${number}`, `o${number}`, 'pay');
    t.is(statusOf(order), 200);
    t.is(order.responses()[0]?.body, `/order/${number}`);
    t.regex(order.text, /x-stamp: sealed/i);
  }
  const streamed = await RawClient.connect(setup.harness.port);
  streamed.send('GET', '/read/large', 'large');
  await waitUntil(() => streamed.text.endsWith('\r\n0\r\n\r\n'));
  t.true(streamed.text.length > large.length);
  t.deepEqual(
    setup.origin.requests.map(({ connection }) => connection),
    [0, 1, 2],
    'no connection is used again',
  );
});

test('a streamed response without a length that is reset does not look complete', async (t) => {
  const setup = await startSetup(t, (request, socket) => {
    const body = 'x'.repeat(maxBufferedBodyBytes + 1_000_000);
    socket.write(unboundedResponse(responseFieldsFor(request), body));
  });
  const client = await RawClient.connect(setup.harness.port);
  client.send('GET', '/read/large', 'large');
  await waitUntil(() => client.text.length > maxBufferedBodyBytes);
  setup.origin.sockets[0]?.resetAndDestroy();
  await waitUntil(() => client.ended || client.closed);
  t.false(client.text.endsWith('\r\n0\r\n\r\n'));
});

// Guards against streamed responses that are held without an end after their route's timeout (review case 7).
test('a streamed response whose origin falls silent is ended at the deadline of its request', async (t) => {
  const length = maxBufferedBodyBytes + 1_000_000;
  const setup = await startSetup(
    t,
    (request, socket) => {
      const fields = { ...responseFieldsFor(request), 'content-length': String(length) };
      socket.write(responseBytes(200, fields, '') + 'x'.repeat(length - 10_000));
    },
    { requestMs: 1_000 },
  );
  const client = await RawClient.connect(setup.harness.port);
  client.send('GET', '/read/silent', 'silent');
  await waitUntil(() => client.ended || client.closed);
  t.true(client.text.length > maxBufferedBodyBytes && client.text.length < length);
  const [socket] = setup.origin.sockets;
  await waitUntil(() => socket?.destroyed === true || socket?.readableEnded === true);
  await waitUntil(() => setup.harness.proxy.inFlightCount() === 0);
});

test('a response sent before the origin read the complete request is used, and its connection is not reused', async (t) => {
  const moreThanSocketBuffers = 24 * 1024 * 1024;
  const setup = await startSetup(
    t,
    (request, socket) => {
      socket.pause();
      socket.write(responseBytes(429, { ...responseFieldsFor(request), 'x-not-run': '1' }, ''));
    },
    { bodyBytes: moreThanSocketBuffers },
  );
  setup.origin.readsBodies = false;
  const body = 'x'.repeat(moreThanSocketBuffers);
  t.is(statusOf(await send(setup, 'POST', '/order/1', 'r1', body)), 503);
  setup.origin.readsBodies = true;
  setup.origin.script = (request, socket) => {
    socket.write(validResponse(request));
  };
  const second = send(setup, 'POST', '/order/2', 'r2', 'pay');
  await waitUntil(() => setup.origin.sockets.length === 2);
  setup.origin.sockets[0]?.resetAndDestroy();
  t.is(statusOf(await second), 200);
});

test('an attempt fails immediately if its origin switches protocols', async (t) => {
  const setup = await startSetup(t, (_request, socket) => {
    socket.write('HTTP/1.1 101 Switching\r\nconnection: upgrade\r\nupgrade: other\r\n\r\n');
  });
  const client = await send(setup, 'POST', '/order/1', 'r1', 'pay');
  t.is(statusOf(client), 502);
  t.true(setup.harness.logged.some((line) => line.includes('"why":"cut"')));
});

test('a not-run response without a request id is accepted only on a new connection', async (t) => {
  const setup = await startSetup(t, (request, socket) => {
    const refusal = responseBytes(503, { 'x-not-run': '1' }, '');
    socket.write(request.path === '/read/sound' ? validResponse(request) : refusal);
  });
  // On a new connection it can only be the response to this request.
  t.is(statusOf(await send(setup, 'POST', '/order/1', 'r1', 'pay')), 503);
  setup.origin.sockets[0]?.resetAndDestroy();
  t.is(statusOf(await send(setup, 'GET', '/read/sound', 'r2')), 200);
  t.is(statusOf(await send(setup, 'GET', '/read/refused', 'r3')), 502);
  const [, sound, refused] = setup.origin.requests;
  t.is(sound?.connection, refused?.connection);
});

test('a request to an origin that restarted under another id is retried at the new origin', async (t) => {
  const setup = await startSetup(t, (request, socket) => {
    socket.write(validResponse(request));
  });
  for (let number = 0; number < 10; number += 1) {
    await send(setup, 'GET', `/read/${number}`, `w${number}`);
  }
  let executedCount = 0;
  setup.origin.script = (request, socket) => {
    if (request.headers['x-intended'] === 'i2') {
      executedCount += 1;
      socket.write(validResponse(request));
    } else {
      socket.write(responseBytes(421, { 'x-request': request.headers['x-request'] ?? '' }, ''));
    }
  };
  const { port } = setup.origin;
  setup.harness.feed.origins = [originEndpoint(port, 'i1'), originEndpoint(port, 'i2')];
  const { task } = setup.harness.proxy;
  await waitUntil(() => task.peek().feed?.origins.length === 2);
  const bodies: (string | undefined)[] = [];
  for (let number = 0; number < 8; number += 1) {
    const client = await send(setup, 'POST', `/order/${number}`, `r${number}`, 'pay');
    bodies.push(client.responses()[0]?.body);
  }
  t.deepEqual(
    bodies,
    Array.from({ length: 8 }, (_element, number) => `/order/${number}`),
  );
  t.is(executedCount, 8);
});

test('a streamed response that is not forwarded completely closes its connection', async (t) => {
  const large = maxBufferedBodyBytes + 4_000_000;
  const setup = await startSetup(t, (request, socket) => {
    const fields = { ...responseFieldsFor(request), 'content-length': String(large) };
    const foreign = { ...fields, 'x-request': 'another' };
    const head = responseBytes(200, request.path === '/order/foreign' ? foreign : fields, '');
    socket.write(head + 'x'.repeat(large));
  });
  const client = await send(setup, 'POST', '/order/foreign', 'r1', 'pay');
  t.is(statusOf(client), 502);
  await waitUntil(() => setup.origin.sockets[0]?.closed === true);
  const leavingClient = await RawClient.connect(setup.harness.port);
  leavingClient.send('GET', '/read/left', 'r2');
  await waitUntil(() => leavingClient.text.length > 0);
  leavingClient.socket.destroy();
  await waitUntil(() => setup.origin.sockets.every((socket) => socket.closed));
  t.pass();
});
