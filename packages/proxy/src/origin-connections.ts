/**
 * Connections to origins and peers, each used by one attempt at a time. Whether one may be used
 * again is decided in connection.ts; an attempt over it is made in exchange.ts.
 */
import http from 'node:http';
import net from 'node:net';
import { performance } from 'node:perf_hooks';
import type { OriginEndpoint, PeerEndpoint } from '@reedyard/agent';
import { errorMessage } from '@reedyard/logging';
import { originIdOf } from './endpoint-selection.js';
import { connectTimeoutMs, idleConnectionMs, plainConnectTimeoutMs } from './connection-timing.js';
import type { WireFormat, OriginAttempt } from './wire-format.js';
import { minEjectionMs } from './ejection-timing.js';
import {
  type AttemptCallbacks,
  AttemptError,
  Exchange,
  type ResponseJudgement,
  OpenConnection,
  type OutgoingRequest,
  type InFlightAttempt,
} from './exchange.js';

export {
  AttemptError,
  type AttemptCallbacks as AttemptEnds,
  type OutgoingRequest as Outgoing,
  type InFlightAttempt as Underway,
} from './exchange.js';

const IDENTITY_PATH = '/.well-known/reedyard-identity';
/** bytes. A proof of identity is a few names. */
const LARGEST_PROOF = 4_096;

/** Who is to be reached. */
type Destination = {
  readonly name: string;
  readonly address: string;
  /** Who must prove to be there before anything is sent; null where nobody is asked. */
  readonly identity: string | null;
  readonly judge: (response: http.IncomingMessage) => ResponseJudgement;
};

/** When an attempt may be sent, and over what. */
export type SendConditions = {
  /** Nothing of it is sent from this moment on, however long the connection took. */
  readonly sendBy: number;
  /** Only over a connection that carried nothing before. */
  readonly fresh: boolean;
};

const splitAddress = (address: string): { readonly host: string; readonly port: number } => {
  const cut = address.lastIndexOf(':');
  return { host: address.slice(0, cut), port: Number(address.slice(cut + 1)) };
};

type Identity = { service?: unknown; instance?: unknown; incarnation?: unknown };

const proves = (status: number | undefined, text: string, expected: string): boolean => {
  const told = JSON.parse(text) as Identity;
  const name = `${String(told.service)}/${String(told.instance)}/${String(told.incarnation)}`;
  return status === 200 && name === expected;
};

/** Another one than was meant is at the address. */
class IdentityError extends Error {}

/** Asks who is at the other end; resolves once that is whom we expect. */
const askIdentity = (
  connection: OpenConnection,
  { address, identity }: Destination,
): Promise<void> =>
  new Promise((resolve, reject) => {
    const headers = { host: address, 'reedyard-expect': identity ?? '' };
    const options = { agent: connection.agent, method: 'GET', path: IDENTITY_PATH, headers };
    const request = http.request(options, (response) => {
      let text = '';
      response.setEncoding('utf8');
      response.on('data', (chunk: string) => {
        text += chunk;
        if (text.length > LARGEST_PROOF) reject(new IdentityError('an oversized proof'));
      });
      response.on('error', reject);
      response.on('end', () => {
        try {
          if (!proves(response.statusCode, text, identity ?? '')) {
            throw new Error(`another one answers at ${address}`);
          }
          resolve();
        } catch (thrown) {
          reject(new IdentityError(errorMessage(thrown), { cause: thrown }));
        }
      });
    });
    request.on('error', reject);
    request.end();
  });

const nextEventLoopTurn = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/** The name under which connections to a peer are kept. */
export const peerKeyOf = (row: PeerEndpoint): string => `peer ${row.id} ${row.address}`;

/** Connections to origins and peers. */
export class OriginConnections {
  readonly #idle = new Map<string, OpenConnection[]>();
  #attempts = 0;

  /**
   * @param from the address that connections go out from
   * @param dialect how origins are spoken to
   */
  constructor(
    private readonly from: string,
    private readonly dialect: WireFormat,
  ) {}

  /** Closes resting connections to origins and peers that are no longer told of. */
  closeIdleExcept(names: ReadonlySet<string>): void {
    for (const [name, list] of this.#idle) {
      if (names.has(name)) continue;
      list.forEach((connection) => connection.socket.destroy());
      this.#idle.delete(name);
    }
  }

  /** Makes one attempt at an origin. */
  sendToOrigin(
    row: OriginEndpoint,
    out: OutgoingRequest,
    attempt: OriginAttempt,
    terms: SendConditions,
    ends: AttemptCallbacks,
  ): InFlightAttempt {
    const name = originIdOf(row);
    const judge = (response: http.IncomingMessage): ResponseJudgement => {
      const status = response.statusCode ?? 0;
      const proof = this.dialect.readOriginResponse(status, response.headers, attempt);
      const { mismatch: unsound, anonymous = false } = proof;
      return { proof, evidence: { unsound, anonymous } };
    };
    const identity = this.dialect.identity === 'asked' ? name : null;
    return this.#send({ name, address: row.address, identity, judge }, out, terms, ends);
  }

  /** Hands a request on to a peer. */
  sendToPeer(
    row: PeerEndpoint,
    out: OutgoingRequest,
    terms: SendConditions,
    ends: AttemptCallbacks,
  ): InFlightAttempt {
    const judge = ({ headers }: http.IncomingMessage): ResponseJudgement => {
      const foreign = headers['reedyard-attempt'] !== out.headers['reedyard-attempt'];
      return { evidence: { unsound: foreign ? 'foreign' : null, anonymous: false } };
    };
    return this.#send(
      { name: peerKeyOf(row), address: row.address, identity: null, judge },
      out,
      terms,
      ends,
    );
  }

  #send(
    to: Destination,
    out: OutgoingRequest,
    terms: SendConditions,
    ends: AttemptCallbacks,
  ): InFlightAttempt {
    this.#attempts += 1;
    const attempt = this.#attempts;
    let aborted = false;
    let exchange: Exchange | null = null;
    const failUnsent = (why: string, cause: unknown): void => {
      if (!aborted) ends.fail(new AttemptError('nothing', why, errorMessage(cause), { cause }));
    };
    const use = (connection: OpenConnection): void => {
      if (aborted || performance.now() >= terms.sendBy) {
        connection.socket.destroy();
        failUnsent('lease', new Error('the lease ran out before the connection was there'));
        return;
      }
      const rest = (): void => this.#rest(to.name, connection);
      exchange = new Exchange({ connection, out, attempt, judge: to.judge, rest, ...ends });
      exchange.start();
    };
    const failOpening = (thrown: unknown): void =>
      failUnsent(thrown instanceof IdentityError ? 'identity' : 'connect', thrown);
    queueMicrotask(() => {
      const resting = terms.fresh ? undefined : this.#take(to.name, out.safe, attempt);
      if (resting !== undefined) use(resting);
      else this.#open(to, attempt).then(use, failOpening);
    });
    return {
      abort: () => {
        aborted = true;
        exchange?.abort();
      },
    };
  }

  /** A resting connection that is fit for an attempt. */
  #take(name: string, safe: boolean, attempt: number): OpenConnection | undefined {
    // One that rested may be closing at the other end: what may not run twice needs a younger one.
    const mostIdleMs = safe ? idleConnectionMs : minEjectionMs / 2;
    const list = this.#idle.get(name) ?? [];
    for (let connection = list.pop(); connection !== undefined; connection = list.pop()) {
      if (!connection.isQuiet) connection.reduce({ kind: 'surplus' });
      const now = performance.now();
      const effects = connection.reduce({ kind: 'assign', attempt, maxIdleMs: mostIdleMs, now });
      if (effects.some((effect) => effect.kind === 'send')) return connection;
      connection.socket.destroy();
    }
    return undefined;
  }

  /** Keeps a connection for the next attempt, once Node is done with the last one. */
  #rest(name: string, connection: OpenConnection): void {
    setImmediate(() => {
      if (!connection.isQuiet) {
        connection.reduce({ kind: 'surplus' });
        connection.socket.destroy();
        return;
      }
      const list = this.#idle.get(name) ?? [];
      list.push(connection);
      this.#idle.set(name, list);
    });
  }

  #drop(name: string, connection: OpenConnection): void {
    const list = this.#idle.get(name) ?? [];
    const index = list.indexOf(connection);
    if (index >= 0) list.splice(index, 1);
  }

  /** Opens a connection; nothing of the attempt is sent before who is there was proved. */
  async #open(to: Destination, attempt: number): Promise<OpenConnection> {
    const { name } = to;
    const socket = net.connect({ ...splitAddress(to.address), localAddress: this.from });
    socket.setNoDelay(true);
    const limitMs = to.identity === null ? plainConnectTimeoutMs : connectTimeoutMs;
    const late = setTimeout(() => socket.destroy(new Error('no connection in time')), limitMs);
    try {
      const connection = await this.#connected(socket, to);
      socket.once('close', () => this.#drop(name, connection));
      connection.reduce({ kind: 'assign', attempt, maxIdleMs: 0, now: performance.now() });
      return connection;
    } catch (thrown) {
      socket.destroy();
      throw thrown;
    } finally {
      clearTimeout(late);
    }
  }

  async #connected(socket: net.Socket, to: Destination): Promise<OpenConnection> {
    await new Promise<void>((resolve, reject) => {
      socket.once('error', reject);
      socket.once('connect', resolve);
    });
    const connection = new OpenConnection(socket);
    if (to.identity === null) return connection;
    await askIdentity(connection, to);
    connection.bytesReadAtRest = socket.bytesRead;
    // The agent has to have the socket back first.
    await nextEventLoopTurn();
    if (!connection.isQuiet) throw new Error('closed after its proof');
    return connection;
  }
}
