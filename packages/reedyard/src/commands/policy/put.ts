/** Command: sends a policy. */
import { Args, Flags } from '@oclif/core';
import { BaseCommand } from '../../base-command.js';

export default class PolicyPut extends BaseCommand {
  static override description =
    'Send the whole desired state. It is acknowledged once a majority of disks holds it.';
  static override examples = [
    '<%= config.bin %> policy put examples/brandlhuber/policy.json --if-revision 3',
    '<%= config.bin %> policy put template.json --param ceiling=90 --overlay night.json',
  ];
  static override args = {
    file: Args.string({ required: true, description: 'JSON file, or - for standard input' }),
  };
  static override flags = {
    'if-revision': Flags.integer({
      description: 'only if the policy in force still has this revision',
      min: 0,
    }),
    change: BaseCommand.changeIdFlag,
    ...BaseCommand.templateFlags,
  };

  async run(): Promise<unknown> {
    const { args, flags } = await this.parse(PolicyPut);
    const body = await this.call(
      flags.node,
      'PUT',
      '/v1/policy',
      this.readPolicy(args.file, flags),
      {
        'reedyard-change-id': flags.change,
        ...(flags['if-revision'] === undefined ? {} : { 'if-match': `"${flags['if-revision']}"` }),
      },
    );
    this.show(body);
    return body;
  }
}
