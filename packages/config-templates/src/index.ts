/** Configuration documents from templates and overlays. */
export {
  parametersOf as parseParameters,
  resolve as resolveTemplate,
  TemplateError,
} from './config-templates.js';
