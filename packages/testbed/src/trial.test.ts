import test from 'ava';
import os from 'node:os';
import path from 'node:path';
import { mkdtempSync } from 'node:fs';
import { loadExample } from '@reedyard/simulator';
import { smallDeployment } from './small-deployment.js';
import { logFieldsOf, playTrial } from './trial.js';

test('a trial of real processes with every kind of fault breaks none of the rules that hold on a slow machine', async (t) => {
  const report = await playTrial({
    example: 'brandlhuber',
    deployment: smallDeployment,
    policy: loadExample('brandlhuber').policy,
    scenario: 'everything',
    seed: 4,
    seconds: 24,
    rate: 60,
    folder: mkdtempSync(path.join(os.tmpdir(), 'reedyard-')),
    rules: [1, 2, 3, 6, 12],
  });
  t.deepEqual(report.violations, []);
  t.true(report.faults.length > 0);
  // Guards against an empty trial: clients sent requests, and proxies made attempts or served
  // copies.
  t.true(report.asked > 200 && report.attempts > 100, JSON.stringify(report));
});

// Guards against the faults of review cases 1, 4 and 2 together: stops, garbled answers and cuts overlap.
test('a short soak of real processes breaks none of the rules that hold on a slow machine, and ends no process', async (t) => {
  const report = await playTrial({
    example: 'brandlhuber',
    deployment: smallDeployment,
    policy: loadExample('brandlhuber').policy,
    scenario: 'soak',
    seed: 7,
    seconds: 26,
    rate: 40,
    folder: mkdtempSync(path.join(os.tmpdir(), 'reedyard-')),
    rules: [1, 2, 3, 6, 12, 20],
  });
  t.deepEqual(report.violations, []);
  for (const kind of ['asked to stop', 'cut off from the control state'])
    t.true(
      report.faults.some(({ what }) => what.includes(kind)),
      kind,
    );
  t.true(report.asked > 200 && report.attempts > 100, JSON.stringify(report));
});

test('a log line is parsed into its fields, with quoted values unescaped', (t) => {
  t.deepEqual(
    logFieldsOf(
      'time=2026-01-01T00:00:00.000Z event=trace.stored keys="a.example/x b.example/y?z=\\"1\\""',
    ),
    {
      time: '2026-01-01T00:00:00.000Z',
      event: 'trace.stored',
      keys: 'a.example/x b.example/y?z="1"',
    },
  );
});
