/**
 * What operators see and change over the metrics listener: the quarantined parts of prompts, as `wigeonctl quarantine` shows them.
 */
import type { AddressInfo } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { SILENT_RELAY_LOG, createOperatorsListener, createPromptQuarantine, type PromptQuarantine } from '@wigeonlead/relay'
import { createMetrics } from 'wigeonlead'
import { quarantineCommand, type LiftedPart } from 'wigeonctl'

function quarantineBadPart (): PromptQuarantine {
  const quarantine = createPromptQuarantine(SILENT_RELAY_LOG)
  for (let target = 0; target < 3; target++) {
    const sentAt = performance.now()
    quarantine.recordLoss({ service: 'model', parts: [`first-${target}`, 'bad'] }, { incarnation: `t${target}@1`, sentAt, hasHead: true })
  }
  quarantine.recordBegin({ service: 'model', parts: ['other'] })
  return quarantine
}

const CASES: Array<{ name: string, quarantine: () => PromptQuarantine, lifted?: LiftedPart, code: number, output: RegExp }> = [
  { name: 'nothing quarantined', quarantine: () => createPromptQuarantine(SILENT_RELAY_LOG), code: 0, output: /^no part is quarantined$/ },
  { name: 'a quarantined part', quarantine: quarantineBadPart, code: 0, output: /^model bad; 3 targets ended; (599|600) s left$/ },
  { name: 'a lifted part', quarantine: quarantineBadPart, lifted: { service: 'model', part: 'bad' }, code: 0, output: /^no part is quarantined$/ },
  {
    name: 'a part without evidence',
    quarantine: quarantineBadPart,
    lifted: { service: 'model', part: 'good' },
    code: 1,
    output: /no evidence against part good of model/
  }
]

const operators = suite('listener for operators')
for (const { name, quarantine, lifted, code, output } of CASES) {
  operators(name, async () => {
    const server = createOperatorsListener({ metrics: createMetrics(), promptQuarantine: quarantine() })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const result = await quarantineCommand(`127.0.0.1:${(server.address() as AddressInfo).port}`, lifted)
    assert.is(result.code, code)
    assert.match(result.text, output)
    server.close()
  })
}
operators.run()
