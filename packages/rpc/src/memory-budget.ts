/**
 * Bounds the memory that requests of clients take together: bodies that are read, and answers that
 * wait for their clients.
 */

/**
 * The memory that a request takes beside its body, in bytes: its head, the objects of the HTTP
 * parser, and its state.
 */
export const requestOverheadBytes = 8 * 1024;

/** The part of the budget that one request has. */
export type Reservation = {
  /** Reserves more bytes; returns false, without reserving any, if the budget has too few left. */
  readonly reserve: (bytes: number) => boolean;
  /** Counts bytes that are taken already. */
  readonly take: (bytes: number) => void;
  /** Returns all bytes. */
  readonly release: () => void;
};

/** The budget of one process. A single request is served whatever its size. */
export class MemoryBudget {
  #heldBytes = 0;

  /** @param maxBytes the bytes that all requests may hold together */
  constructor(private readonly maxBytes: number) {}

  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Opens the reservation of one request. */
  open(): Reservation {
    let reservedBytes = 0;
    const add = (bytes: number): void => {
      reservedBytes += bytes;
      this.#heldBytes += bytes;
    };
    return {
      reserve: (bytes) => {
        const isAlone = this.#heldBytes === reservedBytes;
        if (!isAlone && this.#heldBytes + bytes > this.maxBytes) return false;
        add(bytes);
        return true;
      },
      take: add,
      release: () => {
        this.#heldBytes -= reservedBytes;
        reservedBytes = 0;
      },
    };
  }
}
