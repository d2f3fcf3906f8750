/**
 * Which peer handles a request in place of a VM that is cut off: the work of a failure domain whose VMs are nearly all cut off must not
 * fall on the one that is not.
 */
import { install } from '@sinonjs/fake-timers'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createPeerChoice, type Peer, type PeerChoice } from '@wigeonlead/relay'
import { createSeededRandom } from 'wigeonlead'

const DRAWS = 3000

/** VMs of the own failure domain (besides this one) and of another, and how many of each reach the targets. */
interface Case {
  name: string
  local: number
  localReaching: number
  remote: number
  remoteReaching: number
  excluded?: string[]
  /** Share of the requests that the busiest peer may get at most, and of those that stay in the failure domain at least. */
  maximumShare: number
  minimumLocalShare: number
}

const CASES: Case[] = [
  { name: 'a third of the local VMs reaches the targets', local: 8, localReaching: 3, remote: 18, remoteReaching: 18, maximumShare: 0.4, minimumLocalShare: 1 },
  { name: 'one local VM of twenty does', local: 19, localReaching: 1, remote: 40, remoteReaching: 40, maximumShare: 0.05, minimumLocalShare: 0 },
  { name: 'no local VM does', local: 3, localReaching: 0, remote: 6, remoteReaching: 4, maximumShare: 0.3, minimumLocalShare: 0 },
  {
    name: 'the local VM that does was tried already',
    local: 2,
    localReaching: 1,
    remote: 6,
    remoteReaching: 6,
    excluded: ['local-0'],
    maximumShare: 0.25,
    minimumLocalShare: 0
  }
]

function createChoice (
  { local, localReaching, remote, remoteReaching }: Case, keepsTargetLimit = (_vm: string): boolean => false
): PeerChoice {
  const create = (failureDomain: string, count: number): Peer[] =>
    Array.from({ length: count }, (_, index) => ({ vm: `${failureDomain}-${index}`, address: '', failureDomain }))
  const [locals, remotes] = [create('local', local), create('remote', remote)]
  const random = createSeededRandom(30)
  const reaching = [...locals.slice(0, localReaching), ...remotes.slice(0, remoteReaching)]
  return createPeerChoice({ known: () => [...locals, ...remotes], reaching: () => reaching, keepsTargetLimit }, 'local', () => random.nextFloat())
}

const choices = suite('choice of a peer')

for (const aCase of CASES) {
  choices(`${aCase.name}: the work is spread`, () => {
    const choice = createChoice(aCase)
    const counts = new Map<string, number>()
    for (let draw = 0; draw < DRAWS; draw++) {
      const { vm } = choice.choose('model', new Set(aCase.excluded))!
      assert.not(aCase.excluded?.includes(vm))
      counts.set(vm, (counts.get(vm) ?? 0) + 1)
      choice.reserve(vm)
    }
    assert.ok(Math.max(...counts.values()) <= DRAWS * aCase.maximumShare, `busiest peer: ${Math.max(...counts.values())}`)
    const localCount = [...counts].reduce((sum, [vm, count]) => sum + (vm.startsWith('local') ? count : 0), 0)
    assert.ok(localCount >= DRAWS * aCase.minimumLocalShare, `${localCount} local`)
  })
}

choices('of two peers the one with fewer requests in hand is chosen, and a released one counts no more', () => {
  const choice = createChoice({ name: '', local: 2, localReaching: 2, remote: 0, remoteReaching: 0, maximumShare: 1, minimumLocalShare: 1 })
  const reservations = Array.from({ length: 10 }, () => choice.reserve('local-0'))
  const draw = (): number => Array.from({ length: 200 }, () => choice.choose('model', new Set())!.vm).filter(vm => vm === 'local-0').length
  const whileBusy = draw()
  for (const reservation of reservations) {
    reservation.release()
    reservation.release()
  }
  assert.ok(whileBusy < draw())
})

choices('no peer reaches the targets: none is chosen', () => {
  const choice = createChoice({ name: '', local: 5, localReaching: 0, remote: 5, remoteReaching: 0, maximumShare: 1, minimumLocalShare: 0 })
  assert.is(choice.choose('model', new Set()), undefined)
})

choices('a request that has reached targets goes only to peers that keep the limit of targets', () => {
  const fleet = { name: '', local: 4, localReaching: 4, remote: 4, remoteReaching: 4, maximumShare: 1, minimumLocalShare: 0 }
  for (const keeper of ['local-2', 'remote-1', undefined]) {
    const choice = createChoice(fleet, vm => vm === keeper)
    assert.is(choice.choose('model', new Set(), { keepsLimit: true })?.vm, keeper)
  }
})

// Guards against a peer that is too busy to answer and gets all requests of its failure domain all the same. Load: 100 a second.
choices('a silent peer gets two requests a second until it answers, and nothing is withheld where all peers are silent', () => {
  const clock = install({ toFake: ['performance'] })
  try {
    const choice = createChoice({ name: '', local: 2, localReaching: 1, remote: 2, remoteReaching: 2, maximumShare: 1, minimumLocalShare: 0 })
    const choicesInSecond = (): string[] => Array.from({ length: 100 }, () => {
      clock.tick(10)
      return choice.choose('model', new Set())!.vm
    })
    const isLocal = (vm: string): boolean => vm === 'local-0'
    assert.is(choicesInSecond().filter(isLocal).length, 100)
    choice.recordSilence('local-0')
    assert.ok(choicesInSecond().filter(isLocal).length <= 2)
    for (const vm of ['remote-0', 'remote-1']) choice.recordSilence(vm)
    assert.is(choicesInSecond().length, 100)
    choice.recordAnswer('local-0')
    assert.ok(choicesInSecond().filter(isLocal).length >= 96)
  } finally {
    clock.uninstall()
  }
})

choices.run()
