/** What one step of the reducer works with, and how its parts send requests and log. */

import type { ReplicaOperation, ReplicaRequest } from '@reedyard/replica';
import { committedMembershipOf } from './control/registers.js';
import { liveSpares } from './membership/live-spares.js';
import type { AgentEffect, AgentRequest } from './messages.js';
import type { AgentState, PendingRequest } from './state.js';

/** What a reducer works with inside one step; the states themselves never change. */
export type Transition = { state: AgentState; readonly effects: AgentEffect[] };

/** Replaces some fields of the state. */
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

/** The id of the next request, which is used once. */
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

/** Sends a request to another agent. */
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

/** Writes a line to the log. */
export const log = (
  transition: Transition,
  event: string,
  fields: Readonly<Record<string, string | number | boolean>> = {},
): void => {
  transition.effects.push({ kind: 'log', event, fields });
};
