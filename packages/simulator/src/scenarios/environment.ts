/** The types of scenarios and of the fleet, origins and clients that they act on, with helpers. */

import type { Policy } from '@reedyard/schemas';
import type { Deployment, Origin } from '@reedyard/topology';
import type { Entry } from '../history.js';

/** How an origin misbehaves. Apart from `slowMs` and `aged`, each field is a share of its responses. */
export type OriginMode = {
  slowMs: number;
  lose: number;
  garbage: number;
  /** Share of responses whose status line names a status that no response has. */ garbledStatus: number;
  short: number;
  foreign: number;
  /** Age of its responses when they are sent, in seconds. */ aged: number;
  /** Share of responses that are too large to be buffered completely. */ large: number;
};

/** A simulated origin, as far as scenarios read and change it. */
export type ScenarioOrigin = {
  readonly spec: Origin;
  incarnation: number;
  service: string;
  instance: string;
  alive: boolean;
  cold: boolean;
  draining: boolean;
  /** Whether the origin runs, but no longer sends its description. */ silent: boolean;
  capacity: number;
  mode: OriginMode;
};

/** The fleet that a scenario acts on: the simulated one, or one of real processes. */
export type ScenarioFleet = {
  readonly clock: {
    now(): number;
    random(): number;
    between(low: number, high: number): number;
    pick<T>(list: readonly T[]): T | undefined;
    schedule(ms: number, act: () => void): void;
  };
  readonly deployment: Deployment;
  readonly origins: readonly ScenarioOrigin[];
  /** The seeds in the settings of processes that start from now on, as machine/agent. */
  seeds: readonly string[];
  machineNames(): readonly string[];
  isRunning(name: string): boolean;
  holder(): string | undefined;
  start(name: string): void;
  kill(name: string): void;
  warn(name: string): void;
  /** Asks all programs of a machine to stop, and starts them again `downMs` after they ended. */
  stop(name: string, downMs: number): void;
  wipe(name: string): void;
  freeze(name: string): void;
  thaw(name: string): void;
  startDuplicate(name: string): string;
  cut(from: string, to: string): void;
  isolate(name: string, direction?: 'both' | 'out' | 'in'): void;
  heal(): void;
  put(document: Policy, done?: () => void, node?: string): void;
  read(node?: string): void;
  purge(
    objects: readonly string[],
    tags: readonly string[],
    done?: () => void,
    node?: string,
  ): void;
  zone(zone: string, order: 'empty' | 'take-back', done?: () => void, node?: string): void;
  describe(origin: ScenarioOrigin, acknowledged?: () => void, node?: string): void;
  fault(label: string): void;
};

/** A fleet that clients send requests to. */
export type FleetUnderLoad = ScenarioFleet & {
  readonly history: Entry[];
  /** Whether each node was ready at the last readiness check. */
  readonly ready: ReadonlyMap<string, boolean>;
  submit(
    node: string,
    request: {
      method: string;
      host: string;
      target: string;
      job: string;
      key: string | null;
      content?: string;
    },
    done: (status: number, outcome: string) => void,
  ): void;
};

/** The fleet and settings of a running scenario. */
export type ScenarioEnvironment = {
  readonly fleet: ScenarioFleet;
  readonly policy: Policy;
  readonly traffic: { rate: number; crowdedZone: string | null };
  readonly endMs: number;
  /** Returns a random request of the kind that clients of this deployment send. */
  readonly sample: () => { readonly method: string; readonly target: string };
};

/** A scenario: its deployment, network and load, and the events that it causes. */
export type Scenario = {
  readonly summary: string;
  readonly seconds: number;
  readonly example?: string;
  readonly rate?: number;
  readonly loss?: number;
  readonly drift?: number;
  /** The maximum extra delay of a message, in milliseconds, as caused by busy processes. */ readonly busyMs?: number;
  /** Capacity of each proxy, if it differs from the deployment's. */ readonly capacityBps?: number;
  /**
   * The first members are founded from three seeds, and the loss of `losses` disks must be tolerated.
   * This does not apply to fleets of real processes, whose settings name the founders.
   */
  readonly voting?: { readonly losses: number };
  readonly policy?: (policy: Policy) => Policy;
  /**
   * How many clients of each front machine send one request after the other over a connection of
   * their own until it ends, whether the machine is ready or not. Only for fleets of real processes.
   */
  readonly pinnedClients?: number;
  /** Whether nodes keep serving while they are isolated; only connected nodes are judged then. */
  readonly servesOn?: boolean;
  readonly play: (environment: ScenarioEnvironment) => void;
};

/** Returns the names of all machines, or of those of one kind. */
export const machineNamesOf = (
  fleet: ScenarioFleet,
  kind?: 'front' | 'core' | 'store',
): readonly string[] =>
  fleet.deployment.machines
    .filter((machine) => kind === undefined || machine.kind === kind)
    .map((machine) => machine.name);

/** Returns the names of the machines that run a replica on a disk. */
export const diskMachinesOf = (fleet: ScenarioFleet): readonly string[] => [
  ...machineNamesOf(fleet, 'core'),
  ...machineNamesOf(fleet, 'store'),
];

/** Returns the names of the zones that have machines. */
export const zoneNamesOf = (fleet: ScenarioFleet): readonly string[] => [
  ...new Set(fleet.deployment.machines.map((machine) => machine.zone)),
];

/** Repeats an action between two times, at random intervals of 0.6 to 1.4 times `intervalMs`. */
export const repeatBetween = (
  { fleet }: ScenarioEnvironment,
  fromMs: number,
  toMs: number,
  intervalMs: number,
  action: () => void,
): void => {
  const runOnce = (): void => {
    if (fleet.clock.now() > toMs) return;
    action();
    fleet.clock.schedule(intervalMs * fleet.clock.between(0.6, 1.4), runOnce);
  };
  fleet.clock.schedule(fromMs, runOnce);
};

/** Kills a machine, wipes its disk if required, and starts it again after `afterMs`. */
export const restart = (
  fleet: ScenarioFleet,
  name: string,
  afterMs: number,
  wiped = false,
): void => {
  fleet.kill(name);
  fleet.fault(`${name} killed${wiped ? ' and wiped' : ''}`);
  if (wiped) fleet.wipe(name);
  fleet.clock.schedule(afterMs, () => {
    fleet.start(name);
  });
};
