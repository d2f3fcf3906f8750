/**
 * The route of a request while changes of the configuration reach this VM late.
 */
import { install } from '@sinonjs/fake-timers'
import { findRoute, presentInstant } from '@wigeonlead/relay'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { testConfigurationState, testConfiguration, testRoute } from '../test-configuration.js'

/** Routes of every version; a later version would add one and drop another. */
const ROUTES = [testRoute('keyed'), testRoute('anonymous', { isAnonymous: true })]

/** Guards against requests that are handled as only an old version allows, by a VM that peers have told of a newer one. */
const CASES = [
  { path: '/keyed/1', milliseconds: 800, refusal: undefined },
  { path: '/anonymous/1', milliseconds: 800, refusal: undefined },
  { path: '/added/1', milliseconds: 800, refusal: 'unknown-route' },
  { path: '/keyed/1', milliseconds: 1500, refusal: 'configuration-too-old' },
  { path: '/anonymous/1', milliseconds: 1500, refusal: 'configuration-too-old' },
  { path: '/added/1', milliseconds: 1500, refusal: 'configuration-too-old' }
]

const routes = suite('route in force')

for (const { path, milliseconds, refusal } of CASES) {
  routes(`a peer has adopted a newer version ${milliseconds} ms ago: ${path} gets ${refusal ?? 'its route'}`, () => {
    const clock = install({ toFake: ['Date', 'performance', 'setTimeout'] })
    const state = testConfigurationState(5000, () => testConfiguration(175, { routes: ROUTES }))
    state.adopt('175', 'store')
    state.confirm(presentInstant(), 175)
    clock.tick(1)
    state.learn(177, 0, 'vm-2')
    clock.tick(milliseconds)
    const found = findRoute(state, 'a.example', path)
    assert.is('refusal' in found ? found.refusal : undefined, refusal)
    clock.uninstall()
  })
}

routes.run()
