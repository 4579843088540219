/** Configuration documents from templates and overlays. */
export { parseParameters, resolveTemplate, TemplateError } from './config-templates.js';
