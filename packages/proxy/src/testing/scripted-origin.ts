/**
 * An origin for tests whose script writes raw bytes to its sockets, so that it can reproduce
 * anything that a faulty origin may do to a connection, in any order.
 */
import net from 'node:net';

/** One request as the origin read it. */
export type ReceivedRequest = {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  /** Index of the connection that it arrived on, from 0. */
  readonly connection: number;
};

/** Handles a request that was read. */
export type Script = (request: ReceivedRequest, socket: net.Socket) => void;

/** A running scripted origin. */
export type ScriptedOrigin = {
  readonly port: number;
  readonly requests: ReceivedRequest[];
  /** Sockets of all accepted connections, in order. */
  readonly sockets: net.Socket[];
  script: Script;
  /** Whether a request is handled after its body was read, rather than after its head. */
  readsBodies: boolean;
  readonly close: () => Promise<void>;
};

const HEAD_END = '\r\n\r\n';

const parseHead = (head: string): Omit<ReceivedRequest, 'body' | 'connection'> => {
  const [requestLine = '', ...lines] = head.split('\r\n');
  const [method = '', path = ''] = requestLine.split(' ');
  const fields = lines.map((line): [string, string] => {
    const separator = line.indexOf(':');
    return [line.slice(0, separator).toLowerCase(), line.slice(separator + 1).trim()];
  });
  return { method, path, headers: Object.fromEntries(fields) };
};

/** Reads the requests on one socket. */
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
      const bodyStart = end + HEAD_END.length;
      if (this.#text.length < bodyStart + length) return;
      const body = this.#text.slice(bodyStart, bodyStart + length);
      this.#text = this.#text.slice(bodyStart + length);
      const request = { ...head, body, connection: this.connection };
      this.origin.requests.push(request);
      this.origin.script(request, this.socket);
    }
  }
}

/**
 * Starts an origin on the loopback interface, at `port` or at any free port.
 *
 * @example
 * const origin = await startScriptedOrigin((request, socket) => socket.write(validResponse(request)));
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

/** Fields of a response that matches a request, in the wire format of the tests. */
export const responseFieldsFor = (request: ReceivedRequest): Readonly<Record<string, string>> => ({
  'x-request': request.headers['x-request'] ?? '',
  'x-stamp': 'sealed',
});

/** The bytes of a response. */
export const responseBytes = (
  status: number,
  fields: Readonly<Record<string, string>>,
  body: string,
): string => {
  const headers = { 'content-length': String(Buffer.byteLength(body)), ...fields };
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 ${status} Scripted\r\n${lines.join('')}\r\n${body}`;
};

/** A valid response to a request, with its path as the body. */
export const validResponse = (request: ReceivedRequest): string =>
  responseBytes(200, responseFieldsFor(request), request.path);
