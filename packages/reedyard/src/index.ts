/** The command line of operators. */
export { BaseCommand } from './base.js';
export { ask, ClientError, exitCodes, type Reply } from './client.js';
