import { HallCommand } from '../../base.js';

export default class HallTakeBack extends HallCommand {
  static override description = 'Take an emptied hall back into service.';
  protected override readonly order = 'take-back';
}
