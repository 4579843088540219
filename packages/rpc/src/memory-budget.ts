/**
 * Bounds the memory that requests of clients take together: bodies that are read, and answers that
 * wait for their clients. Who holds memory without making progress loses it before others are
 * refused.
 */
import { performance } from 'node:perf_hooks';

/**
 * The memory that a request takes beside its body, in bytes: its head, the objects of the HTTP
 * parser, and its state.
 */
export const requestOverheadBytes = 8 * 1024;

/** After this time without progress, a holder may lose its memory to others, in milliseconds. */
export const stalledAfterMs = 2_000;

/** The part of the budget that one request has. */
export type Reservation = {
  /**
   * Reserves more bytes, if need be by evicting others that make no progress; returns false, without
   * reserving any, if the budget has too few left.
   */
  readonly reserve: (bytes: number) => boolean;
  /** Counts bytes that are taken already, and evicts others that make no progress while too many are. */
  readonly take: (bytes: number) => void;
  /** Reports that the client made progress: it sent or read something. */
  readonly progress: () => void;
  /** Reports whether the request waits for its client; only such a request can be evicted. */
  readonly waitsForClient: (waits: boolean) => void;
  /** Returns all bytes. */
  readonly release: () => void;
};

type Holder = {
  reservedBytes: number;
  waitsForClient: boolean;
  lastProgressAt: number;
  readonly onEvicted: () => void;
};

/** The budget of one process. A single request is served whatever its size. */
export class MemoryBudget {
  readonly #holders = new Set<Holder>();
  #heldBytes = 0;

  /**
   * @param maxBytes the bytes that all requests may hold together
   * @param now the time of a monotonic clock, in milliseconds
   */
  constructor(
    private readonly maxBytes: number,
    private readonly now: () => number = () => performance.now(),
  ) {}

  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Opens the reservation of one request; `onEvicted` is called if it loses its memory. */
  open(onEvicted: () => void = () => undefined): Reservation {
    const holder: Holder = {
      reservedBytes: 0,
      waitsForClient: true,
      lastProgressAt: this.now(),
      onEvicted,
    };
    return {
      reserve: (bytes) => {
        this.#makeRoom(holder, bytes);
        if (!this.#fits(holder, bytes)) return false;
        this.#add(holder, bytes);
        return true;
      },
      take: (bytes) => {
        this.#add(holder, bytes);
        this.#makeRoom(holder, 0);
      },
      progress: () => {
        holder.lastProgressAt = this.now();
      },
      waitsForClient: (waits) => {
        holder.waitsForClient = waits;
        holder.lastProgressAt = this.now();
      },
      release: () => this.#release(holder),
    };
  }

  #fits(holder: Holder, bytes: number): boolean {
    const isAlone = this.#heldBytes === holder.reservedBytes;
    return isAlone || this.#heldBytes + bytes <= this.maxBytes;
  }

  #add(holder: Holder, bytes: number): void {
    this.#holders.add(holder);
    holder.reservedBytes += bytes;
    this.#heldBytes += bytes;
  }

  #release(holder: Holder): void {
    this.#heldBytes -= holder.reservedBytes;
    holder.reservedBytes = 0;
    this.#holders.delete(holder);
  }

  /** Evicts others that make no progress, longest without first, until the bytes fit. */
  #makeRoom(requester: Holder, bytes: number): void {
    if (this.#fits(requester, bytes)) return;
    const stalledSince = this.now() - stalledAfterMs;
    const stalled = [...this.#holders]
      .filter((holder) => holder !== requester && holder.waitsForClient)
      .filter((holder) => holder.lastProgressAt <= stalledSince)
      .sort((left, right) => left.lastProgressAt - right.lastProgressAt);
    for (const holder of stalled) {
      if (this.#fits(requester, bytes)) return;
      this.#release(holder);
      holder.onEvicted();
    }
  }
}
