/**
 * Addresses for processes that are started later: a process whose port another listener has taken meanwhile ends at each start.
 */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { freeAddress } from '../src/index.js'

/** Linux gives ports from here on to sockets that ask for any. */
const FIRST_PORT_GIVEN_OUT = 32_768
const CALLS = 300

const addresses = suite('free addresses')

addresses('no address is given twice, and none that a socket may be given which asks for any port', async () => {
  const given = await Promise.all(Array.from({ length: CALLS }, freeAddress))
  assert.is(new Set(given).size, CALLS)
  for (const address of given) assert.ok(Number(address.split(':')[1]) < FIRST_PORT_GIVEN_OUT, address)
})

addresses.run()
