/**
 * The pool of connections to origins and peers, each used by one attempt at a time. The reducer in
 * connection.ts decides whether a connection may be reused; exchange.ts performs an attempt over it.
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
  type ResponseAssessment,
  OpenConnection,
  type OutgoingRequest,
  type InFlightAttempt,
} from './exchange.js';

export {
  AttemptError,
  type AttemptCallbacks,
  type OutgoingRequest,
  type InFlightAttempt,
} from './exchange.js';

const IDENTITY_PATH = '/.well-known/reedyard-identity';
/** Maximum size of an identity reply, which consists of a few names, in bytes. */
const MAX_IDENTITY_BYTES = 4_096;

/** The origin or peer that an attempt goes to. */
type Destination = {
  /** The key of its connections in the pool. */
  readonly key: string;
  readonly address: string;
  /** The origin id that must be verified before anything is sent; null without verification. */
  readonly identity: string | null;
  readonly assessResponse: (response: http.IncomingMessage) => ResponseAssessment;
};

/** Until when, and over which connections, an attempt may be sent. */
export type SendConditions = {
  /** Nothing is sent from this time on, however long opening a connection took. */
  readonly sendBy: number;
  /** Whether the attempt needs a connection that has carried nothing before. */
  readonly fresh: boolean;
};

const splitAddress = (address: string): { readonly host: string; readonly port: number } => {
  const separator = address.lastIndexOf(':');
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
};

type Identity = { service?: unknown; instance?: unknown; incarnation?: unknown };

const isExpectedIdentity = (
  status: number | undefined,
  text: string,
  expected: string,
): boolean => {
  const identity = JSON.parse(text) as Identity;
  const name = `${String(identity.service)}/${String(identity.instance)}/${String(identity.incarnation)}`;
  return status === 200 && name === expected;
};

/** The other end could not be verified as the intended origin. */
class IdentityError extends Error {}

/** Queries the identity of the other end; resolves if it is the expected one. */
const verifyIdentity = (
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
        if (text.length > MAX_IDENTITY_BYTES)
          reject(new IdentityError('the identity reply is too large'));
      });
      response.on('error', reject);
      response.on('end', () => {
        try {
          if (!isExpectedIdentity(response.statusCode, text, identity ?? '')) {
            throw new Error(`another origin responds at ${address}`);
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

/** The key of connections to a peer in the pool. */
export const peerKeyOf = (peer: PeerEndpoint): string => `peer ${peer.id} ${peer.address}`;

/** The pool of connections to origins and peers. */
export class OriginConnections {
  readonly #idle = new Map<string, OpenConnection[]>();
  #attemptCount = 0;

  /**
   * @param localAddress the address that connections are opened from
   * @param wireFormat the header fields exchanged with origins
   */
  constructor(
    private readonly localAddress: string,
    private readonly wireFormat: WireFormat,
  ) {}

  /** Closes idle connections to the origins and peers that are not among `keys`. */
  closeIdleExcept(keys: ReadonlySet<string>): void {
    for (const [key, connections] of this.#idle) {
      if (keys.has(key)) continue;
      connections.forEach((connection) => connection.socket.destroy());
      this.#idle.delete(key);
    }
  }

  /** Sends one attempt to an origin. */
  sendToOrigin(
    origin: OriginEndpoint,
    outgoing: OutgoingRequest,
    attempt: OriginAttempt,
    conditions: SendConditions,
    callbacks: AttemptCallbacks,
  ): InFlightAttempt {
    const originId = originIdOf(origin);
    const assessResponse = (response: http.IncomingMessage): ResponseAssessment => {
      const status = response.statusCode ?? 0;
      const originEvidence = this.wireFormat.readOriginResponse(status, response.headers, attempt);
      const { mismatch, anonymous = false } = originEvidence;
      return { originEvidence, evidence: { mismatch, anonymous }, mayBeUnbounded: true };
    };
    const identity = this.wireFormat.identity === 'asked' ? originId : null;
    return this.#send(
      { key: originId, address: origin.address, identity, assessResponse },
      outgoing,
      conditions,
      callbacks,
    );
  }

  /** Forwards a request to a peer. */
  sendToPeer(
    peer: PeerEndpoint,
    outgoing: OutgoingRequest,
    conditions: SendConditions,
    callbacks: AttemptCallbacks,
  ): InFlightAttempt {
    const assessResponse = ({ headers }: http.IncomingMessage): ResponseAssessment => {
      const isForeign = headers['reedyard-attempt'] !== outgoing.headers['reedyard-attempt'];
      return {
        evidence: { mismatch: isForeign ? 'foreign' : null, anonymous: false },
        mayBeUnbounded: false,
      };
    };
    return this.#send(
      { key: peerKeyOf(peer), address: peer.address, identity: null, assessResponse },
      outgoing,
      conditions,
      callbacks,
    );
  }

  #send(
    destination: Destination,
    outgoing: OutgoingRequest,
    conditions: SendConditions,
    callbacks: AttemptCallbacks,
  ): InFlightAttempt {
    this.#attemptCount += 1;
    const attempt = this.#attemptCount;
    let isAborted = false;
    let exchange: Exchange | null = null;
    const failUnsent = (why: string, cause: unknown): void => {
      if (!isAborted)
        callbacks.fail(new AttemptError('nothing', why, errorMessage(cause), { cause }));
    };
    const sendOver = (connection: OpenConnection): void => {
      if (isAborted || performance.now() >= conditions.sendBy) {
        connection.socket.destroy();
        failUnsent('lease', new Error('the lease expired before the connection was open'));
        return;
      }
      const rest = (): void => this.#returnToPool(destination.key, connection);
      exchange = new Exchange({
        connection,
        outgoing,
        attempt,
        assessResponse: destination.assessResponse,
        rest,
        ...callbacks,
      });
      exchange.start();
    };
    const failOpening = (thrown: unknown): void =>
      failUnsent(thrown instanceof IdentityError ? 'identity' : 'connect', thrown);
    queueMicrotask(() => {
      const idle = conditions.fresh
        ? undefined
        : this.#takeIdle(destination.key, outgoing.safe, attempt);
      if (idle !== undefined) sendOver(idle);
      else this.#open(destination, attempt).then(sendOver, failOpening);
    });
    return {
      abort: () => {
        isAborted = true;
        exchange?.abort();
      },
    };
  }

  /** Takes an idle connection that can carry the attempt; undefined if there is none. */
  #takeIdle(key: string, isIdempotent: boolean, attempt: number): OpenConnection | undefined {
    // The other end may be about to close an idle connection, so a request that must not be executed
    // twice needs one that was idle for a shorter time.
    const maxIdleMs = isIdempotent ? idleConnectionMs : minEjectionMs / 2;
    const connections = this.#idle.get(key) ?? [];
    for (
      let connection = connections.pop();
      connection !== undefined;
      connection = connections.pop()
    ) {
      if (!connection.isQuiet) connection.reduce({ kind: 'surplus' });
      const now = performance.now();
      const effects = connection.reduce({ kind: 'assign', attempt, maxIdleMs, now });
      if (effects.some((effect) => effect.kind === 'send')) return connection;
      connection.socket.destroy();
    }
    return undefined;
  }

  /** Keeps a connection for the next attempt, after Node has finished with the last one. */
  #returnToPool(key: string, connection: OpenConnection): void {
    setImmediate(() => {
      if (!connection.isQuiet) {
        connection.reduce({ kind: 'surplus' });
        connection.socket.destroy();
        return;
      }
      const connections = this.#idle.get(key) ?? [];
      connections.push(connection);
      this.#idle.set(key, connections);
    });
  }

  #removeFromPool(key: string, connection: OpenConnection): void {
    const connections = this.#idle.get(key) ?? [];
    const index = connections.indexOf(connection);
    if (index >= 0) connections.splice(index, 1);
  }

  /** Opens a connection; nothing of the attempt is sent before the other end is verified. */
  async #open(destination: Destination, attempt: number): Promise<OpenConnection> {
    const { key } = destination;
    const socket = net.connect({
      ...splitAddress(destination.address),
      localAddress: this.localAddress,
    });
    socket.setNoDelay(true);
    const timeoutMs = destination.identity === null ? plainConnectTimeoutMs : connectTimeoutMs;
    const timer = setTimeout(() => socket.destroy(new Error('connect timeout')), timeoutMs);
    try {
      const connection = await this.#connect(socket, destination);
      socket.once('close', () => this.#removeFromPool(key, connection));
      connection.reduce({ kind: 'assign', attempt, maxIdleMs: 0, now: performance.now() });
      return connection;
    } catch (thrown) {
      socket.destroy();
      throw thrown;
    } finally {
      clearTimeout(timer);
    }
  }

  async #connect(socket: net.Socket, destination: Destination): Promise<OpenConnection> {
    await new Promise<void>((resolve, reject) => {
      socket.once('error', reject);
      socket.once('connect', resolve);
    });
    const connection = new OpenConnection(socket);
    if (destination.identity === null) return connection;
    await verifyIdentity(connection, destination);
    connection.bytesReadAtRest = socket.bytesRead;
    // The agent must get the socket back before the connection is used.
    await nextEventLoopTurn();
    if (!connection.isQuiet) throw new Error('the connection closed after the identity check');
    return connection;
  }
}
