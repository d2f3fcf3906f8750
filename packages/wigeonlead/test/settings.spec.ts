import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { checkSettings, readSettings, renderLine } from '../src/process/index.js'

const VALID = {
  node: { vm: 'entry-1', failureDomain: 'howrah' },
  listen: { callers: '127.0.0.1:1', operators: '127.0.0.1:2', peers: '127.0.0.1:3' },
  platform: { keyValue: ['http://127.0.0.1:4'], vmList: 'http://127.0.0.1:5' },
  peers: { secrets: [{ id: 'first', value: 'a secret of the tests' }] },
  operators: { tokenDigests: ['0'.repeat(64)] }
}

interface Case {
  name: string
  settings: unknown
  /** Expected texts of the faults, in order; none for valid settings. */
  faults: RegExp[]
}

const CASES: Case[] = [
  { name: 'valid settings', settings: VALID, faults: [] },
  { name: 'a missing section', settings: { ...VALID, node: undefined }, faults: [/^s\.toml: node: found nothing, wanted: /] },
  { name: 'a host name instead of an IP address', settings: { ...VALID, listen: { ...VALID.listen, callers: 'entry:80' } }, faults: [/^s\.toml: listen\.callers: found "entry:80", wanted: an IP number and a port/] },
  { name: 'an unknown key', settings: { ...VALID, colour: 'red' }, faults: [/colour/] },
  { name: 'a short secret', settings: { ...VALID, peers: { secrets: [{ id: 'a', value: 'short' }] } }, faults: [/peers\.secrets\.0\.value: found "short"/] },
  { name: 'no secret', settings: { ...VALID, peers: { secrets: [] } }, faults: [/peers\.secrets: found \[\]/] },
  { name: 'a token instead of its digest', settings: { ...VALID, operators: { tokenDigests: ['token'] } }, faults: [/SHA-256/] },
  { name: 'a limit of zero', settings: { ...VALID, callers: { maximumBodyBytes: 0 } }, faults: [/callers\.maximumBodyBytes: found 0/] },
  { name: 'all faults are reported at once', settings: { ...VALID, node: { vm: '', failureDomain: '' } }, faults: [/node\.vm/, /node\.failureDomain/] }
]

const settings = suite('settings')
for (const row of CASES) {
  settings(row.name, () => {
    const check = checkSettings(row.settings, 's.toml')
    const faults = check.ok ? [] : check.faults
    assert.is(faults.length, row.faults.length, faults.join('\n'))
    row.faults.forEach((fault, index) => assert.match(faults[index] ?? '', fault))
  })
}

settings('a file that does not exist', () => {
  const check = readSettings('/nowhere/settings.toml')
  assert.match(check.ok ? '' : check.faults.join(), /^\/nowhere\/settings\.toml: cannot be read: /)
})

const LINES: Array<[Record<string, unknown>, string]> = [
  [{ event: 'started', port: 80, isReady: true }, 'event=started port=80 isReady=true'],
  [{ detail: 'two words' }, 'detail="two words"'],
  [{ detail: 'a "quote"' }, 'detail="a \\"quote\\""'],
  [{ detail: 'two\nlines' }, 'detail="two\\nlines"'],
  [{ detail: 'a=b' }, 'detail="a=b"'],
  [{ detail: '' }, 'detail=""'],
  [{ event: 'stopped', detail: undefined }, 'event=stopped']
]
for (const [fields, line] of LINES) settings(`log line ${line}`, () => assert.is(renderLine(fields), line))

settings.run()
