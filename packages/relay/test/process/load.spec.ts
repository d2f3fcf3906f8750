/**
 * Counts of work under way, of this process and of its peers.
 */
import { install } from '@sinonjs/fake-timers'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createLoad } from '@wigeonlead/relay'

const LIFE = 'card@1'
const counts = suite('load')

counts('a release counts once', () => {
  const load = createLoad()
  const reservation = load.reservePath([LIFE, 'other@1'], 900)
  assert.is(load.tokens(LIFE), 900)
  reservation.release()
  reservation.release()
  assert.is(load.tokens(LIFE), 0)
  assert.equal(load.own(), [])
})

const TOLD: Array<{ name: string, told: Array<[vm: string, requests: number, tokens: number]>, requests: number, tokens: number }> = [
  { name: 'one peer', told: [['one', 2, 1800]], requests: 2, tokens: 1800 },
  { name: 'two peers', told: [['one', 2, 1800], ['two', 1, 700]], requests: 3, tokens: 2500 },
  { name: 'a peer that tells again', told: [['one', 2, 1800], ['two', 1, 700], ['one', 1, 900]], requests: 2, tokens: 1600 },
  { name: 'a peer whose work has ended', told: [['one', 2, 1800], ['one', 0, 0]], requests: 0, tokens: 0 }
]

for (const { name, told, requests, tokens } of TOLD) {
  counts(`sums over ${name}`, () => {
    const load = createLoad()
    for (const [vm, itsRequests, itsTokens] of told) {
      load.setPeer(vm, [{ incarnation: LIFE, requests: itsRequests, tokens: itsTokens, entering: itsRequests }])
    }
    assert.is(load.requests(LIFE), requests)
    assert.is(load.tokens(LIFE), tokens)
    assert.is(load.entering(LIFE), requests)
  })
}

counts('a request enters its path at the first stage only', () => {
  const load = createLoad()
  const reservation = load.reservePath([LIFE, 'other@1'], 900)
  load.reserveRequest('other@1')
  assert.equal([load.entering(LIFE), load.entering('other@1')], [1, 0])
  reservation.release()
  assert.is(load.entering(LIFE), 0)
})

counts('a peer that is gone, and one that is silent for long, are forgotten', () => {
  const clock = install({ toFake: ['performance'] })
  const load = createLoad()
  load.setPeer('gone', [{ incarnation: LIFE, requests: 1, tokens: 100, entering: 0 }])
  load.dropPeer('gone')
  assert.is(load.tokens(LIFE), 0)
  load.setPeer('silent', [{ incarnation: LIFE, requests: 1, tokens: 100, entering: 0 }])
  clock.tick(7000)
  load.setPeer('heard', [{ incarnation: LIFE, requests: 1, tokens: 30, entering: 0 }])
  assert.is(load.tokens(LIFE), 30)
  clock.uninstall()
})

counts.run()
