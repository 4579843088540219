// Three replicas on real logs after many changes: what a restart and a wiped disk read, and what
// the disk holds.
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

/** A configuration about as large as an operator's with so many routes. */
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
  /** Records that it read at its start. */
  readonly recordsRead: number;
};

/** Three replicas that reach each other, with a clock that is set by hand. */
class Cluster {
  now = 0;
  readonly root = mkdtempSync(path.join(os.tmpdir(), 'history-'));
  readonly running = new Map<string, Running>();
  readonly peakBytes = new Map<string, number>();
  /** Bytes and number of the pages that replicas read from each other. */
  pageBytes = 0;
  pages = 0;
  members: CommittedMembership | null = null;
  #round = 0;
  #lives = 0;
  readonly #calls = new Set<Promise<unknown>>();

  folder(name: Name): string {
    return path.join(this.root, name);
  }

  async start(name: Name): Promise<void> {
    const log = await openReplicaLog(this.folder(name));
    const records = log.takeRecords();
    this.#lives += 1;
    const opened = openReplica({
      name,
      otherFounders: Object.fromEntries(
        names.filter((each) => each !== name).map((each) => [each, each]),
      ),
      records,
      newDiskId: `disk-${name}-${this.#lives}`,
      now: this.now,
    });
    const host = new ReplicaHost(opened, log, {
      now: () => this.now,
      call: (address, body) => this.#track(this.#deliver(address, body)),
      exitProcess: () => undefined,
      log: () => undefined,
    });
    this.running.set(name, { log, host, recordsRead: records.length });
    await this.settle();
  }

  /** Ends a process; its files stay. */
  async stop(name: Name): Promise<void> {
    const running = this.running.get(name);
    this.running.delete(name);
    await running?.log.close();
  }

  wipe(name: Name): void {
    rmSync(this.folder(name), { recursive: true, force: true });
  }

  async settle(): Promise<void> {
    for (let turn = 0; turn < 4; turn += 1) {
      await Promise.allSettled([...this.#calls]);
      await Promise.all([...this.running.values()].map(({ log }) => log.settled()));
    }
  }

  async run(ms: number): Promise<void> {
    for (const until = this.now + ms; this.now < until;) {
      this.now += tickMs;
      for (const { host } of this.running.values()) host.tick();
      await this.settle();
    }
  }

  ask(name: Name, call: ReplicaOperation): Promise<ReplicaReply> {
    const running = this.running.get(name);
    if (running === undefined) return Promise.reject(new Error(`${name} is down`));
    return running.host.handleRequest({ membership: this.members, operation: call });
  }

  /** Writes a register by a majority; tells whether one was reached. */
  async write(key: string, value: unknown): Promise<boolean> {
    this.#round += 1;
    const proposalNumber = { counter: this.#round, proposerId: proposer };
    const promised = await this.#askAll(() => ({ kind: 'prepare', key, proposalNumber }));
    const disks = promised.flatMap(([name, reply]) =>
      reply.kind === 'vote' && reply.vote.kind === 'yes' ? [[name, reply.diskId] as const] : [],
    );
    if (disks.length < 2) return false;
    const accepted = await Promise.all(
      disks.map(([name, disk]) =>
        this.ask(name, { kind: 'accept', key, proposalNumber, value, diskId: disk }),
      ),
    );
    if (accepted.filter((reply) => reply.kind === 'vote').length < 2) return false;
    if (key === membershipKey) this.members = { proposalNumber, value: value as Membership };
    return true;
  }

  /** One change of each kind. */
  async change(version: number, routes: number): Promise<boolean> {
    const config = await this.write('config', configOf(version, routes));
    const zones = await this.write('zones', { evacuated: version % 2 === 0 ? ['north'] : [] });
    const claim = await this.write(`claim/key-${version}`, { owner: version });
    const entries = [{ key: `purge-${version}`, value: { tags: [`tag-${version}`] } }];
    await this.#askAll(() => ({ kind: 'append-entries', entries }));
    for (const name of this.running.keys()) this.#notePeak(name as Name);
    return config && zones && claim;
  }

  notePeaks(): void {
    for (const name of this.running.keys()) this.#notePeak(name as Name);
  }

  #notePeak(name: Name): void {
    const bytes = bytesIn(this.folder(name));
    this.peakBytes.set(name, Math.max(bytes, this.peakBytes.get(name) ?? 0));
  }

  async #askAll(
    callOf: () => ReplicaOperation,
  ): Promise<readonly (readonly [Name, ReplicaReply])[]> {
    const up = names.filter((name) => this.running.has(name));
    return Promise.all(up.map(async (name) => [name, await this.ask(name, callOf())] as const));
  }

  async #deliver(address: string, body: ReplicaRequest): Promise<ReplicaReply> {
    const running = this.running.get(address);
    if (running === undefined) throw new Error(`${address} is down`);
    const reply = await running.host.handleRequest(body);
    if (reply.kind === 'page-read') {
      this.pages += 1;
      this.pageBytes += stringify(reply).length;
    }
    return reply;
  }

  #track<Result>(call: Promise<Result>): Promise<Result> {
    this.#calls.add(call);
    const done = (): void => void this.#calls.delete(call);
    call.then(done, done);
    return call;
  }
}

const found = async (): Promise<Cluster> => {
  const cluster = new Cluster();
  for (const name of names) await cluster.start(name);
  await cluster.run(2_000);
  cluster.members = cluster.running.get('a')?.host.durableState.committedMembership ?? null;
  return cluster;
};

const versionHeld = (cluster: Cluster, name: Name): unknown => {
  const held = cluster.running.get(name)?.host.durableState.registers.get('config')
    ?.accepted?.value;
  return (held as { readonly version: number } | undefined)?.version;
};

const isVoting = async (cluster: Cluster, name: Name): Promise<boolean> =>
  (await cluster.ask(name, { kind: 'poll', cursor: null, keys: [] })).kind === 'polled';

/** Gives the place of a wiped replica to its new disk, as some agent does. */
const giveBackPlace = async (cluster: Cluster, name: Name): Promise<void> => {
  const before = cluster.members?.value;
  const disk = cluster.running.get(name)?.host.durableState.diskId ?? '';
  const disks = { ...before?.disks, [name]: disk };
  await cluster.write(membershipKey, { epoch: (before?.epoch ?? 0) + 1, disks });
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

/** Changes with c down for half of them; then c wiped; then all at once. */
const playHistory = async (
  t: ExecutionContext,
  changes: number,
  routes: number,
): Promise<Figures> => {
  const cluster = await found();
  for (let version = 1; version <= changes; version += 1) {
    if (version === Math.ceil(changes / 4)) await cluster.stop('c');
    if (version === Math.ceil((3 * changes) / 4)) await cluster.start('c');
    t.true(await cluster.change(version, routes));
    cluster.now += msBetweenChanges;
    for (const { host } of cluster.running.values()) host.tick();
  }
  await cluster.settle();
  // It was down for half of them, and holds what it took part in since.
  t.is(versionHeld(cluster, 'c'), changes);
  await cluster.stop('c');
  const restartBytes = bytesIn(cluster.folder('c'));
  await cluster.start('c');
  const recordsRead = cluster.running.get('c')?.recordsRead ?? 0;
  t.is(versionHeld(cluster, 'c'), changes);
  // Wiped: it neither votes nor answers before it has read the others.
  await cluster.stop('c');
  cluster.wipe('c');
  await cluster.start('c');
  const wipedAt = cluster.now;
  t.false(await isVoting(cluster, 'c'));
  await giveBackPlace(cluster, 'c');
  [cluster.pages, cluster.pageBytes] = [0, 0];
  for (let turn = 0; turn < 100 && !(await isVoting(cluster, 'c')); turn += 1) {
    t.not(versionHeld(cluster, 'c'), 'voting with nothing');
    await cluster.run(tickMs);
    cluster.notePeaks();
  }
  const msToVote = cluster.now - wipedAt;
  t.true(await isVoting(cluster, 'c'));
  t.is(versionHeld(cluster, 'c'), changes);
  // All at once, at any point of a compaction.
  for (const name of names) await cluster.stop(name);
  for (const name of names) await cluster.start(name);
  for (const name of names) t.is(versionHeld(cluster, name), changes);
  t.true(await cluster.change(changes + 1, routes));
  for (const name of names) await cluster.stop(name);
  rmSync(cluster.root, { recursive: true });
  const peakBytes = Math.max(...cluster.peakBytes.values());
  const { pageBytes, pages } = cluster;
  return { changes, peakBytes, restartBytes, pageBytes, pages, msToVote, recordsRead };
};

/** Old and new snapshot, the log that makes one due, and what is appended while it is written. */
const mostDiskBytes = (configBytes: number, changes: number): number => {
  const claims = changes * 250;
  const state = 2 * configBytes + claims + 64 * 1024;
  const recordsOfOneChange = 2 * configBytes;
  return 2 * state + Math.max(snapshotAfterBytes, state / 2) + 3 * recordsOfOneChange;
};

const routesOfTest = 400;

test('restart, catching up and the disk stay flat while changes grow tenfold', async (t) => {
  const configBytes = stringify(configOf(1, routesOfTest)).length;
  const figures: Figures[] = [];
  for (const changes of [50, 200, 500]) figures.push(await playHistory(t, changes, routesOfTest));
  for (const each of figures) {
    t.log(JSON.stringify({ routes: routesOfTest, configBytes, ...each }));
    t.true(each.peakBytes <= mostDiskBytes(configBytes, each.changes));
    t.true(each.restartBytes <= mostDiskBytes(configBytes, each.changes));
  }
  const [few, , many] = figures;
  t.is(many?.msToVote, few?.msToVote);
  // The claims of an hour are kept one by one; all else is one value a register.
  const claimBytes = 450 * 2 * 250;
  t.true((many?.pageBytes ?? 0) <= (few?.pageBytes ?? 0) + claimBytes);
});

const routesAtMost = 4_000;

test('with 4,000 routes the disk stays within its bound, and a wiped replica reads a few copies of it', async (t) => {
  const configBytes = stringify(configOf(1, routesAtMost)).length;
  const figures = await playHistory(t, 24, routesAtMost);
  t.log(JSON.stringify({ routes: routesAtMost, configBytes, ...figures }));
  t.true(figures.peakBytes <= mostDiskBytes(configBytes, figures.changes));
  t.true(figures.pageBytes <= 3 * configBytes);
});

test('a replica that ends at any file of a compaction comes back with all that it acknowledged', async (t) => {
  const cluster = await found();
  const images: string[] = [];
  const watched = cluster.folder('c');
  let before = '';
  for (let version = 1; version <= 60; version += 1) {
    t.true(await cluster.change(version, routesOfTest * 2));
    const listing = readdirSync(watched).join();
    if (listing === before) continue;
    before = listing;
    const image = path.join(cluster.root, `image-${images.length}-${version}`);
    cpSync(watched, image, { recursive: true });
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
    const held = state.registers.get('config')?.accepted?.value as { readonly version: number };
    t.is(held.version, Number(image.split('-').at(-1)), image);
    await log.close();
  }
  for (const name of names) await cluster.stop(name);
  rmSync(cluster.root, { recursive: true });
});
