/**
 * The compiled form of one generation of the configuration.
 */
export { compileVersion, type CompiledModel, type CompiledService, type CompiledVersion, type StageOption } from './compile.js'
