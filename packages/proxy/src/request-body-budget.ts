/** Bounds the memory that the bodies of all open requests take together. */

/**
 * The bytes of request bodies that a proxy holds at most: one of the largest that operators usually
 * allow, beside ordinary ones.
 */
export const maxHeldRequestBytes = 96 * 1024 * 1024;

/** The request bodies that are held, in bytes. A single body is held whatever its size. */
export class RequestBodyBudget {
  #heldBytes = 0;

  constructor(private readonly maxBytes: number = maxHeldRequestBytes) {}

  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Opens the reservation of one request, which grows with its body. */
  open(): BodyReservation {
    let reservedBytes = 0;
    return {
      reserve: (bytes) => {
        const others = this.#heldBytes - reservedBytes;
        if (others > 0 && this.#heldBytes + bytes > this.maxBytes) return false;
        reservedBytes += bytes;
        this.#heldBytes += bytes;
        return true;
      },
      release: () => {
        this.#heldBytes -= reservedBytes;
        reservedBytes = 0;
      },
    };
  }
}

/** The part of the budget that one request has. */
export type BodyReservation = {
  /** Reserves more bytes; returns false, without any change, if the budget has too few left. */
  readonly reserve: (bytes: number) => boolean;
  /** Returns all bytes. */
  readonly release: () => void;
};
