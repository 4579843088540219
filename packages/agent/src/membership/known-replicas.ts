/** Replicas known from gossip, identified by their disks. */

import { committedMembershipOf } from '../control/registers.js';
import { nodesOf } from '../gossip/known-nodes.js';
import type { AgentState } from '../state.js';
import { log, type Transition, update } from '../transition.js';

/** A replica as the newest gossip record of its machine describes it. */
export type KnownReplica = {
  readonly id: string;
  readonly zone: string;
  readonly address: string;
  readonly diskId: string;
  readonly isBlank: boolean;
  readonly seenAt: number;
};

const findReplicas = (state: AgentState): readonly KnownReplica[] => {
  const reported = nodesOf(state).flatMap(({ record: { id, zone, replica }, seenAt }) => {
    if (replica?.disk === undefined) return [];
    const { address, disk, fresh = false } = replica;
    return [{ id, zone, address, diskId: disk, isBlank: fresh, seenAt }];
  });
  const isOutdated = (replica: KnownReplica): boolean =>
    reported.some((other) => other.diskId === replica.diskId && other.seenAt > replica.seenAt);
  return reported.filter((replica) => !isOutdated(replica));
};

/**
 * Caches the replicas for each table of gossip records, because agents of members read them ten
 * times a second.
 */
const replicasByRecords = new WeakMap<AgentState['gossip']['records'], readonly KnownReplica[]>();

/**
 * Returns the replicas whose disk id is known from gossip. If several records name the same disk,
 * only the most recently seen one counts. Used where the members are founded from a list of seeds.
 */
export const knownReplicas = (state: AgentState): readonly KnownReplica[] => {
  const { records } = state.gossip;
  const cached = replicasByRecords.get(records);
  if (cached !== undefined) return cached;
  const replicas = findReplicas(state);
  replicasByRecords.set(records, replicas);
  return replicas;
};

/**
 * Updates the address of each polled replica whose machine now runs at another address. By default
 * the node id names the slot. Where the members are founded from seeds, the disk id determines the
 * slot, and a separate proposal writes the new address into the membership.
 */
export const updateMovedReplicas = (transition: Transition): void => {
  const disks = committedMembershipOf(transition.state)?.value.disks ?? {};
  const reportedAddresses =
    transition.state.bootstrap === null
      ? nodesOf(transition.state).flatMap(({ record }) =>
          record.replica === null ? [] : [{ slot: record.id, address: record.replica.address }],
        )
      : knownReplicas(transition.state).flatMap((replica) =>
          Object.keys(disks)
            .filter((slot) => disks[slot] === replica.diskId)
            .map((slot) => ({ slot, address: replica.address })),
        );
  for (const { slot, address } of reportedAddresses) {
    const view = transition.state.replicas[slot];
    if (view !== undefined && address !== view.address) {
      log(transition, 'replica.moved', { replica: slot, address });
      update(transition, {
        replicas: {
          ...transition.state.replicas,
          [slot]: { ...view, address, pollId: null, countedPolls: null },
        },
      });
    }
  }
};
