#!/usr/bin/env node
/** Prints figures of one run of a scenario, once for each way to select a server. */
import { parseArgs } from 'node:util';
import type { Entry } from './history.js';
import type { SimulatedFleet } from './simulated-fleet.js';
import type { Selection } from './injected-faults.js';
import { run } from './run.js';
import { scenarios } from './scenarios.js';

/** All times are virtual. docs/measurements.md holds the printed figures. */
const { values } = parseArgs({
  options: {
    example: { type: 'string', default: 'brandlhuber' },
    scenario: { type: 'string', default: 'calm' },
    seed: { type: 'string', default: '1' },
    rate: { type: 'string', default: '830' },
    capacity: { type: 'string' },
    selection: { type: 'string', multiple: true, default: ['paper', 'proximity', 'random'] },
  },
});

const quantile = (samples: readonly number[], share: number): number =>
  [...samples].sort((a, b) => a - b)[Math.floor(share * (samples.length - 1))] ?? 0;

/** Returns the highest load of a service in any 5 s, relative to its rate limit. */
const peakLoad = (history: readonly Entry[], service: string, ceiling: number): number => {
  const times = history.flatMap((entry) =>
    entry.kind === 'attempt' && entry.service === service ? [entry.at] : [],
  );
  let [windowStart, maxCount] = [0, 0];
  times.forEach((time, index) => {
    while ((times[windowStart] ?? 0) <= time - 5_000) windowStart += 1;
    maxCount = Math.max(maxCount, index - windowStart + 1);
  });
  return maxCount / (5 * ceiling);
};

/** Returns the mean load of a service from 15 s on, relative to its rate limit. */
const meanLoad = (
  history: readonly Entry[],
  service: string,
  ceiling: number,
  seconds: number,
): number =>
  history.filter(
    (entry) =>
      entry.kind === 'attempt' &&
      entry.service === service &&
      entry.at > 15_000 &&
      entry.at < 1_000 * (seconds - 2),
  ).length /
  ((seconds - 17) * ceiling);

const sumOf = (fleet: SimulatedFleet, counter: string): number =>
  [...fleet.machines.values()].reduce(
    (sum, simulatedMachine) => sum + (simulatedMachine.proxy?.state.counters[counter] ?? 0),
    0,
  );

for (const selection of values.selection as Selection[]) {
  const report = run({
    scenario: values.scenario,
    seed: Number(values.seed),
    example: values.example,
    rate: Number(values.rate),
    selection,
    ...(values.capacity === undefined ? {} : { capacityBps: Number(values.capacity) }),
  });
  const { fleet } = report;
  const { history } = fleet;
  const spanMinutes = fleet.clock.now() / 60_000;
  const policy = history.find(
    (entry): entry is Extract<Entry, { kind: 'put' }> => entry.kind === 'put',
  )?.document;
  const requestCount = sumOf(fleet, 'requests');
  const waits = fleet.waits.filter((wait) => wait.at > 10_000).map((wait) => wait.ms);
  const announcements = [...fleet.machines.values()].reduce(
    (sum, simulatedMachine) => sum + (simulatedMachine.agent?.state.vectorAnnouncementCount ?? 0),
    0,
  );
  const shareOf = (counter: string): string =>
    `${((100 * sumOf(fleet, counter)) / requestCount).toFixed(1)}%`;
  process.stdout.write(
    `${values.example} ${values.scenario} seed=${values.seed} selection=${selection} asked=${requestCount} served=${(100 * report.share).toFixed(2)}% copies=${shareOf('served.copy')} forwarded=${shareOf('forwarded')} fetched=${shareOf('fetched')} joined=${shareOf('joined')} attempts/request=${(sumOf(fleet, 'attempts') / requestCount).toFixed(3)} repeats=${sumOf(fleet, 'repeats')} notices/min/edge=${(announcements / spanMinutes / fleet.deployment.machines.filter((machine) => machine.kind === 'front').length).toFixed(1)}` +
      ` peak-load ${Object.entries(policy?.services ?? {})
        .map(
          ([name, service]) =>
            `${name}=${(100 * peakLoad(history, name, service.ceiling ?? NaN)).toFixed(0)}% (mean ${(100 * meanLoad(history, name, service.ceiling ?? NaN, scenarios[values.scenario]?.seconds ?? 0)).toFixed(0)}%)`,
        )
        .join(
          ' ',
        )} wait-ms mean=${(waits.reduce((sum, ms) => sum + ms, 0) / waits.length).toFixed(1)} p50=${quantile(waits, 0.5).toFixed(1)} p95=${quantile(waits, 0.95).toFixed(1)} p99=${quantile(waits, 0.99).toFixed(1)} broken=${report.violations.length}\n`,
  );
}
