import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { PathStage, Receipt } from '@wigeonlead/protocol'
import { findReceiptFault } from '../src/request/index.js'

const STAGES: PathStage[] = [
  { target: 'one', address: '127.0.0.1:1', layers: { from: 0, to: 4 } },
  { target: 'two', address: '127.0.0.1:2', layers: { from: 4, to: 8 } }
]
const VALID_RECEIPT: Receipt = {
  session: 's', epoch: 1, index: 3, stages: [{ target: 'one', layers: { from: 0, to: 4 } }, { target: 'two', layers: { from: 4, to: 8 } }]
}
const [first, second] = VALID_RECEIPT.stages

const CASES: Array<{ name: string, receipt: Receipt, isValid: boolean }> = [
  { name: 'valid receipt', receipt: VALID_RECEIPT, isValid: true },
  { name: 'another session', receipt: { ...VALID_RECEIPT, session: 't' }, isValid: false },
  { name: 'an earlier epoch', receipt: { ...VALID_RECEIPT, epoch: 0 }, isValid: false },
  { name: 'another index', receipt: { ...VALID_RECEIPT, index: 4 }, isValid: false },
  { name: 'a skipped stage', receipt: { ...VALID_RECEIPT, stages: [first!] }, isValid: false },
  { name: 'a stage twice', receipt: { ...VALID_RECEIPT, stages: [first!, first!, second!] }, isValid: false },
  { name: 'stages out of order', receipt: { ...VALID_RECEIPT, stages: [second!, first!] }, isValid: false },
  { name: 'a layer skipped', receipt: { ...VALID_RECEIPT, stages: [first!, { target: 'two', layers: { from: 5, to: 8 } }] }, isValid: false },
  { name: 'a layer twice', receipt: { ...VALID_RECEIPT, stages: [first!, { target: 'two', layers: { from: 3, to: 8 } }] }, isValid: false },
  { name: 'another target', receipt: { ...VALID_RECEIPT, stages: [first!, { target: 'six', layers: { from: 4, to: 8 } }] }, isValid: false }
]

const receipts = suite('receipts')
for (const { name, receipt, isValid } of CASES) {
  receipts(name, () => {
    const fault = findReceiptFault(receipt, { session: 's', epoch: 1, index: 3, stages: STAGES })
    assert.is(fault === undefined, isValid, fault?.detail)
  })
}
receipts.run()
