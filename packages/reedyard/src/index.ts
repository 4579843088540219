/** The command line of operators. */
export { BaseCommand } from './base-command.js';
export {
  ask as requestAnyNode,
  ClientError,
  exitCodes,
  type Reply as ApiResponse,
} from './api-client.js';
