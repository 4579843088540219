// Three replicas on real logs after many changes: how much a restarted and a wiped replica read,
// and how much disk space they use.
import { cpSync, mkdtempSync, readdirSync, rmSync, statSync } from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import test, { type ExecutionContext } from 'ava';
import { stringify } from 'devalue';
import {
  type CommittedMembership,
  type Membership,
  membershipKey,
  openReplicaLog,
  type ReplicaLog,
  type ReplicaOperation,
  type ReplicaReply,
  type ReplicaRequest,
} from './index.js';
import { openReplica } from './open-replica.js';
import { ReplicaHost } from './replica-host.js';
import { snapshotAfterBytes } from './snapshot-threshold.js';

const names = ['a', 'b', 'c'] as const;
type Name = (typeof names)[number];

const tickMs = 200;
const msBetweenChanges = 2_000;
const proposer = 'proposer';

/** Returns a configuration about as large as an operator's with this number of routes. */
const configOf = (version: number, routes: number): unknown => ({
  version,
  routes: Array.from({ length: routes }, (_, index) => ({
    name: `route-${index}`,
    host: `host-${index % 40}.example`,
    path: `/section-${index}/`,
    service: `service-${(index + version) % 25}`,
    methods: ['GET', 'HEAD'],
    timeoutMs: 4_000,
    tries: 3,
    cacheSeconds: 60,
    access: { keys: [`key-${index % 300}`], anonymous: index % 2 === 0 },
  })),
});

const bytesIn = (folder: string): number =>
  readdirSync(folder).reduce((sum, name) => sum + statSync(path.join(folder, name)).size, 0);

type Running = {
  readonly log: ReplicaLog;
  readonly host: ReplicaHost;
  /** The number of records that the replica read from its log when it started. */
  readonly recordsRead: number;
};

/** Three replicas that can reach each other, with a clock that the test sets. */
class Cluster {
  now = 0;
  readonly root = mkdtempSync(path.join(os.tmpdir(), 'history-'));
  readonly running = new Map<string, Running>();
  readonly peakBytes = new Map<string, number>();
  /** Total size in bytes of the pages that replicas read from each other, and their number. */
  pageBytes = 0;
  pages = 0;
  members: CommittedMembership | null = null;
  #lastCounter = 0;
  #incarnations = 0;
  readonly #calls = new Set<Promise<unknown>>();

  folder(name: Name): string {
    return path.join(this.root, name);
  }

  async start(name: Name): Promise<void> {
    const log = await openReplicaLog(this.folder(name));
    const records = log.takeRecords();
    this.#incarnations += 1;
    const opened = openReplica({
      name,
      otherFounders: Object.fromEntries(
        names.filter((each) => each !== name).map((each) => [each, each]),
      ),
      records,
      newDiskId: `disk-${name}-${this.#incarnations}`,
      now: this.now,
    });
    const host = new ReplicaHost(opened, log, {
      now: () => this.now,
      call: (address, request) => this.#track(this.#deliver(address, request)),
      exitProcess: () => undefined,
      log: () => undefined,
    });
    this.running.set(name, { log, host, recordsRead: records.length });
    await this.settle();
  }

  /** Stops a replica and keeps its files. */
  async stop(name: Name): Promise<void> {
    const running = this.running.get(name);
    this.running.delete(name);
    await running?.log.close();
  }

  wipe(name: Name): void {
    rmSync(this.folder(name), { recursive: true, force: true });
  }

  async settle(): Promise<void> {
    for (let attempt = 0; attempt < 4; attempt += 1) {
      await Promise.allSettled([...this.#calls]);
      await Promise.all([...this.running.values()].map(({ log }) => log.settled()));
    }
  }

  async run(durationMs: number): Promise<void> {
    for (const until = this.now + durationMs; this.now < until;) {
      this.now += tickMs;
      for (const { host } of this.running.values()) host.tick();
      await this.settle();
    }
  }

  sendRequest(name: Name, operation: ReplicaOperation): Promise<ReplicaReply> {
    const running = this.running.get(name);
    if (running === undefined) return Promise.reject(new Error(`${name} is down`));
    return running.host.handleRequest({ membership: this.members, operation });
  }

  /** Writes a register on a majority; returns whether a majority was reached. */
  async write(key: string, value: unknown): Promise<boolean> {
    this.#lastCounter += 1;
    const proposalNumber = { counter: this.#lastCounter, proposerId: proposer };
    const prepareReplies = await this.#sendToAll(() => ({ kind: 'prepare', key, proposalNumber }));
    const disks = prepareReplies.flatMap(([name, reply]) =>
      reply.kind === 'vote' && reply.vote.kind === 'yes' ? [[name, reply.diskId] as const] : [],
    );
    if (disks.length < 2) return false;
    const acceptReplies = await Promise.all(
      disks.map(([name, diskId]) =>
        this.sendRequest(name, { kind: 'accept', key, proposalNumber, value, diskId }),
      ),
    );
    if (acceptReplies.filter((reply) => reply.kind === 'vote').length < 2) return false;
    if (key === membershipKey) this.members = { proposalNumber, value: value as Membership };
    return true;
  }

  /** Makes one change of each kind; returns whether all of them reached a majority. */
  async change(version: number, routes: number): Promise<boolean> {
    const config = await this.write('config', configOf(version, routes));
    const zones = await this.write('zones', { evacuated: version % 2 === 0 ? ['north'] : [] });
    const claim = await this.write(`claim/key-${version}`, { owner: version });
    const entries = [{ key: `purge-${version}`, value: { tags: [`tag-${version}`] } }];
    await this.#sendToAll(() => ({ kind: 'append-entries', entries }));
    for (const name of this.running.keys()) this.#recordPeak(name as Name);
    return config && zones && claim;
  }

  recordPeaks(): void {
    for (const name of this.running.keys()) this.#recordPeak(name as Name);
  }

  #recordPeak(name: Name): void {
    const bytes = bytesIn(this.folder(name));
    this.peakBytes.set(name, Math.max(bytes, this.peakBytes.get(name) ?? 0));
  }

  async #sendToAll(
    operationOf: () => ReplicaOperation,
  ): Promise<readonly (readonly [Name, ReplicaReply])[]> {
    const runningNames = names.filter((name) => this.running.has(name));
    return Promise.all(
      runningNames.map(
        async (name) => [name, await this.sendRequest(name, operationOf())] as const,
      ),
    );
  }

  async #deliver(address: string, request: ReplicaRequest): Promise<ReplicaReply> {
    const running = this.running.get(address);
    if (running === undefined) throw new Error(`${address} is down`);
    const reply = await running.host.handleRequest(request);
    if (reply.kind === 'page-read') {
      this.pages += 1;
      this.pageBytes += stringify(reply).length;
    }
    return reply;
  }

  #track<Result>(call: Promise<Result>): Promise<Result> {
    this.#calls.add(call);
    const untrack = (): void => void this.#calls.delete(call);
    call.then(untrack, untrack);
    return call;
  }
}

const foundCluster = async (): Promise<Cluster> => {
  const cluster = new Cluster();
  for (const name of names) await cluster.start(name);
  await cluster.run(2_000);
  cluster.members = cluster.running.get('a')?.host.durableState.committedMembership ?? null;
  return cluster;
};

const configVersionOf = (cluster: Cluster, name: Name): unknown => {
  const config = cluster.running.get(name)?.host.durableState.registers.get('config')
    ?.accepted?.value;
  return (config as { readonly version: number } | undefined)?.version;
};

const isVoting = async (cluster: Cluster, name: Name): Promise<boolean> =>
  (await cluster.sendRequest(name, { kind: 'poll', cursor: null, keys: [] })).kind === 'polled';

/** Assigns a wiped replica's slot to its new disk, as an agent does. */
const assignSlotToNewDisk = async (cluster: Cluster, name: Name): Promise<void> => {
  const previousMembership = cluster.members?.value;
  const disk = cluster.running.get(name)?.host.durableState.diskId ?? '';
  const disks = { ...previousMembership?.disks, [name]: disk };
  await cluster.write(membershipKey, { epoch: (previousMembership?.epoch ?? 0) + 1, disks });
};

type Figures = {
  readonly changes: number;
  readonly peakBytes: number;
  readonly restartBytes: number;
  readonly pageBytes: number;
  readonly pages: number;
  readonly msToVote: number;
  readonly recordsRead: number;
};

/**
 * Makes changes, half of them while c is down; then wipes c; then restarts all replicas together.
 */
const runHistory = async (
  t: ExecutionContext,
  changes: number,
  routes: number,
): Promise<Figures> => {
  const cluster = await foundCluster();
  for (let version = 1; version <= changes; version += 1) {
    if (version === Math.ceil(changes / 4)) await cluster.stop('c');
    if (version === Math.ceil((3 * changes) / 4)) await cluster.start('c');
    t.true(await cluster.change(version, routes));
    cluster.now += msBetweenChanges;
    for (const { host } of cluster.running.values()) host.tick();
  }
  await cluster.settle();
  // Replica c missed half of the changes, but has the latest, in which it took part.
  t.is(configVersionOf(cluster, 'c'), changes);
  await cluster.stop('c');
  const restartBytes = bytesIn(cluster.folder('c'));
  await cluster.start('c');
  const recordsRead = cluster.running.get('c')?.recordsRead ?? 0;
  t.is(configVersionOf(cluster, 'c'), changes);
  // After its disk is wiped, the replica does not vote before it has read the others.
  await cluster.stop('c');
  cluster.wipe('c');
  await cluster.start('c');
  const wipedAt = cluster.now;
  t.false(await isVoting(cluster, 'c'));
  await assignSlotToNewDisk(cluster, 'c');
  [cluster.pages, cluster.pageBytes] = [0, 0];
  for (let attempt = 0; attempt < 100 && !(await isVoting(cluster, 'c')); attempt += 1) {
    t.not(configVersionOf(cluster, 'c'), 'voting with nothing');
    await cluster.run(tickMs);
    cluster.recordPeaks();
  }
  const msToVote = cluster.now - wipedAt;
  t.true(await isVoting(cluster, 'c'));
  t.is(configVersionOf(cluster, 'c'), changes);
  // Restarts all replicas together, at whatever point of a compaction they are.
  for (const name of names) await cluster.stop(name);
  for (const name of names) await cluster.start(name);
  for (const name of names) t.is(configVersionOf(cluster, name), changes);
  t.true(await cluster.change(changes + 1, routes));
  for (const name of names) await cluster.stop(name);
  rmSync(cluster.root, { recursive: true });
  const peakBytes = Math.max(...cluster.peakBytes.values());
  const { pageBytes, pages } = cluster;
  return { changes, peakBytes, restartBytes, pageBytes, pages, msToVote, recordsRead };
};

/**
 * Returns the limit of disk usage in bytes: the old and the new snapshot, the log at which a
 * snapshot is due, and the records appended while the snapshot is written.
 */
const maxDiskBytes = (configBytes: number, changes: number): number => {
  const claims = changes * 250;
  const state = 2 * configBytes + claims + 64 * 1024;
  const recordsOfOneChange = 2 * configBytes;
  return 2 * state + Math.max(snapshotAfterBytes, state / 2) + 3 * recordsOfOneChange;
};

const routeCount = 400;

test('the cost of a restart, of catching up and disk usage stay flat while the number of changes grows tenfold', async (t) => {
  const configBytes = stringify(configOf(1, routeCount)).length;
  const figures: Figures[] = [];
  for (const changes of [50, 200, 500]) figures.push(await runHistory(t, changes, routeCount));
  for (const run of figures) {
    t.log(JSON.stringify({ routes: routeCount, configBytes, ...run }));
    t.true(run.peakBytes <= maxDiskBytes(configBytes, run.changes));
    t.true(run.restartBytes <= maxDiskBytes(configBytes, run.changes));
  }
  const [fewChanges, , manyChanges] = figures;
  t.is(manyChanges?.msToVote, fewChanges?.msToVote);
  // Each claim is kept for an hour; every other register has only its latest value.
  const claimBytes = 450 * 2 * 250;
  t.true((manyChanges?.pageBytes ?? 0) <= (fewChanges?.pageBytes ?? 0) + claimBytes);
});

const maxRoutes = 4_000;

test('with 4,000 routes disk usage stays within its limit, and a wiped replica reads at most three copies of the configuration', async (t) => {
  const configBytes = stringify(configOf(1, maxRoutes)).length;
  const figures = await runHistory(t, 24, maxRoutes);
  t.log(JSON.stringify({ routes: maxRoutes, configBytes, ...figures }));
  t.true(figures.peakBytes <= maxDiskBytes(configBytes, figures.changes));
  t.true(figures.pageBytes <= 3 * configBytes);
});

test('a replica that crashes at any step of a compaction restarts with everything that it acknowledged', async (t) => {
  const cluster = await foundCluster();
  const images: string[] = [];
  const watchedFolder = cluster.folder('c');
  let previousListing = '';
  for (let version = 1; version <= 60; version += 1) {
    t.true(await cluster.change(version, routeCount * 2));
    const listing = readdirSync(watchedFolder).join();
    if (listing === previousListing) continue;
    previousListing = listing;
    const image = path.join(cluster.root, `image-${images.length}-${version}`);
    cpSync(watchedFolder, image, { recursive: true });
    images.push(image);
  }
  t.true(images.length >= 3, `${images.length} images`);
  for (const image of images) {
    const log = await openReplicaLog(image);
    const records = log.takeRecords();
    const { state } = openReplica({
      name: 'c',
      otherFounders: {},
      records,
      newDiskId: 'x',
      now: 0,
    });
    const config = state.registers.get('config')?.accepted?.value as { readonly version: number };
    t.is(config.version, Number(image.split('-').at(-1)), image);
    await log.close();
  }
  for (const name of names) await cluster.stop(name);
  rmSync(cluster.root, { recursive: true });
});
