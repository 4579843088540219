/** Command: evacuates a zone. */
import { ZoneCommand } from '../../base-command.js';

export default class ZoneEmpty extends ZoneCommand {
  static override description =
    'Empty a zone: its nodes stop being ready, its origins and nodes get no more work.';
  protected override readonly order = 'empty';
}
