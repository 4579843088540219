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

type Stage = { readonly origin: ScriptedOrigin; readonly harness: Harness };

const stage = async (t: ExecutionContext, script: Script, limits: object = {}): Promise<Stage> => {
  const origin = await startScriptedOrigin(script);
  const policy = { revision: 1, document: policyOf({}, limits) };
  const harness = await startHarness({ policy, origins: [originEndpoint(origin.port)] });
  t.teardown(async () => {
    harness.close();
    await origin.close();
  });
  return { origin, harness };
};

const ask = async (
  { harness }: Stage,
  method: string,
  path: string,
  id: string,
  body = '',
  more = '',
): Promise<RawClient> => {
  const caller = await RawClient.connect(harness.port);
  caller.send(method, path, id, body, more);
  await caller.waitForResponses(1);
  return caller;
};

const statusOf = (caller: RawClient): number | undefined => caller.responses()[0]?.status;

test('a connection that breaks after the request: one run, and an answer that promises nothing', async (t) => {
  for (const breakIt of ['reset', 'close', 'half-close'] as const) {
    const setting = await stage(t, (_request, socket) => {
      if (breakIt === 'reset') socket.resetAndDestroy();
      else if (breakIt === 'close') socket.destroy();
      else socket.end();
    });
    const caller = await ask(setting, 'POST', '/order/1', 'r1', 'pay');
    t.is(statusOf(caller), 502, breakIt);
    t.false(caller.text.includes('x-stamp'), breakIt);
    t.is(setting.origin.requests.length, 1, breakIt);
  }
});

test('what may not run twice goes over a new connection once the resting one is closed', async (t) => {
  const setting = await stage(t, (request, socket) => {
    socket.write(validResponse(request));
  });
  t.is(statusOf(await ask(setting, 'POST', '/order/1', 'r1', 'a')), 200);
  const [first] = setting.origin.sockets;
  first?.resetAndDestroy();
  t.is(statusOf(await ask(setting, 'POST', '/order/2', 'r2', 'b')), 200);
  t.deepEqual(
    setting.origin.requests.map(({ body }) => body),
    ['a', 'b'],
  );
});

test('a surplus answer, with the last bytes or later, is given to nobody', async (t) => {
  const setting = await stage(t, (request, socket) => {
    const own = validResponse(request);
    if (request.path === '/read/1')
      socket.write(own + responseBytes(200, responseFieldsFor(request), 'surplus'));
    else socket.write(own);
  });
  for (const number of [1, 2, 3]) {
    const caller = await ask(setting, 'GET', `/read/${number}`, `r${number}`);
    t.is(caller.responses()[0]?.body, `/read/${number}`);
  }
  t.not(setting.origin.requests[0]?.connection, setting.origin.requests[1]?.connection);
  const [, resting] = setting.origin.sockets;
  resting?.write(responseBytes(200, { 'x-request': 'r3', 'x-stamp': 'sealed' }, 'stale'));
  for (const number of [4, 5]) {
    const caller = await ask(setting, 'GET', `/read/${number}`, `r${number}`);
    t.false(caller.text.includes('stale'));
    if (statusOf(caller) === 200) t.is(caller.responses()[0]?.body, `/read/${number}`);
    else t.is(statusOf(caller), 502);
  }
});

test('bytes that are no answer, behind a whole one, take nothing from it', async (t) => {
  const setting = await stage(t, (request, socket) => {
    socket.write(`${validResponse(request)}\0\0 no answer \0\0`);
  });
  const caller = await ask(setting, 'POST', '/order/1', 'r1', 'pay');
  t.is(statusOf(caller), 200);
  t.is(caller.responses()[0]?.body, '/order/1');
  t.is(statusOf(await ask(setting, 'POST', '/order/2', 'r2', 'pay')), 200);
  t.deepEqual(
    setting.origin.requests.map(({ connection }) => connection),
    [0, 1],
  );
});

test('an answer after our timeout is given to nobody', async (t) => {
  const late: { write: () => void }[] = [];
  const setting = await stage(t, (request, socket) => {
    if (request.path === '/read/1')
      late.push({ write: () => socket.write(validResponse(request)) });
    else socket.write(validResponse(request));
  });
  const first = await ask(setting, 'GET', '/read/1', 'r1', '', 'x-left-ms: 200\r\n');
  t.is(statusOf(first), 504);
  late.forEach(({ write }) => write());
  const second = await ask(setting, 'GET', '/read/2', 'r2');
  t.is(second.responses()[0]?.body, '/read/2');
  t.is(setting.origin.requests.at(-1)?.connection, 1);
});

test('an answer cut short never looks whole: small, chunked and streamed', async (t) => {
  const large = maxBufferedBodyBytes + 1_000_000;
  const setting = await stage(t, (request, socket) => {
    const fields = responseFieldsFor(request);
    if (request.path === '/order/small') {
      socket.end(responseBytes(200, { ...fields, 'content-length': '10' }, 'short'));
    } else if (request.path === '/order/chunked') {
      const head = responseBytes(200, { ...fields, 'transfer-encoding': 'chunked' }, '');
      socket.end(`${head.replace(/content-length: 0\r\n/, '')}5\r\nshort\r\n`);
    } else if (request.path === '/order/unbounded') {
      socket.end(responseBytes(200, fields, '').replace(/content-length: 0\r\n/, '') + 'short');
    } else {
      const head = responseBytes(200, { ...fields, 'content-length': String(large) }, '');
      socket.end(head + 'x'.repeat(large - 10_000));
    }
  });
  for (const kind of ['small', 'chunked', 'unbounded']) {
    const caller = await ask(setting, 'POST', `/order/${kind}`, kind, 'pay');
    t.is(statusOf(caller), 502, kind);
    t.false(caller.text.includes('x-stamp'), kind);
  }
  const caller = await ask(setting, 'GET', '/read/streamed', 'streamed');
  t.deepEqual(caller.responses(), []);
  t.true((caller.ended || caller.closed) && caller.text.length < large);
});

test('an answer before the whole request was read: passed on, and its connection not used again', async (t) => {
  const moreThanBuffersHold = 24 * 1024 * 1024;
  const setting = await stage(
    t,
    (request, socket) => {
      socket.pause();
      socket.write(responseBytes(429, { ...responseFieldsFor(request), 'x-not-run': '1' }, ''));
    },
    { bodyBytes: moreThanBuffersHold },
  );
  setting.origin.readsBodies = false;
  const body = 'x'.repeat(moreThanBuffersHold);
  t.is(statusOf(await ask(setting, 'POST', '/order/1', 'r1', body)), 503);
  setting.origin.readsBodies = true;
  setting.origin.script = (request, socket) => {
    socket.write(validResponse(request));
  };
  const second = ask(setting, 'POST', '/order/2', 'r2', 'pay');
  await waitUntil(() => setting.origin.sockets.length === 2);
  setting.origin.sockets[0]?.resetAndDestroy();
  t.is(statusOf(await second), 200);
});

test('an origin that switches protocols has not answered, and is not waited for', async (t) => {
  const setting = await stage(t, (_request, socket) => {
    socket.write('HTTP/1.1 101 Switching\r\nconnection: upgrade\r\nupgrade: other\r\n\r\n');
  });
  const caller = await ask(setting, 'POST', '/order/1', 'r1', 'pay');
  t.is(statusOf(caller), 502);
  t.true(setting.harness.logged.some((line) => line.includes('"why":"cut"')));
});

test('an unmarked "not run" is believed only where it can answer nothing else', async (t) => {
  const setting = await stage(t, (request, socket) => {
    const refusal = responseBytes(503, { 'x-not-run': '1' }, '');
    socket.write(request.path === '/read/sound' ? validResponse(request) : refusal);
  });
  // Over a new connection it can only be the answer to this request.
  t.is(statusOf(await ask(setting, 'POST', '/order/1', 'r1', 'pay')), 503);
  setting.origin.sockets[0]?.resetAndDestroy();
  t.is(statusOf(await ask(setting, 'GET', '/read/sound', 'r2')), 200);
  t.is(statusOf(await ask(setting, 'GET', '/read/refused', 'r3')), 502);
  const [, sound, refused] = setting.origin.requests;
  t.is(sound?.connection, refused?.connection);
});

test('an origin restarted at its address under another id: proof that nothing ran, then the new one', async (t) => {
  const setting = await stage(t, (request, socket) => {
    socket.write(validResponse(request));
  });
  for (let number = 0; number < 10; number += 1) {
    await ask(setting, 'GET', `/read/${number}`, `w${number}`);
  }
  let ran = 0;
  setting.origin.script = (request, socket) => {
    if (request.headers['x-intended'] === 'i2') {
      ran += 1;
      socket.write(validResponse(request));
    } else {
      socket.write(responseBytes(421, { 'x-request': request.headers['x-request'] ?? '' }, ''));
    }
  };
  const { port } = setting.origin;
  setting.harness.feed.origins = [originEndpoint(port, 'i1'), originEndpoint(port, 'i2')];
  const { task } = setting.harness.proxy;
  await waitUntil(() => task.peek().feed?.origins.length === 2);
  const bodies: (string | undefined)[] = [];
  for (let number = 0; number < 8; number += 1) {
    const caller = await ask(setting, 'POST', `/order/${number}`, `r${number}`, 'pay');
    bodies.push(caller.responses()[0]?.body);
  }
  t.deepEqual(
    bodies,
    Array.from({ length: 8 }, (_each, number) => `/order/${number}`),
  );
  t.is(ran, 8);
});

test('a streamed answer that nobody takes gives its connection back', async (t) => {
  const large = maxBufferedBodyBytes + 4_000_000;
  const setting = await stage(t, (request, socket) => {
    const fields = { ...responseFieldsFor(request), 'content-length': String(large) };
    const foreign = { ...fields, 'x-request': 'another' };
    const head = responseBytes(200, request.path === '/order/foreign' ? foreign : fields, '');
    socket.write(head + 'x'.repeat(large));
  });
  const caller = await ask(setting, 'POST', '/order/foreign', 'r1', 'pay');
  t.is(statusOf(caller), 502);
  await waitUntil(() => setting.origin.sockets[0]?.closed === true);
  const leaver = await RawClient.connect(setting.harness.port);
  leaver.send('GET', '/read/left', 'r2');
  await waitUntil(() => leaver.text.length > 0);
  leaver.socket.destroy();
  await waitUntil(() => setting.origin.sockets.every((socket) => socket.closed));
  t.pass();
});
