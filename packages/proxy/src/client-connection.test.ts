import test from 'ava';
import { ClientConnections } from './client-connection.js';
import { searchClientConnection, type ClientReduce } from './testing/client-connection-model.js';

test('the guarantees hold in every order of pipelined requests, responses, unparsable bytes and a closing client', (t) => {
  const { violation, stateCount } = searchClientConnection(ClientConnections.reduce);
  t.log(`${stateCount} states`);
  t.is(violation, null);
});

/** Reducers without one of the safeguards, and the invariant that each of them violates. */
const mutations: Readonly<
  Record<string, { readonly reduce: ClientReduce; readonly expected: string }>
> = {
  'any response may close the connection': {
    reduce: (state, event) => {
      const newest = event.kind === 'answer-ready' ? event.number : state.newestNumber;
      const step = ClientConnections.reduce({ ...state, newestNumber: newest }, event);
      const { newestNumber: after } = step.state;
      return {
        ...step,
        state: { ...step.state, newestNumber: Math.max(state.newestNumber, after) },
      };
    },
    expected: 'closed although a later request was read',
  },
  'a request read after a closing response is started': {
    reduce: (state, event) =>
      ClientConnections.reduce(
        event.kind === 'request-read' ? { ...state, closing: false } : state,
        event,
      ),
    expected: 'started after a response that closes',
  },
  'unparsable bytes are rejected immediately': {
    reduce: (state, event) =>
      ClientConnections.reduce(
        event.kind === 'unreadable' ? { ...state, unanswered: [] } : state,
        event,
      ),
    expected: 'rejected unparsable bytes while a response was pending',
  },
  'only the first pipelined request is cancelled when the client leaves': {
    reduce: (state, event) =>
      ClientConnections.reduce(
        event.kind === 'closed' ? { ...state, unanswered: state.unanswered.slice(0, 1) } : state,
        event,
      ),
    expected: 'a request goes on after its client left',
  },
};

for (const [name, { reduce, expected }] of Object.entries(mutations)) {
  test(`the search detects the fault: ${name}`, (t) => {
    t.is(searchClientConnection(reduce).violation, expected);
  });
}
