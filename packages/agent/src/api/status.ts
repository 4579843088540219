/**
 * The status of a node for its operators: its lease and counters, and its view of the control state.
 *
 * The module has no state of its own; everything is derived from the agent's state. The status of
 * the members of the control state depends only on their replies to this node's polls, so two nodes
 * may differ for a moment; only the status of a node with a lease (`leaseMs` above 0) is backed by a
 * majority.
 */
import { majorityOf } from '@reedyard/consensus';
import { leaseDurationMs, type ReplicaReply } from '@reedyard/replica';
import type { OriginDescription } from '@reedyard/schemas';
import type { RoutingTable } from '@reedyard/server-selection';
import type { PollOutcome, LastPollReply, ReplicaView } from '../control/control-state.js';
import { isUnreachable } from '../control/reachability.js';
import {
  committedMembershipOf,
  isDiskOfMember,
  policyOf,
  quotaAllocationOf,
  zonesOf,
  zonesWithClosedOrigins,
} from '../control/registers.js';
import { nodesOf, peerTimeoutMs } from '../gossip/known-nodes.js';
import { knownReplicas } from '../membership/known-replicas.js';
import { originsOf } from '../origins/origins.js';
import type { AgentState } from '../state.js';

/**
 * The state of a member of the control state:
 *
 * - `answering`: its replies are counted, and it votes.
 * - `recovering`: it runs but may not vote yet, because its disk is new or still reads from the
 *   other members.
 * - `refusing`: it replies, but does not vote for another reason.
 * - `silent`: it has not replied to a poll for a complete lease duration.
 */
export type MemberState = 'answering' | 'recovering' | 'refusing' | 'silent';

/** One member of the control state, as this node sees it. */
export type MemberStatus = {
  readonly name: string;
  /** The machine that it runs on according to gossip; null while gossip has no record of it. */
  readonly node: string | null;
  readonly address: string;
  /** The disk that the membership names for it; null before any membership is known. */
  readonly disk: string | null;
  readonly zone: string | null;
  readonly state: MemberState;
  /** The outcome of its last reply to a poll; null where it never replied to this node. */
  readonly outcome: PollOutcome | null;
  readonly lastAnswerAgeMs: number | null;
  /** Whether it is stopping: it votes until its process ends. */
  readonly leaving: boolean;
};

/** A machine whose blank disk could become a member. */
export type SpareStatus = {
  readonly node: string;
  readonly address: string;
  readonly zone: string;
};

/** The membership of the control state, and the losses that it still tolerates. */
export type ControlStatus = {
  /** The epoch of the current membership; 0 while none is known. */
  readonly epoch: number;
  readonly members: readonly MemberStatus[];
  /** Names of the members that are recovering. */
  readonly recovering: readonly string[];
  /** The number of members that must reply for a decision. */
  readonly quorum: number;
  /** Further losses tolerated now: answering members minus the quorum; below 0 there is no majority. */
  readonly lossesBorne: number;
  /** The losses that the settings require to be tolerated when all members answer. */
  readonly configuredLosses: number;
  /** The number of members that `configuredLosses` requires. */
  readonly wantedMembers: number;
  readonly spares: readonly SpareStatus[];
};

/** An origin as this node knows it, and whether it gets traffic. */
export type OriginStatus = OriginDescription & {
  readonly admitted: boolean;
  readonly reason?: string;
};

/** The response body of `GET /v1/status`. */
export type NodeStatus = {
  readonly node: string;
  readonly zone: string;
  readonly region: string;
  /** The remaining time of this node's lease, in milliseconds; 0 where it has none. */
  readonly leaseMs: number;
  /** Whether no majority of replicas replies to this node. */
  readonly unreachable: boolean;
  readonly policyRevision: number;
  readonly emptiedZones: readonly string[];
  readonly closedOrigins: readonly string[];
  readonly control: ControlStatus;
  readonly quotaLeadership: { readonly holder: string; readonly term: number } | null;
  readonly origins: readonly OriginStatus[];
  readonly proxy: Readonly<Record<string, number>> | null;
  readonly notices: number;
  readonly splits: number;
  readonly split: RoutingTable;
};

const notAMemberOutcome = (isMemberDisk: boolean, isBlank: boolean): PollOutcome => {
  if (isMemberDisk) return 'recovering';
  return isBlank ? 'blank' : 'not-a-member';
};

const polledOutcome = (isMemberDisk: boolean, isReadOnly: boolean): PollOutcome => {
  if (!isMemberDisk) return 'not-a-member';
  return isReadOnly ? 'read-only' : 'counted';
};

/** Classifies a reply to a poll; `isMemberDisk`: the membership names the replying disk. */
const outcomeOf = (reply: ReplicaReply, isMemberDisk: boolean): PollOutcome => {
  switch (reply.kind) {
    case 'polled':
      return polledOutcome(isMemberDisk, reply.isReadOnly === true);
    case 'recovering':
      return 'recovering';
    case 'not-a-member':
      return notAMemberOutcome(isMemberDisk, reply.isBlank);
    case 'newer-membership':
      return 'newer-membership';
    default:
      return 'refused';
  }
};

/**
 * The record of a replica's reply to a poll.
 *
 * @example
 * pollReplySeenOf(state, 'core-1', reply).outcome // 'counted'
 */
export const pollReplySeenOf = (
  state: AgentState,
  name: string,
  reply: ReplicaReply,
): LastPollReply => ({
  at: state.now,
  diskId: reply.diskId,
  outcome: outcomeOf(reply, isDiskOfMember(state, name, reply.diskId)),
});

const stateOf = (view: ReplicaView, disk: string | null, now: number): MemberState => {
  const { lastPollReply } = view;
  if (lastPollReply === null || now - lastPollReply.at >= leaseDurationMs) return 'silent';
  switch (lastPollReply.outcome) {
    case 'counted':
      return lastPollReply.diskId === disk ? 'answering' : 'refusing';
    case 'recovering':
    case 'blank':
      return 'recovering';
    default:
      return 'refusing';
  }
};

/** The machine that a member runs on: matched by disk id, else by address, else by name. */
const machineOf = (
  state: AgentState,
  member: { readonly name: string; readonly disk: string | null; readonly address: string },
): { readonly id: string; readonly zone: string } | null => {
  const records = [...nodesOf(state)]
    .sort((a, b) => b.seenAt - a.seenAt)
    .map(({ record }) => record);
  return (
    records.find((record) => member.disk !== null && record.replica?.disk === member.disk) ??
    records.find((record) => record.replica?.address === member.address) ??
    records.find((record) => state.bootstrap === null && record.id === member.name) ??
    null
  );
};

const memberOf = (state: AgentState, name: string, view: ReplicaView): MemberStatus => {
  const disk = committedMembershipOf(state)?.value.disks[name] ?? null;
  const machine = machineOf(state, { name, disk, address: view.address });
  return {
    name,
    node: machine?.id ?? null,
    address: view.address,
    disk,
    zone: machine?.zone ?? null,
    state: stateOf(view, disk, state.now),
    outcome: view.lastPollReply?.outcome ?? null,
    lastAnswerAgeMs:
      view.lastPollReply === null ? null : Math.round(state.now - view.lastPollReply.at),
    leaving: view.isStopping,
  };
};

const sparesOf = (state: AgentState): readonly SpareStatus[] => {
  const disks = Object.values(committedMembershipOf(state)?.value.disks ?? {});
  const isLive = (id: string, seenAt: number): boolean =>
    id === state.self.id || state.now - seenAt < peerTimeoutMs;
  return knownReplicas(state)
    .filter(
      (replica) =>
        replica.isBlank && !disks.includes(replica.diskId) && isLive(replica.id, replica.seenAt),
    )
    .map((replica) => ({ node: replica.id, address: replica.address, zone: replica.zone }));
};

/**
 * The number of losses to tolerate: from the settings where the members are discovered from seeds,
 * else the number that the founding members allow.
 */
const configuredLossesOf = (state: AgentState): number =>
  state.bootstrap?.losses ?? Math.floor((Object.keys(state.replicas).length - 1) / 2);

/**
 * The membership of the control state as this node sees it.
 *
 * @example
 * controlStatus(state).lossesBorne // 2 with five of five members answering
 */
export const controlStatus = (state: AgentState): ControlStatus => {
  const members = Object.entries(state.replicas).map(([name, view]) => memberOf(state, name, view));
  const answering = members.filter((member) => member.state === 'answering').length;
  const quorum = majorityOf(members.length);
  const configuredLosses = configuredLossesOf(state);
  return {
    epoch: committedMembershipOf(state)?.value.epoch ?? 0,
    members,
    recovering: members
      .filter((member) => member.state === 'recovering')
      .map((member) => member.name),
    quorum,
    lossesBorne: answering - quorum,
    configuredLosses,
    wantedMembers: state.bootstrap === null ? members.length : 2 * configuredLosses + 1,
    spares: sparesOf(state),
  };
};

const originStatuses = (state: AgentState): readonly OriginStatus[] =>
  originsOf(state).map(({ description, exclusionReason }) => ({
    ...description,
    admitted: exclusionReason === null,
    ...(exclusionReason === null ? {} : { reason: exclusionReason }),
  }));

/**
 * The complete status of a node.
 *
 * @example
 * nodeStatus(state).leaseMs // 1_240
 */
export const nodeStatus = (state: AgentState): NodeStatus => {
  const allocation = quotaAllocationOf(state);
  return {
    node: state.self.id,
    zone: state.self.zone,
    region: state.self.region,
    leaseMs: Math.max(0, Math.round(state.leaseUntil - state.now)),
    unreachable: isUnreachable(state),
    policyRevision: policyOf(state)?.revision ?? 0,
    emptiedZones: zonesOf(state)?.emptied ?? [],
    closedOrigins: zonesWithClosedOrigins(state),
    control: controlStatus(state),
    quotaLeadership:
      allocation === null ? null : { holder: allocation.holder, term: allocation.term },
    origins: originStatuses(state),
    proxy: state.lastProxyReport?.content.counters ?? null,
    notices: state.vectorAnnouncementCount,
    splits: state.routingTableCount,
    split: state.routingTable,
  };
};
