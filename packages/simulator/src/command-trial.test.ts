import test from 'ava';
import type { ApiAction, ZonesRegister } from '@reedyard/agent';
import { SimulatedFleet } from './simulated-fleet.js';
import { sendCommand } from './command-client.js';
import { runCommandTrial } from './command-trial.js';
import type { InjectedFault } from './injected-faults.js';
import { loadExample } from './run.js';

const seeds = [1, 2, 3, 4];

for (const example of ['brandlhuber', 'association']) {
  test.serial(
    `acknowledged commands stay in effect while replies are lost, commands are retried at any node and machines fail (${example})`,
    (t) => {
      for (const seed of seeds) {
        const report = runCommandTrial({ seed, example });
        t.log(`seed ${seed}: ${JSON.stringify(report.counts)}`);
        t.deepEqual(report.violations, [], `seed ${seed}`);
        t.true((report.counts.acknowledged ?? 0) > 80);
        t.true((report.counts.refused ?? 0) > 0);
      }
    },
  );
}

/**
 * An isolated agent receives an evacuation. Its client disconnects, gets the evacuation acknowledged
 * by another node, then restores the zone, which is acknowledged too; then the partition heals.
 * Returns whether the zone is in use at the end, as it must be.
 */
const staysOpen = (seed: number, plant: InjectedFault): boolean => {
  const { deployment, policy } = loadExample('brandlhuber');
  const fleet = new SimulatedFleet(deployment, seed, { loss: 0.001, plant, regionsMs: 12 });
  for (const machine of deployment.machines) fleet.start(machine.name);
  fleet.clock.schedule(500, () => fleet.put(policy));
  fleet.clock.runUntil(8_000);
  const send = (order: 'empty' | 'take-back', firstNode: string, done: () => void): void => {
    const action = (attempt: number): ApiAction => ({
      kind: 'zone',
      zone: 'west',
      order,
      of: 'origins',
      changeId: `${order}-${attempt}`,
    });
    sendCommand(fleet, { giveUpAfterMs: 8_000, firstNode, action }, ({ kind }) => {
      if (kind === 'acknowledged') done();
    });
  };
  let isRestored = false;
  fleet.isolate('front-1');
  send('empty', 'front-1', () =>
    send('take-back', 'front-2', () => {
      isRestored = true;
      fleet.heal();
    }),
  );
  fleet.clock.runUntil(25_000);
  const zones = fleet.machines.get('core-1')?.agent?.state.registers.zones?.value as
    ZonesRegister | undefined;
  return isRestored && zones !== undefined && !zones.closedOrigins.includes('west');
};

test.serial(
  'an isolated agent drops a zone order whose client has disconnected; with the fault callers-unheeded it undoes the later restore',
  (t) => {
    const trialSeeds = Array.from({ length: 8 }, (_, index) => index + 1);
    t.deepEqual(
      trialSeeds.map((seed) => staysOpen(seed, 'none')),
      trialSeeds.map(() => true),
    );
    t.true(trialSeeds.some((seed) => !staysOpen(seed, 'callers-unheeded')));
  },
);

test.serial(
  'the trial detects agents that confirm different content under the same version',
  (t) => {
    const violations = seeds.flatMap(
      (seed) => runCommandTrial({ seed, plant: 'any-content-confirmed' }).violations,
    );
    t.true(
      violations.some((violation) => violation.includes('confirmed with two contents')),
      violations.join('; '),
    );
  },
);
