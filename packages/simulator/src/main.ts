#!/usr/bin/env node
/** Command line of the simulator: runs scenarios over seeds, in parallel for more than one run. */
import { fork } from 'node:child_process';
import os from 'node:os';
import { parseArgs } from 'node:util';
import { injectedFaultNames, type InjectedFault } from './injected-faults.js';
import { run } from './run.js';
import { scenarios } from './scenarios.js';

const { values } = parseArgs({
  options: {
    scenario: { type: 'string', multiple: true },
    seed: { type: 'string' },
    seeds: { type: 'string', default: '1' },
    from: { type: 'string', default: '1' },
    plant: { type: 'string', default: 'none' },
    example: { type: 'string' },
    rate: { type: 'string' },
    faults: { type: 'boolean', default: false },
    help: { type: 'boolean', default: false },
  },
});
if (values.help) {
  process.stdout.write(
    `simulator [--scenario NAME …] [--seed N | --from N --seeds COUNT] [--plant NAME] [--example NAME] [--rate N] [--faults]\n\n${Object.entries(
      scenarios,
    )
      .map(([name, scenario]) => `  ${name.padEnd(16)} ${scenario.summary}`)
      .join('\n')}\n\nplants: ${injectedFaultNames.join(', ')}\n`,
  );
  process.exit(0);
}
const firstSeed = Number(values.seed ?? values.from);
const seeds = Array.from(
  { length: values.seed === undefined ? Number(values.seeds) : 1 },
  (_, index) => firstSeed + index,
);
const jobs = (values.scenario ?? Object.keys(scenarios)).flatMap((scenario) =>
  seeds.map((seed) => ({ scenario, seed })),
);
const rate = values.rate === undefined ? {} : { rate: Number(values.rate) };
const example = values.example === undefined ? {} : { example: values.example };

type Result = {
  readonly line: string;
  readonly hasViolations: boolean;
  readonly scenario: string;
  readonly share: number;
};
const runJob = (scenario: string, seed: number): Result => {
  const report = run({ scenario, seed, plant: values.plant as InjectedFault, ...rate, ...example });
  const rules = [...new Set(report.violations.map((violation) => violation.rule))];
  const lines = [
    `scenario=${scenario} seed=${seed} asked=${report.asked} served=${(100 * report.share).toFixed(2)}% rest=${JSON.stringify(
      Object.fromEntries(
        Object.entries(report.rest)
          .sort(([, a], [, b]) => b - a)
          .slice(0, 8),
      ),
    )} broken=${rules.length === 0 ? 'none' : rules.join(',')}`,
  ];
  for (const violation of report.violations)
    lines.push(
      `  rule ${violation.rule} at ${(violation.at / 1_000).toFixed(3)} s: ${violation.what}`,
    );
  if (values.faults)
    for (const entry of report.fleet.history)
      if (entry.kind === 'fault')
        lines.push(`  fault at ${(entry.at / 1_000).toFixed(3)} s: ${entry.label}`);
  if (report.violations.length > 0) lines.push(`  replay: ${report.replay}`);
  return {
    line: lines.join('\n'),
    hasViolations: report.violations.length > 0,
    scenario,
    share: report.share,
  };
};

if (process.send !== undefined) {
  process.on('message', (job: { scenario: string; seed: number }) => {
    process.send?.(runJob(job.scenario, job.seed));
  });
} else if (jobs.length === 1 && jobs[0] !== undefined) {
  const result = runJob(jobs[0].scenario, jobs[0].seed);
  process.stdout.write(`${result.line}\n`);
  process.exit(result.hasViolations ? 1 : 0);
} else {
  let [nextJob, failedCount, doneCount] = [0, 0, 0];
  const results: Result[] = [];
  const workers = Array.from({ length: Math.min(jobs.length, os.availableParallelism()) }, () =>
    fork(process.argv[1] ?? '', process.argv.slice(2)),
  );
  for (const worker of workers) {
    const next = (): void => {
      const job = jobs[nextJob];
      nextJob += 1;
      if (job === undefined) worker.disconnect();
      else worker.send(job);
    };
    worker.on('message', (result: Result) => {
      results.push(result);
      process.stdout.write(`${result.line}\n`);
      doneCount += 1;
      if (result.hasViolations) failedCount += 1;
      if (doneCount === jobs.length) {
        for (const scenario of new Set(jobs.map((job) => job.scenario))) {
          const scenarioResults = results.filter((each) => each.scenario === scenario);
          process.stdout.write(
            `sum scenario=${scenario} seeds=${scenarioResults.length} broken=${scenarioResults.filter((each) => each.hasViolations).length} served=${((100 * scenarioResults.reduce((sum, each) => sum + each.share, 0)) / scenarioResults.length).toFixed(2)}% least=${(100 * Math.min(...scenarioResults.map((each) => each.share))).toFixed(2)}%\n`,
          );
        }
        process.stdout.write(`runs=${doneCount} broken=${failedCount}\n`);
        process.exitCode = failedCount > 0 ? 1 : 0;
      }
      next();
    });
    next();
  }
}
