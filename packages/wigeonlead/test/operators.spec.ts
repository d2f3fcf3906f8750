import type { AddressInfo } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { ask } from './ask.js'
import { MemberState, digestText } from '@wigeonlead/protocol'
import { createOperatorListener } from '../src/connection/index.js'

const TOKEN = 'the token of the operators'
const MEMBER = { address: '127.0.0.1:1', vm: 'entry-1', failureDomain: 'howrah', incarnation: 1, state: MemberState.Alive, generation: 3 }

interface Case {
  path: string
  method?: string
  authorization?: string
  isReady?: boolean
  status: number
  body?: RegExp
}

const VALID_AUTHORIZATION = `Bearer ${TOKEN}`
const CASES: Case[] = [
  { path: '/livez', status: 200, body: /live/ },
  { path: '/readyz', status: 200, body: /^ready/ },
  { path: '/readyz', isReady: false, status: 503, body: /not ready/ },
  { path: '/metrics', status: 401 },
  { path: '/status', status: 401 },
  { path: '/burn', status: 401 },
  { path: '/burn', authorization: 'Bearer another', status: 401 },
  { path: '/burn', authorization: TOKEN, status: 401 },
  { path: '/metrics', authorization: VALID_AUTHORIZATION, status: 200, body: /wigeonlead_x 1/ },
  { path: '/status', authorization: VALID_AUTHORIZATION, status: 200, body: /"generation":3.*"isReady":true/ },
  { path: '/burn', authorization: VALID_AUTHORIZATION, status: 200, body: /"objectives":\[\]/ },
  { path: '/burn?x=1', authorization: VALID_AUTHORIZATION, status: 200 },
  { path: '/burn', method: 'POST', authorization: VALID_AUTHORIZATION, status: 405 },
  { path: '/toString', authorization: VALID_AUTHORIZATION, status: 404 },
  { path: '/', authorization: VALID_AUTHORIZATION, status: 404 }
]

const operators = suite('operators\' listener')
for (const { path, method = 'GET', authorization, isReady = true, status, body } of CASES) {
  operators(`${method} ${path} with ${authorization ?? 'no token'} answers ${status}`, async () => {
    const listener = createOperatorListener([digestText(TOKEN)], {
      isReady: () => isReady,
      renderMetrics: () => 'wigeonlead_x 1\n',
      status: () => ({ member: MEMBER, sections: {} }),
      burn: () => ({ vm: 'entry-1', failureDomain: 'howrah', atMilliseconds: 1, objectives: [] })
    })
    await new Promise<void>(resolve => listener.listen(0, '127.0.0.1', resolve))
    const { port } = listener.address() as AddressInfo
    const headers: Record<string, string> = authorization === undefined ? {} : { authorization }
    const response = await ask(`http://127.0.0.1:${port}${path}`, { method, headers })
    assert.is(response.status, status)
    if (body !== undefined) assert.match(await response.text(), body)
    else await response.arrayBuffer()
    listener.close()
    listener.closeAllConnections()
  })
}
operators.run()
