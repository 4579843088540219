import { BaseCommand } from '../base.js';

export default class Status extends BaseCommand {
  static override description = "How a node sees itself and its fleet: lease, serial, anvils, origins, counters, split.";

  async run(): Promise<unknown> {
    const { flags } = await this.parse(Status);
    const body = await this.call(flags.node, 'GET', '/v1/status');
    this.show(body);
    return body;
  }
}
