/** Trials of a second loss right after a member was replaced. */
import type { Machine } from '@reedyard/topology';
import type { Policy } from '@reedyard/schemas';
import { SimulatedFleet, type Tuning } from './simulated-fleet.js';

/**
 * The trials run on a simulated fleet of a few fronts and of machines with a replica, in which members
 * are lost, replaced, stopped and lost again. Everything is seeded and in virtual time.
 */

const emptyPolicy: Policy = { services: {}, routes: [] };
const frontCount = 3;
/** How often the presence of a majority is sampled, in milliseconds. */
const samplePeriodMs = 10;
/**
 * How long it takes until a site is founded, has grown to its full membership, and its agents take
 * part in every decision, in milliseconds.
 */
const foundingMs = 9_000;
/** How long an operator waits for a reply before the command goes to another node, in milliseconds. */
const clientTimeoutMs = 1_000;

/** The size of a site, and the faults of its network, clocks and processes. */
export type SiteOptions = {
  readonly seed: number;
  /** Number of members; `successors` more machines with a replica can be started later. */
  readonly members: number;
  readonly successors: number;
  readonly losses: number;
  readonly loss?: number;
  readonly busyMs?: number;
  readonly drift?: number;
  readonly catchUpMs?: number;
  readonly plant?: Tuning['plant'];
};

/** Returns the name of a machine with a replica; the members are numbered first. */
export const coreName = (index: number): string => `core-${index}`;

const machinesOf = ({ members, successors }: SiteOptions): readonly Machine[] => [
  ...Array.from({ length: members + successors }, (_, index) => ({
    name: coreName(index + 1),
    zone: `zone-${(index % members) + 1}`,
    region: 'home',
    kind: 'core' as const,
  })),
  ...Array.from({ length: frontCount }, (_, index) => ({
    name: `front-${index + 1}`,
    zone: `zone-${(index % members) + 1}`,
    region: 'home',
    kind: 'front' as const,
  })),
];

/** A fleet whose membership is founded and whose successors are not started yet. */
export class Site {
  readonly fleet: SimulatedFleet;
  /** The longest time without a voting majority since `resetGap`, in milliseconds. */
  longestGapMs = 0;
  #gapStartedAt: number | null = null;

  constructor(readonly options: SiteOptions) {
    const { seed, losses, loss = 0.002, busyMs, drift, catchUpMs, plant = 'none' } = options;
    this.fleet = new SimulatedFleet(
      { name: 'site', machines: machinesOf(options), origins: [] },
      seed,
      {
        loss,
        plant,
        regionsMs: 0,
        voting: { losses, ...(catchUpMs === undefined ? {} : { catchUpMs }) },
        ...(busyMs === undefined ? {} : { busyMs }),
        ...(drift === undefined ? {} : { drift }),
      },
    );
    for (let index = 1; index <= options.members; index += 1) this.fleet.start(coreName(index));
    for (let index = 1; index <= frontCount; index += 1) this.fleet.start(`front-${index}`);
    this.runFor(foundingMs);
    this.fleet.firstStart = false;
    this.#sample();
  }

  /** Advances the virtual time. */
  runFor(ms: number): void {
    this.fleet.clock.runUntil(this.fleet.clock.now() + ms);
  }

  /**
   * Returns the id of the disk with which a machine's replica votes, or null while the replica does not
   * run, is no member, or still catches up.
   */
  votingDisk(machine: string): string | null {
    const replica = this.fleet.machines.get(machine)?.replica ?? null;
    if (replica === null || !replica.alive || replica.frozen) return null;
    const { committedMembership: membership, hasBegunVoting: voting, diskId: disk } = replica.state;
    return voting && membership !== null && Object.values(membership.value.disks).includes(disk)
      ? disk
      : null;
  }

  /** Whether a machine's replica is a full member: in the membership, caught up, and voting. */
  isVotingMember(machine: string): boolean {
    return this.votingDisk(machine) !== null;
  }

  /** Returns the newest membership that any replica knows is committed: its epoch and disk ids. */
  newestMembership(): { readonly epoch: number; readonly disks: readonly string[] } {
    let newest: { readonly epoch: number; readonly disks: readonly string[] } = {
      epoch: 0,
      disks: [],
    };
    for (const simulatedMachine of this.fleet.machines.values()) {
      const replicaMembership = simulatedMachine.replica?.state.committedMembership ?? null;
      if (replicaMembership === null || replicaMembership.value.epoch <= newest.epoch) continue;
      newest = {
        epoch: replicaMembership.value.epoch,
        disks: Object.values(replicaMembership.value.disks),
      };
    }
    return newest;
  }

  /** Returns the machines whose replica is a voting member of the newest epoch. */
  votingMachines(): readonly string[] {
    const { disks } = this.newestMembership();
    return [...this.fleet.machines.keys()].filter((machine) => {
      const disk = this.votingDisk(machine);
      return disk !== null && disks.includes(disk);
    });
  }

  /** Whether a majority of the members of the newest epoch run and vote. */
  hasMajority(): boolean {
    return this.votingMachines().length > this.newestMembership().disks.length / 2;
  }

  #sample(): void {
    const now = this.fleet.clock.now();
    if (this.hasMajority()) this.#gapStartedAt = null;
    else {
      this.#gapStartedAt ??= now;
      this.longestGapMs = Math.max(this.longestGapMs, now - this.#gapStartedAt + samplePeriodMs);
    }
    this.fleet.clock.schedule(samplePeriodMs, () => this.#sample());
  }

  /** Starts a new measurement of `longestGapMs`. */
  resetGap(): void {
    this.longestGapMs = 0;
    this.#gapStartedAt = null;
  }

  /**
   * Runs until a machine's replica is a full member. Returns the elapsed time in milliseconds, or null
   * if it exceeds the limit.
   */
  timeToMember(machine: string, limitMs: number): number | null {
    const startedAt = this.fleet.clock.now();
    while (!this.isVotingMember(machine)) {
      if (this.fleet.clock.now() - startedAt >= limitMs) return null;
      this.runFor(samplePeriodMs);
    }
    return this.fleet.clock.now() - startedAt;
  }

  /** Runs until a later epoch is committed, or the time limit has passed. */
  runUntilEpochAfter(epoch: number, limitMs: number): void {
    const endAt = this.fleet.clock.now() + limitMs;
    while (this.newestMembership().epoch <= epoch && this.fleet.clock.now() < endAt) this.runFor(1);
  }

  /** Number of commands that were acknowledged so far. */
  acknowledged = 0;

  /**
   * Sends a command to a running node, and retries it as an operator does. Returns the time until its
   * acknowledgement in milliseconds, or null if it exceeds the limit.
   */
  timeToAcknowledge(limitMs: number): number | null {
    const startedAt = this.fleet.clock.now();
    let isAcknowledged = false;
    this.#commandCount += 1;
    const changeId = `order-${this.#commandCount}`;
    const action = { kind: 'put-policy', document: emptyPolicy, ifMatch: null, changeId } as const;
    const send = (): void => {
      if (isAcknowledged) return;
      this.fleet.operate(action, ({ status }) => {
        if (status === 200) isAcknowledged = true;
      });
      // A call without a reply is given up after a second, and another node is tried.
      this.fleet.clock.schedule(clientTimeoutMs, send);
    };
    send();
    while (!isAcknowledged && this.fleet.clock.now() - startedAt < limitMs)
      this.runFor(samplePeriodMs);
    if (!isAcknowledged) return null;
    this.acknowledged += 1;
    return this.fleet.clock.now() - startedAt;
  }
  #commandCount = 0;

  /** Whether a node reads a policy revision that includes all acknowledged commands. */
  keepsAcknowledged(): boolean {
    let revision = -1;
    for (let attempts = 0; attempts < 5 && revision < 0; attempts += 1) {
      this.fleet.operate({ kind: 'get-policy' }, ({ status, body }) => {
        if (status === 200) revision = (body as { readonly revision: number }).revision;
      });
      this.runFor(2_000);
    }
    return revision >= this.acknowledged;
  }

  /** Returns a random machine whose replica is a voting member. */
  anyVotingMachine(): string {
    return this.fleet.clock.pick(this.votingMachines()) ?? '';
  }
}

/** Statistics of a list of times. */
export type TimingSummary = {
  readonly count: number;
  readonly failed: number;
  readonly medianMs: number;
  readonly p99Ms: number;
  readonly maxMs: number;
};

/**
 * Computes the median, 99th percentile and maximum of times. A null counts as failed and as an infinite
 * time.
 */
export const timingSummaryOf = (times: readonly (number | null)[]): TimingSummary => {
  const sorted = times.map((each) => each ?? Infinity).sort((a, b) => a - b);
  const percentile = (share: number): number => sorted[Math.ceil(share * sorted.length) - 1] ?? 0;
  return {
    count: sorted.length,
    failed: sorted.filter((each) => each === Infinity).length,
    medianMs: percentile(0.5),
    p99Ms: percentile(0.99),
    maxMs: percentile(1),
  };
};

/** The faults of messages and clocks under which the trials run. */
export const disturbances: readonly Pick<SiteOptions, 'loss' | 'busyMs' | 'drift'>[] = [
  {},
  { loss: 0.03 },
  { busyMs: 40 },
  { drift: 0.05 },
  { loss: 0.02, busyMs: 60 },
];

/** How long a replacement may take before it counts as failed, in milliseconds. */
const replacementLimitMs = 20_000;

/**
 * Kills a member for good and starts its successor, up to 300 ms before or 1.5 s after that. Returns the
 * time until the successor is a full member, in milliseconds, or null if it failed.
 */
export const replaceMember = (site: Site): number | null => {
  const { fleet, options } = site;
  const lostMember = site.anyVotingMachine();
  const successor = coreName(options.members + 1);
  const delayMs = fleet.clock.between(-300, 1_500);
  if (delayMs > 0) {
    fleet.kill(lostMember);
    site.runFor(delayMs);
  } else fleet.clock.schedule(-delayMs, () => fleet.kill(lostMember));
  fleet.start(successor);
  return site.timeToMember(successor, replacementLimitMs);
};

/**
 * Wipes the disk of a member and starts its machine again at the same address. Returns the time until
 * it is a full member, in milliseconds, or null if it failed.
 */
export const wipeMember = (site: Site): number | null => {
  const { fleet } = site;
  const wipedMember = site.anyVotingMachine();
  fleet.kill(wipedMember);
  fleet.wipe(wipedMember);
  site.runFor(fleet.clock.between(200, 2_000));
  fleet.start(wipedMember);
  return site.timeToMember(wipedMember, replacementLimitMs);
};
