/**
 * Virtual time and a seeded random generator: the same seed gives the same run, event for event.
 */
export class VirtualClock {
  #now = 0;
  #nextOrder = 0;
  #seed: number;
  readonly #queue: { at: number; order: number; act: () => void }[] = [];

  constructor(seed: number) {
    this.#seed = seed | 0;
  }

  /** The current virtual time, in milliseconds. */
  now(): number {
    return this.#now;
  }

  /**
   * Returns a pseudo-random number in [0, 1).
   *
   * @example
   * new VirtualClock(1).random() // always the same number
   */
  random(): number {
    this.#seed = (this.#seed + 0x6d2b79f5) | 0;
    let mixed = Math.imul(this.#seed ^ (this.#seed >>> 15), 1 | this.#seed);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  }

  /** Returns a random number between two bounds. */
  between(low: number, high: number): number {
    return low + (high - low) * this.random();
  }
  /** Returns a random element, or undefined if the list is empty. */
  pick<T>(list: readonly T[]): T | undefined {
    return list[Math.floor(this.random() * list.length)];
  }

  /** Runs an action after a delay in milliseconds; at equal times, in the order of scheduling. */
  schedule(ms: number, action: () => void): void {
    const entry = { at: this.#now + Math.max(0, ms), order: this.#nextOrder, act: action };
    this.#nextOrder += 1;
    const heap = this.#queue;
    heap.push(entry);
    let index = heap.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!VirtualClock.#isBefore(entry, heap[parent])) break;
      heap[index] = heap[parent];
      index = parent;
    }
    heap[index] = entry;
  }

  static #isBefore(
    left: { at: number; order: number },
    right: { at: number; order: number } | undefined,
  ): boolean {
    return (
      right !== undefined &&
      (left.at < right.at || (left.at === right.at && left.order < right.order))
    );
  }

  /** Runs all scheduled actions up to a point in virtual time, in order. */
  runUntil(end: number): void {
    const heap = this.#queue;
    for (let top = heap[0]; top !== undefined && top.at <= end; top = heap[0]) {
      this.#now = top.at;
      const lastEntry = heap.pop();
      if (lastEntry !== undefined && heap.length > 0 && lastEntry !== top) {
        let index = 0;
        for (;;) {
          const left = 2 * index + 1;
          if (left >= heap.length) break;
          const child =
            left + 1 < heap.length && VirtualClock.#isBefore(heap[left + 1], heap[left])
              ? left + 1
              : left;
          if (!VirtualClock.#isBefore(heap[child], lastEntry)) break;
          heap[index] = heap[child];
          index = child;
        }
        heap[index] = lastEntry;
      }
      top.act();
    }
    this.#now = Math.max(this.#now, end);
  }
}
