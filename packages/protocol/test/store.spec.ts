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
  { name: 'a write without a fault is accepted', result: PublishResult.Accepted },
  { name: 'a write whose reply is lost is accepted', fault: KeyValueFault.LostReply, result: PublishResult.Accepted },
  { name: 'the outcome of a write whose request is always lost is unknown', fault: KeyValueFault.LostRequest, result: PublishResult.Unknown },
  { name: 'a write that was never sent fails', fault: KeyValueFault.Unreachable, result: PublishResult.Failed }
]

const heads = suite('head changes')
for (const { name, fault, result } of CASES) {
  heads(name, () => withPausedClock(async clock => {
    const keyValue = createMemoryKeyValue(createKeyValueStore(), { fault: operation => operation === 'compareAndSwap' ? fault : undefined })
    const change = changeHead(keyValue, RANDOM, head => head)
    await clock.advance(SETTLE_MILLISECONDS)
    assert.is((await change).kind, result)
  }))
}
heads('a conflicting write is reported, and the stored head stays unchanged', async () => {
  const keyValue = createMemoryKeyValue(createKeyValueStore())
  await changeHead(keyValue, RANDOM, head => head)
  const write = await keyValue.compareAndSwap({ key: '/wigeonlead/configuration/head', expectedModRevision: 0, value: '{}' })
  assert.is(write.kind, WriteResult.Conflict)
  const read = await readHead(keyValue)
  assert.is(read.ok && read.value.head?.generation, 1)
})
heads.run()
