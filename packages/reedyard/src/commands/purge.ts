/** Command: purges objects by URL or tag. */
import { Flags } from '@oclif/core';
import { BaseCommand } from '../base-command.js';
import { ClientError, exitCodes } from '../api-client.js';

export default class Purge extends BaseCommand {
  static override description = 'Take objects, or all objects with a tag, out of every node.';
  static override examples = [
    '<%= config.bin %> purge --object http://brandlhuber.example/sheets/7',
    '<%= config.bin %> purge --tag depot-7 --tag depot-8',
  ];
  static override flags = {
    object: Flags.string({
      multiple: true,
      description: 'host and path, with its query',
      default: [],
    }),
    tag: Flags.string({ multiple: true, description: 'tag of a group', default: [] }),
    change: BaseCommand.changeIdFlag,
  };

  async run(): Promise<unknown> {
    const { flags } = await this.parse(Purge);
    if (flags.object.length + flags.tag.length === 0)
      throw new ClientError(exitCodes.usage, 'wanted at least one --object or --tag');
    const body = await this.call(
      flags.node,
      'POST',
      '/v1/purges',
      { objects: flags.object, tags: flags.tag },
      { 'reedyard-change-id': flags.change },
    );
    this.show(body);
    return body;
  }
}
