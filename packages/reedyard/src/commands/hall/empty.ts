import { Args } from '@oclif/core';
import { BaseCommand } from '../../base.js';

export default class HallEmpty extends BaseCommand {
  static override description = 'Empty a hall: its nodes stop being ready, its origins and nodes get no more work.';
  static override args = { hall: Args.string({ required: true, description: 'name of the hall' }) };
  static override flags = { change: BaseCommand.changeFlag };

  async run(): Promise<unknown> {
    const { args, flags } = await this.parse(HallEmpty);
    const body = await this.call(flags.node, 'PUT', `/v1/halls/${encodeURIComponent(args.hall)}`, { order: 'empty' }, { 'reedyard-change-id': flags.change });
    this.show(body);
    return body;
  }
}
