/** Runs the replica as a process: opens its log, serves its port and schedules its ticks. */
import { randomUUID } from 'node:crypto';
import path from 'node:path';
import { performance } from 'node:perf_hooks';
import { logProcessEnd, openLogger, type Logger } from '@reedyard/logging';
import { call, callTimeoutMs, type RpcServer, serveCalls, setLocalAddress } from '@reedyard/rpc';
import { type Settings, shutdownTimeoutMs } from '@reedyard/settings';
import type { Step } from '@reedyard/task-loop';
import type { ReplicaEffect } from './events.js';
import { openReplica } from './open-replica.js';
import { replicaTickIntervalMs } from './peer-reads.js';
import {
  decodeReplicaReply,
  decodeReplicaRequest,
  encodeReplicaReply,
  encodeReplicaRequest,
} from './protocol/codec.js';
import { type ReplicaEnvironment, ReplicaHost } from './replica-host.js';
import type { ReplicaState } from './state.js';
import { openReplicaLog, type ReplicaLog } from './storage/replica-log.js';

/** Settings of a machine that runs a replica. */
export type ReplicaSettings = Settings & { readonly replica: NonNullable<Settings['replica']> };

const callPath = '/replica';

const now = (): number => performance.now();

/** Restores the state from the log. A blank disk gets a new random id. */
const openState = (
  settings: ReplicaSettings,
  log: ReplicaLog,
): Step<ReplicaState, ReplicaEffect> => {
  const { founders = {}, voting, name, host } = settings;
  const otherFounders = Object.fromEntries(
    Object.entries(founders).filter(([founder]) => founder !== name),
  );
  const address = `${host}:${settings.replica.port}`;
  const bootstrap =
    voting === undefined ? null : { address, seeds: voting.seeds, isFirstStart: voting.firstStart };
  const records = log.takeRecords();
  return openReplica({
    name,
    otherFounders,
    bootstrap,
    records,
    newDiskId: randomUUID(),
    now: now(),
  });
};

const environmentOf = (logger: Logger, exitProcess: () => void): ReplicaEnvironment => ({
  now,
  exitProcess,
  call: async (address, request) =>
    decodeReplicaReply(await call(address, callPath, encodeReplicaRequest(request))),
  log: (level, event, fields) => logger[level](event, fields),
});

/**
 * Ignores errors of stderr. If it is redirected to a file on a full disk, log lines are lost, but
 * the process goes on.
 */
const ignoreLogErrors = (): void => {
  process.stderr.on('error', () => undefined);
};

/** Ends the process once its server and log are closed, or after a timeout if the disk hangs. */
const closeAndExit = (server: RpcServer | null, log: ReplicaLog, logger: Logger): void => {
  const exit = (): never => {
    logger.info('stopped');
    process.exit(0);
  };
  setTimeout(exit, callTimeoutMs);
  void Promise.resolve(server?.close())
    .then(() => log.close())
    .then(exit);
};

/** Stops the replica on a signal. It ends the process itself, or a timer does. */
const stopOnSignals = (replica: ReplicaHost, shutDown: () => void, logger: Logger): void => {
  const stop = (signal: NodeJS.Signals): void => {
    logger.info('stopping', { signal });
    setTimeout(shutDown, shutdownTimeoutMs).unref();
    replica.stop();
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
};

/**
 * Runs a replica until the process is requested to stop.
 *
 * @example
 * await runReplica(SettingsReader.start('replica', process.argv.slice(2)));
 */
export const runReplica = async (settings: ReplicaSettings): Promise<void> => {
  const logger = openLogger({ program: 'replica', node: settings.name });
  ignoreLogErrors();
  logProcessEnd(logger);
  setLocalAddress(settings.host);
  const log = await openReplicaLog(path.join(settings.dataFolder, 'replica'));
  const opened = openState(settings, log);
  let server: RpcServer | null = null;
  let isShuttingDown = false;
  const shutDown = (): void => {
    if (isShuttingDown) return;
    isShuttingDown = true;
    closeAndExit(server, log, logger);
  };
  const replica = new ReplicaHost(opened, log, environmentOf(logger, shutDown));
  server = await serveCalls(
    { host: settings.listen ?? settings.host, port: settings.replica.port },
    {
      [callPath]: async (body) =>
        encodeReplicaReply(await replica.handleRequest(decodeReplicaRequest(body))),
    },
  );
  setInterval(() => replica.tick(), replicaTickIntervalMs);
  const { diskId: disk, hasBegunVoting: voting } = opened.state;
  logger.info('started', { port: server.port, disk, voting });
  stopOnSignals(replica, shutDown, logger);
};
