import test from 'ava';
import { run } from './run.js';

// What the rule tests do not run: each scenario once, and a share of callers that must be served
// through it.
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
  test.serial(`${scenario}: every rule kept, and callers served`, async (t) => {
    // Lets the runner tell what is done so far before the next long run.
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    const report = run({ scenario, seed: 21 });
    t.deepEqual(report.violations, [], report.replay);
    t.true(report.share >= minShare, `${report.share} served; ${JSON.stringify(report.rest)}`);
  });
}

test('nodes that restart with new seeds while the old ones are gone find the fleet', (t) => {
  const { fleet } = run({ scenario: 'seeds-changed', seed: 21 });
  const servingNodes = fleet.history.flatMap((entry) =>
    entry.kind === 'got' && entry.at > 32_000 && entry.at < 36_000 && entry.status === 200
      ? [entry.node]
      : [],
  );
  for (const name of ['front-5', 'front-6', 'front-7']) t.true(servingNodes.includes(name), name);
});

test('four of five disks lost while a key is claimed twice: every member is told of the claim before it votes', (t) => {
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

test('an origin that drained once and came back as a new incarnation gets work again', (t) => {
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
