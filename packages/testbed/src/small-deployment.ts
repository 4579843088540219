/** A small deployment and policy for tests with real processes. */
import type { Deployment } from './index.js';

/**
 * The smallest complete fleet: two front machines, three core machines with replicas, and one
 * origin for each service.
 */
export const smallDeployment: Deployment = {
  name: 'small',
  machines: [
    { name: 'front-1', zone: 'west', region: 'home', kind: 'front', capacityBps: 8_000_000 },
    { name: 'front-2', zone: 'north', region: 'home', kind: 'front', capacityBps: 8_000_000 },
    { name: 'core-1', zone: 'west', region: 'home', kind: 'core' },
    { name: 'core-2', zone: 'north', region: 'home', kind: 'core' },
    { name: 'core-3', zone: 'north', region: 'home', kind: 'core' },
  ],
  origins: [
    { service: 'store', instance: 'content-1', zone: 'west', region: 'home', capacity: 500 },
    { service: 'application', instance: 'app-1', zone: 'north', region: 'home', capacity: 500 },
  ],
};

/** Host that clients request in tests of the small fleet. */
export const smallHost = 'depot.example';
/** Policy of the small fleet, with a cacheable route and a route that requires a key. */
export const smallPolicy = {
  services: { store: { ceiling: 300, coldRate: 20 }, application: { ceiling: 300, coldRate: 20 } },
  routes: [
    { name: 'sheets', host: smallHost, path: '/sheets/', service: 'store' },
    {
      name: 'handovers',
      host: smallHost,
      path: '/handovers',
      service: 'application',
      methods: ['POST'],
      cache: { keep: 'never' },
      key: 'required',
    },
  ],
};
