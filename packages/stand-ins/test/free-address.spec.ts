/**
 * Tests addresses that are chosen for processes started later. If another listener took such a port in the meantime, the process would fail
 * at each start.
 */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { freeAddress } from '../src/index.js'

/** First port of Linux's default range of ephemeral ports. */
const FIRST_EPHEMERAL_PORT = 32_768
const CALLS = 300

const addresses = suite('free addresses')

addresses('no address is returned twice, and none is in the range of ephemeral ports', async () => {
  const returned = await Promise.all(Array.from({ length: CALLS }, freeAddress))
  assert.is(new Set(returned).size, CALLS)
  for (const address of returned) assert.ok(Number(address.split(':')[1]) < FIRST_EPHEMERAL_PORT, address)
})

addresses.run()
