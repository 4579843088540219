/** A small deployment for tests with real processes. */
import type { Deployment } from './index.js';

/**
 * The smallest fleet with everything in it: two fronts, three disks, one origin of each service.
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

/** Callers' host in tests of the small fleet, and a policy for it. */
export const smallHost = 'depot.example';
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
