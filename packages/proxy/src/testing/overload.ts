/**
 * Clients that use up the resources of a proxy, and checks that don't depend on the speed of the
 * machine: the process lives, its peak memory and its open descriptors stay under bounds, and an
 * ordinary request is answered afterwards.
 */
import { readdirSync, readFileSync } from 'node:fs';
import net from 'node:net';
import type { ExecutionContext } from 'ava';
import { RawClient } from './proxy-harness.js';
import { type ProxyProgram, startProxyProgram } from './proxy-program.js';
import {
  type ReceivedRequest,
  responseBytes,
  type Script,
  startScriptedOrigin,
} from './scripted-origin.js';

/** The memory of a front machine of the users' deployments, in bytes. */
export const maxMemoryBytes = 350 * 1_000_000;

/** The descriptors that a front machine leaves for sockets. */
export const maxDescriptors = 3_900;

/** The flags of the deploy file. */
const nodeFlags = ['--max-old-space-size=160', '--max-semi-space-size=2'];

/** Body limit of the test's policy, in bytes. */
export const maxBodyBytes = 8 * 1024 * 1024;

/** Longer than a test: a request that stops short of its end does not time out on its own. */
const headMs = 3_600_000;

const originScript: Script = (request: ReceivedRequest, socket) => {
  const isIdentityCheck = request.path === '/.well-known/reedyard-identity';
  const identity = { service: 'store', instance: 'i1', incarnation: 0 };
  const correlationId = request.headers['reedyard-attempt'] ?? '';
  socket.write(
    isIdentityCheck
      ? responseBytes(200, {}, JSON.stringify(identity))
      : responseBytes(
          200,
          {
            'reedyard-stamp': 'store/i1/0',
            'reedyard-attempt': correlationId,
            'cache-control': 'max-age=60',
          },
          request.path.padEnd(Number(/bytes=(\d+)/.exec(request.path)?.[1] ?? 0), 'x'),
        ),
  );
};

/** A proxy under overload, and the clients that are connected to it. */
export class OverloadedProxy {
  readonly #sockets: net.Socket[] = [];

  private constructor(private readonly program: ProxyProgram) {}

  static async start(t: ExecutionContext): Promise<OverloadedProxy> {
    const origin = await startScriptedOrigin(originScript);
    origin.readsBodies = true;
    t.teardown(() => origin.close());
    const clientLimits = { bodyBytes: maxBodyBytes, headMs };
    const program = await startProxyProgram(t, origin.port, { nodeFlags, clientLimits });
    const overloaded = new OverloadedProxy(program);
    t.teardown(() => overloaded.disconnectAll());
    return overloaded;
  }

  get #hasExited(): boolean {
    return this.program.child.exitCode !== null || this.program.child.signalCode !== null;
  }

  #statusField(name: string): number {
    const status = readFileSync(`/proc/${this.program.child.pid}/status`, 'utf8');
    const value = new RegExp(`^${name}:\\s+(\\d+) kB`, 'm').exec(status)?.[1];
    return Number(value) * 1_024;
  }

  /**
   * Connects a client that writes the given bytes, and neither reads nor closes. Resolves once the
   * proxy has taken all of the bytes, has closed the connection, or takes no more of them until a
   * later client is handled.
   */
  async flood(bytes: readonly Buffer[]): Promise<void> {
    const socket = net.connect({ host: '127.0.0.1', port: this.program.port });
    this.#sockets.push(socket);
    socket.pause();
    const closed = new Promise<void>((resolve) => {
      socket.on('error', () => resolve());
      socket.on('close', () => resolve());
    });
    const written = (async () => {
      for (const part of bytes) {
        if (socket.destroyed) return;
        await new Promise<void>((resolve) => {
          socket.write(part, () => resolve());
        });
      }
    })();
    await Promise.race([closed, written, this.#untilBlocked(socket)]);
  }

  /** Resolves once nothing was taken from the socket while others were answered several times. */
  async #untilBlocked(socket: net.Socket): Promise<void> {
    const maxUnchangedChecks = 20;
    let unchangedChecks = 0;
    let bytesWritten = -1;
    while (unchangedChecks < maxUnchangedChecks && !socket.destroyed && !this.#hasExited) {
      await this.#get('/nowhere/check').catch(() => null);
      const pending = socket.bytesWritten - socket.writableLength;
      unchangedChecks = pending === bytesWritten ? unchangedChecks + 1 : 0;
      bytesWritten = pending;
    }
  }

  async #request(method: string, path: string, body: string): Promise<number | null> {
    const client = await RawClient.connect(this.program.port);
    client.send(method, path, 'ordinary', body);
    const [response] = await client.waitForResponses(1);
    client.socket.destroy();
    return response?.status ?? null;
  }

  #get(path: string): Promise<number | null> {
    return this.#request('GET', path, '');
  }

  /** Repeats an ordinary request until it is served; the timeout of the test ends it otherwise. */
  async serve(method: string, path: string, body = ''): Promise<void> {
    while (!this.#hasExited) {
      const status = await this.#request(method, path, body).catch(() => null);
      if (status === 200) return;
    }
  }

  /** Checks that the proxy lives, stays within its bounds and serves ordinary requests. */
  async check(t: ExecutionContext): Promise<void> {
    await this.serve('GET', '/read/1');
    await this.serve('POST', '/order/1', 'pay');
    const { exitCode, signalCode } = this.program.child;
    t.deepEqual(
      { exitCode, signalCode },
      { exitCode: null, signalCode: null },
      this.program.output().slice(-2_000),
    );
    const peakBytes = this.#statusField('VmHWM');
    const descriptors = readdirSync(`/proc/${this.program.child.pid}/fd`).length;
    t.log(`peak memory ${Math.round(peakBytes / 1e6)} MB, ${descriptors} descriptors`);
    t.true(peakBytes < maxMemoryBytes, `peak memory of ${peakBytes} bytes`);
    t.true(descriptors < maxDescriptors, `${descriptors} descriptors`);
  }

  disconnectAll(): void {
    for (const socket of this.#sockets) socket.destroy();
  }
}

/** The head of a request whose body follows. */
export const bodyHead = (path: string, fields: string): Buffer =>
  Buffer.from(`POST ${path} HTTP/1.1\r\nhost: a.example\r\nx-request: flood\r\n${fields}\r\n`);

/** Chunks of a chunked body, without the last chunk that ends it. */
export const bodyChunks = (bodyBytes: number, chunkBytes: number): Buffer => {
  const chunk = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`;
  return Buffer.from(chunk.repeat(Math.floor(bodyBytes / chunkBytes)));
};
