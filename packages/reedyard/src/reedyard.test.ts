import test from 'ava';
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { execFile } from 'node:child_process';
import { fileURLToPath } from 'node:url';

const program = fileURLToPath(new URL('../bin/run.js', import.meta.url));
const runCommand = (
  args: readonly string[],
  nodes: string,
  input = '',
): Promise<{ code: number; out: string; err: string }> =>
  new Promise((resolve) => {
    const child = execFile(
      process.execPath,
      [program, ...args],
      { env: { ...process.env, REEDYARD_NODES: nodes } },
      (error, out, err) =>
        resolve({ code: typeof error?.code === 'number' ? error.code : 0, out, err }),
    );
    child.stdin?.end(input);
  });

test('commands try the nodes of REEDYARD_NODES in turn, send documents, and exit with fixed codes', async (t) => {
  const receivedRequests: { method: string; url: string; change: string; text: string }[] = [];
  const server = http.createServer((request, response) => {
    let text = '';
    request.on('data', (chunk) => {
      text += String(chunk);
    });
    request.on('end', () => {
      receivedRequests.push({
        method: request.method ?? '',
        url: request.url ?? '',
        change: String(request.headers['reedyard-change-id'] ?? ''),
        text,
      });
      const status =
        request.url === '/v1/zones/nowhere' ? 422 : request.url === '/ready' ? 503 : 200;
      response.writeHead(status, { 'content-type': 'application/json' });
      response.end(
        JSON.stringify(
          status === 200
            ? { revision: 4 }
            : {
                title: 'No',
                status,
                detail: 'because',
                faults: [{ path: '/x', message: 'wrong' }],
              },
        ),
      );
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  const node = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const nodes = `127.0.0.1:1, ${node}`;

  const policy = JSON.stringify({
    services: { s: { ceiling: '{{c:5}}', coldRate: 1 } },
    routes: [],
  });
  const putResult = await runCommand(
    ['policy', 'put', '-', '--change', 'c-1', '--param', 'c=9', '--json'],
    nodes,
    policy,
  );
  t.is(putResult.code, 0);
  t.deepEqual(JSON.parse(putResult.out), { revision: 4 });
  t.deepEqual(receivedRequests[0], {
    method: 'PUT',
    url: '/v1/policy',
    change: 'c-1',
    text: '{"services":{"s":{"ceiling":9,"coldRate":1}},"routes":[]}',
  });

  const refusedResult = await runCommand(['zone', 'empty', 'nowhere'], nodes);
  t.is(refusedResult.code, 3);
  t.regex(refusedResult.err, /422 No: because\n {2}\/x: wrong/);
  t.is((await runCommand(['policy', 'put', '-'], nodes, '{"services":')).code, 2);
  t.is(
    (await runCommand(['policy', 'check', '-'], nodes, '{"services":{},"routes":[{}]}')).code,
    3,
  );
  t.is((await runCommand(['purge'], nodes)).code, 2);
  t.is((await runCommand(['nonsense'], nodes)).code, 2);
  t.is((await runCommand(['ready'], nodes)).code, 5);
  const unreachedResult = await runCommand(['status', '--json'], '127.0.0.1:1');
  t.is(unreachedResult.code, 4);
  t.is((JSON.parse(unreachedResult.out) as { exit: number }).exit, 4);
});

test('safe-to-stop queries several nodes, trusts a node with a lease, and exits with 0, 1 or 2', async (t) => {
  const member = (name: string, state: string): object => ({
    name,
    node: name,
    address: `10.0.0.9:${name.length}`,
    disk: name,
    zone: 'west',
    state,
    outcome: null,
    lastAnswerAgeMs: 1,
  });
  const statusOf = (leaseMs: number, states: readonly string[]): object => ({
    leaseMs,
    control: {
      epoch: 2,
      members: states.map((state, index) => member(`m-${index}`, state)),
      recovering: [],
      quorum: 2,
      lossesBorne: states.filter((state) => state === 'answering').length - 2,
      configuredLosses: 1,
      wantedMembers: 3,
      spares: [],
    },
  });
  const serve = async (status: object): Promise<string> => {
    const server = http.createServer((request, response) => {
      response.writeHead(200, { 'content-type': 'application/json' });
      response.end(JSON.stringify(request.url === '/v1/status' ? status : { peers: [] }));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    t.teardown(() => {
      server.close();
      server.closeAllConnections();
    });
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
  };
  const allAnswering = ['answering', 'answering', 'answering'];
  const [leased, isolated, degraded] = await Promise.all([
    serve(statusOf(900, allAnswering)),
    serve(statusOf(0, allAnswering)),
    serve(statusOf(900, [...allAnswering.slice(1), 'silent'])),
  ]);
  const safe = await runCommand(
    ['safe-to-stop', 'm-1', '--json'],
    `127.0.0.1:1,${isolated},${leased}`,
  );
  t.is(safe.code, 0, safe.err);
  t.is((JSON.parse(safe.out) as { verdict: string }).verdict, 'safe');
  const unsafe = await runCommand(['safe-to-stop', 'm-1'], `${leased},${degraded}`);
  t.is(unsafe.code, 1);
  t.regex(unsafe.out, /m-2 is silent/);
  t.is((await runCommand(['safe-to-stop', 'm-1'], isolated)).code, 2);
  t.is((await runCommand(['safe-to-stop', 'm-7'], leased)).code, 2);
});
