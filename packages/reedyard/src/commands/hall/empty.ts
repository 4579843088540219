import { HallCommand } from '../../base.js';

export default class HallEmpty extends HallCommand {
  static override description =
    'Empty a hall: its nodes stop being ready, its origins and nodes get no more work.';
  protected override readonly order = 'empty';
}
