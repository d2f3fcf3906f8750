/**
 * Lookup of routes by host and longest path prefix.
 */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { compileRoutes } from '@wigeonlead/relay'
import { testRoute } from '../test-configuration.js'

const ROUTE_TABLE = compileRoutes([
  testRoute('root', { host: 'a.example', pathPrefix: '/' }),
  testRoute('short', { host: 'a.example', pathPrefix: '/x/' }),
  testRoute('long', { host: 'a.example', pathPrefix: '/x/y/' }),
  testRoute('other', { host: 'b.example', pathPrefix: '/x/' })
])

const CASES: Array<{ host: string, path: string, route?: string }> = [
  { host: 'a.example', path: '/x/y/z', route: 'long' },
  { host: 'a.example', path: '/x/y', route: 'short' },
  { host: 'a.example', path: '/x', route: 'root' },
  { host: 'a.example', path: '/x/?q=/x/y/', route: 'short' },
  { host: 'A.Example:8080', path: '/x/y/', route: 'long' },
  { host: 'a.example', path: '/%78/y/z', route: 'root' },
  { host: 'a.example', path: '/x/../x/y/z', route: 'short' },
  { host: 'b.example', path: '/x/1', route: 'other' },
  { host: 'b.example', path: '/y' },
  { host: 'c.example', path: '/x/' },
  { host: '', path: '*' }
]

const routes = suite('routes')
for (const { host, path, route } of CASES) {
  routes(`${host} ${path} matches ${route ?? 'no route'}`, () => {
    assert.is(ROUTE_TABLE.find(host, path)?.name, route)
  })
}
routes.run()
