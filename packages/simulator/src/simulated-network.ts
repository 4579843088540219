/** Which machines reach which: partitions, one way or both. */
import type { Entry } from './history.js';

/**
 * What cuts and other events leave of a machine's paths to the replicas: the truth that nodes can
 * only infer.
 */

type RecordEntry = (entry: Entry) => void;

/** Paths between machines, each in one direction; those named are cut. */
export class SimulatedNetwork {
  readonly #cuts = new Set<string>();
  /** When something last changed about a machine's processes and links. */
  readonly #changedAt = new Map<string, number>();
  /** Machines that reach no majority of replicas, and since when. */
  readonly #isolatedSince = new Map<string, number>();
  /** Nodes that wait for a lease after a cut, and since when. */
  readonly #awaitingLeaseSince = new Map<string, number>();

  constructor(
    readonly replicas: readonly string[],
    readonly now: () => number,
    readonly record: RecordEntry,
  ) {}

  cut(from: string, to: string): void {
    this.#cuts.add(`${from}>${to}`);
    this.changed(from);
    this.changed(to);
  }

  isCut(from: string, to: string): boolean {
    return this.#cuts.has(`${from}>${to}`);
  }

  /** Ends all cuts, and notes who was cut off. */
  heal(): void {
    const now = this.now();
    this.#cuts.clear();
    for (const name of this.#changedAt.keys()) this.changed(name);
    for (const [node, from] of this.#isolatedSince) {
      this.record({ kind: 'cut-off', at: now, node, from });
      this.#awaitingLeaseSince.set(node, now);
    }
    this.#isolatedSince.clear();
  }

  /**
   * Notes that a machine's links changed, or that its processes were killed, started, frozen or
   * thawed.
   */
  changed(name: string): void {
    this.#changedAt.set(name, this.now());
    if (this.#isolatedSince.has(name) || this.reachesMajority(name)) return;
    this.#isolatedSince.set(name, this.now());
  }

  /** Whether nothing changed about a machine since a moment. */
  isSteadySince(name: string, since: number): boolean {
    return (this.#changedAt.get(name) ?? 0) < since;
  }

  /** Whether a machine has a path in both directions to a majority of the replicas' machines. */
  reachesMajority(name: string): boolean {
    const isReached = (replica: string): boolean =>
      replica === name || !(this.isCut(name, replica) || this.isCut(replica, name));
    return this.replicas.filter(isReached).length > this.replicas.length / 2;
  }

  /** ms for which a machine has had such paths, while nothing changed about it and any replica. */
  majorityReachableForMs(name: string): number {
    if (!this.reachesMajority(name)) return 0;
    const changes = [name, ...this.replicas].map((each) => this.#changedAt.get(each) ?? 0);
    return this.now() - Math.max(...changes);
  }

  /** Notes the first lease after a cut, unless something else happened to the node meanwhile. */
  leaseAcquired(name: string): void {
    const healedAt = this.#awaitingLeaseSince.get(name);
    if (healedAt === undefined) return;
    this.#awaitingLeaseSince.delete(name);
    if ((this.#changedAt.get(name) ?? 0) > healedAt) return;
    this.record({ kind: 'lease-back', at: this.now(), node: name, afterMs: this.now() - healedAt });
  }
}
