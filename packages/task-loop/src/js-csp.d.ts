declare module 'js-csp' {
  interface Channel {
    close(): void;
  }
  const csp: {
    readonly CLOSED: null;
    chan(buffer?: unknown): Channel;
    buffers: { fixed(size: number): unknown };
    take(channel: Channel): unknown;
    go(body: () => Generator<unknown, void, unknown>): Channel;
    putAsync(channel: Channel, value: unknown, done?: (accepted: boolean) => void): void;
  };
  export default csp;
}
