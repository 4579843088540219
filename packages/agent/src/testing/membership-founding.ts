/** Test support: founders that found the membership with the product's own code. */
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

/** Founds a membership among blank seeds with the product's own code, delivering every message. */
export const foundReplicas = (
  seeds: readonly string[],
): {
  readonly replicas: Readonly<Record<string, ModelReplica>>;
  readonly members: CommittedMembership;
  readonly diskCount: number;
} => {
  const states = new Map<string, ReplicaState>();
  const records = new Map<string, ReplicaRecord[]>();
  const perform = (address: string, effects: readonly ReplicaEffect[]): void => {
    for (const effect of effects) {
      if (effect.kind === 'append-records') records.get(address)?.push(...effect.records);
      if (effect.kind === 'send-request') deliverRequest(address, effect);
    }
  };
  const reduce = (address: string, event: ReplicaEvent): readonly ReplicaEffect[] => {
    const state = states.get(address);
    if (state === undefined) return [];
    const transition = reduceReplica(state, event);
    states.set(address, transition.state);
    perform(address, transition.effects);
    return transition.effects;
  };
  const deliverRequest = (
    from: string,
    { to, requestId: id, request: body }: Extract<ReplicaEffect, { kind: 'send-request' }>,
  ): void => {
    const replyEffect = reduce(to, {
      kind: 'request-received',
      requestId: 0,
      request: body,
      now: 0,
    }).find((effect) => effect.kind === 'send-reply');
    if (replyEffect !== undefined)
      reduce(from, { kind: 'reply-received', requestId: id, reply: replyEffect.reply, now: 0 });
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
    reduce(address, { kind: 'tick', now: (round + 1) * foundingRoundMs });
  }
  const members = states.get(seeds[0] ?? '')?.committedMembership;
  if (members === null || members === undefined)
    throw new Error('the seeds have not founded a membership');
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
      if (!state.hasBegunVoting)
        throw new Error(`${address} is not a voting member after the founding`);
      const diskNumber = index + 1;
      return [address, { ...idleReplica, address, diskNumber, state, durable }];
    }),
  );
  return { replicas, members, diskCount: seeds.length };
};

/**
 * The time between two ticks during founding, in milliseconds: longer than a replica waits for any
 * reply.
 */
const foundingRoundMs = 2_000;

const idleReplica = { isRunning: true, unsynced: [], pendingReplies: [] } as const;
