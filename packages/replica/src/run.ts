/** The replica's process: its log, its port, and what falls due. */
import { randomUUID } from 'node:crypto';
import path from 'node:path';
import { performance } from 'node:perf_hooks';
import { openLogger, type Logger } from '@reedyard/logging';
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

/** The settings of a machine with a replica. */
export type ReplicaSettings = Settings & { readonly replica: NonNullable<Settings['replica']> };

const callPath = '/replica';

const now = (): number => performance.now();

/** The state from what the log holds; a blank disk gets a new name. */
const openState = (
  settings: ReplicaSettings,
  log: ReplicaLog,
): Step<ReplicaState, ReplicaEffect> => {
  const { founders = {}, voting, name, host } = settings;
  const others = Object.fromEntries(Object.entries(founders).filter(([each]) => each !== name));
  const address = `${host}:${settings.replica.port}`;
  const bootstrap =
    voting === undefined ? null : { address, seeds: voting.seeds, isFirstStart: voting.firstStart };
  const records = log.takeRecords();
  return openReplica({
    name,
    otherFounders: others,
    bootstrap,
    records,
    newDiskId: randomUUID(),
    now: now(),
  });
};

const shellOf = (logger: Logger, end: () => void): ReplicaEnvironment => ({
  now,
  exitProcess: end,
  call: async (address, body) =>
    decodeReplicaReply(await call(address, callPath, encodeReplicaRequest(body))),
  log: (level, event, fields) => logger[level](event, fields),
});

/**
 * Where logs go to a file on the same disk, a line that finds no room is lost, and nothing else.
 */
const outliveFailedLogLines = (): void => {
  process.stderr.on('error', () => undefined);
};

/** Ends the process once its calls and its log are closed, and in time also if the disk hangs. */
const closeAndExit = (listening: RpcServer | null, log: ReplicaLog, logger: Logger): void => {
  const exit = (): never => {
    logger.info('stopped');
    process.exit(0);
  };
  setTimeout(exit, callTimeoutMs);
  void Promise.resolve(listening?.close())
    .then(() => log.close())
    .then(exit);
};

/** Tells the replica to stop; it ends the process itself, or else a timer does. */
const stopOnSignals = (replica: ReplicaHost, leave: () => void): void => {
  const stop = (): void => {
    setTimeout(leave, shutdownTimeoutMs).unref();
    replica.stop();
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
};

/**
 * Runs a replica until the process is asked to stop.
 *
 * @example
 * await runReplica(SettingsReader.start('replica', process.argv.slice(2)));
 */
export const runReplica = async (settings: ReplicaSettings): Promise<void> => {
  const logger = openLogger({ program: 'replica', node: settings.name });
  outliveFailedLogLines();
  setLocalAddress(settings.host);
  const log = await openReplicaLog(path.join(settings.dataFolder, 'replica'));
  const opened = openState(settings, log);
  let listening: RpcServer | null = null;
  let isLeaving = false;
  const leave = (): void => {
    if (isLeaving) return;
    isLeaving = true;
    closeAndExit(listening, log, logger);
  };
  const replica = new ReplicaHost(opened, log, shellOf(logger, leave));
  listening = await serveCalls(
    { host: settings.listen ?? settings.host, port: settings.replica.port },
    {
      [callPath]: async (body) =>
        encodeReplicaReply(await replica.handleRequest(decodeReplicaRequest(body))),
    },
  );
  setInterval(() => replica.tick(), replicaTickIntervalMs);
  const { diskId: disk, hasBegunVoting: voting } = opened.state;
  logger.info('started', { port: listening.port, disk, voting });
  stopOnSignals(replica, leave);
};
