/**
 * Calculations shared by the path finder and by placement: the time that layers take on a target, and how many layers and tokens its memory
 * can hold.
 */
import type { AcceleratorKind, EngineProfile } from '../../version/configuration.js'
import type { Target } from '../../version/target.js'
import type { RequestSize } from './path-estimate.js'

/**
 * Used for a target whose accelerator kind is not in the configuration. Memory of 0 means that it is unknown: `tokenCapacity` then returns
 * the whole-model capacity, and `maxLayers` returns 0 unless the size of a layer is unknown too.
 */
const UNKNOWN_KIND: AcceleratorKind = { memoryMegabytes: 0, stepFactor: 1, prefillFactor: 1 }
/**
 * Weight of the time in which a stage that takes over a running stream reads its tokens again: the streams of a lost stage move together,
 * and each waits for those before it.
 */
const REREADING_WEIGHT = 20
const MILLISECONDS_PER_SECOND = 1000
/** Stands for all kinds where only the sizes of requests are compared. */
const REFERENCE_KIND: AcceleratorKind = { memoryMegabytes: 0, stepFactor: 1, prefillFactor: 1 }
export const BYTES_PER_MEGABYTE = 1e6

/** @returns the accelerator kind of a target. */
export function kindOf (target: Pick<Target, 'acceleratorKind'>, profile: EngineProfile): AcceleratorKind {
  return profile.acceleratorKinds.get(target.acceleratorKind ?? '') ?? UNKNOWN_KIND
}

/** @returns the maximum number of layers that fit into the memory of an accelerator; all layers if `layerMegabytes` is 0 (unknown). */
export function maxLayers (kind: AcceleratorKind, profile: EngineProfile): number {
  return profile.layerMegabytes === 0 ? profile.layers : Math.min(profile.layers, Math.floor(kind.memoryMegabytes / profile.layerMegabytes))
}

/**
 * @returns the number of request tokens that fit into the memory that the given number of layers leaves free. If the memory or the size of
 * a layer is unknown (0), this is the whole-model capacity. Otherwise it is Infinity without layers, or if tokens take no memory.
 */
export function tokenCapacity (kind: AcceleratorKind, layerCount: number, profile: EngineProfile): number {
  if (kind.memoryMegabytes === 0 || profile.layerMegabytes === 0) return profile.wholeModelTokenCapacity
  if (layerCount <= 0 || profile.kvBytesPerToken === 0) return Infinity
  const freeBytes = (kind.memoryMegabytes - layerCount * profile.layerMegabytes) * BYTES_PER_MEGABYTE
  return Math.max(0, freeBytes / (profile.kvBytesPerToken / profile.layers * layerCount))
}

/**
 * @param requestCount number of requests in flight at the target, all of which are assumed to generate tokens.
 * @returns milliseconds that one layer of a target contributes to the whole of a request of the given size, prefill and decoding.
 */
export function requestMillisecondsPerLayer (
  kind: AcceleratorKind, profile: EngineProfile, requestCount: number, size: RequestSize
): number {
  const stepMilliseconds = profile.stepMilliseconds + profile.stepPerRequestMilliseconds * requestCount
  const decodingMilliseconds = stepMilliseconds * kind.stepFactor * size.answerTokens
  const prefillMilliseconds = size.promptTokens / profile.prefillTokensPerSecond * 1000 * kind.prefillFactor
  return (decodingMilliseconds + prefillMilliseconds) / profile.layers
}

/** @returns milliseconds that one layer of a target contributes to a move of a running stream with the given tokens to this target. */
export function rereadingMillisecondsPerLayer (tokens: number, kind: AcceleratorKind, profile: EngineProfile): number {
  return REREADING_WEIGHT * tokens / profile.prefillTokensPerSecond * MILLISECONDS_PER_SECOND * kind.prefillFactor / profile.layers
}

/**
 * @returns factor that makes the costs of a request comparable with those of a usual one: the fixed costs of first stages, crossings and
 * changes are those of a usual request.
 */
export function sizeScale (size: RequestSize, profile: EngineProfile): number {
  const cost = (of: RequestSize): number => requestMillisecondsPerLayer(REFERENCE_KIND, profile, 0, of)
  const own = cost(size)
  return own > 0 ? cost({ promptTokens: profile.usualPromptTokens, answerTokens: profile.usualAnswerTokens }) / own : 1
}
