/** Runs a reducer on a queue of events. */

import csp from 'js-csp';

/** events waiting for one task. */
export const maxQueuedEvents = 65_536;

/** What a reducer returns: the next state and what is to be done outside. */
export type Step<S, F> = { readonly state: S; readonly effects: readonly F[] };

/** A reducer: pure, with time and chance inside the events. */
export type Reducer<S, E, F> = (state: S, event: E) => Step<S, F>;

/** A channel of one kind of event. */
export type EventQueue<E> = {
  /** Hands an event in; false once the inbox is full or closed. */
  readonly put: (event: E) => boolean;
  readonly close: () => void;
};

/**
 * Runs a task: it alone owns its state, takes events from its inbox one by one, reduces them and
 * performs the effects in order.
 *
 * @example
 * const counter = Task.run({ initial: 0, reduce: (n, add: number) => ({ state: n + add, effects: [n + add] }), perform: console.log });
 * counter.put(2); // logs 2
 */
export const Task = {
  run: <S, E, F>(parts: {
    readonly initial: S;
    readonly reduce: Reducer<S, E, F>;
    readonly perform: (effect: F, put: (event: E) => boolean) => void;
  }): EventQueue<E> & { readonly peek: () => S } => {
    const channel = csp.chan(csp.buffers.fixed(maxQueuedEvents));
    let state = parts.initial;
    let waiting = 0;
    let open = true;
    const put = (event: E): boolean => {
      if (!open || waiting >= maxQueuedEvents) return false;
      waiting += 1;
      csp.putAsync(channel, event);
      return true;
    };
    csp.go(function* loop() {
      for (;;) {
        const event = yield csp.take(channel);
        if (event === csp.CLOSED) return;
        waiting -= 1;
        const step = parts.reduce(state, event as E);
        state = step.state;
        for (const effect of step.effects) parts.perform(effect, put);
      }
    });
    return {
      put,
      peek: () => state,
      close: () => {
        open = false;
        channel.close();
      },
    };
  },
} as const;
