/**
 * Costs and capacities of layers on targets, shared by the path finder and by placement.
 */
import type { AcceleratorKind, EngineProfile } from '../version/configuration.js'
import type { Target } from '../version/target.js'

/** Used for a target whose accelerator kind is not in the configuration. */
const UNKNOWN_KIND: AcceleratorKind = { memoryMegabytes: 0, stepFactor: 1, readFactor: 1 }
export const BYTES_PER_MEGABYTE = 1e6

/** @returns the accelerator kind of a target. */
export function kindOf (target: Pick<Target, 'acceleratorKind'>, engine: EngineProfile): AcceleratorKind {
  return engine.kinds.get(target.acceleratorKind ?? '') ?? UNKNOWN_KIND
}

/** @returns the maximum number of layers that fit into the memory of an accelerator. */
export function maxLayers (kind: AcceleratorKind, engine: EngineProfile): number {
  return engine.layerMegabytes === 0 ? engine.layers : Math.min(engine.layers, Math.floor(kind.memoryMegabytes / engine.layerMegabytes))
}

/** @returns the number of request tokens that fit into the memory that the given number of layers leaves free. */
export function tokenCapacity (kind: AcceleratorKind, layers: number, engine: EngineProfile): number {
  if (kind.memoryMegabytes === 0 || engine.layerMegabytes === 0) return engine.wholeModelTokenCapacity
  if (layers <= 0 || engine.tokenBytes === 0) return Infinity
  const freeBytes = (kind.memoryMegabytes - layers * engine.layerMegabytes) * BYTES_PER_MEGABYTE
  return Math.max(0, freeBytes / (engine.tokenBytes / engine.layers * layers))
}

/**
 * @param requests number of requests that generate tokens on the target at the same time.
 * @returns milliseconds that a request of usual length spends in one layer of a target.
 */
export function layerMilliseconds (kind: AcceleratorKind, engine: EngineProfile, requests: number): number {
  const step = engine.stepMilliseconds + engine.stepPerRequestMilliseconds * requests
  const decoding = step * kind.stepFactor * engine.usualAnswerTokens
  const prefilling = engine.usualPromptTokens / engine.readTokensPerSecond * 1000 * kind.readFactor
  return (decoding + prefilling) / engine.layers
}
