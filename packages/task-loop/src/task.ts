/** Runs a reducer on a queue of events. */

import csp from 'js-csp';

/**
 * Maximum number of events that a task handles in one turn of the event loop. A turn may read
 * hundreds of requests: their events are handled before more are read.
 */
const maxEventsPerTurn = 1_024;

/** Maximum number of events in the queue of one task. */
export const maxQueuedEvents = 65_536;

/** The result of a reducer: the next state, and the effects to perform outside the reducer. */
export type Step<State, Effect> = {
  readonly state: State;
  readonly effects: readonly Effect[];
};

/** A pure function; events carry the time and the random numbers that it needs. */
export type Reducer<State, Event, Effect> = (state: State, event: Event) => Step<State, Effect>;

/** The queue of events of one task. */
export type EventQueue<Event> = {
  /** Adds an event; returns false if the queue is full or closed. */
  readonly put: (event: Event) => boolean;
  readonly close: () => void;
};

/**
 * Runs a task, which alone owns its state: takes the events from the queue one after another, applies
 * the reducer and performs the effects in order.
 *
 * @example
 * const counter = Task.run({ initial: 0, reduce: (sum, increment: number) => ({ state: sum + increment, effects: [sum + increment] }), perform: console.log });
 * counter.put(2); // logs 2
 */
export const Task = {
  run: <State, Event, Effect>(options: {
    readonly initial: State;
    readonly reduce: Reducer<State, Event, Effect>;
    readonly perform: (effect: Effect, put: (event: Event) => boolean) => void;
  }): EventQueue<Event> & { readonly peek: () => State } => {
    const channel = csp.chan(csp.buffers.fixed(maxQueuedEvents));
    let state = options.initial;
    let queuedCount = 0;
    let isOpen = true;
    const put = (event: Event): boolean => {
      if (!isOpen || queuedCount >= maxQueuedEvents) return false;
      queuedCount += 1;
      csp.putAsync(channel, event);
      return true;
    };
    const handle = (event: Event): void => {
      queuedCount -= 1;
      const step = options.reduce(state, event);
      state = step.state;
      for (const effect of step.effects) options.perform(effect, put);
    };
    csp.go(function* loop() {
      for (;;) {
        let event = yield csp.take(channel);
        for (let handled = 0; event !== csp.NO_VALUE; handled += 1) {
          if (event === csp.CLOSED) return;
          handle(event as Event);
          event = handled < maxEventsPerTurn ? csp.poll(channel) : csp.NO_VALUE;
        }
      }
    });
    return {
      put,
      peek: () => state,
      close: () => {
        isOpen = false;
        channel.close();
      },
    };
  },
} as const;
