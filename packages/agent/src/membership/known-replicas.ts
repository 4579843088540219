/** The replicas that gossip tells of, by their disks. */

import { committedMembershipOf } from '../control/registers.js';
import { nodesOf } from '../gossip/known-nodes.js';
import type { AgentState } from '../state.js';
import { log, type Transition, update } from '../transition.js';

/** A replica as gossip tells of it. */
export type KnownReplica = {
  readonly id: string;
  readonly zone: string;
  readonly address: string;
  readonly diskId: string;
  readonly isBlank: boolean;
  readonly seenAt: number;
};

const findReplicas = (state: AgentState): readonly KnownReplica[] => {
  const heard = nodesOf(state).flatMap(({ record: { id, zone, replica }, seenAt }) => {
    if (replica?.disk === undefined) return [];
    const { address, disk, fresh = false } = replica;
    return [{ id, zone, address, diskId: disk, isBlank: fresh, seenAt }];
  });
  const isOutdated = (each: KnownReplica): boolean =>
    heard.some((other) => other.diskId === each.diskId && other.seenAt > each.seenAt);
  return heard.filter((each) => !isOutdated(each));
};

/** Found once for each table of records, since agents of members look ten times a second. */
const heardByRecords = new WeakMap<AgentState['gossip']['records'], readonly KnownReplica[]>();

/**
 * Replicas whose disk is known by gossip, each disk once: where it was heard of last. Where members
 * found themselves.
 */
export const knownReplicas = (state: AgentState): readonly KnownReplica[] => {
  const { records } = state.gossip;
  const known = heardByRecords.get(records);
  if (known !== undefined) return known;
  const found = findReplicas(state);
  heardByRecords.set(records, found);
  return found;
};

/**
 * A replica's machine may come back at another address; its name stays its slot among the members.
 * Where members found themselves from seeds its disk tells its slot, and a proposal then notes the
 * address.
 */
export const updateMovedReplicas = (transition: Transition): void => {
  const disks = committedMembershipOf(transition.state)?.value.disks ?? {};
  const heard =
    transition.state.bootstrap === null
      ? nodesOf(transition.state).flatMap(({ record }) =>
          record.replica === null ? [] : [{ place: record.id, address: record.replica.address }],
        )
      : knownReplicas(transition.state).flatMap((each) =>
          Object.keys(disks)
            .filter((place) => disks[place] === each.diskId)
            .map((place) => ({ place, address: each.address })),
        );
  for (const { place, address } of heard) {
    const view = transition.state.replicas[place];
    if (view !== undefined && address !== view.address) {
      log(transition, 'replica.moved', { replica: place, address });
      update(transition, {
        replicas: {
          ...transition.state.replicas,
          [place]: { ...view, address, pollId: null, countedPolls: null },
        },
      });
    }
  }
};
