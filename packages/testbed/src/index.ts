/** A fleet of real processes on one machine. */
export {
  api,
  type ApiResponse as ApiAnswer,
  Fleet,
  type Program,
  TestbedError,
} from './testbed.js';
export type { Deployment, Machine, Origin } from '@reedyard/topology';
