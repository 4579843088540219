/** The simulated network: which machine reaches which, with partitions in one or both directions. */
import type { Entry } from './history.js';

/**
 * The network knows which paths from a machine to the replicas exist after cuts and other events; the
 * nodes themselves can only infer it.
 */

type RecordEntry = (entry: Entry) => void;

/** Paths between machines, per direction; a path works unless it was cut. */
export class SimulatedNetwork {
  readonly #cutPaths = new Set<string>();
  /** When the processes or links of each machine last changed. */
  readonly #changedAt = new Map<string, number>();
  /** Machines without a path to a majority of replicas, and since when. */
  readonly #isolatedSince = new Map<string, number>();
  /** Nodes that wait for a lease after a cut, and when the cut ended. */
  readonly #awaitingLeaseSince = new Map<string, number>();

  constructor(
    readonly replicas: readonly string[],
    readonly now: () => number,
    readonly record: RecordEntry,
  ) {}

  /** Cuts the path from one machine to another, in this direction only. */
  cut(from: string, to: string): void {
    this.#cutPaths.add(`${from}>${to}`);
    this.changed(from);
    this.changed(to);
  }

  /** Whether the path from one machine to another is cut. */
  isCut(from: string, to: string): boolean {
    return this.#cutPaths.has(`${from}>${to}`);
  }

  /** Ends all cuts, and records which nodes were isolated. */
  heal(): void {
    const now = this.now();
    this.#cutPaths.clear();
    for (const name of this.#changedAt.keys()) this.changed(name);
    for (const [node, from] of this.#isolatedSince) {
      this.record({ kind: 'cut-off', at: now, node, from });
      this.#awaitingLeaseSince.set(node, now);
    }
    this.#isolatedSince.clear();
  }

  /**
   * Records that a machine's links changed, or that its processes were killed, started, frozen or
   * thawed.
   */
  changed(name: string): void {
    this.#changedAt.set(name, this.now());
    if (this.#isolatedSince.has(name) || this.reachesMajority(name)) return;
    this.#isolatedSince.set(name, this.now());
  }

  /** Whether a machine's links and processes have not changed since the given time. */
  isSteadySince(name: string, since: number): boolean {
    return (this.#changedAt.get(name) ?? 0) < since;
  }

  /** Whether a machine has a path in both directions to a majority of the replicas' machines. */
  reachesMajority(name: string): boolean {
    const isReached = (replica: string): boolean =>
      replica === name || !(this.isCut(name, replica) || this.isCut(replica, name));
    return this.replicas.filter(isReached).length > this.replicas.length / 2;
  }

  /**
   * Returns how long a machine has had paths to a majority of the replicas while neither its links and
   * processes nor those of a replica changed, in milliseconds.
   */
  majorityReachableForMs(name: string): number {
    if (!this.reachesMajority(name)) return 0;
    const changes = [name, ...this.replicas].map((each) => this.#changedAt.get(each) ?? 0);
    return this.now() - Math.max(...changes);
  }

  /** Records the first lease after a cut, unless the node changed in another way since the cut. */
  leaseAcquired(name: string): void {
    const healedAt = this.#awaitingLeaseSince.get(name);
    if (healedAt === undefined) return;
    this.#awaitingLeaseSince.delete(name);
    if ((this.#changedAt.get(name) ?? 0) > healedAt) return;
    this.record({ kind: 'lease-back', at: this.now(), node: name, afterMs: this.now() - healedAt });
  }
}
