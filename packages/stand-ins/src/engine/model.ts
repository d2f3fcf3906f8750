/**
 * A toy model whose tokens depend on every layer running once and in order, so that a skipped, doubled or misplaced layer shows.
 */
import type { LayerRange, ModelReference, Token } from '@wigeonlead/protocol'

const WORDS = [
  'pipe', 'rank', 'valve', 'damp', 'wall', 'roof', 'order', 'repair', 'brass', 'oak', 'treble', 'bass', 'wind', 'chest', 'tile',
  'beam', 'draft', 'note', 'scale', 'mouth', 'reed', 'stop', 'flue', 'joint', 'seal', 'pump', 'lead', 'tin', 'crew', 'block', 'visit', 'key'
]
const SHORTEST_ANSWER_TOKENS = 24
const ANSWER_SPREAD_TOKENS = 16

/** @returns the state before the first layer, from everything that the token depends on. */
export function startState (reference: ModelReference, prompt: string, delivered: string[]): number {
  return hashText(`${reference.model}|${reference.version}|${reference.adapter ?? ''}|${prompt}|${delivered.join('')}`)
}

/** Runs a range of layers on a state. */
export function runLayers (state: number, layers: LayerRange): number {
  let result = state
  for (let layer = layers.from; layer < layers.to; layer += 1) {
    result = Math.imul(result ^ (layer + 1), 0x9e3779b1) >>> 0
    result = (result ^ (result >>> 15)) >>> 0
  }
  return result
}

/** @returns the text of the token that a final state stands for. */
export function tokenText (state: number): string {
  return ` ${WORDS[state % WORDS.length]}`
}

/** @returns after how many tokens the model stops by itself. */
export function answerLength (prompt: string): number {
  return SHORTEST_ANSWER_TOKENS + hashText(prompt) % ANSWER_SPREAD_TOKENS
}

/** @returns the whole right answer, as one engine that holds all layers would give it. */
export function referenceAnswer (reference: ModelReference, layerCount: number, prompt: string, maximumTokens: number): Token[] {
  const texts: string[] = []
  const length = Math.min(maximumTokens, answerLength(prompt))
  for (let index = 0; index < length; index += 1) {
    texts.push(tokenText(runLayers(startState(reference, prompt, texts), { from: 0, to: layerCount })))
  }
  return texts.map((text, index) => ({ index, text }))
}

function hashText (text: string): number {
  let hash = 0x811c9dc5
  for (let index = 0; index < text.length; index += 1) hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193) >>> 0
  return hash
}
