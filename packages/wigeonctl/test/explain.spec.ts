/**
 * Tests which log lines `explain` shows for a request: its own lines from all files, and events of the VMs that handled it.
 */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { explainCommand } from '../src/commands/explain.js'
import { ExitCode } from '../src/index.js'

function line (second: number, vm: string, event: string, fields: object = {}): string {
  return JSON.stringify({ time: `2026-01-01T00:00:${String(second).padStart(2, '0')}.000Z`, level: 'info', event, vm, ...fields })
}

const FIRST_LOG = [
  line(1, 'vm-1', 'store-lost', { reason: 'timed out' }),
  line(8, 'vm-1', 'target-suspected', { target: 't1' }),
  `front-1 ${line(9, 'vm-1', 'stream-resumed', { request: 'r1', lastEvent: 4 })}`,
  'a line of another program { broken',
  line(10, 'vm-1', 'request-answered', { request: 'r2' })
].join('\n')
const SECOND_LOG = [line(8, 'vm-2', 'target-suspected', { target: 't2' }), line(7, 'vm-1', 'send-failed', { request: 'r1' })].join('\n')

const explain = suite('explain')

explain('shows the lines of a request from all files in order of time, with events of its VM shortly before them', () => {
  const output = explainCommand('r1', [FIRST_LOG, SECOND_LOG])
  assert.is(output.code, ExitCode.Success)
  assert.equal(output.text.split('\n'), [
    '2026-01-01T00:00:07.000Z vm-1 * send-failed ',
    '2026-01-01T00:00:08.000Z vm-1   target-suspected target=t1',
    '2026-01-01T00:00:09.000Z vm-1 * stream-resumed lastEvent=4'
  ])
})

explain('fails for a request that no line names', () => {
  assert.is(explainCommand('r9', [FIRST_LOG]).code, ExitCode.Failed)
})

explain.run()
