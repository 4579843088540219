import test from 'ava';
import { CallerConnections } from './caller-connection.js';
import { searchCaller, type CallerReduce } from './testing/caller-world.js';

test('every order of pipelined requests, answers, bytes that are no request and a caller who leaves keeps the rules', (t) => {
  const { broken, worlds } = searchCaller(CallerConnections.reduce);
  t.log(`${worlds} worlds`);
  t.is(broken, null);
});

/** Each safeguard planted out, and the invariant that breaks without it. */
const plants: Readonly<Record<string, { readonly reduce: CallerReduce; readonly breaks: string }>> =
  {
    'any answer may close the connection': {
      reduce: (state, event) => {
        const newest = event.kind === 'answer-ready' ? event.number : state.newest;
        const step = CallerConnections.reduce({ ...state, newest }, event);
        const { newest: after } = step.state;
        return { ...step, state: { ...step.state, newest: Math.max(state.newest, after) } };
      },
      breaks: 'closed before a request that was read',
    },
    'a request behind an answer that closes is begun': {
      reduce: (state, event) =>
        CallerConnections.reduce(
          event.kind === 'request-read' ? { ...state, closing: false } : state,
          event,
        ),
      breaks: 'begun behind an answer that closes',
    },
    'what is no request is refused at once': {
      reduce: (state, event) =>
        CallerConnections.reduce(
          event.kind === 'unreadable' ? { ...state, unanswered: [] } : state,
          event,
        ),
      breaks: 'a refusal in the place of an answer',
    },
    'only the first of the pipelined requests learns that its caller left': {
      reduce: (state, event) =>
        CallerConnections.reduce(
          event.kind === 'closed' ? { ...state, unanswered: state.unanswered.slice(0, 1) } : state,
          event,
        ),
      breaks: 'a request whose caller left goes on',
    },
  };

for (const [name, { reduce, breaks }] of Object.entries(plants)) {
  test(`planted: ${name}`, (t) => {
    t.is(searchCaller(reduce).broken, breaks);
  });
}
