/**
 * What a caller's request asks to have generated.
 */
import type { ModelReference, PathStage } from '@wigeonlead/protocol'
import type { CompiledModel } from '../version/index.js'

/** What is to be generated. */
export interface GenerationOrder {
  model: CompiledModel
  reference: ModelReference
  prompt: string
  maximumTokens: number
  temperature?: number
  seed?: number
  /** The path of the first epoch, where admission chose one. */
  firstPath?: PathStage[]
}
