/** The command line for operators. */
export { BaseCommand } from './base-command.js';
export { requestAnyNode, ClientError, exitCodes, type ApiResponse } from './api-client.js';
