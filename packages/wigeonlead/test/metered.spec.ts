import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { FinishReason, ProblemType, createProblem } from '@wigeonlead/protocol'
import { RequestEnd, type BurnMeter } from '../src/process/index.js'
import { DeliveryKind, type Delivery } from '../src/request/generation.js'
import { endOfStatus, meterDeliveries } from '../src/request/metered.js'

const TOKEN: Delivery = { kind: DeliveryKind.Token, token: { index: 0, text: 'a' } }
const FINISH: Delivery = { kind: DeliveryKind.Finish, reason: FinishReason.Stop, tokens: 1 }
const refusal = (type: ProblemType): Delivery => ({ kind: DeliveryKind.Refusal, problem: createProblem(type, '') })

interface Case {
  name: string
  deliveries: Delivery[]
  /** The caller reads so many and leaves the rest. */
  read?: number
  hangsUp?: boolean
  seen: string[]
}

const CASES: Case[] = [
  { name: 'a whole answer', deliveries: [TOKEN, TOKEN, FINISH], seen: ['token', 'token', RequestEnd.Answered] },
  { name: 'a broken answer', deliveries: [TOKEN, refusal(ProblemType.TargetFailed)], seen: ['token', RequestEnd.Failed] },
  { name: 'no path', deliveries: [refusal(ProblemType.NoPath)], seen: [RequestEnd.Failed] },
  { name: 'a reached limit', deliveries: [refusal(ProblemType.LimitReached)], seen: [RequestEnd.NotCounted] },
  { name: 'an answer left unread', deliveries: [TOKEN, FINISH], read: 1, seen: ['token', RequestEnd.NotCounted] },
  { name: 'a caller that hung up', deliveries: [TOKEN, refusal(ProblemType.TargetFailed)], hangsUp: true, seen: ['token', RequestEnd.NotCounted] }
]

const metered = suite('metered deliveries')
for (const { name, deliveries, read = Infinity, hangsUp = false, seen } of CASES) {
  metered(name, async () => {
    const told: string[] = []
    const meter: BurnMeter = { token: () => { told.push('token') }, end: end => { told.push(end) } }
    const caller = new AbortController()
    if (hangsUp) caller.abort()
    const passed: Delivery[] = []
    for await (const delivery of meterDeliveries(passOn(deliveries), meter, caller.signal)) {
      passed.push(delivery)
      if (passed.length >= read) break
    }
    assert.equal(passed, deliveries.slice(0, read))
    assert.equal(told.slice(0, seen.length), seen)
  })
}
for (const [status, end] of [[200, RequestEnd.Answered], [404, RequestEnd.Answered], [502, RequestEnd.Failed]] as const) {
  metered(`a service's ${status} is ${end}`, () => assert.is(endOfStatus(status, new AbortController().signal), end))
}
metered('a service\'s answer to nobody is not counted', () => assert.is(endOfStatus(502, AbortSignal.abort()), RequestEnd.NotCounted))
metered.run()

async function * passOn (deliveries: Delivery[]): AsyncIterable<Delivery> {
  yield * deliveries
}
