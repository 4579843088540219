import { BaseCommand } from '../base.js';

export default class Shares extends BaseCommand {
  static override description = "How each service's ceiling is divided among the nodes.";

  async run(): Promise<unknown> {
    const { flags } = await this.parse(Shares);
    const body = await this.call(flags.node, 'GET', '/v1/shares');
    this.show(body);
    return body;
  }
}
