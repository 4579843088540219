import test from 'ava';
import { confineErrors } from './confined-reducer.js';
import { ProxyCore, type ProxyEvent } from './index.js';
import {
  applyEvents,
  arrivalOf,
  effectsOf,
  responseOf,
  startedProxy,
} from './testing/reducer-harness.js';

/** The proxy's reducer, which fails on the events of one kind. */
const failingOn = (kind: ProxyEvent['kind']): typeof ProxyCore.reduce =>
  confineErrors((state, event) => {
    if (event.kind === kind) throw new Error('unforeseen');
    return ProxyCore.reduce(state, event);
  });

const answerTo = (requestId: number): ProxyEvent => ({
  kind: 'attempt-answered',
  requestId,
  attempt: 0,
  answer: responseOf(`t${requestId}-0`),
  now: 1_010,
});

// Guards against a request that the reducer can't handle ending the process with all other requests.
test('an error in the arrival of a request is answered with a 503, and changes nothing else', (t) => {
  const before = startedProxy();
  const step = failingOn('request-arrived')(before, arrivalOf(1, 'POST', 1_000));
  t.is(effectsOf(step.effects, 'send-answer', 1)[0]?.answer.status, 503);
  t.deepEqual(step.state.requests, before.requests);
});

test('an error in a response ends its request with an unknown outcome, and others go on', (t) => {
  for (const method of ['GET', 'POST']) {
    const { state } = applyEvents(
      [arrivalOf(1, method, 1_000, '/sheets/1'), arrivalOf(2, 'POST', 1_000, '/sheets/2')],
      startedProxy(),
    );
    const step = failingOn('attempt-answered')(state, answerTo(1));
    t.is(effectsOf(step.effects, 'send-answer', 1)[0]?.answer.status, 502, method);
    t.is(effectsOf(step.effects, 'abort-attempt', 1).length, 1, method);
    t.is(effectsOf(step.effects, 'close-request', 1).length, 1, method);
    t.deepEqual(Object.keys(step.state.requests), ['2'], method);
    t.deepEqual(step.state.inFlightCounts, { 'store/o1/1': 1 }, method);
    const other = ProxyCore.reduce(step.state, answerTo(2));
    t.is(effectsOf(other.effects, 'send-answer', 2)[0]?.answer.status, 200, method);
  }
});

test('an error in an event that concerns all requests is thrown', (t) => {
  t.throws(() => failingOn('tick')(startedProxy(), { kind: 'tick', now: 1_000 }), {
    message: 'unforeseen',
  });
});
