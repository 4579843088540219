import http from 'node:http';
import net from 'node:net';
import { createHash } from 'node:crypto';
import { performance } from 'node:perf_hooks';
import { Limits, Sizes } from '@reedyard/gauge';
import { LayerError, textOf } from '@reedyard/scriber';
import type { OriginRow } from '@reedyard/jig';
import { originName } from './choice.js';
import type { Dialect, ToOrigin } from './dialect.js';
import type { LegAnswer } from './state.js';
import type { Sent } from '@reedyard/tally';

/** A leg that brought no sound answer. */
export class LegError extends LayerError {
  constructor(readonly sent: Sent, readonly why: string, message: string, options?: { readonly cause?: unknown }) { super(why, message, options); }
}

const identityPath = '/.well-known/reedyard-identity';
const hopByHop = new Set(['connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade']);

/**
 * Header fields that may be passed on: without those of one hop, those that `connection` names, and
 * the project's own, which only its processes may set.
 *
 * @example
 * passable({ connection: 'x-a', 'x-a': '1', accept: '*' }) // { accept: '*' }
 */
export const passable = (headers: http.IncomingHttpHeaders, own = false): Record<string, string | string[]> => {
  const named = new Set(String(headers.connection ?? '').split(',').map((name) => name.trim().toLowerCase()));
  return Object.fromEntries(Object.entries(headers).flatMap(([name, value]) =>
    (value === undefined || hopByHop.has(name) || named.has(name) || (!own && name.startsWith('reedyard-')) ? [] : [[name, value]])));
};

/** One conn to one origin, used by one attempt at a time. Where the dialect asks for it, its other end proved who it is before anything else. */
type Conn = { readonly agent: http.Agent; readonly socket: net.Socket; readonly bytesAtRest: number; readonly at: number; /** ms that it may rest. */ readonly restMs: number };

export type Outgoing = { readonly method: string; readonly path: string; readonly headers: Record<string, string | string[]>; readonly body: Buffer; /** Whether it may be run again. */ readonly safe: boolean };

/** ms that the other end lets a conn rest, by its own word, less what a message may take; null where it closes it now. */
const restOf = (headers: http.IncomingHttpHeaders): number | null => {
  if (/\bclose\b/i.test(headers.connection ?? '')) return null;
  const told = /timeout=(\d+)/i.exec(String(headers['keep-alive'] ?? ''))?.[1];
  return told === undefined ? Limits.idleConn : Math.min(Limits.idleConn, Math.max(0, Number(told) * 1_000 - Limits.idleMargin));
};

/** Where an answer goes as it comes, and how to break it off. */
export type Underway = { readonly abort: () => void };

const lengthKnown = (method: string, response: http.IncomingMessage): boolean =>
  method === 'HEAD' || response.statusCode === 204 || response.statusCode === 304
  || response.headers['content-length'] !== undefined || response.headers['transfer-encoding'] !== undefined;

const digestHolds = (response: http.IncomingMessage, body: Buffer): boolean => {
  const given = response.headers['content-digest'];
  const found = typeof given === 'string' ? /(?:^|,)\s*sha-256=:([A-Za-z0-9+/=]+):/.exec(given) : null;
  return found === null || createHash('sha256').update(body).digest('base64') === found[1];
};

/** Reads an answer whole, or hands it on as a stream once it is too large for that. */
const readAnswer = (method: string, response: http.IncomingMessage, proof: LegAnswer['proof'], done: (answer: LegAnswer) => void, fail: (error: LegError) => void): void => {
  const status = response.statusCode ?? 0;
  const headers = passable(response.headers, true);
  if (!lengthKnown(method, response)) { response.destroy(); fail(new LegError('maybe', 'no-length', 'the answer tells neither its length nor its end')); return; }
  const chunks: Buffer[] = [];
  let size = 0;
  const onData = (chunk: Buffer): void => {
    chunks.push(chunk);
    size += chunk.length;
    if (size <= Sizes.wholeBody) return;
    response.pause();
    response.off('data', onData);
    response.off('end', onEnd);
    response.unshift(Buffer.concat(chunks));
    done({ status, headers, body: response, size, whole: false, ...(proof === undefined ? {} : { proof }) });
  };
  const onEnd = (): void => {
    const body = Buffer.concat(chunks);
    if (!response.complete) fail(new LegError('maybe', 'short', 'the answer ended before its announced length'));
    else if (!digestHolds(response, body)) fail(new LegError('maybe', 'digest', 'the answer does not match its digest'));
    else done({ status, headers, body, size: body.length, whole: true, ...(proof === undefined ? {} : { proof }) });
  };
  response.on('data', onData);
  response.on('end', onEnd);
  response.on('error', (error) => fail(new LegError('maybe', 'cut', textOf(error), { cause: error })));
};

/** Conns to origins, each proved, each used by one leg at a time. */
export class OriginConns {
  readonly #idle = new Map<string, Conn[]>();

  /** @param from the address that conns go out from @param dialect how origins are spoken to */
  constructor(private readonly from: string, private readonly dialect: Dialect) {}

  /** Opens a conn and asks who is there; nothing of a transaction is sent before the answer fits. */
  #open(row: OriginRow): Promise<Conn> {
    return new Promise((resolve, reject) => {
      const cut = row.address.lastIndexOf(':');
      const socket = net.connect({ host: row.address.slice(0, cut), port: Number(row.address.slice(cut + 1)), localAddress: this.from });
      socket.setNoDelay(true);
      const fail = (why: string, thrown: unknown): void => { clearTimeout(beat); socket.destroy(); reject(new LegError('nothing', why, textOf(thrown), { cause: thrown })); };
      const proves = this.dialect.identity === 'asked';
      const beat = setTimeout(() => fail('connect', new Error(proves ? 'no proof of identity in time' : 'no conn in time')), proves ? Limits.connect : Limits.opening);
      socket.once('error', (error) => fail('connect', error));
      socket.once('connect', () => {
        const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
        let given = false;
        (agent as unknown as { createConnection: () => net.Socket }).createConnection = () => {
          if (given) throw new Error('this conn is closed');
          given = true;
          return socket;
        };
        const opened = (): void => { clearTimeout(beat); resolve({ agent, socket, bytesAtRest: socket.bytesRead, at: performance.now(), restMs: Limits.idleConn }); };
        if (!proves) { opened(); return; }
        try {
          const request = http.request({ agent, method: 'GET', path: identityPath, headers: { host: row.address, 'reedyard-expect': originName(row) } }, (response) => {
            let text = '';
            response.setEncoding('utf8');
            response.on('data', (chunk: string) => { text += chunk; if (text.length > 4_096) fail('identity', new Error('an oversized proof')); });
            response.on('error', (error) => fail('connect', error));
            response.on('end', () => {
              try {
                const told = JSON.parse(text) as { service?: unknown; instance?: unknown; incarnation?: unknown };
                if (response.statusCode !== 200 || `${String(told.service)}/${String(told.instance)}/${String(told.incarnation)}` !== originName(row)) throw new Error(`another one answers at ${row.address}`);
              } catch (thrown) { fail('identity', thrown); return; }
              setImmediate(() => (socket.destroyed ? fail('connect', new Error('closed after its proof')) : opened()));
            });
          });
          request.on('error', (error) => fail('connect', error));
          request.end();
        } catch (thrown) { fail('connect', thrown); }
      });
    });
  }

  /** An idle conn that nothing was heard on since, and that was used lately enough for the purpose. */
  #take(name: string, mostIdleMs: number): Conn | undefined {
    const list = this.#idle.get(name) ?? [];
    while (list.length > 0) {
      const conn = list.pop();
      if (conn === undefined) break;
      if (!conn.socket.destroyed && conn.socket.bytesRead === conn.bytesAtRest && conn.socket.readableLength === 0 && performance.now() - conn.at < Math.min(mostIdleMs, conn.restMs)) return conn;
      conn.socket.destroy();
    }
    return undefined;
  }

  /** Closes conns to instances that are no longer told of. */
  keepOnly(names: ReadonlySet<string>): void {
    for (const [name, list] of this.#idle) {
      if (names.has(name) && list.length > 0) continue;
      list.forEach((conn) => conn.socket.destroy());
      this.#idle.delete(name);
    }
  }

  /** Makes one leg; nothing of it is sent once `sendBy` has passed, however long the conn took. */
  send(row: OriginRow, out: Outgoing, attempt: ToOrigin, sendBy: number, done: (answer: LegAnswer) => void, fail: (error: LegError) => void): Underway {
    let over = false;
    let aborted = false;
    let conn: Conn | undefined;
    const name = originName(row);
    const failOnce = (error: LegError): void => { if (!over) { over = true; conn?.socket.destroy(); fail(error); } };
    const use = (taken: Conn): void => {
      conn = taken;
      if (aborted) { taken.socket.destroy(); return; }
      if (performance.now() >= sendBy) { failOnce(new LegError('nothing', 'lease', 'the lease ran out before the conn was there')); return; }
      try {
        const request = http.request({ agent: taken.agent, method: out.method, path: out.path, headers: out.headers, setHost: false }, (response) => {
          const restMs = restOf(response.headers);
          readAnswer(out.method, response, this.dialect.fromOrigin(response.statusCode ?? 0, response.headers, attempt), (answer) => {
            if (over) return;
            over = true;
            const rest = (): void => { setImmediate(() => {
              if (taken.socket.destroyed) return;
              if (restMs === null || answer.proof?.unsound) { taken.socket.destroy(); return; }
              const list = this.#idle.get(name) ?? [];
              list.push({ ...taken, bytesAtRest: taken.socket.bytesRead, at: performance.now(), restMs });
              this.#idle.set(name, list);
            }); };
            if (answer.whole) rest(); else { response.once('end', rest); }
            done(answer);
          }, failOnce);
        });
        request.on('error', (error) => failOnce(new LegError('maybe', 'cut', textOf(error), { cause: error })));
        request.end(out.body);
      } catch (thrown) { failOnce(new LegError('nothing', 'connect', textOf(thrown), { cause: thrown })); }
    };
    // A conn that rested may be closing at the other end: unsafe requests go only over fresh ones.
    const idle = this.#take(name, out.safe ? Limits.idleConn : Limits.suspicion / 2);
    if (idle !== undefined) use(idle);
    else this.#open(row).then(use, (thrown: unknown) => failOnce(thrown instanceof LegError ? thrown : new LegError('nothing', 'connect', textOf(thrown))));
    return { abort: () => { aborted = true; over = true; conn?.socket.destroy(); } };
  }
}

const partnerAgent = new http.Agent({ keepAlive: true, maxSockets: 256 });

/** Hands a transaction on to a partner. */
export const sendToPartner = (address: string, from: string, out: Outgoing, done: (answer: LegAnswer) => void, fail: (error: LegError) => void): Underway => {
  let over = false;
  let connected = false;
  const failOnce = (error: LegError): void => { if (!over) { over = true; fail(error); } };
  const cut = address.lastIndexOf(':');
  const request = http.request({ agent: partnerAgent, host: address.slice(0, cut), port: Number(address.slice(cut + 1)), localAddress: from, method: out.method, path: out.path, headers: out.headers, setHost: false }, (response) => {
    readAnswer(out.method, response, undefined, (answer) => { if (!over) { over = true; done(answer); } }, failOnce);
  });
  const beat = setTimeout(() => { if (!connected) request.destroy(new Error('no conn in time')); }, Limits.opening);
  request.on('close', () => clearTimeout(beat));
  request.on('socket', (socket) => { if (socket.connecting) socket.once('connect', () => { connected = true; }); else connected = true; });
  request.on('error', (error) => failOnce(new LegError(connected ? 'maybe' : 'nothing', connected ? 'cut' : 'connect', textOf(error), { cause: error })));
  request.end(out.body);
  return { abort: () => { over = true; request.destroy(); } };
};
