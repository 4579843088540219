/** Command: describes an origin to the fleet. */
import { Args } from '@oclif/core';
import { BaseCommand } from '../base-command.js';
import { readDocument } from '../api-client.js';

export default class Describe extends BaseCommand {
  static override description =
    'Send one self-description of an origin, as the origin itself does every few seconds.';
  static override args = {
    file: Args.string({ required: true, description: 'JSON file, or - for standard input' }),
  };

  async run(): Promise<unknown> {
    const { args, flags } = await this.parse(Describe);
    const body = await this.call(flags.node, 'POST', '/v1/origins', readDocument(args.file));
    this.show(body);
    return body;
  }
}
