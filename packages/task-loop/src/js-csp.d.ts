declare module 'js-csp' {
  interface Channel {
    close(): void;
  }
  const csp: {
    readonly CLOSED: null;
    readonly NO_VALUE: unknown;
    chan(buffer?: unknown): Channel;
    buffers: { fixed(size: number): unknown };
    take(channel: Channel): unknown;
    /** Takes a value that is there already; NO_VALUE if there is none. */
    poll(channel: Channel): unknown;
    go(body: () => Generator<unknown, void, unknown>): Channel;
    putAsync(channel: Channel, value: unknown, done?: (accepted: boolean) => void): void;
  };
  export default csp;
}
