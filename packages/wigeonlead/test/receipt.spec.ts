import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { PathStage, Receipt } from '@wigeonlead/protocol'
import { findReceiptFault } from '../src/request/index.js'

const STAGES: PathStage[] = [
  { target: 'one', address: '127.0.0.1:1', layers: { from: 0, to: 4 } },
  { target: 'two', address: '127.0.0.1:2', layers: { from: 4, to: 8 } }
]
const RIGHT: Receipt = {
  session: 's', epoch: 1, index: 3, stages: [{ target: 'one', layers: { from: 0, to: 4 } }, { target: 'two', layers: { from: 4, to: 8 } }]
}
const [first, second] = RIGHT.stages

const CASES: Array<{ name: string, receipt: Receipt, isRight: boolean }> = [
  { name: 'right', receipt: RIGHT, isRight: true },
  { name: 'another session', receipt: { ...RIGHT, session: 't' }, isRight: false },
  { name: 'an old epoch', receipt: { ...RIGHT, epoch: 0 }, isRight: false },
  { name: 'another index', receipt: { ...RIGHT, index: 4 }, isRight: false },
  { name: 'a skipped stage', receipt: { ...RIGHT, stages: [first!] }, isRight: false },
  { name: 'a doubled stage', receipt: { ...RIGHT, stages: [first!, first!, second!] }, isRight: false },
  { name: 'stages out of order', receipt: { ...RIGHT, stages: [second!, first!] }, isRight: false },
  { name: 'a layer skipped', receipt: { ...RIGHT, stages: [first!, { target: 'two', layers: { from: 5, to: 8 } }] }, isRight: false },
  { name: 'a layer twice', receipt: { ...RIGHT, stages: [first!, { target: 'two', layers: { from: 3, to: 8 } }] }, isRight: false },
  { name: 'another target', receipt: { ...RIGHT, stages: [first!, { target: 'six', layers: { from: 4, to: 8 } }] }, isRight: false }
]

const receipts = suite('receipts')
for (const { name, receipt, isRight } of CASES) {
  receipts(name, () => {
    const fault = findReceiptFault(receipt, { session: 's', epoch: 1, index: 3, stages: STAGES })
    assert.is(fault === undefined, isRight, fault?.detail)
  })
}
receipts.run()
