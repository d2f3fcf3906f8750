import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { FinishReason, ProblemType, createProblem } from '@wigeonlead/protocol'
import { RequestEnd, type BurnMeter } from '../src/process/index.js'
import { DeliveryKind, type Delivery } from '../src/request/generation.js'
import { classifyStatus, meterDeliveries } from '../src/request/metered.js'

const TOKEN: Delivery = { kind: DeliveryKind.Token, token: { index: 0, text: 'a' } }
const FINISH: Delivery = { kind: DeliveryKind.Finish, reason: FinishReason.Stop, tokens: 1 }
const refusal = (type: ProblemType): Delivery => ({ kind: DeliveryKind.Refusal, problem: createProblem(type, '') })

interface Case {
  name: string
  deliveries: Delivery[]
  /** Number of deliveries that the caller reads; all by default. */
  readCount?: number
  hangsUp?: boolean
  recorded: string[]
}

const CASES: Case[] = [
  { name: 'a complete answer', deliveries: [TOKEN, TOKEN, FINISH], recorded: ['token', 'token', RequestEnd.Answered] },
  { name: 'a broken answer', deliveries: [TOKEN, refusal(ProblemType.TargetFailed)], recorded: ['token', RequestEnd.Failed] },
  { name: 'no path', deliveries: [refusal(ProblemType.NoPath)], recorded: [RequestEnd.Failed] },
  { name: 'a reached limit', deliveries: [refusal(ProblemType.LimitReached)], recorded: [RequestEnd.NotCounted] },
  { name: 'an answer that is not read to the end', deliveries: [TOKEN, FINISH], readCount: 1, recorded: ['token', RequestEnd.NotCounted] },
  { name: 'a caller that hung up', deliveries: [TOKEN, refusal(ProblemType.TargetFailed)], hangsUp: true, recorded: ['token', RequestEnd.NotCounted] }
]

const metered = suite('metered deliveries')
for (const { name, deliveries, readCount: read = Infinity, hangsUp = false, recorded } of CASES) {
  metered(name, async () => {
    const meterEvents: string[] = []
    const meter: BurnMeter = { recordToken: () => { meterEvents.push('token') }, end: end => { meterEvents.push(end) } }
    const caller = new AbortController()
    if (hangsUp) caller.abort()
    const passed: Delivery[] = []
    for await (const delivery of meterDeliveries(toAsyncIterable(deliveries), meter, caller.signal)) {
      passed.push(delivery)
      if (passed.length >= read) break
    }
    assert.equal(passed, deliveries.slice(0, read))
    assert.equal(meterEvents.slice(0, recorded.length), recorded)
  })
}
for (const [status, end] of [[200, RequestEnd.Answered], [404, RequestEnd.Answered], [502, RequestEnd.Failed]] as const) {
  metered(`a service response with status ${status} counts as ${end}`, () => assert.is(classifyStatus(status, new AbortController().signal), end))
}
metered('a service response whose caller hung up is not counted', () => assert.is(classifyStatus(502, AbortSignal.abort()), RequestEnd.NotCounted))
metered.run()

async function * toAsyncIterable (deliveries: Delivery[]): AsyncIterable<Delivery> {
  yield * deliveries
}
