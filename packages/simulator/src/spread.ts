#!/usr/bin/env node
/** Measures how fast a change reaches all nodes. */
import { parseArgs } from 'node:util';
import { SimulatedFleet } from './simulated-fleet.js';
import { loadExample } from './run.js';

/**
 * Prints how long after its acknowledgement a policy is in force, or a purge is applied, at the last
 * proxy, in milliseconds of virtual time.
 */
const { values } = parseArgs({
  options: {
    example: { type: 'string', default: 'brandlhuber' },
    seed: { type: 'string', default: '1' },
    times: { type: 'string', default: '40' },
    loss: { type: 'string', default: '0.001' },
  },
});
const { deployment, policy } = loadExample(values.example);
const fleet = new SimulatedFleet(deployment, Number(values.seed), {
  loss: Number(values.loss),
  plant: 'none',
  regionsMs: 12,
});
for (const machine of deployment.machines) fleet.start(machine.name);
fleet.clock.schedule(500, () => fleet.put(policy));
fleet.clock.runUntil(8_000);
const proxies = (): readonly { revision: number; purges: number }[] =>
  [...fleet.machines.values()].flatMap((simulatedMachine) =>
    simulatedMachine.proxy === null
      ? []
      : [
          {
            revision: simulatedMachine.proxy.state.policy?.revision ?? 0,
            purges: simulatedMachine.proxy.state.purgeSeq,
          },
        ],
  );

/**
 * Starts a change, and returns the time from its acknowledgement until all proxies have applied it, in
 * milliseconds; null if that takes longer than 10 s.
 */
const spread = (
  startChange: (done: () => void) => void,
  isApplied: () => boolean,
): number | null => {
  let acknowledgedAt = 0;
  startChange(() => {
    acknowledgedAt = fleet.clock.now();
  });
  const startedAt = fleet.clock.now();
  while ((acknowledgedAt === 0 || !isApplied()) && fleet.clock.now() < startedAt + 10_000)
    fleet.clock.runUntil(fleet.clock.now() + 5);
  return acknowledgedAt === 0 || !isApplied() ? null : fleet.clock.now() - acknowledgedAt;
};
const printLine = (name: string, spreadTimes: readonly (number | null)[]): void => {
  const sorted = spreadTimes.flatMap((each) => (each === null ? [] : [each])).sort((a, b) => a - b);
  process.stdout.write(
    `${values.example} loss=${values.loss} ${name}: median ${sorted[Math.floor(sorted.length / 2)]?.toFixed(0)} ms, most ${sorted.at(-1)?.toFixed(0)} ms, of ${sorted.length}; not within 10 s: ${spreadTimes.length - sorted.length}\n`,
  );
};
const times = Array.from({ length: Number(values.times) }, (_, index) => index);
printLine(
  'policy',
  times.map((index) =>
    spread(
      (done) =>
        fleet.put(
          {
            ...policy,
            routes: policy.routes.map((route) => ({
              ...route,
              limits: { attemptMs: 4_000 + index },
            })),
          },
          done,
        ),
      () => proxies().every(({ revision }) => revision >= index + 2),
    ),
  ),
);
printLine(
  'purge',
  times.map((index) => {
    const previousPurges = Math.max(...proxies().map(({ purges }) => purges));
    let isAcknowledged = false;
    return spread(
      (done) => {
        const historyLength = fleet.history.length;
        fleet.purge([`a.example/${index}`], []);
        const watch = (): void => {
          if (fleet.history.slice(historyLength).some((entry) => entry.kind === 'purged')) {
            isAcknowledged = true;
            done();
          } else fleet.clock.schedule(5, watch);
        };
        watch();
      },
      () => isAcknowledged && proxies().every(({ purges }) => purges > previousPurges),
    );
  }),
);
