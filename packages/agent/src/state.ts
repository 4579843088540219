import { Limits } from '@reedyard/constants';
import type { Map as Table } from 'immutable';
import type {
  ReplicaRequest,
  ReplicaOperation,
  JournalCursor,
  JournalEntry,
  Membership,
  CommittedMembership,
} from '@reedyard/replica';
import type { ProposalNumber, Proposal } from '@reedyard/consensus';
import type { Identified, LearntRevision } from './change-ids.js';
import type { RegisterChange } from './changes.js';
import type { GossipState } from '@reedyard/gossip';
import type { Plan, Slices } from '@reedyard/quota-division';
import type { Split, Vector } from '@reedyard/server-selection';
import type {
  FeedPart,
  ZonesRegister,
  AgentRequest,
  AgentEffect,
  AgentBootstrap,
  PolicyRegister,
  ProxyReport,
  NodeIdentity,
} from './terms.js';

/** The registers that every agent watches. */
export const watchedRegisters = ['members', 'policy', 'zones', 'plan'] as const;
export type WatchedRegister = (typeof watchedRegisters)[number];

/** What a replica's last answer to a pull came to. */
export type PollOutcome =
  | 'counted'
  /** Its disk takes no writes: it answers, and votes for nothing. */
  | 'read-only'
  /** It is a member, and may not vote before it has read or heard what the others know. */
  | 'recovering'
  /** Its disk is blank and is not a member. */
  | 'blank'
  /** Its disk is not the member's. */
  | 'not-a-member'
  /** It knows of a newer membership than this node. */
  | 'newer-membership'
  | 'refused';

/** How and when a replica last answered a pull, and with which disk. */
export type PollReplySeen = {
  readonly at: number;
  readonly diskId: string;
  readonly outcome: PollOutcome;
};

/**
 * What one counted pull showed: when it was sent, whether facts are left out, and the ballots
 * accepted by then.
 */
export type PollSnapshot = {
  readonly sentAt: number;
  readonly hasMoreEntries: boolean;
  readonly acceptedNumbers: Readonly<Record<string, ProposalNumber>>;
  /** Registers whose value the replica copied from another: it has not voted for it. */
  readonly copiedKeys?: readonly string[];
};

/**
 * The newest counted pull, and those before it that may still carry the lease, the newest first.
 */
export type CountedPolls = PollSnapshot & { readonly earlier: readonly PollSnapshot[] };

/** How one replica was last seen. */
export type ReplicaView = {
  readonly address: string;
  readonly cursor: JournalCursor | null;
  readonly pollId: number | null;
  readonly lastPolledAt: number;
  /** When it last answered anything, or was first known. */
  readonly lastMemberReplyAt: number;
  /** How it last answered a pull; null before the first answer. */
  readonly lastPollReply: PollReplySeen | null;
  /**
   * When any answer last came from its address, whether or not it counted, or when it was first
   * known.
   */
  readonly lastReplyAt: number;
  /** The counted pulls; null where none counts any more. */
  readonly countedPolls: CountedPolls | null;
  /** The members that it named when it found ours out of date. */
  readonly newerMembership: CommittedMembership | null;
  /** Pulls that were sent since it last answered one. */
  readonly unansweredPolls: number;
  /** Whether it last said that it was told to stop. */
  readonly isStopping: boolean;
  /** How much of what this node knows was told again to this replica, in its present recovering. */
  readonly restoreProgress: {
    readonly epoch: number;
    readonly chosen: ChosenValues;
    readonly count: number;
    readonly sentAt: number;
  } | null;
};

/** What this node knows to have been chosen, as it was when a replica first asked. */
export type ChosenValues = {
  readonly registers: readonly (readonly [
    string,
    { readonly proposalNumber: ProposalNumber; readonly value: unknown },
  ])[];
  readonly entries: readonly JournalEntry[];
};

/** Claims that this node saw chosen, by key, with the ballots they were chosen in. */
export type Claims = Table<
  string,
  { readonly proposalNumber: ProposalNumber; readonly value: unknown }
>;

/** Who waits for a proposal, and what becomes of its end. */
export type Purpose =
  | { readonly kind: 'put-policy'; readonly id: number; readonly changeId: string }
  | { readonly kind: 'get-policy'; readonly id: number }
  | { readonly kind: 'zone'; readonly id: number; readonly changeId: string }
  | { readonly kind: 'publish-allocation'; readonly goal: Plan }
  | { readonly kind: 'claim'; readonly id: number }
  | { readonly kind: 'settle-claim'; readonly id: number }
  | { readonly kind: 'repair' }
  | {
      readonly kind: 'change-membership';
      readonly member: string;
      readonly diskId: string;
      /** Whose place it is, where another machine gives it up. */ readonly replacedMember?: string;
    };

/** One change that is to be made to a register, until its ballot is decided or its time is over. */
export type PendingChange = {
  readonly key: string;
  readonly change: RegisterChange;
  readonly purpose: Purpose;
  readonly requestedAt: number;
  /** What the register held when this change was first applied, once that is known. */
  readonly firstRead: { readonly value: unknown } | null;
  /** Its caller is gone: no further ballot is opened for it. */
  readonly isAbandoned: boolean;
};

/** A change that is part of a ballot. */
export type IncludedChange = { readonly id: number; readonly pendingChange: PendingChange };

/** How often a ballot was outvoted, and how often too few answered in time. */
export type Retries = { readonly preempted: number; readonly timedOut: number };

/**
 * The one ballot that this node has under way for a register, for all changes that waited when it
 * was opened.
 */
export type ActiveProposal = {
  readonly proposal: Proposal;
  /** The changes that it makes, as they were when it was opened. */
  readonly included: readonly IncludedChange[];
  /** When its present phase began, and when its calls were last sent. */
  readonly phaseStartedAt: number;
  readonly lastSentAt: number;
  /** How often they were sent again in this phase. */
  readonly resendCount: number;
  /** How often it was opened anew, by reason. */
  readonly retries: Retries;
  /** When it is opened anew after it was outvoted. */
  readonly retryAt: number | null;
};

export type PendingAppend = {
  readonly entries: readonly JournalEntry[];
  readonly acknowledgedBy: readonly string[];
  readonly callerId: number;
  readonly requestedAt: number;
  readonly lastSentAt: number;
  readonly answerBody: unknown;
};

export type PendingRequest =
  | { readonly kind: 'poll'; readonly replica: string; readonly sentAt: number }
  /**
   * Asks a replica that need have no place for the members, and this machine's own for its disk.
   */
  | { readonly kind: 'look-up'; readonly address: string }
  | { readonly kind: 'read-register'; readonly key: WatchedRegister; readonly sentAt: number }
  | {
      readonly kind: 'vote';
      readonly key: string;
      readonly replica: string;
      readonly phase: 'prepare' | 'accept';
      readonly proposalNumber: ProposalNumber;
    }
  | { readonly kind: 'append-entries'; readonly appendId: number; readonly replica: string }
  | { readonly kind: 'exchange'; readonly to: string; readonly peer: string | null }
  | { readonly kind: 'push' }
  | {
      readonly kind: 'restore';
      readonly replica: string;
      readonly epoch: number;
      readonly restoredCount: number;
    }
  | { readonly kind: 'ping'; readonly peerId: string; readonly sentAt: number };

export type AgentState = {
  readonly self: NodeIdentity;
  readonly incarnation: string;
  readonly seeds: readonly string[];
  /** Where members found themselves from seeds; null where the settings name every founder. */
  readonly bootstrap: AgentBootstrap | null;
  readonly startedAt: number;
  /** This machine's own replica as it last answered. */
  readonly ownReplica: {
    readonly diskId: string;
    readonly isBlank: boolean;
    readonly at: number;
  } | null;
  /**
   * OriginStandIn replicas that answered a call of this agent, by address: its own proof that they
   * live.
   */
  readonly spares: Readonly<Record<string, { readonly diskId: string; readonly at: number }>>;
  readonly randomSeed: number;
  readonly now: number;
  readonly nextRequestId: number;
  readonly pendingRequests: Readonly<Record<number, PendingRequest>>;
  readonly replicas: Readonly<Record<string, ReplicaView>>;
  readonly registers: {
    readonly [K in WatchedRegister]?: {
      readonly proposalNumber: ProposalNumber;
      readonly value: unknown;
      readonly at: number;
    };
  };
  readonly highestProposalNumber: ProposalNumber;
  /** The newest value fetched of a register, until pulls show whether it is chosen. */
  readonly fetchedValues: {
    readonly [K in WatchedRegister]?: {
      readonly proposalNumber: ProposalNumber;
      readonly value: unknown;
    };
  };
  /** The newest ballot of a register that only a minority showed, and since when. */
  readonly incompleteWrites: {
    readonly [K in WatchedRegister]?: {
      readonly proposalNumber: ProposalNumber;
      readonly since: number;
    };
  };
  /** Monotonic ms until which this node may act on what it knows. */
  readonly leaseUntil: number;
  /** When the last beat came, and when one last came late. */
  readonly lastTickAt: number;
  readonly lastLateTickAt: number;
  /** When a replica that had been silent last answered again. */
  readonly lastReplicaReturnAt: number;
  readonly cacheFlushCount: number;
  readonly entries: readonly (JournalEntry & { readonly seq: number; readonly at: number })[];
  readonly entryKeys: Readonly<Record<string, true>>;
  readonly lastEntrySequence: number;
  /** Keys of facts that this node saw a majority of disks take. */
  readonly committedEntryKeys: Readonly<Record<string, true>>;
  /** When this node learnt that a zone's origins were taken back. */
  readonly zonesRestoredAt: Readonly<Record<string, number>>;
  /** The newest span of them first. */
  readonly claimSpans: readonly Claims[];
  readonly claimSpanStartedAt: number;
  readonly pendingChanges: Readonly<Record<number, PendingChange>>;
  /** The ballots under way, by register. */
  readonly activeProposals: Readonly<Record<string, ActiveProposal>>;
  /** Revisions of registers, and when this node learnt of them. */
  readonly learntRevisions: Readonly<Record<Identified, readonly LearntRevision[]>>;
  readonly pendingAppends: Readonly<Record<number, PendingAppend>>;
  readonly gossip: GossipState;
  readonly delaysByPeer: Readonly<Record<string, readonly number[]>>;
  readonly proxyReport: { readonly proxyReport: ProxyReport; readonly at: number } | null;
  /** Parts of the feed as they were last told to the proxy. */
  readonly lastFeedParts: {
    readonly [K in FeedPart]?: {
      readonly revision: number;
      readonly value: unknown;
      readonly text: string;
    };
  };
  readonly announcedVector: Vector | null;
  readonly vectorAnnouncedAt: number;
  readonly vectorAnnouncementCount: number;
  readonly routingTable: Split;
  /** When the split was last looked at. */
  readonly routingTableCheckedAt: number;
  readonly isRoutingTableStale: boolean;
  /** The nodes that the split was computed over. */
  readonly routingTableNodes: string;
  readonly routingTableCount: number;
  readonly allocationSeen: { readonly term: number; readonly beat: number; readonly at: number };
  readonly quotaLeadership: {
    readonly term: number;
    readonly precedingAllocations: readonly {
      readonly slices: Readonly<Record<string, Slices>>;
      readonly until: number;
    }[];
  } | null;
  readonly nextDueAt: Readonly<
    Record<'pull' | 'gossip' | 'heartbeat' | 'division' | 'ping' | 'sweep', number>
  >;
};

/** What a reducer works with inside one step; the states themselves never change. */
export type Transition = { state: AgentState; readonly effects: AgentEffect[] };

export const update = (transition: Transition, change: Partial<AgentState>): void => {
  transition.state = { ...transition.state, ...change };
};

/** A number in [0, 1) from the state's own seed, so that the same seed gives the same run. */
export const nextRandom = (transition: Transition): number => {
  const next = (transition.state.randomSeed + 0x6d2b79f5) | 0;
  update(transition, { randomSeed: next });
  let mixed = Math.imul(next ^ (next >>> 15), 1 | next);
  mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
  return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
};

export const takeRequestId = (transition: Transition): number => {
  const id = transition.state.nextRequestId;
  update(transition, { nextRequestId: id + 1 });
  return id;
};

const sendTo = (
  transition: Transition,
  pending: PendingRequest,
  part:
    | { readonly to: string; readonly path: '/replica'; readonly request: ReplicaRequest }
    | { readonly to: string; readonly path: '/agent'; readonly request: AgentRequest },
): number => {
  const id = takeRequestId(transition);
  update(transition, { pendingRequests: { ...transition.state.pendingRequests, [id]: pending } });
  transition.effects.push({ kind: 'send-request', requestId: id, ...part });
  return id;
};

export const sendToAgent = (
  transition: Transition,
  to: string,
  request: AgentRequest,
  pending: PendingRequest,
): number => sendTo(transition, pending, { to, path: '/agent', request });

/** Asks a replica, with the members that the answer will be counted by. */
export const sendToReplica = (
  transition: Transition,
  to: string,
  call: ReplicaOperation,
  pending: PendingRequest,
): number =>
  sendTo(transition, pending, {
    to,
    path: '/replica',
    request: {
      membership: committedMembershipOf(transition.state),
      operation: call,
      ...(Object.keys(liveSpares(transition.state)).length > 0
        ? { hasLiveSpare: true as const }
        : {}),
    },
  });

/** OriginStandIn replicas that answered this agent lately. */
export const liveSpares = (state: AgentState): AgentState['spares'] =>
  Object.fromEntries(
    Object.entries(state.spares).filter(([, { at }]) => state.now - at < Limits.spareHeard),
  );

export const newReplicaView = (address: string, now: number): ReplicaView => ({
  address,
  cursor: null,
  pollId: null,
  lastPolledAt: -Infinity,
  lastMemberReplyAt: now,
  lastPollReply: null,
  lastReplyAt: now,
  countedPolls: null,
  newerMembership: null,
  unansweredPolls: 0,
  isStopping: false,
  restoreProgress: null,
});

/** Whether changes may be acknowledged: not while the loss of `losses` disks could undo them. */
export const toleratesLosses = (state: AgentState): boolean =>
  state.bootstrap === null ||
  Object.keys(committedMembershipOf(state)?.value.disks ?? {}).length >=
    2 * state.bootstrap.losses + 1;

/** The members known to be chosen. */
export const committedMembershipOf = (state: AgentState): CommittedMembership | null => {
  const known = state.registers.members;
  return known === undefined
    ? null
    : { proposalNumber: known.proposalNumber, value: known.value as Membership };
};

/** Whether an answer counts: it must come from the disk that holds the replica's place. */
export const isDiskOfMember = (state: AgentState, replica: string, disk: string): boolean =>
  committedMembershipOf(state)?.value.disks[replica] === disk;

export const without = <T>(
  table: Readonly<Record<number | string, T>>,
  key: number | string,
): Readonly<Record<number | string, T>> => {
  const { [key]: _gone, ...rest } = table;
  return rest;
};

export const log = (
  transition: Transition,
  event: string,
  fields: Readonly<Record<string, string | number | boolean>> = {},
): void => {
  transition.effects.push({ kind: 'log', event, fields });
};

/** Whether beats stopped for a while until now: whatever waits here waited for that. */
export const isTickLate = (state: AgentState): boolean =>
  state.now - state.lastTickAt > Limits.lateBeat;

/** Notes that a beat came, and whether it came late. */
export const noteTick = (transition: Transition): void => {
  const { state } = transition;
  update(transition, {
    lastTickAt: state.now,
    lastLateTickAt: isTickLate(state) ? state.now : state.lastLateTickAt,
  });
};

export const policyOf = (state: AgentState): PolicyRegister | null =>
  (state.registers.policy?.value ?? null) as PolicyRegister | null;
/** What the zones register holds; one written before orders for origins alone has fewer fields. */
export const zonesValueOf = (value: unknown): ZonesRegister => {
  const known = (value ?? {}) as Partial<ZonesRegister>;
  const emptied = known.emptied ?? [];
  return {
    revision: known.revision ?? 0,
    emptied,
    closedOrigins: known.closedOrigins ?? emptied,
    reopened: known.reopened ?? {},
    lastOrders: known.lastOrders ?? {},
    changes: known.changes ?? [],
  };
};
export const zonesOf = (state: AgentState): ZonesRegister | null =>
  state.registers.zones === undefined ? null : zonesValueOf(state.registers.zones.value);
/** Zones whose origins get nothing. */
export const zonesWithClosedOrigins = (state: AgentState): readonly string[] =>
  zonesOf(state)?.closedOrigins ?? [];
export const quotaAllocationOf = (state: AgentState): Plan | null =>
  (state.registers.plan?.value ?? null) as Plan | null;
