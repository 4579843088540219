import { ReadCommand } from '../base.js';

export default class Shares extends ReadCommand {
  static override description = "How each service's ceiling is divided among the nodes.";
  protected override readonly target = '/v1/shares';
}
