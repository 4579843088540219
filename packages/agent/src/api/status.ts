/**
 * What a node tells its operators: its own lease and counters, and the control state as it sees it.
 *
 * Owns no state; derives everything from the agent's. What it says of the members of the control
 * state rests on their answers to this node's polls alone, so two nodes may differ for a moment;
 * only the word of a node with a lease (`leaseMs` above 0) is backed by a majority.
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
 * - `answering`: its answers count, and it votes.
 * - `recovering`: it runs, and is not yet allowed to vote: a new disk, or one that reads the
 *   others.
 * - `refusing`: it answers, and for another reason does not vote.
 * - `silent`: no answer to a poll for a whole lease.
 */
export type MemberState = 'answering' | 'recovering' | 'refusing' | 'silent';

/** One member of the control state as this node sees it. */
export type MemberStatus = {
  readonly name: string;
  /** The machine that it runs on, where gossip has told; null where it has not. */
  readonly node: string | null;
  readonly address: string;
  /** The disk that holds the membership; null before any membership is known. */
  readonly disk: string | null;
  readonly zone: string | null;
  readonly state: MemberState;
  /** What its last answer was, and null where it never answered this node. */
  readonly outcome: PollOutcome | null;
  readonly lastAnswerAgeMs: number | null;
  /** Whether it was asked to stop: it votes until it has gone. */
  readonly leaving: boolean;
};

/** A machine whose blank disk could become a member. */
export type SpareStatus = {
  readonly node: string;
  readonly address: string;
  readonly zone: string;
};

/** The membership of the control state and what it still bears. */
export type ControlStatus = {
  /** Epoch of the membership in force; 0 while none is known. */
  readonly epoch: number;
  readonly members: readonly MemberStatus[];
  /** Names of the members that are recovering. */
  readonly recovering: readonly string[];
  /** Members that must answer for anything to be decided. */
  readonly quorum: number;
  /** Further losses borne now: answering members less the quorum; below 0 there is no majority. */
  readonly lossesBorne: number;
  /** Losses that the settings want borne when all members answer. */
  readonly configuredLosses: number;
  /** Members that are needed for that. */
  readonly wantedMembers: number;
  readonly spares: readonly SpareStatus[];
};

/** An origin as this node knows it, and whether it gets traffic. */
export type OriginStatus = OriginDescription & {
  readonly admitted: boolean;
  readonly reason?: string;
};

/** Everything that `GET /v1/status` answers. */
export type NodeStatus = {
  readonly node: string;
  readonly zone: string;
  readonly region: string;
  /** What is left of this node's lease; 0 where it has none. */
  readonly leaseMs: number;
  /** Whether no majority of replicas answers this node at all. */
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

const awayOutcome = (named: boolean, blank: boolean): PollOutcome => {
  if (named) return 'recovering';
  return blank ? 'blank' : 'not-a-member';
};

const pulledOutcome = (named: boolean, readOnly: boolean): PollOutcome => {
  if (!named) return 'not-a-member';
  return readOnly ? 'read-only' : 'counted';
};

/** What an answer to a poll tells of the replica that gave it. */
const outcomeOf = (reply: ReplicaReply, named: boolean): PollOutcome => {
  switch (reply.kind) {
    case 'polled':
      return pulledOutcome(named, reply.isReadOnly === true);
    case 'recovering':
      return 'recovering';
    case 'not-a-member':
      return awayOutcome(named, reply.isBlank);
    case 'newer-membership':
      return 'newer-membership';
    default:
      return 'refused';
  }
};

/**
 * Notes how a replica answered a poll.
 *
 * @example
 * replicaAnswer(state, 'core-1', reply).outcome // 'counted'
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
  const { lastPollReply: answered } = view;
  if (answered === null || now - answered.at >= leaseDurationMs) return 'silent';
  switch (answered.outcome) {
    case 'counted':
      return answered.diskId === disk ? 'answering' : 'refusing';
    case 'recovering':
    case 'blank':
      return 'recovering';
    default:
      return 'refusing';
  }
};

/** The machine that a member runs on: by its disk, else by its address, else by its name. */
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
    .filter((each) => each.isBlank && !disks.includes(each.diskId) && isLive(each.id, each.seenAt))
    .map((each) => ({ node: each.id, address: each.address, zone: each.zone }));
};

/**
 * Losses that the settings want borne: told where members found themselves, else what they allow.
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
  originsOf(state).map(({ description, exclusionReason: barred }) => ({
    ...description,
    admitted: barred === null,
    ...(barred === null ? {} : { reason: barred }),
  }));

/**
 * The whole status of a node.
 *
 * @example
 * nodeStatus(state).leaseMs // 1_240
 */
export const nodeStatus = (state: AgentState): NodeStatus => {
  const plan = quotaAllocationOf(state);
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
    quotaLeadership: plan === null ? null : { holder: plan.holder, term: plan.term },
    origins: originStatuses(state),
    proxy: state.lastProxyReport?.content.counters ?? null,
    notices: state.vectorAnnouncementCount,
    splits: state.routingTableCount,
    split: state.routingTable,
  };
};
