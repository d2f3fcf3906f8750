/**
 * What operators see and change over the metrics listener: the quarantined parts of prompts and requests, as `wigeonctl quarantine` shows
 * them.
 */
import type { AddressInfo } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { SILENT_RELAY_LOG, createOperatorsListener, createContentQuarantine, type ContentQuarantine } from '@wigeonlead/relay'
import { createMetrics } from 'wigeonlead'
import { quarantineCommand, type LiftedContent } from 'wigeonctl'

function quarantineBadPart (): ContentQuarantine {
  const quarantine = createContentQuarantine(SILENT_RELAY_LOG)
  for (let target = 0; target < 3; target++) {
    const sentAt = performance.now()
    quarantine.recordLoss({ service: 'model', parts: [`first-${target}`, 'bad'], digest: () => `d${target}` }, { incarnation: `t${target}@1`, sentAt, hasHead: true })
  }
  quarantine.recordBegin({ service: 'model', parts: ['other'], digest: () => 'sound' })
  return quarantine
}

function quarantineBadRequest (): ContentQuarantine {
  const quarantine = createContentQuarantine(SILENT_RELAY_LOG)
  for (let target = 0; target < 3; target++) {
    const sentAt = performance.now()
    quarantine.recordLoss({ service: 'desk', parts: [], digest: () => 'd0' }, { incarnation: `t${target}@1`, sentAt, hasHead: false })
  }
  quarantine.recordBegin({ service: 'desk', parts: [], digest: () => 'sound' })
  return quarantine
}

const CASES: Array<{ name: string, quarantine: () => ContentQuarantine, lifted?: LiftedContent, code: number, output: RegExp }> = [
  { name: 'nothing quarantined', quarantine: () => createContentQuarantine(SILENT_RELAY_LOG), code: 0, output: /^nothing is quarantined$/ },
  { name: 'a quarantined part', quarantine: quarantineBadPart, code: 0, output: /^prompt-part bad of model; 3 targets ended; (599|600) s left$/ },
  { name: 'a lifted part', quarantine: quarantineBadPart, lifted: { service: 'model', subject: 'bad' }, code: 0, output: /^nothing is quarantined$/ },
  { name: 'a quarantined request', quarantine: quarantineBadRequest, code: 0, output: /^request d0 of desk; 3 targets ended; (599|600) s left$/ },
  { name: 'a lifted request', quarantine: quarantineBadRequest, lifted: { service: 'desk', subject: 'd0' }, code: 0, output: /^nothing is quarantined$/ },
  {
    name: 'a part without evidence',
    quarantine: quarantineBadPart,
    lifted: { service: 'model', subject: 'good' },
    code: 1,
    output: /no evidence against good of model/
  }
]

const operators = suite('listener for operators')
for (const { name, quarantine, lifted, code, output } of CASES) {
  operators(name, async () => {
    const server = createOperatorsListener({ metrics: createMetrics(), contentQuarantine: quarantine() })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const result = await quarantineCommand(`127.0.0.1:${(server.address() as AddressInfo).port}`, lifted)
    assert.is(result.code, code)
    assert.match(result.text, output)
    server.close()
  })
}
operators.run()
