/** The proxy process: its ports, its signal handlers and its exit. */
import type http from 'node:http';
import { performance } from 'node:perf_hooks';
import { type Logger, logProcessEnd, openLogger } from '@reedyard/logging';
import { call } from '@reedyard/rpc';
import { shutdownTimeoutMs } from '@reedyard/settings';
import { reedyardWireFormat, type WireFormat } from './wire-format.js';
import { feedIntervalMs } from './feed-timing.js';
import { openProxy, type ProxyHost, type ProxySettings } from './proxy-host.js';
import { unreadyServingMs } from './shutdown-timing.js';
import { warmUp } from './warm.js';

const now = (): number => performance.now();

/** Opens the servers for clients and peers, and for health checks if they have a separate port. */
const openServers = async (
  proxy: ProxyHost,
  { proxy: { port, peerPort, readyPort } }: ProxySettings,
): Promise<readonly http.Server[]> => {
  const servers = [await proxy.serve(false, port), await proxy.serve(true, peerPort)];
  if (readyPort !== undefined) servers.push(await proxy.serveReady(readyPort));
  return servers;
};

/** Warms up in the background, until the first real request is started. */
const warmUpInBackground = (
  proxy: ProxyHost,
  settings: ProxySettings,
  wireFormat: WireFormat,
  logger: Logger,
): void => {
  void warmUp(wireFormat, settings, () => proxy.begunCount() > 0).then(
    ({ played, served }) => {
      if (played > 0) logger.info('warmed', { requests: played, served });
    },
    () => undefined,
  );
};

const exit = (proxy: ProxyHost, servers: readonly http.Server[], logger: Logger): never => {
  for (const server of servers) {
    server.close();
    server.closeAllConnections();
  }
  logger.info('stopped', { cutOff: proxy.inFlightCount() });
  process.exit(0);
};

/**
 * Shuts down gracefully: the proxy first reports that it is not ready, and still serves requests
 * until the requests in flight have ended or the time limit is reached.
 */
const shutDownOnSignals = (
  proxy: ProxyHost,
  settings: ProxySettings,
  servers: readonly http.Server[],
  logger: Logger,
): void => {
  const { graceMs = unreadyServingMs, mostMs = shutdownTimeoutMs } = settings.proxy.leave ?? {};
  let isShuttingDown = false;
  const shutDown = (signal: NodeJS.Signals): void => {
    if (isShuttingDown) return;
    isShuttingDown = true;
    const startedAt = now();
    logger.info('stopping', { signal, underWay: proxy.inFlightCount() });
    proxy.stop();
    setInterval(() => {
      const isDrained = proxy.inFlightCount() === 0 && now() > startedAt + graceMs;
      if (isDrained || now() > startedAt + mostMs) exit(proxy, servers, logger);
    }, feedIntervalMs);
  };
  process.on('SIGTERM', shutDown);
  process.on('SIGINT', shutDown);
};

/**
 * Runs a proxy until a signal requests a shutdown.
 *
 * @example
 * await runProxy(SettingsReader.start('proxy', process.argv.slice(2)));
 */
export const runProxy = async (
  settings: ProxySettings,
  wireFormat: WireFormat = reedyardWireFormat,
): Promise<void> => {
  const logger = openLogger({ program: 'proxy', node: settings.name });
  logProcessEnd(logger);
  const feedAddress = `127.0.0.1:${settings.agent.feedPort}`;
  const proxy = openProxy(settings, wireFormat, {
    logger,
    queryAgent: (query, timeoutMs) => call(feedAddress, '/feed', query, timeoutMs),
  });
  const servers = await openServers(proxy, settings);
  logger.info('started', { callers: settings.proxy.port, peers: settings.proxy.peerPort });
  warmUpInBackground(proxy, settings, wireFormat, logger);
  // Without a handler, SIGHUP would end the process and cut off the requests in flight.
  process.on('SIGHUP', () => logger.info('hangup', { underWay: proxy.inFlightCount() }));
  shutDownOnSignals(proxy, settings, servers, logger);
};
