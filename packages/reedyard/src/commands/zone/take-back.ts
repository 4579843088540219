/** Command: restores an evacuated zone. */
import { ZoneCommand } from '../../base-command.js';

export default class ZoneTakeBack extends ZoneCommand {
  static override description = 'Restore an evacuated zone to service.';
  protected override readonly order = 'take-back';
}
