/**
 * Reads the body of an HTTP request into blocks of memory that a budget counts. Chunks are copied
 * into the blocks: a chunk of one byte would otherwise take a buffer object of its own.
 */
import type http from 'node:http';
import { requestOverheadBytes, type Reservation } from './memory-budget.js';

/** The body of a request, in order. */
export type RequestBody = { readonly parts: readonly Buffer[]; readonly sizeBytes: number };

/** A request without a body. */
export const emptyBody: RequestBody = { parts: [], sizeBytes: 0 };

/** Why a body is not read: it exceeds its limit, or the memory for all requests is used up. */
export type BodyRejection = 'too-large' | 'no-memory';

/** The limits of a body, and what is called once it was read or is not read further. */
export type BodyReading = {
  readonly maxBytes: number;
  readonly reservation: Reservation;
  readonly onEnd: (body: RequestBody) => void;
  readonly onRejected: (rejection: BodyRejection) => void;
};

/** The sizes of the blocks of a body whose length is not announced, in bytes. */
const minBlockBytes = 4 * 1024;
const maxBlockBytes = 1024 * 1024;

/** Collects a body in blocks; each is as large as all before it, within the limits. */
class BodyBlocks {
  readonly #fullBlocks: Buffer[] = [];
  #block: Buffer | null;
  #usedBytes = 0;
  #sizeBytes = 0;

  /** @param announced the block for a body whose length is announced */
  constructor(
    private readonly reservation: Reservation,
    announced: Buffer | null,
  ) {
    this.#block = announced;
  }

  get sizeBytes(): number {
    return this.#sizeBytes;
  }

  /** Appends a chunk; returns false if there is no memory for it. */
  append(chunk: Buffer): boolean {
    let offset = 0;
    while (offset < chunk.length) {
      const block = this.#blockWithRoom();
      if (block === null) return false;
      const copiedBytes = chunk.copy(block, this.#usedBytes, offset);
      offset += copiedBytes;
      this.#usedBytes += copiedBytes;
      this.#sizeBytes += copiedBytes;
    }
    return true;
  }

  /** The body that was collected. */
  toBody(): RequestBody {
    const lastPart = this.#block?.subarray(0, this.#usedBytes);
    const parts = lastPart === undefined ? this.#fullBlocks : [...this.#fullBlocks, lastPart];
    return { parts, sizeBytes: this.#sizeBytes };
  }

  #blockWithRoom(): Buffer | null {
    if (this.#block !== null && this.#usedBytes < this.#block.length) return this.#block;
    const blockBytes = Math.min(maxBlockBytes, Math.max(minBlockBytes, this.#sizeBytes));
    if (!this.reservation.reserve(blockBytes)) return null;
    if (this.#block !== null) this.#fullBlocks.push(this.#block);
    this.#block = Buffer.allocUnsafeSlow(blockBytes);
    this.#usedBytes = 0;
    return this.#block;
  }
}

/** The announced length of a body in bytes; null if there is none. */
const announcedLengthOf = (request: http.IncomingMessage): number | null => {
  const field = request.headers['content-length'];
  if (field !== undefined) return Number(field);
  return request.headers['transfer-encoding'] === undefined ? 0 : null;
};

/** Stops reading a body: what still arrives of it is dropped. */
export const discardBody = (request: http.IncomingMessage): void => {
  request.removeAllListeners('data');
  request.removeAllListeners('end');
  request.resume();
};

/**
 * Reads a body. The memory for a body whose length is announced is reserved before it is read; that
 * of any other is reserved as it arrives.
 */
export const readRequestBody = (
  request: http.IncomingMessage,
  { maxBytes, reservation, onEnd, onRejected }: BodyReading,
): void => {
  const reject = (rejection: BodyRejection): void => {
    discardBody(request);
    reservation.release();
    onRejected(rejection);
  };
  const announcedLength = announcedLengthOf(request);
  if (announcedLength !== null && announcedLength > maxBytes) {
    reject('too-large');
    return;
  }
  // A request without a body is never refused for memory: their number has a limit of its own.
  if (announcedLength === 0) reservation.take(requestOverheadBytes);
  else if (!reservation.reserve(requestOverheadBytes + (announcedLength ?? 0))) {
    reject('no-memory');
    return;
  }
  const hasBlock = announcedLength !== null && announcedLength > 0;
  const blocks = new BodyBlocks(
    reservation,
    hasBlock ? Buffer.allocUnsafeSlow(announcedLength) : null,
  );
  request.on('data', (chunk: Buffer) => {
    reservation.progress();
    if (blocks.sizeBytes + chunk.length > maxBytes) reject('too-large');
    else if (!blocks.append(chunk)) reject('no-memory');
  });
  request.on('end', () => {
    reservation.waitsForClient(false);
    onEnd(blocks.toBody());
  });
};
