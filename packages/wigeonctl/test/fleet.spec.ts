/**
 * The state of a fleet of relays from their metrics: which are behind, deaf or gone.
 */
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { ExitCode, fleetCommand, type RelayState } from '../src/index.js'

interface Told { version?: number, age?: number, isCoordinator?: boolean, text?: string }

function metricsText ({ version = 7, age = 0.4, isCoordinator = false }: Told): string {
  return [
    'wigeonlead_requests_answered_total{route="a",status="200"} 40',
    'wigeonlead_requests_answered_total{route="b",status="200"} 2',
    'wigeonlead_requests_refused_total{reason="no-room",route="a \\"quoted\\""} 3',
    'wigeonlead_requests_refused_total{reason="no-room",route="b"} 1',
    `wigeonlead_belief_age_seconds ${age}`,
    `wigeonlead_configuration_version ${version}`,
    'wigeonlead_streams_under_way 5',
    `wigeonlead_is_coordinator ${Number(isCoordinator)}`,
    'wigeonlead_first_event_seconds{quantile="0.5"} 0.07'
  ].join('\n')
}

async function withRelays (told: Told[], use: (addresses: string[]) => Promise<void>): Promise<void> {
  const servers: Server[] = []
  try {
    for (const one of told) {
      const server = createServer((_incoming, response) => response.end(one.text ?? metricsText(one)))
      await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
      servers.push(server)
    }
    await use(servers.map(server => `127.0.0.1:${(server.address() as AddressInfo).port}`))
  } finally {
    for (const server of servers) server.close()
  }
}

const fleet = suite('fleet')

const CASES: Array<{ name: string, told: Told[], code: ExitCode, says: RegExp }> = [
  { name: 'all is well', told: [{ isCoordinator: true }, {}], code: ExitCode.Done, says: /version 7; 2 of 2 relays answered/ },
  { name: 'one is behind', told: [{}, { version: 6 }], code: ExitCode.Failed, says: /has version 6, not 7/ },
  { name: 'one hears nothing', told: [{ age: 4.2 }], code: ExitCode.Failed, says: /heard last of the store 4\.2 s ago/ },
  { name: 'one does not know how old its word is', told: [{ age: Infinity }], code: ExitCode.Failed, says: /heard last of the store Infinity s ago/ },
  { name: 'two coordinators', told: [{ isCoordinator: true }, { isCoordinator: true }], code: ExitCode.Failed, says: /several relays hold/ },
  { name: 'another server', told: [{ text: 'hello' }], code: ExitCode.Failed, says: /found no wigeonlead_configuration_version/ }
]
for (const { name, told, code, says } of CASES) {
  fleet(name, async () => {
    await withRelays(told, async addresses => {
      const output = await fleetCommand(addresses)
      assert.match(output.text, says)
      assert.is(output.code, code)
    })
  })
}

fleet('counts are summed over routes', async () => {
  await withRelays([{}], async addresses => {
    const { relays } = (await fleetCommand(addresses)).value as { relays: RelayState[] }
    assert.is(relays[0]!.answered, 42)
    assert.equal(relays[0]!.refused, { 'no-room': 4 })
  })
})

fleet.run()
