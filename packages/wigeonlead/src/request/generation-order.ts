/**
 * The generation that a caller's request asks for.
 */
import type { ModelReference, PathStage } from '@wigeonlead/protocol'
import type { CompiledModel } from '../version/index.js'

/** Model, prompt and parameters of a generation. */
export interface GenerationOrder {
  model: CompiledModel
  reference: ModelReference
  prompt: string
  maximumTokens: number
  temperature?: number
  seed?: number
  /** Path of the first epoch, if admission reserved one. */
  firstPath?: PathStage[]
}
