import { BaseCommand } from '../../base.js';

export default class PolicyGet extends BaseCommand {
  static override description = 'Read the policy through a majority of disks: never older than the newest acknowledged one.';
  static override examples = ['<%= config.bin %> policy get --json'];

  async run(): Promise<unknown> {
    const { flags } = await this.parse(PolicyGet);
    const body = await this.call(flags.node, 'GET', '/v1/policy');
    this.show(body);
    return body;
  }
}
