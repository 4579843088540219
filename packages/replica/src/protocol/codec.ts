/** Maps requests and replies between their types in this project and their form on the wire. */
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
import type { Ballot } from '@reedyard/consensus';
import type { Cursor, Fact, ReplicaAsk, ReplicaCall, ReplicaReply } from '../messages.js';
import { ReplicaProtocolError } from './errors.js';
import { decodeMembership, encodeMembership } from './wire-membership.js';
import type {
  WireCursor,
  WireEntry,
  WireOperation,
  WireReply,
  WireRequest,
} from './wire-format.js';

const encodeEntry = ({ key, value }: Fact): WireEntry => ({ key, value });

const decodeEntry = ({ key, value }: WireEntry): Fact => ({ key, value });

const encodeCursor = (cursor: Cursor): WireCursor => ({ disk: cursor.disk, seq: cursor.seq });

const decodeCursor = (cursor: WireCursor): Cursor => ({ disk: cursor.disk, seq: cursor.seq });

const mapValues = <From, To>(
  table: Readonly<Record<string, From>>,
  map: (value: From) => To,
): Readonly<Record<string, To>> =>
  Object.fromEntries(Object.entries(table).map(([key, value]) => [key, map(value)]));

const encodeOperation = (call: ReplicaCall): WireOperation => {
  switch (call.kind) {
    case 'prepare':
      return { kind: 'prepare', key: call.key, ballot: encodeProposalNumber(call.ballot) };
    case 'accept':
      return {
        kind: 'accept',
        key: call.key,
        ballot: encodeProposalNumber(call.ballot),
        value: call.value,
        disk: call.disk,
      };
    case 'post':
      return { kind: 'post', facts: call.facts.map(encodeEntry) };
    case 'pull':
      return {
        kind: 'pull',
        cursor: call.cursor === null ? null : encodeCursor(call.cursor),
        keys: call.keys,
      };
    case 'fetch':
      return { kind: 'fetch', key: call.key };
    case 'dump':
      return { kind: 'dump', after: call.after };
    case 'restore':
      return {
        kind: 'restore',
        cells: call.cells.map(([key, accepted]) => [key, encodeAcceptedValue(accepted)]),
        facts: call.facts.map(encodeEntry),
      };
  }
};

const decodeOperation = (call: WireOperation): ReplicaCall => {
  switch (call.kind) {
    case 'prepare':
      return { kind: 'prepare', key: call.key, ballot: decodeProposalNumber(call.ballot) };
    case 'accept':
      return {
        kind: 'accept',
        key: call.key,
        ballot: decodeProposalNumber(call.ballot),
        value: call.value,
        disk: call.disk,
      };
    case 'post':
      return { kind: 'post', facts: call.facts.map(decodeEntry) };
    case 'pull':
      return {
        kind: 'pull',
        cursor: call.cursor === null ? null : decodeCursor(call.cursor),
        keys: call.keys,
      };
    case 'fetch':
      return { kind: 'fetch', key: call.key };
    case 'dump':
      return { kind: 'dump', after: call.after };
    case 'restore':
      return {
        kind: 'restore',
        cells: call.cells.map(([key, accepted]) => [key, decodeAcceptedValue(accepted)]),
        facts: call.facts.map(decodeEntry),
      };
    default:
      throw unknownMessage('request', call satisfies never);
  }
};

const unknownMessage = (what: string, message: { readonly kind?: unknown }): ReplicaProtocolError =>
  new ReplicaProtocolError('unknown-message', `unknown ${what}: ${String(message.kind)}`);

export const encodeReplicaRequest = (request: ReplicaAsk): WireRequest => ({
  members: request.members === null ? null : encodeMembership(request.members),
  call: encodeOperation(request.call),
  ...(request.spare === true ? { spare: true } : {}),
});

/** @throws ReplicaProtocolError `unknown-message` where this version does not know the operation */
export const decodeReplicaRequest = (body: unknown): ReplicaAsk => {
  const request = body as WireRequest;
  return {
    members: request.members === null ? null : decodeMembership(request.members),
    call: decodeOperation(request.call),
    ...(request.spare === true ? { spare: true } : {}),
  };
};

type Polled<Reply> = Extract<Reply, { readonly kind: 'pulled' }>;

const encodePolled = (reply: Extract<ReplicaReply, { kind: 'pulled' }>): Polled<WireReply> => ({
  kind: 'pulled',
  disk: reply.disk,
  seq: reply.seq,
  reset: reply.reset,
  more: reply.more,
  facts: reply.facts.map(encodeEntry),
  ballots: mapValues(reply.ballots, encodeProposalNumber),
  ...(reply.copied === undefined ? {} : { copied: reply.copied }),
  ...(reply.leaving === true ? { leaving: true } : {}),
  ...(reply.readOnly === true ? { readOnly: true } : {}),
});

const decodePolled = (reply: Polled<WireReply>): Extract<ReplicaReply, { kind: 'pulled' }> => ({
  kind: 'pulled',
  disk: reply.disk,
  seq: reply.seq,
  reset: reply.reset,
  more: reply.more,
  facts: reply.facts.map(decodeEntry),
  ballots: mapValues<Polled<WireReply>['ballots'][string], Ballot>(
    reply.ballots,
    decodeProposalNumber,
  ),
  ...(reply.copied === undefined ? {} : { copied: reply.copied }),
  ...(reply.leaving === true ? { leaving: true } : {}),
  ...(reply.readOnly === true ? { readOnly: true } : {}),
});

export const encodeReplicaReply = (reply: ReplicaReply): WireReply => {
  const { disk } = reply;
  switch (reply.kind) {
    case 'away':
      return { kind: 'away', disk, fresh: reply.fresh, informed: reply.informed };
    case 'stale':
      return {
        kind: 'stale',
        disk,
        members: reply.members === null ? null : encodeMembership(reply.members),
      };
    case 'vote':
      return { kind: 'vote', disk, vote: encodeVote(reply.vote) };
    case 'unavailable':
      return { kind: 'unavailable', disk };
    case 'full':
      return { kind: 'full', disk };
    case 'posted':
      return { kind: 'posted', disk };
    case 'recovering':
      return { kind: 'recovering', disk, epoch: reply.epoch };
    case 'restored':
      return { kind: 'restored', disk };
    case 'pulled':
      return encodePolled(reply);
    case 'fetched':
      return {
        kind: 'fetched',
        disk,
        accepted: reply.accepted === null ? null : encodeAcceptedValue(reply.accepted),
      };
    case 'dumped':
      return {
        kind: 'dumped',
        disk,
        members: reply.members === null ? null : encodeMembership(reply.members),
        next: reply.next,
        cells: reply.cells.map(([key, cell]) => [key, encodeRegister(cell)]),
        facts: reply.facts.map(encodeEntry),
      };
  }
};

/** @throws ReplicaProtocolError `unknown-message` where this version does not know the reply */
export const decodeReplicaReply = (body: unknown): ReplicaReply => {
  const reply = body as WireReply;
  const { disk } = reply;
  switch (reply.kind) {
    case 'away':
      return { kind: 'away', disk, fresh: reply.fresh, informed: reply.informed };
    case 'stale':
      return {
        kind: 'stale',
        disk,
        members: reply.members === null ? null : decodeMembership(reply.members),
      };
    case 'vote':
      return { kind: 'vote', disk, vote: decodeVote(reply.vote) };
    case 'unavailable':
      return { kind: 'unavailable', disk };
    case 'full':
      return { kind: 'full', disk };
    case 'posted':
      return { kind: 'posted', disk };
    case 'recovering':
      return { kind: 'recovering', disk, epoch: reply.epoch };
    case 'restored':
      return { kind: 'restored', disk };
    case 'pulled':
      return decodePolled(reply);
    case 'fetched':
      return {
        kind: 'fetched',
        disk,
        accepted: reply.accepted === null ? null : decodeAcceptedValue(reply.accepted),
      };
    case 'dumped':
      return {
        kind: 'dumped',
        disk,
        members: reply.members === null ? null : decodeMembership(reply.members),
        next: reply.next,
        cells: reply.cells.map(([key, cell]) => [key, decodeRegister(cell)]),
        facts: reply.facts.map(decodeEntry),
      };
    default:
      throw unknownMessage('reply', reply satisfies never);
  }
};
