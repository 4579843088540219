/**
 * A stand-in origin on a raw socket: it registers itself, sends beats, and answers each request with what
 * `answer` returns, so that a case decides which bytes leave it.
 */
import { Buffer } from 'node:buffer';
import net from 'node:net';
import { setInterval, clearInterval, setTimeout } from 'node:timers';

const headEnd = Buffer.from('\r\n\r\n');

export class Origin {
  constructor({ fleet, id, service, host, port, zone, slots = 64, answer }) {
    Object.assign(this, { fleet, id, service, host, port, zone, slots, answer });
    this.callCount = 0;
    this.state = 'ready';
    this.coldLeftMs = 0;
    this.runs = [];
    this.sockets = new Set();
  }

  listen() {
    this.server = net.createServer((socket) => this.#serve(socket));
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.port, this.host, resolve);
    });
  }

  async beat() {
    this.callCount += 1;
    const { host, port, service, zone, slots, state, callCount, coldLeftMs } = this;
    return this.fleet.call('PUT', `/api/servers/${this.id}`, {
      address: `${host}:${port}`,
      details: { service, version: 'v1', zone, slots },
      condition: { state, callCount, coldLeftMs },
    });
  }

  async start() {
    await this.listen();
    await this.beat();
    this.timer = setInterval(() => void this.beat(), 1_500);
  }

  stop() {
    clearInterval(this.timer);
    this.server?.close();
    for (const socket of this.sockets) socket.destroy();
  }

  #serve(socket) {
    this.sockets.add(socket);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('error', () => undefined);
    let buffered = Buffer.alloc(0);
    socket.on('data', (chunk) => {
      buffered = Buffer.concat([buffered, chunk]);
      for (;;) {
        const end = buffered.indexOf(headEnd);
        if (end < 0) return;
        const [first, ...lines] = buffered.subarray(0, end).toString('latin1').split('\r\n');
        const headers = Object.fromEntries(
          lines.map((line) => {
            const colon = line.indexOf(':');
            return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
          }),
        );
        const length = Number(headers['content-length'] ?? 0);
        if (buffered.length < end + 4 + length) return;
        const body = buffered.subarray(end + 4, end + 4 + length).toString('latin1');
        buffered = buffered.subarray(end + 4 + length);
        const [method, target] = first.split(' ');
        this.#handle(socket, { method, target, headers, body });
      }
    });
  }

  #handle(socket, request) {
    const id = request.headers['request-id'] ?? '';
    const intended = request.headers['intended-server'];
    if (intended !== undefined && intended !== this.id) {
      socket.write(
        `HTTP/1.1 421 Misdirected Request\r\nRequest-Id: ${id}\r\nServer-Id: ${this.id}\r\nContent-Length: 0\r\n\r\n`,
      );
      return;
    }
    const run = {
      id,
      at: Date.now(),
      method: request.method,
      target: request.target,
      body: request.body,
    };
    this.runs.push(run);
    this.answer({ origin: this, socket, request, id, run });
  }
}

/** The whole bytes of an ordinary answer. */
export const plainAnswer = (id, body, { status = '200 OK', seal = `s.${id}`, extra = '' } = {}) =>
  `HTTP/1.1 ${status}\r\nRequest-Id: ${id}\r\nServer-Seal: ${seal}\r\n${extra}Content-Length: ${body.length}\r\n\r\n${body}`;

/** Answers after `ms` milliseconds. */
export const answerAfter = (ms, bytesOf) => (exchange) => {
  setTimeout(() => exchange.socket.write(bytesOf(exchange)), ms);
};
