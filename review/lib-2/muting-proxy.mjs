/**
 * A proxy in front of one address whose open connections can go silent for good, without a reset, while new ones work.
 */
import { connect, createServer } from 'node:net'

/** Opens a proxy. @returns its address, and `mute`, which silences the connections that are open now. */
export async function openMutingProxy (address) {
  const [targetHost, targetPort] = address.split(':')
  const links = new Set()
  const server = createServer({ allowHalfOpen: true }, client => {
    const upstream = connect({ host: targetHost, port: Number(targetPort), allowHalfOpen: true })
    const link = { client, upstream, isMuted: false, openedAt: performance.now() }
    links.add(link)
    const carry = (from, to) => {
      from.on('data', bytes => { if (!link.isMuted) to.write(bytes) })
      from.on('end', () => { if (!link.isMuted) to.end() })
      from.on('error', () => {})
      from.on('close', () => {
        if (!link.isMuted) to.destroy()
        links.delete(link)
      })
    }
    carry(client, upstream)
    carry(upstream, client)
  })
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve))
  return {
    address: `127.0.0.1:${server.address().port}`,
    /** @returns how many connections went silent. */
    mute () {
      for (const link of links) link.isMuted = true
      return links.size
    },
    links: () => links.size,
    close () {
      server.close()
      for (const { client, upstream } of links) {
        client.destroy()
        upstream.destroy()
      }
    }
  }
}
