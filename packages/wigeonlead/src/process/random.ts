/**
 * Random sources: one for a real process and a seeded one.
 */
import { randomBytes, randomUUID } from 'node:crypto'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RandomSource } from '@wigeonlead/protocol'

/** Creates a random source with a different sequence in every process. */
export function createSystemRandom (): RandomSource {
  const generator = xoroshiro128plus(randomBytes(4).readInt32LE())
  return { nextFloat: () => uniformFloat64(generator), nextNonce: () => randomUUID() }
}

/** Creates a random source with the same sequence for the same seed; nonces contain the seed. */
export function createSeededRandom (seed: number): RandomSource {
  const generator = xoroshiro128plus(seed)
  let nonceCount = 0
  return { nextFloat: () => uniformFloat64(generator), nextNonce: () => `nonce-${seed}-${++nonceCount}` }
}
