import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createKeyValueStore, createMemoryKeyValue, KeyValueFault, withPausedClock } from '@wigeonlead/stand-ins'
import { PublishResult, WriteResult, changeHead, readHead } from '../src/index.js'

const RANDOM = { nextFloat: () => 0.5, nextNonce: () => String(++nonces) }
let nonces = 0
const SETTLE_MILLISECONDS = 2000

interface Case {
  name: string
  fault?: KeyValueFault
  result: PublishResult
}

const CASES: Case[] = [
  { name: 'a plain write is accepted', result: PublishResult.Accepted },
  { name: 'a write whose reply is lost is found to be accepted', fault: KeyValueFault.LostReply, result: PublishResult.Accepted },
  { name: 'a write that was lost stays unknown', fault: KeyValueFault.LostRequest, result: PublishResult.Unknown },
  { name: 'a write that was not sent failed', fault: KeyValueFault.Unreachable, result: PublishResult.Failed }
]

const heads = suite('changes of the head')
for (const { name, fault, result } of CASES) {
  heads(name, () => withPausedClock(async clock => {
    const keyValue = createMemoryKeyValue(createKeyValueStore(), { fault: operation => operation === 'compareAndSwap' ? fault : undefined })
    const change = changeHead(keyValue, RANDOM, head => head)
    await clock.advance(SETTLE_MILLISECONDS)
    assert.is((await change).kind, result)
  }))
}
heads('the key-value port tells a conflict and what stands there', async () => {
  const keyValue = createMemoryKeyValue(createKeyValueStore())
  await changeHead(keyValue, RANDOM, head => head)
  const write = await keyValue.compareAndSwap({ key: '/wigeonlead/configuration/head', expectedModRevision: 0, value: '{}' })
  assert.is(write.kind, WriteResult.Conflict)
  const read = await readHead(keyValue)
  assert.is(read.ok && read.value.head?.generation, 1)
})
heads.run()
