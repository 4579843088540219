import { BaseCommand } from '../base.js';

export default class Live extends BaseCommand {
  static override description = "Whether a node's jig runs at all: exit code 0 if it answers, 4 if not.";

  async run(): Promise<unknown> {
    const { flags } = await this.parse(Live);
    const body = await this.call(flags.node, 'GET', '/live');
    this.show(body);
    return body;
  }
}
