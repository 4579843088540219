/**
 * An agent with five founders, whose polls are answered at once: for tests of what it makes of
 * them.
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
/** A disk for each member, told apart by a suffix. */
export const diskIdsWithSuffix = (suffix: string): Readonly<Record<string, string>> =>
  Object.fromEntries(names.map((name) => [name, `${name}/${suffix}`] as const));

export const openTestAgent = (): AgentState =>
  openAgent({ self, incarnation: 'l', seeds: [], founders: addresses, randomSeed: 1, now: 0 });

/** The agent after it learnt of a membership. */
export const withMembership = (
  state: AgentState,
  epoch: number,
  disks: Membership['disks'],
): AgentState => {
  const transition: Transition = { state, effects: [] };
  learnRegister(transition, 'members', { counter: epoch, proposerId: 'x' }, { epoch, disks });
  return transition.state;
};

export const pulled = (disk: string): ReplicaReply => ({
  kind: 'polled',
  diskId: disk,
  sequence: 0,
  isReset: false,
  hasMore: false,
  entries: [],
  acceptedNumbers: {},
});

type Step = { readonly state: AgentState; readonly effects: readonly AgentEffect[] };

/** What follows when the polls of a step are answered at a moment; null for silence. */
export const answerPolls = (
  step: Step,
  now: number,
  replyOf: (name: string) => ReplicaReply | null,
): Step => {
  const seen: AgentEffect[] = [];
  const state = step.effects.reduce((reached, effect) => {
    if (effect.kind !== 'send-request') return reached;
    const pending = step.state.pendingRequests[effect.requestId];
    if (pending?.kind !== 'poll') return reached;
    const body = replyOf(pending.replica);
    const next = reduceAgent(
      reached,
      body === null
        ? { kind: 'request-failed', requestId: effect.requestId, now }
        : { kind: 'reply-received', requestId: effect.requestId, reply: body, now },
    );
    seen.push(...next.effects);
    return next.state;
  }, step.state);
  return { state, effects: seen };
};

/** A beat that asks every replica, and what each of them answers at once; null for silence. */
export const tickAndAnswerPolls = (
  before: AgentState,
  now: number,
  replyOf: (name: string) => ReplicaReply | null,
): AgentState => {
  const beat = reduceAgent(before, { kind: 'tick', now });
  return answerPolls(beat, now, replyOf).state;
};

export const openAgentWithMembership = (): AgentState =>
  withMembership(openTestAgent(), 3, diskIdsWithSuffix('a'));
export const tickWithAllReplies = (state: AgentState, now: number): AgentState =>
  tickAndAnswerPolls(state, now, (name) => pulled(`${name}/a`));
