import test from 'ava';
import { ClientConnections } from './client-connection.js';
import { searchClientConnection, type ClientReduce } from './testing/client-connection-model.js';

test('every order of pipelined requests, answers, bytes that are no request and a caller who leaves keeps the rules', (t) => {
  const { broken, worlds } = searchClientConnection(ClientConnections.reduce);
  t.log(`${worlds} worlds`);
  t.is(broken, null);
});

/** Each safeguard planted out, and the invariant that breaks without it. */
const plants: Readonly<Record<string, { readonly reduce: ClientReduce; readonly breaks: string }>> =
  {
    'any answer may close the connection': {
      reduce: (state, event) => {
        const newest = event.kind === 'answer-ready' ? event.number : state.newestNumber;
        const step = ClientConnections.reduce({ ...state, newestNumber: newest }, event);
        const { newestNumber: after } = step.state;
        return {
          ...step,
          state: { ...step.state, newestNumber: Math.max(state.newestNumber, after) },
        };
      },
      breaks: 'closed before a request that was read',
    },
    'a request behind an answer that closes is begun': {
      reduce: (state, event) =>
        ClientConnections.reduce(
          event.kind === 'request-read' ? { ...state, closing: false } : state,
          event,
        ),
      breaks: 'begun behind an answer that closes',
    },
    'what is no request is refused at once': {
      reduce: (state, event) =>
        ClientConnections.reduce(
          event.kind === 'unreadable' ? { ...state, unanswered: [] } : state,
          event,
        ),
      breaks: 'a refusal in the place of an answer',
    },
    'only the first of the pipelined requests learns that its caller left': {
      reduce: (state, event) =>
        ClientConnections.reduce(
          event.kind === 'closed' ? { ...state, unanswered: state.unanswered.slice(0, 1) } : state,
          event,
        ),
      breaks: 'a request whose caller left goes on',
    },
  };

for (const [name, { reduce, breaks }] of Object.entries(plants)) {
  test(`planted: ${name}`, (t) => {
    t.is(searchClientConnection(reduce).broken, breaks);
  });
}
