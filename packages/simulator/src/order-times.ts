#!/usr/bin/env node
/**
 * Prints the acknowledgement times of eight concurrent zone orders, in virtual time, as
 * docs/measurements.md holds them.
 */
import { parseArgs } from 'node:util';
import { SimulatedFleet } from './simulated-fleet.js';
import { sendCommand, type CommandOutcome } from './command-client.js';
import { loadExample } from './run.js';

const concurrentOrders = 8;
const warmUpMs = 8_000;
const roundMs = 9_000;
const clientTimeoutMs = 8_000;

const { values } = parseArgs({
  options: {
    rounds: { type: 'string', default: '40' },
    seeds: { type: 'string', default: '3' },
    from: { type: 'string', default: '1' },
    setup: { type: 'string', multiple: true },
  },
});

type Setup = {
  readonly name: string;
  readonly example: string;
  readonly isSpread: boolean;
  readonly loss: number;
  readonly regionsMs: number;
};

const setups: readonly Setup[] = [
  { name: 'one node', example: 'brandlhuber', isSpread: false, loss: 0.001, regionsMs: 12 },
  { name: 'eight nodes', example: 'brandlhuber', isSpread: true, loss: 0.001, regionsMs: 12 },
  {
    name: 'one node, 30 % loss',
    example: 'brandlhuber',
    isSpread: false,
    loss: 0.3,
    regionsMs: 12,
  },
  {
    name: 'eight nodes, 30 % loss',
    example: 'brandlhuber',
    isSpread: true,
    loss: 0.3,
    regionsMs: 12,
  },
  {
    name: 'one node, regions',
    example: 'association',
    isSpread: false,
    loss: 0.001,
    regionsMs: 12,
  },
  {
    name: 'eight nodes, regions',
    example: 'association',
    isSpread: true,
    loss: 0.001,
    regionsMs: 12,
  },
];

const quantile = (sorted: readonly number[], share: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? NaN;

const outcomesOf = (setup: Setup, seed: number): readonly CommandOutcome[] => {
  const { deployment, policy } = loadExample(setup.example);
  const tuning = { loss: 0.001, plant: 'none' as const, regionsMs: setup.regionsMs };
  const fleet = new SimulatedFleet(deployment, seed, tuning);
  for (const machine of deployment.machines) fleet.start(machine.name);
  fleet.clock.schedule(500, () => fleet.put(policy));
  fleet.clock.runUntil(warmUpMs);
  tuning.loss = setup.loss;
  const outcomes: CommandOutcome[] = [];
  const places = fleet.machineNames();
  for (let round = 0; round < Number(values.rounds); round += 1) {
    const order = round % 2 === 0 ? 'empty' : 'take-back';
    const firstPlace = Math.floor(fleet.clock.random() * places.length);
    for (let orderIndex = 0; orderIndex < concurrentOrders; orderIndex += 1) {
      const node = places[(firstPlace + (setup.isSpread ? orderIndex : 0)) % places.length];
      const action = (attempt: number) =>
        ({
          kind: 'zone',
          zone: `zone-${orderIndex}`,
          order,
          of: 'origins',
          changeId: `${round}-${orderIndex}-${attempt}`,
        }) as const;
      fleet.clock.schedule(fleet.clock.between(0, 2), () =>
        sendCommand(
          fleet,
          {
            giveUpAfterMs: clientTimeoutMs,
            action,
            ...(node === undefined ? {} : { firstNode: node }),
          },
          (outcome) => outcomes.push(outcome),
        ),
      );
    }
    fleet.clock.runUntil(fleet.clock.now() + roundMs);
  }
  return outcomes;
};

for (const setup of setups.filter((each) => values.setup?.includes(each.name) ?? true)) {
  const outcomes: CommandOutcome[] = [];
  for (let seed = 0; seed < Number(values.seeds); seed += 1) {
    outcomes.push(...outcomesOf(setup, Number(values.from) + seed));
  }
  const acknowledged = outcomes.filter((each) => each.kind === 'acknowledged');
  const times = acknowledged.map((each) => each.ms).sort((a, b) => a - b);
  const [median, p99, max] = [quantile(times, 0.5), quantile(times, 0.99), times.at(-1) ?? NaN];
  const attempts = outcomes.reduce((sum, each) => sum + each.attempts, 0) / outcomes.length;
  const rounded = [median, p99, max].map((ms) => ms.toFixed(0));
  process.stdout.write(
    `${setup.name}: median ${rounded[0]} ms, 99th ${rounded[1]} ms, most ${rounded[2]} ms, ` +
      `attempts ${attempts.toFixed(2)}, orders ${outcomes.length}, ` +
      `not acknowledged ${outcomes.length - acknowledged.length}\n`,
  );
}
