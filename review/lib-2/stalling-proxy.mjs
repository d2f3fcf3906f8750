/**
 * A proxy in front of one address that can stop to read, as a link that is choked does.
 */
import { connect, createServer } from 'node:net'

/** Opens a proxy. @returns its address, and `stall`, which makes each present and later connection carry no answer until `resume`. */
export async function openStallingProxy (address) {
  const [targetHost, targetPort] = address.split(':')
  const links = new Set()
  let isStalled = false
  const server = createServer({ allowHalfOpen: true }, client => {
    const upstream = connect({ host: targetHost, port: Number(targetPort), allowHalfOpen: true })
    const link = { client, upstream }
    links.add(link)
    client.pipe(upstream)
    if (!isStalled) upstream.pipe(client)
    for (const socket of [client, upstream]) {
      socket.on('error', () => {
        client.destroy()
        upstream.destroy()
      })
      socket.on('close', () => links.delete(link))
    }
  })
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve))
  return {
    address: `127.0.0.1:${server.address().port}`,
    stall () {
      isStalled = true
      for (const { client, upstream } of links) {
        upstream.unpipe(client)
        upstream.pause()
      }
    },
    resume () {
      isStalled = false
      for (const { client, upstream } of links) upstream.pipe(client)
    },
    close () {
      server.close()
      for (const { client, upstream } of links) {
        client.destroy()
        upstream.destroy()
      }
    }
  }
}
