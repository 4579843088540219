/** Command: whether a node is ready for clients. */
import { BaseCommand } from '../base-command.js';
import { ClientError, exitCodes } from '../api-client.js';

export default class Ready extends BaseCommand {
  static override description = 'Whether a node takes callers: exit code 0 if it does, 5 if not.';

  async run(): Promise<unknown> {
    const { flags } = await this.parse(Ready);
    try {
      const body = await this.call(flags.node, 'GET', '/ready');
      this.show(body);
      return body;
    } catch (thrown) {
      if (thrown instanceof ClientError && thrown.exit === exitCodes.unreached)
        throw new ClientError(exitCodes.conditionNotMet, thrown.message);
      throw thrown;
    }
  }
}
