/** Runs the replica as a process: opens its log, serves its port and schedules its ticks. */
import { randomUUID } from 'node:crypto';
import path from 'node:path';
import { performance } from 'node:perf_hooks';
import { logProcessEnd, openLogger, type Logger } from '@reedyard/logging';
import {
  call,
  callTimeoutMs,
  portWait,
  RpcError,
  serveCalls,
  setLocalAddress,
} from '@reedyard/rpc';
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
 * Ends the process once its log is closed, or after a timeout if the disk hangs. The port stays in
 * use until then, so that no successor opens the log while this process still writes to it.
 */
const closeAndExit = (log: ReplicaLog, logger: Logger): void => {
  const exit = (): never => {
    logger.info('stopped');
    process.exit(0);
  };
  setTimeout(exit, callTimeoutMs);
  void log.close().then(exit);
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

/** A replica's port, which is open before its log is. */
type ReplicaPort = {
  readonly port: number;
  /** Passes requests to a replica, or to none. */
  readonly setReplica: (replica: ReplicaHost | null) => void;
};

/** Opens the port. Calls fail as long as there is no replica that handles them. */
const openPort = async (settings: ReplicaSettings, logger: Logger): Promise<ReplicaPort> => {
  let current: ReplicaHost | null = null;
  const handleCall = async (body: unknown): Promise<unknown> => {
    if (current === null) throw new RpcError('not-open', 'the replica is starting or stopping');
    return encodeReplicaReply(await current.handleRequest(decodeReplicaRequest(body)));
  };
  const address = { host: settings.listen ?? settings.host, port: settings.replica.port };
  const { port } = await serveCalls(address, { [callPath]: handleCall }, portWait(logger));
  return {
    port,
    setReplica: (replica) => {
      current = replica;
    },
  };
};

/**
 * Runs a replica until the process is requested to stop. The port is opened before the log: only
 * one process at a time has it, so only one writes to the log.
 *
 * @example
 * await runReplica(SettingsReader.start('replica', process.argv.slice(2)));
 */
export const runReplica = async (settings: ReplicaSettings): Promise<void> => {
  const logger = openLogger({ program: 'replica', node: settings.name });
  logProcessEnd(logger);
  setLocalAddress(settings.host);
  const replicaPort = await openPort(settings, logger);
  const log = await openReplicaLog(path.join(settings.dataFolder, 'replica'));
  const opened = openState(settings, log);
  let isShuttingDown = false;
  const shutDown = (): void => {
    if (isShuttingDown) return;
    isShuttingDown = true;
    replicaPort.setReplica(null);
    closeAndExit(log, logger);
  };
  const replica = new ReplicaHost(opened, log, environmentOf(logger, shutDown));
  replicaPort.setReplica(replica);
  setInterval(() => replica.tick(), replicaTickIntervalMs);
  const { diskId: disk, hasBegunVoting: voting } = opened.state;
  logger.info('started', { port: replicaPort.port, disk, voting });
  stopOnSignals(replica, shutDown, logger);
};
