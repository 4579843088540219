import { cpSync, mkdtempSync, readdirSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import test from 'ava';
import { encodeRecord } from '@reedyard/write-ahead-log';
import type { BootstrapSettings } from './membership.js';
import { openReplica, snapshotRecords } from './open-replica.js';
import type { ReplicaState } from './state.js';
import { encodeReplicaRecord } from './storage/record-codec.js';
import { openReplicaLog } from './storage/replica-log.js';

/** Data folders as commit 0da2ab4 wrote them, each with a file of what that commit read from it. */
const fixtures = fileURLToPath(new URL('../test/fixtures/stored-0da2ab4', import.meta.url));

type Expected = {
  readonly name: string;
  readonly others: Readonly<Record<string, string>>;
  readonly seeded: BootstrapSettings | null;
  /** The records of a snapshot of the state, in their stored form. */
  readonly records: readonly string[];
  readonly summary: Readonly<Record<string, unknown>>;
};

const summaryOf = (state: ReplicaState): Expected['summary'] => ({
  disk: state.diskId,
  voting: state.hasBegunVoting,
  votingEpoch: state.votingEpoch,
  epoch: state.committedMembership?.value.epoch ?? null,
  seq: state.lastSequence,
  floor: state.truncatedUpTo,
  registers: state.registers.size,
  claims: state.claimMinuteByKey.size,
  entries: state.entries.length,
});

for (const name of readdirSync(fixtures).filter((entry) => !entry.endsWith('.json'))) {
  test(`data of an earlier version is read, and its snapshot is written with the same bytes: ${name}`, async (t) => {
    const expected = JSON.parse(
      readFileSync(path.join(fixtures, `${name}.json`), 'utf8'),
    ) as Expected;
    const folder = mkdtempSync(path.join(tmpdir(), 'reedyard-stored-'));
    t.teardown(() => rmSync(folder, { recursive: true, force: true }));
    cpSync(path.join(fixtures, name), folder, { recursive: true });
    const log = await openReplicaLog(folder);
    const records = log.takeRecords();
    await log.close();
    const { state } = openReplica({
      name: expected.name,
      otherFounders: expected.others,
      bootstrap: expected.seeded,
      records,
      newDiskId: 'unused',
      now: 0,
    });
    t.deepEqual(summaryOf(state), expected.summary);
    const writtenRecords = [...snapshotRecords(state)].map((record) =>
      encodeRecord(encodeReplicaRecord(record)).toString(),
    );
    t.deepEqual(writtenRecords, [...expected.records]);
  });
}
