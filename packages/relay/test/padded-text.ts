/**
 * Long texts that compress about as well as a configuration.
 */
import { createSeededRandom } from 'wigeonlead'

const WHITE_SPACE = [' ', '\t', '\n', '\r']
const SEED = 41

/** @returns a number as text, padded with white space that no compression removes altogether. */
export function padNumber (value: number, characters = 0): string {
  const { nextFloat } = createSeededRandom(SEED)
  const padding = Array.from({ length: characters }, () => WHITE_SPACE[Math.floor(nextFloat() * WHITE_SPACE.length)])
  return `${value}${padding.join('')}`
}
