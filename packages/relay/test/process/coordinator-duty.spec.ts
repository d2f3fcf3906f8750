/**
 * Guards against models that no VM places any more, because all targets of some other service are lost and each VM counts as cut off from
 * it. Load: none; each case is what one VM reaches.
 */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createCoordinatorDuty } from '@wigeonlead/relay'

const CASES: Array<{ name: string, placed: string[], cutOff: string[], freeMilliseconds: number, mayAcquire: boolean }> = [
  { name: 'all services are reached', placed: ['a', 'b'], cutOff: [], freeMilliseconds: 0, mayAcquire: true },
  { name: 'nothing is placed', placed: [], cutOff: ['desk'], freeMilliseconds: 0, mayAcquire: true },
  { name: 'a service that is not placed is out of reach', placed: ['a'], cutOff: ['desk'], freeMilliseconds: 0, mayAcquire: true },
  { name: 'the only placed service is out of reach', placed: ['a'], cutOff: ['a'], freeMilliseconds: 60_000, mayAcquire: false },
  { name: 'all placed services are out of reach', placed: ['a', 'b'], cutOff: ['a', 'b'], freeMilliseconds: 60_000, mayAcquire: false },
  { name: 'one of two is out of reach, and another VM may want the lease', placed: ['a', 'b'], cutOff: ['a'], freeMilliseconds: 3000, mayAcquire: false },
  { name: 'one of two is out of reach, and no VM wanted the lease', placed: ['a', 'b'], cutOff: ['a'], freeMilliseconds: 5000, mayAcquire: true }
]

const duty = suite('who may coordinate placement')

for (const { name, placed, cutOff, freeMilliseconds, mayAcquire } of CASES) {
  duty(`${name}: ${mayAcquire ? '' : 'not '}this VM`, () => {
    const decision = createCoordinatorDuty({ placedServices: () => placed, isCutOff: service => cutOff.includes(service) })
    assert.is(decision.mayAcquire(freeMilliseconds), mayAcquire)
    assert.equal(placed.concat(cutOff).map(decision.mustRelease), placed.concat(cutOff).map(service => placed.includes(service)))
  })
}

duty.run()
