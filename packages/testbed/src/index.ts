/** Exports of the testbed, which runs a fleet of real processes on one machine. */
export { api, type ApiResponse, Fleet, type Program, TestbedError } from './testbed.js';
export type { Deployment, Machine, Origin } from '@reedyard/topology';
