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

const small: HollowOptions = {
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
/** Calls or bytes that one node of a role sends in a second, of one kind. */
const sent = (
  result: HollowResult,
  role: keyof HollowResult['roles'],
  kind: string,
  field: 'callsOut' | 'callsIn' | 'bytesOut' | 'bytesIn' = 'callsOut',
): number => result.roles[role]?.byKind[kind]?.[field] ?? 0;
/**
 * How a figure grows from the smaller fleet to the larger one: its power of the number of nodes.
 */
const power = (few: number, many: number, ratio: number): number =>
  Math.log(many / few) / Math.log(ratio);

test('a hollow fleet in one process: what a node sends grows no faster with the fleet than the capacity page says', async (t) => {
  const few = await runHollowFleet(small);
  const many = await runHollowFleet({ ...small, nodes: 16, proxies: 13 });
  const ratio = 16 / 8;
  for (const result of [few, many]) {
    t.is(result.lost, 0);
    for (const [what, spread] of Object.entries(result.times)) {
      t.is(spread.missing, 0, what);
      t.is(spread.nodes, result.options.nodes, what);
    }
    // A pull of each replica at each of its beats, an exchange and a feed at theirs, whatever the
    // size of the fleet.
    t.true(
      sent(result, 'agent', 'pull') <= (1_000 / pollIntervalAtRestMs) * 3 * 1.05,
      `${sent(result, 'agent', 'pull')} pulls`,
    );
    t.true(
      sent(result, 'agent', 'exchange') <= (1_000 / gossipIntervalMs) * 1.05,
      `${sent(result, 'agent', 'exchange')} exchanges`,
    );
    t.true(
      sent(result, 'proxy', 'feed') <= (1_000 / feedIntervalMs) * 1.05,
      `${sent(result, 'proxy', 'feed')} feeds`,
    );
    // A division at each of its beats at the most, fetched once; a push for an exchange at the
    // most.
    t.true(
      sent(result, 'agent', 'fetch.plan') <= (1_000 / allocationIntervalMs) * 1.3,
      `${sent(result, 'agent', 'fetch.plan')} fetches of the division`,
    );
    t.true(sent(result, 'agent', 'push') <= sent(result, 'agent', 'exchange') * 1.05);
    // A ping to each other node with a proxy, once for each draw at the most.
    t.true(
      sent(result, 'agent', 'ping') <= result.options.proxies / (pingRoundIntervalMs / 1_000),
      `${sent(result, 'agent', 'ping')} pings`,
    );
    // A replica hears from each node and of each ballot; nothing else asks it.
    t.true(
      (result.roles.replica?.callsIn ?? Infinity) <=
        result.options.nodes * (1_000 / pollIntervalAtRestMs + 1_000 / allocationIntervalMs) +
          (1_000 / allocationIntervalMs) * 8,
      `${result.roles.replica?.callsIn ?? NaN} calls to a replica`,
    );
  }
  // Calls that must not grow with the fleet, and bytes that grow no faster than in proportion to
  // it.
  for (const kind of ['pull', 'exchange'])
    t.true(power(sent(few, 'agent', kind), sent(many, 'agent', kind), ratio) <= 0.15, kind);
  for (const kind of ['exchange', 'fetch.plan'])
    t.true(
      power(
        sent(few, 'agent', kind, 'bytesIn') + sent(few, 'agent', kind, 'bytesOut'),
        sent(many, 'agent', kind, 'bytesIn') + sent(many, 'agent', kind, 'bytesOut'),
        ratio,
      ) <= 1.3,
      `bytes of ${kind}`,
    );
  t.true(
    power(sent(few, 'agent', 'pull', 'bytesIn'), sent(many, 'agent', 'pull', 'bytesIn'), ratio) <=
      0.15,
    'bytes of pulls',
  );
  t.true(
    power(few.roles.replica?.callsIn ?? 0, many.roles.replica?.callsIn ?? 0, ratio) <= 1.1,
    'calls to a replica',
  );
});

test('the hollow command names what is wrong with its words', (t) => {
  const main = fileURLToPath(new URL('./main.js', import.meta.url));
  for (const [words, told] of [
    [[], /--nodes: found nothing; wanted a whole number/],
    [['--nodes', 'many'], /--nodes: found "many"/],
    [['--nodes', '3'], /more than the 3 of the replicas/],
    [['--nodes', '16', '--seconds', '0'], /--seconds: found "0"/],
    [['--nodes', '16', '--nods', '3'], /nods/],
    [['--nodes', '16', 'x'], /found "x"/],
    [['--nodes', '20000', '--objects', '4'], /would take some .* GB; wanted at most/],
  ] as const) {
    const ended = spawnSync(process.execPath, [main, 'hollow', ...words], { encoding: 'utf8' });
    t.is(ended.status, 2, words.join(' '));
    t.regex(ended.stderr, told);
    t.is(ended.stderr.trim().split('\n').length, 1, ended.stderr);
  }
});
