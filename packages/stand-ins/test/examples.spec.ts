import { readFileSync, readdirSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { checkManifestText, vmEntrySchema } from '@wigeonlead/protocol'
import { readSettings } from 'wigeonlead'

const FOLDER = fileURLToPath(new URL('../../../../examples/', import.meta.url))

const SITES: Array<{ site: string, settings: string, entryVms: number }> = [
  { site: 'hooghly', settings: 'settings/', entryVms: 9 },
  { site: 'blue-mountain', settings: 'settings/', entryVms: 9 },
  { site: 'loopback', settings: '', entryVms: 3 }
]

const examples = suite('examples')
for (const { site, settings, entryVms } of SITES) {
  examples(`${site}: the manifest and the settings of every entry VM are valid and consistent`, () => {
    const check = checkManifestText(readFileSync(`${FOLDER}${site}/manifest.toml`, 'utf8'))
    if (!check.ok) throw new Error(JSON.stringify(check.faults))
    const files = readdirSync(`${FOLDER}${site}/${settings}`).filter(file => file.endsWith('.toml') && file !== 'manifest.toml')
    assert.is(files.length, entryVms)
    const addresses = new Set<string>()
    for (const file of files) {
      const read = readSettings(`${FOLDER}${site}/${settings}${file}`)
      if (!read.ok) throw new Error(read.faults.join('\n'))
      assert.ok(check.manifest.failureDomains.includes(read.settings.node.failureDomain))
      for (const address of Object.values(read.settings.listen)) addresses.add(address)
    }
    assert.is(addresses.size, 3 * entryVms)
  })
}
examples('loopback: the VM list is valid', () => {
  vmEntrySchema.array().parse(JSON.parse(readFileSync(`${FOLDER}loopback/vms.json`, 'utf8')))
})
examples.run()
