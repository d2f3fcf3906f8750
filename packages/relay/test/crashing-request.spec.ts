/**
 * Guards against a request that ends every target which begins to run it and that comes again and again, at any VM: it must not end one
 * target after the other, while other requests with the same path, caller and parts of the prompt are served.
 */
import type { IncomingMessage } from 'node:http'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { withFleet, type Fleet, type TargetBehaviour } from './fleet.js'

const VMS = 3
const BAD_BODY = 'bad'
/** Number of times that the bad request comes. */
const ROUNDS = 10
/** The users' bound: targets that may end, and times that the request may still reach targets after that. */
const MAXIMUM_BAD_ARRIVALS = 3 + 3

interface Case {
  name: string
  service: 'model' | 'desk'
  path: string
  targets: number
  /** Parts of the prompt that all requests share; the last one is the request's own. */
  parts?: string
  /** Called between two rounds. */
  disturb?: (fleet: Fleet, round: number) => Promise<void>
}

const STREAM = { service: 'model', path: '/write/1', targets: 6 } as const

const CASES: Case[] = [
  { ...STREAM, name: 'an answer of events, without parts of the prompt' },
  { ...STREAM, name: 'an answer of events, with parts of the prompt that sound requests share', parts: 'first,second,own' },
  { ...STREAM, name: 'VMs restart in turn', disturb: async (fleet, round) => { if (round > 2) await fleet.restart([round % VMS]) } },
  { ...STREAM, name: 'all VMs restart at once', disturb: async (fleet, round) => { if (round === 5) await fleet.restart([0, 1, 2]) } },
  { service: 'desk', path: '/look/1', targets: 3, name: 'an idempotent request to a plain service' },
  { service: 'desk', path: '/book/1', targets: 3, name: 'a request to a plain service that may run once at most' }
]

function readText (incoming: IncomingMessage): string {
  return String(incoming.headers['x-body'])
}

const crashes = suite('a request that crashes targets')

for (const { name, service, path, targets, parts, disturb } of CASES) {
  crashes(`it stops reaching targets, and others are served: ${name}`, async () => {
    let badArrivals = 0
    const behaviour: TargetBehaviour = (incoming, response, crash) => {
      const requestId = String(incoming.headers['x-request'])
      if (readText(incoming) === BAD_BODY) {
        badArrivals += 1
        setTimeout(crash, 5)
        return
      }
      response.writeHead(200, { 'X-Request': requestId, 'X-Seal': 's', 'Content-Type': service === 'model' ? 'text/event-stream' : 'text/plain' })
      response.end(`id: 1\ndata: ${requestId}\n\n`)
    }
    const headersFor = (body: string): Record<string, string> => ({ 'X-Body': body, ...parts === undefined ? {} : { 'X-Parts': parts } })
    await withFleet(VMS, targets, behaviour, async fleet => {
      for (let round = 0; round < ROUNDS; round++) {
        const bad = await fleet.call(round % VMS, headersFor(BAD_BODY), { path, body: BAD_BODY })
        assert.ok([502, 503].includes(bad.status), `status ${bad.status}`)
        for (let vm = 0; vm < VMS; vm++) {
          const body = `sound-${round}-${vm}`
          const sound = await fleet.call(vm, headersFor(body), { path, body })
          assert.is(sound.status, 200, `a sound request at vm-${vm} in round ${round}`)
          assert.ok(sound.isComplete)
        }
        await fleet.reviveTargets()
        await disturb?.(fleet, round)
      }
    }, { service })
    assert.ok(badArrivals <= MAXIMUM_BAD_ARRIVALS, `${badArrivals} requests reached targets`)
  })
}

crashes.run()
