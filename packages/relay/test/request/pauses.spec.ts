/**
 * When a request is refused because of pauses: only if each target that it could be sent to has asked for one.
 */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { SILENT_RELAY_LOG, createDirectory, type LoadedLayers } from '@wigeonlead/relay'
import { commonPause } from '../../src/request/pauses.js'
import { testTarget } from '../test-engine.js'

type Layers = Pick<LoadedLayers, 'from' | 'to'> | undefined

interface Case {
  name: string
  targets: Array<{ layers?: Layers, pause?: number }>
  pause: number
}

const FIRST = { from: 0, to: 40 }
const LAST = { from: 40, to: 80 }

const CASES: Case[] = [
  { name: 'no target', targets: [], pause: 0 },
  { name: 'plain targets, none pauses', targets: [{}, {}], pause: 0 },
  { name: 'plain targets, one of two pauses', targets: [{ pause: 900 }, {}], pause: 0 },
  { name: 'plain targets, all pause', targets: [{ pause: 900 }, { pause: 300 }], pause: 300 },
  { name: 'the only first stage pauses', targets: [{ layers: FIRST, pause: 700 }, { layers: LAST }], pause: 700 },
  { name: 'only a later stage pauses', targets: [{ layers: FIRST }, { layers: LAST, pause: 700 }], pause: 0 },
  { name: 'a later stage pauses and nobody holds the first layer', targets: [{ layers: LAST, pause: 700 }, {}], pause: 0 },
  { name: 'an empty card beside a first stage that pauses', targets: [{ layers: FIRST, pause: 700 }, {}], pause: 700 }
]

const pauses = suite('pauses')

for (const { name, targets, pause } of CASES) {
  pauses(`${name}: ${pause} ms`, () => {
    const directory = createDirectory(SILENT_RELAY_LOG, 'east')
    for (const [index, { layers, pause: milliseconds }] of targets.entries()) {
      directory.put(testTarget(`t${index}`, layers))
      if (milliseconds !== undefined) directory.pause(`t${index}@1`, milliseconds)
    }
    assert.is(Math.ceil(commonPause('model', directory, directory.pauseRemaining) / 100) * 100, pause)
  })
}

pauses.run()
