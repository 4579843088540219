/** Configuration documents from templates and overlays. */
export { parametersOf, resolve, TemplateError } from './config-templates.js';
