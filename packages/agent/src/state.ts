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
  ZonesValue,
  AgentCall,
  AgentEffect,
  AgentVoting,
  PolicyValue,
  Report,
  Self,
} from './terms.js';

/** The registers that every agent watches. */
export const watched = ['members', 'policy', 'zones', 'plan'] as const;
export type Watched = (typeof watched)[number];

/** What a replica's last answer to a pull came to. */
export type ReplicaOutcome =
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
export type ReplicaAnswer = {
  readonly at: number;
  readonly disk: string;
  readonly outcome: ReplicaOutcome;
};

/**
 * What one counted pull showed: when it was sent, whether facts are left out, and the ballots
 * accepted by then.
 */
export type PullSeen = {
  readonly sentAt: number;
  readonly more: boolean;
  readonly acceptedNumbers: Readonly<Record<string, ProposalNumber>>;
  /** Registers whose value the replica copied from another: it has not voted for it. */
  readonly copied?: readonly string[];
};

/**
 * The newest counted pull, and those before it that may still carry the lease, the newest first.
 */
export type Pulled = PullSeen & { readonly earlier: readonly PullSeen[] };

/** How one replica was last seen. */
export type ReplicaView = {
  readonly address: string;
  readonly cursor: JournalCursor | null;
  readonly call: number | null;
  readonly askedAt: number;
  /** When it last answered anything, or was first known. */
  readonly heardAt: number;
  /** How it last answered a pull; null before the first answer. */
  readonly answered: ReplicaAnswer | null;
  /**
   * When any answer last came from its address, whether or not it counted, or when it was first
   * known.
   */
  readonly answeredAt: number;
  /** The counted pulls; null where none counts any more. */
  readonly pulled: Pulled | null;
  /** The members that it named when it found ours out of date. */
  readonly named: CommittedMembership | null;
  /** Pulls that were sent since it last answered one. */
  readonly unanswered: number;
  /** Whether it last said that it was told to stop. */
  readonly leaving: boolean;
  /** How much of what this node knows was told again to this replica, in its present recovering. */
  readonly restored: {
    readonly epoch: number;
    readonly told: Told;
    readonly count: number;
    readonly sentAt: number;
  } | null;
};

/** What this node knows to have been chosen, as it was when a replica first asked. */
export type Told = {
  readonly cells: readonly (readonly [
    string,
    { readonly proposalNumber: ProposalNumber; readonly value: unknown },
  ])[];
  readonly facts: readonly JournalEntry[];
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
  | { readonly kind: 'plan'; readonly goal: Plan }
  | { readonly kind: 'claim'; readonly id: number }
  | { readonly kind: 'settle'; readonly id: number }
  | { readonly kind: 'repair' }
  | {
      readonly kind: 'seat';
      readonly replica: string;
      readonly disk: string;
      /** Whose place it is, where another machine gives it up. */ readonly instead?: string;
    };

/** One change that is to be made to a register, until its ballot is decided or its time is over. */
export type ProposalRun = {
  readonly key: string;
  readonly change: RegisterChange;
  readonly purpose: Purpose;
  readonly openedAt: number;
  /** What the register held when this change was first applied, once that is known. */
  readonly firstRead: { readonly value: unknown } | null;
  /** Its caller is gone: no further ballot is opened for it. */
  readonly isAbandoned: boolean;
};

/** A change that is part of a ballot. */
export type IncludedChange = { readonly id: number; readonly proposalRun: ProposalRun };

/** How often a ballot was outvoted, and how often too few answered in time. */
export type Retries = { readonly outvoted: number; readonly timedOut: number };

/**
 * The one ballot that this node has under way for a register, for all changes that waited when it
 * was opened.
 */
export type BallotRun = {
  readonly proposal: Proposal;
  /** The changes that it makes, as they were when it was opened. */
  readonly included: readonly IncludedChange[];
  /** When its present phase began, and when its calls were last sent. */
  readonly phaseAt: number;
  readonly sentAt: number;
  /** How often they were sent again in this phase. */
  readonly resends: number;
  /** How often it was opened anew, by reason. */
  readonly retries: Retries;
  /** When it is opened anew after it was outvoted. */
  readonly retryAt: number | null;
};

export type Posting = {
  readonly facts: readonly JournalEntry[];
  readonly acks: readonly string[];
  readonly id: number;
  readonly openedAt: number;
  readonly sentAt: number;
  readonly done: unknown;
};

export type Pending =
  | { readonly kind: 'pull'; readonly replica: string; readonly sentAt: number }
  /**
   * Asks a replica that need have no place for the members, and this machine's own for its disk.
   */
  | { readonly kind: 'look'; readonly address: string }
  | { readonly kind: 'fetch'; readonly key: Watched; readonly sentAt: number }
  | {
      readonly kind: 'vote';
      readonly key: string;
      readonly replica: string;
      readonly phase: 'prepare' | 'accept';
      readonly proposalNumber: ProposalNumber;
    }
  | { readonly kind: 'post'; readonly posting: number; readonly replica: string }
  | { readonly kind: 'exchange'; readonly to: string; readonly peer: string | null }
  | { readonly kind: 'push' }
  | {
      readonly kind: 'restore';
      readonly replica: string;
      readonly epoch: number;
      readonly upTo: number;
    }
  | { readonly kind: 'ping'; readonly edge: string; readonly sentAt: number };

export type AgentState = {
  readonly self: Self;
  readonly life: string;
  readonly seeds: readonly string[];
  /** Where members found themselves from seeds; null where the settings name every founder. */
  readonly voting: AgentVoting | null;
  readonly openedAt: number;
  /** This machine's own replica as it last answered. */
  readonly ownReplica: {
    readonly disk: string;
    readonly fresh: boolean;
    readonly at: number;
  } | null;
  /**
   * OriginStandIn replicas that answered a call of this agent, by address: its own proof that they
   * live.
   */
  readonly spares: Readonly<Record<string, { readonly disk: string; readonly at: number }>>;
  readonly seed: number;
  readonly now: number;
  readonly nextId: number;
  readonly pending: Readonly<Record<number, Pending>>;
  readonly replicas: Readonly<Record<string, ReplicaView>>;
  readonly registers: {
    readonly [K in Watched]?: {
      readonly proposalNumber: ProposalNumber;
      readonly value: unknown;
      readonly at: number;
    };
  };
  readonly highestBallot: ProposalNumber;
  /** The newest value fetched of a register, until pulls show whether it is chosen. */
  readonly candidates: {
    readonly [K in Watched]?: { readonly proposalNumber: ProposalNumber; readonly value: unknown };
  };
  /** The newest ballot of a register that only a minority showed, and since when. */
  readonly hanging: {
    readonly [K in Watched]?: { readonly proposalNumber: ProposalNumber; readonly since: number };
  };
  /** Monotonic ms until which this node may act on what it knows. */
  readonly lease: number;
  /** When the last beat came, and when one last came late. */
  readonly beatAt: number;
  readonly lateAt: number;
  /** When a replica that had been silent last answered again. */
  readonly returnedAt: number;
  readonly flushes: number;
  readonly facts: readonly (JournalEntry & { readonly seq: number; readonly at: number })[];
  readonly factKeys: Readonly<Record<string, true>>;
  readonly factSeq: number;
  /** Keys of facts that this node saw a majority of disks take. */
  readonly posted: Readonly<Record<string, true>>;
  /** When this node learnt that a zone's origins were taken back. */
  readonly reopened: Readonly<Record<string, number>>;
  /** The newest span of them first. */
  readonly claims: readonly Claims[];
  readonly claimsFrom: number;
  readonly proposalRuns: Readonly<Record<number, ProposalRun>>;
  /** The ballots under way, by register. */
  readonly runs: Readonly<Record<string, BallotRun>>;
  /** Revisions of registers, and when this node learnt of them. */
  readonly learntRevisions: Readonly<Record<Identified, readonly LearntRevision[]>>;
  readonly postings: Readonly<Record<number, Posting>>;
  readonly gossip: GossipState;
  readonly delays: Readonly<Record<string, readonly number[]>>;
  readonly report: { readonly report: Report; readonly at: number } | null;
  /** Parts of the feed as they were last told to the proxy. */
  readonly fedParts: {
    readonly [K in FeedPart]?: {
      readonly revision: number;
      readonly value: unknown;
      readonly text: string;
    };
  };
  readonly sent: Vector | null;
  readonly sentAt: number;
  readonly notices: number;
  readonly split: Split;
  /** When the split was last looked at. */
  readonly splitAt: number;
  readonly splitStale: boolean;
  /** The nodes that the split was computed over. */
  readonly splitOver: string;
  readonly splits: number;
  readonly planSeen: { readonly term: number; readonly beat: number; readonly at: number };
  readonly quotaLeadership: {
    readonly term: number;
    readonly held: readonly {
      readonly slices: Readonly<Record<string, Slices>>;
      readonly until: number;
    }[];
  } | null;
  readonly due: Readonly<
    Record<'pull' | 'gossip' | 'heartbeat' | 'division' | 'ping' | 'sweep', number>
  >;
};

/** What a reducer works with inside one step; the states themselves never change. */
export type Work = { state: AgentState; readonly effects: AgentEffect[] };

export const set = (work: Work, change: Partial<AgentState>): void => {
  work.state = { ...work.state, ...change };
};

/** A number in [0, 1) from the state's own seed, so that the same seed gives the same run. */
export const chance = (work: Work): number => {
  const next = (work.state.seed + 0x6d2b79f5) | 0;
  set(work, { seed: next });
  let mixed = Math.imul(next ^ (next >>> 15), 1 | next);
  mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
  return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
};

export const takeId = (work: Work): number => {
  const id = work.state.nextId;
  set(work, { nextId: id + 1 });
  return id;
};

const sendTo = (
  work: Work,
  pending: Pending,
  part:
    | { readonly to: string; readonly path: '/replica'; readonly body: ReplicaRequest }
    | { readonly to: string; readonly path: '/agent'; readonly body: AgentCall },
): number => {
  const id = takeId(work);
  set(work, { pending: { ...work.state.pending, [id]: pending } });
  work.effects.push({ kind: 'call', id, ...part });
  return id;
};

export const send = (work: Work, to: string, body: AgentCall, pending: Pending): number =>
  sendTo(work, pending, { to, path: '/agent', body });

/** Asks a replica, with the members that the answer will be counted by. */
export const sendToReplica = (
  work: Work,
  to: string,
  call: ReplicaOperation,
  pending: Pending,
): number =>
  sendTo(work, pending, {
    to,
    path: '/replica',
    body: {
      membership: membersOf(work.state),
      operation: call,
      ...(Object.keys(liveSpares(work.state)).length > 0 ? { hasLiveSpare: true as const } : {}),
    },
  });

/** OriginStandIn replicas that answered this agent lately. */
export const liveSpares = (state: AgentState): AgentState['spares'] =>
  Object.fromEntries(
    Object.entries(state.spares).filter(([, { at }]) => state.now - at < Limits.spareHeard),
  );

export const replicaView = (address: string, now: number): ReplicaView => ({
  address,
  cursor: null,
  call: null,
  askedAt: -Infinity,
  heardAt: now,
  answered: null,
  answeredAt: now,
  pulled: null,
  named: null,
  unanswered: 0,
  leaving: false,
  restored: null,
});

/** Whether changes may be acknowledged: not while the loss of `losses` disks could undo them. */
export const bearsLosses = (state: AgentState): boolean =>
  state.voting === null ||
  Object.keys(membersOf(state)?.value.disks ?? {}).length >= 2 * state.voting.losses + 1;

/** The members known to be chosen. */
export const membersOf = (state: AgentState): CommittedMembership | null => {
  const known = state.registers.members;
  return known === undefined
    ? null
    : { proposalNumber: known.proposalNumber, value: known.value as Membership };
};

/** Whether an answer counts: it must come from the disk that holds the replica's place. */
export const counts = (state: AgentState, replica: string, disk: string): boolean =>
  membersOf(state)?.value.disks[replica] === disk;

export const without = <T>(
  table: Readonly<Record<number | string, T>>,
  key: number | string,
): Readonly<Record<number | string, T>> => {
  const { [key]: _gone, ...rest } = table;
  return rest;
};

export const log = (
  work: Work,
  event: string,
  fields: Readonly<Record<string, string | number | boolean>> = {},
): void => {
  work.effects.push({ kind: 'log', event, fields });
};

/** Whether beats stopped for a while until now: whatever waits here waited for that. */
export const isLate = (state: AgentState): boolean => state.now - state.beatAt > Limits.lateBeat;

/** Notes that a beat came, and whether it came late. */
export const noteBeat = (work: Work): void => {
  const { state } = work;
  set(work, { beatAt: state.now, lateAt: isLate(state) ? state.now : state.lateAt });
};

export const policyOf = (state: AgentState): PolicyValue | null =>
  (state.registers.policy?.value ?? null) as PolicyValue | null;
/** What the zones register holds; one written before orders for origins alone has fewer fields. */
export const zonesValueOf = (value: unknown): ZonesValue => {
  const known = (value ?? {}) as Partial<ZonesValue>;
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
export const zonesOf = (state: AgentState): ZonesValue | null =>
  state.registers.zones === undefined ? null : zonesValueOf(state.registers.zones.value);
/** Zones whose origins get nothing. */
export const closedOf = (state: AgentState): readonly string[] =>
  zonesOf(state)?.closedOrigins ?? [];
export const planOf = (state: AgentState): Plan | null =>
  (state.registers.plan?.value ?? null) as Plan | null;
