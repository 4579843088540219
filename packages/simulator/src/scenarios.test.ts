import test from 'ava';
import { run } from './run.js';

// The scenarios that the rule tests do not run, each with the minimum share of requests that must be
// served.
for (const [scenario, minShare] of [
  ['calm', 0.995],
  ['lossy', 0.95],
  ['cuts', 0.9],
  ['core-split', 0.85],
  ['wipes', 0.95],
  ['operators', 0.93],
  ['zone-power', 0.95],
  ['rolling', 0.97],
  ['seeds-changed', 0.98],
  ['closing', 0.95],
  ['everything', 0.75],
  ['policies-homes', 0.6],
  ['drain-then-kill', 0.95],
  ['disks-wiped', 0.75],
  ['all-wiped', 0.6],
  ['founding', 0.97],
  ['busy', 0.97],
  ['loss-after-ack', 0.7],
  ['members-replaced', 0.85],
  ['members-grow', 0.95],
] as const) {
  test.serial(`${scenario}: all rules hold, and clients are served`, async (t) => {
    // Lets the test runner report progress before the next long run.
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    const report = run({ scenario, seed: 21 });
    t.deepEqual(report.violations, [], report.replay);
    t.true(report.share >= minShare, `${report.share} served; ${JSON.stringify(report.rest)}`);
  });
}

test('seeds-changed: nodes that restart with new seeds find the fleet while the old seeds are down', (t) => {
  const { fleet } = run({ scenario: 'seeds-changed', seed: 21 });
  const servingNodes = fleet.history.flatMap((entry) =>
    entry.kind === 'got' && entry.at > 32_000 && entry.at < 36_000 && entry.status === 200
      ? [entry.node]
      : [],
  );
  for (const name of ['front-5', 'front-6', 'front-7']) t.true(servingNodes.includes(name), name);
});

test('disks-wiped: no rule is broken when four of five disks are lost while a key is claimed twice, as every member learns of the claim before it votes', (t) => {
  t.deepEqual(run({ scenario: 'disks-wiped', seed: 3_000, example: 'association' }).violations, []);
});

test('the same seed gives the same run', (t) => {
  const [first, second] = [
    run({ scenario: 'freezes', seed: 5 }),
    run({ scenario: 'freezes', seed: 5 }),
  ];
  t.deepEqual(first.fleet.history, second.fleet.history);
  t.notDeepEqual(first.fleet.counts, run({ scenario: 'freezes', seed: 6 }).fleet.counts);
});

test('drain-then-kill: an origin that drained receives requests again as a new incarnation', (t) => {
  const { fleet } = run({ scenario: 'drain-then-kill', seed: 21 });
  const drained = fleet.history.flatMap((entry) => (entry.kind === 'drained' ? [entry] : []));
  t.true(drained.length > 3);
  for (const each of drained)
    t.true(
      fleet.history.some(
        (entry) =>
          entry.kind === 'attempt' &&
          entry.instance === each.instance &&
          entry.incarnation > each.incarnation,
      ),
      each.instance,
    );
});
