/**
 * A model of one client connection around its reducer, for a search through all orders of events:
 * pipelined requests that arrive completely or not, responses that become ready in any order,
 * unparsable bytes, and a client that closes the connection. Like the HTTP parser, the model sends
 * responses in the order of their requests, and nothing after one that closes the connection.
 */
import {
  ClientConnections,
  type ClientConnection,
  type ClientConnectionEffect,
  type ClientConnectionEvent,
  type ClientConnectionStep,
} from '../client-connection.js';

/** What actually happened to a request. */
type Request = {
  readonly read: boolean;
  readonly begun: boolean;
  readonly written: 'no' | 'open' | 'closing';
  readonly flushed: boolean;
  readonly left: boolean;
};

type Model = {
  readonly state: ClientConnection;
  readonly requests: readonly Request[];
  readonly unreadable: boolean;
  readonly refused: boolean;
  readonly closed: boolean;
  readonly violation: string | null;
};

/** A reducer to search, correct or with one safeguard removed. */
export type ClientReduce = (
  state: ClientConnection,
  event: ClientConnectionEvent,
) => ClientConnectionStep;

const MAX_REQUESTS = 3;

const initialModel: Model = {
  state: ClientConnections.open,
  requests: [],
  unreadable: false,
  refused: false,
  closed: false,
  violation: null,
};

const unreadRequest: Request = {
  read: false,
  begun: false,
  written: 'no',
  flushed: false,
  left: false,
};

const recordViolation = (model: Model, violation: string): Model =>
  model.violation === null ? { ...model, violation } : model;

const withRequest = (model: Model, number: number, part: Partial<Request>): Model => ({
  ...model,
  requests: model.requests.map((request, index) =>
    index === number - 1 ? { ...request, ...part } : request,
  ),
});

const begin = (model: Model, number: number): Model => {
  const followsClose = model.requests.some(({ written }) => written === 'closing');
  const begun = withRequest(model, number, { begun: true });
  return followsClose ? recordViolation(begun, 'started after a response that closes') : begun;
};

const write = (model: Model, number: number, close: boolean): Model => {
  const hasLaterRequest = model.requests.slice(number).some(({ read, begun }) => read || begun);
  const written = withRequest(model, number, { written: close ? 'closing' : 'open' });
  return close && hasLaterRequest
    ? recordViolation(written, 'closed although a later request was read')
    : written;
};

const refuse = (model: Model): Model => {
  const isResponsePending = model.requests.some(({ begun, flushed }) => begun && !flushed);
  const refused = { ...model, refused: true };
  return isResponsePending
    ? recordViolation(refused, 'rejected unparsable bytes while a response was pending')
    : refused;
};

const perform = (model: Model, effect: ClientConnectionEffect): Model => {
  switch (effect.kind) {
    case 'begin':
      return begin(model, effect.number);
    case 'write':
      return write(model, effect.number, effect.close);
    case 'refuse':
      return refuse(model);
    case 'left':
      return effect.numbers.reduce(
        (current, number) => withRequest(current, number, { left: true }),
        model,
      );
  }
};

const dispatch = (model: Model, reduce: ClientReduce, event: ClientConnectionEvent): Model => {
  const { state, effects } = reduce(model.state, event);
  return effects.reduce(perform, { ...model, state });
};

const close = (model: Model, reduce: ClientReduce): Model => {
  const closed = dispatch({ ...model, closed: true }, reduce, { kind: 'closed' });
  const isOrphaned = closed.requests.some(({ begun, flushed, left }) => begun && !flushed && !left);
  return isOrphaned ? recordViolation(closed, 'a request goes on after its client left') : closed;
};

const flush = (model: Model, reduce: ClientReduce, number: number): Model => {
  const flushed = withRequest(model, number, { flushed: true });
  const after = dispatch(flushed, reduce, { kind: 'answer-flushed', number });
  const closesConnection = model.requests[number - 1]?.written === 'closing';
  return closesConnection ? close(after, reduce) : after;
};

const responseSteps = (model: Model, reduce: ClientReduce): readonly Model[] =>
  model.requests.flatMap((request, index) => {
    const number = index + 1;
    const next: Model[] = [];
    if (request.begun && request.written === 'no') {
      for (const wantsClose of [true, false]) {
        next.push(dispatch(model, reduce, { kind: 'answer-ready', number, wantsClose }));
      }
    }
    const areEarlierFlushed = model.requests.slice(0, index).every(({ flushed }) => flushed);
    if (request.written !== 'no' && !request.flushed && areEarlierFlushed) {
      next.push(flush(model, reduce, number));
    }
    return next;
  });

const nextModels = (model: Model, reduce: ClientReduce): readonly Model[] => {
  if (model.closed || model.refused) return [];
  const next: Model[] = [...responseSteps(model, reduce), close(model, reduce)];
  const { requests, unreadable } = model;
  const last = requests.at(-1);
  const isLastComplete = last === undefined || last.read;
  if (!unreadable && isLastComplete && requests.length < MAX_REQUESTS) {
    next.push(
      dispatch({ ...model, requests: [...requests, unreadRequest] }, reduce, { kind: 'head-read' }),
    );
  }
  if (!unreadable && !isLastComplete) {
    const number = requests.length;
    const read = withRequest(model, number, { read: true });
    next.push(dispatch(read, reduce, { kind: 'request-read', number }));
  }
  if (!unreadable) {
    const withGarbage = { ...model, unreadable: true };
    next.push(dispatch(withGarbage, reduce, { kind: 'unreadable', status: 400 }));
  }
  return next;
};

/** Checks that no response is pending in a state without a next event. */
const checkEnd = (model: Model): string | null => {
  const isResponsePending = model.requests.some(
    ({ begun, flushed, left }) => begun && !flushed && !left && !model.closed,
  );
  return isResponsePending ? 'a response stays pending forever' : null;
};

/**
 * Searches all orders of events to their end, or until an invariant is violated.
 *
 * @example
 * searchClientConnection(ClientConnections.reduce).violation // null
 */
export const searchClientConnection = (
  reduce: ClientReduce,
): { readonly stateCount: number; readonly violation: string | null } => {
  const seen = new Set<string>();
  const frontier: Model[] = [initialModel];
  for (let model = frontier.pop(); model !== undefined; model = frontier.pop()) {
    const next = nextModels(model, reduce);
    const violation = model.violation ?? (next.length === 0 ? checkEnd(model) : null);
    if (violation !== null) return { stateCount: seen.size, violation };
    for (const candidate of next) {
      const key = JSON.stringify(candidate);
      if (seen.has(key)) continue;
      seen.add(key);
      frontier.push(candidate);
    }
  }
  return { stateCount: seen.size, violation: null };
};
