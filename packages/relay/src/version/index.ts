/**
 * Types of the configuration that operators declare and of the entries under which targets are listed.
 */
export {
  AnswerForm, RepeatRule, type AcceleratorKind, type CallerLimits, type EngineProfile, type RelayConfiguration, type Route, type Service,
  type WeightedService, type Workspace
} from './configuration.js'
export { digestKey } from './digest.js'
export { compileRoutes, type RouteTable } from './routes.js'
export { incarnationOf, type LoadedLayers, type Target } from './target.js'
