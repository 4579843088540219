import { spawnSync } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import test from 'ava';
import {
  allocationIntervalMs,
  gossipIntervalMs,
  pingRoundIntervalMs,
  pollIntervalAtRestMs,
} from '@reedyard/agent';
import { feedIntervalMs } from '@reedyard/proxy';
import { runHollowFleet, type HollowOptions, type HollowResult } from './hollow.js';

const smallOptions: HollowOptions = {
  nodes: 8,
  replicas: 3,
  zones: 4,
  regions: 2,
  origins: 7,
  services: 1,
  routes: 10,
  purges: 2,
  proxies: 5,
  objects: 0,
  warm: 2,
  seconds: 4,
  seed: 1,
  processes: 0,
  probes: 1,
};
/** Calls or bytes of one kind per second at one node of a role. */
const trafficOf = (
  result: HollowResult,
  role: keyof HollowResult['roles'],
  kind: string,
  field: 'callsOut' | 'callsIn' | 'bytesOut' | 'bytesIn' = 'callsOut',
): number => result.roles[role]?.byKind[kind]?.[field] ?? 0;
/**
 * Exponent with which a figure grows with the number of nodes, from the smaller to the larger
 * fleet.
 */
const growthExponent = (smaller: number, larger: number, ratio: number): number =>
  Math.log(larger / smaller) / Math.log(ratio);

test('traffic per node in a hollow fleet grows no faster with the fleet than the capacity page states', async (t) => {
  const smaller = await runHollowFleet(smallOptions);
  const larger = await runHollowFleet({ ...smallOptions, nodes: 16, proxies: 13 });
  const ratio = 16 / 8;
  for (const result of [smaller, larger]) {
    t.is(result.lost, 0);
    for (const [what, spread] of Object.entries(result.times)) {
      t.is(spread.missing, 0, what);
      t.is(spread.nodes, result.options.nodes, what);
    }
    // Whatever the size of the fleet, an agent polls each replica once per poll interval and starts
    // one gossip exchange per gossip interval, and a proxy fetches its feed once per feed interval.
    t.true(
      trafficOf(result, 'agent', 'pull') <= (1_000 / pollIntervalAtRestMs) * 3 * 1.05,
      `${trafficOf(result, 'agent', 'pull')} polls`,
    );
    t.true(
      trafficOf(result, 'agent', 'exchange') <= (1_000 / gossipIntervalMs) * 1.05,
      `${trafficOf(result, 'agent', 'exchange')} exchanges`,
    );
    t.true(
      trafficOf(result, 'proxy', 'feed') <= (1_000 / feedIntervalMs) * 1.05,
      `${trafficOf(result, 'proxy', 'feed')} feeds`,
    );
    // An agent fetches at most one quota allocation per allocation interval, and pushes at most
    // once per exchange.
    t.true(
      trafficOf(result, 'agent', 'fetch.plan') <= (1_000 / allocationIntervalMs) * 1.3,
      `${trafficOf(result, 'agent', 'fetch.plan')} fetches of the quota allocation`,
    );
    t.true(trafficOf(result, 'agent', 'push') <= trafficOf(result, 'agent', 'exchange') * 1.05);
    // An agent pings each other node with a proxy at most once per ping round.
    t.true(
      trafficOf(result, 'agent', 'ping') <= result.options.proxies / (pingRoundIntervalMs / 1_000),
      `${trafficOf(result, 'agent', 'ping')} pings`,
    );
    // A replica receives only the polls of each node and the calls of each proposal.
    t.true(
      (result.roles.replica?.callsIn ?? Infinity) <=
        result.options.nodes * (1_000 / pollIntervalAtRestMs + 1_000 / allocationIntervalMs) +
          (1_000 / allocationIntervalMs) * 8,
      `${result.roles.replica?.callsIn ?? NaN} calls to a replica`,
    );
  }
  // The number of polls and exchanges per node must not grow with the fleet, and the bytes of
  // exchanges and quota allocations must grow at most in proportion to the fleet.
  for (const kind of ['pull', 'exchange'])
    t.true(
      growthExponent(trafficOf(smaller, 'agent', kind), trafficOf(larger, 'agent', kind), ratio) <=
        0.15,
      kind,
    );
  for (const kind of ['exchange', 'fetch.plan'])
    t.true(
      growthExponent(
        trafficOf(smaller, 'agent', kind, 'bytesIn') +
          trafficOf(smaller, 'agent', kind, 'bytesOut'),
        trafficOf(larger, 'agent', kind, 'bytesIn') + trafficOf(larger, 'agent', kind, 'bytesOut'),
        ratio,
      ) <= 1.3,
      `bytes of ${kind}`,
    );
  t.true(
    growthExponent(
      trafficOf(smaller, 'agent', 'pull', 'bytesIn'),
      trafficOf(larger, 'agent', 'pull', 'bytesIn'),
      ratio,
    ) <= 0.15,
    'bytes of polls',
  );
  t.true(
    growthExponent(
      smaller.roles.replica?.callsIn ?? 0,
      larger.roles.replica?.callsIn ?? 0,
      ratio,
    ) <= 1.1,
    'calls to a replica',
  );
});

test('the hollow command reports an invalid argument in one line and exits with code 2', (t) => {
  const main = fileURLToPath(new URL('./main.js', import.meta.url));
  for (const [args, expectedError] of [
    [[], /--nodes: found nothing; expected a whole number/],
    [['--nodes', 'many'], /--nodes: found "many"/],
    [['--nodes', '3'], /more than the 3 of the replicas/],
    [['--nodes', '16', '--seconds', '0'], /--seconds: found "0"/],
    [['--nodes', '16', '--nods', '3'], /nods/],
    [['--nodes', '16', 'x'], /unexpected argument "x"/],
    [['--nodes', '20000', '--objects', '4'], /would need about .* GB; at most .* GB may be used/],
  ] as const) {
    const child = spawnSync(process.execPath, [main, 'hollow', ...args], { encoding: 'utf8' });
    t.is(child.status, 2, args.join(' '));
    t.regex(child.stderr, expectedError);
    t.is(child.stderr.trim().split('\n').length, 1, child.stderr);
  }
});
