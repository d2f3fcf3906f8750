/**
 * Costs of running layers on targets, shared by the choice of paths and by placement.
 */
import type { AcceleratorKind, EngineProfile } from '../version/configuration.js'
import type { Target } from '../version/target.js'

/** Used for a target whose kind the configuration doesn't list. */
const UNKNOWN_KIND: AcceleratorKind = { memoryMegabytes: 0, stepFactor: 1, readFactor: 1 }
export const BYTES_PER_MEGABYTE = 1e6

/** @returns the kind of a target's accelerator. */
export function kindOf (target: Pick<Target, 'acceleratorKind'>, engine: EngineProfile): AcceleratorKind {
  return engine.kinds.get(target.acceleratorKind ?? '') ?? UNKNOWN_KIND
}

/** @returns most layers that the memory of a kind holds. */
export function mostLayers (kind: AcceleratorKind, engine: EngineProfile): number {
  return engine.layerMegabytes === 0 ? engine.layers : Math.min(engine.layers, Math.floor(kind.memoryMegabytes / engine.layerMegabytes))
}

/** @returns tokens of requests for which a target has room beside so many layers. */
export function tokenCapacity (kind: AcceleratorKind, layers: number, engine: EngineProfile): number {
  if (kind.memoryMegabytes === 0 || engine.layerMegabytes === 0) return engine.tokensOfWholeTarget
  if (layers <= 0 || engine.tokenBytes === 0) return Infinity
  const freeBytes = (kind.memoryMegabytes - layers * engine.layerMegabytes) * BYTES_PER_MEGABYTE
  return Math.max(0, freeBytes / (engine.tokenBytes / engine.layers * layers))
}

/**
 * @param requests requests that write on the target at the same time.
 * @returns milliseconds that the usual request spends in one layer of a target.
 */
export function layerMilliseconds (kind: AcceleratorKind, engine: EngineProfile, requests: number): number {
  const step = engine.stepMilliseconds + engine.stepPerRequestMilliseconds * requests
  const writing = step * kind.stepFactor * engine.usualAnswerTokens
  const reading = engine.usualPromptTokens / engine.readTokensPerSecond * 1000 * kind.readFactor
  return (writing + reading) / engine.layers
}
