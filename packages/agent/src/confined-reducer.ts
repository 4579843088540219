/**
 * Confines an error in the handling of one message to that message, so that unforeseen input of
 * another process can't end this node.
 */
import { errorMessage } from '@reedyard/logging';
import type { Reducer, Step } from '@reedyard/task-loop';
import type { AgentEffect, AgentEvent } from './messages.js';
import type { AgentState } from './state.js';

/** The effects of an agent, and the failure of a request that could not be handled. */
export type ConfinedAgentEffect =
  AgentEffect | { readonly kind: 'fail-request'; readonly requestId: number; readonly why: string };

/**
 * A reducer that drops a message which the given reducer can't handle: the state stays as it was
 * before, a request fails, and a reply counts as lost. An error in any other event is thrown, since
 * the state of the node can't be trusted after it.
 *
 * @example
 * const reduce = confineAgentErrors(reduceAgent);
 */
export const confineAgentErrors =
  (
    reduce: Reducer<AgentState, AgentEvent, AgentEffect>,
  ): Reducer<AgentState, AgentEvent, ConfinedAgentEffect> =>
  (state, event): Step<AgentState, ConfinedAgentEffect> => {
    try {
      return reduce(state, event);
    } catch (thrown) {
      if (!('requestId' in event)) throw thrown;
      const { requestId, kind, now } = event;
      const why = errorMessage(thrown);
      const failure: readonly ConfinedAgentEffect[] = [
        { kind: 'log', event: 'message.error', fields: { event: kind, why } },
        { kind: 'fail-request', requestId, why },
      ];
      if (kind !== 'reply-received') return { state, effects: failure };
      const lost = reduce(state, { kind: 'request-failed', requestId, now });
      return { state: lost.state, effects: [...failure.slice(0, 1), ...lost.effects] };
    }
  };
