/** Command: checks a policy; sends nothing. */
import { Args } from '@oclif/core';
import { BaseCommand } from '../../base-command.js';

export default class PolicyCheck extends BaseCommand {
  static override description =
    'Resolve and check a policy here, by the same rules as a node, and show it; nothing is sent.';
  static override args = {
    file: Args.string({ required: true, description: 'JSON file, or - for standard input' }),
  };
  static override flags = { ...BaseCommand.templateFlags };

  async run(): Promise<unknown> {
    const { args, flags } = await this.parse(PolicyCheck);
    const policy = this.readPolicy(args.file, flags);
    this.show(policy);
    return policy;
  }
}
