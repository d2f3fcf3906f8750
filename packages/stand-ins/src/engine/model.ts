/**
 * A toy model. Each token depends on every layer running exactly once and in order, so that a skipped, repeated or misplaced layer changes
 * the answer.
 */
import type { LayerRange, ModelReference, Token } from '@wigeonlead/protocol'

const WORDS = [
  'pipe', 'rank', 'valve', 'damp', 'wall', 'roof', 'order', 'repair', 'brass', 'oak', 'treble', 'bass', 'wind', 'chest', 'tile',
  'beam', 'draft', 'note', 'scale', 'mouth', 'reed', 'stop', 'flue', 'joint', 'seal', 'pump', 'lead', 'tin', 'crew', 'block', 'visit', 'key'
]
const SHORTEST_ANSWER_TOKENS = 24
const ANSWER_SPREAD_TOKENS = 16

/** Returns the state before the first layer, a hash of everything that the token depends on. */
export function initialState (reference: ModelReference, prompt: string, delivered: string[]): number {
  return hashText(`${reference.model}|${reference.version}|${reference.adapter ?? ''}|${prompt}|${delivered.join('')}`)
}

/** Runs a range of layers and returns the state after them. */
export function runLayers (state: number, layers: LayerRange): number {
  let result = state
  for (let layer = layers.from; layer < layers.to; layer += 1) {
    result = Math.imul(result ^ (layer + 1), 0x9e3779b1) >>> 0
    result = (result ^ (result >>> 15)) >>> 0
  }
  return result
}

/** Returns the text of the token for the state after the last layer. */
export function tokenText (state: number): string {
  return ` ${WORDS[state % WORDS.length]}`
}

/** Returns the number of tokens after which the model stops by itself. */
export function answerLength (prompt: string): number {
  return SHORTEST_ANSWER_TOKENS + hashText(prompt) % ANSWER_SPREAD_TOKENS
}

/** Returns the complete expected answer, as one engine that holds all layers would generate it. */
export function referenceAnswer (reference: ModelReference, layerCount: number, prompt: string, maximumTokens: number): Token[] {
  const texts: string[] = []
  const length = Math.min(maximumTokens, answerLength(prompt))
  for (let index = 0; index < length; index += 1) {
    texts.push(tokenText(runLayers(initialState(reference, prompt, texts), { from: 0, to: layerCount })))
  }
  return texts.map((text, index) => ({ index, text }))
}

function hashText (text: string): number {
  let hash = 0x811c9dc5
  for (let index = 0; index < text.length; index += 1) hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193) >>> 0
  return hash
}
