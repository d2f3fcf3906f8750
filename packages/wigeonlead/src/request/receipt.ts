/**
 * Checks that a token's receipt shows that every layer ran once and in order, for the right session, epoch and token index.
 */
import type { PathStage, Receipt } from '@wigeonlead/protocol'

/** What the receipt of the next token must show. */
export interface ReceiptExpectation {
  session: string
  epoch: number
  index: number
  stages: PathStage[]
}

/** What is wrong with a receipt, and the target that caused it, if known. */
export interface ReceiptFault {
  detail: string
  target?: string
}

/** @returns what is wrong with a receipt, or undefined if it is correct. */
export function findReceiptFault (receipt: Receipt, expected: ReceiptExpectation): ReceiptFault | undefined {
  if (receipt.session !== expected.session) return { detail: 'the receipt belongs to another session' }
  if (receipt.epoch !== expected.epoch) return { detail: `the receipt is of epoch ${receipt.epoch}, not ${expected.epoch}` }
  if (receipt.index !== expected.index) return { detail: `the receipt is of token ${receipt.index}, not ${expected.index}` }
  for (const [position, stage] of expected.stages.entries()) {
    const ran = receipt.stages[position]
    if (ran === undefined || ran.target !== stage.target || ran.layers.from !== stage.layers.from || ran.layers.to !== stage.layers.to) {
      const detail = `stage ${position} does not show layers ${stage.layers.from} to ${stage.layers.to} at ${stage.target}`
      return { detail, target: stage.target }
    }
  }
  if (receipt.stages.length === expected.stages.length) return undefined
  return { detail: `${receipt.stages.length} stages ran, not ${expected.stages.length}` }
}
