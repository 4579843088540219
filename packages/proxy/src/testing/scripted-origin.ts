/**
 * An origin for tests that writes exactly the bytes it is told to, on a raw socket: whatever an
 * origin in trouble may do to a connection can be done here, and in any order.
 */
import net from 'node:net';

/** One request as the origin read it. */
export type ReceivedRequest = {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  /** Which of the origin's connections it came over, from 0. */
  readonly connection: number;
};

/** What a script does with a request that was read. */
export type Script = (request: ReceivedRequest, socket: net.Socket) => void;

/** A running scripted origin. */
export type ScriptedOrigin = {
  readonly port: number;
  readonly requests: ReceivedRequest[];
  /** Sockets of all connections that were ever accepted. */
  readonly sockets: net.Socket[];
  script: Script;
  /** Whether bodies are waited for; a request is otherwise seen with its head. */
  readsBodies: boolean;
  readonly close: () => Promise<void>;
};

const HEAD_END = '\r\n\r\n';

const parseHead = (head: string): Omit<ReceivedRequest, 'body' | 'connection'> => {
  const [first = '', ...lines] = head.split('\r\n');
  const [method = '', path = ''] = first.split(' ');
  const fields = lines.map((line): [string, string] => {
    const cut = line.indexOf(':');
    return [line.slice(0, cut).toLowerCase(), line.slice(cut + 1).trim()];
  });
  return { method, path, headers: Object.fromEntries(fields) };
};

/** Reads requests off one socket. */
class RequestReader {
  #text = '';

  constructor(
    private readonly origin: ScriptedOrigin,
    private readonly socket: net.Socket,
    private readonly connection: number,
  ) {}

  read(chunk: Buffer): void {
    this.#text += chunk.toString('latin1');
    for (;;) {
      const end = this.#text.indexOf(HEAD_END);
      if (end < 0) return;
      const head = parseHead(this.#text.slice(0, end));
      const length = this.origin.readsBodies ? Number(head.headers['content-length'] ?? 0) : 0;
      const bodyAt = end + HEAD_END.length;
      if (this.#text.length < bodyAt + length) return;
      const body = this.#text.slice(bodyAt, bodyAt + length);
      this.#text = this.#text.slice(bodyAt + length);
      const request = { ...head, body, connection: this.connection };
      this.origin.requests.push(request);
      this.origin.script(request, this.socket);
    }
  }
}

/**
 * Starts an origin on the loopback, at a port of its own or at `port`.
 *
 * @example
 * const origin = await startScriptedOrigin((request, socket) => socket.write(answerTo(request)));
 */
export const startScriptedOrigin = async (script: Script, port = 0): Promise<ScriptedOrigin> => {
  const server = net.createServer({ allowHalfOpen: true });
  const origin: ScriptedOrigin = {
    get port() {
      return (server.address() as net.AddressInfo).port;
    },
    requests: [],
    sockets: [],
    script,
    readsBodies: true,
    close: () =>
      new Promise((resolve) => {
        origin.sockets.forEach((socket) => socket.destroy());
        server.close(() => resolve());
      }),
  };
  server.on('connection', (socket) => {
    const reader = new RequestReader(origin, socket, origin.sockets.length);
    origin.sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => reader.read(chunk));
    socket.on('end', () => socket.end());
  });
  await new Promise<void>((resolve) => {
    server.listen(port, '127.0.0.1', resolve);
  });
  return origin;
};

/** Fields of an answer that belongs to a request, in the dialect of the tests. */
export const responseFieldsFor = (request: ReceivedRequest): Readonly<Record<string, string>> => ({
  'x-request': request.headers['x-request'] ?? '',
  'x-stamp': 'sealed',
});

/** The bytes of an answer. */
export const responseBytes = (
  status: number,
  fields: Readonly<Record<string, string>>,
  body: string,
): string => {
  const all = { 'content-length': String(Buffer.byteLength(body)), ...fields };
  const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 ${status} Scripted\r\n${lines.join('')}\r\n${body}`;
};

/** A sound answer to a request, with its path as the body. */
export const validResponse = (request: ReceivedRequest): string =>
  responseBytes(200, responseFieldsFor(request), request.path);
