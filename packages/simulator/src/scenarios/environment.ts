/** What a scenario is, and what it can do to the fleet, its origins and its clients. */

import type { Policy } from '@reedyard/schemas';
import type { Deployment, Origin } from '@reedyard/topology';
import type { Entry } from '../history.js';

export type OriginMode = {
  slowMs: number;
  lose: number;
  garbage: number;
  short: number;
  foreign: number;
  /** s that its answers are already old. */ aged: number;
  /** Share of answers too large to be read whole. */ large: number;
};

/** A stand-in origin as scenarios see and change it. */
export type ScenarioOrigin = {
  readonly spec: Origin;
  incarnation: number;
  service: string;
  instance: string;
  alive: boolean;
  cold: boolean;
  draining: boolean;
  /** Lives, but describes itself no more. */ silent: boolean;
  capacity: number;
  mode: OriginMode;
};

/** What a scenario plays on: the simulator's fleet, or one of real processes. */
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
  /** What settings name as seeds to those that start from now on: machine/agent. */
  seeds: readonly string[];
  machineNames(): readonly string[];
  isRunning(name: string): boolean;
  holder(): string | undefined;
  start(name: string): void;
  kill(name: string): void;
  warn(name: string): void;
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

/** A fleet that callers ask. */
export type RequestedFleet = ScenarioFleet & {
  readonly history: Entry[];
  /** What the platform knows: nodes that said they were ready when it last asked. */
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

export type ScenarioEnvironment = {
  readonly fleet: ScenarioFleet;
  readonly policy: Policy;
  readonly traffic: { rate: number; crowdedZone: string | null };
  readonly endMs: number;
  /** A request as callers of this deployment send it. */
  readonly sample: () => { readonly method: string; readonly target: string };
};

export type Scenario = {
  readonly summary: string;
  readonly seconds: number;
  readonly example?: string;
  readonly rate?: number;
  readonly loss?: number;
  readonly drift?: number;
  /** ms that a message may wait more, where processes are busy. */ readonly busyMs?: number;
  /** Of each proxy, where it is not the deployment's. */ readonly capacityBps?: number;
  /**
   * Members found themselves from three seeds, and the loss of so many disks must be borne. Of real
   * processes this is not played: there the settings name the founders.
   */
  readonly voting?: { readonly losses: number };
  readonly policy?: (policy: Policy) => Policy;
  /** Nodes serve on while they are cut off; they are then judged only while they are in touch. */
  readonly servesOn?: boolean;
  readonly play: (environment: ScenarioEnvironment) => void;
};

export const machineNamesOf = (
  fleet: ScenarioFleet,
  kind?: 'front' | 'core' | 'store',
): readonly string[] =>
  fleet.deployment.machines
    .filter((machine) => kind === undefined || machine.kind === kind)
    .map((machine) => machine.name);

export const diskMachinesOf = (fleet: ScenarioFleet): readonly string[] => [
  ...machineNamesOf(fleet, 'core'),
  ...machineNamesOf(fleet, 'store'),
];

export const zoneNamesOf = (fleet: ScenarioFleet): readonly string[] => [
  ...new Set(fleet.deployment.machines.map((machine) => machine.zone)),
];

/** Does something again and again between two moments. */
export const repeatBetween = (
  { fleet }: ScenarioEnvironment,
  fromMs: number,
  toMs: number,
  intervalMs: number,
  act: () => void,
): void => {
  const next = (): void => {
    if (fleet.clock.now() > toMs) return;
    act();
    fleet.clock.schedule(intervalMs * fleet.clock.between(0.6, 1.4), next);
  };
  fleet.clock.schedule(fromMs, next);
};

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
