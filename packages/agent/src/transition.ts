/** The context of one reducer step, and the helpers that update state, send requests and log. */

import type { ReplicaOperation, ReplicaRequest } from '@reedyard/replica';
import { committedMembershipOf } from './control/registers.js';
import { liveSpares } from './membership/live-spares.js';
import type { AgentEffect, AgentRequest } from './messages.js';
import type { AgentState, PendingRequest } from './state.js';

/** The context of one reducer step: the current immutable state, and the effects so far. */
export type Transition = { state: AgentState; readonly effects: AgentEffect[] };

/** Replaces the state by one with the given fields changed. */
export const update = (transition: Transition, change: Partial<AgentState>): void => {
  transition.state = { ...transition.state, ...change };
};

/** A random number in [0, 1) from the seed in the state, so that runs with the same seed are equal. */
export const nextRandom = (transition: Transition): number => {
  const next = (transition.state.randomSeed + 0x6d2b79f5) | 0;
  update(transition, { randomSeed: next });
  let mixed = Math.imul(next ^ (next >>> 15), 1 | next);
  mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
  return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
};

/** Reserves the id of the next request. */
export const takeRequestId = (transition: Transition): number => {
  const id = transition.state.nextRequestId;
  update(transition, { nextRequestId: id + 1 });
  return id;
};

const sendTo = (
  transition: Transition,
  pending: PendingRequest,
  destination:
    | { readonly to: string; readonly path: '/replica'; readonly request: ReplicaRequest }
    | { readonly to: string; readonly path: '/agent'; readonly request: AgentRequest },
): number => {
  const id = takeRequestId(transition);
  update(transition, { pendingRequests: { ...transition.state.pendingRequests, [id]: pending } });
  transition.effects.push({ kind: 'send-request', requestId: id, ...destination });
  return id;
};

/** Sends a request to another agent and returns its id. */
export const sendToAgent = (
  transition: Transition,
  to: string,
  request: AgentRequest,
  pending: PendingRequest,
): number => sendTo(transition, pending, { to, path: '/agent', request });

/** Sends an operation to a replica, with the membership that its reply will be counted by. */
export const sendToReplica = (
  transition: Transition,
  to: string,
  operation: ReplicaOperation,
  pending: PendingRequest,
): number =>
  sendTo(transition, pending, {
    to,
    path: '/replica',
    request: {
      membership: committedMembershipOf(transition.state),
      operation,
      ...(Object.keys(liveSpares(transition.state)).length > 0
        ? { hasLiveSpare: true as const }
        : {}),
    },
  });

/** Adds an effect that writes an event to the log. */
export const log = (
  transition: Transition,
  event: string,
  fields: Readonly<Record<string, string | number | boolean>> = {},
): void => {
  transition.effects.push({ kind: 'log', event, fields });
};
