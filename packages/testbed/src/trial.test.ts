import test from 'ava';
import os from 'node:os';
import path from 'node:path';
import { mkdtempSync } from 'node:fs';
import { loadExample } from '@reedyard/simulator';
import { smallDeployment } from './small-deployment.js';
import { logFieldsOf, playTrial } from './trial.js';

test('a trial of real processes through every kind of fault: the rules that no machine is too slow for are kept', async (t) => {
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
  t.deepEqual(report.wrongs, []);
  t.true(report.faults.length > 0);
  // It saw something: callers asked, proxies made attempts or answered from copies.
  t.true(report.asked > 200 && report.attempts > 100, JSON.stringify(report));
});

test('a line of a log is read back as its pairs', (t) => {
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
