/**
 * Test support: an agent with five founders whose polls are answered immediately, for tests of how
 * the agent handles the replies.
 */
import type { Membership, ReplicaReply } from '@reedyard/replica';
import { learnRegister } from '../control/polling.js';
import type { AgentEffect } from '../messages.js';
import { openAgent } from '../open-agent.js';
import { reduceAgent } from '../reducer.js';
import type { AgentState } from '../state.js';
import type { Transition } from '../transition.js';

export const self = {
  id: 'core-1',
  zone: 'west',
  region: 'r',
  address: '127.0.0.1:1',
  proxy: null,
  replica: { address: '127.0.0.1:11' },
};
export const names = ['core-1', 'core-2', 'core-3', 'core-4', 'core-5'];
export const addresses = Object.fromEntries(
  names.map((name, index) => [name, `127.0.0.1:${11 + index}`] as const),
);
/** A disk id for each member; the suffix distinguishes the disks of one member. */
export const diskIdsWithSuffix = (suffix: string): Readonly<Record<string, string>> =>
  Object.fromEntries(names.map((name) => [name, `${name}/${suffix}`] as const));

/** Opens an agent that knows its five founders, but no committed membership. */
export const openTestAgent = (): AgentState =>
  openAgent({ self, incarnation: 'l', seeds: [], founders: addresses, randomSeed: 1, now: 0 });

/** Returns the agent after it has learned of a membership. */
export const withMembership = (
  state: AgentState,
  epoch: number,
  disks: Membership['disks'],
): AgentState => {
  const transition: Transition = { state, effects: [] };
  learnRegister(transition, 'members', { counter: epoch, proposerId: 'x' }, { epoch, disks });
  return transition.state;
};

/** The reply of a disk to a poll that shows no accepted proposal. */
export const pulled = (disk: string): ReplicaReply => ({
  kind: 'polled',
  diskId: disk,
  sequence: 0,
  isReset: false,
  hasMore: false,
  entries: [],
  acceptedNumbers: {},
});

type AgentStep = { readonly state: AgentState; readonly effects: readonly AgentEffect[] };

/** Answers the polls that a step sent, at the given time; a null reply makes the poll fail. */
export const answerPolls = (
  step: AgentStep,
  now: number,
  replyOf: (name: string) => ReplicaReply | null,
): AgentStep => {
  const newEffects: AgentEffect[] = [];
  const state = step.effects.reduce((current, effect) => {
    if (effect.kind !== 'send-request') return current;
    const pending = step.state.pendingRequests[effect.requestId];
    if (pending?.kind !== 'poll') return current;
    const reply = replyOf(pending.replica);
    const result = reduceAgent(
      current,
      reply === null
        ? { kind: 'request-failed', requestId: effect.requestId, now }
        : { kind: 'reply-received', requestId: effect.requestId, reply: reply, now },
    );
    newEffects.push(...result.effects);
    return result.state;
  }, step.state);
  return { state, effects: newEffects };
};

/**
 * Runs a tick that polls every replica, and answers the polls immediately; a null reply makes the
 * poll fail.
 */
export const tickAndAnswerPolls = (
  before: AgentState,
  now: number,
  replyOf: (name: string) => ReplicaReply | null,
): AgentState => {
  const ticked = reduceAgent(before, { kind: 'tick', now });
  return answerPolls(ticked, now, replyOf).state;
};

/** Opens an agent that has learned of a membership with one disk for each founder. */
export const openAgentWithMembership = (): AgentState =>
  withMembership(openTestAgent(), 3, diskIdsWithSuffix('a'));
/** Runs a tick in which every member replies with its own disk. */
export const tickWithAllReplies = (state: AgentState, now: number): AgentState =>
  tickAndAnswerPolls(state, now, (name) => pulled(`${name}/a`));
