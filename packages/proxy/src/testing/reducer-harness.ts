/** Events, feeds and responses for tests of the proxy's reducer, without any process or socket. */
import { type Feed, leaseDurationMs } from '@reedyard/agent';
import { Schemas } from '@reedyard/schemas';
import {
  type AttemptResponse,
  type ClientRequest,
  ProxyCore,
  type ProxyEffect,
  type ProxyEvent,
  type ProxyState,
} from '../index.js';

/** A configuration with a cacheable route, one that is not cacheable, and one with homes elsewhere. */
export const policy = Schemas.policy({
  services: { store: { ceiling: 1_000, coldRate: 10 } },
  routes: [
    {
      name: 'sheets',
      host: 'a.example',
      path: '/sheets/',
      service: 'store',
      methods: ['GET', 'POST'],
    },
    {
      name: 'alarms',
      host: 'a.example',
      path: '/alarms/',
      service: 'store',
      cache: { keep: 'never' },
    },
    { name: 'homed', host: 'a.example', path: '/homed/', service: 'store', homes: ['far'] },
  ],
});
/** An origin of the configured service, in the region of the proxy. */
export const origin = {
  service: 'store',
  instance: 'o1',
  incarnation: 1,
  address: '10.0.0.1:1',
  zone: 'w',
  region: 'near',
  capacity: 100,
  cold: false,
  slots: null,
  conns: null,
  rate: 1_000,
};
/** A peer in the other region. */
export const peer = { id: 'b', zone: 'w', region: 'far', address: '10.0.0.2:1', delay: 0.001 };
/** A feed with one origin and one peer, of which `part` replaces fields. */
export const feedOf = (part: Partial<Feed> = {}): Feed => ({
  leaseMs: leaseDurationMs,
  life: 'l',
  flushes: 0,
  policy: { revision: 1, document: policy },
  policyRevision: 1,
  origins: [origin],
  peers: [peer],
  emptied: [],
  split: {},
  slices: { store: 1_000 },
  seated: true,
  purges: [],
  purgeSeq: 0,
  ...part,
});
/** A client's request. */
export const clientRequestOf = (method: string, target = '/sheets/1'): ClientRequest => ({
  method,
  target,
  host: 'a.example',
  headers: {},
  via: null,
  bodyBytes: 0,
  digest: null,
});
/** The arrival of a client's request. */
export const arrivalOf = (
  id: number,
  method: string,
  now: number,
  target?: string,
): ProxyEvent => ({
  kind: 'request-arrived',
  requestId: id,
  clientRequest: clientRequestOf(method, target),
  randomNumbers: [0.5, 0.5, 0.5, 0.5, 0.5],
  token: `t${id}`,
  now,
});
/** A valid response of the origin to an attempt, of which `part` replaces fields. */
export const responseOf = (
  attemptId: string,
  part: Partial<AttemptResponse> = {},
): AttemptResponse => ({
  status: 200,
  size: 3,
  isComplete: true,
  body: 'abc',
  headers: {
    'reedyard-stamp': 'store/o1/1',
    'reedyard-attempt': attemptId,
    'cache-control': 'max-age=60',
  },
  ...part,
});
/** Applies events in order; returns the last state and all effects. */
export const applyEvents = (
  events: readonly ProxyEvent[],
  initial: ProxyState,
): { state: ProxyState; effects: readonly ProxyEffect[] } =>
  events.reduce<{ state: ProxyState; effects: readonly ProxyEffect[] }>(
    (result, event) => {
      const step = ProxyCore.reduce(result.state, event);
      return { state: step.state, effects: [...result.effects, ...step.effects] };
    },
    { state: initial, effects: [] },
  );
/** A proxy that received its feed a second ago, so that its token buckets are full. */
export const startedProxy = (feed = feedOf()): ProxyState =>
  applyEvents(
    [
      { kind: 'feed-received', feed, askedAt: 0, now: 0 },
      {
        kind: 'request-arrived',
        requestId: 90,
        clientRequest: { ...clientRequestOf('POST'), via: 'z' },
        randomNumbers: [0.5, 0.5, 0.5, 0.5, 0.5],
        token: 't90',
        now: 1,
      },
      { kind: 'client-left', requestId: 90, now: 1 },
      { kind: 'tick', now: 500 },
      { kind: 'feed-received', feed: { ...feed, policy: null }, askedAt: 900, now: 900 },
    ],
    ProxyCore.open({ id: 'a', zone: 'w', region: 'near', capacityBps: 1e7, life: 'x' }, 0),
  ).state;
/** The effects of a kind that concern a request. */
export const effectsOf = <K extends ProxyEffect['kind']>(
  effects: readonly ProxyEffect[],
  kind: K,
  id: number,
): readonly Extract<ProxyEffect, { kind: K }>[] =>
  effects.filter(
    (effect): effect is Extract<ProxyEffect, { kind: K }> =>
      effect.kind === kind && 'requestId' in effect && effect.requestId === id,
  );
