/** Test support: founders that came to their members by the product's own founding. */
import {
  type CommittedMembership,
  openReplica,
  reduceReplica,
  type ReplicaEffect,
  type ReplicaEvent,
  type ReplicaRecord,
  type ReplicaState,
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
      if (effect.kind === 'append-records') records.get(address)?.push(...effect.records);
      if (effect.kind === 'send-request') ask(address, effect);
    }
  };
  const reduce = (address: string, event: ReplicaEvent): readonly ReplicaEffect[] => {
    const state = states.get(address);
    if (state === undefined) return [];
    const done = reduceReplica(state, event);
    states.set(address, done.state);
    perform(address, done.effects);
    return done.effects;
  };
  const ask = (
    from: string,
    { to, requestId: id, request: body }: Extract<ReplicaEffect, { kind: 'send-request' }>,
  ): void => {
    const told = reduce(to, { kind: 'request-received', requestId: 0, request: body, now: 0 }).find(
      (effect) => effect.kind === 'send-reply',
    );
    if (told !== undefined)
      reduce(from, { kind: 'reply-received', requestId: id, reply: told.reply, now: 0 });
  };
  seeds.forEach((address, index) => {
    const bootstrap = { address, seeds, isFirstStart: true };
    const newDiskId = `disk-${index + 1}`;
    const parts = { name: address, otherFounders: {}, bootstrap, records: [], newDiskId, now: 0 };
    const opened = openReplica(parts);
    records.set(address, []);
    states.set(address, opened.state);
    perform(address, opened.effects);
  });
  const rounds = seeds.flatMap((_, round) => seeds.map((address) => ({ address, round })));
  for (const { address, round } of rounds) {
    reduce(address, { kind: 'tick', now: (round + 1) * foundingRound });
  }
  const members = states.get(seeds[0] ?? '')?.committedMembership;
  if (members === null || members === undefined) throw new Error('the seeds did not found');
  const replicas = Object.fromEntries(
    seeds.map((address, index) => {
      const durable = records.get(address) ?? [];
      const bootstrap = { address, seeds: [], isFirstStart: false };
      const parts = {
        name: address,
        otherFounders: {},
        bootstrap,
        records: durable,
        newDiskId: '',
        now: 0,
      };
      const { state } = openReplica(parts);
      if (!state.hasBegunVoting) throw new Error(`${address} does not vote`);
      const life = index + 1;
      return [address, { ...blankReplica, address, life, state, durable }];
    }),
  );
  return { replicas, members, lives: seeds.length };
};

/** ms between the beats of founding: longer than any wait of a replica for an answer. */
const foundingRound = 2_000;

const blankReplica = { running: true, unsynced: [], waiting: [] } as const;
