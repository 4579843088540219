/** Runs one scenario with one seed, and checks its history against the rules. */
import { readFileSync } from 'node:fs';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { type Policy, Schemas } from '@reedyard/schemas';
import type { Deployment } from '@reedyard/topology';
import { availability, findViolations } from './checks.js';
import { connectedHistory, findPartitionViolations } from './partition-checks.js';
import { SimulatedFleet } from './simulated-fleet.js';
import type { Violation } from './history.js';
import type { InjectedFault, Selection } from './injected-faults.js';
import { scenarios } from './scenarios.js';
import type { FleetUnderLoad, ScenarioFleet } from './scenarios/environment.js';

const examples = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../../../examples');

/**
 * Reads the deployment and policy of an example.
 *
 * @example
 * loadExample('brandlhuber').policy.routes.length // 4
 */
export const loadExample = (
  name: string,
): { readonly deployment: Deployment; readonly policy: Policy } => ({
  deployment: JSON.parse(
    readFileSync(path.join(examples, name, 'deployment.json'), 'utf8'),
  ) as Deployment,
  policy: Schemas.policy(
    JSON.parse(readFileSync(path.join(examples, name, 'policy.json'), 'utf8')),
  ),
});

/** The scenario and seed of a run, and what replaces their defaults. */
export type RunOptions = {
  readonly scenario: string;
  readonly seed: number;
  readonly plant?: InjectedFault;
  readonly example?: string;
  readonly rate?: number;
  readonly selection?: Selection;
  readonly capacityBps?: number;
};

/** The result of a run. */
export type Report = {
  readonly scenario: string;
  readonly seed: number;
  readonly violations: readonly Violation[];
  readonly asked: number;
  readonly share: number;
  readonly rest: Readonly<Record<string, number>>;
  readonly fleet: SimulatedFleet;
  readonly replay: string;
};

/** A request that a client sends. */
type Sample = { readonly method: string; readonly target: string };

/** Returns a random request, with the mix of requests that the clients of an example send. */
export const randomRequest = (example: string, clock: ScenarioFleet['clock']): Sample => {
  const draw = clock.random();
  const popularIndex = (count: number): number => Math.floor(count * clock.random() ** 2.5);
  if (example === 'association') {
    if (draw < 0.4)
      return { method: 'GET', target: `/icing/tag-${popularIndex(8)}/${popularIndex(60)}` };
    if (draw < 0.6) return { method: 'GET', target: `/reports/ticino/${popularIndex(40)}` };
    if (draw < 0.75) return { method: 'GET', target: `/reports/romandie/${popularIndex(40)}` };
    if (draw < 0.93) return { method: 'GET', target: `/alarms/${popularIndex(20)}` };
    return { method: 'POST', target: '/orders' };
  }
  if (draw < 0.5)
    return { method: 'GET', target: `/sheets/tag-${popularIndex(8)}/${popularIndex(80)}` };
  if (draw < 0.78) return { method: 'GET', target: `/tracking/${popularIndex(200)}` };
  if (draw < 0.92) return { method: 'GET', target: `/shelves/${popularIndex(20)}` };
  return { method: 'POST', target: '/handovers' };
};

/**
 * Starts clients at random intervals. Each sends its request to a ready node of its zone, or to any
 * ready node if its zone has none.
 */
export const startClients = (
  fleet: FleetUnderLoad,
  example: string,
  policy: Policy,
  rate: () => number,
  until: number,
  crowdedZone: () => string | null = () => null,
): void => {
  const { clock } = fleet;
  const host = policy.routes[0]?.host ?? '';
  const fronts = fleet.deployment.machines.filter((machine) => machine.kind === 'front');
  const zones = [...new Set(fronts.map((machine) => machine.zone))];
  let lastJobNumber = 0;
  const choose = (zone: string): string | undefined => {
    const ready = fronts.filter((machine) => fleet.ready.get(machine.name) === true);
    const inZone = ready.filter((machine) => machine.zone === zone);
    return clock.pick(inZone.length > 0 ? inZone : ready)?.name;
  };
  const startNextClient = (): void => {
    if (clock.now() > until) return;
    clock.schedule((-Math.log(1 - clock.random()) * 1_000) / rate(), startNextClient);
    const zone = crowdedZone() ?? clock.pick(zones) ?? '';
    const sample = randomRequest(example, fleet.clock);
    lastJobNumber += 1;
    const unsafe = sample.method === 'POST';
    const jobId = `job-${lastJobNumber}`;
    const key = unsafe ? jobId : null;
    const attempt = (retriesLeft: number): void => {
      const node = choose(zone);
      if (node === undefined) {
        fleet.history.push({ kind: 'unplaced', at: clock.now() });
        return;
      }
      fleet.submit(node, { ...sample, host, job: jobId, key }, (status) => {
        // Clients retry after no response, 502, 503 or 504; an unsafe request keeps its key.
        const shouldRetry = status === 0 || status === 502 || status === 503 || status === 504;
        if (shouldRetry && retriesLeft > 0)
          clock.schedule(1_000 + 200 * clock.random(), () => attempt(retriesLeft - 1));
      });
      // Some clients reuse the key for another unsafe request.
      if (key !== null && retriesLeft === 2 && clock.random() < 0.05) {
        const other = choose(zone);
        if (other !== undefined)
          clock.schedule(800 * clock.random(), () =>
            fleet.submit(other, { ...sample, host, job: `${jobId}-other`, key }, () => undefined),
          );
      }
      // Impatient clients send the same request twice at the same time.
      if (key !== null && retriesLeft === 2 && clock.random() < 0.1) {
        const other = choose(zone);
        if (other !== undefined)
          fleet.submit(other, { ...sample, host, job: jobId, key }, () => undefined);
      }
    };
    attempt(2);
  };
  startNextClient();
};

/**
 * Runs one scenario with one seed and checks its history.
 *
 * @example
 * run({ scenario: 'kills', seed: 7 }).violations // []
 */
export const run = (options: RunOptions): Report => {
  const scenario = scenarios[options.scenario];
  if (scenario === undefined)
    throw new Error(
      `unknown scenario ${options.scenario}; known scenarios: ${Object.keys(scenarios).join(', ')}`,
    );
  const example = options.example ?? scenario.example ?? 'brandlhuber';
  const { deployment: exampleDeployment, policy } = loadExample(example);
  const capacityBps = options.capacityBps ?? scenario.capacityBps;
  const deployment =
    capacityBps === undefined
      ? exampleDeployment
      : {
          ...exampleDeployment,
          machines: exampleDeployment.machines.map((machine) => ({ ...machine, capacityBps })),
        };
  const initialPolicy = scenario.policy?.(policy) ?? policy;
  const fleet = new SimulatedFleet(deployment, options.seed, {
    loss: scenario.loss ?? 0.001,
    plant: options.plant ?? 'none',
    regionsMs: 12,
    ...(scenario.servesOn === true ? { servesOn: true } : {}),
    ...(scenario.busyMs === undefined ? {} : { busyMs: scenario.busyMs }),
    ...(scenario.drift === undefined ? {} : { drift: scenario.drift }),
    ...(scenario.voting === undefined ? {} : { voting: scenario.voting }),
    ...(options.selection === undefined ? {} : { selection: options.selection }),
  });
  for (const machine of deployment.machines) fleet.start(machine.name);
  fleet.clock.schedule(4_000, () => {
    fleet.firstStart = false;
  });
  fleet.watchReady();
  fleet.clock.schedule(500, () => fleet.put(initialPolicy));
  const endMs = scenario.seconds * 1_000;
  const traffic = {
    rate: options.rate ?? scenario.rate ?? 120,
    crowdedZone: null as string | null,
  };
  fleet.clock.schedule(6_000, () =>
    startClients(
      fleet,
      example,
      initialPolicy,
      () => traffic.rate,
      endMs - 2_000,
      () => traffic.crowdedZone,
    ),
  );
  scenario.play({
    fleet,
    policy: initialPolicy,
    traffic,
    endMs,
    sample: () => randomRequest(example, fleet.clock),
  });
  fleet.clock.runUntil(endMs + 14_000);
  const violations =
    scenario.servesOn === true
      ? [
          ...findViolations(connectedHistory(fleet.history)),
          ...findPartitionViolations(fleet.history),
        ]
      : findViolations(fleet.history);
  const availabilityReport = availability(fleet.history, 8_000);
  return {
    scenario: options.scenario,
    seed: options.seed,
    violations,
    ...availabilityReport,
    fleet,
    replay: `npm run simulator -- --scenario ${options.scenario} --seed ${options.seed}${options.plant === undefined || options.plant === 'none' ? '' : ` --plant ${options.plant}`}${options.example === undefined ? '' : ` --example ${options.example}`}`,
  };
};
