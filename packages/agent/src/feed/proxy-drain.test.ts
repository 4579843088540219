import test from 'ava';
import type { ProxyReport } from '../messages.js';
import type { AgentState } from '../state.js';
import { isProxyDraining, proxyExitTimeoutMs, stopNoticeMs } from './proxy-drain.js';

const stopRequestedAt = 10_000;

const stateOf = (at: number, stopping: boolean): AgentState =>
  ({ lastProxyReport: { content: { stopping } as ProxyReport, at } }) as AgentState;

// Guards against an agent that leaves its proxy without a lease while requests are in flight (review case 4).
test('an agent stays while its stopping proxy requests feeds, however long', (t) => {
  for (const elapsedMs of [0, stopNoticeMs, 60_000]) {
    const now = stopRequestedAt + elapsedMs;
    t.true(isProxyDraining(stateOf(now - 250, true), stopRequestedAt, now), `${elapsedMs}`);
  }
});

test('an agent leaves once its proxy has exited, and at once without a proxy', (t) => {
  const now = stopRequestedAt + 3_000;
  t.true(isProxyDraining(stateOf(now - proxyExitTimeoutMs + 1, true), stopRequestedAt, now));
  t.false(isProxyDraining(stateOf(now - proxyExitTimeoutMs, true), stopRequestedAt, now));
  const withoutProxy = { lastProxyReport: null } as AgentState;
  t.false(isProxyDraining(withoutProxy, stopRequestedAt, stopRequestedAt));
});

test('an agent that alone is asked to stop waits only until its proxy would have said so too', (t) => {
  const before = stopRequestedAt + stopNoticeMs - 1;
  t.true(isProxyDraining(stateOf(before, false), stopRequestedAt, before));
  const after = stopRequestedAt + stopNoticeMs;
  t.false(isProxyDraining(stateOf(after, false), stopRequestedAt, after));
});
