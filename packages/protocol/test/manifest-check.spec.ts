import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { checkManifest, checkManifestText } from '../src/index.js'

const DIGEST = 'a'.repeat(64)

function stage (name: string, from: number, to: number, port: number): Record<string, any> {
  return {
    name,
    address: `127.0.0.1:${port}`,
    failureDomain: 'howrah',
    accelerator: 'large',
    serves: [{ model: 'assistant', version: 'v1', adapters: ['letters'], layers: [from, to] }]
  }
}

function validManifest (): any {
  return {
    format: 1,
    failureDomains: ['howrah', 'salt-lake'],
    models: [{ name: 'assistant', layers: 24, versions: ['v1'], adapters: ['letters'] }],
    targets: [stage('one', 0, 8, 7001), stage('two', 8, 24, 7002)],
    services: [{
      name: 'orders',
      targets: [{ name: 'orders-1', address: '127.0.0.1:7003', failureDomain: 'howrah' }],
      operations: [{ method: 'POST', path: '/orders', idempotent: false }]
    }],
    workspaces: [{ name: 'desk', keyDigests: [DIGEST] }],
    links: [{ from: 'howrah', to: 'salt-lake', delayMilliseconds: 1, megabytesPerSecond: 100 }]
  }
}

interface Case {
  name: string
  change: (manifest: any) => void
  /** Location of each expected fault and a pattern that its message matches, in order. */
  faults: Array<[string, RegExp]>
}

const CASES: Case[] = [
  { name: 'a valid manifest', change: () => {}, faults: [] },
  { name: 'no path: a gap between layer ranges', change: manifest => { manifest.targets[1].serves[0].layers = [9, 24] }, faults: [['models.0.versions.0', /layers \[8, 9\) are missing/]] },
  { name: 'no path: the last layer is missing', change: manifest => { manifest.targets[1].serves[0].layers = [8, 23] }, faults: [['models.0.versions.0', /layers \[23, 24\)/]] },
  { name: 'no path: overlapping layer ranges', change: manifest => { manifest.targets[1].serves[0].layers = [7, 24] }, faults: [['models.0.versions.0', /\[7, 24\) crosses layer 8/]] },
  { name: 'a version that no target serves', change: manifest => { manifest.models[0].versions.push('v2') }, faults: [['models.0.versions.1', /no target serves it/]] },
  { name: 'an adapter without a path', change: manifest => { manifest.targets[0].serves[0].adapters = [] }, faults: [['models.0.adapters.0', /adapter "letters" at version "v1".*\[0, 8\)/]] },
  { name: 'layers beyond the model', change: manifest => { manifest.targets.push(stage('three', 20, 30, 7009)) }, faults: [['targets.2.serves.0.layers', /within the 24/]] },
  { name: 'an empty layer range', change: manifest => { manifest.targets.push(stage('three', 8, 8, 7009)) }, faults: [['targets.2.serves.0.layers', /first layer below/]] },
  { name: 'an unknown model', change: manifest => { manifest.targets[0].serves.push({ model: 'other', version: 'v1', layers: [0, 1] }) }, faults: [['targets.0.serves.1.model', /"other"/]] },
  { name: 'an unknown version', change: manifest => { manifest.targets[0].serves.push({ model: 'assistant', version: 'v9', layers: [0, 1] }) }, faults: [['targets.0.serves.1.version', /"v9"/]] },
  { name: 'an unknown adapter', change: manifest => { manifest.targets[0].serves[0].adapters.push('x') }, faults: [['targets.0.serves.0.adapters.1', /"x"/]] },
  { name: 'an unknown default version', change: manifest => { manifest.models[0].defaultVersion = 'v9' }, faults: [['models.0.defaultVersion', /"v9"/]] },
  { name: 'an unknown failure domain', change: manifest => { manifest.targets[0].failureDomain = 'x' }, faults: [['targets.0.failureDomain', /"x".*howrah/]] },
  { name: 'a link to an unknown failure domain', change: manifest => { manifest.links[0].to = 'x' }, faults: [['links.0.to', /"x"/]] },
  { name: 'unknown models, services and failure domains of a workspace', change: manifest => { Object.assign(manifest.workspaces[0], { models: ['x'], services: ['y'], failureDomains: ['z'] }) }, faults: [['workspaces.0.models.0', /"x"/], ['workspaces.0.services.0', /"y"/], ['workspaces.0.failureDomains.0', /"z"/]] },
  { name: 'two targets with the same name', change: manifest => { manifest.services[0].targets[0].name = 'one' }, faults: [['services.0.targets.0.name', /targets\.0\.name/]] },
  { name: 'two targets with the same address', change: manifest => { manifest.services[0].targets[0].address = '127.0.0.1:7001' }, faults: [['services.0.targets.0.address', /targets\.0\.address/]] },
  { name: 'two workspaces with the same key', change: manifest => { manifest.workspaces.push({ name: 'two', keyDigests: [DIGEST] }) }, faults: [['workspaces.1.keyDigests.0', /workspaces\.0\.keyDigests\.0/]] },
  { name: 'a duplicate operation', change: manifest => { manifest.services[0].operations.push({ method: 'POST', path: '/orders', idempotent: true }) }, faults: [['services.0.operations.1', /POST \/orders/]] },
  { name: 'a service without targets', change: manifest => { manifest.services[0].targets = [] }, faults: [['services.0.targets', /at least one/]] },
  { name: 'an objective that does not apply to services', change: manifest => { manifest.services[0].objectives = { firstTokenMilliseconds: 5 } }, faults: [['services.0.objectives.firstTokenMilliseconds', /no tokens/]] },
  { name: 'a port out of range', change: manifest => { manifest.targets[0].address = '127.0.0.1:70000' }, faults: [['targets.0.address', /65535/]] },
  { name: 'an octet out of range', change: manifest => { manifest.targets[0].address = '127.0.0.300:70' }, faults: [['targets.0.address', /IP number/]] },
  { name: 'claims that exceed the storage', change: manifest => { manifest.services[0].operations[0].expectedPerSecond = 100 }, faults: [['services.0.operations.0.retentionSeconds', /take 4316 MB of 41 MB; wanted: a retention of at most 211 s/]] },
  { name: 'keyless operations take no storage for claims', change: manifest => { Object.assign(manifest.services[0].operations[0], { expectedPerSecond: 100, claim: 'keyless' }) }, faults: [] },
  { name: 'a malformed item does not hide faults of other items', change: manifest => { manifest.targets.unshift({ name: 'NO' }); manifest.targets[1].failureDomain = 'x' }, faults: [['targets.0.name', /"NO"/], ['targets.0.address', /nothing/], ['targets.0.failureDomain', /nothing/], ['targets.0.accelerator', /nothing/], ['targets.0.serves', /nothing/], ['targets.1.failureDomain', /"x"/]] },
  { name: 'a malformed model causes no false faults', change: manifest => { manifest.models[0].layers = 'many' }, faults: [['models.0.layers', /"many"/]] },
  { name: 'an unknown key', change: manifest => { manifest.modles = []; manifest.links[0].from = 'x' }, faults: [['top level', /modles/], ['links.0.from', /"x"/]] }
]

const checks = suite('manifest check')
for (const { name, change, faults } of CASES) {
  checks(name, () => {
    const manifest = validManifest()
    change(manifest)
    const check = checkManifest(manifest)
    const found = check.ok ? [] : check.faults
    assert.equal(found.map(fault => fault.at), faults.map(([at]) => at))
    faults.forEach(([, message], index) => assert.match(found[index]!.message, message))
  })
}
checks('malformed TOML is reported with its line', () => {
  const check = checkManifestText('format = 1\nmodels = [\n  oops\n')
  assert.is(check.ok, false)
  if (!check.ok) assert.match(check.faults[0]!.at, /^line 3$/)
})
checks.run()
