/**
 * Estimates how long the first token of an epoch takes. The prefill time per character is learnt for each model; a fixed number of
 * characters is added to each prompt for the work that doesn't depend on it.
 */

/** Estimates of the time to the first token, by model. */
export interface FirstTokenTimes {
  record: (model: string, characters: number, milliseconds: number) => void
  /** @returns the expected time to the first token, milliseconds; 0 for a model without observations. */
  estimate: (model: string, characters: number) => number
  /** @returns how long to wait for the first token before the path counts as stalled, milliseconds. */
  stallTimeout: (model: string, characters: number) => number
}

/** Minimum timeout for a first token, milliseconds. */
export const FIRST_TOKEN_TIMEOUT_FLOOR_MILLISECONDS = 500
/** Maximum timeout for a first token, milliseconds. */
export const FIRST_TOKEN_TIMEOUT_CEILING_MILLISECONDS = 30_000
/** Timeout for a model without observations, milliseconds. */
const DEFAULT_TIMEOUT_MILLISECONDS = 5000
const TIMEOUT_MEAN_MULTIPLE = 3
const TIMEOUT_DEVIATION_MULTIPLE = 6
/** Weight of one observation in the moving averages. */
const SMOOTHING_GAIN = 0.05
/** Characters that are added to each prompt for the work that doesn't depend on it. */
const BASE_CHARACTERS = 200

interface ModelEstimate {
  millisecondsPerCharacter: number
  deviation: number
}

/** Creates estimates without observations. */
export function createFirstTokenTimes (): FirstTokenTimes {
  const estimates = new Map<string, ModelEstimate>()
  const effectiveCharacters = (characters: number): number => characters + BASE_CHARACTERS

  return {
    record (model, characters, milliseconds) {
      const rate = milliseconds / effectiveCharacters(characters)
      const existing = estimates.get(model)
      if (existing === undefined) {
        estimates.set(model, { millisecondsPerCharacter: rate, deviation: rate / 2 })
        return
      }
      existing.deviation += SMOOTHING_GAIN * (Math.abs(rate - existing.millisecondsPerCharacter) - existing.deviation)
      existing.millisecondsPerCharacter += SMOOTHING_GAIN * (rate - existing.millisecondsPerCharacter)
    },
    estimate: (model, characters) => (estimates.get(model)?.millisecondsPerCharacter ?? 0) * effectiveCharacters(characters),
    stallTimeout (model, characters) {
      const existing = estimates.get(model)
      if (existing === undefined) return DEFAULT_TIMEOUT_MILLISECONDS
      const timeout = effectiveCharacters(characters) *
        (TIMEOUT_MEAN_MULTIPLE * existing.millisecondsPerCharacter + TIMEOUT_DEVIATION_MULTIPLE * existing.deviation)
      return Math.min(FIRST_TOKEN_TIMEOUT_CEILING_MILLISECONDS, Math.max(FIRST_TOKEN_TIMEOUT_FLOOR_MILLISECONDS, timeout))
    }
  }
}
