/** Test support: founders that came to their members by the product's own founding. */
import { Replica } from '@reedyard/replica';
import type {
  ReplicaEffect,
  ReplicaEvent,
  ReplicaRecord,
  ReplicaState,
  CommittedMembership,
} from '@reedyard/replica';
import type { ModelReplica } from './membership-network.js';

/** Runs the product's founding among blank seeds, with every message delivered. */
export const foundReplicas = (
  seeds: readonly string[],
): {
  readonly replicas: Readonly<Record<string, ModelReplica>>;
  readonly members: CommittedMembership;
  readonly lives: number;
} => {
  const states = new Map<string, ReplicaState>();
  const records = new Map<string, ReplicaRecord[]>();
  const perform = (address: string, effects: readonly ReplicaEffect[]): void => {
    for (const effect of effects) {
      if (effect.kind === 'append') records.get(address)?.push(...effect.records);
      if (effect.kind === 'call') ask(address, effect);
    }
  };
  const reduce = (address: string, event: ReplicaEvent): readonly ReplicaEffect[] => {
    const state = states.get(address);
    if (state === undefined) return [];
    const done = Replica.reduce(state, event);
    states.set(address, done.state);
    perform(address, done.effects);
    return done.effects;
  };
  const ask = (from: string, { to, id, body }: Extract<ReplicaEffect, { kind: 'call' }>): void => {
    const told = reduce(to, { kind: 'asked', id: 0, body, now: 0 }).find(
      (effect) => effect.kind === 'tell',
    );
    if (told !== undefined) reduce(from, { kind: 'returned', id, body: told.body, now: 0 });
  };
  seeds.forEach((address, index) => {
    const seeded = { address, seeds, firstStart: true };
    const freshDisk = `disk-${index + 1}`;
    const parts = { name: address, others: {}, seeded, records: [], freshDisk, now: 0 };
    const opened = Replica.open(parts);
    records.set(address, []);
    states.set(address, opened.state);
    perform(address, opened.effects);
  });
  const rounds = seeds.flatMap((_, round) => seeds.map((address) => ({ address, round })));
  for (const { address, round } of rounds) {
    reduce(address, { kind: 'beat', now: (round + 1) * foundingRound });
  }
  const members = states.get(seeds[0] ?? '')?.told;
  if (members === null || members === undefined) throw new Error('the seeds did not found');
  const replicas = Object.fromEntries(
    seeds.map((address, index) => {
      const durable = records.get(address) ?? [];
      const seeded = { address, seeds: [], firstStart: false };
      const parts = { name: address, others: {}, seeded, records: durable, freshDisk: '', now: 0 };
      const { state } = Replica.open(parts);
      if (!state.voting) throw new Error(`${address} does not vote`);
      const life = index + 1;
      return [address, { ...blankReplica, address, life, state, durable }];
    }),
  );
  return { replicas, members, lives: seeds.length };
};

/** ms between the beats of founding: longer than any wait of a replica for an answer. */
const foundingRound = 2_000;

const blankReplica = { running: true, unsynced: [], waiting: [] } as const;
