/**
 * Guards against a target that has ended and is taken for alive: its port may already be open again, for the next incarnation or for
 * another target.
 */
import { createServer, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { SILENT_RELAY_LOG, createDirectory, createEngineClient, createTargetClient, createTargetEnds } from '@wigeonlead/relay'
import { PLAIN_DIALECT } from '../../plain-dialect.js'
import { testTarget } from '../../test-engine.js'

const BORN = 7

interface Case {
  name: string
  answer?: (response: ServerResponse) => void
  pauseMilliseconds?: number
  hasEnded: boolean
  /** Whether it counts as a target that this VM reaches. */
  isAnswering: boolean
}

const CASES: Case[] = [
  { name: 'nothing listens at its address', hasEnded: true, isAnswering: false },
  { name: 'it reports', answer: response => response.end(JSON.stringify({ bornAtMilliseconds: BORN })), hasEnded: false, isAnswering: true },
  {
    name: 'its next incarnation reports',
    answer: response => response.end(JSON.stringify({ bornAtMilliseconds: BORN + 1 })),
    hasEnded: true,
    isAnswering: true
  },
  { name: 'another target answers', answer: response => { response.writeHead(421); response.end() }, hasEnded: true, isAnswering: true },
  { name: 'it is too busy to report', answer: response => { response.writeHead(503); response.end() }, hasEnded: false, isAnswering: true },
  { name: 'it takes the connection and sends nothing', answer: () => {}, hasEnded: false, isAnswering: false },
  { name: 'its report cannot be read', answer: response => response.end('nothing'), hasEnded: false, isAnswering: true },
  // Nothing may be sent to it, so nothing shows that this VM reaches it.
  { name: 'it has asked for a pause', pauseMilliseconds: 500, hasEnded: false, isAnswering: false }
]

async function listen (answer: (response: ServerResponse) => void): Promise<Server> {
  const server = createServer((_incoming, response) => answer(response))
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return server
}

const ends = suite('ends of targets')
for (const { name, answer, pauseMilliseconds = 0, hasEnded, isAnswering } of CASES) {
  ends(`${name}: ${hasEnded ? 'ended, and suspected as lost' : 'not ended'}`, async () => {
    const server = await listen(answer ?? (() => {}))
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    if (answer === undefined) await new Promise(resolve => { server.close(resolve) })
    const directory = createDirectory(SILENT_RELAY_LOG, 'east')
    const target = testTarget('t1', { from: 0, to: 80 }, { address, bornAtMilliseconds: BORN })
    directory.put(target)
    const client = createTargetClient(PLAIN_DIALECT, {
      pauseRemaining: () => pauseMilliseconds, onSlowConnect () {}, onSend () {}, onAnswer () {}
    })
    const engines = createEngineClient(PLAIN_DIALECT, client)
    const targetEnds = createTargetEnds(directory, engines)
    try {
      const [first, second] = await Promise.all([targetEnds.hasEnded(target), targetEnds.hasEnded(target)])
      assert.is(first, hasEnded)
      assert.is(second, hasEnded)
      assert.is(directory.isSuspectedLost(target), hasEnded)
      assert.is(await engines.isAnswering(target), isAnswering)
    } finally {
      client.close()
      server.closeAllConnections()
      server.close()
    }
  })
}
ends.run()
