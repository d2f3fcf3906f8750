/**
 * How long the first token of an epoch takes, learnt for each model as a fixed part and a part for each character to prefill.
 */

/** Times to the first token, by model. */
export interface FirstTokenTimes {
  record: (model: string, characters: number, milliseconds: number) => void
  /** @returns the expected time of the first token, milliseconds. */
  expect: (model: string, characters: number) => number
  /** @returns how long to wait for the first token before the path counts as stalled, milliseconds. */
  stallTimeout: (model: string, characters: number) => number
}

/** The least wait for a first token, milliseconds. */
export const FIRST_TOKEN_TIMEOUT_FLOOR_MILLISECONDS = 500
/** The longest wait for a first token, milliseconds. */
export const FIRST_TOKEN_TIMEOUT_CEILING_MILLISECONDS = 30_000
const UNKNOWN_TIMEOUT_MILLISECONDS = 5000
const TIMEOUT_MEANS = 3
const TIMEOUT_DEVIATIONS = 6
const GAIN = 0.05
const BASE_CHARACTERS = 200

interface ModelTimes {
  millisecondsPerCharacter: number
  deviation: number
}

/** Makes times that know nothing yet. */
export function createFirstTokenTimes (): FirstTokenTimes {
  const times = new Map<string, ModelTimes>()
  const size = (characters: number): number => characters + BASE_CHARACTERS

  return {
    record (model, characters, milliseconds) {
      const rate = milliseconds / size(characters)
      const known = times.get(model)
      if (known === undefined) {
        times.set(model, { millisecondsPerCharacter: rate, deviation: rate / 2 })
        return
      }
      known.deviation += GAIN * (Math.abs(rate - known.millisecondsPerCharacter) - known.deviation)
      known.millisecondsPerCharacter += GAIN * (rate - known.millisecondsPerCharacter)
    },
    expect: (model, characters) => (times.get(model)?.millisecondsPerCharacter ?? 0) * size(characters),
    stallTimeout (model, characters) {
      const known = times.get(model)
      if (known === undefined) return UNKNOWN_TIMEOUT_MILLISECONDS
      const wanted = size(characters) * (TIMEOUT_MEANS * known.millisecondsPerCharacter + TIMEOUT_DEVIATIONS * known.deviation)
      return Math.min(FIRST_TOKEN_TIMEOUT_CEILING_MILLISECONDS, Math.max(FIRST_TOKEN_TIMEOUT_FLOOR_MILLISECONDS, wanted))
    }
  }
}
