/** Command: checks whether a node is ready for clients. */
import { BaseCommand } from '../base-command.js';
import { ClientError, exitCodes } from '../api-client.js';

export default class Ready extends BaseCommand {
  static override description =
    'Check whether a node is ready for clients: exit code 0 if it is, 5 if not.';

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
