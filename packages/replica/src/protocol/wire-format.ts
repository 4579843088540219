/**
 * The wire format of requests to replicas and of their replies. It must not change, since agents
 * and replicas of different versions run side by side. `codec.ts` maps it to the types of
 * `messages.ts`, and no other code in the project depends on it.
 */
import type {
  WireAcceptedValue,
  WireProposalNumber,
  WireRegister,
  WireVote,
} from '@reedyard/consensus';
import type { WireCommittedMembership } from './wire-membership.js';

/** A journal entry, as it is sent and stored. */
export type WireEntry = { readonly key: string; readonly value: unknown };

/** A position in one replica's journal, as it is sent. */
export type WireCursor = { readonly disk: string; readonly seq: number };

/** A request, with the membership by which its sender counts votes. */
export type WireRequest = {
  readonly members: WireCommittedMembership | null;
  readonly call: WireOperation;
  readonly spare?: true;
};

/** The operation of a request. */
export type WireOperation =
  | { readonly kind: 'prepare'; readonly key: string; readonly ballot: WireProposalNumber }
  | {
      readonly kind: 'accept';
      readonly key: string;
      readonly ballot: WireProposalNumber;
      readonly value: unknown;
      readonly disk: string;
    }
  | { readonly kind: 'post'; readonly facts: readonly WireEntry[] }
  | { readonly kind: 'pull'; readonly cursor: WireCursor | null; readonly keys: readonly string[] }
  | { readonly kind: 'fetch'; readonly key: string }
  | { readonly kind: 'dump'; readonly after: string | null }
  | {
      readonly kind: 'restore';
      readonly cells: readonly (readonly [string, WireAcceptedValue])[];
      readonly facts: readonly WireEntry[];
    };

/** A replica's reply, with the id of its disk. */
export type WireReply =
  | {
      readonly kind: 'away';
      readonly disk: string;
      readonly fresh: boolean;
      readonly informed: boolean;
    }
  | {
      readonly kind: 'stale';
      readonly disk: string;
      readonly members: WireCommittedMembership | null;
    }
  | { readonly kind: 'vote'; readonly disk: string; readonly vote: WireVote }
  | { readonly kind: 'unavailable'; readonly disk: string }
  | { readonly kind: 'full'; readonly disk: string }
  | { readonly kind: 'posted'; readonly disk: string }
  | { readonly kind: 'recovering'; readonly disk: string; readonly epoch: number }
  | { readonly kind: 'restored'; readonly disk: string }
  | {
      readonly kind: 'pulled';
      readonly disk: string;
      readonly seq: number;
      readonly reset: boolean;
      readonly more: boolean;
      readonly facts: readonly WireEntry[];
      readonly ballots: Readonly<Record<string, WireProposalNumber>>;
      readonly copied?: readonly string[];
      readonly leaving?: true;
      readonly readOnly?: true;
    }
  | {
      readonly kind: 'fetched';
      readonly disk: string;
      readonly accepted: WireAcceptedValue | null;
    }
  | {
      readonly kind: 'dumped';
      readonly disk: string;
      readonly members: WireCommittedMembership | null;
      readonly next: string | null;
      readonly cells: readonly (readonly [string, WireRegister])[];
      readonly facts: readonly WireEntry[];
    };
