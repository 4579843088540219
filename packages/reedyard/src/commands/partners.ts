import { BaseCommand } from '../base.js';

export default class Partners extends BaseCommand {
  static override description = "The nodes that a node knows, its partial view, and the delays it pinged.";

  async run(): Promise<unknown> {
    const { flags } = await this.parse(Partners);
    const body = await this.call(flags.node, 'GET', '/v1/partners');
    this.show(body);
    return body;
  }
}
