/**
 * The random source of a real process.
 */
import { randomBytes, randomUUID } from 'node:crypto'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RandomSource } from '@wigeonlead/protocol'

/** Makes a random source that differs in every process. */
export function createSystemRandom (): RandomSource {
  const generator = xoroshiro128plus(randomBytes(4).readInt32LE())
  return { nextFloat: () => uniformFloat64(generator), nextNonce: () => randomUUID() }
}

/** Makes a random source that repeats for the same seed; nonces carry the seed. */
export function createSeededRandom (seed: number): RandomSource {
  const generator = xoroshiro128plus(seed)
  let nonces = 0
  return { nextFloat: () => uniformFloat64(generator), nextNonce: () => `nonce-${seed}-${++nonces}` }
}
