/** The proxy's process: its ports, its signals and its exit. */
import type http from 'node:http';
import { performance } from 'node:perf_hooks';
import { type Logger, openLogger } from '@reedyard/logging';
import { call } from '@reedyard/rpc';
import { shutdownTimeoutMs } from '@reedyard/settings';
import { reedyardWireFormat, type WireFormat } from './wire-format.js';
import { feedIntervalMs } from './feed-timing.js';
import { openProxy, type ProxyHost, type ProxySettings } from './proxy-host.js';
import { unreadyServingMs } from './shutdown-timing.js';
import { warmUp } from './warm.js';

const now = (): number => performance.now();

/** Opens the servers for clients, for peers and, where it has a port of its own, for health checks. */
const openServers = async (
  proxy: ProxyHost,
  { proxy: { port, peerPort, readyPort } }: ProxySettings,
): Promise<readonly http.Server[]> => {
  const servers = [await proxy.serve(false, port), await proxy.serve(true, peerPort)];
  if (readyPort !== undefined) servers.push(await proxy.serveReady(readyPort));
  return servers;
};

/** Warms up beside the start, and only until somebody really asks. */
const warmUpBeside = (
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
 * Shuts down gracefully: the proxy is not ready first, and clients are still answered until what is
 * in flight has ended, or time is up.
 */
const shutDownOnSignals = (
  proxy: ProxyHost,
  settings: ProxySettings,
  servers: readonly http.Server[],
  logger: Logger,
): void => {
  const { graceMs = unreadyServingMs, mostMs = shutdownTimeoutMs } = settings.proxy.leave ?? {};
  let isShuttingDown = false;
  const shutDown = (): void => {
    if (isShuttingDown) return;
    isShuttingDown = true;
    const since = now();
    logger.info('stopping', { underWay: proxy.inFlightCount() });
    proxy.stop();
    setInterval(() => {
      const isDrained = proxy.inFlightCount() === 0 && now() > since + graceMs;
      if (isDrained || now() > since + mostMs) exit(proxy, servers, logger);
    }, feedIntervalMs);
  };
  process.on('SIGTERM', shutDown);
  process.on('SIGINT', shutDown);
};

/**
 * Runs a proxy until it is asked to stop.
 *
 * @example
 * await runProxy(SettingsReader.start('proxy', process.argv.slice(2)));
 */
export const runProxy = async (
  settings: ProxySettings,
  wireFormat: WireFormat = reedyardWireFormat,
): Promise<void> => {
  const logger = openLogger({ program: 'proxy', node: settings.name });
  const feedAddress = `127.0.0.1:${settings.agent.feedPort}`;
  const proxy = openProxy(settings, wireFormat, {
    logger,
    queryAgent: (query, timeoutMs) => call(feedAddress, '/feed', query, timeoutMs),
  });
  const servers = await openServers(proxy, settings);
  logger.info('started', { callers: settings.proxy.port, peers: settings.proxy.peerPort });
  warmUpBeside(proxy, settings, wireFormat, logger);
  // A hang-up ends a process by itself; nothing that is in flight may suffer from it.
  process.on('SIGHUP', () => logger.info('hangup', { underWay: proxy.inFlightCount() }));
  shutDownOnSignals(proxy, settings, servers, logger);
};
