/** Maps requests and replies between their types in `messages.ts` and their wire format. */
import {
  decodeAcceptedValue,
  decodeProposalNumber,
  decodeRegister,
  decodeVote,
  encodeAcceptedValue,
  encodeProposalNumber,
  encodeRegister,
  encodeVote,
} from '@reedyard/consensus';
import type { ProposalNumber } from '@reedyard/consensus';
import type {
  JournalCursor,
  JournalEntry,
  ReplicaRequest,
  ReplicaOperation,
  ReplicaReply,
} from '../messages.js';
import { ReplicaProtocolError } from './errors.js';
import { decodeMembership, encodeMembership } from './wire-membership.js';
import type {
  WireCursor,
  WireEntry,
  WireOperation,
  WireReply,
  WireRequest,
} from './wire-format.js';

const encodeEntry = ({ key, value }: JournalEntry): WireEntry => ({ key, value });

const decodeEntry = ({ key, value }: WireEntry): JournalEntry => ({ key, value });

const encodeCursor = (cursor: JournalCursor): WireCursor => ({
  disk: cursor.diskId,
  seq: cursor.sequence,
});

const decodeCursor = (cursor: WireCursor): JournalCursor => ({
  diskId: cursor.disk,
  sequence: cursor.seq,
});

const mapValues = <From, To>(
  table: Readonly<Record<string, From>>,
  map: (value: From) => To,
): Readonly<Record<string, To>> =>
  Object.fromEntries(Object.entries(table).map(([key, value]) => [key, map(value)]));

const encodeOperation = (operation: ReplicaOperation): WireOperation => {
  switch (operation.kind) {
    case 'prepare':
      return {
        kind: 'prepare',
        key: operation.key,
        ballot: encodeProposalNumber(operation.proposalNumber),
      };
    case 'accept':
      return {
        kind: 'accept',
        key: operation.key,
        ballot: encodeProposalNumber(operation.proposalNumber),
        value: operation.value,
        disk: operation.diskId,
      };
    case 'append-entries':
      return { kind: 'post', facts: operation.entries.map(encodeEntry) };
    case 'poll':
      return {
        kind: 'pull',
        cursor: operation.cursor === null ? null : encodeCursor(operation.cursor),
        keys: operation.keys,
      };
    case 'read-register':
      return { kind: 'fetch', key: operation.key };
    case 'read-page':
      return { kind: 'dump', after: operation.after };
    case 'restore':
      return {
        kind: 'restore',
        cells: operation.registers.map(([key, accepted]) => [key, encodeAcceptedValue(accepted)]),
        facts: operation.entries.map(encodeEntry),
      };
  }
};

const decodeOperation = (operation: WireOperation): ReplicaOperation => {
  switch (operation.kind) {
    case 'prepare':
      return {
        kind: 'prepare',
        key: operation.key,
        proposalNumber: decodeProposalNumber(operation.ballot),
      };
    case 'accept':
      return {
        kind: 'accept',
        key: operation.key,
        proposalNumber: decodeProposalNumber(operation.ballot),
        value: operation.value,
        diskId: operation.disk,
      };
    case 'post':
      return { kind: 'append-entries', entries: operation.facts.map(decodeEntry) };
    case 'pull':
      return {
        kind: 'poll',
        cursor: operation.cursor === null ? null : decodeCursor(operation.cursor),
        keys: operation.keys,
      };
    case 'fetch':
      return { kind: 'read-register', key: operation.key };
    case 'dump':
      return { kind: 'read-page', after: operation.after };
    case 'restore':
      return {
        kind: 'restore',
        registers: operation.cells.map(([key, accepted]) => [key, decodeAcceptedValue(accepted)]),
        entries: operation.facts.map(decodeEntry),
      };
    default:
      throw unknownMessage('request', operation satisfies never);
  }
};

const unknownMessage = (
  messageType: string,
  message: { readonly kind?: unknown },
): ReplicaProtocolError =>
  new ReplicaProtocolError('unknown-message', `unknown ${messageType}: ${String(message.kind)}`);

/** Encodes a request for the wire. */
export const encodeReplicaRequest = (request: ReplicaRequest): WireRequest => ({
  members: request.membership === null ? null : encodeMembership(request.membership),
  call: encodeOperation(request.operation),
  ...(request.hasLiveSpare === true ? { spare: true } : {}),
});

/**
 * Decodes a request.
 *
 * @throws ReplicaProtocolError `unknown-message` if this version does not know the operation
 */
export const decodeReplicaRequest = (body: unknown): ReplicaRequest => {
  const request = body as WireRequest;
  return {
    membership: request.members === null ? null : decodeMembership(request.members),
    operation: decodeOperation(request.call),
    ...(request.spare === true ? { hasLiveSpare: true } : {}),
  };
};

type Polled<Reply> = Extract<Reply, { readonly kind: 'pulled' }>;

const encodePolled = (reply: Extract<ReplicaReply, { kind: 'polled' }>): Polled<WireReply> => ({
  kind: 'pulled',
  disk: reply.diskId,
  seq: reply.sequence,
  reset: reply.isReset,
  more: reply.hasMore,
  facts: reply.entries.map(encodeEntry),
  ballots: mapValues(reply.acceptedNumbers, encodeProposalNumber),
  ...(reply.copiedKeys === undefined ? {} : { copied: reply.copiedKeys }),
  ...(reply.isStopping === true ? { leaving: true } : {}),
  ...(reply.isReadOnly === true ? { readOnly: true } : {}),
});

const decodePolled = (reply: Polled<WireReply>): Extract<ReplicaReply, { kind: 'polled' }> => ({
  kind: 'polled',
  diskId: reply.disk,
  sequence: reply.seq,
  isReset: reply.reset,
  hasMore: reply.more,
  entries: reply.facts.map(decodeEntry),
  acceptedNumbers: mapValues<Polled<WireReply>['ballots'][string], ProposalNumber>(
    reply.ballots,
    decodeProposalNumber,
  ),
  ...(reply.copied === undefined ? {} : { copiedKeys: reply.copied }),
  ...(reply.leaving === true ? { isStopping: true } : {}),
  ...(reply.readOnly === true ? { isReadOnly: true } : {}),
});

/** Encodes a reply for the wire. */
export const encodeReplicaReply = (reply: ReplicaReply): WireReply => {
  const { diskId: disk } = reply;
  switch (reply.kind) {
    case 'not-a-member':
      return { kind: 'away', disk, fresh: reply.isBlank, informed: reply.knowsMembership };
    case 'newer-membership':
      return {
        kind: 'stale',
        disk,
        members: reply.membership === null ? null : encodeMembership(reply.membership),
      };
    case 'vote':
      return { kind: 'vote', disk, vote: encodeVote(reply.vote) };
    case 'unavailable':
      return { kind: 'unavailable', disk };
    case 'too-many-claims':
      return { kind: 'full', disk };
    case 'entries-appended':
      return { kind: 'posted', disk };
    case 'recovering':
      return { kind: 'recovering', disk, epoch: reply.epoch };
    case 'restored':
      return { kind: 'restored', disk };
    case 'polled':
      return encodePolled(reply);
    case 'register-read':
      return {
        kind: 'fetched',
        disk,
        accepted: reply.accepted === null ? null : encodeAcceptedValue(reply.accepted),
      };
    case 'page-read':
      return {
        kind: 'dumped',
        disk,
        members: reply.membership === null ? null : encodeMembership(reply.membership),
        next: reply.nextPage,
        cells: reply.registers.map(([key, register]) => [key, encodeRegister(register)]),
        facts: reply.entries.map(encodeEntry),
      };
  }
};

/**
 * Decodes a reply.
 *
 * @throws ReplicaProtocolError `unknown-message` if this version does not know the reply
 */
export const decodeReplicaReply = (body: unknown): ReplicaReply => {
  const reply = body as WireReply;
  const { disk } = reply;
  switch (reply.kind) {
    case 'away':
      return {
        kind: 'not-a-member',
        diskId: disk,
        isBlank: reply.fresh,
        knowsMembership: reply.informed,
      };
    case 'stale':
      return {
        kind: 'newer-membership',
        diskId: disk,
        membership: reply.members === null ? null : decodeMembership(reply.members),
      };
    case 'vote':
      return { kind: 'vote', diskId: disk, vote: decodeVote(reply.vote) };
    case 'unavailable':
      return { kind: 'unavailable', diskId: disk };
    case 'full':
      return { kind: 'too-many-claims', diskId: disk };
    case 'posted':
      return { kind: 'entries-appended', diskId: disk };
    case 'recovering':
      return { kind: 'recovering', diskId: disk, epoch: reply.epoch };
    case 'restored':
      return { kind: 'restored', diskId: disk };
    case 'pulled':
      return decodePolled(reply);
    case 'fetched':
      return {
        kind: 'register-read',
        diskId: disk,
        accepted: reply.accepted === null ? null : decodeAcceptedValue(reply.accepted),
      };
    case 'dumped':
      return {
        kind: 'page-read',
        diskId: disk,
        membership: reply.members === null ? null : decodeMembership(reply.members),
        nextPage: reply.next,
        registers: reply.cells.map(([key, register]) => [key, decodeRegister(register)]),
        entries: reply.facts.map(decodeEntry),
      };
    default:
      throw unknownMessage('reply', reply satisfies never);
  }
};
